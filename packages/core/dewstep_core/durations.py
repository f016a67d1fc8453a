"""Durations as operators write them: a whole number with its unit, such as "1500ms".

A duration always carries its unit, so that seconds cannot be mistaken for
milliseconds. The unit "us" exists because it is the resolution of `timedelta`: every
duration can be written without loss.
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
"""The largest unit first, which `format_duration` relies on."""

PATTERN = re.compile(r"([0-9]{1,15})(h|m|s|ms|us)", re.ASCII)


def parse_duration(text: str) -> datetime.timedelta | None:
    """Return the duration that `text` states, or None if it states none."""
    match = PATTERN.fullmatch(text)
    if match is None:
        return None
    try:
        return int(match[1]) * UNITS[match[2]]
    except OverflowError:
        return None


def format_duration(duration: datetime.timedelta) -> str:
    """Return `duration` in the largest unit that states it as a whole number."""
    for name, unit in UNITS.items():
        if duration and duration % unit == datetime.timedelta():
            return f"{duration // unit}{name}"
    return "0s"
