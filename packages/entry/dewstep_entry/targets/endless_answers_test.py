"""Targets that send bytes without end, which are no answer or no end of one."""

import asyncio
import contextlib
import datetime
import time
import tracemalloc

import h11
import pytest
from returns import result

from dewstep_core import clocks, data, errors
from dewstep_emulator import endless_answers, testing
from dewstep_entry import bodies
from dewstep_entry.targets import answering, connection_pool, control, exchanges

SECOND = datetime.timedelta(seconds=1)
RULES = answering.AnswerRules(
    b"x-id", b"x-not-run", None, frozenset({421}), has_request_id=True, buffered=True
)
DEADLINE_SECONDS = 3.0
PROMPT_SECONDS = 1.0
"""Upper limit of the time in which a certain failure must be reported."""
MAXIMUM_TURN_SECONDS = 0.12
"""Limit of the processor time that input may take in one turn of the event loop."""
SOCKET_BUFFER_BYTES = 8_000_000
"""Upper limit of what the kernel buffers between two sockets."""
MAXIMUM_REQUEST_BYTES = 500_000
"""Memory for each of 400 requests, if an instance has 200 MB for all of them."""


@contextlib.asynccontextmanager
async def run_pool(address, rules=RULES, limit=4):
    pool = connection_pool.ConnectionPool(
        "t",
        address,
        clocks.SystemClock(),
        limit,
        rules=rules,
        reuse_delay=datetime.timedelta(),
    )
    try:
        yield pool
    finally:
        await pool.close()


async def send_request(pool, seconds=DEADLINE_SECONDS, request_id=b"a"):
    head = h11.Request(method="GET", target="/", headers=[("host", "h")])
    deadline = pool.clock.monotonic() + seconds * SECOND
    return await pool.send(head, data.Body(b"", None), deadline, request_id)


async def read_body(outcome):
    """Return the body of an answer and the failure that ended it, if any."""
    body = outcome.unwrap().body
    received = [body.start]
    try:
        if body.rest is not None:
            async for chunk in body.rest:
                received.append(chunk)
    except bodies.BodyFailure as error:
        return b"".join(received), error.failure
    return b"".join(received), None


@contextlib.contextmanager
def trace_memory():
    """Yield a list that receives the peak of the allocated bytes at the end."""
    peaks = []
    tracemalloc.start()
    try:
        yield peaks
        peaks.append(tracemalloc.get_traced_memory()[1])
    finally:
        tracemalloc.stop()


class HealthyTarget(asyncio.Protocol):
    """Answers each request at once."""

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, content):
        self.transport.write(endless_answers.COMPLETE_ANSWER)


async def exchange_healthily(pool, turns):
    """Repeat an exchange with a healthy target; count the successes."""
    while True:
        assert (await send_request(pool)).unwrap().body.start == b"ok"
        turns.append(time.monotonic())
        await asyncio.sleep(0.001)


@contextlib.asynccontextmanager
async def assert_others_proceed():
    """Check that the event loop and exchanges with another target go on."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(HealthyTarget, "127.0.0.1", 0)
    turns = []
    async with run_pool(server.sockets[0].getsockname()[:2]) as pool:
        task = asyncio.ensure_future(exchange_healthily(pool, turns))
        async with endless_answers.LoopMonitor() as monitor:
            yield
            await asyncio.sleep(0.02)
        assert not task.done(), task.result()
        task.cancel()
        await asyncio.wait([task])
    server.close()
    assert turns
    assert monitor.longest_seconds < MAXIMUM_TURN_SECONDS


@pytest.mark.parametrize("name", endless_answers.INVALID_PATTERNS)
@testing.run_in_event_loop
async def test_bytes_that_are_no_answer_end_the_exchange_before_the_deadline(name):
    pattern = endless_answers.INVALID_PATTERNS[name]
    async with (
        endless_answers.running(pattern) as server,
        run_pool(server.address) as pool,
        assert_others_proceed(),
    ):
        began = time.monotonic()
        outcome = await send_request(pool)
        assert testing.fails(outcome, errors.AnswerInvalid)
        assert time.monotonic() - began < PROMPT_SECONDS
        assert await server.wait_closed(PROMPT_SECONDS)
        assert server.sent_bytes < SOCKET_BUFFER_BYTES
        assert not pool.open_connections


@pytest.mark.parametrize("name", ["no-http", "no-http-lines"])
@testing.run_in_event_loop
async def test_bytes_that_start_no_answer_are_recognized_by_their_first(name):
    pattern = endless_answers.INVALID_PATTERNS[name]
    async with (
        endless_answers.running(pattern, interval=0.02) as server,
        run_pool(server.address) as pool,
    ):
        began = time.monotonic()
        assert testing.fails(await send_request(pool), errors.AnswerInvalid)
        assert time.monotonic() - began < PROMPT_SECONDS
        assert server.sent_bytes < 20


@testing.run_in_event_loop
async def test_invalid_header_line_is_recognized_before_the_end_of_the_head():
    pattern = endless_answers.Pattern(endless_answers.STATUS_LINE, b"no header\r\n")
    async with (
        endless_answers.running(pattern, interval=0.01) as server,
        run_pool(server.address) as pool,
    ):
        began = time.monotonic()
        assert testing.fails(await send_request(pool), errors.AnswerInvalid)
        assert time.monotonic() - began < PROMPT_SECONDS


@pytest.mark.parametrize("name", ["status-line", "header-value", "informational"])
@testing.run_in_event_loop
async def test_slow_bytes_without_end_fail_at_the_deadline(name):
    pattern = endless_answers.INVALID_PATTERNS[name]
    async with (
        endless_answers.running(pattern, interval=0.02) as server,
        run_pool(server.address) as pool,
    ):
        began = time.monotonic()
        outcome = await send_request(pool, 0.4)
        assert testing.fails(outcome, errors.DeadlineExceeded)
        assert time.monotonic() - began < 0.4 + PROMPT_SECONDS
        assert await server.wait_closed(PROMPT_SECONDS)


@pytest.mark.parametrize("name", endless_answers.UNENDING_BODIES)
@testing.run_in_event_loop
async def test_body_without_end_is_streamed_until_the_deadline_and_then_breaks(name):
    pattern = endless_answers.UNENDING_BODIES[name]
    async with (
        endless_answers.running(pattern) as server,
        run_pool(server.address) as pool,
        assert_others_proceed(),
    ):
        began = time.monotonic()
        outcome = await send_request(pool, 1.0)
        if isinstance(outcome, result.Success):
            with pytest.raises(bodies.BodyFailure) as caught:
                async for chunk in outcome.unwrap().body.rest:
                    assert chunk
            outcome = result.Failure(caught.value.failure)
        assert testing.fails(outcome, errors.DeadlineExceeded)
        assert time.monotonic() - began < 1.0 + PROMPT_SECONDS
        assert await server.wait_closed(PROMPT_SECONDS)


@pytest.mark.parametrize("name", endless_answers.UNENDING_BODIES)
@testing.run_in_event_loop
async def test_unread_body_without_end_takes_bounded_memory(name):
    pattern = endless_answers.UNENDING_BODIES[name]
    async with (
        endless_answers.running(pattern) as server,
        run_pool(server.address) as pool,
    ):
        with trace_memory() as peaks:
            # Tracing makes parsing several times slower.
            outcome = await send_request(pool, 20.0)
            assert outcome.unwrap().body.rest is not None
            await asyncio.sleep(1.0)
        assert peaks[0] < 6 * exchanges.ANSWER_BUFFER_BYTES
        assert server.sent_bytes < SOCKET_BUFFER_BYTES
        await bodies.close_body(outcome.unwrap().body)
        assert await server.wait_closed(PROMPT_SECONDS)


@testing.run_in_event_loop
async def test_caller_who_leaves_ends_a_body_without_end():
    pattern = endless_answers.UNENDING_BODIES["chunks"]
    async with (
        endless_answers.running(pattern) as server,
        run_pool(server.address) as pool,
    ):
        outcome = await send_request(pool)
        await bodies.close_body(outcome.unwrap().body)
        assert await server.wait_closed(PROMPT_SECONDS)
        assert not pool.open_connections


@testing.run_in_event_loop
async def test_caller_who_leaves_ends_a_head_without_end():
    pattern = endless_answers.INVALID_PATTERNS["header-value"]
    async with (
        endless_answers.running(pattern, interval=0.01) as server,
        run_pool(server.address) as pool,
    ):
        sending = asyncio.ensure_future(send_request(pool))
        await asyncio.sleep(0.1)
        sending.cancel()
        assert await server.wait_closed(PROMPT_SECONDS)
        assert not pool.open_connections


@pytest.mark.parametrize("name", endless_answers.SKIPPED_PATTERNS)
@testing.run_in_event_loop
async def test_skipped_answer_without_end_ends_the_exchange(name):
    pattern = endless_answers.SKIPPED_PATTERNS[name]
    async with (
        endless_answers.running(pattern) as server,
        run_pool(server.address) as pool,
        assert_others_proceed(),
    ):
        began = time.monotonic()
        assert testing.fails(await send_request(pool), errors.AnswerInvalid)
        assert time.monotonic() - began < PROMPT_SECONDS
        assert await server.wait_closed(PROMPT_SECONDS)
        assert server.sent_bytes < SOCKET_BUFFER_BYTES + 4 * 1024 * 1024


@pytest.mark.parametrize("name", endless_answers.SURPLUS_PATTERNS)
@pytest.mark.parametrize("delay", [0.0, 0.1])
@testing.run_in_event_loop
async def test_bytes_without_end_after_an_answer_close_the_connection(name, delay):
    pattern = endless_answers.SURPLUS_PATTERNS[name]
    async with (
        endless_answers.running(pattern, surplus_delay=delay) as server,
        run_pool(server.address) as pool,
        assert_others_proceed(),
    ):
        outcome = await send_request(pool)
        assert outcome.unwrap().body.start == b"ok"
        assert await server.wait_closed(PROMPT_SECONDS)
        assert server.sent_bytes < SOCKET_BUFFER_BYTES
        assert not pool.open_connections


@testing.run_in_event_loop
async def test_bytes_after_a_streamed_body_with_a_length_close_the_connection():
    head = endless_answers.build_head(b"Content-Length: 200000")
    pattern = endless_answers.Pattern(head + b"x" * 200_000, b"y")
    async with (
        endless_answers.running(pattern) as server,
        run_pool(server.address) as pool,
    ):
        received, failure = await read_body(await send_request(pool))
        assert failure is None
        assert received == b"x" * 200_000
        assert await server.wait_closed(PROMPT_SECONDS)


@pytest.mark.parametrize("name", ["trailer-line", "chunk-extension", "chunk-size"])
@testing.run_in_event_loop
async def test_streamed_answer_whose_end_is_invalid_breaks(name):
    # Guards against a partial answer being passed on as a complete one.
    invalid = endless_answers.INVALID_PATTERNS[name]
    head, end = invalid.start.split(b"\r\n\r\n", 1)
    body = b"20000\r\n" + b"x" * 0x20000 + b"\r\n"
    start = head + b"\r\n\r\n" + body + end
    pattern = endless_answers.Pattern(start, invalid.repeated)
    async with (
        endless_answers.running(pattern) as server,
        run_pool(server.address) as pool,
        assert_others_proceed(),
    ):
        _, failure = await read_body(await send_request(pool))
        assert isinstance(failure, errors.AnswerInvalid)
        assert await server.wait_closed(PROMPT_SECONDS)


@testing.run_in_event_loop
async def test_bytes_before_a_request_close_the_connection():
    pattern = endless_answers.Pattern(b"", b"x")
    async with (
        endless_answers.running(pattern, wait_for_request=False) as server,
        run_pool(server.address) as pool,
    ):
        outcome = await send_request(pool, 0.5)
        assert not outcome.map(lambda _: True).value_or(False)
        assert await server.wait_closed(PROMPT_SECONDS)


@testing.run_in_event_loop
async def test_heads_and_bodies_within_the_limits_are_accepted():
    # Guards against refusing what a target may send.
    lines = [b"x%d: " % i + b" " * 500 + b"\xe9" * 500 for i in range(50)]
    head = endless_answers.build_head(b"Content-Length: 3000000", *lines)
    pattern = endless_answers.Pattern(
        endless_answers.INFORMATIONAL * 10 + endless_answers.OTHER_ANSWER + head, b"x"
    )
    async with (
        endless_answers.running(pattern) as server,
        run_pool(server.address) as pool,
    ):
        received, failure = await read_body(await send_request(pool))
        assert failure is None
        assert received == b"x" * 3_000_000


@testing.run_in_event_loop
async def test_head_that_arrives_byte_by_byte_is_accepted():
    pattern = endless_answers.Pattern(b"", endless_answers.COMPLETE_ANSWER)
    async with (
        endless_answers.running(pattern, interval=0.001) as server,
        run_pool(server.address) as pool,
    ):
        assert (await send_request(pool)).unwrap().body.start == b"ok"


@testing.run_in_event_loop
async def test_reason_of_a_refusal_is_shortened():
    # It becomes part of log lines.
    line = b"X-Not-Run: " + b"r" * 50_000
    head = endless_answers.build_head(b"Content-Length: 0", line)
    pattern = endless_answers.Pattern(head.replace(b"200 OK", b"503 Full"), b"x")
    async with (
        endless_answers.running(pattern) as server,
        run_pool(server.address) as pool,
    ):
        failure = (await send_request(pool)).failure()
        assert isinstance(failure, errors.TargetRefused)
        assert 0 < len(failure.reason) <= 200


CONTROL_PATTERNS = {
    **endless_answers.INVALID_PATTERNS,
    **endless_answers.UNENDING_BODIES,
    **endless_answers.SURPLUS_PATTERNS,
}


@pytest.mark.parametrize("name", CONTROL_PATTERNS)
@testing.run_in_event_loop
async def test_control_request_ends_by_its_timeout(name):
    pattern = CONTROL_PATTERNS[name]
    pattern = pattern._replace(
        start=pattern.start.replace(b"X-Id: a", b"X-Id2: a"),
    )
    async with (
        endless_answers.running(pattern) as server,
        assert_others_proceed(),
    ):
        target = data.Target("t", "s", "dc", *server.address, 4, 8, True, False)
        channel = control.ControlChannel(target, clocks.SystemClock(), "e")
        began = time.monotonic()
        outcome = await channel.send_request("GET", "/control/clock")
        assert not outcome.map(lambda _: True).value_or(False)
        assert time.monotonic() - began < 0.6 + PROMPT_SECONDS
        assert await server.wait_closed(PROMPT_SECONDS)
        assert server.sent_bytes < SOCKET_BUFFER_BYTES
        channel.close()


# Guards against an instance that runs out of its 300 MB while 400 requests get bodies
# without end from targets and their callers read nothing.
@pytest.mark.parametrize("name", ["chunks", "until-close"])
@testing.run_in_event_loop
async def test_many_unread_bodies_without_end_fit_into_memory(name):
    count = 20
    async with (
        endless_answers.running(endless_answers.UNENDING_BODIES[name]) as server,
        run_pool(server.address, limit=count) as pool,
    ):
        with trace_memory() as peaks:
            outcomes = await asyncio.gather(
                *(send_request(pool, 20.0) for _ in range(count))
            )
            await asyncio.sleep(1.0)
        assert peaks[0] < count * MAXIMUM_REQUEST_BYTES
        for outcome in outcomes:
            await bodies.close_body(outcome.unwrap().body)
