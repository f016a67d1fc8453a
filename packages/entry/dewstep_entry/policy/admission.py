"""Admission at one target: who runs, who waits, who is refused at once.

Waiting requests stand in order of deadline. When the estimate of the target's service
time says that not all of them can be answered in time, the lightest request ahead of
the first late one is refused. For requests of equal length this keeps the greatest
weight that can be served in time (the greedy choice of J. M. Moore, "An n job, one
machine sequencing algorithm", Management Science 15, 1968, with weights). The
concurrency limit is kept in `limit.py` and follows the target's answers.

Nothing here reads a clock or waits. After every call its owner asks `take_ready` and
`take_expired`, and calls again no later than `next_event`.
"""

import datetime
import heapq
import math
import random
from typing import NamedTuple

from dewstep_core import errors
from dewstep_entry.policy import forecast, limit, refusals, servicetime, waiting

# With some hundred waiting requests a target of four slots and 20 ms is behind by a
# second already; the bound limits memory and the time that one offer takes.
WAITING_LIMIT = 512

# Under overload a queue in order of deadline starts each request at the last moment,
# and a run of long services then makes even heavy ones late (4.6% of dossiers at twice
# the load, none with one half). Requests of more than the mean weight stand in the
# queue as if this part of their patience were all.
HEAVY_PATIENCE = 0.5
MEAN_WEIGHT_GAIN = 1 / 64

# The wait for `n` services scatters with the square root of `n`. If the queue is filled
# up to what is in time by the mean, every long service evicts a request that has
# waited: 2,156 of 4,818 refusals at twice the load with 0, 539 of 4,963 with 1.5, 176
# of 5,089 with 3 and 46 of 5,156 with 4.5, for a goodput of 28.7, 28.4, 28.0 and
# 27.8/s (trial, ten targets of four slots, 150 ms and 2 s of patience).
MARGIN = 3.0
"""Mean deviations of the wait that a request must have left when it arrives."""

# Refusals are due within 10 ms of the decision being possible; at thousands of
# answers/s a look at the whole queue after each would take more than a core.
TRIM_INTERVAL = datetime.timedelta(milliseconds=5)


class Admitted(NamedTuple):
    """The request may be sent now; `release` must follow."""


class Queued(NamedTuple):
    """The request waits; `take_ready` or `take_expired` will name it."""


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
    admitted: int
    refused: int
    evicted: int
    expired: int


class Admission:
    """Bounded queue and slots of one target.

    Parameters
    ----------
    target : str
        Name of the target, for failures.
    slots : int
        Requests that the target runs at the same time; 0 refuses everything.
    generator : random.Random
        Source of the jitter in Retry-After.
    waiting_limit : int, optional
        Greatest number of waiting requests.
    service_time : datetime.timedelta, optional
        Estimate to start with.
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
        self.spread = refusals.Spread(generator)
        self.queue = waiting.WaitingList()
        self.running: dict[str, datetime.timedelta] = {}
        self.refusals: list[tuple[str, errors.QueueFull]] = []
        self.stale = False
        self.trim_at = datetime.timedelta()
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
        """Decide about a new request.

        Other requests that have to give way to it are named by `take_expired`.

        Raises
        ------
        ValueError
            If a request with this ticket waits or runs.
        """
        if ticket_id in self.queue.by_ticket or ticket_id in self.running:
            raise ValueError(f"ticket {ticket_id!r} is already known")
        self.mean_weight += (weight - self.mean_weight) * (
            MEAN_WEIGHT_GAIN if self.mean_weight else 1.0
        )
        if self.cannot_finish(deadline, now) and not self.may_probe(deadline, now):
            return self.refuse(errors.DeadlineUnreachable, now)
        if self.limit.slots == 0:
            return self.refuse(errors.QueueFull, now)
        if not self.queue and self.has_free_slot(now):
            self.start(ticket_id, now)
            return Admitted()
        due = self.choose_due(weight, deadline, now)
        item = waiting.Waiting(due, -weight, self.sequence, ticket_id, deadline)
        self.sequence += 1
        self.queue.insert(item)
        victims = self.find_victims(item, now)
        for victim in victims:
            self.queue.remove(victim)
        self.evict([victim for victim in victims if victim != item], now)
        if item in victims:
            return self.refuse(errors.QueueFull, now)
        return Queued()

    def take_ready(self, now: datetime.timedelta) -> list[str]:
        """Start the waiting requests that have a slot now; return their tickets."""
        ready = []
        self.expire(now)
        while self.queue and self.has_free_slot(now):
            item = self.queue.items[0]
            self.queue.remove(item)
            self.start(item.ticket_id, now)
            ready.append(item.ticket_id)
        return ready

    def release(self, ticket_id: str, now: datetime.timedelta) -> None:
        """Free the slot of a request; a ticket that runs no more is ignored."""
        self.running.pop(ticket_id, None)

    def withdraw(self, ticket_id: str, now: datetime.timedelta) -> None:
        """Forget a request whose caller went away, whether it waits or runs."""
        item = self.queue.by_ticket.get(ticket_id)
        if item is not None:
            self.queue.remove(item)
        self.refusals = [entry for entry in self.refusals if entry[0] != ticket_id]
        self.release(ticket_id, now)

    def take_expired(self, now: datetime.timedelta) -> list[tuple[str, NamedTuple]]:
        """Return the waiting requests that are refused now, with the reason."""
        self.expire(now)
        self.trim(now)
        taken, self.refusals = self.refusals, []
        return taken

    def next_event(self, now: datetime.timedelta) -> datetime.timedelta | None:
        """Return when to call again without other cause; None if never.

        A time that is not after `now` means that something is to be taken at once.
        """
        if self.refusals:
            return now
        if not self.queue:
            return None
        times = [self.queue.find_earliest().deadline - self.estimate.likely()]
        if self.stale:
            times.append(self.trim_at)
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
        self.stale = True

    def record(
        self,
        outcome: str,
        service_time: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Learn from an answer, and refuse at once who is now bound to be late.

        Parameters
        ----------
        outcome : str
            `limit.ANSWERED`, `limit.SHED`, `limit.FAILED` or `limit.LATE`.
        service_time : datetime.timedelta
            From the sending of the request to the end of the answer, or to the
            end of the run if it was late.
        now : datetime.timedelta
            Current time.
        """
        # The service time of a late run is a lower bound; without it, the estimate
        # would only know the runs that were short enough.
        timed = outcome in (limit.ANSWERED, limit.LATE)
        slow = timed and self.estimate.add(service_time)
        self.limit.record(outcome, slow, self.estimate.mean, now)
        self.stale = True
        self.trim(now)

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
        return now + self.estimate.likely() > deadline

    def choose_due(
        self,
        weight: float,
        deadline: datetime.timedelta,
        now: datetime.timedelta,
    ) -> datetime.timedelta:
        """Return the deadline that gives a request its place in the queue."""
        if weight <= self.mean_weight:
            return deadline
        return now + (deadline - now) * HEAVY_PATIENCE

    def may_probe(self, deadline: datetime.timedelta, now: datetime.timedelta) -> bool:
        """Return whether to try a request against the estimate.

        After a slow spell the estimate may exceed every deadline. Only an answer can
        lower it, so an idle target is given one request at a time.
        """
        return deadline > now and not self.running and not self.queue

    def has_free_slot(self, now: datetime.timedelta) -> bool:
        """Return whether one more request may start."""
        return self.limit.allows(len(self.running), now)

    def look_ahead(self, now: datetime.timedelta) -> forecast.Forecast:
        """Return the forecast for the queue as it is."""
        return forecast.Forecast(
            now,
            self.estimate.mean,
            self.estimate.likely(),
            self.limit.usable(),
            self.running.values(),
            self.limit.held_until,
        )

    def find_victims(
        self, newcomer: waiting.Waiting, now: datetime.timedelta
    ) -> list[waiting.Waiting]:
        """Return who must go so that `newcomer`, already in the queue, fits."""
        full = len(self.queue) > self.waiting_limit
        if not full:
            place = self.queue.find_place(newcomer)
            roomy = not self.queue.is_lightest(newcomer) or self.has_margin(place, now)
            if roomy and self.is_feasible(place, now):
                return []
        # The lightest goes, and of several the latest. Most often that is the
        # newcomer itself, which spares a look at the whole queue.
        if self.queue.is_lightest(newcomer):
            return [newcomer]
        if full:
            return [self.queue.find_lightest()]
        return self.find_late(now)

    def has_margin(self, place: int, now: datetime.timedelta) -> bool:
        """Return whether a request stays in time if those ahead take longer."""
        spread = self.estimate.deviation * math.sqrt(place) / self.limit.usable()
        finish = self.look_ahead(now).finish(place)
        return finish + MARGIN * spread <= self.queue.items[place].deadline

    def is_feasible(self, place: int, now: datetime.timedelta) -> bool:
        """Return whether all waiting requests from `place` on can be in time."""
        ahead = self.look_ahead(now)
        return all(
            ahead.finish(index) <= self.queue.items[index].deadline
            for index in range(place, len(self.queue))
        )

    def find_late(self, now: datetime.timedelta) -> list[waiting.Waiting]:
        """Return the lightest set of waiting requests whose refusal saves the rest."""
        ahead = self.look_ahead(now)
        victims: list[waiting.Waiting] = []
        kept: list[tuple[float, int, waiting.Waiting]] = []
        for item in self.queue.items:
            place = len(kept)
            heapq.heappush(kept, (-item.lightness, -item.sequence, item))
            if ahead.finish(place) > item.deadline:
                victims.append(heapq.heappop(kept)[2])
        return victims

    # Changes of state.

    def trim(self, now: datetime.timedelta) -> None:
        """Refuse the waiting requests that the present estimate makes late.

        A call before `trim_at` does nothing; `next_event` then asks for another.
        """
        if not self.queue:
            self.stale = False
        if not self.stale or now < self.trim_at:
            return
        self.stale, self.trim_at = False, now + TRIM_INTERVAL
        if self.limit.slots == 0:
            victims = list(self.queue.items)
        elif self.is_feasible(0, now):
            return
        else:
            victims = self.find_late(now)
        for victim in victims:
            self.queue.remove(victim)
        self.evict(victims, now)

    def expire(self, now: datetime.timedelta) -> None:
        """Refuse the waiting requests that are late even if they start now."""
        while self.queue:
            item = self.queue.find_earliest()
            if not self.cannot_finish(item.deadline, now):
                return
            self.queue.remove(item)
            self.counts["expired"] += 1
            failure = self.build(errors.DeadlineUnreachable, now)
            self.refusals.append((item.ticket_id, failure))

    def evict(self, victims: list[waiting.Waiting], now: datetime.timedelta) -> None:
        """Note requests that left the queue for others as refused."""
        for victim in victims:
            self.counts["evicted"] += 1
            failure = self.build(errors.QueueFull, now)
            self.refusals.append((victim.ticket_id, failure))

    def refuse(self, kind: type, now: datetime.timedelta) -> Refused:
        """Return the refusal of a newcomer."""
        self.counts["refused"] += 1
        return Refused(self.build(kind, now))

    def build(self, kind: type, now: datetime.timedelta) -> NamedTuple:
        """Return a failure of type `kind` with its Retry-After."""
        share = self.estimate.mean / max(1, self.limit.usable())
        return kind(self.target, self.spread.choose(share, len(self.queue), now))

    def start(self, ticket_id: str, now: datetime.timedelta) -> None:
        """Put a request into a slot."""
        self.running[ticket_id] = now
        self.counts["admitted"] += 1
