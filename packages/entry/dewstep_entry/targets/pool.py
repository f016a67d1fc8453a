"""The connections of a gate to its target.

The pool opens connections when requests need them and keeps them for the next ones.
A request that has not been written yet is not harmed by a connection that went away:
it takes the next one.

HTTP/1.1 does not say which request an answer belongs to, so a second answer that
arrives during the next request cannot be told from that request's own. A connection
therefore rests before it is used again, and whatever arrives meanwhile ends it.
"""

import asyncio
import collections
import contextlib
import datetime
import json
from collections.abc import Callable

import h11
from returns import result

from dewstep_core import clock as clocks, data, errors
from dewstep_entry import header_rules, interfaces
from dewstep_entry.targets import connection as connections, control, openings

CONNECT_TIMEOUT = datetime.timedelta(milliseconds=500)
REST = datetime.timedelta(milliseconds=20)
"""Many times the network's latency of 1 ms; with 4 slots and requests of 5 ms it takes
16 connections more, of the 110 that a target accepts."""


class TargetPool:
    """Connections to one target; implements `interfaces.TargetChannel`.

    Parameters
    ----------
    target : data.Target
        The target.
    clock : Clock
        Clock in which the requests' deadlines stand.
    entry : str
        Name of this entry process, sent as `Dewstep-Entry`.
    data_centre : str
        Data centre of this entry process.
    limit : int, optional
        Most connections, the control connection included. By default half of what
        the target accepts, so that the next gate can connect before this one left.
    connect_timeout, control_timeout : datetime.timedelta, optional
        Limits for opening a connection and for a control answer.
    rest : datetime.timedelta, optional
        Time between two requests on a connection. It is cut short when all connections
        that the limit allows are open.
    """

    def __init__(
        self,
        target: data.Target,
        clock: clocks.Clock,
        entry: str,
        data_centre: str,
        limit: int | None = None,
        connect_timeout: datetime.timedelta = CONNECT_TIMEOUT,
        control_timeout: datetime.timedelta = control.CONTROL_TIMEOUT,
        rest: datetime.timedelta = REST,
    ):
        self.target = target
        self.clock = clock
        self.data_centre = data_centre
        self.connect_timeout = connect_timeout.total_seconds()
        self.control = control.ControlChannel(target, clock, entry, control_timeout)
        most = target.connections // 2 if limit is None else limit
        self.openings = openings.Openings(limit=max(1, most - 1))
        self.rest = rest.total_seconds()
        self.rest_timer: asyncio.TimerHandle | None = None
        self.idle: collections.deque[connections.Connection] = collections.deque()
        self.open: set[connections.Connection] = set()
        self.waiting: collections.deque[asyncio.Future] = collections.deque()
        self.attempts: set[asyncio.Task] = set()
        self.closed = False
        self.host = f"{target.host}:{target.port}".encode()
        self.entry = entry.encode()

    async def exchange(
        self, request: data.Request, stamp: data.Stamp
    ) -> result.Result[data.Answer, interfaces.Failure]:
        """Send `request` and return the target's answer.

        Returns
        -------
        Result
            The answer, or `TargetUnavailable` (not sent), `TargetRefused` (not run),
            `ConnectionLost`, `DeadlineExceeded` or `AnswerInvalid` (unknown).
            `MalformedRequest` if the head cannot be sent.
        """
        try:
            head = self._build_head(request, stamp)
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            return result.Failure(errors.MalformedRequest(str(error)))
        connection = self._take_idle()
        while connection is None:
            remaining = (request.deadline - self.clock.monotonic()).total_seconds()
            outcome = await self._wait_connection(remaining)
            if not isinstance(outcome, connections.Connection):
                return result.Failure(outcome)
            # The target may have closed it between the hand-over and now.
            connection = None if outcome.is_stale() else outcome
            if connection is None:
                outcome.abort()
        remaining = (request.deadline - self.clock.monotonic()).total_seconds()
        if remaining <= 0:
            self._free(connection)
            return result.Failure(self._unavailable("the deadline has passed"))
        request_id = header_rules.encode_value(request.request_id)
        return await connection.exchange(head, request.body, remaining, request_id)

    async def read_clock(
        self,
    ) -> result.Result[data.ClockReading, interfaces.Failure]:
        """Ask for the target's clock and boot id."""
        return await self.control.call("GET", "/control/clock")

    async def send_grant(
        self, grant: data.Grant
    ) -> result.Result[data.ClockReading, interfaces.Failure]:
        """Send a grant; `TargetRefused` if a higher term or another boot holds."""
        payload = {
            "boot": grant.boot,
            "term": grant.term,
            "expires": grant.expires.total_seconds(),
        }
        return await self.control.call(
            "PUT",
            "/control/grant",
            json.dumps(payload, separators=(",", ":")).encode(),
        )

    def watch_close(self, report: Callable[[], None]) -> None:
        """Have `report` called when the target closes the control connection."""
        self.control.report_close = report

    async def close(self) -> None:
        """Close all connections; requests in progress end as `ConnectionLost`."""
        self.closed = True
        self.control.close()
        for task in list(self.attempts):
            task.cancel()
        for connection in list(self.open):
            connection.abort()
        self._fail_waiting("the pool is closed")
        if self.rest_timer is not None:
            self.rest_timer.cancel()

    # Connections.

    def _take_idle(self) -> connections.Connection | None:
        """Return the connection that rested longest, or None if it should rest on."""
        while self.idle:
            connection = self.idle.popleft()
            if connection.is_stale():
                connection.abort()
                continue
            full = self.openings.total >= self.openings.limit
            if full or self._count_rest(connection) <= 0:
                return connection
            self.idle.appendleft(connection)
            break
        return None

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
                        self.target.name, self._free, self._lose
                    ),
                    self.target.host,
                    self.target.port,
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
        return errors.TargetUnavailable(self.target.name, reason)

    # Head of the request.

    def _build_head(self, request: data.Request, stamp: data.Stamp) -> h11.Request:
        headers = list(
            header_rules.drop_headers(
                request.headers, header_rules.HOP_BY_HOP, (header_rules.OWN_PREFIX,)
            )
        )
        if header_rules.find_header(headers, b"host") is None:
            headers.append((b"host", self.host))
        if request.body.rest is None:
            length = len(request.body.start)
        else:
            length = request.body_length
        if length is None:
            headers.append((b"transfer-encoding", b"chunked"))
        elif length or request.method not in ("GET", "HEAD"):
            headers.append((b"content-length", b"%d" % length))
        encode = header_rules.encode_value
        headers += (
            (b"dewstep-entry", self.entry),
            (b"dewstep-request-id", encode(request.request_id)),
            (b"dewstep-key", encode(request.key)),
            (b"dewstep-kind", encode(request.kind)),
            (b"dewstep-term", b"%d" % stamp.term),
            (b"dewstep-epoch", b"%d" % stamp.epoch),
            (b"dewstep-boot", encode(stamp.boot)),
            (b"dewstep-deadline", b"%.6f" % stamp.deadline.total_seconds()),
        )
        return h11.Request(
            method=request.method.encode("latin-1"),
            target=request.path.encode("latin-1"),
            headers=headers,
        )


def _settle(waiter: asyncio.Future, outcome) -> None:
    if not waiter.done():
        waiter.set_result(outcome)
