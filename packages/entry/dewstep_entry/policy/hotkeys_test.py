import collections
import datetime
import random

import pytest
from hypothesis import given, strategies

from dewstep_entry.policy import hotkeys, shardloads

SECOND = datetime.timedelta(seconds=1)
ZERO = datetime.timedelta()


@given(strategies.lists(strategies.integers(0, 40), max_size=400))
def test_rates_are_between_the_true_one_and_the_error(stream):
    # Guards against a hot key that the sketch loses: the guarantee of Space-Saving.
    unit, true = hotkeys.Sketch(8), collections.Counter()
    for number in stream:
        unit.add(str(number), ZERO)
        true[str(number)] += 1
    scale = unit.scale.compute_rate(1.0, ZERO)
    summary = unit.summarize(ZERO, 8)
    listed = {hot.key: hot for hot in summary.keys}
    for key, count in true.items():
        if key in listed:
            rate, error = listed[key].rate / scale, listed[key].error / scale
            assert rate - error - 1e-6 <= count <= rate + 1e-6
        else:
            assert count <= summary.floor / scale + 1e-6
            assert count <= len(stream) / 8
    decoded = hotkeys.decode(hotkeys.encode(summary))
    assert [hot.key for hot in decoded.keys] == [hot.key for hot in summary.keys]


@given(
    strategies.lists(
        strategies.lists(strategies.integers(0, 30), max_size=100), max_size=4
    )
)
def test_merge_keeps_the_bounds(streams):
    # Guards against a key that is warm everywhere and hot in no single process.
    true, parts = collections.Counter(), []
    for stream in streams:
        unit = hotkeys.Sketch(8)
        for number in stream:
            unit.add(str(number), ZERO)
            true[str(number)] += 1
        parts.append(unit.summarize(ZERO, 8))
    scale = hotkeys.Sketch().scale.compute_rate(1.0, ZERO)
    merged = hotkeys.merge(parts, 10)
    listed = {hot.key: hot for hot in merged.keys}
    for key, count in true.items():
        if key in listed:
            rate, error = listed[key].rate / scale, listed[key].error / scale
            assert rate - error - 1e-6 <= count <= rate + 1e-6
        else:
            assert count <= merged.floor / scale + 1e-6


def test_hot_keys_are_found_after_a_change_and_old_ones_go():
    # Guards against yesterday's hot keys; plain counts, the simpler way, keep them.
    generator, unit, plain = random.Random(1), hotkeys.Sketch(), collections.Counter()
    for second in range(240):
        now, phase = second * SECOND, second // 120
        for _ in range(1000):
            hot = generator.random() < 0.4
            number = generator.randrange(34) if hot else generator.randrange(10**6)
            key = f"hot-{phase}-{number}" if hot else f"cold-{number}"
            unit.add(key, now)
            plain[key] += 1
    summary = unit.summarize(now, 34)
    assert {hot.key for hot in summary.keys} == {f"hot-1-{n}" for n in range(34)}
    kept = sum(key.startswith("hot-0") for key, _ in plain.most_common(34))
    size = len(hotkeys.encode(unit.summarize(now)))
    print(f"old keys: sketch 0, plain {kept}; {size} bytes, {len(plain)} plain counts")
    for rate in hotkeys.get_loads(summary).values():
        assert rate == pytest.approx(400 / 34, rel=0.5)
    few = unit.summarize(now, least=5.0)
    assert set(few.keys) == set(summary.keys) and few.floor < 5.0
    assert len(unit.counters) == len(unit.heap) == hotkeys.COUNTERS
    assert size <= 2_000


def test_counts_survive_a_rescale():
    # Guards against an overflow after hours of running.
    unit = hotkeys.Sketch(4)
    for second in range(0, 20_000, 2):
        unit.add("steady", second * SECOND)
    [hot] = unit.summarize(20_000 * SECOND).keys
    assert hot.rate == pytest.approx(0.5, rel=0.1)


def test_decode_refuses_bytes_that_are_cut_off():
    # Guards against a half summary that is taken for a whole one.
    encoded = hotkeys.encode(hotkeys.Summary((hotkeys.HotKey("УБА-1", 2.0, 1.0),), 0.5))
    assert hotkeys.decode(encoded).keys[0] == ("УБА-1", 2.0, 1.0)
    for end in range(len(encoded)):
        with pytest.raises(ValueError):
            hotkeys.decode(encoded[:end])


def test_shard_loads_follow_the_rate_and_agree_with_the_sketch():
    # Guards against a hot key whose rate exceeds that of its own shard.
    unit, sketch = shardloads.ShardLoads(4), hotkeys.Sketch()
    for step in range(50_000):
        unit.add(2, step * SECOND / 10)
        sketch.add("key", step * SECOND / 10)
    rates = unit.compute_rates(5000 * SECOND)
    [hot] = sketch.summarize(5000 * SECOND).keys
    assert rates[2] == pytest.approx(10, rel=0.1) and rates[0] == 0
    assert hot.rate == pytest.approx(rates[2])
