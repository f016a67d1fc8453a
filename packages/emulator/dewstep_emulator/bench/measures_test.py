import pytest

from dewstep_emulator.bench import generator, load_client, measures


def build_record(
    scheduled, outcome=load_client.ANSWERED, key="a-1", latency=0.1, tries=1, kind=0
):
    return generator.Record(
        scheduled, scheduled, scheduled + latency, kind, key, outcome, tries, ()
    )


def test_percentiles_are_in_milliseconds():
    found = measures.compute_percentiles([0.001] * 99 + [0.5])
    assert found["p50"] == pytest.approx(1.0, rel=0.01)
    assert found["p99.9"] == pytest.approx(500, rel=0.01)
    assert measures.compute_percentiles([]) == {}


def test_imbalance_is_bounded_by_the_hottest_key():
    # A key cannot be split, so a target that serves only one key is not imbalanced.
    found = measures.compute_imbalance({"t1": 60, "t2": 40}, {"k": 60}, 2)
    assert found == measures.Imbalance(1.2, 1.0)
    assert measures.compute_imbalance({}, {}, 2) == measures.Imbalance(0.0, 0.0)


def test_loads_follow_owners_and_overrides():
    loads = measures.compute_loads({"a-1": 1, "a-2": 3}, ["t1"], {"a-2": "t2"})
    assert loads == {"t1": 1, "t2": 3}


def test_churn_is_relative_to_the_required_moves():
    found = measures.compute_churn(["a", "a", "b"], ["b", "c", "b"], [], 1)
    assert found.shards == pytest.approx(2 / 3) and found.over_least == 2
    assert measures.compute_churn(["a"], ["a"], ["k"], 0) == (0.0, 0.0, None)


def test_unavailable_time_ends_with_the_next_answered_request(monkeypatch):
    monkeypatch.setattr(measures, "MIN_REQUESTS", 1)
    records = [
        build_record(0),
        build_record(1, load_client.BROKEN),
        build_record(2, load_client.NOT_RUN),
        build_record(4),
    ]
    found = measures.compute_unavailability(
        {"t1": records, "t2": [build_record(3)]}, 0.5
    )
    assert found["longest_s"] == 3 and found["spells"] == 1
    assert found["restored_last"] == "t1"
    assert found["restored_s"] == pytest.approx(3.6)


def test_unavailable_time_without_later_answer_lasts_to_the_end(monkeypatch):
    monkeypatch.setattr(measures, "MIN_REQUESTS", 1)
    # Guards against reporting a target that never recovers as always available.
    records = [
        build_record(0),
        build_record(1, load_client.BROKEN),
        build_record(5, load_client.BROKEN),
    ]
    found = measures.compute_unavailability(
        {"t1": records, "t2": [build_record(3)]}, 0.5
    )
    assert found["longest_s"] == 4 and found["restored_s"] is None


def test_restoration_ignores_targets_with_few_requests():
    found = measures.compute_unavailability({"t1": [build_record(9)]}, 0.0)
    assert found["restored_s"] is None and found["restored_last"] == ""


def test_answered_requests_are_weighted_by_kind():
    records = [build_record(0), build_record(1, load_client.UNKNOWN, kind=1)]
    found = measures.compute_answered(records, [1.0, 9.0])
    assert found["answered"] == 0.5 and found["answered_weighted"] == 0.1


def test_records_are_grouped_by_owner():
    groups = measures.group_by_owner([build_record(0)], {"a": ["t1"]}, ["a"])
    assert list(groups) == ["t1"]


def test_latency_counts_from_the_schedule_and_retries_are_added():
    late = build_record(1.0, latency=2.0, tries=3)._replace(sent=2.5)
    assert measures.get_latencies([late]) == [2.0]
    found = measures.compute_retries([late], 2)
    assert found == {"callers": 2.0, "runs_per_request": 2.0}
