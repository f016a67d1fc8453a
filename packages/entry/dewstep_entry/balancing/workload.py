"""Measures the load that each shard and hot key puts on the targets of this process.

Load is the time that requests hold slots, in seconds per second: a target is full at
as many as it has slots. A request that finds no slot in time counts with the mean
service time, since the time in slots alone is the same for all full targets. Load is
counted where requests end, at the gates, so that no other process has to be asked for
it before it is needed.
"""

import datetime
from typing import NamedTuple

from returns import result

from dewstep_core import clock as clocks, data, errors
from dewstep_entry import interfaces
from dewstep_entry.policy import admission, decay, hotkeys, limit, outliers

HALF_LIFE = datetime.timedelta(seconds=15)
SERVER_ERROR = 500
SHED = "shed"
FAILURE_RATIO = outliers.SLOW_RATIO
"""Time over the estimate from which a run without an answer by its deadline counts as
a failure of the target. A run that had less time was begun late by the queue."""


class TargetLoad(NamedTuple):
    """Load of one target by shard and by hot key, in slot seconds/s."""

    shards: dict[int, float]
    """Without the keys that are lifted out of them."""
    keys: dict[str, float]


def classify(
    outcome: result.Result[data.Answer, interfaces.Failure],
) -> str | None:
    """Return the outcome as the policies name it, or None if it says nothing."""
    if isinstance(outcome, result.Success):
        failed = outcome.unwrap().status >= SERVER_ERROR
        return limit.FAILED if failed else limit.ANSWERED
    failure = outcome.failure()
    if isinstance(failure, errors.TargetRefused):
        return limit.SHED if failure.reason == SHED else None
    if isinstance(failure, errors.DeadlineExceeded):
        return limit.LATE
    unclear = errors.ConnectionLost | errors.AnswerInvalid
    return limit.FAILED if isinstance(failure, unclear) else None


class Workload:
    """Load of one target."""

    def __init__(self, now: datetime.timedelta):
        self.scale = decay.Scale(HALF_LIFE, now)
        self.shards: dict[int, float] = {}
        self.keys = hotkeys.Sketch(half_life=HALF_LIFE)
        self.runs = 0.0
        self.seconds = 0.0
        """Decayed count of runs and of their times, in units of the scale."""

    def add_run(
        self,
        shard: int,
        key: str,
        lifted: bool,
        held: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Count a run that held a slot for `held`."""
        self.add(shard, key, lifted, held, now)
        weight = self.scale.weigh(now)
        self.runs += weight
        self.seconds += weight * held.total_seconds()

    def get_mean(self) -> datetime.timedelta | None:
        """Return the mean time of a run, or None if there was none.

        It goes back as far as the loads do: the admission's estimate follows faster
        and would add its own noise of 9% to the load of refused requests.
        """
        if not self.runs:
            return None
        return datetime.timedelta(seconds=self.seconds / self.runs)

    def add(
        self,
        shard: int,
        key: str,
        lifted: bool,
        held: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Count a request that held a slot for `held`, or would have done so."""
        if self.scale.is_spent(now):
            factor = self.scale.rescale(now)
            self.runs *= factor
            self.seconds *= factor
            self.shards = {name: count * factor for name, count in self.shards.items()}
        seconds = held.total_seconds()
        if not lifted:
            weight = seconds * self.scale.weigh(now)
            self.shards[shard] = self.shards.get(shard, 0.0) + weight
        self.keys.add(key, now, seconds)

    def summarize(self, now: datetime.timedelta) -> TargetLoad:
        """Return the present load."""
        shards = {
            shard: self.scale.compute_rate(count, now)
            for shard, count in self.shards.items()
        }
        return TargetLoad(shards, hotkeys.get_loads(self.keys.summarize(now)))


class Observer:
    """Implements `gate.observation.Observer` for the targets whose gates are here.

    Parameters
    ----------
    clock : clocks.Clock
    """

    def __init__(self, clock: clocks.Clock):
        self.clock = clock
        self.loads: dict[str, Workload] = {}
        self.outliers: dict[str, outliers.Outliers] = {}
        self.admissions: dict[str, admission.Admission] = {}

    def start(self, target: data.Target) -> None:
        """Start to watch a target whose gate is now here."""
        self.watch(target, cold=False)

    def restart(self, target: data.Target) -> None:
        """Watch a target anew that has restarted, with cold caches."""
        self.watch(target, cold=True)

    def watch(self, target: data.Target, cold: bool) -> None:
        """Start to watch a target."""
        now = self.clock.monotonic()
        self.loads[target.name] = Workload(now)
        watch = self.outliers.setdefault(target.service, outliers.Outliers())
        watch.add_target(target.name, now, cold)

    def end(self, target: data.Target) -> None:
        """Forget a target whose gate is no longer here."""
        self.loads.pop(target.name, None)
        self.admissions.pop(target.name, None)
        watch = self.outliers.get(target.service)
        if watch is not None:
            watch.remove_target(target.name)

    def record(
        self,
        target: data.Target,
        shard: int,
        key: str,
        single: bool,
        outcome: result.Result[data.Answer, interfaces.Failure],
        held: datetime.timedelta,
    ) -> None:
        """Count the outcome of one exchange with a target."""
        verdict = classify(outcome)
        if verdict is None:
            return
        if verdict == limit.LATE and self.is_overdue(target, held):
            verdict = limit.FAILED
        now = self.clock.monotonic()
        load = self.loads.get(target.name)
        if load is not None and verdict == limit.SHED:
            self.add_unserved(target, shard, key, single)
        elif load is not None:
            load.add_run(shard, key, single, held, now)
        self.learn(target, verdict, held)

    def learn(
        self, target: data.Target, verdict: str, held: datetime.timedelta
    ) -> None:
        """Tell the queue and the watch over outliers of an outcome."""
        now = self.clock.monotonic()
        queue = self.admissions.get(target.name)
        watch = self.outliers.get(target.service)
        if watch is not None:
            watch.record(target.name, verdict, held, now)
        if queue is not None:
            queue.record(verdict, held, now)

    def record_cancelled(
        self,
        target: data.Target,
        shard: int,
        key: str,
        single: bool,
        held: datetime.timedelta,
    ) -> None:
        """Count an exchange that was given up after `held`.

        Below the mean that is no news of the service time, and far above it the
        caller may have gone away as well as the target have failed.
        """
        load = self.loads.get(target.name)
        if load is not None:
            load.add_run(shard, key, single, held, self.clock.monotonic())
        queue = self.admissions.get(target.name)
        if queue is None or held <= queue.estimate.mean:
            return
        if not self.is_overdue(target, held):
            self.learn(target, limit.LATE, held)

    def is_overdue(self, target: data.Target, held: datetime.timedelta) -> bool:
        """Return whether a run without an answer had more than enough time.

        Its time must not enter the estimate: if a part of the answers never comes,
        the estimate would exceed every deadline and all requests would be refused.
        """
        queue = self.admissions.get(target.name)
        return queue is None or held > FAILURE_RATIO * queue.estimate.mean

    def record_unserved(
        self,
        target: data.Target,
        shard: int,
        key: str,
        single: bool,
        patience: datetime.timedelta,
    ) -> None:
        """Count a request that the queue refused or that expired there.

        A request with less time than the mean is no demand that any target could
        have served.
        """
        mean = self.expect(target)
        if mean is not None and patience >= mean:
            self.add_unserved(target, shard, key, single)

    def add_unserved(
        self, target: data.Target, shard: int, key: str, single: bool
    ) -> None:
        """Count a request that got no slot with the time that it would have held."""
        mean = self.expect(target)
        load = self.loads.get(target.name)
        if load is not None and mean is not None:
            load.add(shard, key, single, mean, self.clock.monotonic())

    def expect(self, target: data.Target) -> datetime.timedelta | None:
        """Return the expected time of a run at a target, or None if unknown."""
        load = self.loads.get(target.name)
        mean = load.get_mean() if load is not None else None
        queue = self.admissions.get(target.name)
        if mean is None and queue is not None:
            mean = queue.estimate.mean
        return mean
