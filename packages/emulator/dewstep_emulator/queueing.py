"""Discrete-event simulation of one target behind an admission policy, without I/O.

Arrivals are a Poisson process. Service times are exponential, so that the effect of
slow requests on a policy is included. Only answers within the deadline count.
"""

import datetime
import heapq
import itertools
import random
from collections.abc import Sequence
from typing import Any, NamedTuple

from dewstep_entry.policy import admission, limit

CUT = "cut"
"""Outcome of a run that was aborted at its deadline without an answer."""
MINIMUM_CALL_INTERVAL = datetime.timedelta(milliseconds=1)
"""Shortest time between calls of the policy that no event of the model causes."""


class Kind(NamedTuple):
    """A kind of request among the arrivals."""

    name: str
    share: float
    weight: float
    timeout: datetime.timedelta


class PendingRequest(NamedTuple):
    """A request that has no outcome yet."""

    kind: Kind
    deadline: datetime.timedelta
    started: datetime.timedelta | None


class Outcome(NamedTuple):
    """Results of a simulation."""

    goodput: dict[str, float]
    """Weighted answers within the deadline, per second, by kind."""
    offered: dict[str, float]
    """Weighted arrivals, per second, by kind."""
    most_in_progress: int
    sheds: int
    """Requests that the target refused."""
    late_refusals: list[datetime.timedelta]
    """Delays of the refusals of waiting requests, counted from the time after which
    they could not be served within the deadline by the estimate; zero if earlier."""

    def total(self) -> float:
        """Return the goodput of all kinds."""
        return sum(self.goodput.values())


class Model:
    """One target and its callers.

    Parameters
    ----------
    policy : object
        Has the methods of `admission.Admission`.
    kinds : sequence of Kind
        Kinds of the arrivals.
    rate : float
        Arrivals/s.
    service_rate : float
        Answers/s of each busy slot.
    seed : int
        Seed of the model; the policy has its own generator.
    capacity : int, optional
        Requests that the target runs concurrently; it sheds all others. By default
        there is no limit.
    cuts : bool, optional
        Whether runs are aborted at their deadline, as a gate does; otherwise they
        continue to their end.
    """

    def __init__(
        self,
        policy: Any,
        kinds: Sequence[Kind],
        rate: float,
        service_rate: float,
        seed: int,
        capacity: int | None = None,
        cuts: bool = False,
    ):
        self.policy = policy
        self.kinds = kinds
        self.rate = rate
        self.service_rate = service_rate
        self.capacity = capacity
        self.cuts = cuts
        self.random = random.Random(seed)
        self.numbers = itertools.count()
        self.events: list[tuple[datetime.timedelta, int, str, str]] = []
        self.pending: dict[str, PendingRequest] = {}
        self.scheduled_wakes: set[datetime.timedelta] = set()
        self.running = 0
        self.peak_running = 0
        self.sheds = 0
        self.goodput = {kind.name: 0.0 for kind in kinds}
        self.offered = {kind.name: 0.0 for kind in kinds}
        self.refusal_delays: list[datetime.timedelta] = []

    def run(self, duration: datetime.timedelta) -> Outcome:
        """Simulate until all requests that arrive within `duration` have ended."""
        self.schedule(datetime.timedelta(), "arrive")
        while self.events:
            now, _, event, request_id = heapq.heappop(self.events)
            if event == "arrive" and now < duration:
                interarrival_time = datetime.timedelta(
                    seconds=self.random.expovariate(self.rate)
                )
                self.schedule(now + interarrival_time, "arrive")
                self.add_arrival(now)
            elif event in (limit.ANSWERED, limit.SHED, CUT):
                self.handle_completion(request_id, event, now)
            self.scheduled_wakes.discard(now)
            self.run_policy(now)
        seconds = duration.total_seconds()
        return Outcome(
            {name: weight / seconds for name, weight in self.goodput.items()},
            {name: weight / seconds for name, weight in self.offered.items()},
            self.peak_running,
            self.sheds,
            self.refusal_delays,
        )

    def schedule(
        self, time: datetime.timedelta, event: str, request_id: str = ""
    ) -> None:
        """Add an event to the queue."""
        heapq.heappush(self.events, (time, next(self.numbers), event, request_id))

    def add_arrival(self, now: datetime.timedelta) -> None:
        """Offer a new request to the policy."""
        [kind] = self.random.choices(self.kinds, [kind.share for kind in self.kinds])
        request_id = f"r{next(self.numbers)}"
        self.pending[request_id] = PendingRequest(kind, now + kind.timeout, None)
        self.offered[kind.name] += kind.weight
        decision = self.policy.offer(request_id, kind.weight, now + kind.timeout, now)
        if isinstance(decision, admission.Admitted):
            self.start(request_id, now)

    def start(self, request_id: str, now: datetime.timedelta) -> None:
        """Send a request to the target."""
        self.pending[request_id] = self.pending[request_id]._replace(started=now)
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)
        if self.capacity is not None and self.running > self.capacity:
            self.sheds += 1
            self.schedule(now + MINIMUM_CALL_INTERVAL, limit.SHED, request_id)
            return
        service = self.random.expovariate(self.service_rate)
        end = now + datetime.timedelta(seconds=service)
        deadline = self.pending[request_id].deadline
        if self.cuts and end > deadline:
            self.schedule(max(now, deadline), CUT, request_id)
        else:
            self.schedule(end, limit.ANSWERED, request_id)

    def handle_completion(
        self, request_id: str, outcome: str, now: datetime.timedelta
    ) -> None:
        """Process the end of a run."""
        kind, deadline, started = self.pending.pop(request_id)
        self.running -= 1
        self.policy.release(request_id, now)
        self.policy.record(outcome, now - started, now)
        if outcome == limit.ANSWERED and now <= deadline:
            self.goodput[kind.name] += kind.weight

    def run_policy(self, now: datetime.timedelta) -> None:
        """Start and refuse requests as the policy decides, like the gate's task."""
        for request_id in self.policy.start_ready(now):
            self.start(request_id, now)
        refused = self.policy.collect_refusals(now)
        estimate = (
            self.policy.estimate.compute_planned_time()
            if refused
            else MINIMUM_CALL_INTERVAL
        )
        for request_id, _ in refused:
            latest_start = self.pending.pop(request_id).deadline - estimate
            delay = now - latest_start
            self.refusal_delays.append(max(datetime.timedelta(), delay))
        wake = self.policy.get_next_event_time(now)
        if wake is not None:
            wake = max(wake, now + MINIMUM_CALL_INTERVAL)
            if wake not in self.scheduled_wakes:
                self.scheduled_wakes.add(wake)
                self.schedule(wake, "wake")
