"""Connections to one address, kept for the requests that follow.

HTTP/1.1 does not say which request an answer belongs to, so a second answer that
arrives during the next request cannot be told from that request's own. A connection
therefore rests before it is used again, and whatever arrives meanwhile ends it.
"""

import asyncio
import collections
import contextlib
import datetime

import h11
from returns import result

from dewstep_core import clock as clocks, data, errors, settings
from dewstep_entry import interfaces
from dewstep_entry.targets import answering, connection as connections, openings

CONNECT_TIMEOUT = datetime.timedelta(milliseconds=500)
REST = datetime.timedelta(milliseconds=20)
"""Many times the network's latency of 1 ms; with 4 slots and requests of 5 ms it takes
16 connections more, of the 110 that a target accepts."""
LONGEST_IDLE = datetime.timedelta(seconds=60)
"""Shorter than the time after which a middlebox forgets a connection."""


class ConnectionPool:
    """Connections to one target.

    Parameters
    ----------
    name : str
        Name of the target, for failures.
    address : settings.Address
    clock : Clock
        Clock in which the requests' deadlines stand.
    limit : int
        Most connections.
    connect_timeout : datetime.timedelta, optional
        Limit for opening a connection.
    rest : datetime.timedelta, optional
        Time between two requests on a connection. It is cut short when all connections
        that the limit allows are open.
    rules : answering.AnswerRules, optional
        How the target's answers name the request, and refuse it.
    longest_idle : datetime.timedelta, optional
        Connections that were idle for longer are closed instead of used.
    """

    def __init__(
        self,
        name: str,
        address: settings.Address,
        clock: clocks.Clock,
        limit: int,
        connect_timeout: datetime.timedelta = CONNECT_TIMEOUT,
        rest: datetime.timedelta = REST,
        rules: answering.AnswerRules = answering.OWN,
        longest_idle: datetime.timedelta = LONGEST_IDLE,
    ):
        self.name = name
        self.address = address
        self.clock = clock
        self.connect_timeout = connect_timeout.total_seconds()
        self.openings = openings.Openings(limit=max(1, limit))
        self.rest = rest.total_seconds()
        self.rules = rules
        self.longest_idle = longest_idle.total_seconds()
        self.rest_timer: asyncio.TimerHandle | None = None
        self.idle: collections.deque[connections.Connection] = collections.deque()
        self.open: set[connections.Connection] = set()
        self.waiting: collections.deque[asyncio.Future] = collections.deque()
        self.attempts: set[asyncio.Task] = set()
        self.closed = False

    async def send(
        self,
        head: h11.Request,
        body: data.Body,
        deadline: datetime.timedelta,
        request_id: bytes,
    ) -> result.Result[data.Answer, interfaces.Failure]:
        """Send a request on a connection of its own and return the answer.

        Returns
        -------
        Result
            The answer, or `TargetUnavailable` (not sent), `TargetRefused` (not run),
            `ConnectionLost`, `DeadlineExceeded` or `AnswerInvalid` (unknown).
        """
        connection = self._take_idle()
        while connection is None:
            remaining = (deadline - self.clock.monotonic()).total_seconds()
            outcome = await self._wait_connection(remaining)
            if not isinstance(outcome, connections.Connection):
                return result.Failure(outcome)
            # The target may have closed it between the hand-over and now.
            connection = None if outcome.is_stale() else outcome
            if connection is None:
                outcome.abort()
        remaining = (deadline - self.clock.monotonic()).total_seconds()
        if remaining <= 0:
            self._free(connection)
            return result.Failure(self._unavailable("the deadline has passed"))
        return await connection.exchange(head, body, remaining, request_id)

    async def close(self) -> None:
        """Close all connections; requests in progress end as `ConnectionLost`."""
        self.closed = True
        for task in list(self.attempts):
            task.cancel()
        for connection in list(self.open):
            connection.abort()
        self._fail_waiting("the pool is closed")
        if self.rest_timer is not None:
            self.rest_timer.cancel()

    def retire(self) -> None:
        """Close the idle connections, and each other one once its request has ended."""
        self.closed = True
        for connection in list(self.idle):
            connection.abort()
        self._fail_waiting("the pool is closed")

    # Connections.

    def _take_idle(self) -> connections.Connection | None:
        """Return the connection that rested longest, or None if it should rest on."""
        while self.idle:
            connection = self.idle.popleft()
            if connection.is_stale() or self._is_old(connection):
                connection.abort()
                continue
            full = self.openings.total >= self.openings.limit
            if full or self._count_rest(connection) <= 0:
                return connection
            self.idle.appendleft(connection)
            break
        return None

    def _is_old(self, connection: connections.Connection) -> bool:
        """Whether a connection was idle for so long that it may have been forgotten."""
        idle = asyncio.get_running_loop().time() - connection.freed_at
        return bool(connection.freed_at) and idle > self.longest_idle

    def _count_rest(self, connection: connections.Connection) -> float:
        """Return the seconds that a connection should still rest."""
        return connection.freed_at + self.rest - asyncio.get_running_loop().time()

    async def _wait_connection(self, remaining: float):
        """Return a connection, or the failure if there is none in time."""
        if self.closed:
            return self._unavailable("the pool is closed")
        if remaining <= 0:
            return self._unavailable("the deadline has passed")
        loop = asyncio.get_running_loop()
        waiter = loop.create_future()
        self.waiting.append(waiter)
        timer = loop.call_later(
            remaining, _settle, waiter, self._unavailable("no connection was free")
        )
        self._open_more()
        self._serve_waiting()
        try:
            return await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self._give_back(waiter.result())
            raise
        finally:
            timer.cancel()
            with contextlib.suppress(ValueError):
                self.waiting.remove(waiter)

    def _give_back(self, outcome) -> None:
        if isinstance(outcome, connections.Connection) and outcome.usable:
            self._free(outcome)

    def _open_more(self) -> None:
        waiting = sum(not waiter.done() for waiter in self.waiting)
        count = openings.count_new(self.openings, waiting)
        self.openings = openings.start(self.openings, count)
        for _ in range(count):
            task = asyncio.ensure_future(self._open())
            self.attempts.add(task)
            task.add_done_callback(self.attempts.discard)

    async def _open(self) -> None:
        connection = None
        detail = "connecting took too long"
        try:
            async with asyncio.timeout(self.connect_timeout):
                _, connection = await asyncio.get_running_loop().create_connection(
                    lambda: connections.Connection(
                        self.name, self._free, self._lose, self.rules
                    ),
                    *self.address,
                )
        except OSError as error:
            detail = str(error) or detail
        finally:
            self.openings = openings.finish(self.openings, connection is not None)
        if connection is None:
            if not self.open:
                self._fail_waiting(detail)
            return
        self.open.add(connection)
        if self.closed or not connection.usable:
            connection.abort()
            self._lose(connection)
        else:
            # A new connection needs no rest.
            self.idle.appendleft(connection)
            self._serve_waiting()
            self._open_more()

    def _free(self, connection: connections.Connection) -> None:
        """Keep a connection for the requests that wait or come."""
        if self.closed:
            connection.abort()
            return
        connection.freed_at = asyncio.get_running_loop().time()
        self.idle.append(connection)
        if self.waiting:
            self._serve_waiting()

    def _serve_waiting(self) -> None:
        """Give connections to the requests that wait longest, now and after a rest."""
        while self.waiting:
            if self.waiting[0].done():
                self.waiting.popleft()
                continue
            connection = self._take_idle()
            if connection is None:
                break
            self.waiting.popleft().set_result(connection)
        if self.waiting and self.idle and self.rest_timer is None:
            self.rest_timer = asyncio.get_running_loop().call_later(
                max(self._count_rest(self.idle[0]), 0.0), self._end_rest
            )

    def _end_rest(self) -> None:
        self.rest_timer = None
        self._serve_waiting()

    def _lose(self, connection: connections.Connection) -> None:
        if connection not in self.open:
            return
        self.open.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)
        self.openings = openings.lose(self.openings, connection.failed)
        if self.waiting and not self.closed:
            self._open_more()

    def _fail_waiting(self, detail: str) -> None:
        while self.waiting:
            _settle(self.waiting.popleft(), self._unavailable(detail))

    def _unavailable(self, reason: str) -> errors.TargetUnavailable:
        return errors.TargetUnavailable(self.name, reason)


def _settle(waiter: asyncio.Future, outcome) -> None:
    if not waiter.done():
        waiter.set_result(outcome)
