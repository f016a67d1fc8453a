"""Finds the target to which a request should be sent.

For a request with a key, that is the key's owner; for any other, the target with the
shortest expected completion time. A request that the target cannot serve in time is
refused at once.
"""

import collections
import datetime
import functools
import random
from collections.abc import Iterable
from typing import Any

from returns import result

from dewstep_core import clocks, errors
from dewstep_fleet import (
    budgets,
    coordination,
    directories,
    load_counts,
    membership,
    model,
    refusals,
    request_plans,
    selection,
)
from dewstep_fleet.admission import (
    demand_counts,
    queue_limits,
    return_order,
    return_times,
)
from dewstep_fleet.warm_up import preferences

MAX_MOVE_WAIT = datetime.timedelta(milliseconds=600)
"""Maximum wait for a key in a planned move. The owner first finishes its queued and
running requests, which takes about two service times."""
MAX_OWNER_CHANGE_WAIT = datetime.timedelta(milliseconds=100)
"""Maximum wait for a new owner after a key's owner failed; changes arrive in a few
ms."""
DRAIN_MARGIN = datetime.timedelta(milliseconds=300)
"""Part of the drain time for reading a target's departure and for the way of the last
request, of which a lost packet is retransmitted after 200 ms."""
TYPICAL_ANSWER_BYTES = 5_000
"""Typical size of an answer, used to choose a target."""


class TargetSearch:
    """Finds targets by what this instance knows of owners and loads.

    Parameters
    ----------
    data_centre : str
        Data centre of this instance.
    directory : directories.Directory
    loads : load_counts.Loads
    retry_budgets : budgets.Budgets
        Knows the drain time of targets.
    participant : coordination.FleetParticipant
    planner : request_plans.Planner
        Knows the routes to a service.
    clock : clocks.Clock
    generator : random.Random
    """

    def __init__(
        self,
        data_centre: str,
        directory: directories.Directory,
        loads: load_counts.Loads,
        retry_budgets: budgets.Budgets,
        participant: coordination.FleetParticipant,
        planner: request_plans.Planner,
        clock: clocks.Clock,
        generator: random.Random,
    ):
        self.data_centre = data_centre
        self.directory = directory
        self.loads = loads
        self.retry_budgets = retry_budgets
        self.participant = participant
        self.planner = planner
        self.clock = clock
        self.random = generator
        self.demand_counts = demand_counts.DemandCounts()
        self.refused_by_kind = collections.Counter()
        """Requests refused while the demand exceeded the capacity, by the name of
        their kind of caller."""

    async def find_target(
        self, plan: request_plans.PlannedRequest, tried: frozenset[str]
    ) -> result.Result[selection.Choice, Any]:
        """Return the target to which the request should be sent."""
        if plan.key is not None:
            return await self.find_owner(plan)
        regions = self.directory.regions
        targets = regions.select_targets(
            plan.request, plan.route, self.directory.list_open(plan.service.name)
        )
        now = self.clock.monotonic().total_seconds()
        body = plan.request.body_length or len(plan.request.body.start)
        choose = functools.partial(
            selection.choose_target,
            loads=self.loads,
            now=now,
            data_centre=self.data_centre,
            exchange_bytes=body + TYPICAL_ANSWER_BYTES,
            generator=self.random,
            route=plan.route.name,
        )
        limits = self.participant.limits
        preference = preferences.find_preference(
            limits, targets, self.data_centre, self.directory.members.values()
        )
        excluded = tried | limits.find_exhausted()
        choice = preferences.choose(choose, targets, excluded, preference)
        if choice is None:
            return result.Failure(self.find_shortest_refusal(plan, targets, tried))
        if choice.estimate.blocked and regions.is_restricted(plan.request, plan.route):
            # All allowed targets were unreachable a moment ago.
            return result.Failure(build_blocked_failure(choice.target))
        admitted = self.check_admission(plan, choice)
        # Early callers would come again anyway, and reduce the room of the others.
        if self.classify_caller(plan, choice) is not return_order.Kind.EARLY:
            sent = isinstance(admitted, result.Success)
            self.demand_counts.count(plan.service.name, now, sent)
        return admitted

    def find_shortest_refusal(
        self,
        plan: request_plans.PlannedRequest,
        targets: Iterable[model.Target],
        tried: frozenset[str],
    ) -> Any:
        """Return the failure of a request for which no target is available.

        This is the pause or the limit of the target that accepts requests first.
        """
        now = self.clock.monotonic().total_seconds()
        found = self.participant.limits.find_refusals(targets)
        pause = selection.find_shortest_pause(targets, self.loads, now, tried)
        if pause is not None:
            found.append(refusals.build_pause_failure(*pause))
        if not found:
            return errors.NotReady(plan.service.name)
        return min(found, key=lambda refusal: refusal.retry_after)

    async def find_owner(
        self, plan: request_plans.PlannedRequest
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
        refusal = self.directory.regions.refuse_target(plan.request, plan.route, target)
        if refusal is not None:
            return result.Failure(refusal)
        now = self.clock.monotonic().total_seconds()
        estimate = self.loads.estimate(
            service, target.name, now, target.slots, plan.route.name
        )
        if estimate.blocked:
            return result.Failure(build_blocked_failure(target))
        if estimate.pause_left:
            failure = refusals.build_pause_failure(target.name, estimate.pause_left)
            return result.Failure(failure)
        wait = selection.estimate_wait(estimate, target.slots)
        return self.check_admission(plan, selection.Choice(target, estimate, wait))

    def find_holding(
        self, plan: request_plans.PlannedRequest
    ) -> tuple[model.Holding | None, bool]:
        """Return the range with a request's key, and whether it is being moved."""
        service = plan.service.name
        ownership = self.directory.ownerships.get(service)
        holding = ownership.find(plan.key) if ownership is not None else None
        return holding, self.directory.is_moving(service, plan.key)

    def get_owner_version(self, plan: request_plans.PlannedRequest) -> int:
        """Return the version of the ownership row used, or 0 without a key."""
        ownership = self.directory.ownerships.get(plan.service.name)
        return (
            ownership.version if ownership is not None and plan.key is not None else 0
        )

    async def wait_owner_change(
        self, plan: request_plans.PlannedRequest, failure: Any
    ) -> bool:
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

    def has_departed(self, target: model.Target) -> bool:
        """Whether a target has been leaving for too long to receive requests.

        The drain time counts from the announcement, of which an instance may learn as
        late as it takes to notice that there is no news. The same holds for the
        evacuation of its data centre.
        """
        timing = self.retry_budgets.timing
        if self.directory.evacuations.is_closed(
            target.data_centre, timing.evacuation_time - membership.DIRECT_READ_TIMEOUT
        ):
            return True
        elapsed = self.directory.get_time_since_departure(target)
        reserved = membership.DIRECT_READ_TIMEOUT + DRAIN_MARGIN
        limit = timing.drain_time - reserved
        return elapsed is not None and elapsed >= limit

    def check_admission(
        self, plan: request_plans.PlannedRequest, choice: selection.Choice
    ) -> result.Result[selection.Choice, Any]:
        """Refuse the request if the target cannot finish it in time."""
        target, estimate = choice.target, choice.estimate
        now = self.clock.monotonic()
        time_left = (plan.due_at - now).total_seconds()
        full = estimate.running >= target.slots * queue_limits.MAX_REQUESTS_PER_SLOT
        late = choice.wait + estimate.service * 0.8 > time_left
        exceeded = queue_limits.is_exceeded(estimate, target.slots)
        if not (full or late or exceeded):
            return result.Success(choice)
        if (
            late
            and estimate.running < target.slots
            and self.loads.begin_trial(
                target.name, plan.route.name, now.total_seconds()
            )
        ):
            return result.Success(choice)
        kind = self.classify_caller(plan, choice)
        elapsed = (now - plan.first_sent_at).total_seconds()
        longest_wait = queue_limits.compute_longest_wait(
            plan.route,
            self.planner.routes_by_service.get(plan.service.name, ()),
            self.loads,
            estimate,
            plan.service.name,
            time_left,
            0.0 if kind is return_order.Kind.RETURNED else elapsed,
        )
        own_ratio = 1.0
        if plan.key is None:
            own_ratio = self.demand_counts.get_ratio(
                plan.service.name, now.total_seconds()
            )
        demand = queue_limits.estimate_demand(estimate, own_ratio)
        excess_s = queue_limits.estimate_excess_seconds(
            estimate, target.slots, longest_wait
        )
        if full:
            retry_after = self.choose_return_time(excess_s, demand)
            return result.Failure(errors.QueueFull(target.name, retry_after))
        if late:
            retry_after = self.choose_return_time(excess_s, demand)
            return result.Failure(errors.DeadlineUnreachable(target.name, retry_after))
        fraction = queue_limits.compute_sent_fraction(
            estimate, target.slots, longest_wait, demand
        )
        shares, seconds = self.planner.return_shares, now.total_seconds()
        shares.count(plan.route.name, seconds, kind)
        fraction = return_order.adjust_fraction(
            fraction, kind, shares.get(plan.route.name, seconds)
        )
        if self.random.random() < fraction:
            return result.Success(choice)
        self.refused_by_kind[kind.value] += 1
        spare = self.compute_spare(plan, estimate, time_left)
        retry_after = return_times.choose_ordered_time(
            excess_s, demand, self.random.random(), time_left, spare
        )
        failure = errors.DemandExceeded(target.name, round(fraction * 100), retry_after)
        return result.Failure(failure)

    def classify_caller(
        self, plan: request_plans.PlannedRequest, choice: selection.Choice
    ) -> return_order.Kind:
        """Return the kind of the caller, which is new if all demand can be served."""
        if not queue_limits.is_exceeded(choice.estimate, choice.target.slots):
            return return_order.Kind.NEW
        time_left = (plan.due_at - self.clock.monotonic()).total_seconds()
        spare = self.compute_spare(plan, choice.estimate, time_left)
        # The time that the request has been held here says nothing of its caller.
        before_arrival = plan.request.arrived_at - plan.first_sent_at
        return return_order.classify(
            before_arrival.total_seconds(), plan.is_relayed(), choice.wait <= spare
        )

    def compute_spare(
        self,
        plan: request_plans.PlannedRequest,
        estimate: load_counts.Estimate,
        time_left: float,
    ) -> float:
        """Return the seconds that a request can wait and still meet its objective."""
        elapsed = (self.clock.monotonic() - plan.first_sent_at).total_seconds()
        objective = plan.route.latency_objective
        return return_order.compute_spare(
            None if objective is None else objective.total_seconds(),
            elapsed,
            time_left,
            estimate.service,
        )

    def choose_return_time(self, excess_s: float, demand: float) -> datetime.timedelta:
        """Return the time after which a refused caller should come back."""
        return return_times.choose_return_time(excess_s, demand, self.random.random())


def build_blocked_failure(target: model.Target) -> errors.TargetUnavailable:
    """Return the failure of a request for a target that is avoided for now."""
    return errors.TargetUnavailable(target.name, "unreachable a moment ago")
