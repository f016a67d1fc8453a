"""Load and speed of targets, from the requests of this instance and of all others.

Requests of different routes need different amounts of work, and targets differ in
speed. A target's slowness is therefore its response time relative to the typical
response time of the route.

Each instance counts its own requests at each target and reports them. The coordinator
sends the totals to all instances. An estimate combines an instance's current requests
with the last totals of the others, which are slightly outdated.
"""

import datetime
import math
from typing import NamedTuple

from dewstep_fleet import frames
from dewstep_fleet.load import observations, trials

INITIAL_SERVICE_TIME = datetime.timedelta(milliseconds=200)
"""Service time that is assumed before the first answer, a typical order of
magnitude."""
SMOOTHING_FACTOR = 0.1
"""Weight of a new observation in a moving average over about the last 20."""
MIN_SAMPLES = 5
"""Number of answers after which a route's typical time is used."""
SUCCESS_HALF_LIFE_S = 2.0
"""Half-life of the weight of past successes and failures."""
SUCCESS_PRIOR = 3.0
"""Number of successes assumed for a target without answers."""
STANDING_QUEUE_THRESHOLD_S = 0.5
"""Longest time after which a queue counts as standing, similar to CoDel's interval. It
is one service time if that is shorter: the queue of a random burst, of about as many
requests as there are slots, drains within it."""
MAX_TOTALS_AGE = datetime.timedelta(seconds=2)
"""Older totals of other instances are ignored."""


class TargetLoad:
    """Requests at one target, from this instance and from the others."""

    __slots__ = (
        "admitted",
        "answered_at",
        "blocked_until",
        "busy_seconds",
        "decayed_at",
        "doubted",
        "ended",
        "expected_seconds",
        "failures",
        "last_reported",
        "name_hash",
        "observation",
        "others_running",
        "paused_until",
        "running",
        "slot_free_at",
        "slots",
        "slowness",
        "successes",
        "totals_received_at",
    )

    def __init__(self, target: str):
        self.name_hash = frames.hash_target_name(target)
        self.running = 0
        self.last_reported = 0
        """Requests in progress in the last report, included in the coordinator's
        total."""
        self.ended = 0
        """Requests ended since the last report and used to measure the speed."""
        self.busy_seconds = 0.0
        """Time of the requests in `ended` at the target."""
        self.expected_seconds = 0.0
        """Typical time of the requests in `ended`."""
        self.slowness: float | None = None
        """Moving average of the response time relative to the typical one."""
        self.admitted = 1.0
        """Fraction of the requests for its keys that it can serve."""
        self.others_running = 0
        self.totals_received_at = -math.inf
        self.successes = SUCCESS_PRIOR
        self.failures = 0.0
        self.decayed_at = 0.0
        self.blocked_until = -math.inf
        self.paused_until = -math.inf
        """End of the last pause that the target asked for."""
        self.slot_free_at: float | None = None
        """When a slot was last free, or when the target was first estimated."""
        self.observation: observations.Observation | None = None
        """The last load that the target has reported of itself."""
        self.slots = 0
        """Slots of the target, once it has been estimated."""
        self.answered_at = -math.inf
        """When an answer last confirmed its slowness."""
        self.doubted = False
        """Whether the next answer replaces its slowness."""


class Estimate(NamedTuple):
    """Expected performance of a target."""

    running: int
    """Requests in progress at the target, from all instances."""
    service: float
    """Expected service time of the request in seconds, without queueing."""
    turn: float
    """Mean service time in seconds of the requests before it."""
    success: float
    """Fraction of requests that succeed."""
    blocked: bool
    """Whether it was unreachable recently."""
    overloaded: bool
    """Whether it has a standing queue."""
    admitted: float = 1.0
    """Fraction of the requests for its keys that it can serve."""
    pause_left: float = 0.0
    """Seconds for which it has asked for no requests."""
    others: int = 0
    """Requests in `running` that are known from the totals only."""
    age: float | None = None
    """Seconds since the requests in `others` were counted, or None without totals."""


class Loads:
    """The loads of all targets and the typical times of all routes."""

    def __init__(self):
        self.by_target: dict[str, TargetLoad] = {}
        self.typical_seconds: dict[str, float] = {}
        """Moving average of the service time of each service."""
        self.route_seconds: dict[str, tuple[int, float]] = {}
        """Number of answers and typical service time of each route."""
        self.answered_at: dict[str, float] = {}
        """When an answer last confirmed the time of each route."""
        self.route_trials = trials.Trials()
        self.target_trials = trials.Trials()
        self.doubted_routes: set[str] = set()
        """Routes whose times the next answer replaces."""
        self.trial_count = 0
        self.totals_at: float | None = None
        """When the last totals were received."""
        self.totals_interval = 0.0
        """Seconds between the last two totals. Members report in answer to a heartbeat
        and the next one carries the totals, so they are that old when received."""

    def get_load(self, target: str) -> TargetLoad:
        """Return the load of a target, creating it if needed."""
        load = self.by_target.get(target)
        if load is None:
            load = self.by_target[target] = TargetLoad(target)
        return load

    def begin_request(self, target: str) -> None:
        """Count a request that is sent to a target."""
        load = self.get_load(target)
        load.running += 1
        if load.observation is not None:
            load.observation = observations.add_request(load.observation)

    def end_request(
        self,
        service: str,
        target: str,
        now: float,
        elapsed: float,
        success: bool,
        measured: bool,
        route: str = "",
    ) -> None:
        """Count the end of a request, successful or not.

        Parameters
        ----------
        service, target, route : str
        now : float
            Monotonic seconds.
        elapsed : float
            Seconds since it was sent.
        success : bool
            Whether the target answered successfully.
        measured : bool
            Whether `elapsed` is the time of a complete answer.
        """
        load = self.get_load(target)
        elapsed = exclude_wait(load, elapsed)
        load.running -= 1
        decay_outcomes(load, now)
        if not success:
            load.failures += 1
            return
        load.successes += 1
        if not measured:
            return
        self.record_answer(target, route, now)
        count, typical = self.route_seconds.get(route, (0, elapsed))
        slowness = load.slowness
        if slowness is None or load.doubted:
            slowness = 1.0
        self.route_seconds[route] = (
            count + 1,
            update_average(typical, elapsed / slowness),
        )
        self.typical_seconds[service] = update_average(
            self.typical_seconds.get(service), elapsed / slowness
        )
        if count < MIN_SAMPLES or typical <= 0:
            return
        load.ended += 1
        load.busy_seconds += elapsed
        load.expected_seconds += typical
        if load.doubted:
            load.doubted = False
            slowness = elapsed / typical
        load.slowness = limit_slowness(update_average(slowness, elapsed / typical))

    def record_answer(self, target: str, route: str, now: float) -> None:
        """Record that an answer confirms or replaces what was learned before."""
        if route in self.doubted_routes:
            self.doubted_routes.discard(route)
            self.route_seconds.pop(route, None)
        self.answered_at[route] = self.get_load(target).answered_at = now
        self.route_trials.forget(route)
        self.target_trials.forget(target)

    def begin_trial(self, target: str, route: str, now: float) -> bool:
        """Whether a request may be sent that is expected to take too long.

        It may if the expectation is uncertain, and few such requests have had no
        answer. The next answer then replaces what has not been confirmed of late.

        Parameters
        ----------
        target, route : str
        now : float
            Monotonic seconds.
        """
        oldest = now - trials.VALUE_MAX_AGE_S
        count, _ = self.route_seconds.get(route, (0, 0.0))
        known = count >= MIN_SAMPLES
        route_is_old = self.answered_at.get(route, -math.inf) < oldest
        load = self.get_load(target)
        target_is_old = load.answered_at < oldest
        if not known or route_is_old:
            allowed = self.route_trials.take(route, now)
        else:
            allowed = target_is_old and self.target_trials.take(target, now)
        if not allowed:
            return False
        self.trial_count += 1
        if known and route_is_old:
            self.doubted_routes.add(route)
        if target_is_old:
            load.doubted = True
        return True

    def get_typical_seconds(self, service: str, route: str) -> float:
        """Return the typical service time of a route in seconds."""
        count, typical = self.route_seconds.get(route, (0, 0.0))
        if count >= MIN_SAMPLES:
            return typical
        return self.typical_seconds.get(service, INITIAL_SERVICE_TIME.total_seconds())

    def keep_routes(self, names: set[str]) -> None:
        """Discard the times of routes that no longer exist."""
        for name in [item for item in self.route_seconds if item not in names]:
            del self.route_seconds[name]
        for name in [item for item in self.answered_at if item not in names]:
            del self.answered_at[name]
        for name in [item for item in self.route_trials.states if item not in names]:
            self.route_trials.forget(name)
        self.doubted_routes &= names

    def avoid_until(self, target: str, until: float) -> None:
        """Avoid an unreachable target until the time `until`."""
        load = self.get_load(target)
        load.blocked_until = max(load.blocked_until, until)

    def observe(self, target: str, now: float, requests: int, pace: float) -> None:
        """Record the load that a target reports in an answer.

        Parameters
        ----------
        target : str
        now : float
            Monotonic seconds.
        requests : int
            Requests that run or wait there.
        pace : float
            How long work takes at this moment, relative to what is usual.
        """
        observation = observations.Observation(now, requests, pace)
        self.get_load(target).observation = observation

    def pause_until(self, target: str, until: float) -> None:
        """Send nothing to a target until the time `until`."""
        load = self.get_load(target)
        load.paused_until = max(load.paused_until, until)

    def get_pause_left(self, target: str, now: float) -> float:
        """Return the seconds until the end of a target's pause, or 0."""
        load = self.by_target.get(target)
        return max(0.0, load.paused_until - now) if load is not None else 0.0

    def forget_failures(self, target: str) -> None:
        """Forget what a target did and reported before it restarted."""
        load = self.get_load(target)
        load.paused_until = -math.inf
        load.blocked_until = -math.inf
        load.failures = 0.0
        load.observation = None

    def estimate(
        self, service: str, target: str, now: float, slots: int = 0, route: str = ""
    ) -> Estimate:
        """Return the expected performance of a target.

        A standing queue is detected only if `slots` is given.
        """
        load = self.by_target.get(target)
        typical = self.typical_seconds.get(
            service, INITIAL_SERVICE_TIME.total_seconds()
        )
        expected_seconds = self.get_typical_seconds(service, route)
        if load is None:
            return Estimate(0, expected_seconds, typical, 1.0, False, False)
        decay_outcomes(load, now)
        totals_are_recent = (
            now - load.totals_received_at <= MAX_TOTALS_AGE.total_seconds()
        )
        others = load.others_running if totals_are_recent else 0
        running = load.running + others
        age = None if self.totals_at is None else self.get_totals_age(now)
        pace = 1.0
        if load.observation is not None and observations.is_newer(
            load.observation, now, age
        ):
            running = max(load.running, load.observation.requests)
            others = running - load.running
            age = max(0.0, now - load.observation.observed_at)
            pace = load.observation.pace
        success = load.successes / (load.successes + load.failures)
        slowness = pace * (1.0 if load.slowness is None else load.slowness)
        load.slots = slots or load.slots
        if load.slot_free_at is None or running < slots:
            load.slot_free_at = now
        threshold = min(STANDING_QUEUE_THRESHOLD_S, typical * slowness)
        overloaded = bool(slots) and now - load.slot_free_at > threshold
        blocked = load.blocked_until > now
        return Estimate(
            running,
            expected_seconds * slowness,
            typical * slowness,
            success,
            blocked,
            overloaded,
            load.admitted if totals_are_recent else 1.0,
            max(0.0, load.paused_until - now),
            others,
            age,
        )

    def get_totals_age(self, now: float) -> float:
        """Return the seconds since the requests in the last totals were counted."""
        return max(0.0, now - self.totals_at) + self.totals_interval

    def collect_report(self) -> tuple[frames.Load, ...]:
        """Return the loads that changed since the last report."""
        report = []
        for target, load in self.by_target.items():
            if load.running or load.last_reported or load.ended:
                report.append(
                    frames.Load(
                        target,
                        load.running,
                        load.ended,
                        int(load.busy_seconds * 1e6),
                        int(load.expected_seconds * 1e6),
                    )
                )
            load.last_reported = load.running
            load.ended = 0
            load.busy_seconds = load.expected_seconds = 0.0
        return tuple(report)

    def apply_totals(self, totals: tuple[frames.Total, ...], now: float) -> None:
        """Apply the coordinator's totals, which include this instance's last report.

        Parameters
        ----------
        totals : tuple of frames.Total
            Targets without a total have no requests.
        now : float
            Monotonic seconds.
        """
        by_hash = {total.target: total for total in totals}
        if self.totals_at is not None:
            elapsed = max(0.0, now - self.totals_at)
            self.totals_interval = min(elapsed, MAX_TOTALS_AGE.total_seconds())
        self.totals_at = now
        for load in self.by_target.values():
            total = by_hash.get(load.name_hash)
            load.totals_received_at = now
            if total is None:
                load.others_running = 0
                load.admitted = 1.0
            else:
                load.others_running = max(0, total.running - load.last_reported)
                load.admitted = total.admitted
                if load.slowness is None:
                    load.slowness = limit_slowness(total.slowness)
            if load.running + load.others_running < load.slots:
                load.slot_free_at = now

    def set_targets(self, names, now: float) -> None:
        """Keep the loads of these targets and of others with requests or a pause.

        Parameters
        ----------
        names : iterable of str
        now : float
            Monotonic seconds.
        """
        for target in names:
            self.get_load(target)
        for target in [name for name in self.by_target if name not in names]:
            load = self.by_target[target]
            if not load.running and load.paused_until <= now:
                del self.by_target[target]
                self.target_trials.forget(target)


def exclude_wait(load: TargetLoad, elapsed: float) -> float:
    """Return the service time in seconds of a request that ends now.

    Whether it found a free slot is not known, since the totals were old when it was
    sent. The present ones were counted about at that time. With all slots in use, a
    request waits for a service time divided by the slots for each one ahead of it.
    """
    if not load.slots:
        return elapsed
    waiting = max(0, load.running + load.others_running - load.slots)
    return elapsed / (1 + waiting / load.slots)


def update_average(average: float | None, observed: float) -> float:
    """Return a moving average after one more observation."""
    if average is None:
        return observed
    return average + SMOOTHING_FACTOR * (observed - average)


def limit_slowness(slowness: float) -> float:
    """Limit a slowness to the range that is plausible for working targets."""
    return min(max(slowness, 0.1), 20.0)


def decay_outcomes(load: TargetLoad, now: float) -> None:
    """Reduce the weight of past successes and failures."""
    elapsed = now - load.decayed_at
    load.decayed_at = now
    if elapsed <= 0:
        return
    kept = 0.5 ** (elapsed / SUCCESS_HALF_LIFE_S)
    load.failures *= kept
    load.successes = max(SUCCESS_PRIOR, load.successes * kept)
