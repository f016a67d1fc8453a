"""Resource usage of processes from `/proc` (proc_pid_stat(5), proc_pid_io(5))."""

import os
import pathlib
import time
from collections.abc import Iterable
from typing import NamedTuple

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGESIZE")
BYTES_PER_MEBIBYTE = 1_048_576


class Usage(NamedTuple):
    """Resource usage of a process since its start."""

    time: float
    """Monotonic time of the reading, in seconds."""
    processor: float
    """Seconds of processor time in user and kernel mode."""
    memory: int
    """Resident set size in bytes."""
    moved: int
    """Bytes passed to read and write calls, which uvloop uses for its sockets."""


class Cost(NamedTuple):
    """Resource usage of a process between two readings."""

    seconds: float
    processor: float
    """Seconds of processor time."""
    memory: int
    """Resident set size in bytes at the later reading."""
    moved: int
    """Bytes passed to read and write calls."""

    @property
    def core_share(self) -> float:
        """Used fraction of one core."""
        return self.processor / self.seconds if self.seconds > 0 else 0.0


def read_usage(pid: int) -> Usage | None:
    """Return the usage of a process, or None if it has ended."""
    folder = pathlib.Path("/proc") / str(pid)
    try:
        # The program name is in parentheses and may contain spaces.
        fields = (folder / "stat").read_text().rpartition(")")[2].split()
        counters = dict(
            line.split(": ") for line in (folder / "io").read_text().splitlines()
        )
    except (OSError, ValueError):
        return None
    return Usage(
        time.monotonic(),
        (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND,
        int(fields[21]) * PAGE_BYTES,
        int(counters["rchar"]) + int(counters["wchar"]),
    )


class ProcessEnded(Exception):
    """A process to be measured has ended."""


def read_usages(pids: Iterable[int]) -> list[Usage]:
    """Return the usage of processes that must be running.

    Raises
    ------
    ProcessEnded
        If one of them has ended.
    """
    usages = []
    for pid in pids:
        usage = read_usage(pid)
        if usage is None:
            raise ProcessEnded(f"process {pid} has ended")
        usages.append(usage)
    return usages


def compute_cost(before: Usage, after: Usage) -> Cost:
    """Return the resource usage between two readings."""
    return Cost(
        after.time - before.time,
        after.processor - before.processor,
        after.memory,
        after.moved - before.moved,
    )


def add_costs(earlier: Cost, later: Cost) -> Cost:
    """Return the sum of two costs, with the memory of the later one."""
    return Cost(
        earlier.seconds + later.seconds,
        earlier.processor + later.processor,
        later.memory,
        earlier.moved + later.moved,
    )


class Meter:
    """Accumulates the resource usage of a changing set of processes."""

    def __init__(self):
        self.last: dict[int, Usage] = {}
        self.costs: dict[int, Cost] = {}

    def read(self, pids: Iterable[int]) -> None:
        """Read all processes; a new one counts from its first reading."""
        for pid in pids:
            usage = read_usage(pid)
            if usage is None:
                continue
            if pid in self.last:
                self.costs[pid] = add_costs(
                    self.costs[pid], compute_cost(self.last[pid], usage)
                )
            elif pid not in self.costs:
                self.costs[pid] = Cost(0.0, 0.0, usage.memory, 0)
            self.last[pid] = usage

    def pause(self) -> None:
        """Exclude the time until the next reading."""
        self.last.clear()


def read_machine_load() -> float:
    """Return the one-minute load average of the machine."""
    return os.getloadavg()[0]
