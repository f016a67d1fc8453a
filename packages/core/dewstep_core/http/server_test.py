import asyncio
import socket

import pytest

from dewstep_core import errors
from dewstep_core.http import exchanges, routing, server
from dewstep_emulator import testing


def build_routes():
    async def show(call):
        return exchanges.build_json(200, [call.parameter, call.query, call.read_json()])

    routes = routing.Routes(body_limit=100)
    routes.add("PUT", "/rows/{key}", show)
    return routes


@testing.run_in_event_loop
async def test_routes_pass_parameter_query_and_body():
    # Guards against keys with slashes or reserved characters addressing another row.
    async with testing.serving(build_routes().handle) as (served, caller):
        answer = await caller.call_json("PUT", "/rows/gate/t%3F1?a=%2F", {"x": 1})
        assert answer.unwrap().read_json() == ["gate/t?1", {"a": "/"}, {"x": 1}]
        assert (await caller.call("GET", "/rows/a")).unwrap().status == 405
        assert (await caller.call("GET", "/other")).unwrap().status == 404
        assert (await caller.call("PUT", "/rows/a", bytes(101))).unwrap().status == 413
        # The unread body of the refused request must not be parsed as the next request,
        # and all calls must use one connection.
        assert (await caller.call("PUT", "/rows/a", b"1")).unwrap().status == 200
        assert len(served.connections) == 1


@testing.run_in_event_loop
async def test_closed_connection_cancels_the_handler():
    # Guards against handlers that keep running after the client has disconnected.
    cancelled = asyncio.Event()

    async def hang(exchange):
        try:
            await asyncio.sleep(60)
        except asyncio.CancelledError:
            cancelled.set()
            raise

    async with testing.serving(hang) as (_, caller):
        await caller.call("GET", "/", timeout=0.05)
        await asyncio.wait_for(cancelled.wait(), 1)


@testing.run_in_event_loop
async def test_close_finishes_the_exchange_in_progress():
    # Guards against a graceful stop interrupting a request.
    started = asyncio.Event()

    async def slow(exchange):
        started.set()
        await asyncio.sleep(0.1)
        exchange.respond(exchanges.Response(200, b"done"))

    async with testing.serving(slow) as (served, caller):
        call = asyncio.ensure_future(caller.call("GET", "/"))
        await started.wait()
        await served.close(grace=2)
        answer = (await call).unwrap()
        assert (answer.body, answer.headers["connection"]) == (b"done", "close")


@pytest.mark.parametrize("turns", range(4))
def test_close_answers_requests_that_have_arrived(turns):
    # Guards against a graceful stop that drops a request which the event loop has not
    # read yet, or which the task of the connection has not parsed yet.
    async def answer(exchange):
        exchange.respond(exchanges.Response(200, b"done"))

    async def scenario():
        async with testing.serving(answer) as (served, _):
            with socket.create_connection(served.address) as caller:
                caller.setblocking(False)
                while not served.connections:
                    await asyncio.sleep(0)
                caller.send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n" * 2)
                for _ in range(turns):
                    await asyncio.sleep(0)
                await served.close()
                received = b""
                while chunk := caller.recv(4096):
                    received += chunk
                assert received.count(b"HTTP/1.1 200") == 2

    asyncio.run(scenario())


@testing.run_in_event_loop
async def test_stop_listening_refuses_connections_and_resume_listening_keeps_the_port():
    # Guards against an emulated service losing its port while it refuses connections.
    async with testing.serving(build_routes().handle) as (served, caller):
        served.stop_listening()
        failure = (await caller.call("GET", "/rows/a")).failure()
        assert isinstance(failure, errors.PlatformUnavailable)
        await served.resume_listening()
        assert (await caller.call("PUT", "/rows/a", b"1")).unwrap().status == 200


@testing.run_in_event_loop
async def test_connections_above_the_limit_are_closed():
    handler = build_routes().handle
    async with testing.serving(handler, maximum_connections=1) as (served, caller):
        assert (await caller.call("PUT", "/rows/a", b"1")).unwrap().status == 200
        async with testing.calling(served.address) as other:
            failure = (await other.call("PUT", "/rows/a", b"1")).failure()
            assert isinstance(failure, errors.AnswerLost)
        served.abort_connections()
        await asyncio.sleep(0.05)
        assert (await caller.call("PUT", "/rows/a", b"1")).unwrap().status == 200


@testing.run_in_event_loop
async def test_request_and_answer_bodies_are_streamed_with_bounded_memory():
    # Guards against bodies being buffered as a whole instead of streamed.
    chunk = bytes(64 * 1024)

    async def stream(exchange):
        total = 0
        while part := await exchange.read_chunk():
            total += len(part)
            assert (
                exchange.connection.received_bytes
                <= 4 * server.MAXIMUM_READ_AHEAD_BYTES
            )
            await asyncio.sleep(0)
        await exchange.respond_stream(200, (), total, [chunk] * (total // len(chunk)))

    async with testing.serving(stream) as (_, caller):
        answer = await caller.call("POST", "/", chunk * 64)
        assert len(answer.unwrap().body) == 64 * len(chunk)


@testing.run_in_event_loop
async def test_malformed_request_is_answered_with_400():
    async with testing.serving(build_routes().handle) as (served, _):
        reader, writer = await asyncio.open_connection(*served.address)
        writer.write(b"nonsense\r\n\r\n")
        assert (await reader.read()).startswith(b"HTTP/1.1 400")
        writer.close()
