"""Checks of the ownership of keys, told of each change as it happens.

`OwnershipCheck` finds the same violations as the check of recorded histories in
`dewstep_platform.ownership_history`, but keeps only what later entries can conflict
with. `UnownedCheck` finds the times in which keys have no owner although the process
that owned them last could be reached. Both implement `targets.Observer`.
"""

import datetime
from typing import NamedTuple

from dewstep_emulator.ownership import key_maps, target_processes
from dewstep_fleet import model

ZERO = datetime.timedelta()
TWO_OWNERS = "another process owns some of the keys"
STALE_GENERATION = "another process had some of the keys under this or a higher number"


class Violation(NamedTuple):
    """A grant that conflicts with earlier ones of another process."""

    problem: str
    at: datetime.timedelta
    process: target_processes.Process
    first: int
    last: int
    """The keys in conflict, both ends included."""
    generation: int
    other: target_processes.Process
    other_end: datetime.timedelta | None = None
    """When the ownership of the other process would have ended."""
    other_generation: int | None = None


class Owner(NamedTuple):
    """Ownership of a key by one process."""

    process: target_processes.Process
    end: datetime.timedelta


class Numbers(NamedTuple):
    """The highest generation number of a key, and that of all other processes."""

    process: target_processes.Process | None = None
    highest: int = 0
    second_process: target_processes.Process | None = None
    second: int = 0
    """Highest number that another process than `process` received."""


class OwnershipCheck:
    """Looks for keys with two owners and for repeated generation numbers.

    Two conditions must hold for the processes of one service: no two processes own the
    same key at the same time, and a process receives a key only with a generation
    number above all those with which other processes had it.
    """

    def __init__(self):
        self.violations: list[Violation] = []
        self.owners: dict[str, key_maps.KeyMap[tuple[Owner, ...]]] = {}
        """Owners of each key by service; more than one in case of a violation."""
        self.numbers: dict[str, key_maps.KeyMap[Numbers]] = {}

    def record_grant(
        self,
        at: datetime.timedelta,
        process: target_processes.Process,
        first: int,
        last: int,
        generation: int,
        end: datetime.timedelta,
    ) -> None:
        """Record a grant, and any violation."""
        grant = Violation("", at, process, first, last, generation, process)
        owners = self.owners.setdefault(process.service, key_maps.KeyMap(()))
        for run in owners.list_runs(first, last):
            self.violations += [
                grant._replace(
                    problem=TWO_OWNERS,
                    first=run.first,
                    last=run.last,
                    other=owner.process,
                    other_end=owner.end,
                )
                for owner in run.value
                if owner.process != process and owner.end > at
            ]
        added = Owner(process, end)
        owners.change(first, last, lambda value: add_owner(value, added, at))
        numbers = self.numbers.setdefault(process.service, key_maps.KeyMap(Numbers()))
        for run in numbers.list_runs(first, last):
            other, highest = get_highest_other(run.value, process)
            if other is not None and highest >= generation:
                violation = grant._replace(
                    problem=STALE_GENERATION,
                    first=run.first,
                    last=run.last,
                    other=other,
                    other_generation=highest,
                )
                self.violations.append(violation)
        numbers.change(
            first, last, lambda value: add_number(value, process, generation)
        )

    def record_release(
        self,
        at: datetime.timedelta,
        process: target_processes.Process,
        first: int,
        last: int,
        working_until: datetime.timedelta,
    ) -> None:
        """Record a release; the keys count as owned until work on them has ended."""
        owners = self.owners.get(process.service)
        if owners is not None:
            owners.change(
                first, last, lambda value: end_owner(value, process, working_until, at)
            )

    def record_end(
        self, at: datetime.timedelta, process: target_processes.Process
    ) -> None:
        """Record the end of a process."""
        owners = self.owners.get(process.service)
        if owners is not None:
            last_key = model.KEY_SPACE_SIZE - 1
            owners.change(0, last_key, lambda value: end_owner(value, process, at, at))


def get_end(owner: Owner) -> datetime.timedelta:
    """Return the sort key for the end of an ownership."""
    return owner.end


def add_owner(
    owners: tuple[Owner, ...], added: Owner, now: datetime.timedelta
) -> tuple[Owner, ...]:
    """Return the owners of a key after a grant, without those whose time has ended."""
    kept = []
    for owner in owners:
        if owner.process == added.process:
            added = max(added, owner, key=get_end)
        elif owner.end > now:
            kept.append(owner)
    return (*kept, added)


def end_owner(
    owners: tuple[Owner, ...],
    process: target_processes.Process,
    end: datetime.timedelta,
    now: datetime.timedelta,
) -> tuple[Owner, ...]:
    """Return the owners of a key after the ownership of one process was shortened."""
    shortened = (
        owner._replace(end=min(owner.end, end)) if owner.process == process else owner
        for owner in owners
    )
    return tuple(owner for owner in shortened if owner.end > now)


def get_highest_other(
    numbers: Numbers, process: target_processes.Process
) -> tuple[target_processes.Process | None, int]:
    """Return the highest number of other processes, with the process that had it."""
    if numbers.process == process:
        return numbers.second_process, numbers.second
    return numbers.process, numbers.highest


def add_number(
    numbers: Numbers, process: target_processes.Process, generation: int
) -> Numbers:
    """Return the numbers of a key after a grant."""
    if numbers.process is None:
        return Numbers(process, generation)
    if process == numbers.process:
        if generation <= numbers.highest:
            return numbers
        return numbers._replace(highest=generation)
    if generation > numbers.highest:
        return Numbers(process, generation, numbers.process, numbers.highest)
    if numbers.second_process is None or generation > numbers.second:
        return numbers._replace(second_process=process, second=generation)
    return numbers


class LastOwner(NamedTuple):
    """The process that owned a key last."""

    process: target_processes.Process | None = None
    end: datetime.timedelta = ZERO
    """When its ownership ended or will end."""
    released: bool = False


class Gap(NamedTuple):
    """Time in which keys have no owner although the last one can be reached."""

    first: int
    last: int
    process: target_processes.Process
    began: datetime.timedelta
    ended: datetime.timedelta
    released: bool
    """Whether the keys were released, and not lost when their grant expired."""


class UnownedCheck:
    """Records for how long keys whose last owner can be reached have no owner.

    A process counts as reachable from its first grant on, until the caller records
    otherwise. Keys that never had an owner are not considered.

    Parameters
    ----------
    tolerance : datetime.timedelta, optional
        Gaps of at most this duration are not recorded.
    """

    def __init__(self, tolerance: datetime.timedelta = ZERO):
        self.tolerance = tolerance
        self.gaps: list[Gap] = []
        self.owners: dict[str, key_maps.KeyMap[LastOwner]] = {}
        self.reachable_since: dict[target_processes.Process, datetime.timedelta] = {}
        """Processes that can be reached, with the times since when."""
        self.known: dict[target_processes.Process, None] = {}
        """All processes that had keys or whose reachability was recorded."""

    def record_grant(
        self,
        at: datetime.timedelta,
        process: target_processes.Process,
        first: int,
        last: int,
        generation: int,
        end: datetime.timedelta,
    ) -> None:
        """Record a grant, which ends the gaps of its keys."""
        if process not in self.known:
            self.known[process] = None
            self.reachable_since[process] = at
        owners = self.owners.setdefault(process.service, key_maps.KeyMap(LastOwner()))
        for run in owners.list_runs(first, last):
            self._record_gap(run, at)

        def extend(value: LastOwner) -> LastOwner:
            if value.end > at:
                return LastOwner(process, max(value.end, end))
            return LastOwner(process, end)

        owners.change(first, last, extend)

    def record_release(
        self,
        at: datetime.timedelta,
        process: target_processes.Process,
        first: int,
        last: int,
        working_until: datetime.timedelta,
    ) -> None:
        """Record a release, from which on the keys have no owner."""
        owners = self.owners.get(process.service)
        if owners is None:
            return

        def release(value: LastOwner) -> LastOwner:
            if value.process != process or value.end <= at:
                return value
            return value._replace(end=at, released=True)

        owners.change(first, last, release)

    def record_end(
        self, at: datetime.timedelta, process: target_processes.Process
    ) -> None:
        """Record the end of a process."""
        self.record_reachable(at, process, False)

    def record_reachable(
        self, at: datetime.timedelta, process: target_processes.Process, reachable: bool
    ) -> None:
        """Record whether a process can be reached from now on."""
        self.known[process] = None
        if reachable:
            self.reachable_since.setdefault(process, at)
            return
        self._record_gaps(at, process)
        self.reachable_since.pop(process, None)

    def finish(self, at: datetime.timedelta) -> None:
        """Record the gaps that have not ended at the end of a run."""
        for process in tuple(self.reachable_since):
            self._record_gaps(at, process)
            self.reachable_since[process] = at

    def _record_gaps(
        self, at: datetime.timedelta, process: target_processes.Process
    ) -> None:
        owners = self.owners.get(process.service)
        if owners is not None:
            for run in owners.list_runs():
                if run.value.process == process:
                    self._record_gap(run, at)

    def _record_gap(self, run: key_maps.Run[LastOwner], at: datetime.timedelta) -> None:
        owner = run.value
        since = self.reachable_since.get(owner.process)
        if since is None:
            return
        began = max(owner.end, since)
        if at - began > self.tolerance:
            gap = Gap(run.first, run.last, owner.process, began, at, owner.released)
            self.gaps.append(gap)


def find_longest(gaps: list[Gap]) -> Gap | None:
    """Return the gap that lasted longest."""
    return max(gaps, key=lambda gap: gap.ended - gap.began, default=None)
