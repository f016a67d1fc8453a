import asyncio
import contextlib
import datetime
import json
import socket

import pytest
from returns import result

from dewstep_core import data, errors, settings
from dewstep_entry import bodies
from dewstep_entry.caller import listener

SHORT_TIMEOUT = datetime.timedelta(seconds=0.3)
LIMITS = settings.CallerLimits(
    head_bytes=1000,
    head_timeout=SHORT_TIMEOUT,
    body_rate_bytes=100_000,
    body_grace=SHORT_TIMEOUT,
)
BODY_LIMIT = 1_000_000
GET = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
POST = b"POST /a HTTP/1.1\r\nHost: x\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"


def identify_request(method, target, headers, body_length):
    if target == b"/none":
        return result.Failure(errors.UnknownService(method.decode(), "/none"))
    fields = ("s", "k", "key", "id", False, method.decode(), target.decode(), headers)
    body = data.Body(b"", None)
    return result.Success(data.Request(*fields, body_length, body, LIMITS.idle_timeout))


def build_answer(start=b"", rest=None, length=None, status=200):
    body = data.Body(start, rest)
    return result.Success(data.Answer(status, (), length, body, ""))


async def echo_path(request):
    return build_answer(request.path.encode())


async def measure_body(request):
    size = len(request.body.start)
    if request.body.rest is not None:
        async for chunk in request.body.rest:
            size += len(chunk)
    return build_answer(b"%d" % size)


class FunctionHandler:
    def __init__(self, handle):
        self.handle = handle


@contextlib.asynccontextmanager
async def serve(handle=echo_path, limits=LIMITS, prepare_parallel=None):
    address = settings.Address("127.0.0.1", 0)
    server = listener.Listener(
        address,
        limits,
        identify_request,
        lambda request: BODY_LIMIT,
        FunctionHandler(handle),
        "e1",
        prepare_parallel=prepare_parallel or (lambda request: None),
    )
    await server.start()
    try:
        yield server
    finally:
        server.abort()


async def send_pieces(server, *pieces, pause=0.0):
    """Send the pieces and return everything received until the connection closes."""
    reader, writer = await asyncio.open_connection(*server.address)

    async def send():
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(pause)

    sending = asyncio.ensure_future(send())
    received = b""
    with contextlib.suppress(ConnectionError, TimeoutError):
        async with asyncio.timeout(5):
            while chunk := await reader.read(65_536):
                received += chunk
    sending.cancel()
    writer.transport.abort()
    return received


async def read_answer(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    length = [line for line in head.lower().split(b"\r\n") if b"content-length" in line]
    return head, await reader.readexactly(int(length[0].split(b":")[1]))


def test_pipelined_requests_are_answered_in_order():
    async def delayed(request):
        await asyncio.sleep(0.05 if request.path == "/a" else 0)
        return build_answer(request.path.encode())

    async def scenario():
        async with serve(delayed) as server:
            reader, writer = await asyncio.open_connection(*server.address)
            writer.write(GET + GET.replace(b"/a", b"/b"))
            assert (await read_answer(reader))[1] == b"/a"
            assert (await read_answer(reader))[1] == b"/b"
            # Idle time between requests does not count as time for the head.
            await asyncio.sleep(0.5)
            writer.write(GET.replace(b"/a", b"/c"))
            assert (await read_answer(reader))[1] == b"/c"
            writer.close()

    asyncio.run(scenario())


OVERSIZED_HEAD = b"POST /a HTTP/1.1\r\nX: " + b"x" * 2000
INVALID_REQUESTS = [
    ((OVERSIZED_HEAD,), "HeadersTooLarge"),
    (
        (OVERSIZED_HEAD + b"\r\nHost: x\r\nContent-Length: 0\r\n\r\n",),
        "HeadersTooLarge",
    ),
    ((POST + b"Content-Length: 1000001\r\n\r\n",), "BodyTooLarge"),
    (
        (POST + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",),
        "MalformedRequest",
    ),
    ((POST + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\n",), "MalformedRequest"),
    ((CHUNKED + b"zz\r\nxx",), "MalformedRequest"),
    ((b"CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n",), "MalformedRequest"),
    ((b"nonsense\r\n\r\n",), "MalformedRequest"),
    ([b"%c" % byte for byte in GET], "RequestTooSlow"),
    ((POST + b"Content-Length: 9\r\n\r\n", *[b"x"] * 9), "RequestTooSlow"),
    # A slow streamed body has reached the handler, which receives its failure.
    ((POST + b"Content-Length: 90000\r\n\r\n", *[b"x"] * 99), "ConnectionLost"),
]


@pytest.mark.parametrize(("pieces", "failure"), INVALID_REQUESTS)
def test_invalid_and_slow_requests_get_specific_failures(pieces, failure):
    async def handle(request):
        try:
            return await measure_body(request)
        except bodies.BodyFailure as error:
            assert isinstance(error.failure, errors.RequestTooSlow)
            return result.Failure(errors.ConnectionLost("t"))

    async def scenario():
        async with serve(handle) as server:
            received = await send_pieces(server, *pieces, pause=0.1)
            head, _, body = received.partition(b"\r\n\r\n")
            failure_header = b"\r\ndewstep-failure: %b\r\n" % failure.encode().lower()
            assert failure_header in head.lower() + b"\r\n"
            content = json.loads(body)
            rule = errors.answer_rules.get(failure)
            assert head.startswith(b"HTTP/1.1 %d " % rule.status)
            assert (content["type"], content["outcome"]) == (failure, rule.outcome)

    asyncio.run(scenario())


def test_refusal_keeps_the_connection_open_and_has_a_retry_time():
    async def refuse(request):
        return result.Failure(errors.GateUnknown("t"))

    async def scenario():
        async with serve(refuse) as server:
            reader, writer = await asyncio.open_connection(*server.address)
            writer.write(POST.replace(b"/a", b"/none") + b"Content-Length: 2\r\n\r\nab")
            head, _ = await read_answer(reader)
            assert head.startswith(b"HTTP/1.1 404 ")
            writer.write(GET)
            head, _ = await read_answer(reader)
            assert head.startswith(b"HTTP/1.1 503 ")
            assert b"retry-after: 1\r\n" in head.lower()
            writer.close()

    asyncio.run(scenario())


def test_large_and_chunked_bodies_stream_to_the_handler():
    async def scenario():
        async with serve(measure_body) as server:
            reader, writer = await asyncio.open_connection(*server.address)
            writer.write(POST + b"Content-Length: 900000\r\n\r\n" + b"x" * 900_000)
            assert (await read_answer(reader))[1] == b"900000"
            writer.write(CHUNKED + b"186a0\r\n" + b"x" * 100_000 + b"\r\n0\r\n\r\n")
            assert (await read_answer(reader))[1] == b"100000"
            writer.close()

    asyncio.run(scenario())


def test_continue_is_sent_only_for_bodies_within_the_limit():
    expect = b"Expect: 100-continue\r\nContent-Length: %d\r\n\r\n"

    async def scenario():
        async with serve(measure_body) as server:
            reader, writer = await asyncio.open_connection(*server.address)
            writer.write(POST + expect % 3)
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100 ")
            writer.write(b"abc")
            assert (await read_answer(reader))[1] == b"3"
            writer.write(POST + expect % (BODY_LIMIT + 1))
            assert (await read_answer(reader))[0].startswith(b"HTTP/1.1 413 ")
            writer.close()

    asyncio.run(scenario())


def test_disconnect_of_the_caller_cancels_the_handler():
    ended = asyncio.Event()

    async def wait(request):
        try:
            await asyncio.sleep(5)
        finally:
            ended.set()

    async def scenario():
        async with serve(wait) as server:
            _, writer = await asyncio.open_connection(*server.address)
            writer.write(GET)
            await asyncio.sleep(0.05)
            writer.close()
            await asyncio.wait_for(ended.wait(), 1)

    asyncio.run(scenario())


def test_connection_of_a_caller_that_never_reads_is_closed():
    generated_sizes = []
    closed = []

    async def generate():
        try:
            while True:
                generated_sizes.append(65_536)
                yield b"x" * 65_536
        finally:
            closed.append(True)

    async def endless(request):
        return build_answer(b"", generate())

    async def scenario():
        async with serve(endless) as server:
            client = socket.socket()
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
            client.connect(server.address)
            client.sendall(GET)
            await asyncio.sleep(0.2)
            (connection,) = server.connections
            assert connection.transport.get_write_buffer_size() < 400_000
            async with asyncio.timeout(5):
                while server.connections or not closed:
                    await asyncio.sleep(0.05)
            client.close()
            # Only as much as fits into the buffers was generated.
            assert sum(generated_sizes) < 20_000_000

    asyncio.run(scenario())


@pytest.mark.parametrize("length", [None, 10])
@pytest.mark.parametrize("version", [b"1.1", b"1.0"])
def test_answer_whose_body_fails_ends_in_a_reset(version, length):
    async def fail_midway():
        yield b"half"
        await asyncio.sleep(0.05)
        raise bodies.BodyFailure(errors.ConnectionLost("t"))

    async def handle(request):
        return build_answer(b"", fail_midway(), length)

    async def scenario():
        async with serve(handle) as server:
            reader, writer = await asyncio.open_connection(*server.address)
            writer.write(GET.replace(b"1.1", version))
            # In HTTP/1.0 a close ends the body, so a truncated one needs a reset.
            with pytest.raises(ConnectionResetError):
                await reader.read(-1)
            writer.close()

    asyncio.run(scenario())


def test_connection_is_reusable_after_answers_without_body():
    async def handle(request):
        if request.method == "HEAD":
            return build_answer(b"", None, 77)
        return build_answer(b"", None, None, 204)

    async def scenario():
        async with serve(handle) as server:
            reader, writer = await asyncio.open_connection(*server.address)
            writer.write(GET.replace(b"GET", b"HEAD") + GET)
            head = await reader.readuntil(b"\r\n\r\n")
            assert b"content-length: 77" in head.lower()
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 204 ")
            writer.close()

    asyncio.run(scenario())


def test_stop_completes_requests_and_closes_idle_connections():
    async def slow(request):
        await asyncio.sleep(0.2)
        return build_answer(b"done")

    async def scenario():
        async with serve(slow) as server:
            idle, _ = await asyncio.open_connection(*server.address)
            busy, writer = await asyncio.open_connection(*server.address)
            writer.write(GET)
            await asyncio.sleep(0.05)
            stopping = asyncio.ensure_future(server.stop())
            head, body = await read_answer(busy)
            assert body == b"done" and b"connection: close" in head.lower()
            assert await idle.read() == b"" and await busy.read() == b""
            with pytest.raises(ConnectionError):
                await asyncio.open_connection(*server.address)
            writer.close()
            await asyncio.wait_for(stopping, 3)

    asyncio.run(scenario())


# Guards against a connection that stays open until the end of a stop, as the answer's
# head was written before the stop began; a request sent on it then would be cut.
def test_stop_closes_a_connection_after_an_answer_that_had_begun():
    may_end = asyncio.Event()

    async def stream():
        yield b"1"
        await may_end.wait()
        yield b"2"

    async def handle(request):
        return build_answer(rest=stream(), length=2)

    async def scenario():
        async with serve(handle) as server:
            reader, writer = await asyncio.open_connection(*server.address)
            writer.write(GET)
            await reader.readuntil(b"\r\n\r\n1")
            stopping = asyncio.ensure_future(server.stop())
            await asyncio.sleep(0.02)
            may_end.set()
            assert await asyncio.wait_for(reader.read(), 2) == b"2"
            writer.close()
            await asyncio.wait_for(stopping, 2)

    asyncio.run(scenario())


async def change_limits(server, **changes):
    """Apply limits of a new configuration, once all that was sent has been read."""
    await asyncio.sleep(0.05)
    server.limits = server.limits._replace(**changes)
    await asyncio.sleep(0.05)


@contextlib.asynccontextmanager
async def connect(server):
    """Open a connection of a caller."""
    reader, writer = await asyncio.open_connection(*server.address)
    try:
        yield reader, writer
    finally:
        writer.transport.abort()


def build_get(size):
    """Return a request whose head has `size` bytes."""
    start, end = GET[:-2] + b"X: ", b"\r\n\r\n"
    return start + b"x" * (size - len(start) - len(end)) + end


# Guards against a kept connection that refuses what the current configuration allows,
# or allows what it refuses.
def test_head_limit_of_a_new_configuration_applies_to_kept_connections():
    async def scenario():
        async with serve() as server, contextlib.AsyncExitStack() as stack:
            reader, writer = await stack.enter_async_context(connect(server))
            # This connection is idle before its first request, the other after it.
            unused_reader, unused_writer = await stack.enter_async_context(
                connect(server)
            )
            writer.write(build_get(1_000))
            assert (await read_answer(reader))[1] == b"/a"
            await change_limits(server, head_bytes=3_000)
            for pieces in ([build_get(3_000)], [build_get(3_000)[:2_900]]):
                writer.write(pieces[0])
                await asyncio.sleep(0.02)
            writer.write(build_get(3_000)[2_900:])
            for _ in range(2):
                assert (await read_answer(reader))[1] == b"/a"
            unused_writer.write(build_get(3_000))
            assert (await read_answer(unused_reader))[1] == b"/a"
            await change_limits(server, head_bytes=500)
            writer.write(build_get(502)[:-1])
            assert b" 431 " in (await read_answer(reader))[0]

    asyncio.run(scenario())


# Guards against a request that is cut off since a limit is lowered while it is read.
def test_lowered_limits_apply_from_the_next_request():
    limits = LIMITS._replace(head_bytes=3_000, head_timeout=datetime.timedelta(60))

    async def scenario():
        async with serve(limits=limits) as server, connect(server) as (reader, writer):
            writer.write(build_get(2_000)[:1_000])
            await asyncio.sleep(0.02)
            await change_limits(server, head_bytes=500, head_timeout=SHORT_TIMEOUT)
            writer.write(build_get(2_000)[1_000:1_900])
            await asyncio.sleep(0.7)
            writer.write(build_get(2_000)[1_900:])
            assert (await read_answer(reader))[1] == b"/a"
            writer.write(build_get(2_000))
            assert b" 431 " in (await read_answer(reader))[0]

    asyncio.run(scenario())


# Guards against kept connections that are closed, or stay open, as an earlier
# configuration says, and against the close of one that its caller may still use.
@pytest.mark.parametrize(("before", "after"), [(0.2, 60), (60, 0.2)])
def test_longer_idle_timeout_applies_at_once_and_a_shorter_one_after_a_request(
    before, after
):
    limits = LIMITS._replace(idle_timeout=datetime.timedelta(seconds=before))
    changed = datetime.timedelta(seconds=after)

    async def scenario():
        async with serve(limits=limits) as server, connect(server) as (reader, writer):
            await change_limits(server, idle_timeout=changed)
            await asyncio.sleep(0.6)
            writer.write(GET)
            assert (await read_answer(reader))[1] == b"/a"
            await asyncio.sleep(0.6)
            assert bool(server.connections) == (after > before)

    asyncio.run(scenario())


# Guards against a slow caller that is measured by an earlier configuration.
def test_head_timeout_of_a_new_configuration_applies_to_kept_connections():
    async def scenario():
        async with serve() as server, connect(server) as (reader, writer):
            writer.write(GET)
            await read_answer(reader)
            await change_limits(server, head_timeout=datetime.timedelta(seconds=60))
            writer.write(GET[:-2])
            await asyncio.sleep(0.8)
            writer.write(GET[-2:])
            assert (await read_answer(reader))[1] == b"/a"

    asyncio.run(scenario())


# Guards against limits of an earlier configuration for requests that were sent ahead,
# and against a body that is refused since its limit is lowered while it waits.
def test_limits_of_requests_that_are_sent_ahead_are_those_when_they_are_read():
    first = asyncio.Event()

    async def handle(request):
        if request.path == "/first":
            await first.wait()
        return await measure_body(request)

    async def scenario():
        async with (
            serve(handle, prepare_parallel=lambda request: request) as server,
            connect(server) as (reader, writer),
        ):
            writer.write(GET.replace(b"/a", b"/first"))
            await change_limits(server, head_bytes=3_000)
            writer.write(build_get(2_500))
            body = b"x" * 100_000
            writer.write(POST + b"Content-Length: %d\r\n\r\n" % len(body))
            await change_limits(server, head_bytes=500)
            server.get_body_limit = lambda request: 10
            first.set()
            for _ in range(2):
                assert (await read_answer(reader))[1] == b"0"
            writer.write(body)
            assert (await read_answer(reader))[1] == b"%d" % len(body)

    asyncio.run(scenario())


# Guards against a chunked body that is cut off at the limit of an earlier
# configuration.
def test_raised_body_limit_applies_to_a_body_that_is_read():
    async def scenario():
        async with serve(measure_body) as server, connect(server) as (reader, writer):
            server.get_body_limit = lambda request: 100_000
            writer.write(CHUNKED + b"15f90\r\n" + b"x" * 90_000 + b"\r\n")
            await asyncio.sleep(0.05)
            server.get_body_limit = lambda request: 200_000
            writer.write(b"15f90\r\n" + b"x" * 90_000 + b"\r\n0\r\n\r\n")
            assert (await read_answer(reader))[1] == b"180000"

    asyncio.run(scenario())


# Guards against 431 for a head within the limit, as its size was estimated too high
# once bytes behind it had arrived.
def test_head_of_the_maximum_size_is_accepted_with_bytes_behind_it():
    short = b"POST /a HTTP/1.1\r\nHost:x\r\nContent-Length:900\r\n"
    short += b"".join(b"X:\r\n" for _ in range(200))
    limit = len(short) + 2

    async def scenario():
        async with (
            serve(measure_body, LIMITS._replace(head_bytes=limit)) as server,
            connect(server) as (reader, writer),
        ):
            writer.write(short + b"\r\n" + b"x" * 900 + GET)
            assert (await read_answer(reader))[1] == b"900"
            assert (await read_answer(reader))[1] == b"0"
            writer.write(short + b"Y:\r\n\r\n" + b"x" * 900)
            assert b" 431 " in (await read_answer(reader))[0]

    asyncio.run(scenario())
