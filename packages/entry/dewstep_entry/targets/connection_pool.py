"""A pool of keep-alive connections to one address.

HTTP/1.1 answers do not identify their request, so a second answer to one request that
arrives during the next request would be taken for the answer to that one. A connection
is therefore reused only after a delay, and input that arrives during the delay closes
it.
"""

import asyncio
import collections
import contextlib
import datetime
from collections.abc import Callable

import h11
from returns import result

from dewstep_core import clocks, data, errors, settings
from dewstep_entry import interfaces
from dewstep_entry.targets import acceptance, answering, connection, openings, traffic

CONNECT_TIMEOUT = datetime.timedelta(milliseconds=500)
REUSE_DELAY = datetime.timedelta(milliseconds=20)
"""Many times the network latency of 1 ms, so that a second answer arrives before the
reuse. With 4 slots and requests of 5 ms, 16 connections are in their delay at any time,
of the 110 that a target accepts."""
MAXIMUM_IDLE_TIME = datetime.timedelta(seconds=60)
"""Shorter than the idle time after which middleboxes drop a connection."""


class ConnectionPool:
    """Connections to one target.

    Parameters
    ----------
    name : str
        Name of the target, for failures.
    address : settings.Address
    clock : Clock
        Clock of the requests' deadlines.
    limit : int
        Maximum number of connections.
    connect_timeout : datetime.timedelta, optional
        Limit for opening a connection.
    reuse_delay : datetime.timedelta, optional
        Delay before a connection is reused. It is skipped when the limit of
        connections is reached.
    rules : answering.AnswerRules, optional
        How the target's answers identify and refuse requests.
    max_idle_time : datetime.timedelta, optional
        Idle time after which a connection is closed instead of reused.
    on_notice : callable, optional
        Called with what the target says about itself in an answer. The pool observes
        pauses itself.
    on_answer : callable, optional
        Called after an answer with the times at which its connection was opened and its
        request was sent.
    on_unreached : callable, optional
        Called when no connection could be opened, or a new one was reset, with whether
        it was refused.
    accepts : acceptance.Acceptance, optional
        Learns from new connections that the target resets, and limits those that are
        opened after that.
    counts : traffic.Traffic, optional
        Counts the bytes on all connections.
    """

    def __init__(
        self,
        name: str,
        address: settings.Address,
        clock: clocks.Clock,
        limit: int,
        connect_timeout: datetime.timedelta = CONNECT_TIMEOUT,
        reuse_delay: datetime.timedelta = REUSE_DELAY,
        rules: answering.AnswerRules = answering.DEWSTEP_RULES,
        max_idle_time: datetime.timedelta = MAXIMUM_IDLE_TIME,
        on_notice: Callable[[answering.Notice], None] | None = None,
        on_answer: Callable[[datetime.timedelta, datetime.timedelta], None]
        | None = None,
        on_unreached: Callable[[bool], None] | None = None,
        accepts: acceptance.Acceptance | None = None,
        counts: traffic.Traffic | None = None,
    ):
        self.name = name
        self.traffic = counts or traffic.Traffic()
        self.accepts = accepts
        self.settling: dict[connection.Connection, asyncio.Future] = {}
        """New connections that wait for a reset."""
        self.opening_timer: asyncio.TimerHandle | None = None
        """Opens connections for waiting requests after a pause."""
        self.address = address
        self.clock = clock
        self.connect_timeout_seconds = connect_timeout.total_seconds()
        self.opening_state = openings.OpeningState(limit=max(1, limit))
        self.reuse_delay_seconds = reuse_delay.total_seconds()
        self.rules = rules
        self.maximum_idle_seconds = max_idle_time.total_seconds()
        self.on_notice = on_notice
        self.on_answer = on_answer
        self.on_unreached = on_unreached
        self.paused_until: datetime.timedelta | None = None
        """End of the last pause that the target has asked for."""
        self.reuse_timer: asyncio.TimerHandle | None = None
        self.idle: collections.deque[connection.Connection] = collections.deque()
        self.open_connections: set[connection.Connection] = set()
        self.waiters: collections.deque[asyncio.Future] = collections.deque()
        self.opening_tasks: set[asyncio.Task] = set()
        self.closed = False

    async def send(
        self,
        head: h11.Request,
        body: data.Body,
        deadline: datetime.timedelta,
        request_id: bytes,
        find_refusal: Callable[[], interfaces.Failure | None] = lambda: None,
    ) -> result.Result[data.Answer, interfaces.Failure]:
        """Send a request on a connection that no other request uses; return the answer.

        Parameters
        ----------
        head, body, deadline, request_id
        find_refusal : callable, optional
            Called once a connection is free; returns the failure of a request that must
            not be sent any more.

        Returns
        -------
        Result
            The answer, or `TargetUnavailable` or `TargetPaused` (not sent),
            `TargetRefused` (not run), `ConnectionLost`, `DeadlineExceeded` or
            `AnswerInvalid` (unknown).
        """
        paused = self.find_pause()
        if paused is not None:
            return result.Failure(paused)
        target_connection = self._acquire_idle()
        if target_connection is not None and target_connection.has_refused(request_id):
            target_connection.abort()
            target_connection = None
        while target_connection is None:
            remaining = (deadline - self.clock.monotonic()).total_seconds()
            outcome = await self._wait_for_connection(remaining)
            if not isinstance(outcome, connection.Connection):
                return result.Failure(outcome)
            # The target may have closed it since it was assigned to this request.
            if outcome.is_stale() or outcome.has_refused(request_id):
                outcome.abort()
            else:
                target_connection = outcome
        # The pause may have begun after the connection was assigned.
        refusal = self.find_pause() or find_refusal()
        if refusal is not None:
            self._release_connection(target_connection)
            return result.Failure(refusal)
        sent_at = self.clock.monotonic()
        remaining = (deadline - sent_at).total_seconds()
        if remaining <= 0:
            self._release_connection(target_connection)
            return result.Failure(self._build_unavailable("the deadline has passed"))
        outcome = await target_connection.exchange(head, body, remaining, request_id)
        if isinstance(outcome, result.Success) and self.on_answer is not None:
            self.on_answer(target_connection.opened_at, sent_at)
        if isinstance(outcome, result.Failure) and isinstance(
            outcome.failure(), errors.TargetRefused
        ):
            now = self.clock.monotonic()
            target_connection.record_refusal(request_id, deadline, now)
        return outcome

    def refuse_waiting(self, failure: interfaces.Failure) -> None:
        """Fail the requests that wait for a connection."""
        self._resolve_waiters(failure)

    def set_limit(self, limit: int) -> None:
        """Set the maximum number of connections; open ones are kept."""
        if limit != self.opening_state.limit:
            self.opening_state = self.opening_state._replace(limit=limit)

    def find_pause(self) -> errors.TargetPaused | None:
        """Return the failure of requests during a pause of the target, or None."""
        if self.paused_until is None:
            return None
        time_left = self.paused_until - self.clock.monotonic()
        if time_left <= datetime.timedelta():
            return None
        return errors.TargetPaused(self.name, time_left)

    async def close(self) -> None:
        """Close all connections; requests in progress end as `ConnectionLost`."""
        self.closed = True
        for task in list(self.opening_tasks):
            task.cancel()
        for target_connection in list(self.open_connections):
            target_connection.abort()
        self._fail_waiters("the pool is closed")
        if self.reuse_timer is not None:
            self.reuse_timer.cancel()
        if self.opening_timer is not None:
            self.opening_timer.cancel()

    def retire(self) -> None:
        """Close idle connections now, and busy ones when their request has ended."""
        self.closed = True
        for target_connection in list(self.idle):
            target_connection.abort()
        self._fail_waiters("the pool is closed")

    # Connections.

    def _acquire_idle(self) -> connection.Connection | None:
        """Return the longest idle connection, or None if none may be reused yet."""
        while self.idle:
            target_connection = self.idle.popleft()
            if target_connection.is_stale() or self._is_expired(target_connection):
                target_connection.abort()
                continue
            limit_reached = self.opening_state.total >= self.opening_state.limit
            if limit_reached or self._compute_reuse_wait(target_connection) <= 0:
                return target_connection
            self.idle.appendleft(target_connection)
            break
        return None

    def _is_expired(self, target_connection: connection.Connection) -> bool:
        """Whether a middlebox may have dropped a connection that was idle for long."""
        idle_seconds = asyncio.get_running_loop().time() - target_connection.freed_at
        return (
            bool(target_connection.freed_at)
            and idle_seconds > self.maximum_idle_seconds
        )

    def _compute_reuse_wait(self, target_connection: connection.Connection) -> float:
        """Return the remaining seconds until a connection may be reused."""
        return (
            target_connection.freed_at
            + self.reuse_delay_seconds
            - asyncio.get_running_loop().time()
        )

    async def _wait_for_connection(self, remaining: float):
        """Return a connection, or the failure if none becomes free in time."""
        if self.closed:
            return self._build_unavailable("the pool is closed")
        if remaining <= 0:
            return self._build_unavailable("the deadline has passed")
        full = self._find_full()
        if full is not None:
            return full
        loop = asyncio.get_running_loop()
        waiter = loop.create_future()
        self.waiters.append(waiter)
        timer = loop.call_later(remaining, self._end_wait, waiter)
        self._start_opening_tasks()
        self._assign_connections()
        try:
            return await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self._release_assigned_connection(waiter.result())
            raise
        finally:
            timer.cancel()
            with contextlib.suppress(ValueError):
                self.waiters.remove(waiter)

    def _release_assigned_connection(self, outcome) -> None:
        """Release the connection that was assigned to a cancelled request, if any."""
        if isinstance(outcome, connection.Connection) and outcome.usable:
            self._release_connection(outcome)

    def _start_opening_tasks(self) -> None:
        state = self.opening_state
        if self.accepts is not None:
            now = self.clock.monotonic()
            room = self.accepts.find_room(now, state.limit, state.total)
            state = state._replace(limit=room)
        count = openings.count_new_connections(state, self._count_waiting())
        self.opening_state = openings.record_attempt_start(self.opening_state, count)
        for _ in range(count):
            task = asyncio.ensure_future(self._open_connection())
            self.opening_tasks.add(task)
            task.add_done_callback(self.opening_tasks.discard)

    def _count_waiting(self) -> int:
        return sum(not waiter.done() for waiter in self.waiters)

    async def _open_connection(self) -> None:
        target_connection = None
        refused = False
        began = asyncio.get_running_loop().time()
        detail = f"no connection within {self.connect_timeout_seconds} s"
        try:
            async with asyncio.timeout(self.connect_timeout_seconds):
                (
                    _,
                    target_connection,
                ) = await asyncio.get_running_loop().create_connection(
                    lambda: connection.Connection(
                        self.name,
                        self._release_connection,
                        self._remove_connection,
                        self.rules,
                        self._receive_notice,
                        self.traffic,
                    ),
                    *self.address,
                )
            await self._await_acceptance(target_connection, began)
        except OSError as error:
            detail = str(error) or detail
            refused = isinstance(error, ConnectionError)
        finally:
            self.opening_state = openings.record_attempt_end(
                self.opening_state, target_connection is not None
            )
        if target_connection is None:
            if self.on_unreached is not None:
                self.on_unreached(refused)
            if not self.open_connections:
                self._fail_waiters(detail)
            return
        target_connection.opened_at = self.clock.monotonic()
        self.open_connections.add(target_connection)
        if self.closed or not target_connection.usable:
            target_connection.abort()
            self._remove_connection(target_connection)
        elif self.accepts is not None and target_connection.has_ended():
            # The event loop has not processed the reset yet.
            target_connection.connection_lost(None)
        else:
            # A new connection needs no delay: no earlier answer can arrive on it.
            self.idle.appendleft(target_connection)
            self._assign_connections()
            self._start_opening_tasks()

    async def _await_acceptance(
        self, target_connection: connection.Connection, began: float
    ) -> None:
        """Wait until a reset of a new connection would have arrived, if one may."""
        if self.accepts is None:
            return
        loop = asyncio.get_running_loop()
        now = self.clock.monotonic()
        wait_s = self.accepts.choose_wait(now, loop.time() - began)
        if not wait_s or not target_connection.usable:
            return
        waiter = self.settling[target_connection] = loop.create_future()
        timer = loop.call_later(wait_s, _resolve_waiter, waiter, None)
        try:
            await waiter
        except asyncio.CancelledError:
            target_connection.abort()
            raise
        finally:
            timer.cancel()
            del self.settling[target_connection]

    def _release_connection(self, target_connection: connection.Connection) -> None:
        """Return a connection to the pool, for waiting or later requests."""
        if self.closed or self._is_surplus():
            target_connection.abort()
            return
        target_connection.freed_at = asyncio.get_running_loop().time()
        self.idle.append(target_connection)
        if self.waiters:
            self._assign_connections()

    def _assign_connections(self) -> None:
        """Assign connections to waiting requests in order, now or after the delay."""
        while self.waiters:
            if self.waiters[0].done():
                self.waiters.popleft()
                continue
            target_connection = self._acquire_idle()
            if target_connection is None:
                break
            self.waiters.popleft().set_result(target_connection)
        if self.waiters and self.idle and self.reuse_timer is None:
            self.reuse_timer = asyncio.get_running_loop().call_later(
                max(self._compute_reuse_wait(self.idle[0]), 0.0), self._end_reuse_wait
            )

    def _end_reuse_wait(self) -> None:
        self.reuse_timer = None
        self._assign_connections()

    def _remove_connection(self, target_connection: connection.Connection) -> None:
        if target_connection in self.settling:
            _resolve_waiter(self.settling[target_connection], None)
        if target_connection not in self.open_connections:
            return
        self.open_connections.discard(target_connection)
        if target_connection in self.idle:
            self.idle.remove(target_connection)
        self.opening_state = openings.record_connection_loss(
            self.opening_state, target_connection.failed
        )
        if self.accepts is not None and target_connection.reset_while_new:
            self._record_reset(target_connection)
        if self.waiters and not self.closed:
            self._start_opening_tasks()

    # Connections that the target does not accept.

    def _end_wait(self, waiter: asyncio.Future) -> None:
        """Fail a request whose deadline passes while it waits for a connection."""
        if self.accepts is not None and self.accepts.limit is not None:
            # The target is reachable, but accepts no more connections.
            full = errors.QueueFull(self.name, datetime.timedelta())
            _resolve_waiter(waiter, full)
            return
        _resolve_waiter(waiter, self._build_unavailable("no connection was free"))

    def _find_full(self) -> errors.QueueFull | None:
        """Return the failure of a further waiting request at a full target, or None."""
        if self.accepts is None:
            return None
        state, waiting = self.opening_state, self._count_waiting()
        now = self.clock.monotonic()
        return self.accepts.find_refusal(now, state.limit, state.total, waiting)

    def _is_surplus(self) -> bool:
        """Whether a connection that no request waits for should be closed."""
        if self.accepts is None or self.accepts.limit is None:
            return False
        if self._count_waiting():
            return False
        state = self.opening_state
        now = self.clock.monotonic()
        return state.total > self.accepts.find_limit(now, state.limit)

    def _record_reset(self, target_connection: connection.Connection) -> None:
        """Lower the number of connections, and refuse requests that it leaves out."""
        now = self.clock.monotonic()
        total = self.opening_state.total
        used = target_connection.has_sent
        self.accepts.record_reset(now, total, used)
        if self.on_unreached is not None:
            self.on_unreached(False)
        while self.idle and self._is_surplus():
            self.idle[0].abort()
        for waiter in list(self.waiters)[total:]:
            full = self._find_full()
            if full is not None:
                _resolve_waiter(waiter, full)
        if self.opening_timer is None:
            pause = (self.accepts.paused_until - now).total_seconds()
            self.opening_timer = asyncio.get_running_loop().call_later(
                max(pause, 0.0), self._end_opening_pause
            )

    def _end_opening_pause(self) -> None:
        self.opening_timer = None
        if not self.closed:
            self._start_opening_tasks()

    def _receive_notice(self, notice: answering.Notice) -> None:
        if notice.pause:
            until = self.clock.monotonic() + notice.pause
            self.paused_until = max(until, self.paused_until or until)
            # Waiting requests are answered now, so that callers can use the time.
            paused = self.find_pause()
            if paused is not None:
                self._resolve_waiters(paused)
        if self.on_notice is not None:
            self.on_notice(notice)

    def _fail_waiters(self, detail: str) -> None:
        self._resolve_waiters(self._build_unavailable(detail))

    def _resolve_waiters(self, failure) -> None:
        while self.waiters:
            _resolve_waiter(self.waiters.popleft(), failure)

    def _build_unavailable(self, reason: str) -> errors.TargetUnavailable:
        return errors.TargetUnavailable(self.name, reason)


def _resolve_waiter(waiter: asyncio.Future, outcome) -> None:
    if not waiter.done():
        waiter.set_result(outcome)
