"""Local copy of the store's rows, each decoded once.

Rows are read from the store or relayed by the coordinator. A row is only replaced by a
newer version, so rows may arrive by either way, repeatedly and in any order.

A store that was restored from an older copy begins a new era (`model.get_era_floor`).
The rows of the copy replace the known ones. Targets and operators write theirs again;
what this package wrote is lost, so the owners of the key ranges are kept if the copy
has older ones, and the next transaction writes them again.
"""

import asyncio
import datetime
import json
from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

from returns import result

from dewstep_core import clocks, errors, events, fields, value_checks
from dewstep_fleet import (
    frames,
    model,
    owner_rows,
    quorums,
    ranges,
    registrations,
)
from dewstep_fleet.evacuation import evacuations, relayed_rows
from dewstep_fleet.regions import rules

MIN_OUTAGE = datetime.timedelta(seconds=1)
"""Minimum observed outage after which removals are deferred. A shorter one expires no
target's row: that takes three heartbeats of 0.9 s, and an instance notices an outage at
most 1.6 s late."""
RANGES_PREFIX = "ranges/"
MEMBER_PREFIX = "member/"
COORDINATOR_KEY = "coordinator"
QUORUM_KEY = "quorum"


class Leadership(NamedTuple):
    """Which instance coordinates the fleet."""

    node: str
    incarnation: str
    term: int
    version: int
    """Version of the row in the store, or 0 if there is none."""


NO_LEADERSHIP = Leadership("", "", 0, 0)
MAX_DETAIL_CHARACTERS = 200
"""Length to which the reason of a refusal is shortened."""

OMITTED_IF_EMPTY = frozenset({"region"})
"""Fields that a row has only where they are used, so that it is as before elsewhere."""


def encode_record(record: NamedTuple) -> bytes:
    """Return the row value that encodes a flat tuple."""
    values = record._asdict()
    for name in OMITTED_IF_EMPTY & values.keys():
        if not values[name]:
            del values[name]
    content = {"schema": ranges.SCHEMA_VERSION, **values}
    return json.dumps(content, separators=(",", ":")).encode()


def decode_record(record_type: type, row: model.StoredRow, **extra: Any):
    """Decode a row of the fleet's table.

    Returns
    -------
    Result
        The tuple, or `RowInvalid`.

    Parameters
    ----------
    record_type : type
        Type of the tuple.
    row : model.StoredRow
    extra
        Fields of the tuple that the row's value does not contain.
    """
    try:
        content = json.loads(row.value)
        schema = content.pop("schema")
        if schema != ranges.SCHEMA_VERSION:
            detail = f"unknown schema {fields.quote(schema)}"
            return result.Failure(errors.RowInvalid(row.key, detail))
        # A row of an earlier version lacks the fields that were added since.
        values = {**record_type._field_defaults, **content, **extra}
        for name, expected_type in record_type.__annotations__.items():
            if name not in extra and not FIELD_CHECKS[expected_type](values[name]):
                detail = f"field {name!r} has the wrong type or is out of range"
                return result.Failure(errors.RowInvalid(row.key, detail))
        return result.Success(
            record_type(**{name: values[name] for name in record_type._fields})
        )
    except (ValueError, TypeError, KeyError, AttributeError, RecursionError) as error:
        detail = f"{type(error).__name__}: {error}"[:MAX_DETAIL_CHARACTERS]
        return result.Failure(errors.RowInvalid(row.key, detail))


def is_stored_integer(value: Any) -> bool:
    """Whether a value is an integer that a message to other instances can contain."""
    return value_checks.is_integer(value, 0, value_checks.MAX_INT64)


FIELD_CHECKS: Mapping[type, Callable[[Any], bool]] = {
    str: value_checks.is_text,
    int: is_stored_integer,
    float: lambda value: isinstance(value, float) and value_checks.is_finite(value),
}
"""Checks of the fields of a record, by their type."""


def check_member(member: model.Member) -> result.Result[model.Member, Any]:
    """Return a member to which a connection can be opened, or `RowInvalid`."""
    ports_valid = value_checks.is_port(member.port) and (
        member.relay_port == 0 or value_checks.is_port(member.relay_port)
    )
    if ports_valid and value_checks.is_host(member.host):
        return result.Success(member)
    return result.Failure(errors.RowInvalid(member.node, "invalid host or port"))


class Directory:
    """The newest known version of each row, and the decoded content.

    Parameters
    ----------
    clock : clocks.Clock
    decode_routes, decode_target : callable
        Return the route table or the target that a row's value describes, or a failure.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        decode_routes: Callable[[bytes], result.Result[model.RouteTable, Any]],
        decode_target: Callable[[str, bytes], result.Result[model.Target, Any]],
    ):
        self.clock = clock
        self.decode_routes = decode_routes
        self.registrations = registrations.Registrations(clock, decode_target)
        self.evacuations = evacuations.Evacuations(clock)
        self.regions = rules.RegionRules()
        self.rows: dict[tuple[str, str], model.StoredRow] = {}
        self.routes: model.RouteTable | None = None
        self.ownerships: dict[str, ranges.Ownership] = {}
        self.owner_rows: dict[str, owner_rows.OwnerRow] = {}
        self.members: dict[str, model.Member] = {}
        self.leadership = NO_LEADERSHIP
        self.quorum = quorums.NO_QUORUM
        self.moving: dict[str, tuple[tuple[int, int], ...]] = {}
        """Ranges that are being moved, by service."""
        self.era_floor = 0
        """Lowest version of the newest known era of the store."""
        self.change_count = 0
        """Number of changes so far, for `wait_change`."""
        self.waiters: set[asyncio.Future] = set()
        self.listeners: list[Callable[[list[model.StoredRow]], None]] = []

    @property
    def targets(self) -> dict[str, model.Target]:
        """The registered targets by name."""
        return self.registrations.targets

    @property
    def targets_by_service(self) -> dict[str, tuple[model.Target, ...]]:
        """The registered targets of each service."""
        return self.registrations.targets_by_service

    # Changes.

    def record_store_recovery(self, outage: datetime.timedelta) -> None:
        """Record that the store recovered from an outage of this duration."""
        if outage >= MIN_OUTAGE:
            self.registrations.record_store_recovery()

    def record_era(self, version: int) -> None:
        """Record the era of a version that the store has answered."""
        floor = model.get_era_floor(version)
        if floor <= self.era_floor:
            return
        self.era_floor = floor
        if self.rows:
            self.registrations.record_store_recovery()
            events.warning("store_restored", era=floor // model.VERSIONS_PER_ERA)

    def record_departure(
        self, name: str, life: int, age: datetime.timedelta = datetime.timedelta()
    ) -> bool:
        """Record a departure; as `registrations.Registrations.record_departure`."""
        if not self.registrations.record_departure(name, life, age):
            return False
        if self.registrations.mark_leaving(name, life):
            self.notify_waiters()
        return True

    def get_time_since_departure(
        self, target: model.Target
    ) -> datetime.timedelta | None:
        """Return the time since a target announced that it is leaving, or None."""
        return self.registrations.get_time_since_departure(target)

    def get_time_since_evacuation(
        self, target: model.Target
    ) -> datetime.timedelta | None:
        """Return the time since the evacuation of a target's data centre, or None."""
        return self.evacuations.get_elapsed(target.data_centre)

    def apply_rows(
        self, rows: Iterable[model.StoredRow], apply_removals: bool = False
    ) -> list[model.StoredRow]:
        """Apply rows; return those that were newer than the known ones.

        Parameters
        ----------
        rows : iterable of model.StoredRow
        apply_removals : bool, optional
            Whether to apply removals at once, because they were already deferred or
            come from an instance that has done so.
        """
        changed = []
        for row in rows:
            self.record_era(row.version)
            if not value_checks.is_text(row.key):
                self.registrations.log_refused_key(row)
                continue
            known = self.rows.get((row.table, row.key))
            if known is not None and known.version >= row.version:
                self._check_version_reuse(known, row)
                continue
            if not apply_removals and self._defer_removal(row):
                continue
            self.rows[row.table, row.key] = row
            changed.append(row)
            self._apply_row(row)
        if any(row.table == model.TABLES.targets for row in changed):
            self.registrations.group()
        if changed:
            self.notify_waiters()
            for listener in self.listeners:
                listener(changed)
        return changed

    def apply_table(self, table: str, state: model.TableState) -> None:
        """Apply a complete table; known rows that it lacks have been removed."""
        self.record_era(state.version)
        present = {row.key for row in state.rows}
        gone = [
            model.StoredRow(table, key, state.version, None)
            for (name, key), row in self.rows.items()
            if name == table and key not in present and row.value is not None
        ]
        self.apply_rows([*state.rows, *gone])

    def apply_written_row(self, key: str, version: int, value: bytes) -> None:
        """Apply a row of the fleet's table that this process has just written."""
        self.apply_rows([model.StoredRow(model.TABLES.fleet, key, version, value)])

    def apply_deferred_removals(self) -> None:
        """Apply the deferred removals that are due."""
        if self.evacuations.end_lost():
            self.notify_waiters()
        due = self.registrations.take_due_removals()
        if due:
            self.apply_rows(due, apply_removals=True)

    def _defer_removal(self, row: model.StoredRow) -> bool:
        if row.table != model.TABLES.targets:
            return False
        return self.registrations.defer_removal(row)

    def _apply_row(self, row: model.StoredRow) -> None:
        if row.table == model.TABLES.configuration:
            if relayed_rows.is_evacuation(row):
                self.evacuations.apply_row(row)
            else:
                self._apply_routes(row)
        elif row.table == model.TABLES.targets:
            self.registrations.apply_row(row)
        elif row.key.startswith(RANGES_PREFIX):
            self._apply_ownership(row)
        elif row.key.startswith(MEMBER_PREFIX):
            self._apply_member(row)
        elif row.key == COORDINATOR_KEY:
            self._apply_leadership(row)
        elif row.key == QUORUM_KEY:
            self._apply_quorum(row)

    def _apply_routes(self, row: model.StoredRow) -> None:
        if row.value is None:
            return
        decoded = self.decode_routes(row.value)
        if isinstance(decoded, result.Failure):
            events.error("configuration_refused", failure=decoded.failure())
            return
        routes = decoded.unwrap()
        if self.routes is not None and routes.version <= self.routes.version:
            return
        self.routes = routes
        self.regions.apply_table(routes)
        events.info("configuration", version=routes.version, row=row.version)

    def _check_version_reuse(
        self, known: model.StoredRow, row: model.StoredRow
    ) -> None:
        """Log a row with other content than the known one of the same version."""
        if known.version != row.version or None in (known.value, row.value):
            return
        if ranges.unpack(known.value) != ranges.unpack(row.value):
            events.error(
                "row_version_reused", table=row.table, key=row.key, version=row.version
            )

    def _apply_ownership(self, row: model.StoredRow) -> None:
        service = row.key.removeprefix(RANGES_PREFIX)
        if row.value is None:
            if service in self.ownerships:
                unwritten = self.ownerships[service]._replace(version=0)
                self.ownerships[service] = unwritten
            return
        known = self.ownerships.get(service)
        owner_row = self.owner_rows.setdefault(service, owner_rows.OwnerRow(service))
        decoded = owner_row.decode(row.version, row.value)
        if isinstance(decoded, result.Failure):
            events.error("owners_refused", failure=decoded.failure())
            return
        ownership = decoded.unwrap()
        if known is not None and ownership.generation < known.generation:
            events.error(
                "generation_decreased",
                service=service,
                previous_generation=known.generation,
                generation=ownership.generation,
                previous_row=known.version,
                row=row.version,
            )
            # Owners change only under higher numbers, so the store has lost changes.
            ownership = known._replace(version=row.version)
        self.ownerships[service] = ownership

    def _apply_member(self, row: model.StoredRow) -> None:
        node = row.key.removeprefix(MEMBER_PREFIX)
        if row.value is None:
            self.members.pop(node, None)
            return
        decoded = decode_record(model.Member, row).bind(check_member)
        if isinstance(decoded, result.Failure):
            events.error("member_refused", failure=decoded.failure())
            return
        self.members[node] = decoded.unwrap()

    def _apply_leadership(self, row: model.StoredRow) -> None:
        if row.value is None:
            self.leadership = NO_LEADERSHIP
            return
        decoded = decode_record(Leadership, row, version=row.version)
        if isinstance(decoded, result.Failure):
            events.error("coordinator_refused", failure=decoded.failure())
            return
        self.leadership = decoded.unwrap()
        events.info(
            "coordinator",
            node=self.leadership.node,
            term=self.leadership.term,
            row=row.version,
        )

    def _apply_quorum(self, row: model.StoredRow) -> None:
        if row.value is None:
            self.quorum = quorums.merge(self.quorum, quorums.NO_QUORUM)
            return
        decoded = quorums.decode(row)
        if isinstance(decoded, result.Failure):
            events.error("quorum_refused", failure=decoded.failure())
            return
        self.quorum = quorums.merge(self.quorum, decoded.unwrap())

    # Queries.

    def is_withdrawn(self, target: model.Target) -> bool:
        """Whether a target can get no keys.

        It is leaving, being evacuated or outside the regions of its service.
        """
        return (
            target.leaving
            or self.evacuations.is_evacuated(target.data_centre)
            or not self.regions.may_own(target)
        )

    def list_open(self, service: str) -> tuple[model.Target, ...]:
        """Return the targets of a service whose data centre is not being evacuated."""
        targets = self.targets_by_service.get(service, ())
        if not self.evacuations.current:
            return targets
        is_evacuated = self.evacuations.is_evacuated
        return tuple(item for item in targets if not is_evacuated(item.data_centre))

    def lacks_allowed_targets(self, service: str) -> bool:
        """Whether the regions of a service leave it without targets that own keys."""
        targets = self.targets_by_service.get(service, ())
        restricted = service in self.regions.service_regions
        return restricted and not any(map(self.regions.may_own, targets))

    def list_table(self, table: str) -> list[model.StoredRow]:
        """Return the known rows of a table."""
        return [row for (name, _), row in self.rows.items() if name == table]

    def list_versions(self) -> tuple[tuple[int, int], ...]:
        """Return the key hash and the version of each known row."""
        rows = self.rows.values()
        return tuple((frames.hash_row_key(row), row.version) for row in rows)

    def list_newer(
        self, versions: Iterable[tuple[int, int]]
    ) -> tuple[model.StoredRow, ...]:
        """Return the rows that are missing or older at another instance."""
        versions_by_row = dict(versions)
        return tuple(
            row
            for row in self.rows.values()
            if versions_by_row.get(frames.hash_row_key(row), -1) < row.version
        )

    def is_moving(self, service: str, key: int) -> bool:
        """Return whether `key` is being moved."""
        return any(first <= key <= last for first, last in self.moving.get(service, ()))

    def notify_waiters(self) -> None:
        """Wake all tasks that wait for a change."""
        self.change_count += 1
        waiters, self.waiters = self.waiters, set()
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait_change(self, change_count: int, limit_s: float) -> None:
        """Wait up to `limit_s` seconds until `change_count` has increased."""
        if self.change_count != change_count or limit_s <= 0:
            return
        waiter = asyncio.get_running_loop().create_future()
        self.waiters.add(waiter)
        try:
            async with asyncio.timeout(limit_s):
                await waiter
        except TimeoutError:
            return
        finally:
            self.waiters.discard(waiter)
