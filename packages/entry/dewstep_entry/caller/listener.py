"""The callers' HTTP/1.1 port."""

import asyncio
import random
from collections.abc import Callable

from returns import result

from dewstep_core import data, events, settings
from dewstep_entry import interfaces
from dewstep_entry.caller import connection as connections

SWEEP_SECONDS = 0.25
"""Longest time between two looks at a connection's pace."""

Identify = Callable[
    [bytes, bytes, data.Headers, int | None],
    result.Result[data.Request, interfaces.Failure],
]


class Listener:
    """Accepts callers and serves their requests with a handler.

    Parameters
    ----------
    address : Address
        Where to listen; with port 0, `start` sets the port that it got.
    limits : CallerLimits
        What callers may do.
    identify : callable
        Returns the request without its body, from method, target, headers and the
        announced length of the body (None: chunked), as soon as the head is parsed.
    body_limit : callable
        Returns the most bytes of body for an identified request.
    handler : RequestHandler
        Answers the requests.
    entry : str
        Name of this entry process.
    spread : callable
        Jitter of retry times, from 0 to 1.
    note_refusal : callable
        Takes the failure of each request that did not reach the handler.
    """

    def __init__(
        self,
        address: settings.Address,
        limits: settings.CallerLimits,
        identify: Identify,
        body_limit: Callable[[data.Request], int],
        handler: interfaces.RequestHandler,
        entry: str,
        spread: Callable[[], float] = random.random,
        note_refusal: Callable[[interfaces.Failure], None] = lambda failure: None,
    ):
        self.address = address
        self.limits = limits
        self.identify = identify
        self.body_limit = body_limit
        self.handler = handler
        self.entry = entry
        self.spread = spread
        self.note_refusal = note_refusal
        self.connections: set[connections.CallerConnection] = set()
        self.stopping = False
        self.last_answers = False
        """Whether each answer ends its connection, before the listener stops."""
        self.server: asyncio.Server | None = None
        self.sweeper: asyncio.Task | None = None
        self.empty: asyncio.Future | None = None

    async def start(self) -> None:
        """Listen on the address."""
        self.server = await asyncio.get_running_loop().create_server(
            lambda: connections.CallerConnection(self), *self.address, backlog=1_024
        )
        port = self.server.sockets[0].getsockname()[1]
        self.address = self.address._replace(port=port)
        self.sweeper = asyncio.ensure_future(self._sweep())

    async def stop(self) -> None:
        """Accept no more, finish what runs and return when all connections ended.

        The caller of `stop` limits its time; cancelling it and calling `abort` ends
        what is left.
        """
        self.stopping = True
        self.server.close()
        for connection in list(self.connections):
            connection.stop()
        if self.connections:
            self.empty = asyncio.get_running_loop().create_future()
            await self.empty
        self.sweeper.cancel()

    def abort(self) -> None:
        """Close all connections at once."""
        self.stopping = True
        self.server.close()
        self.sweeper.cancel()
        for connection in list(self.connections):
            connection.transport.abort()

    def enter(self, connection: connections.CallerConnection) -> bool:
        """Count a new connection; false if it must be closed."""
        if self.stopping or len(self.connections) >= self.limits.connections:
            events.warning("caller_refused", connections=len(self.connections))
            return False
        self.connections.add(connection)
        return True

    def leave(self, connection: connections.CallerConnection) -> None:
        """Forget a connection that ended."""
        self.connections.discard(connection)
        if not self.connections and self.empty is not None and not self.empty.done():
            self.empty.set_result(None)

    async def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            limits = self.limits
            shortest = min(limits.head_timeout, limits.body_grace, limits.idle_timeout)
            interval = min(SWEEP_SECONDS, shortest.total_seconds() / 4)
            await asyncio.sleep(interval)
            now = loop.time()
            for connection in list(self.connections):
                connection.check_pace(now)
