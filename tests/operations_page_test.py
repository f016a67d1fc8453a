"""Compares the events, fields and metrics in docs/OPERATIONS.md with the code."""

import ast
import pathlib
import re
import typing

from dewstep_core import errors
from dewstep_entry import dump

ROOT = pathlib.Path(__file__).parents[1]
PAGE = (ROOT / "docs/OPERATIONS.md").read_text()


def find_sources(*folders):
    """Return the modules in folders, without tests."""
    return [
        path
        for folder in folders
        for path in (ROOT / folder).glob("dewstep_*/**/*.py")
        if not path.name.endswith("_test.py")
    ]


SOURCES = find_sources("packages/core", "packages/entry")
FLEET_SOURCES = find_sources("packages/fleet", "platform")
LEVELS = ("info", "warning", "error", "exception")


def read_table(section):
    """Return the cells of all table rows in a section of the page."""
    text = PAGE.split(f"\n## {section}\n")[1].split("\n## ")[0]
    rows = [line for line in text.splitlines() if line.startswith("| `")]
    return [[cell.strip() for cell in row.strip("|").split(" | ")] for row in rows]


def list_names(cell):
    return set(re.findall(r"`([^`]+)`", cell))


def find_events(sources=tuple(SOURCES)):
    """Return the fields of each event that the sources log."""
    found = {"lines_left_out": {"name", "count"}}
    for path in sources:
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not isinstance(
                node.func, ast.Attribute
            ):
                continue
            owner = getattr(node.func.value, "id", "")
            assert owner != "logging" or path.name in ("events.py", "main.py"), path
            if owner == "events" and node.func.attr in LEVELS:
                fields = found.setdefault(node.args[0].value, set())
                fields.update(keyword.arg for keyword in node.keywords)
                if node.func.attr == "exception":
                    fields.update(("error", "trace"))
    return found


def test_page_lists_each_event_with_its_fields():
    # Guards against alarms on events that the code no longer logs.
    listed = {
        name: list_names(fields)
        for names, _, fields, *_ in read_table("Log events")
        for name in list_names(names)
    }
    assert listed == find_events()


def test_page_lists_each_event_of_the_fleet_with_its_fields():
    # Guards against searches for events that the fleet no longer logs.
    text = PAGE.split("\n### Log events of the fleet\n")[1]
    listed = {}
    for line in text.splitlines():
        if line.startswith("| `"):
            names, _, fields = line.strip("|").split(" | ")
            listed.update(dict.fromkeys(list_names(names), list_names(fields)))
    found = find_events(tuple(FLEET_SOURCES))
    del found["lines_left_out"]
    assert listed == found


def test_page_lists_each_field_of_the_state_dump():
    # Guards against undocumented fields in a dump.
    cells = [cell for row in read_table("State dump") for cell in row]
    listed = set().union(*map(list_names, cells))
    fields = set()
    for kind in vars(dump).values():
        if typing.is_typeddict(kind):
            fields.update(kind.__annotations__)
    assert fields <= listed
    assert f"version of this form: {dump.DUMP_VERSION}" in PAGE


def test_alarms_use_existing_metrics_events_and_failures():
    # Guards against an alarm on a name that the code never emits.
    metrics = {name for row in read_table("Metrics") for name in list_names(row[0])}
    rows = [row for row in PAGE.split("\n## Alarms\n")[1].splitlines() if "| " in row]
    watched = set().union(*(list_names(row.split(" | ")[1]) for row in rows))
    for name in (name for name in watched if "." in name):
        prefix, _, rest = name.partition(".")
        if prefix == "events":
            assert rest in find_events(), name
        elif prefix == "failures":
            assert rest in errors.answer_rules, name
        elif prefix == "table" and rest.startswith("failures."):
            assert hasattr(errors, rest.partition(".")[2]), name
        elif name not in metrics:
            assert prefix in ("gates", "latency"), name
