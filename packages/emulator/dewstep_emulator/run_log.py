"""Runs of an emulated target, and the log that the history checker reads.

An event is written after the check that permits it, with the time of that check.
"""

import json
import pathlib
from typing import NamedTuple

from dewstep_core.http import exchanges


class Run(NamedTuple):
    """The attributes of a request that the run log and the grant checks use."""

    request_id: str
    key: str
    kind: str
    epoch: int
    term: int
    boot: str
    deadline: float | None
    method: str
    path: str


def parse_run(exchange: exchanges.Exchange) -> Run | None:
    """Parse the run from a request's headers; None if a header is malformed."""
    get = exchange.get_header
    try:
        deadline = get("Dewstep-Deadline")
        return Run(
            get("Dewstep-Request-Id"),
            get("Dewstep-Key"),
            get("Dewstep-Kind"),
            int(get("Dewstep-Epoch") or 0),
            int(get("Dewstep-Term") or 0),
            get("Dewstep-Boot"),
            float(deadline) if deadline else None,
            exchange.method,
            exchange.path,
        )
    except ValueError:
        return None


class RunLog:
    """Appends events to a file, one JSON line each, without buffering.

    Parameters
    ----------
    path : pathlib.Path or None
        Path of the file; None discards the events.
    target, boot : str
        Written to each line.
    """

    def __init__(self, path: pathlib.Path | None, target: str, boot: str):
        self.file = None if path is None else path.open("ab", buffering=0)
        self.target = target
        self.boot = boot

    def write(self, event: str, run: Run, now: float) -> None:
        """Write one event; `now` is CLOCK_MONOTONIC without the target's offset."""
        if self.file is None:
            return
        line = {
            "event": event,
            "request_id": run.request_id,
            "key": run.key,
            "kind": run.kind,
            "epoch": run.epoch,
            "term": run.term,
            "time": now,
            "target": self.target,
            "boot": self.boot,
            "method": run.method,
            "path": run.path,
        }
        self.file.write(json.dumps(line, separators=(",", ":")).encode() + b"\n")
