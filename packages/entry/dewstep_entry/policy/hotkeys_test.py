import collections
import datetime
import random

import pytest
from hypothesis import given, strategies

from dewstep_entry.policy import hotkeys, shardloads

SECOND = datetime.timedelta(seconds=1)
ZERO = datetime.timedelta()


@given(strategies.lists(strategies.integers(0, 40), max_size=400))
def test_true_rates_are_within_the_error_bounds(stream):
    # Guards against violations of the error bounds that Space-Saving guarantees, which
    # would hide hot keys.
    sketch, true_counts = hotkeys.Sketch(8), collections.Counter()
    for number in stream:
        sketch.add(str(number), ZERO)
        true_counts[str(number)] += 1
    scale = sketch.scale.compute_rate(1.0, ZERO)
    summary = sketch.summarize(ZERO, 8)
    listed = {hot.key: hot for hot in summary.keys}
    for key, count in true_counts.items():
        if key in listed:
            rate, error = listed[key].rate / scale, listed[key].error / scale
            assert rate - error - 1e-6 <= count <= rate + 1e-6
        else:
            assert count <= summary.unlisted_bound / scale + 1e-6
            assert count <= len(stream) / 8
    decoded = hotkeys.decode(hotkeys.encode(summary))
    assert [hot.key for hot in decoded.keys] == [hot.key for hot in summary.keys]


@given(
    strategies.lists(
        strategies.lists(strategies.integers(0, 30), max_size=100), max_size=4
    )
)
def test_merge_keeps_the_error_bounds(streams):
    # Guards against overlooking a key that is hot only in the sum over all processes.
    true_counts, parts = collections.Counter(), []
    for stream in streams:
        sketch = hotkeys.Sketch(8)
        for number in stream:
            sketch.add(str(number), ZERO)
            true_counts[str(number)] += 1
        parts.append(sketch.summarize(ZERO, 8))
    scale = hotkeys.Sketch().scale.compute_rate(1.0, ZERO)
    merged = hotkeys.merge(parts, 10)
    listed = {hot.key: hot for hot in merged.keys}
    for key, count in true_counts.items():
        if key in listed:
            rate, error = listed[key].rate / scale, listed[key].error / scale
            assert rate - error - 1e-6 <= count <= rate + 1e-6
        else:
            assert count <= merged.unlisted_bound / scale + 1e-6


def test_new_hot_keys_replace_old_ones():
    # Guards against keys that remain listed although they are no longer hot, as they
    # would with counts that do not decay.
    generator, sketch, plain_counts = (
        random.Random(1),
        hotkeys.Sketch(),
        collections.Counter(),
    )
    for second in range(240):
        now, phase = second * SECOND, second // 120
        for _ in range(1000):
            hot = generator.random() < 0.4
            number = generator.randrange(34) if hot else generator.randrange(10**6)
            key = f"hot-{phase}-{number}" if hot else f"cold-{number}"
            sketch.add(key, now)
            plain_counts[key] += 1
    summary = sketch.summarize(now, 34)
    assert {hot.key for hot in summary.keys} == {f"hot-1-{n}" for n in range(34)}
    kept = sum(key.startswith("hot-0") for key, _ in plain_counts.most_common(34))
    size = len(hotkeys.encode(sketch.summarize(now)))
    print(
        f"old keys: sketch 0, plain counts {kept}; "
        f"{size} bytes, {len(plain_counts)} plain counts"
    )
    for rate in hotkeys.compute_rate_bounds(summary).values():
        assert rate == pytest.approx(400 / 34, rel=0.5)
    filtered = sketch.summarize(now, min_rate=5.0)
    assert set(filtered.keys) == set(summary.keys) and filtered.unlisted_bound < 5.0
    assert len(sketch.counters) == len(sketch.heap) == hotkeys.COUNTER_LIMIT
    assert size <= 2_000


def test_rescaling_keeps_the_rate():
    # Guards against an overflow after a long uptime.
    sketch = hotkeys.Sketch(4)
    for second in range(0, 20_000, 2):
        sketch.add("steady", second * SECOND)
    [hot] = sketch.summarize(20_000 * SECOND).keys
    assert hot.rate == pytest.approx(0.5, rel=0.1)


def test_decode_refuses_truncated_bytes():
    # Guards against accepting a truncated summary as a complete one.
    encoded = hotkeys.encode(hotkeys.Summary((hotkeys.HotKey("УБА-1", 2.0, 1.0),), 0.5))
    assert hotkeys.decode(encoded).keys[0] == ("УБА-1", 2.0, 1.0)
    for end in range(len(encoded)):
        with pytest.raises(ValueError):
            hotkeys.decode(encoded[:end])


def test_shard_loads_agree_with_the_sketch():
    # Guards against a hot key whose rate exceeds the rate of its shard.
    shard_loads, sketch = shardloads.ShardLoads(4), hotkeys.Sketch()
    for step in range(50_000):
        shard_loads.add(2, step * SECOND / 10)
        sketch.add("key", step * SECOND / 10)
    rates = shard_loads.compute_rates(5000 * SECOND)
    [hot] = sketch.summarize(5000 * SECOND).keys
    assert rates[2] == pytest.approx(10, rel=0.1) and rates[0] == 0
    assert hot.rate == pytest.approx(rates[2])
