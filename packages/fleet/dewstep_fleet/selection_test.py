"""Tests of the choice of a target for different load patterns."""

import random

from dewstep_fleet import builders, frames, load_counts, selection

NOW = 100.0


def choose_name(targets, counts, exchange_bytes=2_000, excluded=frozenset(), seed=1):
    generator = random.Random(seed)
    choice = selection.choose_target(
        targets, counts, NOW, "dc-1", exchange_bytes, generator, frozenset(excluded)
    )
    return None if choice is None else choice.target.name


def build_counts(**running):
    counts = load_counts.Loads()
    for name, number in running.items():
        counts.get_load(name).running = number
    return counts


def observe(counts, target, seconds, succeeded=True, times=20, route="r"):
    for _ in range(times):
        counts.begin_request(target)
        counts.end_request("history", target, NOW, seconds, succeeded, True, route)


def build_targets(*names, **changes):
    return [builders.build_target(name, **changes) for name in names]


def test_free_slot_is_preferred_to_a_queue():
    assert choose_name(build_targets("a", "b"), build_counts(a=6, b=1)) == "b"


def test_fast_target_is_preferred_even_with_more_requests():
    # Guards against ignoring that targets differ in speed by more than a factor of two.
    counts = load_counts.Loads()
    for _ in range(10):
        observe(counts, "slow", 0.4, times=2)
        observe(counts, "fast", 0.15, times=2)
    counts.get_load("fast").running = 3
    assert choose_name(build_targets("slow", "fast"), counts) == "fast"


def test_requests_with_little_work_do_not_count_as_speed():
    # Guards against sending all requests to a target whose answers were short because
    # its requests needed little work, which overloads it.
    counts = load_counts.Loads()
    for name in "ab":
        observe(counts, name, 0.3)
        observe(counts, name, 0.001, route="check")
    observe(counts, "a", 0.001, times=100, route="check")
    estimates = [counts.estimate("history", name, NOW, 4, "r") for name in "ab"]
    assert estimates[0].service > 0.7 * estimates[1].service


def test_partly_failing_target_is_avoided():
    # Guards against preferring a partly failing target because its failures are fast.
    counts = load_counts.Loads()
    observe(counts, "healthy", 0.2)
    observe(counts, "failing", 0.2, times=5)
    observe(counts, "failing", 0.01, succeeded=False)
    assert choose_name(build_targets("healthy", "failing"), counts) == "healthy"


def test_failing_target_is_tried_again_later():
    counts = load_counts.Loads()
    observe(counts, "failing", 0.01, succeeded=False, times=20)
    later = NOW + 10 * load_counts.SUCCESS_HALF_LIFE_S
    assert counts.estimate("history", "failing", later).success > 0.8


def test_unreachable_target_is_only_used_without_alternatives():
    counts = load_counts.Loads()
    counts.avoid_until("a", NOW + 1)
    assert choose_name(build_targets("a", "b"), counts) == "b"
    assert choose_name(build_targets("a"), counts) == "a"


def test_large_body_stays_in_its_data_centre():
    # Guards against sending uploads to another data centre to save a few ms.
    near = builders.build_target("near")
    far = builders.build_target("far", data_centre="dc-2")
    counts = build_counts(near=5)
    assert choose_name([near, far], counts, exchange_bytes=1_000) == "far"
    assert choose_name([near, far], counts, exchange_bytes=60_000) == "near"


def test_leaving_and_excluded_targets_are_not_chosen():
    targets = [*build_targets("a"), *build_targets("b", leaving=True)]
    assert choose_name(targets, load_counts.Loads()) == "a"
    assert choose_name(targets, load_counts.Loads(), excluded={"a"}) is None


def test_instances_choose_different_targets_among_equal_ones():
    # Guards against all instances choosing the same target.
    chosen = {
        choose_name(build_targets("a", "b", "c"), load_counts.Loads(), seed=seed)
        for seed in range(30)
    }
    assert chosen == {"a", "b", "c"}


def build_total(target, running):
    return frames.Total(frames.hash_target_name(target), running, 1.0)


def test_requests_of_other_instances_are_counted():
    counts = build_counts(a=0)
    counts.apply_totals((build_total("a", 8),), NOW)
    assert choose_name(build_targets("a", "b"), counts) == "b"


def test_own_requests_are_not_counted_twice():
    counts = build_counts(a=3)
    counts.collect_report()
    counts.apply_totals((build_total("a", 5),), NOW)
    assert counts.estimate("history", "a", NOW).running == 5


def test_old_totals_are_not_used():
    counts = build_counts(a=0)
    counts.apply_totals((build_total("a", 8),), NOW)
    later = NOW + load_counts.MAX_TOTALS_AGE.total_seconds() + 1
    assert counts.estimate("history", "a", later).running == 0


def test_loads_of_removed_targets_are_discarded():
    counts = build_counts(a=0, b=1)
    counts.set_targets({"c"}, 0.0)
    assert set(counts.by_target) == {"b", "c"}
