"""Output of commands, as text with tables or as one JSON document."""

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

DEFAULT_TABLE_COLUMNS = 200
"""Width of tables if standard output is not a terminal. Rich's default of 80 columns
wraps names in wide tables, so that a search in the output misses them."""


class Table(NamedTuple):
    """A table of the text output."""

    title: str
    columns: tuple[str, ...]
    rows: tuple[tuple[Any, ...], ...]


class Report(NamedTuple):
    """The result of a successful command."""

    document: Any
    """Document of the JSON output; converted with `convert_to_json`."""
    lines: tuple[str, ...] = ()
    tables: tuple[Table, ...] = ()


class Output(Protocol):
    """Destination of reports, failures and progress."""

    def show_report(self, report: Report) -> None:
        """Show the report of a successful command."""

    def show_failures(self, found: Iterable[failures.Failure]) -> None:
        """Show the failures of a command."""

    def show_progress(self, text: str) -> None:
        """Show the progress of a command that waits."""


class ProgressWriter:
    """Writes progress to standard error, skipping repeated lines."""

    def __init__(self):
        self.last_text = ""

    def show_progress(self, text: str) -> None:
        """Write `text` unless it is the same as the last line."""
        if text != self.last_text:
            print(text, file=sys.stderr, flush=True)
            self.last_text = text


class TextOutput(ProgressWriter):
    """Output as text with tables."""

    def show_report(self, report: Report) -> None:
        """Print the lines, then the tables."""
        width = None if sys.stdout.isatty() else DEFAULT_TABLE_COLUMNS
        console = rich.console.Console(highlight=False, width=width)
        for line in report.lines:
            console.print(rich.markup.escape(line), soft_wrap=True)
        for table in report.tables:
            console.print(build_rich_table(table))

    def show_failures(self, found: Iterable[failures.Failure]) -> None:
        """Print one line for each failure on standard error."""
        for failure in found:
            print(failures.describe_failure(failure), file=sys.stderr)


class JsonOutput(ProgressWriter):
    """Output as one JSON document on standard output, also for failures."""

    def show_report(self, report: Report) -> None:
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


def build_rich_table(table: Table) -> rich.table.Table:
    """Convert `table` to a table of rich."""
    rich_table = rich.table.Table(
        title=rich.markup.escape(table.title), title_justify="left"
    )
    for column in table.columns:
        rich_table.add_column(column, overflow="fold")
    for row in table.rows:
        rich_table.add_row(*(rich.markup.escape(format_cell(cell)) for cell in row))
    return rich_table


def format_cell(value: Any) -> str:
    """Return the text of `value` in a table."""
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
    """Convert `value` to JSON types; named tuples become objects."""
    if isinstance(value, datetime.timedelta):
        return durations.format_duration(value)
    if hasattr(value, "_asdict"):
        return convert_to_json(value._asdict())
    if isinstance(value, Mapping):
        return {str(key): convert_to_json(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [convert_to_json(item) for item in value]
    return value
