"""Forwards a request to the gate of the key's owner, and retries where that is safe.

While ownership changes, a request waits for the next change of the view and is sent
again, for at most `REROUTING_TIMEOUT`; after that it is refused. These attempts put no
load on a target, so they do not count towards a retry budget. A failure that the gate
answered with is final, because the gate has its own retry budget. If the connection to
the gate was lost, this process sends an idempotent request again, within its own retry
budget. A request whose body is being streamed is sent only once.
"""

import asyncio
import datetime
import random
from typing import NamedTuple

from returns import result

from dewstep_core import clocks, data, errors
from dewstep_entry import failures, interfaces
from dewstep_entry.pipeline import locate
from dewstep_entry.policy import retries, stop_schedule
from dewstep_entry.state import view

REROUTING_TIMEOUT = datetime.timedelta(milliseconds=1500)
"""A key is served again within 1 s of a loss; the rest is for the last attempt."""
INITIAL_BACKOFF = datetime.timedelta(milliseconds=10)
MAXIMUM_BACKOFF = datetime.timedelta(milliseconds=100)
MINIMUM_ATTEMPT_TIME = datetime.timedelta(milliseconds=20)
"""Minimum time left to the deadline for another attempt."""
MAXIMUM_WAITING_REQUESTS = 1_000
"""Maximum number of requests that wait for a change of ownership concurrently."""

REROUTABLE_FAILURES = (
    errors.NotReady,
    errors.GateUnknown,
    errors.NotTheGate,
    errors.NotTheOwner,
    errors.ShardMoving,
    errors.TargetLeaving,
    errors.PeerUnreachable,
    errors.TargetUnavailable,
    errors.Stopping,
)
"""Failures after which a newer view may give a working route."""


class Attempt(NamedTuple):
    """The outcome of one attempt, and its failure unless the target answered."""

    outcome: result.Result[data.Answer, interfaces.Failure]
    failure: interfaces.Failure | None
    by_gate: bool
    """Whether the gate answered with the failure."""


def build_attempt(
    outcome: result.Result[data.Answer, interfaces.Failure], by_gate: bool = False
) -> Attempt:
    """Return `outcome` with the failure that it contains.

    Parameters
    ----------
    outcome : Result
        A gate of another process returns its failures as answers, which are decoded
        here.
    by_gate : bool, optional
        Whether the outcome comes from a gate of this process.
    """
    if isinstance(outcome, result.Failure):
        return Attempt(outcome, outcome.failure(), by_gate)
    return Attempt(outcome, failures.restore_failure(outcome.unwrap()), True)


def build_unreachable_attempt(entry: str) -> Attempt:
    """Return the attempt that failed before the gate's process received the request."""
    return build_attempt(result.Failure(errors.PeerUnreachable(entry)))


def find_kind(current: view.View, service: str, kind: str) -> data.RequestKind | None:
    """Return a request kind by its name."""
    configuration = current.configuration
    found_service = configuration and configuration.services.get(service)
    kinds = found_service.kinds if found_service else ()
    return next((item for item in kinds if item.name == kind), None)


def may_have_run(failure: interfaces.Failure) -> bool:
    """Return whether the request may have run despite the failure."""
    rule = errors.answer_rules.get(type(failure).__name__)
    return rule is None or rule.outcome == errors.UNKNOWN


class Router:
    """Handles the requests that callers sent to this process.

    Parameters
    ----------
    entry : str
        Name of this process.
    holder : view.ViewHolder
        The current view of configuration, assignments, gates and members.
    clock : clocks.Clock
    gates : interfaces.RequestHandler
        The gates of this process.
    network : dewstep_entry.peers.link.PeerNetwork
        Links to the other entry processes.
    budgets : retries.Retries
        Retry budgets by service and data centre.
    refresh : callable
        Requests a new view from the table, without waiting for it.
    """

    def __init__(self, entry, holder, clock, gates, network, budgets, refresh):
        self.entry = entry
        self.holder: view.ViewHolder = holder
        self.clock: clocks.Clock = clock
        self.gates: interfaces.RequestHandler = gates
        self.network = network
        self.budgets: retries.Retries = budgets
        self.request_refresh = refresh
        self.random = random.Random()
        self.stop_schedule: stop_schedule.StopSchedule | None = None
        """Times of the planned stop, once it has begun."""
        self.waiting = 0
        self.in_progress = 0
        self.tries_again = 0

    async def handle(
        self, request: data.Request
    ) -> result.Result[data.Answer, interfaces.Failure]:
        """Return the answer to `request` from the owner of its key."""
        self.in_progress += 1
        try:
            return await self.handle_with_retries(request)
        finally:
            self.in_progress -= 1

    async def handle_with_retries(
        self, request: data.Request
    ) -> result.Result[data.Answer, interfaces.Failure]:
        """Repeat attempts until one is answered or no further one is allowed.

        If an attempt may have run, its failure is returned even if later attempts
        certainly did not run.
        """
        first_unknown_outcome = None
        started = self.clock.monotonic()
        # Here, a budget is for one service in all data centres.
        self.budgets.add_first_attempt(request.service, "")
        attempt_number = 1
        while True:
            if not self.may_start(request):
                stopping = result.Failure(errors.Stopping(self.entry))
                return (
                    stopping if first_unknown_outcome is None else first_unknown_outcome
                )
            sequence = self.holder.sequence
            attempt = await self.send_once(request)
            if attempt.failure is None or request.body.rest is not None:
                return attempt.outcome
            if first_unknown_outcome is None and may_have_run(attempt.failure):
                first_unknown_outcome = attempt.outcome
            if isinstance(attempt.failure, REROUTABLE_FAILURES):
                delay = self.choose_backoff(request, started, attempt_number)
            else:
                delay = self.choose_retry_delay(request, attempt, attempt_number)
            if delay is None:
                return (
                    attempt.outcome
                    if first_unknown_outcome is None
                    else first_unknown_outcome
                )
            attempt_number += 1
            self.tries_again += 1
            await self.wait_for_change(sequence, delay)

    def may_start(self, request: data.Request) -> bool:
        """Whether an attempt of a request can end before a planned stop does."""
        if self.stop_schedule is None:
            return True
        return stop_schedule.may_start(
            self.stop_schedule,
            self.clock.monotonic(),
            request.deadline,
            datetime.timedelta(),
        )

    def choose_backoff(
        self, request: data.Request, started: datetime.timedelta, attempt_number: int
    ) -> datetime.timedelta | None:
        """Return how long to wait for a newer view, or None to fail the request."""
        if self.waiting >= MAXIMUM_WAITING_REQUESTS:
            return None
        # Without the bound of the exponent, the product could overflow.
        backoff = min(
            INITIAL_BACKOFF * 2 ** min(attempt_number - 1, 10), MAXIMUM_BACKOFF
        )
        delay = backoff * (0.5 + self.random.random() / 2)
        retry_until = min(request.deadline, started + REROUTING_TIMEOUT)
        if self.clock.monotonic() + delay >= retry_until:
            return None
        self.request_refresh()
        return delay

    def choose_retry_delay(
        self, request: data.Request, attempt: Attempt, attempt_number: int
    ) -> datetime.timedelta | None:
        """Return the delay of a retry after losing the gate, or None for no retry."""
        if attempt.by_gate:
            return None
        kind = find_kind(self.holder.current, request.service, request.kind)
        now = self.clock.monotonic()
        failed_attempt = retries.Attempt(
            attempt_number,
            kind is not None and kind.idempotent,
            attempt.failure,
            request.deadline,
            MINIMUM_ATTEMPT_TIME,
        )
        decision = self.budgets.decide(request.service, "", failed_attempt, now)
        return decision.at - now if isinstance(decision, retries.Retry) else None

    async def wait_for_change(self, sequence: int, delay: datetime.timedelta) -> None:
        """Wait until the view changes, at most for `delay`."""
        self.waiting += 1
        try:
            async with asyncio.timeout(delay.total_seconds()):
                await self.holder.wait_change(sequence)
        except TimeoutError:
            return
        finally:
            self.waiting -= 1

    async def send_once(self, request: data.Request) -> Attempt:
        """Send the request once, to the gate in the current view."""
        current = self.holder.current
        found = locate.locate(current, request.service, request.key)
        if isinstance(found, result.Failure):
            return build_attempt(found)
        gate = found.unwrap().gate
        if gate.entry == self.entry:
            return build_attempt(await self.gates.handle(request), True)
        state = current.members.get(gate.entry)
        if state is None or not state.alive:
            return build_unreachable_attempt(gate.entry)
        if state.member.incarnation != gate.incarnation:
            # The process that became the gate has restarted since and lost its state.
            return build_unreachable_attempt(gate.entry)
        return build_attempt(await self.network.exchange(state.member, request))
