"""Connection pools for targets whose answers contain the request id."""

import asyncio
import contextlib
import datetime
import socket

import h11
import pytest

from dewstep_core import clocks, data, errors, settings
from dewstep_core.http import transports
from dewstep_emulator import testing
from dewstep_entry.targets import answering, connection_pool

SECOND = datetime.timedelta(seconds=1)
RULES = answering.AnswerRules(
    b"x-id", b"x-not-run", None, frozenset({421}), has_request_id=True, buffered=True
)


def render_answer(
    request_id, body=b"ok", head=b"Content-Length: 2\r\n", status=b"200 OK"
):
    start = b"HTTP/1.1 " + status + b"\r\nX-Id: " + request_id + b"\r\n"
    return start + head + b"\r\n" + body


@contextlib.asynccontextmanager
async def run_target(*answers, reset=False, close=False):
    """Run a target that sends the given answers in order, one per request."""
    remaining_answers = list(answers)
    accepted = []

    async def accept(reader, writer):
        accepted.append(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while remaining_answers:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(remaining_answers.pop(0))
                await writer.drain()
                if reset:
                    await asyncio.sleep(0.02)
                    connection_socket = writer.get_extra_info("socket")
                    connection_socket.setsockopt(
                        socket.SOL_SOCKET,
                        socket.SO_LINGER,
                        transports.RESET_ON_CLOSE,
                    )
                    writer.transport.abort()
                if close:
                    writer.close()
                    return
            await reader.read()

    server = await testing.start_scripted_server(accept)
    address = settings.Address(*server.sockets[0].getsockname()[:2])
    pool = connection_pool.ConnectionPool(
        "t",
        address,
        clocks.SystemClock(),
        4,
        rules=RULES,
        reuse_delay=datetime.timedelta(),
    )
    try:
        yield pool, accepted
    finally:
        await pool.close()
        server.close()


async def send_request(pool, request_id, seconds=1.0):
    head = h11.Request(method="GET", target="/", headers=[("host", "h")])
    deadline = pool.clock.monotonic() + seconds * SECOND
    return await pool.send(head, data.Body(b"", None), deadline, request_id)


def get_body(outcome):
    return outcome.unwrap().body.start


@testing.run_in_event_loop
async def test_late_answer_to_an_earlier_request_is_skipped():
    # Guards against returning one caller's answer to another caller.
    late = render_answer(b"a", b"no") + render_answer(b"b")
    async with run_target(render_answer(b"a"), late) as (pool, opened):
        assert get_body(await send_request(pool, b"a")) == b"ok"
        assert get_body(await send_request(pool, b"b")) == b"ok"
        assert len(opened) == 1


@testing.run_in_event_loop
async def test_bytes_after_an_answer_close_the_connection_but_keep_the_answer():
    answers = (render_answer(b"a") + render_answer(b"a", b"no"), render_answer(b"b"))
    async with run_target(*answers) as (pool, opened):
        assert get_body(await send_request(pool, b"a")) == b"ok"
        assert get_body(await send_request(pool, b"b")) == b"ok"
        assert len(opened) == 2


@testing.run_in_event_loop
async def test_bytes_of_all_connections_are_counted():
    """Guards against counts that miss a body, or end with a connection."""
    answers = (render_answer(b"a"), render_answer(b"b"))
    async with run_target(*answers, close=True) as (pool, _):
        await send_request(pool, b"a")
        assert pool.traffic.received == len(answers[0])
        head = len(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        assert pool.traffic.sent == head
        deadline = pool.clock.monotonic() + SECOND
        request = h11.Request(
            method="POST", target="/", headers=[("host", "h"), ("content-length", "9")]
        )
        await pool.send(request, data.Body(b"123456789", None), deadline, b"b")
        length = len(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n")
        assert pool.traffic.sent == head + length + 9


@testing.run_in_event_loop
async def test_answer_without_a_request_id_is_invalid():
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    async with run_target(answer) as (pool, _):
        assert testing.fails(await send_request(pool, b"a"), errors.AnswerInvalid)


@testing.run_in_event_loop
async def test_answer_without_length_ends_when_the_connection_closes():
    async with run_target(render_answer(b"a", b"whole", b""), close=True) as (pool, _):
        outcome = await send_request(pool, b"a")
        assert get_body(outcome) == b"whole"
        assert outcome.unwrap().body_length == 5


@testing.run_in_event_loop
async def test_answer_without_length_is_incomplete_after_a_reset():
    # Guards against returning a truncated answer as complete.
    async with run_target(render_answer(b"a", b"half", b""), reset=True) as (pool, _):
        assert testing.fails(await send_request(pool, b"a"), errors.ConnectionLost)


@testing.run_in_event_loop
async def test_answer_shorter_than_its_length_is_incomplete():
    truncated = render_answer(b"a", b"x", b"Content-Length: 9\r\n")
    async with run_target(truncated, close=True) as (pool, _):
        assert testing.fails(await send_request(pool, b"a"), errors.ConnectionLost)


@pytest.mark.parametrize(
    ("status", "head"),
    [
        (b"503 Full", b"Content-Length: 2\r\nX-Not-Run: 1\r\n"),
        (b"421 Other", b"Content-Length: 2\r\n"),
    ],
)
@testing.run_in_event_loop
async def test_refused_request_is_reported_as_not_run(status, head):
    async with run_target(render_answer(b"a", b"no", head, status)) as (pool, _):
        assert testing.fails(await send_request(pool, b"a"), errors.TargetRefused)


@testing.run_in_event_loop
async def test_status_503_without_the_refusal_header_is_no_refusal():
    # Guards against running a booking twice: it may have run despite the 503.
    answer = render_answer(b"a", status=b"503 Busy")
    async with run_target(answer) as (pool, _):
        assert (await send_request(pool, b"a")).unwrap().status == 503


@testing.run_in_event_loop
async def test_retired_pool_finishes_requests_in_progress():
    async with run_target(render_answer(b"a")) as (pool, _):
        sending = asyncio.ensure_future(send_request(pool, b"a"))
        while not any(item.current_exchange for item in pool.open_connections):
            await asyncio.sleep(0)
        pool.retire()
        outcome = await sending
        assert get_body(outcome) == b"ok"
        assert not pool.idle


# Guards against a refusal that a faulty target writes once more, when the request has
# been sent to it again and is being run.
@testing.run_in_event_loop
async def test_earlier_refusal_is_not_taken_for_that_of_a_request_that_is_sent_again():
    refusal = render_answer(b"a", b"no", b"Content-Length: 2\r\n", b"421 Other")
    connections = []

    async def serve(reader, writer):
        connections.append(writer)
        if len(connections) > 1:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(render_answer(b"a"))
            return
        for _ in range(2):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(refusal)

    server = await testing.start_scripted_server(serve)
    address = settings.Address(*server.sockets[0].getsockname()[:2])
    pool = connection_pool.ConnectionPool(
        "t",
        address,
        clocks.SystemClock(),
        4,
        rules=RULES,
        reuse_delay=datetime.timedelta(),
    )
    assert testing.fails(await send_request(pool, b"a"), errors.TargetRefused)
    assert get_body(await send_request(pool, b"a")) == b"ok"
    await pool.close()
    server.close()


@testing.run_in_event_loop
async def test_connection_that_refused_a_request_is_reused_for_others():
    # Guards against new connections, which have a price, after each refusal.
    refusal = render_answer(b"a", b"no", b"Content-Length: 2\r\n", b"421 Other")
    async with run_target(refusal, render_answer(b"b")) as (pool, opened):
        assert testing.fails(await send_request(pool, b"a"), errors.TargetRefused)
        assert get_body(await send_request(pool, b"b")) == b"ok"
        assert len(opened) == 1


# Guards against a success whose body is empty or short, from a target that stopped in
# the middle of its answer's head and closed the connection.
@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize(
    "head", [b"Content-Length: 2\r\n", b"", b"Transfer-Encoding: chunked\r\n"]
)
@testing.run_in_event_loop
async def test_answer_that_ends_within_its_head_is_lost(head, reset):
    answer = render_answer(b"a", b"", head)
    for size in range(len(answer)):
        async with run_target(answer[:size], close=True, reset=reset) as (pool, _):
            outcome = await send_request(pool, b"a")
        assert testing.fails(outcome, errors.ConnectionLost) or testing.fails(
            outcome, errors.AnswerInvalid
        ), size


# Guards against a restarted target that is taken for the process before, since its
# answers seem to come on an old connection.
@testing.run_in_event_loop
async def test_answers_are_reported_with_the_time_of_their_connection():
    reported = []
    async with run_target(render_answer(b"a"), render_answer(b"b")) as (pool, _):
        pool.on_answer = lambda opened_at, sent_at: reported.append(
            (opened_at, sent_at)
        )
        began = pool.clock.monotonic()
        await send_request(pool, b"a")
        await send_request(pool, b"b")
    (opened, first), (opened_again, second) = reported
    assert began < opened <= first < second and opened == opened_again


# Guards against a restart that is overlooked because nothing was sent.
@testing.run_in_event_loop
async def test_refused_connections_are_reported():
    reported = []
    async with run_target() as (pool, _):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            pool.address = settings.Address(*listener.getsockname()[:2])
        pool.on_unreached = reported.append
        assert testing.fails(await send_request(pool, b"a"), errors.TargetUnavailable)
    assert reported == [True]


# Guards against statuses that HTTP does not have and callers cannot interpret, and
# against taking their refusal header for "not run".
@pytest.mark.parametrize("refusal", [b"", b"X-Not-Run: 1\r\n"])
@pytest.mark.parametrize("status", [b"000", b"099", b"600", b"999"])
@testing.run_in_event_loop
async def test_answer_with_a_status_outside_of_http_is_invalid(status, refusal):
    head = b"Content-Length: 2\r\n" + refusal
    answer = render_answer(b"a", b"ok", head, status + b" OK")
    async with run_target(answer) as (pool, _):
        assert testing.fails(await send_request(pool, b"a"), errors.AnswerInvalid)
