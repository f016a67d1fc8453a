"""Tests that the examples and docs/configuration.md agree with the code."""

import collections
import datetime
import pathlib
import re
import textwrap
import typing

from returns import result

from dewstep_core import data, record_changes, records, settings, settings_file
from dewstep_operator import failures, main, sessions

ROOT = pathlib.Path(__file__).parents[1]
CONFIGURATION_PAGE = (ROOT / "docs/configuration.md").read_text()
OPERATORS_PAGE = (ROOT / "docs/OPERATIONS.md").read_text()


def count_targets(name):
    parsed = records.parse_files([str(ROOT / "examples" / name)]).unwrap()
    targets = parsed.targets.values()
    centres = {target.data_centre for target in targets}
    assert len({(target.host, target.port) for target in targets}) == len(targets)
    assert {target.host for target in targets} == {"127.0.0.1"}
    assert {raw["schema"] for raw in parsed.records["service"]} <= {1, 2}
    return (
        collections.Counter(target.service for target in targets),
        len(centres),
        {(target.slots, target.connections) for target in targets},
    )


def test_examples_have_the_sizes_of_the_documented_deployments():
    sizes = {"history": 20, "booker": 6, "intake": 6}
    assert count_targets("tsagaan.toml") == (sizes, 3, {(4, 110)})
    sizes = {"status": 20, "registration": 10, "documents": 8}
    assert count_targets("division.toml") == (sizes, 4, {(3, 50)})


def test_example_settings_are_valid_and_consistent():
    loaded = settings_file.read_settings(str(ROOT / "examples/entry.toml"))
    assert isinstance(loaded, result.Success), loaded
    found = sessions.read_settings(str(ROOT / "examples/operator.toml"))
    assert found.unwrap().table == loaded.unwrap().table_addresses


def test_documented_records_are_equivalent_in_both_schema_versions():
    blocks = re.findall(r"((?:^    .*\n|^\n)+)", CONFIGURATION_PAGE, re.MULTILINE)
    texts = [textwrap.dedent(block) for block in blocks if "[[service]]" in block]
    first, second = (records.parse_texts([("", text)]).unwrap() for text in texts)
    assert record_changes.compare_configurations(first, second) == (
        record_changes.Changed("service", "history", "schema", 1, 2),
    )


def test_configuration_page_lists_every_field_with_its_default():
    # Guards against a default that was changed in the code but not on the page.
    rows = collections.defaultdict(str)
    for name, rest in re.findall(r"^\| `(\w+)` (\|.*)$", CONFIGURATION_PAGE, re.M):
        # Some field names occur in several tables.
        rows[name] += rest
    tables = (settings.CallerLimits, settings.GrantSettings, settings.PeerSettings)
    for kind in (settings.Settings, *tables):
        for name, hint in typing.get_type_hints(kind).items():
            default = kind._field_defaults.get(name)
            if hint in tables:
                continue
            if isinstance(default, datetime.timedelta):
                check = settings_file.CHECKS[datetime.timedelta]
                texts = re.findall(r'`"(\w+)"`', rows[name])
                assert check.read(texts[0]) == default, name
            elif isinstance(default, bool):
                # TOML booleans are in lower case.
                assert f"| `{str(default).lower()}` |" in rows[name], name
            elif isinstance(default, int | float):
                assert f"| `{default}` |" in rows[name], name
            else:
                assert name in rows.keys()
    for kind in (data.RequestKind, data.Target):
        assert set(kind._fields) <= rows.keys()


def test_operators_page_lists_every_command_and_exit_code():
    groups = [f"quarantine {c.name}" for c in main.quarantine_app.registered_commands]
    names = [c.name or c.callback.__name__ for c in main.app.registered_commands]
    for name in names + groups:
        assert f"### `{name}" in OPERATORS_PAGE, name
    codes = re.findall(r"^\| (\d) \|", OPERATORS_PAGE, re.MULTILINE)
    used = {failures.exit_rules.get(name).code for name in failures.exit_rules}
    assert {int(code) for code in codes} == used | {failures.DONE}
