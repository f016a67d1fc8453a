import asyncio

import pytest

from dewstep_core import errors, settings
from dewstep_core.http import client, server


def serve(handler, scenario, **options):
    async def run():
        served = server.Server(handler)
        address = await served.start("127.0.0.1", 0)
        caller = client.Client(address, **{"timeout": 2, **options})
        await scenario(caller)
        await caller.close()
        await served.close(grace=0.1)

    asyncio.run(run())


@pytest.mark.parametrize(
    "answer", [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx"]
)
def test_answer_that_breaks_off_is_lost(answer):
    # Guards against a write that took effect being reported as never sent.
    async def break_off(exchange):
        exchange.write(answer)
        exchange.close()

    async def scenario(caller):
        failure = (await caller.call("GET", "/")).failure()
        assert isinstance(failure, errors.AnswerLost)
        assert not caller.idle

    serve(break_off, scenario)


def test_timeout_after_sending_is_lost_and_before_is_unavailable():
    async def hang(exchange):
        await asyncio.sleep(60)

    async def scenario(caller):
        calls = [caller.call("GET", "/", timeout=0.1) for _ in range(2)]
        first, second = await asyncio.gather(*calls)
        assert isinstance(first.failure(), errors.AnswerLost)
        # The only connection was taken, so the second call sent nothing.
        assert isinstance(second.failure(), errors.PlatformUnavailable)

    serve(hang, scenario, connections=1)


def test_refused_connection_is_unavailable():
    async def scenario():
        caller = client.Client(settings.Address("127.0.0.1", 1), timeout=1)
        failure = (await caller.call("GET", "/")).failure()
        assert isinstance(failure, errors.PlatformUnavailable)

    asyncio.run(scenario())


@pytest.mark.parametrize("pause", [0, 0.02])
def test_surplus_bytes_are_never_taken_for_the_next_answer(pause):
    # Guards against an answer that is delivered to the wrong call.
    async def answer_twice(exchange):
        rendered = exchange.render(server.Response(200, exchange.path.encode()))
        exchange.write(rendered)
        await asyncio.sleep(pause)
        exchange.write(rendered)

    async def scenario(caller):
        for path in ("/a", "/b"):
            assert (await caller.call("GET", path)).unwrap().body == path.encode()
            await asyncio.sleep(2 * pause)

    serve(answer_twice, scenario)


def test_call_json_reuses_the_connection():
    seen = set()

    async def echo(exchange):
        seen.add(exchange.connection)
        body = await exchange.read_body()
        exchange.respond(server.Response(200, body))

    async def scenario(caller):
        for value in ({"a": 1}, [2]):
            answer = await caller.call_json("POST", "/", value)
            assert answer.unwrap().read_json() == value
        assert len(seen) == 1

    serve(echo, scenario)
