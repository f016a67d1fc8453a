"""Measure the processor time of a small request at the callers' port.

Run `python packages/entry/benchmarks/measure_listener.py [uvloop]`. The figure includes
the scripted caller, which runs in the same process and parses nothing.
"""

import asyncio
import datetime
import sys
import time

import uvloop
from returns import result

from dewstep_core import data, settings
from dewstep_entry.caller import listener

REQUESTS = 6_400
REQUEST = (
    b"GET /history/k/due HTTP/1.1\r\nHost: x\r\nAccept: */*\r\n"
    b"User-Agent: measure\r\nIdempotency-Key: id-1\r\n\r\n"
)
ANSWER = data.Answer(
    200, ((b"content-type", b"application/json"),), 12, data.Body(b"x" * 12, None), ""
)
DEADLINE = datetime.timedelta(seconds=100)


class Handler:
    """Answers every request with the same bytes."""

    async def handle(self, request):
        """Answer."""
        return result.Success(ANSWER)


class ScriptedCaller(asyncio.Protocol):
    """Sends the same request again for each received segment."""

    def __init__(self, count, done):
        self.count = count
        self.done = done

    def connection_made(self, transport):
        """Send the first request."""
        self.transport = transport
        transport.write(REQUEST)

    def data_received(self, chunk):
        """Send the next request."""
        self.count -= 1
        if self.count:
            self.transport.write(REQUEST)
        elif not self.done.done():
            self.done.set_result(None)


def identify(method, target, headers, body_length):
    """Return a request without looking at the head."""
    place = ("history", "due", "k", "id-1", False, "GET", "/history/k/due", headers)
    return result.Success(
        data.Request(*place, body_length, data.Body(b"", None), DEADLINE)
    )


async def measure() -> None:
    """Print the time per request for 1 and 32 connections."""
    loop = asyncio.get_running_loop()
    server = listener.Listener(
        settings.Address("127.0.0.1", 0),
        settings.CallerLimits(),
        identify,
        lambda request: 65_536,
        Handler(),
        "e1",
    )
    await server.start()
    for flight in (1, 32):
        began = time.process_time()
        waits = []
        count = REQUESTS // flight
        for _ in range(flight):
            done = loop.create_future()
            waits.append(done)
            await loop.create_connection(
                lambda done=done, count=count: ScriptedCaller(count, done),
                *server.address,
            )
        await asyncio.gather(*waits)
        spent = (time.process_time() - began) / REQUESTS * 1e6
        print(f"{flight} connections: {spent:.0f} µs per request")
    server.abort()


if __name__ == "__main__":
    if "uvloop" in sys.argv[1:]:
        uvloop.install()
    asyncio.run(measure())
