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
import hashlib
import random
from collections.abc import AsyncIterator, Callable, Iterable
from typing import Any, NamedTuple

import h11
from returns import result

from dewstep_core import clocks, data, errors, events, settings, tasks
from dewstep_entry import bodies, failures, header_rules
from dewstep_entry.policy import stop_schedule
from dewstep_entry.targets import answering, connection_pool
from dewstep_fleet import (
    answers,
    budgets,
    coordination,
    crash_counts,
    directories,
    load_counts,
    membership,
    model,
    reachability,
    relaying,
    request_limits,
    routes,
    selection,
)

DEFAULT_DEADLINE = datetime.timedelta(seconds=30)
"""For requests without a deadline whose route has no time-out."""
DEADLINE_MARGIN = datetime.timedelta(milliseconds=10)
"""Subtracted from a target's deadline, for the answer's way back to the caller."""
MAX_MOVE_WAIT = datetime.timedelta(milliseconds=600)
"""Maximum wait for a key in a planned move. The owner first finishes its queued and
running requests, which takes about two service times."""
MAX_START_WAIT = datetime.timedelta(milliseconds=300)
"""Maximum wait for the first or the newest configuration."""
MAX_CONFIGURATION_AGE = 0.75
"""Part of the time within which a configuration must be in force, for which a refusal
may rest on one that was the newest. The rest is for the caller's way to us."""
CONNECT_TIMEOUT = datetime.timedelta(milliseconds=250)
"""A connection takes 1 ms at the target and 2 ms of network time; a lost packet is
retransmitted after 200 ms."""
UNREACHABLE_PERIOD = datetime.timedelta(milliseconds=1000)
"""Time for which an unreachable target is avoided."""
REPLACED_PERIOD = datetime.timedelta(seconds=5)
"""Time for which a target is avoided whose address now belongs to another target; its
registration expires soon."""
DRAIN_MARGIN = datetime.timedelta(milliseconds=300)
"""Part of the drain time for reading of a target's departure and for the way of the
last request, of which a lost packet is retransmitted after 200 ms."""
MAX_IDLE_TIME = datetime.timedelta(seconds=7)
"""Below the 10 s after which targets close idle connections."""
MAX_REQUESTS_PER_SLOT = 4
"""Requests per slot from which on a target counts as full; targets queue three or four
for each slot."""
UNSENT_FAILURES = (
    errors.TargetUnavailable
    | errors.TargetPaused
    | errors.TargetLeaving
    | errors.TargetLimited
    | errors.Stopping
)
"""Failures of requests that were not sent."""
MAX_OWNER_CHANGE_WAIT = datetime.timedelta(milliseconds=100)
"""Maximum wait for a new owner after a key's owner failed; changes arrive in a few
ms."""
MAX_TRIES = 5
"""Maximum number of tries of one request, including those that reached no target."""
MISDIRECTED = "421"
"""Reason with which a target refuses a request for a key that it does not own."""
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses from which callers conclude that a request has not run."""
MAX_KEY_DIGITS = 5
"""Number of digits of the last key."""
SUSPECTED_RETRY_AFTER = datetime.timedelta(seconds=60)
"""Retry time of a request that may crash targets, which costs them more than it does
its caller."""
CRASH_CONFIRMATION_PERIOD = datetime.timedelta(seconds=6)
"""Time within which the registration of a crashed target expires: three of its
heartbeats, doubled for a slow store."""
RETRY_BUDGET_REASON = "retry budget"
"""Reason of a request that was not resent."""
TYPICAL_ANSWER_BYTES = 5_000
"""Typical size of an answer, used to choose a target."""
BASE_RETRY_AFTER = datetime.timedelta(milliseconds=300)
"""Base of the retry time of a refused request: about one service time, in which each
target frees a slot."""


class PlannedRequest(NamedTuple):
    """A request with its route, service, key and time limits."""

    request: model.IncomingRequest
    route: model.Route
    service: model.Service
    key: int | None
    deadline: datetime.timedelta
    """The caller's deadline."""
    due_at: datetime.timedelta
    """When an answer is due: the earlier of the deadline and the route's time-out."""
    due_by_timeout: bool
    """Whether `due_at` is the route's time-out."""
    fingerprint: bytes
    max_attempts: int
    """Maximum number of attempts in which a target may have run the request."""

    def is_relayed(self) -> bool:
        """Whether another instance has passed the request on."""
        return self.request.relayed_attempts is not None


class CrashSuspicion(NamedTuple):
    """A request that may have crashed a target."""

    fingerprint: bytes
    loss: crash_counts.Loss


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


class Outcome(NamedTuple):
    """Result of one attempt."""

    answer: data.Answer | None
    failure: Any
    """None on success."""
    target: str
    """"" if there was no attempt."""


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
        self.data_centre = data_centre
        self.directory = directory
        self.loads = loads
        self.retry_budgets = retry_budgets
        self.participant = participant
        self.header_names = header_names
        self.answer_rules = answer_rules
        self.clock = clock
        self.random = generator
        self.count_key = count_key
        self.route_index = routes.EMPTY_INDEX
        self.lowest_priorities: dict[str, int] = {}
        """Highest priority number, thus lowest priority, of the routes to each
        service."""
        self.splitter = routes.Splitter()
        self.pools: dict[tuple[str, int, str, int], connection_pool.ConnectionPool] = {}
        """Connection pools by target name, incarnation, host and port."""
        self.lives = {name: item.life for name, item in directory.targets.items()}
        """Last incarnation of each target, also of removed ones."""
        self.reachability = reachability.Reachability(clock.monotonic())
        self.relay = relaying.RelaySender(
            node, data_centre, directory, header_names.request_id, clock, generator
        )
        self.unreachable_until: dict[str, datetime.timedelta] = {}
        """Targets that another instance did not reach either, and until when this is
        assumed."""
        self.stop_schedule: stop_schedule.StopSchedule | None = None
        """Times of the planned stop, once it has begun."""
        self.in_progress = 0
        self.background_tasks = tasks.TaskOwner(self.handle_task_failure)
        self.suspicions: dict[str, set[CrashSuspicion]] = {}
        """Requests that may have crashed a target, by target."""
        directory.listeners.append(self._apply_target_changes)

    # Handling.

    async def handle(
        self, request: model.IncomingRequest
    ) -> result.Result[data.Answer, Any]:
        """Return the answer to a caller's request."""
        self.in_progress += 1
        try:
            planned = await self.plan_request(request)
            if isinstance(planned, result.Failure):
                return result.Success(
                    self.build_refusal(request, planned.failure(), None)
                )
            plan = planned.unwrap()
            if request.parallel and not plan.route.idempotent:
                # The configuration has changed since the request was started.
                failure = errors.NotReady("its turn")
                return result.Success(self.build_refusal(request, failure, plan))
            if plan.route.idempotent:
                return result.Success(await self.serve(plan))
            return result.Success(await self.serve_uninterrupted(plan))
        finally:
            self.in_progress -= 1

    async def serve_uninterrupted(self, plan: PlannedRequest) -> data.Answer:
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

    def prepare_parallel(
        self, request: model.IncomingRequest
    ) -> model.IncomingRequest | None:
        """Return a request that may run beside others of its connection, or None."""
        table = self.directory.routes
        if table is None or table.version != self.route_index.version:
            return None
        host = dict(request.headers).get(b"host", b"").decode("latin-1")
        route = routes.find_route(self.route_index, host, request.path)
        if route is None or not route.idempotent:
            return None
        return request._replace(parallel=True)

    # Planning.

    async def plan_request(
        self, request: model.IncomingRequest
    ) -> result.Result[PlannedRequest, Any]:
        """Find the route, service, key and time limits of a request.

        A configuration that may have been replaced does not justify a refusal that
        callers do not repeat, so the newest one is awaited before such a refusal.
        """
        end: datetime.timedelta | None = None
        max_age = self.retry_budgets.timing.apply_time * MAX_CONFIGURATION_AGE
        checks = self.participant.configuration_checks
        while True:
            located = self.locate_request(request)
            if isinstance(located, result.Success):
                return result.Success(self.build_plan(request, *located.unwrap()))
            missing = "configuration"
            if self.directory.routes is not None:
                rule = failures.find_rule(located.failure())
                if rule.outcome != errors.BAD_REQUEST:
                    return located
                if checks.is_confirmed(request.arrived_at - max_age):
                    return located
                missing = "newest configuration"
            now = self.clock.monotonic()
            if end is None:
                end = now + MAX_START_WAIT
            if now >= end:
                return result.Failure(errors.NotReady(missing))
            await checks.wait(end - now)

    def locate_request(
        self, request: model.IncomingRequest
    ) -> result.Result[tuple[model.Route, model.Service, int | None], Any]:
        """Return the route, service and key of a request by the known configuration."""
        table = self.directory.routes
        if table is None:
            return result.Failure(errors.NotReady("configuration"))
        if table.version != self.route_index.version:
            self.route_index = routes.build_index(table)
            self.lowest_priorities = routes.find_lowest_priorities(table)
            self.loads.keep_routes({route.name for route in table.routes})
        headers = dict(request.headers)
        host = headers.get(b"host", b"").decode("latin-1")
        route = routes.find_route(self.route_index, host, request.path)
        if route is None:
            return result.Failure(errors.UnknownService(request.method, request.path))
        name = self.splitter.choose_service(route)
        service = table.services.get(name)
        if service is None:
            return result.Failure(errors.NotReady(name))
        if not service.keyed:
            return result.Success((route, service, None))
        key = read_key(headers.get(self.header_names.key))
        if key is None:
            part = self.header_names.key.decode()
            return result.Failure(errors.KeyMissing(name, part))
        return result.Success((route, service, key))

    def build_plan(
        self,
        request: model.IncomingRequest,
        route: model.Route,
        service: model.Service,
        key: int | None,
    ) -> PlannedRequest:
        """Return a request with its time limits, and count it."""
        headers = dict(request.headers)
        host = headers.get(b"host", b"").decode("latin-1")
        if key is not None and request.relayed_attempts is None:
            self.count_key(service.name, key)
        now = request.arrived_at
        given = read_milliseconds(headers.get(self.header_names.deadline))
        timeout = route.timeout
        deadline = now + (given or timeout or DEFAULT_DEADLINE)
        due_by_timeout = timeout is not None and now + timeout < deadline
        due_at = now + timeout if due_by_timeout else deadline
        max_attempts = route.max_attempts
        if request.relayed_attempts is None:
            self.retry_budgets.get(service.name).add_request()
        else:
            max_attempts = min(max_attempts, request.relayed_attempts)
        fingerprint = compute_fingerprint(request, host)
        return PlannedRequest(
            request,
            route,
            service,
            key,
            deadline,
            due_at,
            due_by_timeout,
            fingerprint,
            max_attempts,
        )

    # Serving.

    async def serve(self, plan: PlannedRequest) -> data.Answer:
        """Return the answer of a target, or the refusal of the request."""
        if plan.is_relayed() and self.is_cut_off():
            failure = errors.RelayRefused(self.node, "cut off from the targets")
            return self.build_refusal(plan.request, failure, plan)
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
        plan: PlannedRequest,
        progress: Progress,
        relayed: relaying.RelayOutcome | None,
    ) -> data.Answer:
        """Return the final answer to a request."""
        failure = progress.failure
        if relayed is not None:
            if relayed.answer is not None:
                return relayed.answer
            failure = choose_failure(failure, relayed.failure)
        if progress.answer is not None:
            return progress.answer
        if plan.is_relayed() and isinstance(failure, errors.Stopping):
            failure = errors.RelayRefused(self.node, "stopping")
        return self.build_refusal(plan.request, failure, plan)

    async def try_targets(self, plan: PlannedRequest, progress: Progress) -> None:
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
            progress.failure = choose_failure(progress.failure, failure)
            if not outcome.target:
                return
            # A request without a permit costs no connection, and at most one question.
            tries += not isinstance(failure, errors.TargetLimited)
            tried.add(outcome.target)
            if not isinstance(failure, UNSENT_FAILURES):
                progress.sends += 1
                progress.runs += not isinstance(failure, errors.TargetRefused)
            if not self.should_resend(plan, failure, progress.runs):
                return
            if self.should_stop_trial(plan, failure):
                return
            if plan.key is not None and not await self.wait_owner_change(plan, failure):
                return

    # Other instances.

    def is_cut_off(self) -> bool:
        """Whether this instance is probably cut off from all targets."""
        return self.reachability.is_cut_off()

    def begin_trial(self, plan: PlannedRequest) -> bool:
        """Whether to find out with a request whether the cut has ended."""
        return plan.route.idempotent and self.reachability.begin_trial(
            self.clock.monotonic()
        )

    def should_stop_trial(self, plan: PlannedRequest, failure: Any) -> bool:
        """Whether a request has shown that the cut lasts, and can be passed on."""
        unreachable = isinstance(failure, errors.TargetUnavailable)
        return unreachable and not plan.is_relayed() and self.is_cut_off()

    def should_pass_on(self, plan: PlannedRequest, progress: Progress) -> bool:
        """Whether another instance may serve a request that reached no target."""
        failure = progress.failure
        now = self.clock.monotonic()
        if plan.is_relayed() or progress.answer is not None:
            return False
        if not isinstance(failure, errors.TargetUnavailable):
            return False
        if failure.reason == RETRY_BUDGET_REASON:
            return False
        # Other instances may choose another target for a request without a key.
        if plan.key is not None and self.is_unreachable_elsewhere(failure.target):
            return False
        return now + DEADLINE_MARGIN * 5 < plan.due_at

    def is_unreachable_elsewhere(self, target: str) -> bool:
        """Whether another instance has failed to reach a target a short time ago."""
        now = self.clock.monotonic()
        return self.unreachable_until.get(target, now) > now

    async def pass_on(
        self, plan: PlannedRequest, progress: Progress
    ) -> relaying.RelayOutcome:
        """Let another instance serve a request."""
        budget = self.retry_budgets.get(plan.service.name)
        if progress.sends and not budget.reserve_resend(
            self.participant.live_instances
        ):
            return relaying.RelayOutcome(
                None, errors.RelayRefused(self.node, RETRY_BUDGET_REASON)
            )
        request_id = header_rules.encode_value(plan.request.request_id)
        attempts = max(1, plan.max_attempts - progress.runs)
        try:
            outcome = await self.relay.send(
                lambda: self.build_relayed_head(plan, attempts),
                self.guard_body(plan),
                plan.due_at,
                request_id,
                lambda: self.find_stop_refusal(plan),
            )
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            return relaying.RelayOutcome(None, errors.MalformedRequest(str(error)))
        if isinstance(outcome.failure, errors.TargetUnavailable):
            until = self.clock.monotonic() + UNREACHABLE_PERIOD
            self.unreachable_until[outcome.failure.target] = until
        return outcome

    def build_relayed_head(self, plan: PlannedRequest, attempts: int) -> h11.Request:
        """Return the head of a request that is passed on."""
        head = self.build_head(plan, None, self.clock.monotonic())
        return h11.Request(
            method=head.method,
            target=head.target,
            headers=relaying.add_attempts(tuple(head.headers), attempts),
        )

    # One try.

    async def try_once(
        self, plan: PlannedRequest, tried: frozenset[str], sends: int
    ) -> Outcome:
        """Return the outcome of one attempt, or the reason why there was none."""
        if self.participant.crash_counts.is_quarantined(
            plan.fingerprint, self.clock.monotonic()
        ):
            failure = errors.RequestSuspected(
                plan.fingerprint.hex(), SUSPECTED_RETRY_AFTER
            )
            return Outcome(None, failure, "")
        stopping = self.find_stop_refusal(plan)
        if stopping is not None:
            return Outcome(None, stopping, "")
        found = await self.find_target(plan, tried)
        if isinstance(found, result.Failure):
            return Outcome(None, found.failure(), "")
        choice = found.unwrap()
        limits = self.participant.limits
        time_left = plan.due_at - self.clock.monotonic()
        acquired = await limits.acquire(choice.target, time_left)
        if isinstance(acquired, result.Failure):
            return Outcome(None, acquired.failure(), choice.target.name)
        permit = acquired.unwrap()
        stopping = self.find_stop_refusal(plan, choice)
        if stopping is not None:
            limits.give_back(permit)
            return Outcome(None, stopping, "")
        budget = self.retry_budgets.get(plan.service.name)
        if sends and not budget.reserve_resend(self.participant.live_instances):
            limits.give_back(permit)
            failure = errors.TargetUnavailable(choice.target.name, RETRY_BUDGET_REASON)
            return Outcome(None, failure, "")
        return await self.attempt(plan, choice, permit)

    def should_resend(self, plan: PlannedRequest, failure: Any, runs: int) -> bool:
        """Whether a failed request may be resent and could then succeed."""
        final = errors.DeadlineExceeded | errors.MalformedRequest | errors.Stopping
        if isinstance(failure, final):
            return False
        refused = isinstance(failure, errors.TargetRefused)
        if refused and plan.key is not None and failure.reason != MISDIRECTED:
            # The owner is full, and no other target may run the request.
            return False
        closed = errors.TargetPaused | errors.TargetLimited
        if isinstance(failure, closed) and plan.key is not None:
            return False
        not_run = refused or isinstance(failure, UNSENT_FAILURES)
        if not (not_run or plan.route.idempotent):
            return False
        return self.can_resend(plan, runs)

    def can_resend(self, plan: PlannedRequest, runs: int) -> bool:
        """Whether a request that may have run `runs` times may be resent."""
        if plan.request.body.rest is not None:
            # The part of a streamed body that was sent is not kept.
            return False
        if runs >= plan.max_attempts:
            return False
        return self.clock.monotonic() + DEADLINE_MARGIN * 5 < plan.due_at

    async def wait_owner_change(self, plan: PlannedRequest, failure: Any) -> bool:
        """Wait briefly for a new owner after a key's owner failed.

        Returns false if the request should not be resent. An owner that rejected the
        request would reject it again, which would only use up the retry budget.
        """
        time_left = (plan.due_at - self.clock.monotonic()) / 4
        end = self.clock.monotonic() + min(time_left, MAX_OWNER_CHANGE_WAIT)
        previous = self.find_holding(plan)
        while self.find_holding(plan) == previous:
            wait_s = (end - self.clock.monotonic()).total_seconds()
            if wait_s <= 0:
                return not isinstance(failure, errors.TargetRefused)
            await self.directory.wait_change(self.directory.change_count, wait_s)
        return True

    def find_holding(self, plan: PlannedRequest) -> tuple[model.Holding | None, bool]:
        """Return the range with a request's key, and whether it is being moved."""
        service = plan.service.name
        ownership = self.directory.ownerships.get(service)
        holding = ownership.find(plan.key) if ownership is not None else None
        return holding, self.directory.is_moving(service, plan.key)

    async def find_target(
        self, plan: PlannedRequest, tried: frozenset[str]
    ) -> result.Result[selection.Choice, Any]:
        """Return the target to which the request should be sent."""
        if plan.key is not None:
            return await self.find_owner(plan)
        targets = self.directory.targets_by_service.get(plan.service.name, ())
        now = self.clock.monotonic().total_seconds()
        body = plan.request.body_length or len(plan.request.body.start)
        choice = selection.choose_target(
            targets,
            self.loads,
            now,
            self.data_centre,
            body + TYPICAL_ANSWER_BYTES,
            self.random,
            tried | self.participant.limits.find_exhausted(),
            plan.route.name,
        )
        if choice is None:
            return result.Failure(self.find_shortest_refusal(plan, targets, tried))
        return self.check_admission(plan, choice)

    def find_shortest_refusal(
        self,
        plan: PlannedRequest,
        targets: Iterable[model.Target],
        tried: frozenset[str],
    ) -> Any:
        """Return the failure of a request for which no target is available.

        This is the pause or the limit of the target that accepts requests first.
        """
        now = self.clock.monotonic().total_seconds()
        refusals = self.participant.limits.find_refusals(targets)
        pause = selection.find_shortest_pause(targets, self.loads, now, tried)
        if pause is not None:
            refusals.append(build_pause_failure(*pause))
        if not refusals:
            return errors.NotReady(plan.service.name)
        return min(refusals, key=lambda refusal: refusal.retry_after)

    async def find_owner(
        self, plan: PlannedRequest
    ) -> result.Result[selection.Choice, Any]:
        """Return the owner of the key, after a short wait if the key is being moved."""
        service, key = plan.service.name, plan.key
        began = self.clock.monotonic()
        while True:
            change_count = self.directory.change_count
            ownership = self.directory.ownerships.get(service)
            holding = ownership.find(key) if ownership is not None else None
            moving = self.directory.is_moving(service, key)
            target = self.directory.targets.get(holding.target) if holding else None
            if holding is not None and not moving and target is not None:
                registered = target.life == holding.life and target.service == service
                if registered and not self.has_departed(target):
                    break
                moving = True
            waited = self.clock.monotonic() - began
            max_wait = min(MAX_MOVE_WAIT, (plan.due_at - began) / 4)
            if waited >= max_wait:
                if holding is None:
                    return result.Failure(errors.NotReady(f"owner of {key}"))
                owner = holding.target
                return result.Failure(errors.NotTheOwner(owner, ownership.version))
            await self.directory.wait_change(
                change_count, (max_wait - waited).total_seconds()
            )
        now = self.clock.monotonic().total_seconds()
        estimate = self.loads.estimate(
            service, target.name, now, target.slots, plan.route.name
        )
        if estimate.blocked:
            failure = errors.TargetUnavailable(target.name, "unreachable a moment ago")
            return result.Failure(failure)
        if estimate.pause_left:
            failure = build_pause_failure(target.name, estimate.pause_left)
            return result.Failure(failure)
        wait = selection.estimate_wait(estimate, target.slots)
        if self.exceeds_admitted_fraction(plan, target, estimate):
            retry_after = datetime.timedelta(seconds=wait / 2)
            admitted_percent = round(estimate.admitted * 100)
            failure = errors.DemandExceeded(target.name, admitted_percent, retry_after)
            return result.Failure(failure)
        return self.check_admission(plan, selection.Choice(target, estimate, wait))

    def has_departed(self, target: model.Target) -> bool:
        """Whether a target has been leaving for too long to receive requests.

        The drain time counts from the announcement, of which an instance may learn as
        late as it takes to notice that there is no news.
        """
        elapsed = self.directory.get_time_since_departure(target)
        reserved = membership.DIRECT_READ_TIMEOUT + DRAIN_MARGIN
        limit = self.retry_budgets.timing.drain_time - reserved
        return elapsed is not None and elapsed >= limit

    def exceeds_admitted_fraction(
        self, plan: PlannedRequest, target: model.Target, estimate: load_counts.Estimate
    ) -> bool:
        """Whether to refuse a request because it exceeds what a busy owner can serve.

        Only requests of the service's lowest priority are refused.
        """
        if estimate.admitted >= 1 or estimate.running < target.slots:
            return False
        if plan.route.priority < self.lowest_priorities.get(plan.service.name, 0):
            return False
        return self.random.random() > estimate.admitted

    def check_admission(
        self, plan: PlannedRequest, choice: selection.Choice
    ) -> result.Result[selection.Choice, Any]:
        """Refuse the request if the target cannot finish it in time."""
        estimate = choice.estimate
        now = self.clock.monotonic()
        time_left = (plan.due_at - now).total_seconds()
        latency_objective = plan.route.latency_objective
        if estimate.overloaded and latency_objective is not None:
            # All slots stay busy anyway. A short queue then serves as many requests as
            # a long one, but each of them in time.
            time_left = min(
                time_left,
                max(latency_objective.total_seconds(), estimate.service * 1.3),
            )
        if estimate.running >= choice.target.slots * MAX_REQUESTS_PER_SLOT:
            retry_after = datetime.timedelta(seconds=choice.wait / 2)
            return result.Failure(errors.QueueFull(choice.target.name, retry_after))
        if choice.wait + estimate.service * 0.8 > time_left:
            retry_after = datetime.timedelta(seconds=choice.wait / 2)
            return result.Failure(
                errors.DeadlineUnreachable(choice.target.name, retry_after)
            )
        return result.Success(choice)

    # One attempt.

    async def attempt(
        self,
        plan: PlannedRequest,
        choice: selection.Choice,
        permit: request_limits.Permit | None = None,
    ) -> Outcome:
        """Send the request to one target and return the outcome."""
        target = choice.target
        pool = self.get_pool(plan.service, target)
        began = self.clock.monotonic()
        found_free_slot = choice.estimate.running < target.slots
        success = False
        answered: bool | None = None
        self.loads.begin_request(target.name)
        self.reachability.begin_request(target.name)
        try:
            head = self.build_head(plan, target, began)
            request_id = header_rules.encode_value(plan.request.request_id)
            send_result = await pool.send(
                head,
                self.guard_body(plan),
                plan.due_at,
                request_id,
                functools.partial(self.find_send_refusal, plan, choice, permit),
            )
            success = (
                isinstance(send_result, result.Success)
                and send_result.unwrap().status < 500
            )
            answered = has_answered(send_result)
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            send_result = result.Failure(errors.MalformedRequest(str(error)))
            success = True
        except asyncio.CancelledError:
            # The caller disconnected, which is no failure of the target.
            success = True
            found_free_slot = False
            raise
        finally:
            now = self.clock.monotonic()
            self.reachability.end_request(target.name, now, answered)
            elapsed = (now - began).total_seconds()
            self.loads.end_request(
                plan.service.name,
                target.name,
                now.total_seconds(),
                elapsed,
                success,
                found_free_slot,
                plan.route.name,
            )
        return self.evaluate_attempt(plan, choice, send_result, began, elapsed)

    def find_send_refusal(
        self,
        plan: PlannedRequest,
        choice: selection.Choice,
        permit: request_limits.Permit | None,
    ) -> errors.Stopping | errors.TargetLeaving | errors.TargetLimited | None:
        """Return the failure of a request that waited for a connection, or None.

        A stop or the departure of the target may have begun, or the limit become known,
        since it was admitted.
        """
        stopping = self.find_stop_refusal(plan, choice)
        if stopping is not None:
            return stopping
        if self.has_departed(choice.target):
            return errors.TargetLeaving(choice.target.name)
        if permit is not None:
            return None
        return self.participant.limits.take_now(choice.target)

    # Planned stop.

    def find_stop_refusal(
        self, plan: PlannedRequest, choice: selection.Choice | None = None
    ) -> errors.Stopping | None:
        """Return the failure of a request that must not be started any more, or None.

        A request of another instance, which can try a third one, is started only if it
        certainly ends in time.
        """
        schedule = self.stop_schedule
        if schedule is None:
            return None
        expected = None if plan.is_relayed() else estimate_duration(choice)
        now = self.clock.monotonic()
        if stop_schedule.may_start(schedule, now, plan.due_at, expected):
            return None
        return errors.Stopping(self.node)

    def guard_body(self, plan: PlannedRequest) -> data.Body:
        """Return the body of a request, of which a large one ends if it comes late."""
        body = plan.request.body
        if body.rest is None:
            return body
        return body._replace(rest=self._read_in_time(plan, body.rest))

    async def _read_in_time(
        self, plan: PlannedRequest, rest: AsyncIterator[bytes]
    ) -> AsyncIterator[bytes]:
        """Yield the rest of a body.

        A target begins a request when its body is complete, so that a body which is
        incomplete when the listeners close is not passed on if its answer is due too
        late.

        Raises
        ------
        bodies.BodyFailure
            If the body comes too late.
        """
        async for chunk in rest:
            self._check_body_time(plan)
            yield chunk
        self._check_body_time(plan)

    def _check_body_time(self, plan: PlannedRequest) -> None:
        schedule, now = self.stop_schedule, self.clock.monotonic()
        if schedule is not None and not stop_schedule.may_start(
            schedule, now, plan.due_at, datetime.timedelta()
        ):
            raise bodies.BodyFailure(errors.Stopping(self.node))

    def refuse_waiting(self) -> None:
        """Refuse the requests that wait for a connection to a target or instance."""
        for pool in (*self.pools.values(), *self.relay.pools.values()):
            pool.refuse_waiting(errors.Stopping(self.node))

    def evaluate_attempt(
        self,
        plan: PlannedRequest,
        choice: selection.Choice,
        send_result,
        sent_at: datetime.timedelta,
        elapsed: float,
    ) -> Outcome:
        """Return the outcome of an attempt, and log it with the state used for it."""
        target, running = choice.target, choice.estimate.running
        if isinstance(send_result, result.Success):
            answer = send_result.unwrap()
            if answer.status < 500 and answer.status not in NOT_RUN_STATUSES:
                if self.answer_rules.limit not in dict(answer.headers):
                    self.participant.limits.record_unnamed(target, sent_at)
                answer = self.observe_completion(plan, answer)
                events.info(
                    "answered",
                    request_id=plan.request.request_id,
                    status=answer.status,
                    service=plan.service.name,
                    target=target.name,
                    key=plan.key,
                    elapsed_ms=round(elapsed * 1000),
                    running=running,
                    owners=self.get_owner_version(plan),
                    leaving_for=self.directory.get_time_since_departure(target),
                )
                return Outcome(answer, None, target.name)
            failure = errors.AnswerInvalid(target.name, f"status {answer.status}")
            # Without the header that says that it did not run, the request may have
            # run. A status from which callers conclude otherwise must not be passed on.
            claims_not_run = answer.status in NOT_RUN_STATUSES
            answer_kept: data.Answer | None = None if claims_not_run else answer
        else:
            failure = send_result.failure()
            answer_kept = None
        events.info(
            "attempt_failed",
            request_id=plan.request.request_id,
            service=plan.service.name,
            target=target.name,
            key=plan.key,
            elapsed_ms=round(elapsed * 1000),
            running=running,
            owners=self.get_owner_version(plan),
            leaving_for=self.directory.get_time_since_departure(target),
            failure=failure,
        )
        replaced = (
            isinstance(failure, errors.TargetRefused)
            and failure.reason == answering.REPLACED
        )
        registered = self.directory.targets.get(target.name)
        restarted = registered is not None and registered.life != target.life
        unavailable = replaced or isinstance(failure, errors.TargetUnavailable)
        if unavailable and not restarted:
            until = self.clock.monotonic() + (
                REPLACED_PERIOD if replaced else UNREACHABLE_PERIOD
            )
            self.loads.avoid_until(target.name, until.total_seconds())
        if isinstance(failure, errors.ConnectionLost):
            self.check_for_crash(plan, target, sent_at)
        return Outcome(answer_kept, failure, target.name)

    def check_for_crash(
        self, plan: PlannedRequest, target: model.Target, sent_at: datetime.timedelta
    ) -> None:
        """Suspect a crash if the target refuses connections after a lost connection.

        A network fault may look the same, so the crash is counted only once the
        target's registration has ended as well.
        """
        registered = self.directory.targets.get(target.name)
        lost_at = self.clock.monotonic()

        async def check() -> None:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT.total_seconds()):
                    _, writer = await asyncio.open_connection(target.host, target.port)
                writer.close()
            except ConnectionRefusedError:
                events.info(
                    "crash_suspected",
                    request_id=plan.request.request_id,
                    fingerprint=plan.fingerprint.hex(),
                    target=target.name,
                )
                loss = crash_counts.Loss(target.name, target.life, sent_at, lost_at)
                suspicion = CrashSuspicion(plan.fingerprint, loss)
                self.suspicions.setdefault(target.name, set()).add(suspicion)
            except OSError as error:
                # Without an answer, it is unknown whether the target crashed.
                events.info(
                    "crash_unclear", target=target.name, error=type(error).__name__
                )

        if registered is not None:
            self.background_tasks.spawn(check())

    def observe_completion(
        self, plan: PlannedRequest, answer: data.Answer
    ) -> data.Answer:
        """Clear a request of suspicions once its answer is complete."""
        rest = answer.body.rest
        if rest is None:
            self.participant.record_completion(plan.fingerprint)
            return answer
        observed = bodies.observe_end(
            rest, lambda: self.participant.record_completion(plan.fingerprint)
        )
        return answer._replace(body=answer.body._replace(rest=observed))

    def get_owner_version(self, plan: PlannedRequest) -> int:
        """Return the version of the ownership row used, or 0 without a key."""
        ownership = self.directory.ownerships.get(plan.service.name)
        return (
            ownership.version if ownership is not None and plan.key is not None else 0
        )

    def build_head(
        self, plan: PlannedRequest, target: model.Target | None, now: datetime.timedelta
    ) -> h11.Request:
        """Return the request head to send to the target, or to another instance."""
        request, header_names = plan.request, self.header_names
        dropped = header_rules.HOP_BY_HOP_HEADERS | {
            header_names.deadline,
            header_names.target,
            relaying.ATTEMPTS_HEADER,
        }
        headers = list(header_rules.drop_headers(request.headers, dropped))
        if request.body_length is None:
            if request.body.rest is None:
                length = len(request.body.start)
                headers.append((b"content-length", b"%d" % length))
            else:
                headers.append((b"transfer-encoding", b"chunked"))
        elif request.body_length or request.method not in ("GET", "HEAD"):
            headers.append((b"content-length", b"%d" % request.body_length))
        time_left = (plan.due_at - now - DEADLINE_MARGIN) / datetime.timedelta(
            milliseconds=1
        )
        headers.append((header_names.deadline, b"%d" % max(1, time_left)))
        if target is not None:
            name = header_rules.encode_value(target.name)
            headers.append((header_names.target, name))
        return h11.Request(
            method=request.method.encode("latin-1"),
            target=request.path.encode("latin-1"),
            headers=headers,
        )

    # Connections.

    def get_pool(
        self, service: model.Service, target: model.Target
    ) -> connection_pool.ConnectionPool:
        """Return the connection pool for one incarnation of a target."""
        pool_key = (target.name, target.life, target.host, target.port)
        limit = self.find_connection_limit(service, target)
        pool = self.pools.get(pool_key)
        if pool is None:
            pool = self.pools[pool_key] = connection_pool.ConnectionPool(
                target.name,
                settings.Address(target.host, target.port),
                self.clock,
                limit,
                connect_timeout=CONNECT_TIMEOUT,
                rules=self.answer_rules,
                reuse_delay=datetime.timedelta(),
                max_idle_time=MAX_IDLE_TIME,
                on_notice=functools.partial(self.receive_notice, target),
            )
        pool.set_limit(limit)
        return pool

    def find_connection_limit(
        self, service: model.Service, target: model.Target
    ) -> int:
        """Return the maximum number of connections of this instance to a target.

        A target resets those beyond what it accepts from all instances together. Half
        of that is left for instances that start or stop, if it suffices for two
        requests a slot.
        """
        instances = max(self.participant.live_instances, len(self.directory.members), 1)
        limit = max(target.slots * 2, service.max_connections // (2 * instances))
        return max(1, min(limit, service.max_connections // instances))

    def retire_pools(self) -> None:
        """Use no open connection for further requests, since they may hang."""
        for pool in self.pools.values():
            pool.retire()
        self.pools.clear()

    def receive_notice(self, target: model.Target, notice: answering.Notice) -> None:
        """Record what a target has said about itself in an answer."""
        registered = self.directory.targets.get(target.name)
        if registered is not None and registered.life != target.life:
            return
        if notice.pause:
            until = self.clock.monotonic() + notice.pause
            self.loads.pause_until(target.name, until.total_seconds())
            events.info("target_paused", target=target.name, lasts=notice.pause)
        if notice.limit is not None:
            self.participant.limits.record_named(target, notice.limit)
        if notice.leaving:
            # The registration may be missing, or say later that the target is ready.
            self.participant.record_departure(target.name, target.life)

    def _apply_target_changes(self, changed_rows: list[model.StoredRow]) -> None:
        """Close connections to targets that were removed or have restarted."""
        if not any(row.table == model.TABLES.targets for row in changed_rows):
            return
        targets = self.directory.targets
        for pool_key in list(self.pools):
            registered = targets.get(pool_key[0])
            current = registered and (
                registered.name,
                registered.life,
                registered.host,
                registered.port,
            )
            if current != pool_key:
                self.pools.pop(pool_key).retire()
        self.loads.set_targets(targets, self.clock.monotonic().total_seconds())
        self.reachability.keep_targets(targets)
        for name in [item for item in self.unreachable_until if item not in targets]:
            del self.unreachable_until[name]
        for name, target in targets.items():
            if self.lives.get(name, target.life) != target.life:
                self.loads.forget_failures(name)
        self.lives.update({name: target.life for name, target in targets.items()})
        self._confirm_crashes()

    def _confirm_crashes(self) -> None:
        """Count the suspected crashes of targets that are gone or have restarted."""
        now = self.clock.monotonic()
        for name, suspicions in list(self.suspicions.items()):
            recent = {
                item
                for item in suspicions
                if now - item.loss.lost_at <= CRASH_CONFIRMATION_PERIOD
            }
            registered = self.directory.targets.get(name)
            ended = {
                item
                for item in recent
                if registered is None or registered.life != item.loss.life
            }
            for item in ended:
                self.participant.record_crash(*item)
            if ended or not recent:
                del self.suspicions[name]
            else:
                self.suspicions[name] = recent

    # Refusals.

    def find_pause_failure(self, plan: PlannedRequest, failure: Any) -> Any:
        """Return the failure to report: the owner's pause if it has asked for one."""
        if plan.key is None or not isinstance(failure, errors.TargetRefused):
            return failure
        now = self.clock.monotonic().total_seconds()
        pause_left = self.loads.get_pause_left(failure.target, now)
        return (
            build_pause_failure(failure.target, pause_left) if pause_left else failure
        )

    def build_refusal(
        self, request: model.IncomingRequest, failure: Any, plan: PlannedRequest | None
    ) -> data.Answer:
        """Return the answer for a request that failed, and log the reason."""
        retry_after = BASE_RETRY_AFTER * (1 + self.random.random() / 2)
        if plan is not None:
            time_left = plan.due_at - self.clock.monotonic()
            failure = self.find_pause_failure(plan, failure)
            retry_after = choose_retry_after(failure, time_left, self.random.random())
            if isinstance(failure, errors.DeadlineExceeded) and plan.due_by_timeout:
                retry_after = None
        answer = answers.build_answer(failure, retry_after)
        table = self.directory.routes
        events.info(
            "refused",
            request_id=request.request_id,
            status=answer.status,
            failure=failure,
            route=plan.route.name if plan is not None else "",
            service=plan.service.name if plan is not None else "",
            key=plan.key if plan is not None else None,
            held_ms=round(
                (self.clock.monotonic() - request.arrived_at).total_seconds() * 1000
            ),
            retry_after_ms=round(retry_after.total_seconds() * 1000)
            if retry_after
            else None,
            configuration=table.version if table is not None else None,
            configuration_age=self.participant.configuration_checks.get_age(),
        )
        return answer


def is_final(relayed: relaying.RelayOutcome) -> bool:
    """Whether a request that was passed on cannot be sent any more."""
    return relayed.body_used or not isinstance(relayed.failure, errors.RelayRefused)


def has_answered(send_result: result.Result[data.Answer, Any]) -> bool | None:
    """Whether the target answered a request; None if it was not asked to."""
    if isinstance(send_result, result.Success):
        return True
    failure = send_result.failure()
    if isinstance(failure, errors.TargetRefused | errors.AnswerInvalid):
        return True
    if isinstance(failure, errors.TargetUnavailable):
        return False
    if isinstance(failure, UNSENT_FAILURES):
        return None
    return False


def estimate_duration(choice: selection.Choice | None) -> datetime.timedelta:
    """Return the expected time until a target answers, or 0 before one is chosen."""
    if choice is None:
        return datetime.timedelta()
    return datetime.timedelta(seconds=choice.wait + choice.estimate.service)


def build_pause_failure(target: str, seconds: float) -> errors.TargetPaused:
    """Return the failure of a request that a target's pause prevents."""
    return errors.TargetPaused(target, datetime.timedelta(seconds=seconds))


def choose_failure(earlier: Any, failure: Any) -> Any:
    """Return the failure to report.

    This is the first one after which the request may have run, or else the latest one.
    """
    if earlier is None:
        return failure
    return earlier if failures.find_rule(earlier).outcome != errors.NOT_RUN else failure


def choose_retry_after(
    failure: Any, time_left: datetime.timedelta, jitter: float
) -> datetime.timedelta:
    """Return the time after which a caller should retry.

    It is within the caller's remaining time, except after a target's pause.

    Parameters
    ----------
    failure : tuple
    time_left : datetime.timedelta
        Time until an answer is due.
    jitter : float
        Random number from 0 to 1, which spreads the retries over time.
    """
    if isinstance(failure, errors.TargetPaused):
        # An earlier retry would be refused again.
        return failure.retry_after * (1 + jitter / 2)
    base = max(getattr(failure, "retry_after", BASE_RETRY_AFTER), BASE_RETRY_AFTER / 2)
    return min(base * (1 + jitter / 2), max(time_left / 3, datetime.timedelta()))


def compute_fingerprint(request: model.IncomingRequest, host: str) -> bytes:
    """Return a hash that is equal for equal requests of any caller.

    The part of a large body that has not been read is represented by the body's length.
    """
    digest = hashlib.blake2b(digest_size=16)
    head = f"{request.method}\n{host}\n{request.path}\n{request.body_length}\n"
    digest.update(head.encode("latin-1"))
    digest.update(request.body.start)
    return digest.digest()


def read_key(value: bytes | None) -> int | None:
    """Return the key in a header value, or None if it is invalid."""
    if value is None or not value.isdigit():
        return None
    # `int` refuses numbers of thousands of digits.
    digits = value.lstrip(b"0") or b"0"
    if len(digits) > MAX_KEY_DIGITS:
        return None
    key = int(digits)
    return key if key < model.KEY_SPACE_SIZE else None


def read_milliseconds(value: bytes | None) -> datetime.timedelta | None:
    """Return the duration in a header value, or None if it is invalid."""
    if value is None or not value.isdigit() or len(value) > 9:
        return None
    return datetime.timedelta(milliseconds=int(value))
