"""Measures the processor time of a small exchange between two entry processes.

Run `python packages/entry/benchmarks/measure_peers.py [uvloop]`. Both ends run in one
process, so the figure is the sum of both.
"""

import asyncio
import datetime
import sys
import time

import uvloop
from returns import result

from dewstep_core import clocks, data
from dewstep_entry.peers import link

EXCHANGES = 6_400
HEADERS = ((b"host", b"x"), (b"accept", b"*/*"), (b"user-agent", b"measure"))
ANSWER = data.Answer(
    200, ((b"content-type", b"application/json"),), 12, data.Body(b"x" * 12, None), ""
)


class FixedAnswerHandler:
    """Answers every request with the same bytes."""

    async def handle(self, request):
        """Return the fixed answer."""
        return result.Success(ANSWER)

    async def receive(self, sender, message):
        """Ignore the message."""


def ignore_change(member, change) -> None:
    """Ignore the change of a connection."""


async def measure() -> None:
    """Print the processor time per exchange with 1 and with 32 in flight."""
    system_clock = clocks.SystemClock()
    networks = []
    for entry in ("a", "b"):
        member = data.Member(entry, "i", "dc", "127.0.0.1", 0)
        networks.append(
            link.PeerNetwork(
                member,
                system_clock,
                FixedAnswerHandler(),
                FixedAnswerHandler(),
                ignore_change,
            )
        )
        await networks[-1].start()
    first, second = networks
    deadline = system_clock.monotonic() + datetime.timedelta(seconds=100)
    fields = ("history", "due", "k", "id-1", False, "GET", "/history/k/due", HEADERS)
    request = data.Request(*fields, 0, data.Body(b"", None), deadline)

    async def repeat(count: int) -> None:
        for _ in range(count):
            (await first.exchange(second.member, request)).unwrap()

    for concurrency in (1, 32):
        started = time.process_time()
        await asyncio.gather(
            *[repeat(EXCHANGES // concurrency) for _ in range(concurrency)]
        )
        time_per_request_us = (time.process_time() - started) / EXCHANGES * 1e6
        print(f"{concurrency} in flight: {time_per_request_us:.0f} µs per exchange")
    for network in networks:
        await network.stop()


if __name__ == "__main__":
    if "uvloop" in sys.argv[1:]:
        uvloop.install()
    asyncio.run(measure())
