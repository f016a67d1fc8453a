"""Admission of requests at one target: which run, which wait and which are refused.

Waiting requests are sorted by deadline. When not all of them can be answered in time
according to the estimated service time, the one with the lowest weight among the first
late request and those before it is refused. For requests of equal length this keeps the
greatest total weight that can be served in time (the greedy choice of J. M. Moore, "An
n job, one machine sequencing algorithm", Management Science 15, 1968, with weights).
The concurrency limit in `limit.py` adapts to the target's answers.

The code here neither reads a clock nor waits. The caller must call `start_ready` and
`collect_refusals` after every other call, and no later than the time that
`get_next_event_time` returns.
"""

import datetime
import heapq
import math
import random
from typing import NamedTuple

from dewstep_core import errors
from dewstep_entry.policy import forecast, limit, refusals, servicetime, waiting

WAITING_LIMIT = 512
"""Maximum number of waiting requests, which bounds memory and the time of one `offer`.
With four slots and a service time of 20 ms, a few hundred requests already take a
target more than a second."""

HEAVY_DEADLINE_SHARE = 0.5
"""Share of the time to its deadline that determines the queue position of a request of
more than the mean weight. Under overload, a queue sorted by deadline starts
requests at the last moment, and a series of long services then makes even heavy
requests late."""
MEAN_WEIGHT_GAIN = 1 / 64
"""Gain of the exponential average that gives the mean weight."""

ARRIVAL_MARGIN_DEVIATIONS = 3.0
"""Minimum time between the forecast finish of a new request and its deadline, in mean
deviations of its wait. Without a margin, every long service evicts a request that has
already waited. The deviation of the wait for `n` services grows with the square root
of `n`."""

QUEUE_CHECK_INTERVAL = datetime.timedelta(milliseconds=5)
"""Minimum time between two checks of the whole queue. Refusals are due within 10 ms of
the time at which they can be decided; a check after each of thousands of answers/s
would use more than one core."""


class Admitted(NamedTuple):
    """The request may be sent now; `release` must follow."""


class Queued(NamedTuple):
    """The request waits; `start_ready` or `collect_refusals` will return its ticket."""


class Refused(NamedTuple):
    """The request certainly did not run."""

    failure: errors.QueueFull | errors.DeadlineUnreachable


class Description(NamedTuple):
    """State of an `Admission`, for dumps and metrics."""

    slots: int
    limit: float
    in_progress: int
    waiting: int
    service_time: datetime.timedelta
    service_deviation: datetime.timedelta
    held_until: datetime.timedelta | None
    """Time before which no request may start, or None."""
    admitted: int
    """Requests that got a slot, at once or after waiting."""
    refused: int
    """Requests refused on arrival."""
    evicted: int
    """Waiting requests refused in favour of others."""
    expired: int
    """Waiting requests refused because their deadline could no longer be met."""


class Admission:
    """Bounded queue and slots of one target.

    Parameters
    ----------
    target : str
        Name of the target, used in failures.
    slots : int
        Requests that the target can run concurrently; with 0, all are refused.
    generator : random.Random
        Source of the jitter in Retry-After.
    waiting_limit : int, optional
        Maximum number of waiting requests.
    service_time : datetime.timedelta, optional
        Initial estimate.
    """

    def __init__(
        self,
        target: str,
        slots: int,
        generator: random.Random,
        waiting_limit: int = WAITING_LIMIT,
        service_time: datetime.timedelta = servicetime.FIRST_ESTIMATE,
    ):
        self.target = target
        self.waiting_limit = waiting_limit
        self.estimate = servicetime.Estimate(service_time)
        self.limit = limit.Limit(slots)
        self.retry_after_chooser = refusals.RetryAfterChooser(generator)
        self.queue = waiting.WaitingList()
        self.running: dict[str, datetime.timedelta] = {}
        self.pending_refusals: list[tuple[str, errors.QueueFull]] = []
        self.needs_check = False
        self.next_check = datetime.timedelta()
        self.sequence = 0
        self.mean_weight = 0.0
        self.counts = {"admitted": 0, "refused": 0, "evicted": 0, "expired": 0}

    def offer(
        self,
        ticket_id: str,
        weight: float,
        deadline: datetime.timedelta,
        now: datetime.timedelta,
    ) -> Admitted | Queued | Refused:
        """Start, queue or refuse a new request.

        Waiting requests that are evicted for it are returned by `collect_refusals`.

        Parameters
        ----------
        ticket_id : str
            Identifies the request in later calls.
        weight : float
            Value of an answer in time, relative to other requests.
        deadline : datetime.timedelta
            Time by which the answer must be complete.
        now : datetime.timedelta
            Current time.

        Raises
        ------
        ValueError
            If a request with this ticket is already waiting or running.
        """
        if ticket_id in self.queue.by_ticket or ticket_id in self.running:
            raise ValueError(f"ticket {ticket_id!r} is already waiting or running")
        self.mean_weight += (weight - self.mean_weight) * (
            MEAN_WEIGHT_GAIN if self.mean_weight else 1.0
        )
        if self.cannot_finish(deadline, now) and not self.may_probe(deadline, now):
            return self.refuse_arrival(errors.DeadlineUnreachable, now)
        if self.limit.slots == 0:
            return self.refuse_arrival(errors.QueueFull, now)
        if not self.queue and self.has_free_slot(now):
            self.start_request(ticket_id, now)
            return Admitted()
        queue_deadline = self.choose_queue_deadline(weight, deadline, now)
        item = waiting.WaitingRequest(
            queue_deadline, -weight, self.sequence, ticket_id, deadline
        )
        self.sequence += 1
        self.queue.insert(item)
        victims = self.choose_victims(item, now)
        for victim in victims:
            self.queue.remove(victim)
        self.record_evictions([victim for victim in victims if victim != item], now)
        if item in victims:
            return self.refuse_arrival(errors.QueueFull, now)
        return Queued()

    def start_ready(self, now: datetime.timedelta) -> list[str]:
        """Start waiting requests in the free slots and return their tickets."""
        ready = []
        self.refuse_expired(now)
        while self.queue and self.has_free_slot(now):
            item = self.queue.items[0]
            self.queue.remove(item)
            self.start_request(item.ticket_id, now)
            ready.append(item.ticket_id)
        return ready

    def release(self, ticket_id: str, now: datetime.timedelta) -> None:
        """Free the slot of a request; a ticket that is not running is ignored."""
        self.running.pop(ticket_id, None)

    def withdraw(self, ticket_id: str, now: datetime.timedelta) -> None:
        """Remove a waiting or running request whose caller has disconnected."""
        item = self.queue.by_ticket.get(ticket_id)
        if item is not None:
            self.queue.remove(item)
        self.pending_refusals = [
            refusal for refusal in self.pending_refusals if refusal[0] != ticket_id
        ]
        self.release(ticket_id, now)

    def collect_refusals(self, now: datetime.timedelta) -> list[tuple[str, NamedTuple]]:
        """Return the tickets of waiting requests that are refused, with the reasons."""
        self.refuse_expired(now)
        self.refuse_late(now)
        due_refusals, self.pending_refusals = self.pending_refusals, []
        return due_refusals

    def get_next_event_time(self, now: datetime.timedelta) -> datetime.timedelta | None:
        """Return when to call `start_ready` and `collect_refusals`, or None if never.

        A time that is not after `now` means that they have something to return.
        """
        if self.pending_refusals:
            return now
        if not self.queue:
            return None
        times = [
            self.queue.find_most_urgent().deadline
            - self.estimate.compute_planned_time()
        ]
        if self.needs_check:
            times.append(self.next_check)
        if self.limit.held_until is not None and not self.limit.is_full(
            len(self.running)
        ):
            times.append(self.limit.held_until)
        elif self.has_free_slot(now):
            return now
        return max(now, min(times))

    def set_limit(self, slots: int) -> None:
        """Change the number of slots of the target."""
        self.limit.set_slots(slots)
        self.needs_check = True

    def record(
        self,
        outcome: str,
        service_time: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Update limit and estimate, and refuse the requests that are now too late.

        Parameters
        ----------
        outcome : str
            `limit.ANSWERED`, `limit.SHED`, `limit.FAILED` or `limit.LATE`.
        service_time : datetime.timedelta
            Time from sending the request to the end of the answer, or to the end of
            the run if it was late.
        now : datetime.timedelta
            Current time.
        """
        # The service time of a late run is only a lower bound. Without it, the estimate
        # would include only the runs that were short enough, and be too low.
        has_service_time = outcome in (limit.ANSWERED, limit.LATE)
        slow = has_service_time and self.estimate.add_sample(service_time)
        self.limit.record_outcome(outcome, slow, self.estimate.mean, now)
        self.needs_check = True
        self.refuse_late(now)

    def describe(self) -> Description:
        """Return the state for dumps and metrics."""
        return Description(
            self.limit.slots,
            self.limit.value,
            len(self.running),
            len(self.queue),
            self.estimate.mean,
            self.estimate.deviation,
            self.limit.held_until,
            **self.counts,
        )

    # Decisions.

    def cannot_finish(
        self, deadline: datetime.timedelta, now: datetime.timedelta
    ) -> bool:
        """Return whether a request would be late even if it started now."""
        return now + self.estimate.compute_planned_time() > deadline

    def choose_queue_deadline(
        self,
        weight: float,
        deadline: datetime.timedelta,
        now: datetime.timedelta,
    ) -> datetime.timedelta:
        """Return the deadline that determines a request's position in the queue."""
        if weight <= self.mean_weight:
            return deadline
        return now + (deadline - now) * HEAVY_DEADLINE_SHARE

    def may_probe(self, deadline: datetime.timedelta, now: datetime.timedelta) -> bool:
        """Return whether to run a request although the estimate says it will be late.

        After a slow period the estimate may exceed every deadline. Only an answer can
        lower it, so an idle target is sent one request at a time.
        """
        return deadline > now and not self.running and not self.queue

    def has_free_slot(self, now: datetime.timedelta) -> bool:
        """Return whether one more request may start."""
        return self.limit.allows(len(self.running), now)

    def build_forecast(self, now: datetime.timedelta) -> forecast.Forecast:
        """Return the forecast for the current queue."""
        return forecast.Forecast(
            now,
            self.estimate.mean,
            self.estimate.compute_planned_time(),
            self.limit.compute_usable_slots(),
            self.running.values(),
            self.limit.held_until,
        )

    def choose_victims(
        self, arrival: waiting.WaitingRequest, now: datetime.timedelta
    ) -> list[waiting.WaitingRequest]:
        """Return the requests to evict for `arrival`, which is already in the queue."""
        full = len(self.queue) > self.waiting_limit
        if not full:
            position = self.queue.find_position(arrival)
            has_room = not self.queue.is_lightest(arrival) or self.has_margin(
                position, now
            )
            if has_room and self.is_feasible(position, now):
                return []
        # The lightest request is evicted, and of several the last to arrive. That is
        # mostly `arrival` itself, and the whole queue need not be searched.
        if self.queue.is_lightest(arrival):
            return [arrival]
        if full:
            return [self.queue.find_lightest()]
        return self.choose_late_requests(now)

    def has_margin(self, position: int, now: datetime.timedelta) -> bool:
        """Return whether a request is in time even if those before it take longer.

        The margin is `ARRIVAL_MARGIN_DEVIATIONS` mean deviations of its wait.
        """
        wait_deviation = (
            self.estimate.deviation
            * math.sqrt(position)
            / self.limit.compute_usable_slots()
        )
        finish = self.build_forecast(now).compute_finish(position)
        return (
            finish + ARRIVAL_MARGIN_DEVIATIONS * wait_deviation
            <= self.queue.items[position].deadline
        )

    def is_feasible(self, position: int, now: datetime.timedelta) -> bool:
        """Return whether all waiting requests from `position` on can be in time."""
        expected = self.build_forecast(now)
        return all(
            expected.compute_finish(index) <= self.queue.items[index].deadline
            for index in range(position, len(self.queue))
        )

    def choose_late_requests(
        self, now: datetime.timedelta
    ) -> list[waiting.WaitingRequest]:
        """Return the lightest requests to refuse so that all others are in time."""
        expected = self.build_forecast(now)
        victims: list[waiting.WaitingRequest] = []
        kept: list[tuple[float, int, waiting.WaitingRequest]] = []
        for item in self.queue.items:
            position = len(kept)
            heapq.heappush(kept, (-item.negative_weight, -item.sequence, item))
            if expected.compute_finish(position) > item.deadline:
                victims.append(heapq.heappop(kept)[2])
        return victims

    # Changes of state.

    def refuse_late(self, now: datetime.timedelta) -> None:
        """Refuse the waiting requests that are late by the current estimate.

        A call before `next_check` does nothing; `get_next_event_time` then returns
        `next_check`.
        """
        if not self.queue:
            self.needs_check = False
        if not self.needs_check or now < self.next_check:
            return
        self.needs_check, self.next_check = False, now + QUEUE_CHECK_INTERVAL
        if self.limit.slots == 0:
            victims = list(self.queue.items)
        elif self.is_feasible(0, now):
            return
        else:
            victims = self.choose_late_requests(now)
        for victim in victims:
            self.queue.remove(victim)
        self.record_evictions(victims, now)

    def refuse_expired(self, now: datetime.timedelta) -> None:
        """Refuse the waiting requests that would be late even if they started now."""
        while self.queue:
            item = self.queue.find_most_urgent()
            if not self.cannot_finish(item.deadline, now):
                return
            self.queue.remove(item)
            self.counts["expired"] += 1
            failure = self.build_failure(errors.DeadlineUnreachable, now)
            self.pending_refusals.append((item.ticket_id, failure))

    def record_evictions(
        self, victims: list[waiting.WaitingRequest], now: datetime.timedelta
    ) -> None:
        """Count evicted requests and queue their refusals for `collect_refusals`."""
        for victim in victims:
            self.counts["evicted"] += 1
            failure = self.build_failure(errors.QueueFull, now)
            self.pending_refusals.append((victim.ticket_id, failure))

    def refuse_arrival(self, failure_type: type, now: datetime.timedelta) -> Refused:
        """Count and return the refusal of a new request."""
        self.counts["refused"] += 1
        return Refused(self.build_failure(failure_type, now))

    def build_failure(self, failure_type: type, now: datetime.timedelta) -> NamedTuple:
        """Return a failure of `failure_type` with its Retry-After."""
        time_per_request = self.estimate.mean / max(
            1, self.limit.compute_usable_slots()
        )
        return failure_type(
            self.target,
            self.retry_after_chooser.choose_retry_after(
                time_per_request, len(self.queue), now
            ),
        )

    def start_request(self, ticket_id: str, now: datetime.timedelta) -> None:
        """Assign a slot to a request."""
        self.running[ticket_id] = now
        self.counts["admitted"] += 1
