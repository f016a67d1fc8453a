"""How busy the targets are, and how fast: counts of this instance and of all.

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
WEIGHT = 0.15
"""Weight of a new observation in a moving average: the last ten or so count."""
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
        "blocked_until",
        "busy",
        "free_at",
        "ended",
        "failures",
        "failures_at",
        "others",
        "others_at",
        "recent_service",
        "reported",
        "running",
        "service",
        "successes",
    )

    def __init__(self):
        self.running = 0
        self.reported = 0
        """Own requests in the last report, which the coordinator's total includes."""
        self.ended = 0
        self.busy = 0.0
        self.service: float | None = None
        """Seconds of a request that did not queue, as a moving average."""
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
    """Seconds that a request takes there without waiting."""
    success: float
    """Part of the requests that it answers well."""
    blocked: bool
    """Whether it could not be reached a moment ago."""
    overloaded: bool
    """Whether it has had a queue for so long that the queue will not go by itself."""


class Loads:
    """The loads of all targets, as this instance knows them."""

    def __init__(self):
        self.targets: dict[str, TargetLoad] = {}
        self.typical: dict[str, float] = {}
        """Seconds of a request of each service, as a moving average."""

    def get(self, target: str) -> TargetLoad:
        """Return the load of a target."""
        load = self.targets.get(target)
        if load is None:
            load = self.targets[target] = TargetLoad()
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
    ) -> None:
        """Count the end of a request.

        Parameters
        ----------
        service, target : str
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
        if unqueued:
            load.ended += 1
            load.busy += elapsed
            load.service = blend(load.service, elapsed)
            self.typical[service] = blend(self.typical.get(service), elapsed)

    def block(self, target: str, until: float) -> None:
        """Avoid a target that could not be reached until the time `until`."""
        load = self.get(target)
        load.blocked_until = max(load.blocked_until, until)

    def estimate(
        self, service: str, target: str, now: float, slots: int = 0
    ) -> Estimate:
        """Return what to expect of a target; with its slots, also of its queue."""
        load = self.targets.get(target)
        typical = self.typical.get(service, FIRST_ESTIMATE.total_seconds())
        if load is None:
            return Estimate(0, typical, 1.0, False, False)
        fade(load, now)
        known = now - load.others_at <= SILENCE_LIMIT.total_seconds()
        running = load.running + (load.others if known else 0)
        success = load.successes / (load.successes + load.failures)
        service_time = typical if load.service is None else load.service
        if load.free_at is None or running < slots:
            load.free_at = now
        overloaded = bool(slots) and now - load.free_at > STANDING_QUEUE
        blocked = load.blocked_until > now
        return Estimate(running, service_time, success, blocked, overloaded)

    def report(self) -> tuple[frames.Load, ...]:
        """Return what changed since the last report."""
        report = []
        for target, load in self.targets.items():
            if load.running or load.reported or load.ended:
                report.append(
                    frames.Load(target, load.running, load.ended, int(load.busy * 1e6))
                )
            load.reported = load.running
            load.ended = 0
            load.busy = 0.0
        return tuple(report)

    def take_totals(self, totals: tuple[frames.Load, ...], now: float) -> None:
        """Take the coordinator's totals, which hold this instance's last report."""
        named = set()
        for total in totals:
            load = self.get(total.target)
            load.others = max(0, total.running - load.reported)
            load.others_at = now
            if total.busy_microseconds:
                shared = total.busy_microseconds / 1e6
                load.service = shared if load.service is None else load.service
            named.add(total.target)
        for target, load in self.targets.items():
            if target not in named:
                load.others = 0
                load.others_at = now

    def forget(self, kept) -> None:
        """Drop the targets that are neither in `kept` nor busy."""
        for target in [name for name in self.targets if name not in kept]:
            if not self.targets[target].running:
                del self.targets[target]


def blend(average: float | None, observed: float) -> float:
    """Return a moving average with one more observation."""
    if average is None:
        return observed
    return average + WEIGHT * (observed - average)


def fade(load: TargetLoad, now: float) -> None:
    """Let past successes and failures lose weight."""
    elapsed = now - load.failures_at
    load.failures_at = now
    if elapsed <= 0:
        return
    kept = 0.5 ** (elapsed / SUCCESS_HALF_LIFE)
    load.failures *= kept
    load.successes = max(SUCCESS_PRIOR, load.successes * kept)
