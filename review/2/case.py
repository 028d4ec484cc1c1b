"""A program goes beyond its budget, as the record of its earlier spends is no longer in the store. See claim.txt."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))

from standins import CHUNK_TOKENS, EVENTS, CannotRun, has_trouble, main  # noqa: E402

PROGRAMS = 3
TURN_TOKENS = EVENTS * CHUNK_TOKENS
BUDGET = 10 * TURN_TOKENS
FIRST_TURNS = 8
FIRST_AT, SECOND_AT, KILL_AT, THIRD_AT = 1.0, 45.0, 82.0, 86.0
DOWN_S = 1.0
OTHER_PROGRAMS_PER_S = 4


async def other_programs(fleet, until):
    """Programs of one turn each, all over the deployment."""
    tasks, number = [], 0
    while fleet.record.now() < until:
        host = fleet.hosts[number % len(fleet.hosts)]
        if host.process.poll() is None:
            path = "/desk/4b" if number % 3 == 0 else "/lot/4b"
            tasks.append(asyncio.create_task(fleet.turn(host, f"other-{number}", b"o" * 2000, budget=4600, path=path)))
        number += 1
        await asyncio.sleep(1 / OTHER_PROGRAMS_PER_S)
    await asyncio.gather(*tasks)


async def sleep_until(fleet, start, at):
    await asyncio.sleep(max(0, start + at - fleet.record.now()))


async def play(fleet, record):
    await fleet.start()
    start = record.now()
    traffic = asyncio.create_task(other_programs(fleet, start + THIRD_AT + 3))
    one, two = fleet.hosts[0], fleet.hosts[1]
    handed = {}

    async def turns(name, hosts, count, limit_s):
        """Sends one turn after the other until `count` were answered whole or the budget is spent."""
        deadline, done = record.now() + limit_s, 0
        while done < count and record.now() < deadline:
            host = hosts[done % len(hosts)]
            _, answer = await fleet.turn(host, name, b"p" * 2000, budget=BUDGET, most=TURN_TOKENS, path="/lot/4b",
                                         note=f", {handed.get(name, 0)} of {BUDGET} tokens handed out so far")
            handed[name] = handed.get(name, 0) + answer.events * CHUNK_TOKENS
            if answer.status == 402:
                break
            if answer.status == 200 and answer.is_whole:
                done += 1
            else:
                await asyncio.sleep(0.3)
        return done

    async def before(number):
        name = f"program-{number}"
        await sleep_until(fleet, start, FIRST_AT)
        if await turns(name, [one], FIRST_TURNS, 10) < FIRST_TURNS:
            raise CannotRun(f"{name} could not run its first turns")
        await sleep_until(fleet, start, SECOND_AT)
        if await turns(name, [two], 1, 5) < 1:
            raise CannotRun(f"{name} could not run its next turn")

    await asyncio.gather(*(before(number) for number in range(PROGRAMS)))
    await sleep_until(fleet, start, KILL_AT)
    await fleet.store.put("config", "main", fleet.config(8))
    record.line("the store acknowledges configuration 8")
    if has_trouble():
        for host in fleet.hosts:
            host.process.kill()
        record.line("all entry hosts are killed (SIGKILL)")
        for host in fleet.hosts:
            host.process.wait()
        await asyncio.sleep(DOWN_S)
        for host in fleet.hosts:
            host.start()
    await sleep_until(fleet, start, THIRD_AT)
    await fleet.wait_ready([one, two], 12)
    # A program that loops without end goes on until it is told that its budget is spent.
    await asyncio.gather(*(turns(f"program-{number}", [one, two], 14, 12) for number in range(PROGRAMS)))
    await traffic
    for name, tokens in sorted(handed.items()):
        record.line(f"{name} was handed {tokens} tokens; its budget is {BUDGET}, the most of one turn {TURN_TOKENS}")
    return [f"BUDGET: {name} was handed {tokens} tokens, more than its budget of {BUDGET} + {TURN_TOKENS}"
            for name, tokens in sorted(handed.items()) if tokens > BUDGET + TURN_TOKENS]


main(FOLDER, play)
