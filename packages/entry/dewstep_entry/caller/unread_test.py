"""Tests of requests that have not been read completely when a stop is nearly over."""

import asyncio

import pytest

from dewstep_core import errors, settings
from dewstep_entry.caller import listener_test

GET, POST = listener_test.GET, listener_test.POST
LARGE = POST + b"Content-Length: 100000\r\n\r\nx"


def run(scenario):
    asyncio.run(scenario())


async def start_request(server, content):
    reader, writer = await asyncio.open_connection(*server.address)
    writer.write(content)
    await asyncio.sleep(0.05)
    return reader, writer


def refuse(server):
    server.close_after_answer = True
    server.refuse_unread(errors.Stopping("e1"))


# Guards against requests that are read until the end of a stop and are never answered,
# now or when their next part arrives.
@pytest.mark.parametrize(
    "content",
    [
        GET[:9],
        POST + b"Content-Length: 4\r\n\r\nbo",
        listener_test.CHUNKED + b"2\r\nbo\r\n",
        GET + POST + b"Content-Length: 4\r\n\r\nbo",
    ],
)
def test_request_that_is_not_read_completely_is_refused(content):
    handled = []

    async def handle(request):
        handled.append(request.method)
        return listener_test.build_answer(b"done")

    async def scenario():
        limits = settings.CallerLimits()
        async with listener_test.serve(handle, limits) as server:
            reader, writer = await start_request(server, content)
            if content.startswith(GET):
                assert (await listener_test.read_answer(reader))[1] == b"done"
            refuse(server)
            async with asyncio.timeout(2):
                head, _ = await listener_test.read_answer(reader)
                assert await reader.read() == b""
            assert head.startswith(b"HTTP/1.1 503 ")
            assert b"dewstep-failure: Stopping" in head
            assert b"dewstep-outcome: not-run" in head
            assert b"connection: close" in head and b"retry-after: " in head
            writer.close()
            assert "POST" not in handled and server.count_unanswered() == 0

    run(scenario)


# Guards against a large body that a target gets completely when a stop is nearly over.
def test_large_body_that_is_not_read_completely_ends():
    ended = []

    async def handle(request):
        try:
            async for _ in request.body.rest:
                pass
        except Exception as error:
            ended.append(error.failure)
            raise
        return listener_test.build_answer(b"done")

    async def scenario():
        limits = settings.CallerLimits()
        async with listener_test.serve(handle, limits) as server:
            reader, writer = await start_request(server, LARGE)
            refuse(server)
            async with asyncio.timeout(2):
                head, _ = await listener_test.read_answer(reader)
            assert head.startswith(b"HTTP/1.1 502 ")
            writer.close()
            assert ended == [errors.Stopping("e1")]

    run(scenario)


# Guards against a refusal in the place of the answer to a request that has been read.
def test_request_in_progress_is_answered():
    may_end = asyncio.Event()

    async def handle(request):
        await may_end.wait()
        return listener_test.build_answer(b"done")

    async def scenario():
        limits = settings.CallerLimits()
        async with listener_test.serve(handle, limits) as server:
            content = POST + b"Content-Length: 1\r\n\r\nx"
            reader, writer = await start_request(server, content)
            refuse(server)
            assert server.count_unanswered() == 1
            may_end.set()
            head, body = await listener_test.read_answer(reader)
            assert body == b"done" and b"connection: close" in head.lower()
            writer.close()

    run(scenario)


# Guards against an answer without a request, which a caller takes for that to its next.
def test_idle_connection_gets_no_answer():
    async def scenario():
        limits = settings.CallerLimits()
        async with listener_test.serve(limits=limits) as server:
            reader, writer = await start_request(server, b"")
            refuse(server)
            stopping = asyncio.ensure_future(server.stop())
            async with asyncio.timeout(2):
                assert await reader.read() == b""
                await stopping
            writer.close()

    run(scenario)
