"""Answers to requests that are refused, and when their callers should retry."""

import datetime
import random
from typing import Any

from dewstep_core import clocks, data, errors, events
from dewstep_entry import failures
from dewstep_fleet import (
    answers,
    coordination,
    directories,
    load_counts,
    model,
    request_plans,
)
from dewstep_fleet.admission import owner_resends, return_times

BASE_RETRY_AFTER = datetime.timedelta(milliseconds=300)
"""Base of the retry time of a refused request: about one service time, in which each
target frees a slot."""

SPREAD_FAILURES = errors.DemandExceeded | errors.QueueFull | errors.DeadlineUnreachable
"""Failures whose retry times are spread already, see `admission/return_times.py`."""

RETRY_BUDGET_REASON = "retry budget"
"""Reason of a request that the retry budget did not allow to be resent."""


class Refuser:
    """Builds and logs the answers to refused requests.

    Parameters
    ----------
    directory : directories.Directory
    loads : load_counts.Loads
        Knows the pauses of targets.
    participant : coordination.FleetParticipant
    clock : clocks.Clock
    generator : random.Random
        Spreads retries over time.
    """

    def __init__(
        self,
        directory: directories.Directory,
        loads: load_counts.Loads,
        participant: coordination.FleetParticipant,
        clock: clocks.Clock,
        generator: random.Random,
    ):
        self.directory = directory
        self.loads = loads
        self.participant = participant
        self.clock = clock
        self.random = generator

    def find_pause_failure(
        self, plan: request_plans.PlannedRequest, failure: Any
    ) -> Any:
        """Return the failure to report: the owner's pause if it has asked for one."""
        if plan.key is None or not isinstance(failure, errors.TargetRefused):
            return failure
        now = self.clock.monotonic().total_seconds()
        pause_left = self.loads.get_pause_left(failure.target, now)
        return (
            build_pause_failure(failure.target, pause_left) if pause_left else failure
        )

    def estimate_refusing_owner(
        self, plan: request_plans.PlannedRequest, failure: Any
    ) -> tuple[load_counts.Estimate, int] | None:
        """Return the estimate and the slots of an owner that may accept the next try.

        It is None if the owner of the key has not refused the request, or refuses it
        until the owner changes.
        """
        if plan.key is None or not isinstance(failure, errors.TargetRefused):
            return None
        owner = self.directory.targets.get(failure.target)
        if owner is None or failure.reason in owner_resends.LASTING_REASONS:
            return None
        now = self.clock.monotonic().total_seconds()
        estimate = self.loads.estimate(owner.service, owner.name, now, owner.slots)
        return estimate, owner.slots

    def is_soon_possible(
        self, plan: request_plans.PlannedRequest, failure: Any
    ) -> bool:
        """Whether the next try of a caller may succeed without a wait for room."""
        if getattr(failure, "reason", None) == RETRY_BUDGET_REASON:
            return True
        found = self.estimate_refusing_owner(plan, failure)
        return found is not None and owner_resends.refuses_by_chance(*found)

    def refuse(
        self,
        request: model.IncomingRequest,
        failure: Any,
        plan: request_plans.PlannedRequest | None,
    ) -> data.Answer:
        """Return the answer for a request that failed, and log the reason."""
        retry_after = BASE_RETRY_AFTER * (1 + self.random.random() / 2)
        if plan is not None:
            time_left = plan.due_at - self.clock.monotonic()
            failure = self.find_pause_failure(plan, failure)
            jitter = self.random.random()
            if self.is_soon_possible(plan, failure):
                soon = return_times.choose_soon_time(jitter)
                retry_after = min(soon, compute_longest_wait(time_left))
            else:
                retry_after = choose_retry_after(failure, time_left, jitter)
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


def compute_longest_wait(time_left: datetime.timedelta) -> datetime.timedelta:
    """Return the longest return time that a caller honours."""
    return max(time_left * return_times.HONOURED_SHARE, datetime.timedelta())


def choose_retry_after(
    failure: Any, time_left: datetime.timedelta, jitter: float
) -> datetime.timedelta:
    """Return the time after which a caller should retry.

    It is within the caller's remaining time, except after a target's pause, and at a
    planned stop if no time remains.

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
    latest = compute_longest_wait(time_left)
    if isinstance(failure, SPREAD_FAILURES):
        return min(failure.retry_after, latest)
    base = max(getattr(failure, "retry_after", BASE_RETRY_AFTER), BASE_RETRY_AFTER / 2)
    if isinstance(failure, errors.Stopping) and not latest:
        # A request may have waited behind others of its connection until it was due. A
        # repetition at once could reach the stopping instance again.
        return base * (1 + jitter / 2)
    return min(base * (1 + jitter / 2), latest)
