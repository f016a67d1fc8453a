"""Takes a request to the gate of the key's owner, and tries again where that is safe.

A request is tried again only if it certainly did not run, or if its kind is
idempotent, and only while its body is still in memory. While ownership changes hands
the request waits for the next change of the view, for at most `PATIENCE`; what then
still has no place is refused at once.
"""

import asyncio
import datetime
import random
from typing import NamedTuple

from returns import result

from dewstep_core import clock as clocks, data, errors
from dewstep_entry import interfaces
from dewstep_entry.pipeline import locate
from dewstep_entry.policy import retries
from dewstep_entry.state import view

PATIENCE = datetime.timedelta(milliseconds=1500)
"""A key is served again within 1 s of a loss; the rest is for the last try."""
FIRST_DELAY = datetime.timedelta(milliseconds=10)
LARGEST_DELAY = datetime.timedelta(milliseconds=100)
MAXIMUM_WAITING = 1_000
"""Requests that may wait for a change of ownership at the same time."""

REROUTED = frozenset(
    failure.__name__
    for failure in (
        errors.NotReady,
        errors.GateUnknown,
        errors.NotTheGate,
        errors.NotTheOwner,
        errors.ShardMoving,
        errors.PeerUnreachable,
        errors.TargetUnavailable,
        errors.Stopping,
    )
)
"""Failures of the way to the target, which a newer view can cure. They put no load on
a target, so the retry budget does not count them."""


class Attempt(NamedTuple):
    """The result of one try and the name of dewstep's own failure in it, if any."""

    outcome: result.Result[data.Answer, interfaces.Failure]
    failure: str


def describe_attempt(
    outcome: result.Result[data.Answer, interfaces.Failure],
) -> Attempt:
    """Return `outcome` with the name of its failure, "" for a target's answer."""
    if isinstance(outcome, result.Failure):
        return Attempt(outcome, type(outcome.failure()).__name__)
    return Attempt(outcome, outcome.unwrap().failure)


def is_certainly_not_run(failure: str) -> bool:
    """Return whether a failure of this name says that the request did not run."""
    rule = errors.answer_rules.get(failure)
    return rule is not None and rule.outcome == errors.NOT_RUN


def may_try_again(failure: str, idempotent: bool, body: data.Body) -> bool:
    """Return whether a second try can neither double nor truncate the request."""
    if not failure or body.rest is not None:
        return False
    rule = errors.answer_rules.get(failure)
    if rule is None or rule.outcome == errors.BAD_REQUEST:
        return False
    if failure == errors.Quarantined.__name__:
        return False
    return rule.outcome == errors.NOT_RUN or idempotent


async def close_answer(outcome: result.Result[data.Answer, object]) -> None:
    """Close the body of an answer that is not passed on."""
    answer = outcome.value_or(None)
    if answer is not None and answer.body.rest is not None:
        await answer.body.rest.aclose()


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
    budgets : retries.RetryBudgets
        Limits of the load that tries add, by service and data centre.
    refresh : callable
        Asks for a fresh view from the table or a peer, without waiting for it.
    """

    def __init__(self, entry, holder, clock, gates, network, budgets, refresh):
        self.entry = entry
        self.holder: view.ViewHolder = holder
        self.clock: clocks.Clock = clock
        self.gates: interfaces.RequestHandler = gates
        self.network = network
        self.budgets: retries.RetryBudgets = budgets
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
        """Try until there is an answer, or until another try is not allowed."""
        idempotent = self.is_idempotent(request)
        give_up = min(request.deadline, self.clock.monotonic() + PATIENCE)
        delay = FIRST_DELAY
        self.budgets.record_request(request.service, self.find_data_centre(request))
        while True:
            sequence = self.holder.sequence
            attempt = describe_attempt(await self.try_once(request))
            if not may_try_again(attempt.failure, idempotent, request.body):
                return attempt.outcome
            pause = delay * (0.5 + self.random.random())
            if self.clock.monotonic() + pause >= give_up:
                return attempt.outcome
            if not self.is_another_try_allowed(request, attempt.failure):
                return attempt.outcome
            await close_answer(attempt.outcome)
            self.tries_again += 1
            if attempt.failure in REROUTED:
                self.refresh()
            await self.wait_for_change(sequence, pause)
            delay = min(2 * delay, LARGEST_DELAY)

    def is_another_try_allowed(self, request: data.Request, failure: str) -> bool:
        """Return whether the bounds on waiting and on added load allow a try."""
        if self.waiting >= MAXIMUM_WAITING:
            return False
        if failure in REROUTED:
            return True
        return self.budgets.withdraw(request.service, self.find_data_centre(request))

    def find_data_centre(self, request: data.Request) -> str:
        """Return the data centre of the key's owner, "" if it is not known."""
        current = self.holder.current
        found = locate.locate(current, request.service, request.key).value_or(None)
        configuration = current.configuration
        if found is None or configuration is None:
            return ""
        target = configuration.targets.get(found.owner)
        return target.data_centre if target is not None else ""

    def is_idempotent(self, request: data.Request) -> bool:
        """Return whether the request's kind may run twice."""
        configuration = self.holder.current.configuration
        service = configuration and configuration.services.get(request.service)
        if not service:
            return False
        return any(
            kind.idempotent for kind in service.kinds if kind.name == request.kind
        )

    async def wait_for_change(self, sequence: int, pause: datetime.timedelta) -> None:
        """Wait for `pause`, or for a newer view if that comes first."""
        self.waiting += 1
        try:
            await asyncio.wait_for(
                self.holder.wait_change(sequence), pause.total_seconds()
            )
        except TimeoutError:
            return
        finally:
            self.waiting -= 1

    async def try_once(
        self, request: data.Request
    ) -> result.Result[data.Answer, interfaces.Failure]:
        """Send the request to the gate that the current view names."""
        current = self.holder.current
        found = locate.locate(current, request.service, request.key)
        if isinstance(found, result.Failure):
            return found
        gate = found.unwrap().gate
        if gate.entry == self.entry:
            return await self.gates.handle(request)
        state = current.members.get(gate.entry)
        if state is None or not state.alive:
            return result.Failure(errors.PeerUnreachable(gate.entry))
        return await self.network.exchange(state.member, request)
