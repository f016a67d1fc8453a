import asyncio
import contextlib
import datetime
import socket

import pytest

from dewstep_core import clocks, data, errors
from dewstep_emulator import testing
from dewstep_emulator.ownership import event_loop
from dewstep_entry import bodies
from dewstep_entry.targets import target_pool

SECOND = datetime.timedelta(seconds=1)
SYSTEM_CLOCK = clocks.SystemClock()
STAMP = data.GrantStamp(3, 7, "boot-1", 9 * SECOND)
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
HEADERS = (
    (b"accept", b"*/*"),
    (b"dewstep-term", b"99"),
    (b"dewstep-kind", b"forged"),
    (b"dewstep-unknown", b"forged"),
    (b"connection", b"x-hop"),
    (b"x-hop", b"1"),
)


def build_request(
    rest=None,
    length=0,
    key="k 1",
    seconds=5.0,
    method="POST",
    clock=SYSTEM_CLOCK,
):
    deadline = clock.monotonic() + seconds * SECOND
    body = data.Body(b"", rest)
    fields = ("booker", "book", key, "id-1", False, method, "/book/1")
    return data.Request(*fields, HEADERS, length, body, deadline)


@contextlib.asynccontextmanager
async def run_target(*scripts, limit=None, clock=SYSTEM_CLOCK):
    """Run a target that handles its n-th connection with the n-th script."""
    accepted = []

    async def accept(reader, writer):
        number = len(accepted)
        accepted.append(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await scripts[min(number, len(scripts) - 1)](reader, writer)

    server = await testing.start_scripted_server(accept)
    port = server.sockets[0].getsockname()[1]
    target = data.Target("t", "booker", "dc", "127.0.0.1", port, 4, 50, True, False)
    channel = target_pool.TargetPool(target, clock, "e1", "dc", limit)
    try:
        yield channel, accepted
    finally:
        await channel.close()
        server.close()


def answer_with(*pieces, requests=1000, then_close=False):
    async def script(reader, writer):
        for _ in range(requests):
            await reader.readuntil(b"\r\n\r\n")
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0.01 if len(pieces) > 1 else 0)
        if then_close:
            writer.close()
        else:
            await asyncio.sleep(60)

    return script


def test_protocol_headers_are_added_and_those_of_the_caller_removed():
    heads = []

    async def script(reader, writer):
        heads.append(await reader.readuntil(b"\r\n\r\n"))
        writer.write(OK)

    async def scenario():
        async with run_target(script) as (channel, _):
            outcome = await channel.exchange(build_request(), STAMP)
            assert outcome.unwrap().body.start == b"ok"

    asyncio.run(scenario())
    lines = heads[0].lower().split(b"\r\n")
    for line in (b"term: 3", b"epoch: 7", b"boot: boot-1", b"key: k%201", b"entry: e1"):
        assert lines.count(b"dewstep-" + line) == 1
    # Neither the caller's term nor hop-by-hop headers may reach the target.
    assert b"dewstep-term: 99" not in lines and b"x-hop: 1" not in lines
    assert not [line for line in lines if b"forged" in line]


REFUSED = b"HTTP/1.1 409 No\r\nDewstep-Refused: fenced\r\nContent-Length: 0\r\n\r\n"
TRUNCATED = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok"
WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\n\r\nok"
ANSWER_TO_OTHER_REQUEST = REFUSED.replace(
    b"Content", b"Dewstep-Request-Id: id-2\r\nContent"
)
LENGTH_AND_CHUNKED = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
)


@pytest.mark.parametrize(
    ("piece", "expected"),
    [
        (REFUSED, errors.TargetRefused),
        (ANSWER_TO_OTHER_REQUEST, errors.AnswerInvalid),
        (TRUNCATED, errors.ConnectionLost),
        (b"", errors.ConnectionLost),
        (OK + OK, errors.AnswerInvalid),
        (OK + b"x", errors.AnswerInvalid),
        (WITHOUT_LENGTH, errors.AnswerInvalid),
        (LENGTH_AND_CHUNKED, errors.AnswerInvalid),
        (b"nonsense\r\n\r\n", errors.AnswerInvalid),
    ],
)
def test_invalid_answers_are_failures(piece, expected):
    async def scenario():
        script = answer_with(piece, requests=1, then_close=True)
        async with run_target(script) as (channel, _):
            outcome = await channel.exchange(build_request(), STAMP)
            assert isinstance(outcome.failure(), expected)
            # The failure must not quote input, which may be another caller's answer.
            assert "nonsense" not in repr(outcome.failure())

    asyncio.run(scenario())


def test_late_answer_is_not_returned_to_the_next_request():
    async def answer_late(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(0.15)
        writer.write(OK.replace(b"ok", b"no"))

    async def scenario():
        async with run_target(answer_late, answer_with(OK)) as (channel, accepted):
            outcome = await channel.exchange(build_request(seconds=0.1), STAMP)
            assert isinstance(outcome.failure(), errors.DeadlineExceeded)
            await asyncio.sleep(0.1)
            outcome = await channel.exchange(build_request(), STAMP)
            assert outcome.unwrap().body.start == b"ok" and len(accepted) == 2

    asyncio.run(scenario())


@pytest.mark.parametrize("extra", [OK, None])
@pytest.mark.parametrize("pause", [0.1, 0])
@testing.run_in_virtual_time
async def test_closed_connection_or_one_with_extra_input_is_replaced(extra, pause):
    # Guards against returning a second answer to the next caller. The target shares the
    # event loop: in real time, a late loop delays the second answer past the delay for
    # which a connection is not reused.
    async def answer_and_close(reader, writer):
        await answer_with(OK, requests=1, then_close=True)(reader, writer)

    async def answer_twice(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(OK)
        await asyncio.sleep(0.01)
        writer.write(OK.replace(b"ok", b"no"))
        await asyncio.sleep(60)

    script = answer_twice if extra else answer_and_close
    clock = event_loop.LoopClock(asyncio.get_running_loop())
    async with run_target(script, answer_with(OK), clock=clock) as (channel, accepted):
        for _ in range(2):
            outcome = await channel.exchange(build_request(clock=clock), STAMP)
            assert outcome.unwrap().body.start == b"ok"
            await asyncio.sleep(pause)
        assert len(accepted) == 2


def test_closed_connection_is_not_used_before_the_event_loop_reports_the_close():
    # Guards against reporting a request as lost that cannot have run.
    async def scenario():
        async with run_target(answer_with(OK), limit=1) as (channel, accepted):
            (await channel.exchange(build_request(), STAMP)).unwrap()
            accepted[0].get_extra_info("socket").shutdown(socket.SHUT_RDWR)
            (await channel.exchange(build_request(), STAMP)).unwrap()
            assert len(accepted) == 2

    asyncio.run(scenario())


def test_connections_stay_within_the_limit_and_are_reused():
    async def scenario():
        async with run_target(answer_with(OK), limit=4) as (channel, accepted):
            calls = [channel.exchange(build_request(), STAMP) for _ in range(40)]
            for outcome in await asyncio.gather(*calls):
                assert outcome.unwrap().status == 200
            assert 1 <= len(accepted) <= 3

    asyncio.run(scenario())


def test_request_is_not_run_if_the_connection_is_refused():
    async def scenario():
        target = data.Target("t", "s", "dc", "127.0.0.1", 1, 4, 50, True, False)
        channel = target_pool.TargetPool(target, clocks.SystemClock(), "e1", "dc")
        outcome = await channel.exchange(build_request(), STAMP)
        assert isinstance(outcome.failure(), errors.TargetUnavailable)
        outcome = await channel.read_clock()
        assert isinstance(outcome.failure(), errors.TargetUnavailable)

    asyncio.run(scenario())


def test_cancelled_request_closes_its_connection():
    # Guards against a target that continues with a cancelled request. A reset also
    # discards data that a network partition still delays.
    ended = []

    async def script(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        try:
            ended.append(await reader.read())
        except ConnectionResetError:
            ended.append("reset")

    async def scenario():
        async with run_target(script) as (channel, _):
            task = asyncio.ensure_future(channel.exchange(build_request(), STAMP))
            await asyncio.sleep(0.05)
            task.cancel()
            await asyncio.sleep(0.05)
            assert ended == ["reset"] and not channel.open_connections

    asyncio.run(scenario())


def test_bodies_stream_in_both_directions_and_a_truncated_one_raises():
    size = 3_000_000

    async def script(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        received = await reader.readexactly(size)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (size + 1))
        writer.write(received)
        await writer.drain()
        writer.close()

    async def generate_chunks():
        for number in range(30):
            yield bytes([number]) * (size // 30)

    async def scenario():
        async with run_target(script) as (channel, _):
            outcome = await channel.exchange(
                build_request(generate_chunks(), size), STAMP
            )
            answer = outcome.unwrap()
            await asyncio.sleep(0.1)
            assert answer.body.rest.size < 1_000_000
            received = len(answer.body.start)
            with pytest.raises(bodies.BodyFailure) as caught:
                async for chunk in answer.body.rest:
                    received += len(chunk)
            assert received == size
            assert isinstance(caught.value.failure, errors.ConnectionLost)

    asyncio.run(scenario())


def test_control_requests_do_not_wait_for_busy_data_connections():
    clock_body = b'{"boot": "b", "clock": 1.5, "term": 4}'
    reading = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(clock_body)
    refusal = b"HTTP/1.1 409 No\r\nContent-Length: 4\r\n\r\nterm"

    async def script(reader, writer):
        while line := await reader.readline():
            await reader.readuntil(b"\r\n\r\n")
            if line.startswith(b"GET /control/clock"):
                writer.write(reading + clock_body)
            elif line.startswith(b"PUT /control/grant"):
                await reader.readuntil(b"}")
                writer.write(refusal)

    async def scenario():
        async with run_target(script, limit=2) as (channel, _):
            busy = asyncio.ensure_future(channel.exchange(build_request(), STAMP))
            await asyncio.sleep(0.05)
            found = (await channel.read_clock()).unwrap()
            assert (found.boot, found.clock, found.term) == ("b", 1.5 * SECOND, 4)
            assert found.sent <= found.received
            outcome = await channel.send_grant(data.Grant("b", 3, SECOND))
            assert outcome.failure() == errors.TargetRefused("t", "term")
            busy.cancel()

    asyncio.run(scenario())
