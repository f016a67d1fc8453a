import datetime

from returns import result

from dewstep_core import clock as clocks, errors
from dewstep_emulator import builders
from dewstep_entry.balancing import workload
from dewstep_entry.policy import limit

HELD = datetime.timedelta(milliseconds=100)


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
