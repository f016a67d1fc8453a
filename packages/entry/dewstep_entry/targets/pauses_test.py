"""Tests of targets that ask for a pause."""

import asyncio
import datetime

import h11

from dewstep_core import clocks, data, errors, settings
from dewstep_emulator import testing
from dewstep_entry.targets import answering, connection_pool

SECOND = datetime.timedelta(seconds=1)
RULES = answering.AnswerRules(
    b"x-id",
    b"x-not-run",
    None,
    has_request_id=True,
    leaving=b"x-leaving",
    pause=b"retry-after",
)
PAUSE = b"HTTP/1.1 503 X\r\nX-Id: a\r\nX-Not-Run: 1\r\nRetry-After: "


class PausingTarget:
    """Answers the first requests with a pause once `release` is set, the others not."""

    def __init__(self, pauses=1, seconds=b"0.2"):
        self.pauses = pauses
        self.seconds = seconds
        self.release = asyncio.Event()
        self.requests = 0
        self.notices = []

    async def accept(self, reader, writer):
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.requests += 1
                if self.requests <= self.pauses:
                    await self.release.wait()
                    end = b"\r\nContent-Length: 0\r\n\r\n"
                    writer.write(PAUSE + self.seconds + end)
                else:
                    head = b"HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Leaving: 1\r\n"
                    writer.write(head + b"Content-Length: 2\r\n\r\nok")
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    async def run(self, limit):
        self.server = await testing.start_scripted_server(self.accept)
        address = settings.Address(*self.server.sockets[0].getsockname()[:2])
        return connection_pool.ConnectionPool(
            "t",
            address,
            clocks.SystemClock(),
            limit,
            rules=RULES,
            reuse_delay=datetime.timedelta(),
            on_notice=self.notices.append,
        )


async def send_request(pool):
    head = h11.Request(method="GET", target="/", headers=[("host", "h")])
    deadline = pool.clock.monotonic() + 2 * SECOND
    return await pool.send(head, data.Body(b"", None), deadline, b"a")


# Guards against requests that reach a target during its pause.
@testing.run_in_event_loop
async def test_pool_sends_nothing_during_a_pause():
    target = PausingTarget()
    target.release.set()
    pool = await target.run(limit=4)
    assert testing.fails(await send_request(pool), errors.TargetRefused)
    paused = await send_request(pool)
    assert testing.fails(paused, errors.TargetPaused)
    assert datetime.timedelta() < paused.failure().retry_after <= 0.2 * SECOND
    assert target.requests == 1
    await asyncio.sleep(0.25)
    assert (await send_request(pool)).unwrap().status == 200
    assert target.notices == [
        answering.Notice(False, 0.2 * SECOND),
        answering.Notice(True, datetime.timedelta()),
    ]
    await pool.close()
    target.server.close()


# Guards against waiting requests without an answer when a pause ends as it begins.
@testing.run_in_event_loop
async def test_waiting_requests_are_sent_after_a_short_pause():
    target = PausingTarget(seconds=b"0.000001")
    pool = await target.run(limit=1)
    first = asyncio.ensure_future(send_request(pool))
    while not target.requests:
        await asyncio.sleep(0.001)
    waiting = asyncio.ensure_future(send_request(pool))
    await asyncio.sleep(0.01)
    target.release.set()
    assert testing.fails(await first, errors.TargetRefused)
    assert (await waiting).unwrap().status == 200
    await pool.close()
    target.server.close()


# Guards against requests that waited for a connection and are sent during the pause.
@testing.run_in_event_loop
async def test_waiting_requests_are_answered_when_a_pause_begins():
    target = PausingTarget()
    pool = await target.run(limit=1)
    first = asyncio.ensure_future(send_request(pool))
    while not target.requests:
        await asyncio.sleep(0.001)
    waiting = [asyncio.ensure_future(send_request(pool)) for _ in range(3)]
    await asyncio.sleep(0.01)
    target.release.set()
    assert testing.fails(await first, errors.TargetRefused)
    for outcome in await asyncio.gather(*waiting):
        assert testing.fails(outcome, errors.TargetPaused)
    assert target.requests == 1
    await pool.close()
    target.server.close()
