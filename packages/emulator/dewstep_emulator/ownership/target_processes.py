"""State of one process of a target: its key ranges and the requests that it runs.

No input or output, no randomness and no clock. Times are readings of the clock that
all processes share; a slow clock makes a process own its ranges for longer. An order
has two times, since a process may carry it out some time after its arrival.
"""

import datetime
from typing import NamedTuple

from dewstep_emulator.ownership import key_maps
from dewstep_fleet import model

ACCEPTED = "accepted"
SUPERSEDED = "superseded"
"""The process has accepted a higher generation number for one of the keys."""
REPLACED = "replaced"
"""The order names another target; nothing was done."""


class Process(NamedTuple):
    """One run of a target."""

    name: str
    service: str
    host: str
    port: int
    life: int
    """Start time, which tells processes of the same name apart."""


class Grant(NamedTuple):
    """A grant or the renewal of one."""

    target: str
    """Name of the target for which the order is meant."""
    first: int
    last: int
    generation: int
    duration: datetime.timedelta
    handover: str = ""


class Release(NamedTuple):
    """The end of the ownership of a range."""

    target: str
    first: int
    last: int
    generation: int


Order = Grant | Release


class Request(NamedTuple):
    """A request that a process runs."""

    number: int
    key: int


class OwnedRange(NamedTuple):
    """Adjacent keys that are owned until the same time."""

    first: int
    last: int
    end: datetime.timedelta


NEVER = datetime.timedelta.min


class ProcessState:
    """Ranges and requests of one process.

    Parameters
    ----------
    process : Process
    clock_slowness : float, optional
        Fraction by which grants last longer than their duration; up to 0.02.
    """

    def __init__(self, process: Process, clock_slowness: float = 0.0):
        self.process = process
        self.clock_slowness = clock_slowness
        self.generations: key_maps.KeyMap[int] = key_maps.KeyMap(0)
        """Highest generation number in an accepted grant, by key."""
        self.ends: key_maps.KeyMap[datetime.timedelta] = key_maps.KeyMap(NEVER)
        """When the ownership ends, by key. Requests of released keys end at the time at
        which they would have ended without the release."""
        self.request_ends: dict[Request, datetime.timedelta] = {}
        """Time until which a running request may run."""
        self.begun = 0
        self.handovers: list[str] = []
        """Hand-over texts of the accepted grants."""

    def accept_grant(
        self, grant: Grant, arrived_at: datetime.timedelta, now: datetime.timedelta
    ) -> str:
        """Carry out a grant, whose duration counts from its arrival.

        A renewal never shortens the ownership. An expired grant has no effect but that
        its generation number is known.
        """
        if grant.target != self.process.name:
            return REPLACED
        runs = self.generations.list_runs(grant.first, grant.last)
        if any(run.value > grant.generation for run in runs):
            return SUPERSEDED
        self.generations.change(grant.first, grant.last, lambda value: grant.generation)
        if grant.handover:
            self.handovers.append(grant.handover)
        end = self.get_end(grant, arrived_at)
        if end <= now:
            return ACCEPTED
        self.ends.change(grant.first, grant.last, lambda value: max(value, end))
        for request, request_end in self.request_ends.items():
            if grant.first <= request.key <= grant.last:
                self.request_ends[request] = max(request_end, end)
        return ACCEPTED

    def get_end(
        self, grant: Grant, arrived_at: datetime.timedelta
    ) -> datetime.timedelta:
        """Return when a grant expires."""
        return arrived_at + grant.duration * (1 + self.clock_slowness)

    def accept_release(self, release: Release) -> str:
        """End the ownership of a range; running requests continue.

        A release is carried out whatever its generation number. Its sender is answered
        when `is_running` is false for the range.
        """
        if release.target != self.process.name:
            return REPLACED
        self.ends.change(release.first, release.last, lambda value: NEVER)
        return ACCEPTED

    def begin_request(self, key: int, now: datetime.timedelta) -> Request | None:
        """Start a request; return None if the process does not own its key."""
        (run,) = self.ends.list_runs(key, key)
        if run.value <= now:
            return None
        self.begun += 1
        request = Request(self.begun, key)
        self.request_ends[request] = run.value
        return request

    def end_request(self, request: Request, now: datetime.timedelta) -> bool:
        """End a request; return whether it did not outlast the ownership of its key."""
        return now < self.request_ends.pop(request)

    def is_running(self, first: int, last: int) -> bool:
        """Whether a request for a key of the range is running."""
        return any(first <= request.key <= last for request in self.request_ends)

    def list_owned(self, now: datetime.timedelta) -> list[OwnedRange]:
        """Return the ranges that the process owns, in the order of their keys."""
        return [
            OwnedRange(run.first, run.last, run.value)
            for run in self.ends.list_runs()
            if run.value > now
        ]


def build_handover(process: Process, release: Release) -> str:
    """Return the hand-over text in the answer to a release."""
    return f"{process.name}-{release.first}-{release.generation}"


def count_keys(owned: list[OwnedRange]) -> int:
    """Return the number of keys in ranges that do not overlap."""
    return sum(item.last - item.first + 1 for item in owned)


def build_target(process: Process, data_centre: str, leaving: bool) -> model.Target:
    """Return the registration of a process."""
    return model.Target(
        process.name,
        process.service,
        data_centre,
        process.host,
        process.port,
        4,
        leaving,
        process.life,
    )
