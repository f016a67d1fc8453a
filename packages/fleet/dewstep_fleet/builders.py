"""Builders of test data and fakes of the store and the targets."""

import asyncio
import datetime
import json

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


def build_table(*routes, version=1, keyed=True) -> model.RouteTable:
    """Return a route table with the service "history"."""
    service = model.Service("history", 100, keyed)
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
    return json.dumps(list(target)).encode()


def decode_target(name: str, content: bytes):
    """Return the target that a row describes, or a failure if it is unreadable."""
    try:
        return result.Success(model.Target(*json.loads(content)))
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


class FakeTargets:
    """Targets whose orders are answered, lost or applied late.

    `find_conflict` checks the grants in force for keys with two owners.
    """

    def __init__(self, clock: clocks.Clock):
        self.clock = clock
        self.grants: dict[str, list[tuple[model.Holding, datetime.timedelta]]] = {}
        self.received_generations: dict[str, list[tuple[int, int, int]]] = {}
        self.unanswering: set[str] = set()
        """Targets that apply orders but do not answer."""
        self.down: set[str] = set()
        """Targets that cannot be reached."""
        self.delayed: list = []
        """Grants that `apply_delayed` applies."""
        self.delay_next = 0
        """Number of next grants that are delayed instead of applied."""
        self.connection_wait = datetime.timedelta()
        """Time for which a delayed order waits for a connection."""
        self.released: list[tuple[str, int, int]] = []
        """Target, first and last key of each release."""
        self.handovers: list[tuple[str, str]] = []
        """Target and hand-over text of each grant that had one."""

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

    def apply(self, target: str, holding: model.Holding, end) -> bool:
        """Apply a grant; return false if a higher generation number was received."""
        for first, last, number in self.received_generations.setdefault(target, []):
            overlaps = first <= holding.last and holding.first <= last
            if overlaps and number > holding.generation:
                return False
        self.received_generations[target].append(
            (holding.first, holding.last, holding.generation)
        )
        grants = self.grants.setdefault(target, [])
        kept = [(item, until) for item, until in grants if item != holding]
        self.grants[target] = [*kept, (holding, end)]
        return True

    async def grant(self, target, holding, duration, handover):
        """Apply, reject, delay or lose a grant."""
        if target.name in self.down:
            return result.Failure(errors.TargetUnavailable(target.name, "down"))
        if self.delay_next and self.connection_wait:
            await self.clock.sleep(self.connection_wait)
        end = self.clock.monotonic() + duration * outstanding.CLOCK_DRIFT_FACTOR
        if self.delay_next:
            self.delay_next -= 1
            self.delayed.append((target.name, holding, end))
            return result.Failure(errors.ConnectionLost(target.name))
        if handover:
            self.handovers.append((target.name, handover))
        if not self.apply(target.name, holding, end):
            return result.Failure(model.Superseded(target.name, holding.generation))
        if target.name in self.unanswering:
            return result.Failure(errors.ConnectionLost(target.name))
        return result.Success(None)

    def apply_delayed(self) -> None:
        """Apply the delayed orders that have not expired."""
        delayed, self.delayed = self.delayed, []
        for target, holding, end in delayed:
            if end > self.clock.monotonic():
                self.apply(target, holding, end)

    async def release(self, target, holding):
        """Apply a release and return its hand-over."""
        if target.name in self.down:
            return result.Failure(errors.TargetUnavailable(target.name, "down"))
        self.released.append((target.name, holding.first, holding.last))
        kept = []
        for item, end in self.grants.get(target.name, []):
            for part in ranges.exclude_range([item], holding.first, holding.last):
                kept.append((part, end))
        self.grants[target.name] = kept
        if target.name in self.unanswering:
            return result.Failure(errors.ConnectionLost(target.name))
        return result.Success(f"handover-{target.name}-{holding.first}")
