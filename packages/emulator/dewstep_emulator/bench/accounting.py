"""What processes cost, read from `/proc` (proc_pid_stat(5), proc_pid_io(5))."""

import os
import pathlib
import time
from collections.abc import Iterable
from typing import NamedTuple

TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGESIZE")
MEBIBYTE = 1_048_576


class Usage(NamedTuple):
    """Totals of a process since its start."""

    time: float
    """Monotonic time of the reading in seconds."""
    processor: float
    """Seconds in user and kernel mode."""
    memory: int
    """Resident bytes now."""
    moved: int
    """Bytes passed to read and write calls; uvloop uses these for its sockets."""


class Cost(NamedTuple):
    """What a process used between two readings."""

    seconds: float
    processor: float
    """Seconds."""
    memory: int
    moved: int

    @property
    def share(self) -> float:
        """Part of one core."""
        return self.processor / self.seconds if self.seconds > 0 else 0.0


def read_usage(pid: int) -> Usage | None:
    """Return the totals of a process, or None if it has ended."""
    folder = pathlib.Path("/proc") / str(pid)
    try:
        # The name of the program may contain spaces and stands in parentheses.
        fields = (folder / "stat").read_text().rpartition(")")[2].split()
        counters = dict(
            line.split(": ") for line in (folder / "io").read_text().splitlines()
        )
    except (OSError, ValueError):
        return None
    return Usage(
        time.monotonic(),
        (int(fields[11]) + int(fields[12])) / TICKS,
        int(fields[21]) * PAGE_BYTES,
        int(counters["rchar"]) + int(counters["wchar"]),
    )


def subtract(before: Usage, after: Usage) -> Cost:
    """Return what was used between two readings."""
    return Cost(
        after.time - before.time,
        after.processor - before.processor,
        after.memory,
        after.moved - before.moved,
    )


def add(before: Cost, more: Cost) -> Cost:
    """Return the cost of two spans together, with the memory of the later one."""
    return Cost(
        before.seconds + more.seconds,
        before.processor + more.processor,
        more.memory,
        before.moved + more.moved,
    )


class Meter:
    """Adds up what a changing set of processes uses."""

    def __init__(self):
        self.last: dict[int, Usage] = {}
        self.costs: dict[int, Cost] = {}

    def read(self, pids: Iterable[int]) -> None:
        """Read all processes; one that is new counts from its first reading."""
        for pid in pids:
            usage = read_usage(pid)
            if usage is None:
                continue
            if pid in self.last:
                self.costs[pid] = add(self.costs[pid], subtract(self.last[pid], usage))
            elif pid not in self.costs:
                self.costs[pid] = Cost(0.0, 0.0, usage.memory, 0)
            self.last[pid] = usage

    def pause(self) -> None:
        """Leave out the time until the next reading."""
        self.last.clear()


def read_machine_load() -> float:
    """Return the load average of the machine over the last minute."""
    return os.getloadavg()[0]
