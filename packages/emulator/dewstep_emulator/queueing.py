"""Discrete-event model of one target behind an admission policy, without I/O.

Arrivals are a Poisson process; service times are exponential, so that a run shows
what a policy makes of the tail. The caller counts an answer only if it is in time.
"""

import datetime
import heapq
import itertools
import random
from collections.abc import Sequence
from typing import Any, NamedTuple

from dewstep_entry.policy import admission, limit

CUT = "cut"
"""Outcome of a run that was ended at its deadline without an answer."""
TICK = datetime.timedelta(milliseconds=1)
"""Least time between two calls of the policy without an event of the model."""


class Kind(NamedTuple):
    """A kind of request in the mix of arrivals."""

    name: str
    share: float
    weight: float
    patience: datetime.timedelta


class Ticket(NamedTuple):
    """A request on its way through the model."""

    kind: Kind
    deadline: datetime.timedelta
    started: datetime.timedelta | None


class Outcome(NamedTuple):
    """What a run gave."""

    goodput: dict[str, float]
    """Weighted answers in time, for each second and kind."""
    offered: dict[str, float]
    """Weighted arrivals, for each second and kind."""
    most_in_progress: int
    sheds: int
    """Requests that the target refused."""
    late_refusals: list[datetime.timedelta]
    """Times by which refusals of waiting requests came after the moment at which the
    estimate left no time to serve them; zero if they came before."""

    def total(self) -> float:
        """Return the goodput of all kinds."""
        return sum(self.goodput.values())


class Model:
    """One target and its callers.

    Parameters
    ----------
    policy : object
        With the methods of `admission.Admission`.
    kinds : sequence of Kind
        Mix of the arrivals.
    rate : float
        Arrivals/s.
    service_rate : float
        Answers/s of each busy slot.
    seed : int
        Of the model; the policy has its own generator.
    capacity : int, optional
        Requests that the target runs; it sheds what is beyond. Unlimited if absent.
    cuts : bool, optional
        Whether runs end at their deadline, as at a gate; otherwise they run on.
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
        self.tickets: dict[str, Ticket] = {}
        self.wakes: set[datetime.timedelta] = set()
        self.busy = 0
        self.most = 0
        self.sheds = 0
        self.goodput = {kind.name: 0.0 for kind in kinds}
        self.offered = {kind.name: 0.0 for kind in kinds}
        self.lateness: list[datetime.timedelta] = []

    def run(self, duration: datetime.timedelta) -> Outcome:
        """Run until all requests that arrived within `duration` are settled."""
        self.schedule(datetime.timedelta(), "arrive")
        while self.events:
            now, _, event, ticket = heapq.heappop(self.events)
            if event == "arrive" and now < duration:
                gap = datetime.timedelta(seconds=self.random.expovariate(self.rate))
                self.schedule(now + gap, "arrive")
                self.arrive(now)
            elif event in (limit.ANSWERED, limit.SHED, CUT):
                self.finish(ticket, event, now)
            self.wakes.discard(now)
            self.serve(now)
        seconds = duration.total_seconds()
        return Outcome(
            {name: weight / seconds for name, weight in self.goodput.items()},
            {name: weight / seconds for name, weight in self.offered.items()},
            self.most,
            self.sheds,
            self.lateness,
        )

    def schedule(self, at: datetime.timedelta, event: str, ticket: str = "") -> None:
        """Enter an event."""
        heapq.heappush(self.events, (at, next(self.numbers), event, ticket))

    def arrive(self, now: datetime.timedelta) -> None:
        """Offer a new request to the policy."""
        [kind] = self.random.choices(self.kinds, [kind.share for kind in self.kinds])
        ticket = f"r{next(self.numbers)}"
        self.tickets[ticket] = Ticket(kind, now + kind.patience, None)
        self.offered[kind.name] += kind.weight
        decision = self.policy.offer(ticket, kind.weight, now + kind.patience, now)
        if isinstance(decision, admission.Admitted):
            self.start(ticket, now)

    def start(self, ticket: str, now: datetime.timedelta) -> None:
        """Send a request to the target."""
        self.tickets[ticket] = self.tickets[ticket]._replace(started=now)
        self.busy += 1
        self.most = max(self.most, self.busy)
        if self.capacity is not None and self.busy > self.capacity:
            self.sheds += 1
            self.schedule(now + TICK, limit.SHED, ticket)
            return
        service = self.random.expovariate(self.service_rate)
        end = now + datetime.timedelta(seconds=service)
        deadline = self.tickets[ticket].deadline
        if self.cuts and end > deadline:
            self.schedule(max(now, deadline), CUT, ticket)
        else:
            self.schedule(end, limit.ANSWERED, ticket)

    def finish(self, ticket: str, outcome: str, now: datetime.timedelta) -> None:
        """Take the target's answer."""
        kind, deadline, started = self.tickets.pop(ticket)
        self.busy -= 1
        self.policy.release(ticket, now)
        self.policy.record(outcome, now - started, now)
        if outcome == limit.ANSWERED and now <= deadline:
            self.goodput[kind.name] += kind.weight

    def serve(self, now: datetime.timedelta) -> None:
        """Let the policy start and refuse requests, as its owner task does."""
        for ticket in self.policy.take_ready(now):
            self.start(ticket, now)
        refused = self.policy.take_expired(now)
        estimate = self.policy.estimate.likely() if refused else TICK
        for ticket, _ in refused:
            decidable = self.tickets.pop(ticket).deadline - estimate
            late = now - decidable
            self.lateness.append(max(datetime.timedelta(), late))
        wake = self.policy.next_event(now)
        if wake is not None:
            wake = max(wake, now + TICK)
            if wake not in self.wakes:
                self.wakes.add(wake)
                self.schedule(wake, "wake")
