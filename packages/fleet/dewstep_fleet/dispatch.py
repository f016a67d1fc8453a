"""Sends requests to targets and returns their answers.

A request goes through these steps: find its route, choose the service, find the owner
of its key or the target with the shortest expected completion time, check whether it
can be served in time, send it, and evaluate the answer. It is resent only if it
certainly did not run or is idempotent, within the route's maximum number of
attempts and the fleet's retry budget. A request that cannot be served is refused at
once, with a time after which to retry.
"""

import asyncio
import datetime
import functools
import random
from collections.abc import Callable
from typing import Any

import h11
from returns import result

from dewstep_core import clocks, data, errors, events, tasks
from dewstep_entry import header_rules
from dewstep_entry.targets import answering
from dewstep_fleet import (
    attempts,
    budgets,
    coordination,
    crash_checks,
    directories,
    load_counts,
    model,
    planned_stops,
    reachability,
    refusals,
    relaying,
    request_plans,
    target_pools,
    target_search,
)
from dewstep_fleet.admission import owner_resends

MAX_TRIES = 5
"""Maximum number of tries of one request, including those that reached no target."""
SUSPECTED_RETRY_AFTER = datetime.timedelta(seconds=60)
"""Retry time of a request that may crash targets, which costs them more than it does
its caller."""


class Progress:
    """What has happened to a request so far."""

    __slots__ = ("answer", "failure", "runs", "sends")

    def __init__(self):
        self.answer: data.Answer | None = None
        """Failure answer of a target."""
        self.failure: Any = None
        """Failure to report if no try succeeds. A failure answer of a target takes
        precedence."""
        self.runs = 0
        """Tries that may have run."""
        self.sends = 0
        """Tries that reached a target."""


class Dispatcher:
    """Implements `interfaces.RequestHandler` for `model.IncomingRequest`.

    Parameters
    ----------
    node, data_centre : str
        Name and data centre of this instance.
    directory : directories.Directory
    loads : load_counts.Loads
    retry_budgets : budgets.Budgets
    participant : coordination.FleetParticipant
    header_names : model.HeaderNames
    answer_rules : answering.AnswerRules
    clock : clocks.Clock
    generator : random.Random
    count_key : callable
        Called with the service and key of each request for a keyed service.
    """

    def __init__(
        self,
        node: str,
        data_centre: str,
        directory: directories.Directory,
        loads: load_counts.Loads,
        retry_budgets: budgets.Budgets,
        participant: coordination.FleetParticipant,
        header_names: model.HeaderNames,
        answer_rules: answering.AnswerRules,
        clock: clocks.Clock,
        generator: random.Random,
        count_key: Callable[[str, int], None],
    ):
        self.node = node
        self.directory = directory
        self.loads = loads
        self.retry_budgets = retry_budgets
        self.participant = participant
        self.clock = clock
        self.lives = {name: item.life for name, item in directory.targets.items()}
        """Last incarnation of each target, also of removed ones."""
        self.unreachable_until: dict[str, datetime.timedelta] = {}
        """Targets that another instance did not reach either, and until when this is
        assumed."""
        self.in_progress = 0
        self.background_tasks = tasks.TaskOwner(self.handle_task_failure)
        self.reachability = reachability.Reachability(clock.monotonic())
        self.uses_new_connections = False
        """Whether the connections to targets from before a cut have been given up."""
        self.relay = relaying.RelaySender(
            node, data_centre, directory, header_names.request_id, clock, generator
        )
        self.planner = request_plans.Planner(
            directory,
            loads,
            retry_budgets,
            lambda: participant.configuration_checks,
            header_names,
            clock,
            count_key,
        )
        self.search = target_search.TargetSearch(
            data_centre,
            directory,
            loads,
            retry_budgets,
            participant,
            self.planner,
            clock,
            generator,
        )
        self.refuser = refusals.Refuser(directory, loads, participant, clock, generator)
        self.stop = planned_stops.PlannedStop(node, clock)
        self.pools = target_pools.TargetPools(
            directory, loads, participant, answer_rules, data_centre, clock
        )
        self.crashes = crash_checks.CrashChecks(
            directory, participant, clock, self.background_tasks
        )
        self.attempts = attempts.Attempts(
            directory,
            loads,
            participant,
            self.search,
            self.pools,
            self.stop,
            self.reachability,
            self.crashes,
            header_names,
            answer_rules,
            clock,
        )
        directory.listeners.append(self._apply_target_changes)

    # Handling.

    async def handle(
        self, request: model.IncomingRequest
    ) -> result.Result[data.Answer, Any]:
        """Return the answer to a caller's request."""
        self.in_progress += 1
        try:
            planned = await self.planner.plan(request)
            if isinstance(planned, result.Failure):
                return result.Success(
                    self.refuser.refuse(request, planned.failure(), None)
                )
            plan = planned.unwrap()
            if request.parallel and not plan.route.idempotent:
                # The configuration has changed since the request was started.
                failure = errors.NotReady("its turn")
                return result.Success(self.refuser.refuse(request, failure, plan))
            if plan.route.idempotent:
                return result.Success(await self.serve(plan))
            return result.Success(await self.serve_uninterrupted(plan))
        finally:
            self.in_progress -= 1

    async def serve_uninterrupted(
        self, plan: request_plans.PlannedRequest
    ) -> data.Answer:
        """Serve a request that must not be cancelled when its caller disconnects."""
        task = self.background_tasks.spawn(self.serve(plan))
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if plan.request.body.rest is not None:
                # The rest of the body will never arrive.
                task.cancel()
            raise

    def handle_task_failure(self, error: BaseException, task: str) -> None:
        """Log a failed task; its caller has its answer or has disconnected."""
        events.exception("dispatch_failed", error, task=task)

    # Serving.

    async def serve(self, plan: request_plans.PlannedRequest) -> data.Answer:
        """Return the answer of a target, or the refusal of the request."""
        if plan.is_relayed() and self.is_cut_off():
            failure = errors.RelayRefused(self.node, "cut off from the targets")
            return self.refuser.refuse(plan.request, failure, plan)
        progress = Progress()
        if not plan.is_relayed() and self.is_cut_off() and not self.begin_trial(plan):
            relayed = await self.pass_on(plan, progress)
            if is_final(relayed):
                return self.conclude(plan, progress, relayed)
        await self.try_targets(plan, progress)
        if self.should_pass_on(plan, progress):
            relayed = await self.pass_on(plan, progress)
            if is_final(relayed):
                return self.conclude(plan, progress, relayed)
        return self.conclude(plan, progress, None)

    def conclude(
        self,
        plan: request_plans.PlannedRequest,
        progress: Progress,
        relayed: relaying.RelayOutcome | None,
    ) -> data.Answer:
        """Return the final answer to a request."""
        failure = progress.failure
        if relayed is not None:
            if relayed.answer is not None:
                return relayed.answer
            failure = refusals.choose_failure(failure, relayed.failure)
        if progress.answer is not None:
            return progress.answer
        if plan.is_relayed() and isinstance(failure, errors.Stopping):
            failure = errors.RelayRefused(self.node, "stopping")
        if getattr(failure, "reason", "") != refusals.RETRY_BUDGET_REASON:
            failure = self.directory.regions.choose_failure(
                plan.request, plan.route, plan.service.name, failure
            )
        return self.refuser.refuse(plan.request, failure, plan)

    async def try_targets(
        self, plan: request_plans.PlannedRequest, progress: Progress
    ) -> None:
        """Try until there is an answer or no further try is allowed."""
        tried: set[str] = set()
        tries = 0
        while tries < MAX_TRIES:
            outcome = await self.try_once(plan, frozenset(tried), progress.sends)
            if outcome.answer is not None:
                progress.answer = outcome.answer
                if outcome.failure is None:
                    return
            failure = outcome.failure
            if tried and isinstance(failure, errors.NotReady):
                # All targets have been tried; the last failure says more.
                return
            progress.failure = refusals.choose_failure(progress.failure, failure)
            if not outcome.target:
                return
            # A request without a permit costs no connection, and at most one question.
            tries += not isinstance(failure, errors.TargetLimited)
            tried.add(outcome.target)
            if not isinstance(failure, attempts.UNSENT_FAILURES):
                progress.sends += 1
                progress.runs += not isinstance(failure, errors.TargetRefused)
            if self.should_repeat(plan, failure, progress):
                continue
            if not self.should_resend(plan, failure, progress.runs):
                return
            if self.should_stop_trial(plan, failure):
                return
            if plan.key is not None and not await self.search.wait_owner_change(
                plan, failure
            ):
                return

    # Other instances.

    def is_cut_off(self) -> bool:
        """Whether this instance is probably cut off from all targets."""
        return self.reachability.is_cut_off()

    def note_cut(self, cut_off: bool) -> None:
        """Use no open connection to a target once a cut is believed in."""
        self.uses_new_connections = cut_off
        if cut_off:
            self.pools.retire()

    def begin_trial(self, plan: request_plans.PlannedRequest) -> bool:
        """Whether to find out with a request whether the cut has ended.

        The outcome of a request on a connection that hangs is unknown, so one that must
        not run twice is a trial on a new connection only. If none can be opened, the
        request has not been sent, and its body not been read.
        """
        repeatable = plan.route.idempotent
        if not repeatable and not self.uses_new_connections:
            return False
        return self.reachability.begin_trial(self.clock.monotonic(), repeatable)

    def should_stop_trial(
        self, plan: request_plans.PlannedRequest, failure: Any
    ) -> bool:
        """Whether a request has shown that the cut lasts, and can be passed on."""
        unreachable = isinstance(failure, errors.TargetUnavailable)
        return unreachable and not plan.is_relayed() and self.is_cut_off()

    def should_pass_on(
        self, plan: request_plans.PlannedRequest, progress: Progress
    ) -> bool:
        """Whether another instance may serve a request that reached no target."""
        failure = progress.failure
        now = self.clock.monotonic()
        if plan.is_relayed() or progress.answer is not None:
            return False
        if not isinstance(failure, errors.TargetUnavailable):
            return False
        if failure.reason == refusals.RETRY_BUDGET_REASON:
            return False
        # Other instances may choose another target for a request without a key. Those
        # that may get a request of a restricted region are asked once a period.
        asked_once = plan.key is not None or self.directory.regions.is_restricted(
            plan.request, plan.route
        )
        if asked_once and self.is_unreachable_elsewhere(failure.target):
            return False
        return now + attempts.DEADLINE_MARGIN * 5 < plan.due_at

    def is_unreachable_elsewhere(self, target: str) -> bool:
        """Whether another instance has failed to reach a target a short time ago."""
        now = self.clock.monotonic()
        return self.unreachable_until.get(target, now) > now

    async def pass_on(
        self, plan: request_plans.PlannedRequest, progress: Progress
    ) -> relaying.RelayOutcome:
        """Let another instance serve a request."""
        budget = self.retry_budgets.get(plan.service.name)
        if progress.sends and not budget.reserve_resend(
            self.participant.live_instances
        ):
            return relaying.RelayOutcome(
                None, errors.RelayRefused(self.node, refusals.RETRY_BUDGET_REASON)
            )
        request_id = header_rules.encode_value(plan.request.request_id)
        attempts_left = max(1, plan.max_attempts - progress.runs)
        try:
            outcome = await self.relay.send(
                lambda: self.build_relayed_head(plan, attempts_left),
                self.stop.guard_body(plan),
                plan.due_at,
                request_id,
                lambda: self.stop.find_refusal(plan),
                functools.partial(
                    self.directory.regions.allows_member, plan.request, plan.route
                ),
            )
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            return relaying.RelayOutcome(None, errors.MalformedRequest(str(error)))
        if isinstance(outcome.failure, errors.TargetUnavailable):
            until = self.clock.monotonic() + attempts.UNREACHABLE_PERIOD
            self.unreachable_until[outcome.failure.target] = until
        return outcome

    def build_relayed_head(
        self, plan: request_plans.PlannedRequest, attempts_left: int
    ) -> h11.Request:
        """Return the head of a request that is passed on."""
        head = self.attempts.build_head(plan, None, self.clock.monotonic())
        return h11.Request(
            method=head.method,
            target=head.target,
            headers=relaying.add_attempts(
                tuple(head.headers),
                attempts_left,
                self.directory.regions.list_sent_regions(plan.request, plan.route),
            ),
        )

    # One try.

    async def try_once(
        self, plan: request_plans.PlannedRequest, tried: frozenset[str], sends: int
    ) -> attempts.Outcome:
        """Return the outcome of one attempt, or the reason why there was none."""
        if self.participant.crash_counts.is_quarantined(
            plan.fingerprint, self.clock.monotonic()
        ):
            failure = errors.RequestSuspected(
                plan.fingerprint.hex(), SUSPECTED_RETRY_AFTER
            )
            return attempts.Outcome(None, failure, "")
        stopping = self.stop.find_refusal(plan)
        if stopping is not None:
            return attempts.Outcome(None, stopping, "")
        found = await self.search.find_target(plan, tried)
        if isinstance(found, result.Failure):
            return attempts.Outcome(None, found.failure(), "")
        choice = found.unwrap()
        limits = self.participant.limits
        time_left = plan.due_at - self.clock.monotonic()
        acquired = await limits.acquire(choice.target, time_left)
        if isinstance(acquired, result.Failure):
            return attempts.Outcome(None, acquired.failure(), choice.target.name)
        permit = acquired.unwrap()
        stopping = self.stop.find_refusal(plan, choice)
        if stopping is not None:
            limits.give_back(permit)
            return attempts.Outcome(None, stopping, "")
        budget = self.retry_budgets.get(plan.service.name)
        if sends and not budget.reserve_resend(self.participant.live_instances):
            limits.give_back(permit)
            failure = errors.TargetUnavailable(
                choice.target.name, refusals.RETRY_BUDGET_REASON
            )
            return attempts.Outcome(None, failure, "")
        return await self.attempts.make(plan, choice, permit)

    def should_resend(
        self, plan: request_plans.PlannedRequest, failure: Any, runs: int
    ) -> bool:
        """Whether a failed request may be resent and could then succeed."""
        final = errors.DeadlineExceeded | errors.MalformedRequest | errors.Stopping
        if isinstance(failure, final):
            return False
        refused = isinstance(failure, errors.TargetRefused)
        if (
            refused
            and plan.key is not None
            and failure.reason != owner_resends.MISDIRECTED
        ):
            # No other target may run the request; see `should_repeat`.
            return False
        closed = (
            errors.TargetPaused
            | errors.TargetLimited
            | errors.QueueFull
            | errors.RegionUnavailable
        )
        if isinstance(failure, closed) and plan.key is not None:
            return False
        not_run = refused or isinstance(failure, attempts.UNSENT_FAILURES)
        if not (not_run or plan.route.idempotent):
            return False
        return self.can_resend(plan, runs)

    def should_repeat(
        self, plan: request_plans.PlannedRequest, failure: Any, progress: Progress
    ) -> bool:
        """Whether to repeat a request at once that its owner refused although free."""
        found = self.refuser.estimate_refusing_owner(plan, failure)
        return (
            found is not None
            and owner_resends.may_resend(*found, progress.sends, plan.max_attempts)
            and self.can_resend(plan, progress.runs)
        )

    def can_resend(self, plan: request_plans.PlannedRequest, runs: int) -> bool:
        """Whether a request that may have run `runs` times may be resent."""
        if plan.request.body.rest is not None:
            # The part of a streamed body that was sent is not kept.
            return False
        if runs >= plan.max_attempts:
            return False
        return self.clock.monotonic() + attempts.DEADLINE_MARGIN * 5 < plan.due_at

    # Changes.

    def refuse_waiting(self) -> None:
        """Refuse the requests that wait for a connection to a target or instance."""
        for pool in (*self.pools.by_target.values(), *self.relay.pools.values()):
            pool.refuse_waiting(errors.Stopping(self.node))

    def _apply_target_changes(self, changed_rows: list[model.StoredRow]) -> None:
        """Forget what was known of targets that were removed or have restarted."""
        if not any(row.table == model.TABLES.targets for row in changed_rows):
            return
        targets = self.directory.targets
        self.pools.retire_outdated()
        self.loads.set_targets(targets, self.clock.monotonic().total_seconds())
        self.reachability.keep_targets(targets)
        for name in [item for item in self.unreachable_until if item not in targets]:
            del self.unreachable_until[name]
        for name, target in targets.items():
            if self.lives.get(name, target.life) != target.life:
                self.loads.forget_failures(name)
        self.lives.update({name: target.life for name, target in targets.items()})
        self.crashes.confirm()


def is_final(relayed: relaying.RelayOutcome) -> bool:
    """Whether a request that was passed on cannot be sent any more."""
    return relayed.body_used or not isinstance(relayed.failure, errors.RelayRefused)
