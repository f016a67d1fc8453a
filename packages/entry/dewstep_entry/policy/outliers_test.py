import datetime
import random

from hypothesis import given, strategies

from dewstep_core import data, placement
from dewstep_entry.policy import limit, outliers

MILLISECOND = datetime.timedelta(milliseconds=1)
SECOND = datetime.timedelta(seconds=1)
NAMES = [f"t{n:02}" for n in range(20)]


def build_detector(names=NAMES):
    detector = outliers.OutlierDetector()
    for name in names:
        detector.add_target(name, 0 * SECOND, cold=False)
    return detector


def build_summary(answers=100.0, failures=0.0, ms=20, step=0):
    return outliers.Summary(answers, failures, ms * MILLISECOND, step, False)


def test_slow_and_failing_targets_are_put_aside_and_return():
    # Guards against keeping the full load on a target that is slow, or quickly answers
    # with errors, while its health endpoint reports no problem. The load with equal
    # shares is the baseline.
    generator, detector = random.Random(1), build_detector()
    targets = [
        data.Target(n, "history", "dc1", "", 0, 4, 9, True, False) for n in NAMES
    ]
    service = data.Service("history", 2, None, 64, 1024, SECOND, ())
    owners = placement.plan_initial(service, targets)
    equal = data.Assignment("history", 1, owners, {}, ())
    # An equal share of the 1,024 shards is 51.2 shards for each of the 20 targets.
    assignment, loads = equal, {"equal": 0.0, "adjusted": 0.0}
    for second in range(200):
        now, faulty = second * SECOND, second < 100
        for name in NAMES:
            share = assignment.owners.count(name) / equal.owners.count(name)
            for _ in range(int(100 * share)):
                slow = faulty and name == "t03"
                service_time = (
                    generator.expovariate(1 / (200 if slow else 20)) * MILLISECOND
                )
                failed = faulty and name == "t07" and generator.random() < 0.5
                outcome = limit.FAILED if failed else limit.ANSWERED
                detector.record(name, outcome, service_time, now)
        loads["equal"] += faulty
        loads["adjusted"] += faulty * assignment.owners.count("t03") / 51.2
        detector.update({}, now)
        moves = placement.plan_moves(
            assignment, [1.0] * 1024, {}, targets, now, {}, detector.get_factors(now)
        )
        after = placement.apply_moves(assignment, moves)
        assignment = assignment._replace(owners=after.owners)
        if second == 99:
            factors = detector.get_factors(now)
            assert factors.pop("t03") == factors.pop("t07") == 0.1
            assert set(factors.values()) == {1.0}
            assert 0 < assignment.owners.count("t03") <= 0.2 * 51.2
    print(
        "load on the slow target with equal and adjusted shares, in shares x s:", loads
    )
    assert loads["adjusted"] < 0.5 * loads["equal"]
    assert set(detector.get_factors(now).values()) == {1.0}


@given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 100),
            strategies.integers(1, 900),
            strategies.integers(0, 3),
        ),
        max_size=30,
    )
)
def test_verdicts_respect_the_limit_and_do_not_depend_on_order(states):
    # Guards against putting aside so many targets that the others are overloaded, and
    # against processes that put different ones aside.
    summaries = {
        f"t{n:02}": build_summary(100, failures, ms, step)
        for n, (failures, ms, step) in enumerate(states)
    }
    verdicts = outliers.compute_verdicts(summaries)
    put_aside = sum(verdict.put_aside for verdict in verdicts.values())
    assert put_aside <= max(0.3 * len(states), len(states) >= 3)
    assert verdicts == outliers.compute_verdicts(dict(reversed(summaries.items())))


def test_verdicts_need_three_targets_and_enough_answers():
    # Guards against verdicts based on too few answers or on only two targets.
    good, slow = build_summary(), build_summary(ms=900)
    assert not outliers.compute_verdicts({"a": good, "b": slow})["b"].put_aside
    assert outliers.compute_verdicts({"a": good, "b": slow, "c": good})["b"].put_aside
    with_few_answers = slow._replace(answers=3.0)
    assert not outliers.compute_verdicts({"a": good, "b": with_few_answers, "c": good})[
        "b"
    ].put_aside
    cold = slow._replace(cold=True)
    assert not outliers.compute_verdicts({"a": good, "b": cold, "c": good})[
        "b"
    ].put_aside


def test_sheds_are_not_failures_and_rescaling_keeps_counts():
    detector = build_detector(["a"])
    for second in (0, 1, 3000):
        detector.record("a", limit.SHED, 1 * MILLISECOND, second * SECOND)
        detector.record("a", limit.ANSWERED, 20 * MILLISECOND, second * SECOND)
    [summary] = detector.summarize(3000 * SECOND).values()
    assert summary.failures == 0 and abs(summary.answers - 1) < 1e-6
    assert abs(summary.service_time - 20 * MILLISECOND) < MILLISECOND
    detector.remove_target("a")
    assert detector.summarize(3000 * SECOND) == {}


def test_factor_of_a_cold_target_rises_to_one():
    # Guards against assigning a full share of keys to a target with empty caches.
    detector = build_detector([])
    detector.add_target("new", 10 * SECOND)
    factors = [detector.get_factors(n * SECOND)["new"] for n in range(10, 50, 5)]
    assert factors[0] == outliers.COLD_FACTOR and factors[-1] == 1.0
    assert factors == sorted(factors)


def test_steps_up_are_delayed_longer_after_each_relapse():
    # Guards against shards that are moved back and forth because a target is slow only
    # under load.
    target, steps = outliers.WatchedTarget(None), []
    for second in range(1200):
        target.update_step(target.step == 0, second * SECOND)
        steps.append(target.step)
    assert sum(a != b for a, b in zip(steps, steps[1:], strict=False)) <= 12
