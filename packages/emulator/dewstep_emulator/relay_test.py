"""Tests that the baseline relay forwards requests and answers failures."""

import asyncio

import pytest

from dewstep_core import settings
from dewstep_core.http import client
from dewstep_emulator import program, relay, target, target_options
from dewstep_emulator.addresses import find_free_port

UNUSED_ADDRESS = settings.Address("127.0.0.1", 1)


def build_routes(port, target_address=UNUSED_ADDRESS):
    return relay.Routes(
        (settings.Address("127.0.0.1", port),),
        {"t1": target_address},
        {"history": ("t1",)},
        {"t1": 0},
    )


async def call(routes, port, method, path, body=b""):
    first = relay.Relay(routes, 1)
    second = relay.Relay(routes, 0)
    loop = asyncio.get_running_loop()
    outer = await loop.create_server(
        lambda: relay.DownstreamConnection(first), "127.0.0.1", 0
    )
    inner = await loop.create_server(
        lambda: relay.DownstreamConnection(second), "127.0.0.1", port
    )
    address = settings.Address(*outer.sockets[0].getsockname()[:2])
    caller = client.Client(address, 2.0)
    answers = [(await caller.call(method, path, body)).unwrap() for _ in range(2)]
    await caller.close()
    outer.close()
    inner.close()
    return answers


def test_requests_and_bodies_are_forwarded_over_two_relays():
    async def run():
        service = target.Target(target_options.TargetOptions(fenced=False, echo=True))
        async with program.serving(service) as address:
            port = find_free_port()
            routes = build_routes(port, address)
            return await call(routes, port, "POST", "/history/k/x", b"body")

    for answer in asyncio.run(run()):
        assert (answer.status, answer.body) == (200, b"body")


@pytest.mark.parametrize("path, status", [("/history/k", 503), ("/other/k", 404)])
def test_failures_are_answered(path, status):
    # Guards against callers that wait for the answer of an unreachable target.
    async def run():
        port = find_free_port()
        return await call(build_routes(port), port, "GET", path)

    assert [answer.status for answer in asyncio.run(run())] == [status] * 2
