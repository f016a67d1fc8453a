"""Measures the processor time of a small request at the server for callers.

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


class FixedAnswerHandler:
    """Answers every request with the same bytes."""

    async def handle(self, request):
        """Return the fixed answer."""
        return result.Success(ANSWER)


class ScriptedCaller(asyncio.Protocol):
    """Sends the same request again after each received segment."""

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


def identify_request(method, target, headers, body_length):
    """Return a fixed request, without parsing the head."""
    fields = ("history", "due", "k", "id-1", False, "GET", "/history/k/due", headers)
    return result.Success(
        data.Request(*fields, body_length, data.Body(b"", None), DEADLINE)
    )


async def measure() -> None:
    """Print the processor time per request with 1 and with 32 connections."""
    loop = asyncio.get_running_loop()
    server = listener.Listener(
        settings.Address("127.0.0.1", 0),
        settings.CallerLimits(),
        identify_request,
        lambda request: 65_536,
        FixedAnswerHandler(),
        "e1",
    )
    await server.start()
    for concurrency in (1, 32):
        started = time.process_time()
        completions = []
        count = REQUESTS // concurrency
        for _ in range(concurrency):
            done = loop.create_future()
            completions.append(done)
            await loop.create_connection(
                lambda done=done, count=count: ScriptedCaller(count, done),
                *server.address,
            )
        await asyncio.gather(*completions)
        time_per_request_us = (time.process_time() - started) / REQUESTS * 1e6
        print(f"{concurrency} connections: {time_per_request_us:.0f} µs per request")
    server.abort()


if __name__ == "__main__":
    if "uvloop" in sys.argv[1:]:
        uvloop.install()
    asyncio.run(measure())
