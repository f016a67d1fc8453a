from dewstep_emulator.bench import reporting

BEFORE = {
    "name": "x",
    "answered": {"answered": 1.0},
    "latency_ms": {"p50": 10.0, "p99": 20.0},
    "entry_tier": {"processor_us_per_request": 500.0},
}


def build_report(**values):
    return {**BEFORE, **values}


def test_compare_reports_returns_nothing_for_equal_reports():
    assert reporting.compare_reports(BEFORE, BEFORE) == []


def test_compare_reports_returns_measures_beyond_their_bounds():
    after = build_report(
        answered={"answered": 0.9}, entry_tier={"processor_us_per_request": 700.0}
    )
    paths = {item.path for item in reporting.compare_reports(BEFORE, after)}
    assert paths == {"answered.answered", "entry_tier.processor_us_per_request"}


def test_compare_reports_ignores_small_differences_and_improvements():
    after = build_report(latency_ms={"p50": 11.9, "p99": 5.0})
    assert reporting.compare_reports(BEFORE, after) == []


def test_flatten_report_omits_lists():
    flat = dict(reporting.flatten_report({"a": {"b": 1}, "c": [1]}))
    assert flat == {"a.b": 1}
