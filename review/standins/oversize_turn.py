"""Shows that one turn whose record exceeds the store's value size stops the journal of a host. Not a case: see REPORT.md.

Prints the answers to turns that are sent to that host and to the other host of its zone afterwards.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from standins import Fleet, Record  # noqa: E402

# Below max_body_bytes (4,194,304); in base64 it is larger than platform.value_bytes (1,048,576).
LARGE_BODY = b"a" * 900_000


async def play():
    fleet = Fleet(Record(os.devnull))
    try:
        await fleet.start()
        one, two = fleet.hosts[:2]
        _, answer = await fleet.turn(one, "large", LARGE_BODY, budget=4600)
        print(f"large turn at {one.name}: status {answer.status}, {answer.events} events, whole: {answer.is_whole}")
        for number in range(5):
            for host in (one, two):
                _, answer = await fleet.turn(host, f"small-{number}-{host.name}", b"a" * 2000, budget=4600)
                print(f"turn at {host.name}: status {answer.status}, {answer.events} events, whole: {answer.is_whole}")
    finally:
        fleet.stop()


asyncio.run(play())
