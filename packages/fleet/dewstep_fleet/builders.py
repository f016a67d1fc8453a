"""Builders of test data and fakes of the store and the targets."""

import asyncio
import datetime
import json
from typing import NamedTuple

from returns import result

from dewstep_core import clocks, errors, settings
from dewstep_fleet import directories, model, outstanding, planning, ranges

SECOND = datetime.timedelta(seconds=1)
MILLISECOND = datetime.timedelta(milliseconds=1)


def build_timing(**changes) -> model.Timing:
    """Return typical durations and retry limits of a platform."""
    timing = model.Timing(
        2 * SECOND, 2 * SECOND, 6 * SECOND, 10 * SECOND, 0.2, 58.0, 10 * SECOND
    )
    return timing._replace(**changes)


def build_target(name: str, **changes) -> model.Target:
    """Return a target of the service "history"."""
    target = model.Target(name, "history", "dc-1", "10.0.0.1", 80, 4, False, 1)
    return target._replace(**changes)


def build_route(**changes) -> model.Route:
    """Return a route to the service "history"."""
    route = model.Route(
        "r",
        "h.example",
        "/a/",
        True,
        (model.WeightedService("history", 1.0),),
        SECOND,
        SECOND / 2,
        2,
        1,
    )
    return route._replace(**changes)


def build_table(*routes, version=1, keyed=True, warm_up=()) -> model.RouteTable:
    """Return a route table with the service "history".

    `warm_up` contains the duration and the rate of its cold targets, if any.
    """
    service = model.Service("history", 100, keyed, *warm_up)
    return model.RouteTable(
        version, routes, {"history": service}, settings.CallerLimits(), 1_000_000
    )


def build_holdings(*owners: str) -> tuple[model.Holding, ...]:
    """Return adjacent ranges of equal size, one for each owner."""
    count = len(owners)
    return tuple(
        model.Holding(
            model.KEY_SPACE_SIZE * position // count,
            model.KEY_SPACE_SIZE * (position + 1) // count - 1,
            owner,
            1,
            position + 1,
        )
        for position, owner in enumerate(owners)
    )


def build_capacities(*targets: str, rate: float = 20.0) -> dict:
    """Return equal capacities for all targets."""
    return {target: planning.Capacity(target, rate) for target in targets}


def encode_target(target: model.Target) -> bytes:
    """Return the row value that `decode_target` reads."""
    *fields, warm_up_left = target
    return json.dumps([*fields, warm_up_left.total_seconds()]).encode()


def decode_target(name: str, content: bytes):
    """Return the target that a row describes, or a failure if it is unreadable."""
    try:
        *fields, warm_up_left = json.loads(content)
        return result.Success(model.Target(*fields, warm_up_left * SECOND))
    except (ValueError, TypeError):
        return result.Failure(errors.RowInvalid(name, "unreadable"))


def build_directory(
    clock, table: model.RouteTable | None = None
) -> directories.Directory:
    """Return a directory that decodes any configuration row as `table`."""
    known = table if table is not None else build_table(build_route())
    return directories.Directory(
        clock, lambda content: result.Success(known), decode_target
    )


def build_row(table: str, key: str, version: int, value: bytes | None):
    """Return a row of the store."""
    return model.StoredRow(table, key, version, value)


def build_target_row(target: model.Target, version: int) -> model.StoredRow:
    """Return the row of a registered target."""
    return build_row(model.TABLES.targets, target.name, version, encode_target(target))


class FakeStore:
    """Store in memory whose calls fail with the items of `failures`, in order."""

    def __init__(self):
        self.rows: dict[tuple[str, str], model.StoredRow] = {}
        self.version = 10
        self.failures: list = []
        self.apply_lost = True
        """Whether a commit whose answer is lost takes effect."""
        self.copy: tuple[int, dict[tuple[str, str], model.StoredRow]] = (10, {})
        """Version and rows to which `restore` returns."""

    def save_copy(self) -> None:
        """Keep a copy of all rows for `restore`."""
        self.copy = self.version, dict(self.rows)

    def restore(self) -> None:
        """Begin a new era with the rows of the copy, without all later changes."""
        floor = model.get_era_floor(self.version) + model.VERSIONS_PER_ERA
        version, rows = self.copy
        self.version = floor + version % model.VERSIONS_PER_ERA
        self.rows = {
            name: row._replace(version=floor + row.version % model.VERSIONS_PER_ERA)
            for name, row in rows.items()
        }

    def is_earlier_era(self, version: int) -> bool:
        """Whether a version was answered before the store was restored."""
        return version < model.get_era_floor(self.version)

    def put(self, table: str, key: str, value: bytes | None) -> model.StoredRow:
        """Write a row and return it."""
        self.version += 1
        row = model.StoredRow(table, key, self.version, value)
        self.rows[table, key] = row
        return row

    async def read_table(self, table: str):
        """Return the rows of a table."""
        if self.failures and self.failures[0] == "read":
            self.failures.pop(0)
            return result.Failure(errors.PlatformUnavailable("read"))
        rows = tuple(
            row
            for (name, _), row in self.rows.items()
            if name == table and row.value is not None
        )
        return result.Success(model.TableState(rows, self.version))

    async def watch(self, table, after, wait):
        """Return the changed rows without waiting for a change."""
        await asyncio.sleep(0)
        if self.is_earlier_era(after):
            return result.Failure(model.HistoryGone(table))
        rows = tuple(
            row
            for (name, _), row in self.rows.items()
            if name == table and row.version > after
        )
        return result.Success(model.TableState(rows, self.version))

    async def commit(self, expected, writes):
        """Write rows if the expected versions are current."""
        failure = self.failures.pop(0) if self.failures else None
        lost = isinstance(failure, errors.AnswerLost)
        if failure is not None and not (lost and self.apply_lost):
            return result.Failure(failure)
        for key, version in expected.items():
            row = self.rows.get((model.TABLES.fleet, key))
            current = row.version if row is not None and row.value is not None else 0
            if current != version:
                return result.Failure(errors.Conflict((key,)))
        self.version += 1
        for key, value in writes.items():
            self.rows[model.TABLES.fleet, key] = model.StoredRow(
                model.TABLES.fleet, key, self.version, value
            )
        return result.Failure(failure) if lost else result.Success(self.version)


class FakeFeeds:
    """Table feeds that lose contact to the store when the test sets `lost_at`."""

    def __init__(self, clock: clocks.Clock):
        self.clock = clock
        self.lost_at: datetime.timedelta | None = None

    def is_current(self) -> bool:
        """Whether the store answers."""
        return self.lost_at is None

    def has_recent_answer(self, max_age: datetime.timedelta) -> bool:
        """Whether the store answered at most `max_age` ago."""
        if self.lost_at is None:
            return True
        return self.clock.monotonic() - self.lost_at <= max_age


class Process(NamedTuple):
    """One run of a target."""

    target: str
    start: int
    """Number of the run among those of the target."""


class AcceptedGrant(NamedTuple):
    """A grant that a process has accepted."""

    process: Process
    holding: model.Holding


class FakeConnection:
    """Connection to the process that ran at a target's address when it was opened."""

    def __init__(self, targets: "FakeTargets", target: model.Target, process: Process):
        self.targets = targets
        self.target = target
        self.process = process
        self.closed = False

    def is_usable(self) -> bool:
        """Whether the connection is open and its process still runs."""
        return not self.closed and self.targets.is_running(self.process)

    async def grant(self, holding, duration, handover):
        """Apply, reject, delay or lose a grant."""
        targets = self.targets
        if targets.delay_next and targets.connection_wait:
            await targets.clock.sleep(targets.connection_wait)
        end = targets.clock.monotonic() + duration * outstanding.CLOCK_DRIFT_FACTOR
        if self.target.name in targets.down or not self.is_usable():
            self.closed = True
            return result.Failure(errors.ConnectionLost(self.target.name))
        if self.process.target != self.target.name:
            return result.Failure(model.TargetReplaced(self.target.name))
        if targets.delay_next:
            targets.delay_next -= 1
            targets.delayed.append((self.process, holding, end))
            self.closed = True
            return result.Failure(errors.ConnectionLost(self.target.name))
        if handover:
            targets.handovers.append((self.target.name, handover))
        if not targets.apply(self.process, holding, end):
            failure = model.Superseded(self.target.name, holding.generation)
            return result.Failure(failure)
        if self.target.name in targets.unanswering:
            self.closed = True
            return result.Failure(errors.ConnectionLost(self.target.name))
        return result.Success(None)

    def close(self) -> None:
        """Close the connection."""
        self.closed = True


class FakeTargets:
    """Targets whose orders are answered, lost or applied late.

    `find_conflict` checks the grants in force for keys with two owners, and
    `find_repeated_number` the accepted grants for numbers that are not above those of
    earlier owners.
    """

    def __init__(self, clock: clocks.Clock):
        self.clock = clock
        self.grants: dict[str, list[tuple[model.Holding, datetime.timedelta]]] = {}
        self.received_generations: dict[str, list[tuple[int, int, int]]] = {}
        self.accepted: list[AcceptedGrant] = []
        """All grants that were accepted, in order, without renewals."""
        self.starts: dict[str, int] = {}
        """Number of runs of each target that has been restarted."""
        self.tenants: dict[str, str] = {}
        """Target that runs at the address of another one, which has ended."""
        self.unanswering: set[str] = set()
        """Targets that apply orders but do not answer."""
        self.down: set[str] = set()
        """Targets that cannot be reached."""
        self.connect_timeout = self.release_timeout = datetime.timedelta()
        """Times after which orders to a target that cannot be reached fail."""
        self.delayed: list = []
        """Grants that `apply_delayed` applies."""
        self.delay_next = 0
        """Number of next grants that are delayed instead of applied."""
        self.connection_wait = datetime.timedelta()
        """Time for which a delayed order is on its way."""
        self.released: list[tuple[str, int, int]] = []
        """Target, first and last key of each release."""
        self.handovers: list[tuple[str, str]] = []
        """Target and hand-over text of each grant that had one."""

    # Processes.

    def get_process(self, target: str) -> Process:
        """Return the process that runs at a target's address."""
        name = self.tenants.get(target, target)
        return Process(name, self.starts.get(name, 1))

    def is_running(self, process: Process) -> bool:
        """Whether a process has not ended."""
        replaced = process.target in self.tenants
        return not replaced and self.get_process(process.target) == process

    def restart(self, target: str) -> None:
        """End a target's process and start the next one under the same name."""
        self._end(target)
        self.starts[target] = self.starts.get(target, 1) + 1

    def replace(self, target: str, successor: str) -> None:
        """End a target's process and start another target at its address."""
        self._end(target)
        self.tenants[target] = successor

    def _end(self, target: str) -> None:
        self.grants[target] = []
        self.received_generations[target] = []
        self.delayed = [item for item in self.delayed if item[0].target != target]

    # Checks.

    def list_held(self, target: str) -> list[model.Holding]:
        """Return the ranges that a target holds now."""
        now = self.clock.monotonic()
        return [item for item, end in self.grants.get(target, []) if end > now]

    def find_conflict(self) -> tuple | None:
        """Return a key held by two targets now, with both targets, or None."""
        held = [
            (item.first, item.last, target)
            for target in self.grants
            for item in self.list_held(target)
        ]
        for first, last, target in held:
            for other_first, other_last, other in held:
                if target != other and first <= other_last and other_first <= last:
                    return target, other, max(first, other_first)
        return None

    def find_repeated_number(self) -> tuple[AcceptedGrant, AcceptedGrant] | None:
        """Return two grants of a key whose second number is not above the first."""
        for position, later in enumerate(self.accepted):
            for earlier in self.accepted[:position]:
                overlaps = (
                    earlier.holding.first <= later.holding.last
                    and later.holding.first <= earlier.holding.last
                )
                if (
                    overlaps
                    and earlier.process != later.process
                    and later.holding.generation <= earlier.holding.generation
                ):
                    return earlier, later
        return None

    # Orders.

    def apply(self, process: Process, holding: model.Holding, end) -> bool:
        """Apply a grant; return false if a higher generation number was received."""
        target = process.target
        for first, last, number in self.received_generations.setdefault(target, []):
            overlaps = first <= holding.last and holding.first <= last
            if overlaps and number > holding.generation:
                return False
        self.received_generations[target].append(
            (holding.first, holding.last, holding.generation)
        )
        grant = AcceptedGrant(process, holding)
        if grant not in self.accepted:
            self.accepted.append(grant)
        grants = self.grants.setdefault(target, [])
        kept = [(item, until) for item, until in grants if item != holding]
        self.grants[target] = [*kept, (holding, end)]
        return True

    def apply_delayed(self) -> None:
        """Apply the delayed orders that have not expired."""
        delayed, self.delayed = self.delayed, []
        for process, holding, end in delayed:
            if end > self.clock.monotonic():
                self.apply(process, holding, end)

    async def connect(self, target):
        """Open a connection to the process at a target's address."""
        if target.name in self.down:
            await self.clock.sleep(self.connect_timeout)
            return result.Failure(errors.TargetUnavailable(target.name, "down"))
        process = self.get_process(target.name)
        return result.Success(FakeConnection(self, target, process))

    async def release(self, target, holding):
        """Apply a release and return its hand-over."""
        if target.name in self.down:
            await self.clock.sleep(self.release_timeout)
            return result.Failure(errors.TargetUnavailable(target.name, "down"))
        if self.get_process(target.name).target != target.name:
            return result.Failure(model.TargetReplaced(target.name))
        self.released.append((target.name, holding.first, holding.last))
        kept = []
        for item, end in self.grants.get(target.name, []):
            if item.generation > holding.generation:
                # The release is older than the grant.
                kept.append((item, end))
                continue
            for part in ranges.exclude_range([item], holding.first, holding.last):
                kept.append((part, end))
        self.grants[target.name] = kept
        if target.name in self.unanswering:
            return result.Failure(errors.ConnectionLost(target.name))
        return result.Success(f"handover-{target.name}-{holding.first}")
