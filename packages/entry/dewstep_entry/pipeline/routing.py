"""Takes a request to the gate of the key's owner, and tries again where that is safe.

While ownership changes hands a request waits for the next change of the view, for at
most `PATIENCE`; what then still has no place is refused at once. Such tries put no
load on a target, so no budget counts them. A failure that the gate answered with is
final, since the gate has its own retry budget; only if the gate itself was lost does
this process send an idempotent request again, within a budget of its own. No request
is sent again once its body is no longer in memory.
"""

import asyncio
import datetime
import random
from typing import NamedTuple

from returns import result

from dewstep_core import clock as clocks, data, errors
from dewstep_entry import failures, interfaces
from dewstep_entry.pipeline import locate
from dewstep_entry.policy import retries
from dewstep_entry.state import view

PATIENCE = datetime.timedelta(milliseconds=1500)
"""A key is served again within 1 s of a loss; the rest is for the last try."""
FIRST_DELAY = datetime.timedelta(milliseconds=10)
LARGEST_DELAY = datetime.timedelta(milliseconds=100)
EXPECTED = datetime.timedelta(milliseconds=20)
"""Least time that another try is expected to take."""
MAXIMUM_WAITING = 1_000
"""Requests that may wait for a change of ownership at the same time."""

REROUTED = (
    errors.NotReady,
    errors.GateUnknown,
    errors.NotTheGate,
    errors.NotTheOwner,
    errors.ShardMoving,
    errors.PeerUnreachable,
    errors.TargetUnavailable,
    errors.Stopping,
)
"""Failures of the way to the target, which a newer view can cure."""


class Attempt(NamedTuple):
    """The result of one try, and dewstep's own failure in it, if any."""

    outcome: result.Result[data.Answer, interfaces.Failure]
    failure: interfaces.Failure | None
    by_gate: bool
    """Whether the gate answered with the failure."""


def describe_attempt(
    outcome: result.Result[data.Answer, interfaces.Failure], by_gate: bool = False
) -> Attempt:
    """Return `outcome` with the failure that it holds.

    Gates of other processes answer with their failures; `by_gate` says that the
    outcome is that of a gate of this process.
    """
    if isinstance(outcome, result.Failure):
        return Attempt(outcome, outcome.failure(), by_gate)
    return Attempt(outcome, failures.restore_failure(outcome.unwrap()), True)


def describe_unreachable(entry: str) -> Attempt:
    """Return the attempt that ended before a gate's process got the request."""
    return describe_attempt(result.Failure(errors.PeerUnreachable(entry)))


def find_kind(current: view.View, service: str, kind: str) -> data.RequestKind | None:
    """Return a request kind by its name."""
    configuration = current.configuration
    found = configuration and configuration.services.get(service)
    kinds = found.kinds if found else ()
    return next((item for item in kinds if item.name == kind), None)


def may_have_run(failure: interfaces.Failure) -> bool:
    """Return whether a failure leaves open if the request ran."""
    rule = errors.answer_rules.get(type(failure).__name__)
    return rule is None or rule.outcome == errors.UNKNOWN


class Router:
    """Implements `RequestHandler` for requests that callers sent to this process.

    Parameters
    ----------
    entry : str
        Name of this process.
    holder : view.ViewHolder
        What is known of the fleet.
    clock : clocks.Clock
    gates : interfaces.RequestHandler
        The gates of this process.
    network : dewstep_entry.peers.link.PeerNetwork
        Links to the other entry processes.
    budgets : retries.Retries
        Limits of the load that tries add, by service and data centre.
    refresh : callable
        Asks for a fresh view from the table, without waiting for it.
    """

    def __init__(self, entry, holder, clock, gates, network, budgets, refresh):
        self.entry = entry
        self.holder: view.ViewHolder = holder
        self.clock: clocks.Clock = clock
        self.gates: interfaces.RequestHandler = gates
        self.network = network
        self.budgets: retries.Retries = budgets
        self.refresh = refresh
        self.random = random.Random()
        self.waiting = 0
        self.in_progress = 0
        self.tries_again = 0

    async def handle(
        self, request: data.Request
    ) -> result.Result[data.Answer, interfaces.Failure]:
        """Return the answer to `request` from the owner of its key."""
        self.in_progress += 1
        try:
            return await self.handle_tries(request)
        finally:
            self.in_progress -= 1

    async def handle_tries(
        self, request: data.Request
    ) -> result.Result[data.Answer, interfaces.Failure]:
        """Try until there is an answer, or until another try is not allowed.

        After a try that may have run, its failure is returned even if later ones
        certainly did not run.
        """
        first_unknown = None
        started = self.clock.monotonic()
        self.budgets.add_first_attempt(request.service, "")
        number = 1
        while True:
            sequence = self.holder.sequence
            attempt = await self.try_once(request)
            if attempt.failure is None or request.body.rest is not None:
                return attempt.outcome
            if first_unknown is None and may_have_run(attempt.failure):
                first_unknown = attempt.outcome
            if isinstance(attempt.failure, REROUTED):
                pause = self.choose_pause(request, started, number)
            else:
                pause = self.ask_budget(request, attempt, number)
            if pause is None:
                return attempt.outcome if first_unknown is None else first_unknown
            number += 1
            self.tries_again += 1
            await self.wait_for_change(sequence, pause)

    def choose_pause(
        self, request: data.Request, started: datetime.timedelta, number: int
    ) -> datetime.timedelta | None:
        """Return how long to wait for a newer view, or None to give up."""
        if self.waiting >= MAXIMUM_WAITING:
            return None
        longest = min(FIRST_DELAY * 2 ** min(number - 1, 10), LARGEST_DELAY)
        pause = longest * (0.5 + self.random.random() / 2)
        end = min(request.deadline, started + PATIENCE)
        if self.clock.monotonic() + pause >= end:
            return None
        self.refresh()
        return pause

    def ask_budget(
        self, request: data.Request, attempt: Attempt, number: int
    ) -> datetime.timedelta | None:
        """Return when to send again after the loss of the gate, or None."""
        if attempt.by_gate:
            return None
        kind = find_kind(self.holder.current, request.service, request.kind)
        now = self.clock.monotonic()
        failed = retries.Attempt(
            number,
            kind is not None and kind.idempotent,
            attempt.failure,
            request.deadline,
            EXPECTED,
        )
        decision = self.budgets.decide(request.service, "", failed, now)
        return decision.at - now if isinstance(decision, retries.Retry) else None

    async def wait_for_change(self, sequence: int, pause: datetime.timedelta) -> None:
        """Wait for `pause`, or for a newer view if that comes first."""
        self.waiting += 1
        try:
            async with asyncio.timeout(pause.total_seconds()):
                await self.holder.wait_change(sequence)
        except TimeoutError:
            return
        finally:
            self.waiting -= 1

    async def try_once(self, request: data.Request) -> Attempt:
        """Send the request to the gate that the current view names."""
        current = self.holder.current
        found = locate.locate(current, request.service, request.key)
        if isinstance(found, result.Failure):
            return describe_attempt(found)
        gate = found.unwrap().gate
        if gate.entry == self.entry:
            return describe_attempt(await self.gates.handle(request), True)
        state = current.members.get(gate.entry)
        if state is None or not state.alive:
            return describe_unreachable(gate.entry)
        if state.member.incarnation != gate.incarnation:
            # The process that became the gate has been replaced since.
            return describe_unreachable(gate.entry)
        return describe_attempt(await self.network.exchange(state.member, request))
