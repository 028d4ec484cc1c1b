"""A turn that is kept names a chain whose first turn is no longer in the store. See claim.txt."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))

from standins import EVENTS, RETAIN_S, CannotRun, has_trouble, main, turn_output  # noqa: E402

PROGRAMS = 6
FIRST_AT, SECOND_AT, KILL_AT, THIRD_AT = 1.0, 28.0, 80.0, 83.0
OTHER_SECOND_AT = 45.0
DOWN_S = 1.0
OTHER_PROGRAMS_PER_S = 4


async def other_programs(fleet, until):
    """Programs of one turn each, all over the deployment."""
    tasks, number = [], 0
    while fleet.record.now() < until:
        host = fleet.hosts[number % len(fleet.hosts)]
        if host.process.poll() is None:
            tasks.append(asyncio.create_task(fleet.turn(host, f"other-{number}", b"o" * 2000, budget=4600)))
        number += 1
        await asyncio.sleep(1 / OTHER_PROGRAMS_PER_S)
    await asyncio.gather(*tasks)


async def sleep_until(fleet, start, at):
    await asyncio.sleep(max(0, start + at - fleet.record.now()))


async def turn_answered(fleet, hosts, program, body, previous, limit_s=2.0):
    """Sends a turn until it is answered whole, as a client that tries again does."""
    deadline = fleet.record.now() + limit_s
    while fleet.record.now() < deadline:
        for host in hosts:
            request, answer = await fleet.turn(host, program, body, previous, budget=4600)
            if answer.status == 200 and answer.is_whole and answer.events == EVENTS:
                return request, answer
        await asyncio.sleep(0.2)
    raise CannotRun(f"a turn of {program} was not answered")


async def play(fleet, record):
    await fleet.start()
    start = record.now()
    traffic = asyncio.create_task(other_programs(fleet, start + THIRD_AT + 3))
    one, two = fleet.hosts[0], fleet.hosts[1]

    async def program(number):
        # Half of the programs come to the same host again, half of them to the other host of the zone.
        name = f"program-{number}"
        is_same = number % 2 == 0
        first_host = one if is_same else two
        second_at = SECOND_AT if is_same else OTHER_SECOND_AT
        await sleep_until(fleet, start, FIRST_AT + number * 0.05)
        first, _ = await turn_answered(fleet, [first_host], name, b"a" * 2000 + name.encode(), None)
        await sleep_until(fleet, start, second_at + number * 0.05)
        second, answer = await turn_answered(fleet, [one], name, b"b" * 2000 + name.encode(), first)
        chain = b"a" * 2000 + name.encode() + turn_output(first) + b"b" * 2000 + name.encode() + turn_output(second)
        return name, second, answer.ended_at, chain

    turns = await asyncio.gather(*(program(number) for number in range(PROGRAMS)))

    await sleep_until(fleet, start, KILL_AT)
    if has_trouble():
        one.kill()
        await asyncio.sleep(DOWN_S)
        one.start()
    await sleep_until(fleet, start, THIRD_AT)

    broken = []

    async def third(name, second, ended_at, chain):
        body = b"c" * 2000 + name.encode()
        deadline = record.now() + 4
        while record.now() < deadline:
            for host in (two, one):
                age = record.now() - ended_at
                request, answer = await fleet.turn(host, name, body, second, budget=4600,
                                                   note=f", which was answered whole {age:.1f} s ago")
                if answer.status in (404, 410) and age < RETAIN_S:
                    broken.append(f"LOST: {request} is answered {answer.status}, though the turn {second} that it continues "
                                  f"was answered whole {age:.1f} s ago (retain_s {RETAIN_S:.0f})")
                    return
                if answer.status == 200 and answer.is_whole:
                    runs = [run for server in fleet.servers for run in server.runs if run["request"] == request]
                    if any(run["body"] != chain + body for run in runs):
                        broken.append(f"UNASKED: {request} ran with another body than its chain")
                    return
            await asyncio.sleep(0.2)

    await asyncio.gather(*(third(*turn) for turn in turns))
    await traffic
    return sorted(broken)


main(FOLDER, play)
