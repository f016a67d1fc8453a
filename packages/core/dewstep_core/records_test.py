import datetime
import json

import pytest
from hypothesis import given, strategies
from returns import result

from dewstep_core import data, errors, record_schemas, records

VERSION_1 = """
[[service]]
schema = 1
name = "history"
key = "path"
[[service.kind]]
name = "due"
method = "GET"
path = "/history/{key}/due"
idempotent = true
weight = 2
deadline_ms = 1500
[[service.kind]]
name = "note"
method = "POST"
path = "/history/{key}/note"
idempotent = false
deadline_ms = 2000
[[target]]
schema = 1
name = "h1"
service = "history"
data_centre = "ub1"
host = "127.0.0.1"
port = 7001
slots = 4
connections = 110
fenced = true
"""
VERSION_2 = """
[[service]]
schema = 2
name = "booker"
key = {source = "header", name = "X-Vin"}
outage_horizon = "30m"
[[service.kind]]
name = "book"
method = "POST"
path = "/bookings"
idempotent = false
deadline = "2s"
deduplication = "memory"
[[target]]
schema = 2
name = "b1"
service = "booker"
data_centre = "ub1"
host = "127.0.0.1"
port = 7002
slots = 4
connections = 110
fenced = false
draining = true
"""
BOTH_FILES = (("one.toml", VERSION_1), ("two.toml", VERSION_2))


def parse(*texts):
    return records.parse_texts([(f"{i}.toml", text) for i, text in enumerate(texts)])


def find_places(*texts):
    return {(item.file, item.place) for item in parse(*texts).failure()}


def test_both_schema_versions_are_parsed_into_the_same_tuples():
    configuration = records.parse_texts(BOTH_FILES, 7).unwrap()
    history, booker = (
        configuration.services["history"],
        configuration.services["booker"],
    )
    assert configuration.revision == 7
    assert history.key_part == data.KeyPart("path", "key")
    assert history.outage_horizon == datetime.timedelta(hours=4)
    assert [kind.deduplication for kind in history.kinds] == ["none", "table"]
    assert history.kinds[0].deadline == datetime.timedelta(milliseconds=1500)
    assert booker.key_part == data.KeyPart("header", "X-Vin")
    assert booker.outage_horizon == datetime.timedelta(minutes=30)
    assert booker.kinds[0].deduplication == "memory"
    assert configuration.targets["b1"].draining
    assert not configuration.targets["h1"].draining


@pytest.mark.parametrize(
    ("before", "after", "place"),
    [
        ("schema = 1\nname = \"history\"", "schema = 3\nname = \"history\"",
         "service[0].schema"),
        ("schema = 1\nname = \"h1\"", "schema = true\nname = \"h1\"",
         "target[0].schema"),
        ("schema = 1\nname = \"h1\"", "name = \"h1\"", "target[0].schema"),
        ('key = "path"', 'key = "cookie:x"', "service[0].key"),
        ('key = "path"', 'key = {source = "path"}', "service[0].key"),
        ("weight = 2", 'weight = "2"', "service[0].kind[0].weight"),
        ("deadline_ms = 2000", 'deadline = "2s"', "service[0].kind[1].deadline"),
        ("deadline_ms = 2000", "deadline_ms = 0", "service[0].kind[1].deadline_ms"),
        ("deadline_ms = 1500", 'deadline_ms = 1500\ndeduplication = "none"',
         "service[0].kind[0].deduplication"),
        ("/{key}/due", "/{key}/{key}", "service[0].kind[0].path"),
        ("/{key}/due", "/due", "service[0].kind[0].path"),
        ("/{key}/due", "/{key}/note?x", "service[0].kind[0].path"),
        ('name = "note"', 'name = "due"', "service[0].kind[1].name"),
        ('method = "POST"\npath = "/history/{key}/note"',
         'method = "GET"\npath = "/history/{key}/due"', "service[0].kind[1].path"),
        ("slots = 4", "slots = 0", "target[0].slots"),
        ("fenced = true", "fenced = 1", "target[0].fenced"),
        ('service = "history"', 'service = "story"', "target[0].service"),
        ("[[target]]", "[[server]]", "server"),
    ],
)  # fmt: skip
def test_an_invalid_field_is_reported_with_its_place(before, after, place):
    assert before in VERSION_1
    assert ("0.toml", place) in find_places(VERSION_1.replace(before, after, 1))


def test_problems_of_all_files_are_reported_at_once():
    # Guards against problems being reported one at a time, which costs an operator one
    # run per problem during an incident.
    second = VERSION_2.replace('"memory"', '"none"').replace('"30m"', '"30"')
    second = second.replace('"b1"', '"h1"').replace("X-Vin", "X Vin")
    assert find_places(VERSION_1.replace("port = 7001", ""), second, "[[") == {
        ("0.toml", "target[0].port"),
        ("1.toml", "service[0].kind[0].deduplication"),
        ("1.toml", "service[0].outage_horizon"),
        ("1.toml", "service[0].key.name"),
        ("1.toml", "target[0].name"),
        ("2.toml", ""),
    }


def test_an_invalid_service_name_is_not_reported_for_each_of_its_targets():
    text = VERSION_1.replace('name = "history"', 'name = "his tory"')
    assert find_places(text) == {("0.toml", "service[0].name")}


def test_services_do_not_share_a_name_or_a_method_and_path():
    assert find_places(VERSION_1, VERSION_1) == {
        ("1.toml", "service[0].name"),
        ("1.toml", "service[0].kind[0].path"),
        ("1.toml", "service[0].kind[1].path"),
        ("1.toml", "target[0].name"),
    }


def test_a_service_without_kinds_is_refused():
    text = 'service = [{schema = 1, name = "s", key = "path"}]'
    assert find_places(text) == {("0.toml", "service[0].kind")}


def test_an_unknown_schema_version_is_reported_as_schema_unknown():
    problems = parse(VERSION_1.replace("schema = 1", "schema = 9")).failure()
    assert errors.SchemaUnknown("0.toml", "service[0].schema", "9") in problems


def test_parse_files_reports_a_missing_file(tmp_path):
    good, missing = tmp_path / "good.toml", tmp_path / "missing.toml"
    good.write_text(VERSION_1)
    assert records.parse_files([str(good)]).unwrap().targets.keys() == {"h1"}
    (problem,) = records.parse_files([str(good), str(missing)]).failure()
    assert problem.file == str(missing)


def test_the_row_keeps_the_records_as_they_were_written():
    configuration = records.parse_texts(BOTH_FILES, 7).unwrap()
    origin = records.Origin(("op-1",), "ana@desk", "2026-12-03T20:00:00+00:00")
    row = json.loads(json.dumps(records.encode_configuration(configuration, origin)))
    assert row["records"]["service"][0]["kind"][0]["deadline_ms"] == 1500
    assert "draining" not in row["records"]["target"][0]
    decoded = records.decode_configuration(row).unwrap()
    assert decoded == configuration._replace(
        records={k: tuple(v) for k, v in row["records"].items()}
    )
    assert records.encode_configuration(decoded, origin) == row
    assert records.decode_origin(row) == origin


def test_a_changed_record_is_encoded_in_its_schema_version_if_possible():
    configuration = records.parse_texts(BOTH_FILES, 7).unwrap()
    target = configuration.targets["h1"]._replace(draining=True)
    service = configuration.services["history"]
    kinds = (service.kinds[0]._replace(deduplication="memory"), service.kinds[1])
    changed = configuration._replace(
        targets={**configuration.targets, "h1": target},
        services={**configuration.services, "history": service._replace(kinds=kinds)},
    )
    row = records.encode_configuration(changed)
    assert row["records"]["target"][0]["draining"] is True
    assert row["records"]["target"][0]["schema"] == 1
    # Version 1 cannot express a deduplication method.
    assert row["records"]["service"][0]["schema"] == 2
    decoded = records.decode_configuration(row).unwrap()
    assert decoded.services["history"].kinds == kinds


@pytest.mark.parametrize("version", ["1", "2"])
def test_records_written_in_either_schema_version_are_parsed_back(version):
    configuration = records.parse_texts(BOTH_FILES[:1]).unwrap()
    schema = record_schemas.schemas.get(version)()
    service, target = configuration.services["history"], configuration.targets["h1"]
    service = service._replace(schema=int(version))
    assert records.parse_record(schema.write_service(service), "service") == service
    assert records.parse_record(schema.write_target(target), "target") == target


@pytest.mark.parametrize(
    "row", [None, [], {}, {"revision": 0, "records": {}}, {"a": 1}]
)
def test_a_malformed_row_is_a_failure_and_not_an_exception(row):
    assert isinstance(records.decode_configuration(row), result.Failure)
    assert records.decode_origin(row) == records.NO_ORIGIN


@pytest.mark.parametrize("field", ["schema = 1", "weight = 2", "port = 7001"])
def test_a_number_that_cannot_be_printed_is_a_failure_and_not_an_exception(field):
    huge = f"{field.split()[0]} = 0x{'f' * 6000}"
    (problem, *_) = parse(VERSION_1.replace(field, huge, 1)).failure()
    assert problem.found == "a value too long to be shown"


FIELD_NAMES = strategies.sampled_from(
    ["schema", "name", "key", "kind", "service", "target", "path", "deadline", "x"]
)
VALUES = strategies.recursive(
    strategies.none() | strategies.booleans() | strategies.integers()
    | strategies.floats() | strategies.sampled_from([1, 2, "path", "a", "{key}", "1s"]),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(FIELD_NAMES, inner, max_size=4),
)  # fmt: skip


@given(VALUES, VALUES)
def test_no_content_of_a_row_raises_an_exception(service, target):
    row = {"revision": 1, "records": {"service": [service], "target": [target]}}
    assert isinstance(records.decode_configuration(row), result.Failure)
