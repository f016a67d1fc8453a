import datetime
import random

from hypothesis import given, strategies

from dewstep_core import data, placement
from dewstep_entry.policy import limit, outliers

MS = datetime.timedelta(milliseconds=1)
SECOND = datetime.timedelta(seconds=1)
NAMES = [f"t{n:02}" for n in range(20)]


def build(names=NAMES):
    unit = outliers.Outliers()
    for name in names:
        unit.add_target(name, 0 * SECOND, cold=False)
    return unit


def build_summary(answers=100.0, failures=0.0, ms=20, step=0):
    return outliers.Summary(answers, failures, ms * MS, step, False)


def test_a_slow_or_lying_target_is_relieved_and_returns():
    # Guards against a target that is slow, or answers errors fast, while its health
    # endpoint claims that it is well; the equal shares of before stay as baseline.
    generator, unit = random.Random(1), build()
    targets = [
        data.Target(n, "history", "dc1", "", 0, 4, 9, True, False) for n in NAMES
    ]
    service = data.Service("history", 2, None, 64, 1024, SECOND, ())
    owners = placement.plan_first(service, targets)
    equal = data.Assignment("history", 1, owners, {}, ())
    held, waits = equal, {"plain": 0.0, "relieved": 0.0}
    for second in range(200):
        now, bad = second * SECOND, second < 100
        for name in NAMES:
            share = held.owners.count(name) / equal.owners.count(name)
            for _ in range(int(100 * share)):
                slow = bad and name == "t03"
                time = generator.expovariate(1 / (200 if slow else 20)) * MS
                wrong = bad and name == "t07" and generator.random() < 0.5
                outcome = limit.FAILED if wrong else limit.ANSWERED
                unit.record(name, outcome, time, now)
        waits["plain"] += bad
        waits["relieved"] += bad * held.owners.count("t03") / 51.2
        unit.update({}, now)
        moves = placement.plan_moves(
            held, [1.0] * 1024, {}, targets, now, {}, unit.get_factors(now)
        )
        after = placement.apply_moves(held, moves)
        held = held._replace(owners=after.owners)
        if second == 99:
            factors = unit.get_factors(now)
            assert factors.pop("t03") == factors.pop("t07") == 0.1
            assert set(factors.values()) == {1.0}
            assert 0 < held.owners.count("t03") <= 0.2 * 51.2
    print("load on the slow target, shares x s:", waits)
    assert waits["relieved"] < 0.5 * waits["plain"]
    assert set(unit.get_factors(now).values()) == {1.0}


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
def test_judge_keeps_the_ceiling_and_is_the_same_in_every_order(states):
    # Guards against relief of so many targets that the rest is overloaded, and
    # against two processes that relieve different ones.
    summaries = {
        f"t{n:02}": build_summary(100, failures, ms, step)
        for n, (failures, ms, step) in enumerate(states)
    }
    verdicts = outliers.judge(summaries)
    put_aside = sum(verdict.put_aside for verdict in verdicts.values())
    assert put_aside <= max(0.3 * len(states), len(states) >= 3)
    assert verdicts == outliers.judge(dict(reversed(summaries.items())))


def test_judge_needs_three_targets_and_enough_answers():
    # Guards against a verdict from chance or from a comparison of two.
    good, slow = build_summary(), build_summary(ms=900)
    assert not outliers.judge({"a": good, "b": slow})["b"].put_aside
    assert outliers.judge({"a": good, "b": slow, "c": good})["b"].put_aside
    few = slow._replace(answers=3.0)
    assert not outliers.judge({"a": good, "b": few, "c": good})["b"].put_aside
    cold = slow._replace(cold=True)
    assert not outliers.judge({"a": good, "b": cold, "c": good})["b"].put_aside


def test_sheds_are_no_failures_and_counts_survive_a_rescale():
    unit = build(["a"])
    for second in (0, 1, 3000):
        unit.record("a", limit.SHED, 1 * MS, second * SECOND)
        unit.record("a", limit.ANSWERED, 20 * MS, second * SECOND)
    [summary] = unit.summarize(3000 * SECOND).values()
    assert summary.failures == 0 and abs(summary.answers - 1) < 1e-6
    assert abs(summary.service_time - 20 * MS) < MS
    unit.remove_target("a")
    assert unit.summarize(3000 * SECOND) == {}


def test_cold_target_starts_low_and_warms_up():
    # Guards against a full share of keys for a target with empty caches.
    unit = build([])
    unit.add_target("new", 10 * SECOND)
    factors = [unit.get_factors(n * SECOND)["new"] for n in range(10, 50, 5)]
    assert factors[0] == outliers.COLD_FACTOR and factors[-1] == 1.0
    assert factors == sorted(factors)


def test_steps_back_take_longer_with_each_relapse():
    # Guards against a target that is bad only under load and moves its shards
    # to and fro.
    unit, steps = outliers.Watched(None), []
    for second in range(1200):
        unit.take_step(unit.step == 0, second * SECOND)
        steps.append(unit.step)
    assert sum(a != b for a, b in zip(steps, steps[1:], strict=False)) <= 12
