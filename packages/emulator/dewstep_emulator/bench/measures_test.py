import pytest

from dewstep_emulator.bench import generator, measures, wires


def record(scheduled, outcome=wires.ANSWERED, key="a-1", took=0.1, tries=1, kind=0):
    return generator.Record(
        scheduled, scheduled, scheduled + took, kind, key, outcome, tries, ()
    )


def test_percentiles_are_in_milliseconds():
    found = measures.compute_percentiles([0.001] * 99 + [0.5])
    assert found["p50"] == pytest.approx(1.0, rel=0.01)
    assert found["p99.9"] == pytest.approx(500, rel=0.01)
    assert measures.compute_percentiles([]) == {}


def test_imbalance_is_bounded_by_the_hottest_key():
    # A key cannot be split: a target that serves only it is not out of balance.
    found = measures.compute_imbalance({"t1": 60, "t2": 40}, {"k": 60}, 2)
    assert found == measures.Imbalance(1.2, 1.0)
    assert measures.compute_imbalance({}, {}, 2) == measures.Imbalance(0.0, 0.0)


def test_loads_follow_owners_and_overrides():
    loads = measures.compute_loads({"a-1": 1, "a-2": 3}, ["t1"], {"a-2": "t2"})
    assert loads == {"t1": 1, "t2": 3}


def test_churn_counts_moves_over_the_least():
    found = measures.compute_churn(["a", "a", "b"], ["b", "c", "b"], [], 1)
    assert found.shards == pytest.approx(2 / 3) and found.over_least == 2
    assert measures.compute_churn(["a"], ["a"], ["k"], 0) == (0.0, 0.0, None)


def test_unavailable_time_ends_with_the_next_answered_request():
    line = [record(0), record(1, wires.BROKEN), record(2, wires.NOT_RUN), record(4)]
    found = measures.compute_unavailable({"t1": line, "t2": [record(3)]}, 0.5)
    assert found["longest_s"] == 3 and found["spells"] == 1
    assert found["restored_last"] == "t1"
    assert found["restored_s"] == pytest.approx(3.6)


def test_unavailable_time_without_a_later_answer_lasts_to_the_end():
    # A target that never returns must not look as good as one that always answered.
    line = [record(0), record(1, wires.BROKEN), record(5, wires.BROKEN)]
    found = measures.compute_unavailable({"t1": line, "t2": [record(3)]}, 0.5)
    assert found["longest_s"] == 4 and found["restored_s"] is None


def test_answered_requests_are_weighted_by_kind():
    records = [record(0), record(1, wires.UNKNOWN, kind=1)]
    found = measures.compute_answered(records, [1.0, 9.0])
    assert found["answered"] == 0.5 and found["answered_weighted"] == 0.1


def test_groups_follow_the_first_owners():
    groups = measures.find_groups([record(0)], {"a": ["t1"]}, ["a"])
    assert list(groups) == ["t1"]


def test_latency_counts_from_the_schedule_and_retries_are_added():
    late = record(1.0, took=2.0, tries=3)._replace(sent=2.5)
    assert measures.get_latencies([late]) == [2.0]
    found = measures.compute_retries([late], 2)
    assert found == {"callers": 2.0, "runs_per_request": 2.0}
