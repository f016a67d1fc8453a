"""Measures the load of shards and hot keys on the targets with gates in this process.

Load is the time that requests occupy slots, in seconds per second; a target is full
when its load equals its number of slots. A request that gets no slot in time counts
with the mean service time, because otherwise all full targets would have the same load.
Load is counted at the gates, where requests end, so that it need not be collected from
other processes until a plan is made.
"""

import datetime
from typing import NamedTuple

from returns import result

from dewstep_core import clocks, data, errors
from dewstep_entry import interfaces
from dewstep_entry.balancing import lateness
from dewstep_entry.policy import admission, decay, hotkeys, limit, outliers

HALF_LIFE = datetime.timedelta(seconds=15)
"""Time after which a request counts half."""
MIN_SERVER_ERROR_STATUS = 500
SHED_REASON = "shed"
"""Reason of `TargetRefused` when a target refuses a request because of its load."""
OVERDUE_RATIO = outliers.SLOW_RATIO
"""Multiple of the estimated service time above which a run without an answer by its
deadline counts as a failure of the target. A run that had less time was started too
late by the admission queue."""


class TargetLoad(NamedTuple):
    """Load of one target by shard and by hot key, in slot seconds/s."""

    shards: dict[int, float]
    """Excludes the keys that have an override of their own."""
    keys: dict[str, float]


def classify_outcome(
    outcome: result.Result[data.Answer, interfaces.Failure],
) -> str | None:
    """Return the outcome as defined in `limit.py`, or None if it is to be ignored."""
    if isinstance(outcome, result.Success):
        failed = outcome.unwrap().status >= MIN_SERVER_ERROR_STATUS
        return limit.FAILED if failed else limit.ANSWERED
    failure = outcome.failure()
    if isinstance(failure, errors.TargetRefused):
        return limit.SHED if failure.reason == SHED_REASON else None
    if isinstance(failure, errors.DeadlineExceeded):
        return limit.LATE
    connection_failures = errors.ConnectionLost | errors.AnswerInvalid
    return limit.FAILED if isinstance(failure, connection_failures) else None


class Workload:
    """Load of one target."""

    def __init__(self, now: datetime.timedelta):
        self.scale = decay.Scale(HALF_LIFE, now)
        self.shards: dict[int, float] = {}
        self.keys = hotkeys.Sketch(half_life=HALF_LIFE)
        self.run_count = 0.0
        self.run_seconds = 0.0
        """Decayed total time of the runs, not divided by the scale, as `run_count`."""

    def add_run(
        self,
        shard: int,
        key: str,
        has_override: bool,
        slot_time: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Count a run that occupied a slot for `slot_time`."""
        self.add_request(shard, key, has_override, slot_time, now)
        weight = self.scale.weigh(now)
        self.run_count += weight
        self.run_seconds += weight * slot_time.total_seconds()

    def compute_mean_run_time(self) -> datetime.timedelta | None:
        """Return the mean slot time of a run, or None if there was none.

        The mean has the half-life of the loads. The estimate of the admission queue
        adapts faster and would add its variation of 9% to the load of refused requests.
        """
        if not self.run_count:
            return None
        return datetime.timedelta(seconds=self.run_seconds / self.run_count)

    def add_request(
        self,
        shard: int,
        key: str,
        has_override: bool,
        slot_time: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Count a request that occupied a slot for `slot_time` or would have."""
        if self.scale.needs_rescale(now):
            factor = self.scale.rescale(now)
            self.run_count *= factor
            self.run_seconds *= factor
            self.shards = {name: count * factor for name, count in self.shards.items()}
        seconds = slot_time.total_seconds()
        if not has_override:
            weight = seconds * self.scale.weigh(now)
            self.shards[shard] = self.shards.get(shard, 0.0) + weight
        self.keys.add(key, now, seconds)

    def summarize(self, now: datetime.timedelta) -> TargetLoad:
        """Return the current load."""
        shards = {
            shard: self.scale.compute_rate(count, now)
            for shard, count in self.shards.items()
        }
        return TargetLoad(shards, hotkeys.compute_rate_bounds(self.keys.summarize(now)))


class Observer:
    """Implements `gate.observation.Observer` for the targets whose gates are here.

    Parameters
    ----------
    clock : clocks.Clock
    loop_monitor : lateness.LoopMonitor, optional
        Detects pauses of this process.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        loop_monitor: lateness.LoopMonitor | None = None,
    ):
        self.clock = clock
        self.loop_monitor = loop_monitor
        self.loads: dict[str, Workload] = {}
        self.outliers: dict[str, outliers.OutlierDetector] = {}
        self.admissions: dict[str, admission.Admission] = {}

    def start(self, target: data.Target) -> None:
        """Start to observe a target whose gate is now here."""
        self.observe_target(target, cold=False)

    def restart(self, target: data.Target) -> None:
        """Discard the load of a target that has restarted with cold caches."""
        self.observe_target(target, cold=True)

    def observe_target(self, target: data.Target, cold: bool) -> None:
        """Start to observe a target with empty counts."""
        now = self.clock.monotonic()
        self.loads[target.name] = Workload(now)
        detector = self.outliers.setdefault(target.service, outliers.OutlierDetector())
        detector.add_target(target.name, now, cold)

    def end(self, target: data.Target) -> None:
        """Remove a target whose gate is no longer here."""
        self.loads.pop(target.name, None)
        self.admissions.pop(target.name, None)
        detector = self.outliers.get(target.service)
        if detector is not None:
            detector.remove_target(target.name)

    def record(
        self,
        target: data.Target,
        shard: int,
        key: str,
        overridden: bool,
        outcome: result.Result[data.Answer, interfaces.Failure],
        slot_time: datetime.timedelta,
    ) -> None:
        """Count the outcome of one exchange with a target."""
        policy_outcome = classify_outcome(outcome)
        if policy_outcome is None:
            return
        timed = policy_outcome in (limit.ANSWERED, limit.LATE)
        paused = timed and self.was_paused_within(slot_time)
        if policy_outcome == limit.LATE and self.is_overdue(target, slot_time):
            policy_outcome = limit.FAILED
        now = self.clock.monotonic()
        load = self.loads.get(target.name)
        if load is not None and policy_outcome == limit.SHED:
            self.add_unserved(target, shard, key, overridden)
        elif load is not None:
            load.add_run(shard, key, overridden, slot_time, now)
        if not paused:
            self.update_policies(target, policy_outcome, slot_time)

    def was_paused_within(self, slot_time: datetime.timedelta) -> bool:
        """Return whether a pause of this process is part of a slot time that ends now.

        The time that the target needed is then not known.
        """
        now = self.clock.monotonic()
        return self.loop_monitor is not None and self.loop_monitor.was_paused_since(
            now - slot_time, now
        )

    def update_policies(
        self, target: data.Target, policy_outcome: str, slot_time: datetime.timedelta
    ) -> None:
        """Pass an outcome to the admission queue and the outlier detection."""
        now = self.clock.monotonic()
        queue = self.admissions.get(target.name)
        detector = self.outliers.get(target.service)
        if detector is not None:
            detector.record(target.name, policy_outcome, slot_time, now)
        if queue is not None:
            queue.record(policy_outcome, slot_time, now)

    def record_cancelled(
        self,
        target: data.Target,
        shard: int,
        key: str,
        overridden: bool,
        slot_time: datetime.timedelta,
    ) -> None:
        """Count an exchange that was cancelled after `slot_time`.

        A time below the mean gives no information about the service time. A time far
        above it may be due to the target or to the caller, and is ignored as well.
        """
        load = self.loads.get(target.name)
        if load is not None:
            load.add_run(shard, key, overridden, slot_time, self.clock.monotonic())
        queue = self.admissions.get(target.name)
        if queue is None or slot_time <= queue.estimate.mean:
            return
        if self.was_paused_within(slot_time):
            return
        if not self.is_overdue(target, slot_time):
            self.update_policies(target, limit.LATE, slot_time)

    def is_overdue(self, target: data.Target, slot_time: datetime.timedelta) -> bool:
        """Return whether a run without an answer had more time than `OVERDUE_RATIO`.

        Its time must not enter the estimate. If a part of the answers is lost, the
        estimate would exceed every deadline and all requests would be refused.
        """
        queue = self.admissions.get(target.name)
        return queue is None or slot_time > OVERDUE_RATIO * queue.estimate.mean

    def record_unserved(
        self,
        target: data.Target,
        shard: int,
        key: str,
        overridden: bool,
        time_to_deadline: datetime.timedelta,
    ) -> None:
        """Count a request that was refused by the queue or expired in it.

        A request with less time than the mean is not counted, since no target could
        have served it.
        """
        mean = self.get_expected_run_time(target)
        if mean is not None and time_to_deadline >= mean:
            self.add_unserved(target, shard, key, overridden)

    def add_unserved(
        self, target: data.Target, shard: int, key: str, overridden: bool
    ) -> None:
        """Count a request that got no slot with its expected time."""
        mean = self.get_expected_run_time(target)
        load = self.loads.get(target.name)
        if load is not None and mean is not None:
            load.add_request(shard, key, overridden, mean, self.clock.monotonic())

    def get_expected_run_time(self, target: data.Target) -> datetime.timedelta | None:
        """Return the expected time of a run at a target, or None if unknown."""
        load = self.loads.get(target.name)
        mean = load.compute_mean_run_time() if load is not None else None
        queue = self.admissions.get(target.name)
        if mean is None and queue is not None:
            mean = queue.estimate.mean
        return mean
