import datetime
import random

import pytest
from returns import result

from dewstep_core import clocks, errors
from dewstep_emulator import builders, queueing
from dewstep_entry.balancing import lateness, workload
from dewstep_entry.policy import admission, limit

SLOT_TIME = datetime.timedelta(milliseconds=100)
ZERO = datetime.timedelta()


def test_outcomes_are_classified():
    answer = builders.build_answer()
    assert workload.classify_outcome(result.Success(answer)) == limit.ANSWERED
    failed = result.Success(answer._replace(status=500))
    assert workload.classify_outcome(failed) == limit.FAILED
    shed = result.Failure(errors.TargetRefused("t", "shed"))
    assert workload.classify_outcome(shed) == limit.SHED
    # A request is refused as fenced because of its gate, not because of the target.
    fenced = result.Failure(errors.TargetRefused("t", "fenced"))
    assert workload.classify_outcome(fenced) is None


def test_observer_measures_slot_time_and_excludes_overridden_keys_from_shards():
    clock = clocks.ManualClock()
    target = builders.build_target()
    observer = workload.Observer(clock)
    observer.start(target)
    success = result.Success(builders.build_answer())
    for _ in range(600):
        clock.advance(SLOT_TIME)
        observer.record(target, 3, "k", False, success, SLOT_TIME)
        observer.record(target, 3, "hot", True, success, SLOT_TIME)
    load = observer.loads[target.name].summarize(clock.monotonic())
    # Each of the two keys occupies one slot all the time.
    assert 0.9 < load.shards[3] < 1.1
    assert 0.9 < load.keys["hot"] < 1.1
    assert observer.outliers[target.service].summarize(clock.monotonic())
    observer.end(target)
    assert observer.loads == {}


class ObservedAdmission(admission.Admission):
    """An admission queue that receives outcomes only through the observer."""

    def __init__(self, seed):
        super().__init__("t1", 4, random.Random(seed))
        self.clock = clocks.ManualClock()
        self.observed_target = builders.build_target(name="t1")
        self.observer = workload.Observer(self.clock)
        self.observer.start(self.observed_target)
        self.observer.admissions["t1"] = self
        self.is_recording = False

    def record(self, outcome, service_time, now):
        if self.is_recording:
            super().record(outcome, service_time, now)
            return
        self.clock.elapsed = now
        exchange_outcome = result.Success(builders.build_answer())
        if outcome == queueing.CUT:
            exchange_outcome = result.Failure(errors.DeadlineExceeded("t1"))
        self.is_recording = True
        self.observer.record(
            self.observed_target, 0, "k", False, exchange_outcome, service_time
        )
        self.is_recording = False


def test_overload_does_not_lower_goodput_when_runs_end_at_their_deadline():
    # Guards against counting runs that the queue started late as failures of the
    # target. The concurrency limit then fell, and the goodput at twice the load was
    # three quarters of that at normal load.
    kind = queueing.Kind("history", 1, 1.0, datetime.timedelta(seconds=2))
    rate = 1 / 0.15
    goodput = {}
    for load in (1, 2):
        runs = [
            queueing.Model(
                ObservedAdmission(seed), [kind], load * 4 * rate, rate, seed, cuts=True
            ).run(datetime.timedelta(seconds=20))
            for seed in range(10)
        ]
        goodput[load] = sum(run.total() for run in runs) / len(runs)
    print("goodput at 1x and 2x:", goodput)
    assert goodput[2] >= 0.95 * goodput[1]


@pytest.mark.parametrize("offered", (6, 8, 12))
def test_load_of_an_overloaded_target_includes_refused_requests(offered):
    # Guards against equal loads of all targets with full slots, which would allow moves
    # to the target that refuses most requests.
    clock = clocks.ManualClock()
    target = builders.build_target()
    observer = workload.Observer(clock)
    observer.start(target)
    success = result.Success(builders.build_answer())
    for _ in range(600):
        clock.advance(SLOT_TIME)
        for number in range(offered):
            if number < 4:
                observer.record(target, 3, "k", False, success, SLOT_TIME)
            elif number < 5:
                shed = result.Failure(errors.TargetRefused("t", workload.SHED_REASON))
                observer.record(target, 3, "k", False, shed, 0 * SLOT_TIME)
            else:
                observer.record_unserved(target, 3, "k", False, 20 * SLOT_TIME)
    load = observer.loads[target.name].summarize(clock.monotonic())
    assert load.shards[3] == pytest.approx(offered, rel=0.1)
    assert load.keys["k"] == pytest.approx(offered, rel=0.1)


def test_requests_with_too_short_deadlines_do_not_count_as_load():
    # Guards against moving shards because of a caller whose deadlines are shorter than
    # the service time.
    clock = clocks.ManualClock()
    target = builders.build_target()
    observer = workload.Observer(clock)
    observer.start(target)
    observer.record_unserved(target, 3, "k", False, SLOT_TIME)
    answer = result.Success(builders.build_answer())
    observer.record(target, 4, "k2", False, answer, SLOT_TIME)
    observer.record_unserved(target, 3, "k", False, SLOT_TIME / 2)
    assert set(observer.loads[target.name].shards) == {4}


def test_cancelled_run_counts_as_load_and_raises_the_estimate():
    # Guards against ignoring runs that the receiving process cancelled at the deadline,
    # which made load and estimate too low.
    clock = clocks.ManualClock()
    target = builders.build_target()
    observer = workload.Observer(clock)
    observer.start(target)
    queue = admission.Admission("t", 4, random.Random(1), service_time=SLOT_TIME)
    observer.admissions[target.name] = queue
    queue.record(limit.ANSWERED, SLOT_TIME, clock.monotonic())
    observer.record_cancelled(target, 3, "k", False, SLOT_TIME / 2)
    assert queue.estimate.mean == SLOT_TIME and queue.estimate.samples == 1
    observer.record_cancelled(target, 3, "k", False, 2 * SLOT_TIME)
    assert queue.estimate.mean > SLOT_TIME and queue.limit.compute_usable_slots() == 4
    assert observer.loads[target.name].shards[3] == pytest.approx(0.25)


def test_run_without_an_answer_in_three_times_the_mean_is_a_failure():
    # Guards against a target that accepts requests but never answers.
    clock = clocks.ManualClock()
    target = builders.build_target()
    observer = workload.Observer(clock)
    observer.start(target)
    queue = admission.Admission("t", 4, random.Random(1), service_time=SLOT_TIME)
    observer.admissions[target.name] = queue
    queue.record(limit.ANSWERED, SLOT_TIME, clock.monotonic())
    overdue = result.Failure(errors.DeadlineExceeded("t"))
    observer.record(target, 3, "k", False, overdue, 2 * SLOT_TIME)
    [summary] = observer.outliers[target.service].summarize(ZERO).values()
    assert summary.failures == 0 and queue.limit.compute_usable_slots() == 4
    observer.record(target, 3, "k", False, overdue, 10 * SLOT_TIME)
    [summary] = observer.outliers[target.service].summarize(ZERO).values()
    assert summary.failures == 1 and queue.limit.compute_usable_slots() < 4


def test_missing_answers_do_not_raise_the_estimate():
    # Guards against a queue that refuses nearly all requests as too late because the
    # target loses a fifth of its answers.
    clock = clocks.ManualClock()
    target = builders.build_target()
    observer = workload.Observer(clock)
    observer.start(target)
    queue = admission.Admission("t", 4, random.Random(1), service_time=SLOT_TIME)
    observer.admissions[target.name] = queue
    success = result.Success(builders.build_answer())
    overdue = result.Failure(errors.DeadlineExceeded("t"))
    for _ in range(100):
        clock.advance(SLOT_TIME)
        for _ in range(8):
            observer.record(target, 3, "k", False, success, SLOT_TIME)
        observer.record(target, 3, "k", False, overdue, 20 * SLOT_TIME)
        observer.record_cancelled(target, 3, "k", False, 20 * SLOT_TIME)
    assert queue.estimate.mean == SLOT_TIME


@pytest.mark.parametrize("wakes_first", [False, True])
@pytest.mark.parametrize("late_before", [False, True])
def test_time_of_an_isolated_pause_is_not_taken_for_service_time(
    wakes_first, late_before
):
    # Guards against refusing requests that the target can serve, because this process
    # was paused for a second. A process that is late again and again plans with the
    # longer times, since its requests do take that long.
    clock = clocks.ManualClock()
    monitor = lateness.LoopMonitor(clock.monotonic())
    target = builders.build_target(name="t1")
    observer = workload.Observer(clock, monitor)
    observer.start(target)
    queue = observer.admissions["t1"] = admission.Admission("t1", 4, random.Random(1))
    success = result.Success(builders.build_answer())

    def pause(duration):
        clock.advance(duration)
        monitor.record_wakeup(clock.monotonic())

    if late_before:
        pause(10 * lateness.WAKEUP_INTERVAL)
    for _ in range(20):
        pause(lateness.WAKEUP_INTERVAL)
        observer.record(target, 3, "k", False, success, SLOT_TIME / 10)
    clock.advance(10 * SLOT_TIME)
    if wakes_first:
        monitor.record_wakeup(clock.monotonic())
    for _ in range(4):
        observer.record(target, 3, "k", False, success, 10 * SLOT_TIME)
    observer.record_cancelled(target, 3, "k", False, 10 * SLOT_TIME)
    overdue = result.Failure(errors.DeadlineExceeded("t1"))
    observer.record(target, 3, "k", False, overdue, 10 * SLOT_TIME)
    now = clock.monotonic()
    offers = [queue.offer(str(n), 1.0, now + 20 * SLOT_TIME, now) for n in range(33)]
    refused = any(isinstance(offer, admission.Refused) for offer in offers)
    assert refused is late_before
    assert (queue.estimate.mean == SLOT_TIME / 10) is not late_before


def test_service_time_after_a_pause_counts():
    # Guards against an estimate that ignores a slow target after one pause.
    clock = clocks.ManualClock()
    monitor = lateness.LoopMonitor(clock.monotonic())
    target = builders.build_target(name="t1")
    observer = workload.Observer(clock, monitor)
    observer.start(target)
    queue = observer.admissions["t1"] = admission.Admission("t1", 4, random.Random(1))
    clock.advance(10 * SLOT_TIME)
    monitor.record_wakeup(clock.monotonic())
    for _ in range(10):
        clock.advance(lateness.WAKEUP_INTERVAL)
        monitor.record_wakeup(clock.monotonic())
    success = result.Success(builders.build_answer())
    observer.record(target, 3, "k", False, success, 4 * SLOT_TIME)
    assert queue.estimate.mean == 4 * SLOT_TIME
