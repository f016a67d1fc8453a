from dewstep_emulator.bench import report

BEFORE = {
    "name": "x",
    "answered": {"answered": 1.0},
    "latency_ms": {"p50": 10.0, "p99": 20.0},
    "entry_tier": {"processor_us_per_request": 500.0},
}


def change(**values):
    return {**BEFORE, **values}


def test_compare_finds_nothing_between_equal_reports():
    assert report.compare(BEFORE, BEFORE) == []


def test_compare_names_what_is_beyond_its_bound():
    after = change(
        answered={"answered": 0.9}, entry_tier={"processor_us_per_request": 700.0}
    )
    paths = {item.path for item in report.compare(BEFORE, after)}
    assert paths == {"answered.answered", "entry_tier.processor_us_per_request"}


def test_compare_ignores_small_absolute_differences_and_improvements():
    after = change(latency_ms={"p50": 11.9, "p99": 5.0})
    assert report.compare(BEFORE, after) == []


def test_flatten_leaves_out_lists():
    flat = dict(report.flatten({"a": {"b": 1}, "c": [1]}))
    assert flat == {"a.b": 1}
