"""Targets whose answers name their request: stray, open-ended and broken answers."""

import asyncio
import contextlib
import datetime
import socket

import h11
import pytest

from dewstep_core import clock, data, errors, settings
from dewstep_core.http import transports
from dewstep_emulator import testing
from dewstep_entry.targets import answering, pooling

SECOND = datetime.timedelta(seconds=1)
RULES = answering.AnswerRules(
    b"x-id", b"x-not-run", None, frozenset({421}), identified=True, held_back=True
)


def render(request_id, body=b"ok", head=b"Content-Length: 2\r\n", status=b"200 OK"):
    start = b"HTTP/1.1 " + status + b"\r\nX-Id: " + request_id + b"\r\n"
    return start + head + b"\r\n" + body


@contextlib.asynccontextmanager
async def serve(*answers, reset=False, close=False):
    """Run a target that gives one of the answers to each request."""
    left = list(answers)
    opened = []

    async def accept(reader, writer):
        opened.append(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while left:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(left.pop(0))
                await writer.drain()
                if reset:
                    await asyncio.sleep(0.02)
                    plain = writer.get_extra_info("socket")
                    plain.setsockopt(
                        socket.SOL_SOCKET,
                        socket.SO_LINGER,
                        transports.RESET_ON_CLOSE,
                    )
                    writer.transport.abort()
                if close:
                    writer.close()
                    return
            await reader.read()

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    address = settings.Address(*server.sockets[0].getsockname()[:2])
    pool = pooling.ConnectionPool(
        "t", address, clock.SystemClock(), 4, rules=RULES, rest=datetime.timedelta()
    )
    try:
        yield pool, opened
    finally:
        await pool.close()
        server.close()


async def send(pool, request_id, seconds=1.0):
    head = h11.Request(method="GET", target="/", headers=[("host", "h")])
    deadline = pool.clock.monotonic() + seconds * SECOND
    return await pool.send(head, data.Body(b"", None), deadline, request_id)


def body_of(outcome):
    return outcome.unwrap().body.start


@testing.in_loop
async def test_late_answer_to_an_earlier_request_is_skipped():
    # Guards against a caller who gets another caller's answer.
    late = render(b"a", b"no") + render(b"b")
    async with serve(render(b"a"), late) as (pool, opened):
        assert body_of(await send(pool, b"a")) == b"ok"
        assert body_of(await send(pool, b"b")) == b"ok"
        assert len(opened) == 1


@testing.in_loop
async def test_bytes_after_an_answer_end_the_connection_but_not_the_answer():
    answers = (render(b"a") + render(b"a", b"no"), render(b"b"))
    async with serve(*answers) as (pool, opened):
        assert body_of(await send(pool, b"a")) == b"ok"
        assert body_of(await send(pool, b"b")) == b"ok"
        assert len(opened) == 2


@testing.in_loop
async def test_answer_without_an_id_belongs_to_nobody():
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    async with serve(answer) as (pool, _):
        assert testing.fails(await send(pool, b"a"), errors.AnswerInvalid)


@testing.in_loop
async def test_answer_of_unknown_length_ends_with_its_connection():
    async with serve(render(b"a", b"whole", b""), close=True) as (pool, _):
        outcome = await send(pool, b"a")
        assert body_of(outcome) == b"whole"
        assert outcome.unwrap().body_length == 5


@testing.in_loop
async def test_answer_of_unknown_length_that_is_reset_is_not_complete():
    # Guards against half an answer that looks whole.
    async with serve(render(b"a", b"half", b""), reset=True) as (pool, _):
        assert testing.fails(await send(pool, b"a"), errors.ConnectionLost)


@testing.in_loop
async def test_announced_answer_that_is_cut_is_not_complete():
    cut = render(b"a", b"x", b"Content-Length: 9\r\n")
    async with serve(cut, close=True) as (pool, _):
        assert testing.fails(await send(pool, b"a"), errors.ConnectionLost)


@pytest.mark.parametrize(
    ("status", "head"),
    [
        (b"503 Full", b"Content-Length: 2\r\nX-Not-Run: 1\r\n"),
        (b"421 Other", b"Content-Length: 2\r\n"),
    ],
)
@testing.in_loop
async def test_refusals_say_that_the_request_did_not_run(status, head):
    async with serve(render(b"a", b"no", head, status)) as (pool, _):
        assert testing.fails(await send(pool, b"a"), errors.TargetRefused)


@testing.in_loop
async def test_failure_without_the_header_is_no_refusal():
    # Guards against a booking that ran being sent a second time.
    answer = render(b"a", status=b"503 Busy")
    async with serve(answer) as (pool, _):
        assert (await send(pool, b"a")).unwrap().status == 503


@testing.in_loop
async def test_retired_pool_finishes_what_runs():
    async with serve(render(b"a")) as (pool, _):
        sending = asyncio.ensure_future(send(pool, b"a"))
        await asyncio.sleep(0.01)
        pool.retire()
        outcome = await sending
        assert body_of(outcome) == b"ok"
        assert not pool.idle
