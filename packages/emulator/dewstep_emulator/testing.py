"""Helpers for tests that run emulated services and clients in one event loop."""

import asyncio
import contextlib
import functools
from collections.abc import AsyncIterator, Awaitable, Callable

from returns import result

from dewstep_core import settings
from dewstep_core.http import client, server
from dewstep_emulator.ownership import event_loop, network

LOOPBACK = "127.0.0.1"
UPTIME_SECONDS = 3600.0
"""Reading of the monotonic clock at the start of a test in virtual time."""
REFUSED = settings.Address(LOOPBACK, 1)
"""An address at which nothing listens."""
CALL_SECONDS = 3.0


def run_in_event_loop(test: Callable[..., Awaitable[None]]) -> Callable[..., None]:
    """Return a test function that runs the coroutine function `test`.

    Fixtures and parameters are passed through, since pytest reads the signature of
    the wrapped function.
    """

    @functools.wraps(test)
    def run(*arguments, **named):
        asyncio.run(test(*arguments, **named))

    return run


def run_in_virtual_time(test: Callable[..., Awaitable[None]]) -> Callable[..., None]:
    """Return a test function that runs `test` on a virtual clock.

    Its servers and clients run in one process of a simulated network, so that no
    time-out depends on how late a busy machine runs the event loop. Fixtures and
    parameters are passed through as by `run_in_event_loop`.
    """

    @functools.wraps(test)
    def run(*arguments, **named):
        async def run_in_process(loop):
            network.Network(loop, loop.random)
            process = event_loop.Process(
                "test", LOOPBACK, loop.now, clock_start=UPTIME_SECONDS
            )
            await loop.spawn(process, test(*arguments, **named))

        event_loop.run(run_in_process)

    return run


def fails(outcome: result.Result, failure: type) -> bool:
    """Return whether `outcome` is a failure of the type `failure`."""
    return isinstance(outcome, result.Failure) and isinstance(
        outcome.failure(), failure
    )


async def start_scripted_server(
    script: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]],
) -> asyncio.Server:
    """Start a loopback server that runs a script on each connection.

    A connection whose script returns stays open until the event loop ends. It is closed
    then, since a stream that is collected as garbage later raises an error.
    """

    async def serve(reader, writer):
        try:
            await script(reader, writer)
            await asyncio.get_running_loop().create_future()
        finally:
            writer.transport.abort()

    return await asyncio.start_server(serve, LOOPBACK, 0)


@contextlib.asynccontextmanager
async def calling(
    address: settings.Address, timeout: float = CALL_SECONDS, **options
) -> AsyncIterator[client.Client]:
    """Yield a client that is closed at the end; options as for `client.Client`."""
    caller = client.Client(address, timeout, **options)
    try:
        yield caller
    finally:
        await caller.close()


@contextlib.asynccontextmanager
async def serving(
    handler: server.Handler,
    connections: int = client.DEFAULT_CONNECTION_LIMIT,
    **options,
) -> AsyncIterator[tuple[server.Server, client.Client]]:
    """Yield a server for `handler` and its client; options as for `server.Server`."""
    served = server.Server(handler, **options)
    address = await served.start(LOOPBACK, 0)
    try:
        async with calling(address, connections=connections) as caller:
            yield served, caller
    finally:
        await served.close(grace=0.2)
