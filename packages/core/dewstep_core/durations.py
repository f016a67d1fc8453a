"""Parsing and formatting of durations, a whole number with a unit such as "1500ms".

The unit is mandatory, so that seconds cannot be mistaken for milliseconds. The smallest
unit is "us", the resolution of `timedelta`, so that every duration can be formatted
without loss.
"""

import datetime
import re

UNITS = {
    "h": datetime.timedelta(hours=1),
    "m": datetime.timedelta(minutes=1),
    "s": datetime.timedelta(seconds=1),
    "ms": datetime.timedelta(milliseconds=1),
    "us": datetime.timedelta(microseconds=1),
}
"""Units from largest to smallest; `format_duration` depends on this order."""

DURATION_PATTERN = re.compile(r"([0-9]{1,15})(h|m|s|ms|us)", re.ASCII)


def parse_duration(text: str) -> datetime.timedelta | None:
    """Return the duration in `text`, or None if `text` is not a valid duration."""
    match = DURATION_PATTERN.fullmatch(text)
    if match is None:
        return None
    try:
        return int(match[1]) * UNITS[match[2]]
    except OverflowError:
        return None


def format_duration(duration: datetime.timedelta) -> str:
    """Return `duration` as a whole number of the largest possible unit."""
    for name, unit in UNITS.items():
        if duration and duration % unit == datetime.timedelta():
            return f"{duration // unit}{name}"
    return "0s"
