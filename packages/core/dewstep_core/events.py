"""Log events: one line each, `event=NAME field=value ...`, in the same form everywhere.

Names and fields are stable, since alarms and searches rely on them; docs/OPERATIONS.md
lists them. Request and answer bodies are never logged. Where an exception is logged,
its message is left out, because parsers quote the bytes that they could not read.

Each event has a rate limit of its own, so that a flood of one neither hides the others
nor costs much. What is left out is counted, and `report_left_out` logs the counts.
"""

import collections
import datetime
import json
import re
import time
import traceback
from collections.abc import Callable
from typing import Any

from absl import logging

from dewstep_core import durations

BURST = 40
"""Lines of one event that are written at once."""
RATE = 10.0
"""Lines/s of one event beyond the burst."""
JSON_BURST = 400
JSON_RATE = 100.0
"""The same for JSON lines, which programs read: three times the requests of an instance
today, so that each of them can be found. A line takes 25 us."""
KEPT_LINES = 4
"""Last lines of one event that the state dump shows."""

PLAIN_VALUE = re.compile(r'[^\s"=\\\x00-\x1f\x7f]+')


class Limiter:
    """Limits the lines of each event, with one token bucket for each name.

    Parameters
    ----------
    read_time : callable
        Returns monotonic seconds.
    """

    def __init__(self, read_time: Callable[[], float] = time.monotonic):
        self.read_time = read_time
        self.burst = BURST
        self.rate = RATE
        self.buckets: dict[str, tuple[float, float]] = {}
        """Tokens and the time at which they were counted, by name."""
        self.left_out: dict[str, int] = {}

    def admit(self, name: str) -> bool:
        """Return whether a line of event `name` may be written now."""
        now = self.read_time()
        tokens, counted = self.buckets.get(name, (self.burst, now))
        tokens = min(self.burst, tokens + (now - counted) * self.rate)
        admitted = tokens >= 1
        self.buckets[name] = (tokens - admitted, now)
        if not admitted:
            self.left_out[name] = self.left_out.get(name, 0) + 1
        return admitted

    def take_left_out(self) -> dict[str, int]:
        """Return how many lines were left out since the last call, by name."""
        left_out, self.left_out = self.left_out, {}
        return left_out


class Journal:
    """Counts all events, and keeps the last warnings and errors for the state dump.

    Parameters
    ----------
    read_time : callable
        Returns monotonic seconds.
    """

    def __init__(self, read_time: Callable[[], float] = time.monotonic):
        self.read_time = read_time
        self.limiter = Limiter(read_time)
        self.counts: collections.Counter[str] = collections.Counter()
        self.recent: dict[str, collections.deque[tuple[float, str]]] = {}
        """Times and lines by event, so that a flood of one does not displace others."""

    def keep(self, name: str, line: str) -> None:
        """Keep a line among the last ones of its event."""
        kept = self.recent.setdefault(name, collections.deque(maxlen=KEPT_LINES))
        kept.append((self.read_time(), line))

    def list_recent(self) -> list[tuple[float, str]]:
        """Return age in seconds and text of the lines kept, the newest first."""
        now = self.read_time()
        lines = (item for kept in self.recent.values() for item in kept)
        return [(now - kept, line) for kept, line in sorted(lines, reverse=True)]


journal = Journal()
write_json: Callable[[str], None] | None = None
"""Takes events as JSON lines instead of absl's log."""
LEVEL_NAMES = {
    logging.INFO: "info",
    logging.WARNING: "warning",
    logging.ERROR: "error",
}


def render(name: str, /, **fields: Any) -> str:
    """Return the line of an event; values are quoted as JSON where they need it."""
    parts = [f"event={name}"]
    parts += [f"{field}={format_value(value)}" for field, value in fields.items()]
    return " ".join(parts)


def format_value(value: Any) -> str:
    """Return a value as it stands in a line.

    A failure tuple is shown by its type and fields, a duration with its unit, and a
    collection as its members with commas between them.
    """
    if isinstance(value, datetime.timedelta):
        text = durations.format_duration(value)
    elif isinstance(value, list | set | frozenset):
        text = ",".join(sorted(map(str, value)))
    else:
        text = str(value)
    if PLAIN_VALUE.fullmatch(text):
        return text
    return json.dumps(text, ensure_ascii=False)


def log(level: int, name: str, /, **fields: Any) -> None:
    """Log an event unless its rate is exceeded."""
    journal.counts[name] += 1
    if not journal.limiter.admit(name):
        return
    # The levels of absl fall with the severity.
    kept = level <= logging.WARNING
    line = render(name, **fields) if kept or write_json is None else ""
    if kept:
        journal.keep(name, line)
    if write_json is None:
        logging.log(level, "%s", line)
    else:
        write_json(render_json(level, name, fields))


def render_json(level: int, name: str, fields: dict[str, Any]) -> str:
    """Return an event as a line with one JSON object."""
    content = {
        "time": datetime.datetime.now(datetime.UTC).isoformat(timespec="milliseconds"),
        "level": LEVEL_NAMES.get(level, str(level)),
        "event": name,
    }
    content.update((field, simplify(value)) for field, value in fields.items())
    return json.dumps(content, separators=(",", ":"), ensure_ascii=False)


def simplify(value: Any) -> Any:
    """Return a field's value as JSON can hold it; a failure keeps its type."""
    if isinstance(value, datetime.timedelta):
        return durations.format_duration(value)
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        fields = {name: simplify(item) for name, item in value._asdict().items()}
        return {"type": type(value).__name__, **fields}
    if isinstance(value, list | tuple | set | frozenset):
        return [simplify(item) for item in value]
    if value is None or isinstance(value, bool | int | float | str):
        return value
    return str(value)


def use_json(write: Callable[[str], None] | None) -> None:
    """Write events as JSON lines with `write`; None brings back the text form."""
    global write_json
    write_json = write
    limiter = journal.limiter
    limiter.burst, limiter.rate = (JSON_BURST, JSON_RATE) if write else (BURST, RATE)


def info(name: str, /, **fields: Any) -> None:
    """Log an event that is part of normal operation."""
    log(logging.INFO, name, **fields)


def warning(name: str, /, **fields: Any) -> None:
    """Log an event that may need a look if it repeats."""
    log(logging.WARNING, name, **fields)


def error(name: str, /, **fields: Any) -> None:
    """Log an event that should not occur."""
    log(logging.ERROR, name, **fields)


def exception(name: str, error: BaseException, /, **fields: Any) -> None:
    """Log an exception that nothing handles, with the field `error` and `trace`."""
    frames = traceback.extract_tb(error.__traceback__)
    trace = ";".join(f"{frame.filename}:{frame.lineno}" for frame in frames)
    log(logging.ERROR, name, **fields, error=type(error).__name__, trace=trace)


def report_left_out() -> None:
    """Log how many lines of each event were left out since the last call."""
    for name, count in journal.limiter.take_left_out().items():
        if write_json is None:
            logging.warning("%s", render("lines_left_out", name=name, count=count))
        else:
            fields = {"name": name, "count": count}
            write_json(render_json(logging.WARNING, "lines_left_out", fields))
