"""Reading of the settings of an entry process from a TOML file.

Field names and types are those of the tuples in `settings`. The type of a field selects
its validation, so a new setting of a known type needs no change in this module.
"""

import datetime
import sys
import typing
from typing import Any, NoReturn

from returns import result

from dewstep_core import errors, fields, settings

EXIT_WRONG_SETTINGS = 2
MINIMUM_DURATION = datetime.timedelta(milliseconds=1)
MAXIMUM_DURATION = datetime.timedelta(hours=1)
MAXIMUM_COUNT = 1 << 30
MAXIMUM_DRIFT = 0.5

CHECKS: dict[Any, fields.FieldCheck] = {
    str: fields.expect_name(),
    bool: fields.expect_boolean(),
    int: fields.expect_integer(1, MAXIMUM_COUNT),
    float: fields.expect_number(0, MAXIMUM_DRIFT),
    datetime.timedelta: fields.expect_duration(MINIMUM_DURATION, MAXIMUM_DURATION),
    settings.Address: fields.expect_address(),
    settings.Address | None: fields.expect_address(),
    tuple[settings.Address, ...]: fields.expect_list(fields.expect_address(), 1),
}
TABLE_TYPES = (settings.CallerLimits, settings.GrantSettings, settings.PeerSettings)

SettingsResult = result.Result[settings.Settings, tuple[fields.Problem, ...]]


def parse_settings(file: str, text: str) -> SettingsResult:
    """Return the settings in `text`, or all problems.

    Parameters
    ----------
    file : str
        Name of the file, used in problems.
    text : str
        Content of the file.
    """
    return fields.parse_toml(file, text).bind(lambda table: read_document(file, table))


def read_document(file: str, document: dict) -> SettingsResult:
    """Return the settings in a parsed document, or all problems."""
    problems: list[fields.Problem] = []
    loaded = read_tuple(fields.Reader(document, file, "", problems), settings.Settings)
    problems.extend(check_timing(file, loaded))
    if problems:
        return result.Failure(tuple(problems))
    return result.Success(loaded)


def read_tuple(reader: fields.Reader, tuple_type: type) -> Any:
    """Read one table into a tuple of type `tuple_type`."""
    values = {}
    for name, hint in typing.get_type_hints(tuple_type).items():
        if hint in TABLE_TYPES:
            values[name] = read_tuple(reader.open_table(name), hint)
        else:
            default = tuple_type._field_defaults.get(name, fields.REQUIRED)
            values[name] = reader.read(name, CHECKS[hint], default)
    reader.report_unknown_fields()
    return tuple_type(**values)


def check_timing(file: str, loaded: settings.Settings) -> list[fields.Problem]:
    """Return the problems with durations that must be shorter than another one."""
    pairs = (
        # If a grant expired before its renewal, service would be interrupted.
        ("grants.interval", "grants.lifetime"),
        # No heartbeat is overdue within one heartbeat interval.
        ("peers.heartbeat_interval", "peers.suspect_after"),
    )
    problems = []
    for shorter, longer in pairs:
        table, field = shorter.split(".")
        duration = getattr(getattr(loaded, table), field)
        limit = getattr(getattr(loaded, table), longer.split(".")[1])
        if duration is not None and limit is not None and duration >= limit:
            problems.append(
                errors.FieldWrong(file, shorter, f"less than {longer}", str(duration))
            )
    return problems


def read_settings(file: str) -> SettingsResult:
    """Return the settings in `file`, or all problems."""
    return fields.read_text(file).bind(lambda text: parse_settings(file, text))


def load_or_exit(file: str) -> settings.Settings:
    """Return the settings in `file`; print all problems and exit if there are any.

    Raises
    ------
    SystemExit
        With code 2, if the settings are invalid.
    """
    loaded = read_settings(file)
    if isinstance(loaded, result.Success):
        return loaded.unwrap()
    print_problems_and_exit(loaded.failure())


def print_problems_and_exit(problems: tuple[fields.Problem, ...]) -> NoReturn:
    """Print `problems`, one per line, and exit with code 2."""
    for problem in problems:
        print(fields.describe_problem(problem), file=sys.stderr)
    raise SystemExit(EXIT_WRONG_SETTINGS)
