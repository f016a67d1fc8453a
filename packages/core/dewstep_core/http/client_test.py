import asyncio

import pytest

from dewstep_core import errors
from dewstep_core.http import client, exchanges
from dewstep_emulator import testing


@pytest.mark.parametrize(
    "answer", [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx"]
)
@testing.run_in_event_loop
async def test_truncated_answer_is_answer_lost(answer):
    # Guards against a request that was sent being reported as not sent.
    async def truncate(exchange):
        exchange.write(answer)
        exchange.close()

    async with testing.serving(truncate) as (_, caller):
        assert testing.fails(await caller.call("GET", "/"), errors.AnswerLost)
        assert not caller.idle_connections


@testing.run_in_event_loop
async def test_timeout_is_answer_lost_after_sending_and_unavailable_before():
    async def hang(exchange):
        await asyncio.sleep(60)

    async with testing.serving(hang, connections=1) as (_, caller):
        # The first call outlasts the second one, which never gets the connection.
        calls = [caller.call("GET", "/", timeout=limit) for limit in (0.2, 0.1)]
        first, second = await asyncio.gather(*calls)
        assert isinstance(first.failure(), errors.AnswerLost)
        # The only connection was in use, so the second call sent nothing.
        assert isinstance(second.failure(), errors.PlatformUnavailable)


@pytest.mark.parametrize("pause", [0, 0.02])
@testing.run_in_event_loop
async def test_surplus_bytes_are_not_read_as_the_next_answer(pause):
    # Guards against an answer being returned to the wrong call.
    async def answer_twice(exchange):
        rendered = exchange.render(exchanges.Response(200, exchange.path.encode()))
        exchange.write(rendered)
        await asyncio.sleep(pause)
        exchange.write(rendered)

    async with testing.serving(answer_twice) as (_, caller):
        for path in ("/a", "/b"):
            assert (await caller.call("GET", path)).unwrap().body == path.encode()
            await asyncio.sleep(2 * pause)


def test_body_nested_too_deeply_is_no_json():
    # Guards against an exception that ends the task of the caller.
    assert client.Response(200, {}, b"[" * 100_000).read_json() is None
