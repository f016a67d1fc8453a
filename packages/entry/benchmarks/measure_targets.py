"""Measures the processor time of a small exchange through the target pool.

Run `python packages/entry/benchmarks/measure_targets.py [uvloop]`. The figure includes
the scripted target, which runs in the same process and parses nothing.
"""

import asyncio
import datetime
import sys
import time

import uvloop

from dewstep_core import clocks, data
from dewstep_entry.targets import target_pool

EXCHANGES = 6_400
ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    b"Content-Length: 12\r\n\r\n" + b"x" * 12
)
HEADERS = ((b"host", b"x"), (b"accept", b"*/*"), (b"user-agent", b"measure"))


class ScriptedTarget(asyncio.Protocol):
    """Answers each received segment with the same bytes."""

    def connection_made(self, transport):
        """Store the transport."""
        self.transport = transport

    def data_received(self, chunk):
        """Send the fixed answer."""
        self.transport.write(ANSWER)


async def measure() -> None:
    """Print the processor time per exchange with 1 and with 32 in flight."""
    server = await asyncio.get_running_loop().create_server(
        ScriptedTarget, "127.0.0.1", 0
    )
    port = server.sockets[0].getsockname()[1]
    target = data.Target("t", "history", "dc", "127.0.0.1", port, 4, 110, True, False)
    system_clock = clocks.SystemClock()
    channel = target_pool.TargetPool(target, system_clock, "e1", "dc")
    deadline = system_clock.monotonic() + datetime.timedelta(seconds=100)
    fields = ("history", "due", "k", "id-1", False, "GET", "/history/k/due", HEADERS)
    request = data.Request(*fields, 0, data.Body(b"", None), deadline)
    stamp = data.GrantStamp(1, 1, "boot", datetime.timedelta(seconds=9))

    async def repeat(count: int) -> None:
        for _ in range(count):
            (await channel.exchange(request, stamp)).unwrap()

    for concurrency in (1, 32):
        started = time.process_time()
        await asyncio.gather(
            *[repeat(EXCHANGES // concurrency) for _ in range(concurrency)]
        )
        time_per_request_us = (time.process_time() - started) / EXCHANGES * 1e6
        print(f"{concurrency} in flight: {time_per_request_us:.0f} µs per exchange")
    await channel.close()
    server.close()


if __name__ == "__main__":
    if "uvloop" in sys.argv[1:]:
        uvloop.install()
    asyncio.run(measure())
