"""A program goes beyond its budget, as each loss of all hosts costs the record of most of a turn. See claim.txt."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))

from standins import CHUNK_TOKENS, EVENTS, CannotRun, has_trouble, main  # noqa: E402

TURN_TOKENS = EVENTS * CHUNK_TOKENS
BUDGET = 8 * TURN_TOKENS
KILL_AT_EVENT = 8
DOWN_S = 1.0
# Hosts count as disturbed for five seconds after others have come back.
CALM_S = 7.0
# Whole turns before each kill. They use up the headroom with which a host records its first spends of a program.
WHOLE_TURNS = (4, 2)


async def play(fleet, record):
    await fleet.start()
    await asyncio.sleep(CALM_S)
    # One program in each zone.
    programs = {f"program-{host.zone}": {"host": host, "handed": 0, "last": None} for host in fleet.hosts[::2]}

    async def turn(name, most=TURN_TOKENS, on_event=None):
        program = programs[name]
        request, answer = await fleet.turn(program["host"], name, b"p" * 2000, program["last"], budget=BUDGET, most=most,
                                           on_event=on_event,
                                           note=f", {program['handed']} of {BUDGET} tokens handed out so far")
        program["handed"] += answer.events * CHUNK_TOKENS
        if answer.status == 200 and answer.is_whole:
            program["last"] = request
        return answer

    async def whole_turn(name):
        for _ in range(10):
            answer = await turn(name)
            if answer.status == 200 and answer.is_whole:
                return
            await asyncio.sleep(0.3)
        raise CannotRun(f"a turn of {name} was not answered")

    for count in WHOLE_TURNS:
        for _ in range(count):
            await asyncio.gather(*(whole_turn(name) for name in programs))
        await asyncio.sleep(CALM_S)
        counts = {name: 0 for name in programs}
        reached = asyncio.Event()

        def counter(name):
            def count(events):
                counts[name] = events
                if min(counts.values()) >= KILL_AT_EVENT:
                    reached.set()
            return count

        turns = [asyncio.create_task(turn(name, on_event=counter(name))) for name in programs]
        if has_trouble():
            await asyncio.wait_for(reached.wait(), 4)
            for host in fleet.hosts:
                host.process.kill()
            record.line("all entry hosts are killed (SIGKILL)")
            for host in fleet.hosts:
                host.process.wait()
            await asyncio.gather(*turns)
            await asyncio.sleep(DOWN_S)
            for host in fleet.hosts:
                host.start()
            await fleet.wait_ready(fleet.hosts, 20)
        else:
            await asyncio.gather(*turns)

    async def until_spent(name):
        """Goes on until the budget is spent, at last with turns of one event."""
        most, deadline = TURN_TOKENS, record.now() + 25
        while record.now() < deadline:
            answer = await turn(name, most)
            if answer.status == 402 and most == CHUNK_TOKENS:
                return
            if answer.status == 402:
                most = CHUNK_TOKENS
            elif answer.status != 200:
                await asyncio.sleep(0.3)

    await asyncio.gather(*(until_spent(name) for name in programs))
    for name, program in sorted(programs.items()):
        record.line(f"{name} was handed {program['handed']} tokens; its budget is {BUDGET}, the most of one turn {TURN_TOKENS}")
    return [f"BUDGET: {name} was handed {program['handed']} tokens, more than its budget of {BUDGET} + {TURN_TOKENS}"
            for name, program in sorted(programs.items()) if program["handed"] > BUDGET + TURN_TOKENS]


main(FOLDER, play)
