import datetime

import pytest

from dewstep_core import errors, fields, settings

SECOND = datetime.timedelta(seconds=1)


@pytest.mark.parametrize(
    ("check", "valid", "invalid"),
    [
        (fields.expect_name(), "ub-1.a", ["", "a/b", "a b", "é", 1, "a\n", "x" * 65]),
        (fields.expect_boolean(), True, [1, "true", None]),
        (fields.expect_integer(1, 9), 9, [0, 10, True, 1.0, "1"]),
        (fields.expect_number(0, 9), 0.0, [-1, 9.5, float("nan"), True, "1"]),
        (fields.expect_choice("a", "b"), "a", ["c", ["a"], None]),
        (fields.expect_host(), "::1", ["localhost", "127.0.0.1:80", 1, "", "::1%\0"]),
        (fields.expect_list(fields.expect_name(), 1), ["a"], [[], "a", ["a", ""]]),
    ],
)
def test_checks_refuse_values_that_only_resemble_valid_ones(check, valid, invalid):
    assert check.read(valid) is not None
    assert [check.read(value) for value in invalid] == [None] * len(invalid)


def test_durations_outside_their_bounds_are_refused():
    check = fields.expect_duration(SECOND, 60 * SECOND)
    assert check.read("1m") == 60 * SECOND
    assert (check.read("999ms"), check.read("61s"), check.read(1)) == (None,) * 3
    check = fields.expect_milliseconds(SECOND, 60 * SECOND)
    assert check.read(1000) == SECOND
    assert (check.read(999), check.read("1000"), check.read(1e3)) == (None,) * 3


@pytest.mark.parametrize(
    "text", ["localhost:80", "127.0.0.1", "127.0.0.1:0", "::1:80", "[::1]:x", ":80"]
)
def test_addresses_without_an_ip_address_and_a_port_are_refused(text):
    assert fields.read_address(text) is None
    assert fields.read_address("[::1]:80") == settings.Address("::1", 80)


def test_reader_reports_all_problems_in_one_pass():
    problems = []
    table = {"port": 0, "extra": 1, "inner": [{"name": 3}, 4], "list": {}}
    reader = fields.Reader(table, "f.toml", "top", problems)
    reader.read("port", fields.expect_integer(1, 9))
    reader.read("name", fields.expect_name())
    for inner in reader.open_tables("inner"):
        inner.read("name", fields.expect_name())
    assert reader.open_tables("list") == ()
    assert reader.read("absent", fields.expect_name(), "default") == "default"
    reader.report_unknown_fields()
    places = [problem.place for problem in problems]
    assert places == [
        "top.port",
        "top.name",
        "top.inner[1]",
        "top.inner[0].name",
        "top.list",
        "top.extra",
    ]


@pytest.mark.parametrize("text", ["a = ", "a = 1\na = 2", "d = 2026-02-30"])
def test_parse_toml_returns_its_failure(text):
    (problem,) = fields.parse_toml("f.toml", text).failure()
    assert problem.expected == "TOML"


def test_read_text_returns_its_failure(tmp_path):
    missing, binary = tmp_path / "missing", tmp_path / "binary"
    binary.write_bytes(b"\xff\xfe")
    for path in (missing, binary):
        (problem,) = fields.read_text(str(path)).failure()
        assert problem.file == str(path)


def test_describe_problem_names_file_place_and_expectation():
    invalid = errors.FieldWrong("a.toml", "x.y", "a name", "3")
    assert fields.describe_problem(invalid) == "a.toml: x.y: expected a name, found 3"
    unknown = errors.SchemaUnknown("a.toml", "x.schema", "9")
    assert "version 9 is not known" in fields.describe_problem(unknown)


def test_value_that_is_nested_deeply_is_quoted_in_short():
    # Guards against a RecursionError while a refused value is reported.
    value = []
    for _ in range(100_000):
        value = [value]
    assert len(fields.quote(value)) <= fields.MAXIMUM_QUOTED_CHARACTERS
