"""Decides which requests are still started after this instance was told to stop."""

import datetime
from collections.abc import AsyncIterator

from dewstep_core import clocks, data, errors
from dewstep_entry import bodies
from dewstep_entry.policy import stop_schedule
from dewstep_fleet import request_plans, selection


class PlannedStop:
    """The planned stop of this instance.

    Parameters
    ----------
    node : str
        Name of this instance.
    clock : clocks.Clock
    """

    def __init__(self, node: str, clock: clocks.Clock):
        self.node = node
        self.clock = clock
        self.schedule: stop_schedule.StopSchedule | None = None
        """Times of the planned stop, once it has begun."""

    def find_refusal(
        self, plan: request_plans.PlannedRequest, choice: selection.Choice | None = None
    ) -> errors.Stopping | None:
        """Return the failure of a request that must not be started any more, or None.

        A request of another instance, which can try a third one, is started only if it
        certainly ends in time.
        """
        schedule = self.schedule
        if schedule is None:
            return None
        expected = None if plan.is_relayed() else estimate_duration(choice)
        now = self.clock.monotonic()
        if stop_schedule.may_start(schedule, now, plan.due_at, expected):
            return None
        return errors.Stopping(self.node)

    def guard_body(self, plan: request_plans.PlannedRequest) -> data.Body:
        """Return the body of a request, of which a large one ends if it comes late."""
        body = plan.request.body
        if body.rest is None:
            return body
        return body._replace(rest=self._read_in_time(plan, body.rest))

    async def _read_in_time(
        self, plan: request_plans.PlannedRequest, rest: AsyncIterator[bytes]
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

    def _check_body_time(self, plan: request_plans.PlannedRequest) -> None:
        schedule, now = self.schedule, self.clock.monotonic()
        if schedule is not None and not stop_schedule.may_start(
            schedule, now, plan.due_at, datetime.timedelta()
        ):
            raise bodies.BodyFailure(errors.Stopping(self.node))


def estimate_duration(choice: selection.Choice | None) -> datetime.timedelta:
    """Return the expected time until a target answers, or 0 before one is chosen."""
    if choice is None:
        return datetime.timedelta()
    return datetime.timedelta(seconds=choice.wait + choice.estimate.service)
