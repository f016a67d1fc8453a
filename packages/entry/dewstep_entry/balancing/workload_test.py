import datetime
import random

import pytest
from returns import result

from dewstep_core import clock as clocks, errors
from dewstep_emulator import builders, queueing
from dewstep_entry.balancing import workload
from dewstep_entry.policy import admission, limit

HELD = datetime.timedelta(milliseconds=100)
ZERO = datetime.timedelta()


def test_classify_names_what_an_outcome_says_of_the_target():
    answer = builders.build_answer()
    assert workload.classify(result.Success(answer)) == limit.ANSWERED
    failed = result.Success(answer._replace(status=500))
    assert workload.classify(failed) == limit.FAILED
    shed = result.Failure(errors.TargetRefused("t", "shed"))
    assert workload.classify(shed) == limit.SHED
    # A fenced request says something about the gate, not about the target.
    fenced = result.Failure(errors.TargetRefused("t", "fenced"))
    assert workload.classify(fenced) is None


def test_observer_measures_slot_seconds_and_leaves_lifted_keys_out_of_shards():
    clock = clocks.ManualClock()
    target = builders.build_target()
    observer = workload.Observer(clock)
    observer.start(target)
    success = result.Success(builders.build_answer())
    for _ in range(600):
        clock.advance(HELD)
        observer.record(target, 3, "k", False, success, HELD)
        observer.record(target, 3, "hot", True, success, HELD)
    load = observer.loads[target.name].summarize(clock.monotonic())
    # One slot is held all the time by each of the two keys.
    assert 0.9 < load.shards[3] < 1.1
    assert 0.9 < load.keys["hot"] < 1.1
    assert observer.outliers[target.service].summarize(clock.monotonic())
    observer.end(target)
    assert observer.loads == {}


class ObservedAdmission(admission.Admission):
    """An admission queue that learns of outcomes only through the observer."""

    def __init__(self, seed):
        super().__init__("t1", 4, random.Random(seed))
        self.clock = clocks.ManualClock()
        self.watched = builders.build_target(name="t1")
        self.observer = workload.Observer(self.clock)
        self.observer.start(self.watched)
        self.observer.admissions["t1"] = self
        self.direct = False

    def record(self, outcome, service_time, now):
        if self.direct:
            super().record(outcome, service_time, now)
            return
        self.clock.elapsed = now
        seen = result.Success(builders.build_answer())
        if outcome == queueing.CUT:
            seen = result.Failure(errors.DeadlineExceeded("t1"))
        self.direct = True
        self.observer.record(self.watched, 0, "k", False, seen, service_time)
        self.direct = False


def test_goodput_holds_where_runs_end_at_their_deadline():
    # Guards against a queue that starts requests at the last moment and takes the
    # runs that its own deadline ended for failures of the target: the concurrency
    # limit then falls, and twice the load gives three quarters of the goodput.
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
def test_an_overloaded_target_shows_its_whole_demand(offered):
    # Guards against targets that look alike once their slots are full, so that moves
    # go to the one that refuses most.
    clock = clocks.ManualClock()
    target = builders.build_target()
    observer = workload.Observer(clock)
    observer.start(target)
    success = result.Success(builders.build_answer())
    for _ in range(600):
        clock.advance(HELD)
        for number in range(offered):
            if number < 4:
                observer.record(target, 3, "k", False, success, HELD)
            elif number < 5:
                shed = result.Failure(errors.TargetRefused("t", workload.SHED))
                observer.record(target, 3, "k", False, shed, 0 * HELD)
            else:
                observer.record_unserved(target, 3, "k", False, 20 * HELD)
    load = observer.loads[target.name].summarize(clock.monotonic())
    assert load.shards[3] == pytest.approx(offered, rel=0.1)
    assert load.keys["k"] == pytest.approx(offered, rel=0.1)


def test_what_no_target_could_serve_in_time_is_no_demand():
    # Guards against shards that move because of a caller whose deadlines are shorter
    # than the service time.
    clock = clocks.ManualClock()
    target = builders.build_target()
    observer = workload.Observer(clock)
    observer.start(target)
    observer.record_unserved(target, 3, "k", False, HELD)
    answer = result.Success(builders.build_answer())
    observer.record(target, 4, "k2", False, answer, HELD)
    observer.record_unserved(target, 3, "k", False, HELD / 2)
    assert set(observer.loads[target.name].shards) == {4}


def test_a_cancelled_run_counts_as_load_and_as_a_bound_of_the_service_time():
    # Guards against runs that the receiving process gave up at the deadline and that
    # the gate forgot: the load and the estimate were too low by them.
    clock = clocks.ManualClock()
    target = builders.build_target()
    observer = workload.Observer(clock)
    observer.start(target)
    queue = admission.Admission("t", 4, random.Random(1), service_time=HELD)
    observer.admissions[target.name] = queue
    queue.record(limit.ANSWERED, HELD, clock.monotonic())
    observer.record_cancelled(target, 3, "k", False, HELD / 2)
    assert queue.estimate.mean == HELD and queue.estimate.samples == 1
    observer.record_cancelled(target, 3, "k", False, 2 * HELD)
    assert queue.estimate.mean > HELD and queue.limit.compute_usable_slots() == 4
    assert observer.loads[target.name].shards[3] == pytest.approx(0.25)


def test_a_run_that_had_three_times_the_usual_time_is_a_failure():
    # Guards against a target that accepts requests and never answers one.
    clock = clocks.ManualClock()
    target = builders.build_target()
    observer = workload.Observer(clock)
    observer.start(target)
    queue = admission.Admission("t", 4, random.Random(1), service_time=HELD)
    observer.admissions[target.name] = queue
    queue.record(limit.ANSWERED, HELD, clock.monotonic())
    overdue = result.Failure(errors.DeadlineExceeded("t"))
    observer.record(target, 3, "k", False, overdue, 2 * HELD)
    [summary] = observer.outliers[target.service].summarize(ZERO).values()
    assert summary.failures == 0 and queue.limit.compute_usable_slots() == 4
    observer.record(target, 3, "k", False, overdue, 10 * HELD)
    [summary] = observer.outliers[target.service].summarize(ZERO).values()
    assert summary.failures == 1 and queue.limit.compute_usable_slots() < 4


def test_answers_that_never_come_do_not_raise_the_estimate():
    # Guards against a target that loses a fifth of its answers and for which the
    # queue then refuses nearly everything as impossible to serve in time.
    clock = clocks.ManualClock()
    target = builders.build_target()
    observer = workload.Observer(clock)
    observer.start(target)
    queue = admission.Admission("t", 4, random.Random(1), service_time=HELD)
    observer.admissions[target.name] = queue
    success = result.Success(builders.build_answer())
    overdue = result.Failure(errors.DeadlineExceeded("t"))
    for _ in range(100):
        clock.advance(HELD)
        for _ in range(8):
            observer.record(target, 3, "k", False, success, HELD)
        observer.record(target, 3, "k", False, overdue, 20 * HELD)
        observer.record_cancelled(target, 3, "k", False, 20 * HELD)
    assert queue.estimate.mean == HELD
