"""Structured log events, one per line, in the format `event=NAME field=value ...`.

Names and fields are stable, because alarms and searches depend on them.
docs/OPERATIONS.md lists them. Request and answer bodies are never logged. Exceptions
are logged without their messages, because parsers include the rejected bytes in them.

The rate of each event is limited separately, so that a frequent event neither
suppresses others nor uses much processor time. Suppressed lines are counted, and
`log_suppressed_counts` logs the counts.
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

BURST_LINES = 40
"""Number of lines of one event that may be written in a burst."""
LINES_PER_SECOND = 10.0
"""Rate at which lines of one event may be written after a burst."""
JSON_BURST_LINES = 400
JSON_LINES_PER_SECOND = 100.0
"""Limits for JSON lines, which programs read. The rate is three times the request rate
of an entry process, so that the log omits no request; writing a line takes 25 us."""
KEPT_LINES_PER_EVENT = 4
"""Number of most recent lines of one event that the state dump contains."""

PLAIN_VALUE = re.compile(r'[^\s"=\\\x00-\x1f\x7f]+')


class LineRateLimiter:
    """Limits the rate of lines with one token bucket per event name.

    Parameters
    ----------
    read_time : callable
        Returns monotonic seconds.
    """

    def __init__(self, read_time: Callable[[], float] = time.monotonic):
        self.read_time = read_time
        self.burst = BURST_LINES
        self.rate = LINES_PER_SECOND
        self.buckets: dict[str, tuple[float, float]] = {}
        """Number of tokens and the time at which it was computed, by event name."""
        self.suppressed: dict[str, int] = {}

    def admit_line(self, name: str) -> bool:
        """Return whether a line of event `name` may be written; count it if not."""
        now = self.read_time()
        tokens, updated_at = self.buckets.get(name, (self.burst, now))
        tokens = min(self.burst, tokens + (now - updated_at) * self.rate)
        admitted = tokens >= 1
        self.buckets[name] = (tokens - admitted, now)
        if not admitted:
            self.suppressed[name] = self.suppressed.get(name, 0) + 1
        return admitted

    def pop_suppressed_counts(self) -> dict[str, int]:
        """Return and reset the numbers of suppressed lines, by event name."""
        suppressed, self.suppressed = self.suppressed, {}
        return suppressed


class EventLog:
    """Counts all events and keeps recent warnings and errors for the state dump.

    Parameters
    ----------
    read_time : callable
        Returns monotonic seconds.
    """

    def __init__(self, read_time: Callable[[], float] = time.monotonic):
        self.read_time = read_time
        self.limiter = LineRateLimiter(read_time)
        self.counts: collections.Counter[str] = collections.Counter()
        self.recent: dict[str, collections.deque[tuple[float, str]]] = {}
        """Times and lines by event, so that a frequent one does not displace others."""

    def keep_line(self, name: str, line: str) -> None:
        """Add a line to the recent lines of its event."""
        kept_lines = self.recent.setdefault(
            name, collections.deque(maxlen=KEPT_LINES_PER_EVENT)
        )
        kept_lines.append((self.read_time(), line))

    def list_recent(self) -> list[tuple[float, str]]:
        """Return the age in seconds and the text of the recent lines, newest first."""
        now = self.read_time()
        lines = (item for kept_lines in self.recent.values() for item in kept_lines)
        return [
            (now - written_at, line) for written_at, line in sorted(lines, reverse=True)
        ]


event_log = EventLog()
write_json: Callable[[str], None] | None = None
"""Receives events as JSON lines; if None, events are written to the absl log."""
LEVEL_NAMES = {
    logging.INFO: "info",
    logging.WARNING: "warning",
    logging.ERROR: "error",
}


def render_line(name: str, /, **fields: Any) -> str:
    """Return the line of an event; values are quoted as JSON strings if necessary."""
    parts = [f"event={name}"]
    parts += [f"{field}={format_value(value)}" for field, value in fields.items()]
    return " ".join(parts)


def format_value(value: Any) -> str:
    """Return the text of a value in a line.

    A failure tuple is formatted as its type and fields, a duration with its unit, and a
    list or set as its sorted members separated by commas.
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
    """Count an event, and log it unless its rate limit is exceeded."""
    event_log.counts[name] += 1
    if not event_log.limiter.admit_line(name):
        return
    # In absl, more severe levels have lower numbers.
    is_kept = level <= logging.WARNING
    line = render_line(name, **fields) if is_kept or write_json is None else ""
    if is_kept:
        event_log.keep_line(name, line)
    if write_json is None:
        logging.log(level, "%s", line)
    else:
        write_json(render_json(level, name, fields))


def render_json(level: int, name: str, fields: dict[str, Any]) -> str:
    """Return an event as a JSON object on one line."""
    content = {
        "time": datetime.datetime.now(datetime.UTC).isoformat(timespec="milliseconds"),
        "level": LEVEL_NAMES.get(level, str(level)),
        "event": name,
    }
    content.update(
        (field, convert_to_json_value(value)) for field, value in fields.items()
    )
    return json.dumps(content, separators=(",", ":"), ensure_ascii=False)


def convert_to_json_value(value: Any) -> Any:
    """Convert a field value to JSON types; a failure tuple also states its type."""
    if isinstance(value, datetime.timedelta):
        return durations.format_duration(value)
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        fields = {
            name: convert_to_json_value(item) for name, item in value._asdict().items()
        }
        return {"type": type(value).__name__, **fields}
    if isinstance(value, list | tuple | set | frozenset):
        return [convert_to_json_value(item) for item in value]
    if value is None or isinstance(value, bool | int | float | str):
        return value
    return str(value)


def use_json(write: Callable[[str], None] | None) -> None:
    """Write events as JSON lines with `write`, or to the absl log if it is None."""
    global write_json
    write_json = write
    limiter = event_log.limiter
    limiter.burst, limiter.rate = (
        (JSON_BURST_LINES, JSON_LINES_PER_SECOND)
        if write
        else (BURST_LINES, LINES_PER_SECOND)
    )


def info(name: str, /, **fields: Any) -> None:
    """Log an event that is part of normal operation."""
    log(logging.INFO, name, **fields)


def warning(name: str, /, **fields: Any) -> None:
    """Log an event that may need investigation if it repeats."""
    log(logging.WARNING, name, **fields)


def error(name: str, /, **fields: Any) -> None:
    """Log an event that should not occur."""
    log(logging.ERROR, name, **fields)


def exception(name: str, error: BaseException, /, **fields: Any) -> None:
    """Log an unhandled exception, with the fields `error` and `trace`."""
    frames = traceback.extract_tb(error.__traceback__)
    trace = ";".join(f"{frame.filename}:{frame.lineno}" for frame in frames)
    log(logging.ERROR, name, **fields, error=type(error).__name__, trace=trace)


def log_suppressed_counts() -> None:
    """Log the number of lines of each event suppressed since the last call."""
    for name, count in event_log.limiter.pop_suppressed_counts().items():
        if write_json is None:
            logging.warning("%s", render_line("lines_left_out", name=name, count=count))
        else:
            fields = {"name": name, "count": count}
            write_json(render_json(logging.WARNING, "lines_left_out", fields))
