"""How busy the targets are, and how fast: counts of this instance and of all.

Routes differ in the work of their requests and targets in their speed. A target's speed
is therefore measured as the time of its answers over the typical time of their routes.

Each instance counts its own requests at each target and reports them; the coordinator
adds the reports up and tells everybody. What another instance sent since is not known,
so that an estimate is a little old, but never lacks the instance's own requests.
"""

import datetime
import math
from typing import NamedTuple

from dewstep_fleet import frames

FIRST_ESTIMATE = datetime.timedelta(milliseconds=200)
"""Service time of a target before any answer; the order of magnitude of both users'
kinds of request."""
WEIGHT = 0.1
"""Weight of a new observation in a moving average: the last 20 or so count."""
LEAST_SAMPLES = 5
"""Answers of a route after which its typical time is used to judge targets."""
SUCCESS_HALF_LIFE = 2.0
"""Seconds in which a target's past failures lose half of their weight."""
SUCCESS_PRIOR = 3.0
"""Successes that are assumed of a target on which nothing is known."""
STANDING_QUEUE = 0.5
"""Seconds after which a queue counts as standing (as CoDel's interval): two or three
service times, in which a queue of a burst would have gone."""
SILENCE_LIMIT = datetime.timedelta(seconds=2)
"""Counts of the other instances that are older than this are not used."""


class TargetLoad:
    """Requests of this instance at one target, and what is known of the others'."""

    __slots__ = (
        "admitted",
        "blocked_until",
        "busy",
        "ended",
        "expected",
        "failures",
        "failures_at",
        "free_at",
        "identifier",
        "others",
        "others_at",
        "reported",
        "running",
        "slowness",
        "successes",
    )

    def __init__(self, target: str):
        self.identifier = frames.shorten(target)
        self.running = 0
        self.reported = 0
        """Own requests in the last report, which the coordinator's total includes."""
        self.ended = 0
        self.busy = 0.0
        self.expected = 0.0
        """Seconds that the requests in `busy` typically take."""
        self.slowness: float | None = None
        """Time of its answers in parts of what is typical, as a moving average."""
        self.admitted = 1.0
        """Part of the requests for its keys that it can serve."""
        self.others = 0
        self.others_at = -math.inf
        self.successes = SUCCESS_PRIOR
        self.failures = 0.0
        self.failures_at = 0.0
        self.blocked_until = -math.inf
        self.free_at: float | None = None
        """When a slot was last seen free, or when the target was first looked at."""


class Estimate(NamedTuple):
    """What can be expected of a target now."""

    running: int
    """Requests at the target, of all instances."""
    service: float
    """Seconds that the request takes there without waiting."""
    turn: float
    """Seconds that those before it take there, on average."""
    success: float
    """Part of the requests that it answers well."""
    blocked: bool
    """Whether it could not be reached a moment ago."""
    overloaded: bool
    """Whether it has had a queue for so long that the queue will not go by itself."""
    admitted: float = 1.0
    """Part of the requests for its keys that it can serve."""


class Loads:
    """The loads of all targets, as this instance knows them."""

    def __init__(self):
        self.targets: dict[str, TargetLoad] = {}
        self.typical: dict[str, float] = {}
        """Seconds of a request of each service, as a moving average."""
        self.by_route: dict[str, tuple[int, float]] = {}
        """Answers and typical seconds of each route."""

    def get(self, target: str) -> TargetLoad:
        """Return the load of a target."""
        load = self.targets.get(target)
        if load is None:
            load = self.targets[target] = TargetLoad(target)
        return load

    def begin(self, target: str) -> None:
        """Count a request that is being sent."""
        self.get(target).running += 1

    def end(
        self,
        service: str,
        target: str,
        now: float,
        elapsed: float,
        good: bool,
        unqueued: bool,
        route: str = "",
    ) -> None:
        """Count the end of a request.

        Parameters
        ----------
        service, target, route : str
        now : float
            Monotonic seconds.
        elapsed : float
            Seconds since it was sent.
        good : bool
            Whether the target answered with a success.
        unqueued : bool
            Whether it found a free slot, so that `elapsed` is its service time.
        """
        load = self.get(target)
        load.running -= 1
        fade(load, now)
        if not good:
            load.failures += 1
            return
        load.successes += 1
        if not unqueued:
            return
        count, typical = self.by_route.get(route, (0, elapsed))
        slowness = 1.0 if load.slowness is None else load.slowness
        self.by_route[route] = count + 1, blend(typical, elapsed / slowness)
        self.typical[service] = blend(self.typical.get(service), elapsed / slowness)
        if count < LEAST_SAMPLES or typical <= 0:
            return
        load.ended += 1
        load.busy += elapsed
        load.expected += typical
        load.slowness = bound(blend(slowness, elapsed / typical))

    def expect(self, service: str, route: str) -> float:
        """Return the typical seconds of a route's requests."""
        count, typical = self.by_route.get(route, (0, 0.0))
        if count >= LEAST_SAMPLES:
            return typical
        return self.typical.get(service, FIRST_ESTIMATE.total_seconds())

    def keep_routes(self, names: set[str]) -> None:
        """Drop the times of routes that are no more."""
        for name in [item for item in self.by_route if item not in names]:
            del self.by_route[name]

    def block(self, target: str, until: float) -> None:
        """Avoid a target that could not be reached until the time `until`."""
        load = self.get(target)
        load.blocked_until = max(load.blocked_until, until)

    def estimate(
        self, service: str, target: str, now: float, slots: int = 0, route: str = ""
    ) -> Estimate:
        """Return what to expect of a target; with its slots, also of its queue."""
        load = self.targets.get(target)
        typical = self.typical.get(service, FIRST_ESTIMATE.total_seconds())
        expected = self.expect(service, route)
        if load is None:
            return Estimate(0, expected, typical, 1.0, False, False)
        fade(load, now)
        known = now - load.others_at <= SILENCE_LIMIT.total_seconds()
        running = load.running + (load.others if known else 0)
        success = load.successes / (load.successes + load.failures)
        slowness = 1.0 if load.slowness is None else load.slowness
        if load.free_at is None or running < slots:
            load.free_at = now
        overloaded = bool(slots) and now - load.free_at > STANDING_QUEUE
        blocked = load.blocked_until > now
        return Estimate(
            running,
            expected * slowness,
            typical * slowness,
            success,
            blocked,
            overloaded,
            load.admitted if known else 1.0,
        )

    def report(self) -> tuple[frames.Load, ...]:
        """Return what changed since the last report."""
        report = []
        for target, load in self.targets.items():
            if load.running or load.reported or load.ended:
                report.append(
                    frames.Load(
                        target,
                        load.running,
                        load.ended,
                        int(load.busy * 1e6),
                        int(load.expected * 1e6),
                    )
                )
            load.reported = load.running
            load.ended = 0
            load.busy = load.expected = 0.0
        return tuple(report)

    def take_totals(self, totals: tuple[frames.Total, ...], now: float) -> None:
        """Take the coordinator's totals, which hold this instance's last report.

        Parameters
        ----------
        totals : tuple of frames.Total
            Targets that it leaves out have no requests.
        now : float
            Monotonic seconds.
        """
        by_identifier = {total.target: total for total in totals}
        for load in self.targets.values():
            total = by_identifier.get(load.identifier)
            load.others_at = now
            if total is None:
                load.others = 0
                load.admitted = 1.0
                continue
            load.admitted = total.admitted
            load.others = max(0, total.running - load.reported)
            if load.slowness is None:
                load.slowness = bound(total.slowness)

    def set_targets(self, names) -> None:
        """Begin to count at these targets, and drop others that are not busy."""
        for target in names:
            self.get(target)
        for target in [name for name in self.targets if name not in names]:
            if not self.targets[target].running:
                del self.targets[target]


def blend(average: float | None, observed: float) -> float:
    """Return a moving average with one more observation."""
    if average is None:
        return observed
    return average + WEIGHT * (observed - average)


def bound(slowness: float) -> float:
    """Return a slowness within what targets that work at all can differ by."""
    return min(max(slowness, 0.1), 20.0)


def fade(load: TargetLoad, now: float) -> None:
    """Let past successes and failures lose weight."""
    elapsed = now - load.failures_at
    load.failures_at = now
    if elapsed <= 0:
        return
    kept = 0.5 ** (elapsed / SUCCESS_HALF_LIFE)
    load.failures *= kept
    load.successes = max(SUCCESS_PRIOR, load.successes * kept)
