"""The HTTP/1.1 server for callers."""

import asyncio
import random
from collections.abc import Callable

from returns import result

from dewstep_core import data, events, settings
from dewstep_entry import interfaces
from dewstep_entry.caller import connection, rendering

MAXIMUM_PACE_CHECK_INTERVAL_SECONDS = 0.25
MAX_PARALLEL_REQUESTS = 256
"""Maximum number of requests in progress behind others on their connections. Each may
keep an answer of `bodies.SMALL_BODY_BYTES` until its turn."""

IdentifyCallback = Callable[
    [bytes, bytes, data.Headers, int | None],
    result.Result[data.Request, interfaces.Failure],
]
RenderCallback = Callable[[interfaces.Failure, Callable[[], float]], data.Answer]
PrepareCallback = Callable[[data.Request], data.Request | None]


class Listener:
    """Accepts connections of callers and passes their requests to a handler.

    Parameters
    ----------
    address : Address
        Address to listen on. If the port is 0, `start` replaces it by the bound port.
    limits : CallerLimits
        Limits for the sizes, speed and connections of callers.
    identify_request : callable
        Returns the request without its body, from method, target, headers and the
        announced length of the body (None: chunked), as soon as the head is parsed.
    get_body_limit : callable
        Returns the maximum body size in bytes for an identified request.
    handler : RequestHandler
        Handles the requests.
    entry : str
        Name of this entry process.
    jitter : callable
        Returns the jitter of retry times, from 0 to 1.
    on_refusal : callable
        Called with the failure of each request that did not reach the handler, as it
        is reported to the caller.
    choose_refusal : callable
        Returns the failure to report for a request that does not reach the handler.
    render_failure : callable
        Returns the answer for a failure, given the jitter as well.
    prepare_parallel : callable
        Returns an identified request without a body as it runs beside the others on its
        connection, or None if it must wait for its turn since it may not be repeated.
    """

    def __init__(
        self,
        address: settings.Address,
        limits: settings.CallerLimits,
        identify_request: IdentifyCallback,
        get_body_limit: Callable[[data.Request], int],
        handler: interfaces.RequestHandler,
        entry: str,
        jitter: Callable[[], float] = random.random,
        on_refusal: Callable[[interfaces.Failure], None] = lambda failure: None,
        choose_refusal: Callable[
            [interfaces.Failure], interfaces.Failure
        ] = lambda failure: failure,
        render_failure: RenderCallback = rendering.render_failure,
        prepare_parallel: PrepareCallback = lambda request: None,
    ):
        self.address = address
        self.limits = limits
        self.identify_request = identify_request
        self.get_body_limit = get_body_limit
        self.handler = handler
        self.entry = entry
        self.jitter = jitter
        self.on_refusal = on_refusal
        self.choose_refusal = choose_refusal
        self.render_failure = render_failure
        self.prepare_parallel = prepare_parallel
        self.parallel_requests = 0
        """Number of requests in progress that run behind others on a connection."""
        self.connections: set[connection.CallerConnection] = set()
        self.stopping = False
        self.close_after_answer = False
        """Whether each answer closes its connection, before the listener is stopped."""
        self.unread_failure: interfaces.Failure | None = None
        """Failure of the requests that have not been read completely, or None."""
        self.server: asyncio.Server | None = None
        self.pace_task: asyncio.Task | None = None
        self.all_closed: asyncio.Future | None = None

    async def start(self) -> None:
        """Listen on the address."""
        self.server = await asyncio.get_running_loop().create_server(
            lambda: connection.CallerConnection(self), *self.address, backlog=1_024
        )
        port = self.server.sockets[0].getsockname()[1]
        self.address = self.address._replace(port=port)
        self.pace_task = asyncio.ensure_future(self._check_paces())

    async def stop(self) -> None:
        """Stop accepting, finish requests in progress and wait for all connections.

        There is no time limit; to enforce one, cancel `stop` and call `abort`.
        """
        self.stopping = True
        self.server.close()
        for caller_connection in list(self.connections):
            caller_connection.stop()
        if self.connections:
            self.all_closed = asyncio.get_running_loop().create_future()
            await self.all_closed
        self.pace_task.cancel()

    def count_unanswered(self) -> int:
        """Return the number of connections whose last answer is not written."""
        return sum(not item.is_answered() for item in self.connections)

    def refuse_unread(self, failure: interfaces.Failure) -> None:
        """Refuse the requests that have not been read completely, now and later."""
        self.unread_failure = failure
        for caller_connection in list(self.connections):
            caller_connection.refuse_unread()

    def abort(self) -> None:
        """Close all connections immediately."""
        self.stopping = True
        self.server.close()
        self.pace_task.cancel()
        for caller_connection in list(self.connections):
            caller_connection.transport.abort()

    def is_closing(self) -> bool:
        """Whether each answer closes its connection."""
        return self.stopping or self.close_after_answer

    def get_parallel_room(self) -> int:
        """Return how many more requests may be started behind others."""
        return MAX_PARALLEL_REQUESTS - self.parallel_requests

    def add_parallel(self, task: asyncio.Task) -> None:
        """Count a request that runs behind another one until it ends."""
        self.parallel_requests += 1
        task.add_done_callback(self._remove_parallel)

    def _remove_parallel(self, task: asyncio.Task) -> None:
        self.parallel_requests -= 1

    def add_connection(self, caller_connection: connection.CallerConnection) -> bool:
        """Add a new connection; return false if it must be closed."""
        if self.stopping or len(self.connections) >= self.limits.connections:
            events.warning("caller_refused", connections=len(self.connections))
            return False
        self.connections.add(caller_connection)
        return True

    def remove_connection(self, caller_connection: connection.CallerConnection) -> None:
        """Remove a closed connection."""
        self.connections.discard(caller_connection)
        if (
            not self.connections
            and self.all_closed is not None
            and not self.all_closed.done()
        ):
            self.all_closed.set_result(None)

    async def _check_paces(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            limits = self.limits
            shortest = min(limits.head_timeout, limits.body_grace, limits.idle_timeout)
            interval = min(
                MAXIMUM_PACE_CHECK_INTERVAL_SECONDS, shortest.total_seconds() / 4
            )
            await asyncio.sleep(interval)
            now = loop.time()
            for caller_connection in list(self.connections):
                caller_connection.check_pace(now)
