"""Reports of commands: tables for people, one JSON document for programs."""

import datetime
import json
import sys
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple, Protocol

import rich.console
import rich.markup
import rich.table

from dewstep_core import durations
from dewstep_operator import failures

PIPE_COLUMNS = 200
"""Width of tables where no terminal sets one. At rich's default of 80 columns the
widest tables break names apart, so that a search in the output misses them."""


class Table(NamedTuple):
    """A table for people."""

    title: str
    columns: tuple[str, ...]
    rows: tuple[tuple[Any, ...], ...]


class Report(NamedTuple):
    """What a command that did its work has to say."""

    document: Any
    """For programs; converted with `convert_to_json`."""
    lines: tuple[str, ...] = ()
    tables: tuple[Table, ...] = ()


class Output(Protocol):
    """Where reports and progress go."""

    def show(self, report: Report) -> None:
        """Show the report of a command that did its work."""

    def show_failures(self, found: Iterable[failures.Failure]) -> None:
        """Show why a command did not do its work."""

    def show_progress(self, text: str) -> None:
        """Show the present state of a command that waits."""


class ProgressLines:
    """Writes progress to standard error, one line for each change."""

    def __init__(self):
        self.last = ""

    def show_progress(self, text: str) -> None:
        """Write `text` unless it is what was last written."""
        if text != self.last:
            print(text, file=sys.stderr, flush=True)
            self.last = text


class PeopleOutput(ProgressLines):
    """Tables and sentences."""

    def show(self, report: Report) -> None:
        """Print the lines, then the tables."""
        width = None if sys.stdout.isatty() else PIPE_COLUMNS
        console = rich.console.Console(highlight=False, width=width)
        for line in report.lines:
            console.print(rich.markup.escape(line), soft_wrap=True)
        for table in report.tables:
            console.print(draw_table(table))

    def show_failures(self, found: Iterable[failures.Failure]) -> None:
        """Print one line for each failure on standard error."""
        for failure in found:
            print(failures.describe_failure(failure), file=sys.stderr)


class ProgramOutput(ProgressLines):
    """One JSON document on standard output, also for failures."""

    def show(self, report: Report) -> None:
        """Print the document of the report."""
        print(json.dumps(convert_to_json(report.document), ensure_ascii=False))

    def show_failures(self, found: Iterable[failures.Failure]) -> None:
        """Print the failures with their types and fields."""
        items = [
            {
                "type": type(failure).__name__,
                "detail": failures.describe_failure(failure),
                **convert_to_json(failure),
            }
            for failure in found
        ]
        print(json.dumps({"failures": items}, ensure_ascii=False))


def draw_table(table: Table) -> rich.table.Table:
    """Return `table` in the form that rich prints."""
    drawn = rich.table.Table(
        title=rich.markup.escape(table.title), title_justify="left"
    )
    for column in table.columns:
        drawn.add_column(column, overflow="fold")
    for row in table.rows:
        drawn.add_row(*(rich.markup.escape(format_cell(cell)) for cell in row))
    return drawn


def format_cell(value: Any) -> str:
    """Return `value` as it stands in a table."""
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, datetime.timedelta):
        return durations.format_duration(value)
    if isinstance(value, list):
        return ", ".join(map(str, value))
    return str(value)


def convert_to_json(value: Any) -> Any:
    """Return `value` in types that JSON has; tuples with fields become objects."""
    if isinstance(value, datetime.timedelta):
        return durations.format_duration(value)
    if hasattr(value, "_asdict"):
        return convert_to_json(value._asdict())
    if isinstance(value, Mapping):
        return {str(key): convert_to_json(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [convert_to_json(item) for item in value]
    return value
