"""Tests of callers that send further requests before the first one is answered."""

import asyncio
import contextlib
import re

import pytest

from dewstep_entry import bodies
from dewstep_entry.caller import listener, listener_test, sequencing

GET, POST = listener_test.GET, listener_test.POST
SMALL_POST = POST.replace(b"/a", b"/z") + b"Content-Length: 1\r\n\r\nx"
build_answer, read_answer = listener_test.build_answer, listener_test.read_answer


def build_get(name):
    """Return a request for a path of one letter."""
    return GET.replace(b"/a", b"/" + name.encode())


class Handler:
    """Handles each request when the test says so."""

    def __init__(self):
        self.started = []
        self.cancelled = []
        self.gates = {}

    def finish(self, *names, answer=None):
        for name in names:
            gate = self.gates.setdefault(name, asyncio.Future())
            gate.set_result(answer or build_answer(name.encode()))

    async def handle(self, request):
        name = request.path[1:]
        self.started.append(name)
        try:
            return await self.gates.setdefault(name, asyncio.Future())
        except asyncio.CancelledError:
            self.cancelled.append(name)
            raise

    async def wait_started(self, *names):
        async with asyncio.timeout(2):
            while self.started != list(names):
                await asyncio.sleep(0.005)
        # Long enough for a request to start that must not.
        await asyncio.sleep(0.02)
        assert self.started == list(names)


async def wait_for_start(handler, name):
    async with asyncio.timeout(2):
        while name not in handler.started:
            await asyncio.sleep(0.005)


class Caller:
    """A connection of a caller."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    def send(self, *pieces):
        self.writer.write(b"".join(pieces))

    async def read(self):
        head, body = await asyncio.wait_for(read_answer(self.reader), 2)
        return body.decode(), b"connection: close" in head.lower()

    async def read_end(self):
        return await asyncio.wait_for(self.reader.read(), 2) == b""


@contextlib.asynccontextmanager
async def calling(
    prepare_parallel=lambda request: request, limits=listener_test.LIMITS
):
    handler = Handler()
    async with listener_test.serve(handler.handle, limits, prepare_parallel) as server:
        reader, writer = await asyncio.open_connection(*server.address)
        try:
            yield server, handler, Caller(reader, writer)
        finally:
            writer.transport.abort()


def run(scenario):
    asyncio.run(scenario())


# Guards against a request that waits for the target of the one in front of it.
@pytest.mark.parametrize("at_once", [True, False])
def test_requests_run_side_by_side_and_are_answered_in_order(at_once):
    async def scenario():
        async with calling() as (_, handler, caller):
            requests = [build_get(name) for name in "abc"]
            if at_once:
                caller.send(*requests)
            else:
                for request in requests:
                    # Each arrives in two parts.
                    for part in (request[:9], request[9:]):
                        caller.send(part)
                        await asyncio.sleep(0.01)
            await handler.wait_started("a", "b", "c")
            handler.finish("c", "b")
            await asyncio.sleep(0.02)
            handler.finish("a")
            for name in "abc":
                assert await caller.read() == (name, False)
            caller.send(build_get("d"))
            handler.finish("d")
            assert await caller.read() == ("d", False)

    run(scenario)


# Guards against a request that may not be repeated, and runs behind an answer that
# closes the connection, after which the caller sends it again.
@pytest.mark.parametrize(
    "requests",
    [
        (GET, POST.replace(b"/a", b"/b") + b"Content-Length: 1\r\n\r\nx"),
        (GET, listener_test.CHUNKED.replace(b"/a", b"/b") + b"1\r\nx\r\n0\r\n\r\n"),
        (POST + b"Content-Length: 1\r\n\r\nx", build_get("b")),
        (GET, b"GET /b HTTP/1.1\r\nHost: x\r\nMay-Run: alone\r\n\r\n"),
        (b"GET /a HTTP/1.1\r\nHost: x\r\nMay-Run: alone\r\n\r\n", build_get("b")),
    ],
)
def test_request_that_may_not_be_repeated_runs_alone(requests):
    def prepare(request):
        alone = (b"may-run", b"alone") in request.headers
        return None if alone else request

    async def scenario():
        async with calling(prepare) as (_, handler, caller):
            caller.send(*requests, build_get("c"))
            await handler.wait_started("a")
            handler.finish("a")
            assert await caller.read() == ("a", False)
            await wait_for_start(handler, "b")
            handler.finish("b", "c")
            assert await caller.read() == ("b", False)
            assert await caller.read() == ("c", False)

    run(scenario)


# Guards against requests that were read, and are dropped or cut off by a planned stop:
# those that wait for their turn, do not fit into the queue, or arrive during the stop.
@pytest.mark.parametrize(
    ("sent", "sent_later"),
    [
        ((GET, SMALL_POST), ()),
        ((GET, build_get("b"), build_get("c")[:9]), (build_get("c")[9:], SMALL_POST)),
        (tuple(map(build_get, "abcdefghijkl")), ()),
    ],
)
def test_planned_stop_answers_all_requests_that_were_read(sent, sent_later):
    names = "".join(re.findall(r" /(.) ", b"".join((*sent, *sent_later)).decode()))

    async def scenario():
        async with calling() as (server, handler, caller):
            caller.send(*sent)
            await wait_for_start(handler, "a")
            server.close_after_answer = True
            stopping = asyncio.ensure_future(server.stop())
            caller.send(*sent_later)
            await asyncio.sleep(0.02)
            handler.finish(*names)
            for name in names:
                assert await caller.read() == (name, name == names[-1])
            assert await caller.read_end()
            caller.writer.close()
            await asyncio.wait_for(stopping, 2)
            assert handler.started == list(names) and not handler.cancelled

    run(scenario)


# Guards against a stop that drops what arrived with the end of a streamed body.
def test_planned_stop_answers_a_request_behind_a_streamed_body():
    size = bodies.SMALL_BODY_BYTES + 1
    body = b"%x\r\n%b\r\n0\r\n\r\n" % (size, b"x" * size)

    async def scenario():
        async with listener_test.serve(listener_test.measure_body) as server:
            reader, writer = await asyncio.open_connection(*server.address)
            server.close_after_answer = True
            caller = Caller(reader, writer)
            caller.send(listener_test.CHUNKED, body, build_get("b"))
            assert await caller.read() == (str(size), False)
            assert await caller.read() == ("0", True)
            assert await caller.read_end()
            writer.close()

    run(scenario)


# Guards against requests that start behind an answer that closes the connection, and
# against a stop that waits for the end of a head.
@pytest.mark.parametrize("last", [build_get("c"), build_get("c")[:9]])
def test_nothing_is_read_behind_an_answer_that_closes_the_connection(last):
    may_end = asyncio.Event()

    async def stream():
        yield b"1"
        await may_end.wait()
        yield b"2"

    async def scenario():
        async with calling() as (server, handler, caller):
            caller.send(build_get("a"), build_get("b"))
            await handler.wait_started("a", "b")
            server.close_after_answer = True
            handler.finish("a")
            handler.finish("b", answer=build_answer(rest=stream(), length=2))
            assert await caller.read() == ("a", False)
            head = await caller.reader.readuntil(b"\r\n\r\n1")
            assert b"connection: close" in head.lower()
            caller.send(last)
            await handler.wait_started("a", "b")
            may_end.set()
            assert await asyncio.wait_for(caller.reader.read(), 2) == b"2"
            assert handler.started == ["a", "b"]

    run(scenario)


# Guards against work that goes on for a caller that has left.
def test_disconnection_cancels_all_requests():
    async def scenario():
        async with calling() as (server, handler, caller):
            caller.send(*map(build_get, "abc"))
            await handler.wait_started("a", "b", "c")
            caller.writer.transport.abort()
            async with asyncio.timeout(2):
                while len(handler.cancelled) < 3:
                    await asyncio.sleep(0.005)
            assert not server.parallel_requests

    run(scenario)


# Guards against input after an error that is taken for a request.
@pytest.mark.parametrize(
    "invalid",
    [
        b"x y z\r\n\r\n",
        POST + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n",
        b"GET /z HTTP/1.1\r\nHost: x\r\nX: " + b"y" * 2_000 + b"\r\n\r\n",
    ],
)
def test_invalid_request_is_refused_in_its_turn_and_ends_the_connection(invalid):
    async def scenario():
        async with calling() as (_, handler, caller):
            caller.send(build_get("a"), build_get("b"), invalid, build_get("c"))
            await handler.wait_started("a", "b")
            handler.finish("b", "a")
            assert await caller.read() == ("a", False)
            assert await caller.read() == ("b", False)
            body, closed = await caller.read()
            assert closed and '"outcome": "bad-request"' in body
            assert await caller.read_end()
            assert handler.started == ["a", "b"]

    run(scenario)


# Guards against a caller's own close that cuts the requests in front of it, and against
# requests that are read behind it.
def test_request_that_closes_the_connection_is_the_last():
    last = build_get("b").replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")

    async def scenario():
        async with calling() as (_, handler, caller):
            caller.send(build_get("a"), last, build_get("c"))
            await handler.wait_started("a", "b")
            handler.finish("b", "a")
            assert await caller.read() == ("a", False)
            assert await caller.read() == ("b", True)
            assert await caller.read_end()
            assert handler.started == ["a", "b"]

    run(scenario)


# Guards against a caller that gets more of the targets than others by sending ahead.
def test_requests_behind_the_first_are_bounded():
    names = "abcdefghijklmnop"

    async def scenario():
        async with calling() as (server, handler, caller):
            caller.send(*map(build_get, names))
            bound = 1 + sequencing.MAX_REQUESTS_BEHIND
            await handler.wait_started(*names[:bound])
            assert server.parallel_requests == sequencing.MAX_REQUESTS_BEHIND
            handler.finish(*names)
            for name in names:
                assert await caller.read() == (name, False)
            assert handler.started == list(names)

    run(scenario)


# Guards against a process whose memory fills with answers that wait for their turn.
def test_requests_behind_others_are_bounded_for_the_process(monkeypatch):
    monkeypatch.setattr(listener, "MAX_PARALLEL_REQUESTS", 1)

    async def scenario():
        async with calling() as (_, handler, caller):
            caller.send(*map(build_get, "abc"))
            await handler.wait_started("a", "b")
            handler.finish(*"abc")
            for name in "abc":
                assert await caller.read() == (name, False)

    run(scenario)


# Guards against a streamed answer that is read before its turn, or mixed with others.
def test_streamed_answers_wait_for_their_turn():
    chunk, count = b"x" * bodies.SMALL_BODY_BYTES, 20
    read = []

    async def stream(name):
        for _ in range(count):
            read.append(name)
            yield chunk

    async def scenario():
        async with calling() as (_, handler, caller):
            caller.send(*map(build_get, "abc"))
            await handler.wait_started("a", "b", "c")
            for name in "cb":
                size = len(chunk) * count
                answer = build_answer(rest=stream(name), length=size)
                handler.finish(name, answer=answer)
            await asyncio.sleep(0.05)
            assert not read
            handler.finish("a")
            assert await caller.read() == ("a", False)
            for _ in "bc":
                body, _ = await caller.read()
                assert body.encode() == chunk * count
            assert read == ["b"] * count + ["c"] * count

    run(scenario)


# Guards against requests behind an answer that breaks off, which look answered.
def test_answer_that_breaks_off_ends_the_connection():
    async def fail():
        yield b"x"
        raise bodies.BodyFailure("lost")

    async def scenario():
        async with calling() as (_, handler, caller):
            caller.send(*map(build_get, "ab"))
            await handler.wait_started("a", "b")
            handler.finish("b")
            handler.finish("a", answer=build_answer(rest=fail(), length=9))
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                await caller.read()
            with contextlib.suppress(ConnectionError):
                assert await caller.read_end()

    run(scenario)


# Guards against a refusal that waits for input since its request was read to the end.
def test_refused_request_is_answered_in_its_turn():
    first = POST + b"Content-Length: 1\r\n\r\nx"

    async def scenario():
        async with calling() as (_, handler, caller):
            caller.send(first, GET.replace(b"/a", b"/none"))
            await handler.wait_started("a")
            handler.finish("a", "b")
            assert await caller.read() == ("a", False)
            assert "UnknownService" in (await caller.read())[0]
            caller.send(build_get("b"))
            assert await caller.read() == ("b", False)

    run(scenario)
