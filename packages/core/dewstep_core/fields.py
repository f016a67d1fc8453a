"""Checks of fields in TOML tables and JSON objects, shared by settings and records.

A `Reader` walks through one table. Each read returns the checked value, or None after
it has noted the problem, so that one pass finds all wrong fields of a file. Results
are used only if no problem was noted.
"""

import datetime
import ipaddress
import re
import tomllib
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from returns import result

from dewstep_core import durations, errors, settings

Problem = errors.FieldWrong | errors.SchemaUnknown

REQUIRED = object()
FOUND_CHARACTERS = 60
"""A wrong value is quoted up to this length, to keep one problem on one line."""

MISSING = "nothing"
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}", re.ASCII)
"""Names become parts of row keys and URLs, so they contain no slash or space."""


class FieldCheck(NamedTuple):
    """What a field must be, and how its value is read."""

    expected: str
    read: Callable[[Any], Any]
    """Returns the value in its final type, or None if it is wrong."""


def expect_text(pattern: re.Pattern, expected: str) -> FieldCheck:
    """Return the check for a string that matches `pattern` as a whole."""
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
        whole = isinstance(value, int) and not isinstance(value, bool)
        return value if whole and minimum <= value <= maximum else None

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
    whole = expect_integer(max(1, minimum // millisecond), maximum // millisecond)

    def read(value):
        count = whole.read(value)
        return None if count is None else count * millisecond

    return FieldCheck(f"{whole.expected} (milliseconds)", read)


def expect_host() -> FieldCheck:
    """Return the check for an IP address; names are never resolved."""
    return FieldCheck("an IP address", read_host)


def read_host(value: Any) -> str | None:
    """Return `value` if it is the text of an IP address."""
    if not isinstance(value, str):
        return None
    try:
        ipaddress.ip_address(value)
    except ValueError:
        return None
    return value


def expect_address() -> FieldCheck:
    """Return the check for an IP address with a port."""
    return FieldCheck(
        'an IP address and a port such as "127.0.0.1:7000" or "[::1]:7000"',
        read_address,
    )


def read_address(value: Any) -> settings.Address | None:
    """Return the address that `value` states, or None."""
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
    """Return the check for a list whose items all pass `item`."""

    def read(value):
        if not isinstance(value, list) or len(value) < minimum:
            return None
        values = tuple(item.read(entry) for entry in value)
        return None if None in values else values

    return FieldCheck(f"a list of at least {minimum} items, each {item.expected}", read)


class Reader:
    """Reads the fields of one table and notes all problems.

    Parameters
    ----------
    table : Any
        The table as the TOML or JSON parser returned it.
    file : str
        File or row that holds the table, for the problems.
    place : str
        Path of the table within the file, "" at the top.
    problems : list of Problem
        Receives what is wrong; shared by all readers of a file.
    """

    def __init__(self, table: Any, file: str, place: str, problems: list[Problem]):
        self.file = file
        self.place = place
        self.problems = problems
        self.known: set[str] = set()
        self.is_table = isinstance(table, Mapping)
        self.table = table if self.is_table else {}
        if not self.is_table:
            self.note("", "a table", quote(table))

    def locate(self, name: str) -> str:
        """Return the path of field `name`, or of the table itself for ""."""
        return ".".join(part for part in (self.place, name) if part)

    def note(self, name: str, expected: str, found: str) -> None:
        """Note that field `name` is wrong."""
        self.problems.append(
            errors.FieldWrong(self.file, self.locate(name), expected, found)
        )

    def read(self, name: str, check: FieldCheck, default: Any = REQUIRED) -> Any:
        """Return the checked field, `default` if absent, or None if wrong."""
        self.known.add(name)
        if name not in self.table:
            if default is not REQUIRED:
                return default
            if self.is_table:
                self.note(name, check.expected, MISSING)
            return None
        value = check.read(self.table[name])
        if value is None:
            self.note(name, check.expected, quote(self.table[name]))
        return value

    def open_table(self, name: str) -> "Reader":
        """Return a reader of the table `name`, which is empty if absent."""
        self.known.add(name)
        return Reader(
            self.table.get(name, {}), self.file, self.locate(name), self.problems
        )

    def open_tables(self, name: str) -> tuple["Reader", ...]:
        """Return readers of the tables in the array `name`."""
        self.known.add(name)
        tables = self.table.get(name, [])
        if not isinstance(tables, list):
            self.note(name, f"an array of tables [[{name}]]", quote(tables))
            return ()
        return tuple(
            Reader(table, self.file, self.locate(f"{name}[{index}]"), self.problems)
            for index, table in enumerate(tables)
        )

    def finish(self) -> None:
        """Note the fields that nothing has read: they are unknown."""
        for name in self.table:
            if name not in self.known:
                known = ", ".join(sorted(self.known))
                self.note(name, f"one of the fields {known}", "an unknown field")


def quote(value: Any) -> str:
    """Return `value` as a problem shows it, shortened."""
    if isinstance(value, bool):
        return "true" if value else "false"
    try:
        text = repr(value)
    except ValueError:
        # Python does not print integers of thousands of digits, which TOML can
        # state in hexadecimal.
        return "a value too long to be shown"
    if len(text) > FOUND_CHARACTERS:
        return text[: FOUND_CHARACTERS - 3] + "..."
    return text


def parse_toml(file: str, text: str) -> result.Result[dict, tuple[Problem, ...]]:
    """Return the document in `text`, or where it is not TOML."""
    try:
        return result.Success(tomllib.loads(text))
    except (tomllib.TOMLDecodeError, RecursionError, ValueError) as error:
        # The parser lets ValueError through for dates that do not exist and for
        # integers of more digits than Python converts.
        return result.Failure((errors.FieldWrong(file, "", "TOML", str(error)),))


def read_text(file: str) -> result.Result[str, tuple[Problem, ...]]:
    """Return the text of `file`, or why it cannot be read."""
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
    """Return one line for people that names the file, the place and the fault."""
    where = f"{problem.file}: {problem.place}" if problem.place else problem.file
    if isinstance(problem, errors.SchemaUnknown):
        return f"{where}: schema version {problem.found} is not known"
    return f"{where}: expected {problem.expected}, found {problem.found}"
