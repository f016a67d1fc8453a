"""Validation of fields in TOML tables and JSON objects, for settings and records.

A `Reader` reads one table. Each read returns the validated value, or adds a problem and
returns None, so that one pass reports all invalid fields of a file. Results must only
be used if there are no problems.
"""

import datetime
import re
import tomllib
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from returns import result

from dewstep_core import durations, errors, settings, value_checks

Problem = errors.FieldWrong | errors.SchemaUnknown

REQUIRED = object()
"""Default that marks a field as required."""
MAXIMUM_QUOTED_CHARACTERS = 60
"""Invalid values are quoted up to this length, so that a problem fits on one line."""

MISSING = "nothing"
"""What a problem states as found if the field is absent."""
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}", re.ASCII)
"""Names become parts of row keys and URLs, so they contain no slash or space."""


class FieldCheck(NamedTuple):
    """The validation of a field: what it expects, and how it reads the value."""

    expected: str
    read: Callable[[Any], Any]
    """Returns the value in its final type, or None if it is invalid."""


def expect_text(pattern: re.Pattern, expected: str) -> FieldCheck:
    """Return the check for a string that fully matches `pattern`."""
    return FieldCheck(
        expected,
        lambda value: (
            value if isinstance(value, str) and pattern.fullmatch(value) else None
        ),
    )


def expect_name() -> FieldCheck:
    """Return the check for the name of a record or process."""
    return expect_text(
        NAME_PATTERN, "a name of 1 to 64 letters, digits, '.', '_' and '-'"
    )


def expect_choice(*choices: str) -> FieldCheck:
    """Return the check for one of `choices`."""
    return FieldCheck(
        "one of " + ", ".join(f'"{choice}"' for choice in choices),
        lambda value: value if isinstance(value, str) and value in choices else None,
    )


def expect_boolean() -> FieldCheck:
    """Return the check for true or false."""
    return FieldCheck(
        "true or false", lambda value: value if isinstance(value, bool) else None
    )


def expect_integer(minimum: int, maximum: int) -> FieldCheck:
    """Return the check for a whole number within bounds (inclusive)."""

    def read(value):
        # In Python a bool is an int; in TOML and JSON it is not.
        is_integer = isinstance(value, int) and not isinstance(value, bool)
        return value if is_integer and minimum <= value <= maximum else None

    return FieldCheck(f"a whole number from {minimum} to {maximum}", read)


def expect_number(minimum: float, maximum: float) -> FieldCheck:
    """Return the check for a finite number within bounds (inclusive)."""

    def read(value):
        if isinstance(value, bool) or not isinstance(value, int | float):
            return None
        # The comparison is false for NaN as well.
        return float(value) if minimum <= value <= maximum else None

    return FieldCheck(f"a number from {minimum:g} to {maximum:g}", read)


def expect_duration(
    minimum: datetime.timedelta, maximum: datetime.timedelta
) -> FieldCheck:
    """Return the check for a duration with its unit, such as "1500ms"."""

    def read(value):
        duration = durations.parse_duration(value) if isinstance(value, str) else None
        in_bounds = duration is not None and minimum <= duration <= maximum
        return duration if in_bounds else None

    return FieldCheck(
        f'a duration such as "1500ms", "2s" or "4h" from '
        f"{durations.format_duration(minimum)} to {durations.format_duration(maximum)}",
        read,
    )


def expect_milliseconds(
    minimum: datetime.timedelta, maximum: datetime.timedelta
) -> FieldCheck:
    """Return the check for a duration as a whole number of milliseconds."""
    millisecond = datetime.timedelta(milliseconds=1)
    integer_check = expect_integer(
        max(1, minimum // millisecond), maximum // millisecond
    )

    def read(value):
        count = integer_check.read(value)
        return None if count is None else count * millisecond

    return FieldCheck(f"{integer_check.expected} (milliseconds)", read)


def expect_host() -> FieldCheck:
    """Return the check for an IP address; host names are not resolved."""
    return FieldCheck("an IP address", read_host)


def read_host(value: Any) -> str | None:
    """Return `value` if it is an IP address, else None."""
    return value if value_checks.is_ip_address(value) else None


def expect_address() -> FieldCheck:
    """Return the check for an IP address with a port."""
    return FieldCheck(
        'an IP address and a port such as "127.0.0.1:7000" or "[::1]:7000"',
        read_address,
    )


def read_address(value: Any) -> settings.Address | None:
    """Return the parsed address, or None if `value` is not one."""
    if not isinstance(value, str):
        return None
    host, _, port = value.rpartition(":")
    bracketed = host.startswith("[") and host.endswith("]")
    host = host[1:-1] if bracketed else host
    if read_host(host) is None or (":" in host) != bracketed:
        return None
    if not re.fullmatch(r"[0-9]{1,5}", port, re.ASCII):
        return None
    return settings.Address(host, int(port)) if 0 < int(port) < 65536 else None


def expect_list(item: FieldCheck, minimum: int = 0) -> FieldCheck:
    """Return the check for a list whose items all pass the check `item`."""

    def read(value):
        if not isinstance(value, list) or len(value) < minimum:
            return None
        values = tuple(item.read(entry) for entry in value)
        return None if None in values else values

    return FieldCheck(f"a list of at least {minimum} items, each {item.expected}", read)


class Reader:
    """Reads and validates the fields of one table.

    Parameters
    ----------
    table : Any
        The table as the TOML or JSON parser returned it.
    file : str
        File or row that contains the table, used in problems.
    place : str
        Path of the table within the file, "" for the top-level table.
    problems : list of Problem
        Receives the problems. All readers of a file share it.
    """

    def __init__(self, table: Any, file: str, place: str, problems: list[Problem]):
        self.file = file
        self.place = place
        self.problems = problems
        self.known_fields: set[str] = set()
        self.is_table = isinstance(table, Mapping)
        self.table = table if self.is_table else {}
        if not self.is_table:
            self.add_problem("", "a table", quote(table))

    def locate(self, name: str) -> str:
        """Return the path of field `name`, or of the table if `name` is ""."""
        return ".".join(part for part in (self.place, name) if part)

    def add_problem(self, name: str, expected: str, found: str) -> None:
        """Add a problem with field `name`."""
        self.problems.append(
            errors.FieldWrong(self.file, self.locate(name), expected, found)
        )

    def read(self, name: str, check: FieldCheck, default: Any = REQUIRED) -> Any:
        """Return the validated field, `default` if absent, or None if invalid."""
        self.known_fields.add(name)
        if name not in self.table:
            if default is not REQUIRED:
                return default
            if self.is_table:
                self.add_problem(name, check.expected, MISSING)
            return None
        value = check.read(self.table[name])
        if value is None:
            self.add_problem(name, check.expected, quote(self.table[name]))
        return value

    def open_table(self, name: str) -> "Reader":
        """Return a reader of the table `name`; an absent table is read as empty."""
        self.known_fields.add(name)
        return Reader(
            self.table.get(name, {}), self.file, self.locate(name), self.problems
        )

    def open_tables(self, name: str) -> tuple["Reader", ...]:
        """Return readers of the tables in the array `name`."""
        self.known_fields.add(name)
        tables = self.table.get(name, [])
        if not isinstance(tables, list):
            self.add_problem(name, f"an array of tables [[{name}]]", quote(tables))
            return ()
        return tuple(
            Reader(table, self.file, self.locate(f"{name}[{index}]"), self.problems)
            for index, table in enumerate(tables)
        )

    def report_unknown_fields(self) -> None:
        """Add a problem for each field that has not been read, since it is unknown."""
        for name in self.table:
            if name not in self.known_fields:
                known_fields = ", ".join(sorted(self.known_fields))
                self.add_problem(
                    name, f"one of the fields {known_fields}", "an unknown field"
                )


def quote(value: Any) -> str:
    """Return the text of `value` for a problem, truncated if it is long."""
    if isinstance(value, bool):
        return "true" if value else "false"
    try:
        text = repr(value)
    except (ValueError, RecursionError):
        # Python refuses to convert integers with thousands of digits, which TOML
        # allows in hexadecimal notation, and values that are nested deeply.
        return "a value too long to be shown"
    if len(text) > MAXIMUM_QUOTED_CHARACTERS:
        return text[: MAXIMUM_QUOTED_CHARACTERS - 3] + "..."
    return text


def parse_toml(file: str, text: str) -> result.Result[dict, tuple[Problem, ...]]:
    """Return the document in `text`, or the syntax error as a problem."""
    try:
        return result.Success(tomllib.loads(text))
    except (tomllib.TOMLDecodeError, RecursionError, ValueError) as error:
        # The parser raises a plain ValueError for dates that do not exist and for
        # integers with more digits than Python converts.
        return result.Failure((errors.FieldWrong(file, "", "TOML", str(error)),))


def read_text(file: str) -> result.Result[str, tuple[Problem, ...]]:
    """Return the text of `file`, or the reason why it cannot be read as a problem."""
    try:
        with open(file, encoding="utf-8") as stream:
            return result.Success(stream.read())
    except OSError as error:
        found = error.strerror or str(error)
    except UnicodeDecodeError as error:
        found = str(error)
    problem = errors.FieldWrong(file, "", "a readable file in UTF-8", found)
    return result.Failure((problem,))


def describe_problem(problem: Problem) -> str:
    """Return a line for display with the file, the place and the problem."""
    location = f"{problem.file}: {problem.place}" if problem.place else problem.file
    if isinstance(problem, errors.SchemaUnknown):
        return f"{location}: schema version {problem.found} is not known"
    return f"{location}: expected {problem.expected}, found {problem.found}"
