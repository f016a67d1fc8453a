"""Local copy of the store's rows, each decoded once.

Rows are read from the store or relayed by the coordinator. A row is only replaced by a
newer version, so rows may arrive by either way, repeatedly and in any order.

During a store outage, live targets lose their rows because their heartbeats fail. A
removal received within `REMOVAL_GRACE` of the store's recovery is therefore deferred,
and discarded if the target registers again.

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
from dewstep_fleet import frames, model, quorums, ranges

REMOVAL_GRACE = datetime.timedelta(milliseconds=2300)
"""Live targets are registered again within about 2 s of the store's recovery."""
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


MAX_DEPARTURES = 4_096
"""Number of announced departures that are kept, many times those of a day."""
MAX_DETAIL_CHARACTERS = 200
"""Length to which the reason of a refusal is shortened."""
MAX_REFUSALS = 4_096
"""Number of refused rows whose reasons are kept."""
NO_LEADERSHIP = Leadership("", "", 0, 0)


def encode_record(record: NamedTuple) -> bytes:
    """Return the row value that encodes a flat tuple."""
    content = {"schema": ranges.SCHEMA_VERSION, **record._asdict()}
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


class Departure(NamedTuple):
    """A target's announcement in an answer that it is leaving."""

    life: int
    """Incarnation of the target."""
    noted_at: datetime.timedelta


def format_address(target: model.Target) -> str:
    """Return a target's address for log lines."""
    return f"{target.host}:{target.port}"


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
        self.decode_target = decode_target
        self.rows: dict[tuple[str, str], model.StoredRow] = {}
        self.routes: model.RouteTable | None = None
        self.targets: dict[str, model.Target] = {}
        self.targets_by_service: dict[str, tuple[model.Target, ...]] = {}
        self.names_by_address: dict[tuple[str, int], set[str]] = {}
        """Names of the registered targets at each address."""
        self.lives: dict[str, int] = {}
        """Last accepted incarnation of each target, also of removed ones."""
        self.refused_lives: dict[str, int] = {}
        """Incarnation of targets whose last row was refused because of it."""
        self.refusals: dict[tuple[str, str], str] = {}
        """Reason for which the last version of a row was refused, by table and key."""
        self.departures: dict[str, Departure] = {}
        """Targets that have announced in an answer that they are leaving."""
        self.ownerships: dict[str, ranges.Ownership] = {}
        self.members: dict[str, model.Member] = {}
        self.leadership = NO_LEADERSHIP
        self.quorum = quorums.NO_QUORUM
        self.moving: dict[str, tuple[tuple[int, int], ...]] = {}
        """Ranges that are being moved, by service."""
        self.era_floor = 0
        """Lowest version of the newest known era of the store."""
        self.store_recovered_at: datetime.timedelta | None = None
        """When the store recovered from its last outage or was restored."""
        self.deferred_removals: dict[
            str, tuple[model.StoredRow, datetime.timedelta]
        ] = {}
        """Deferred removals of targets, and until when each is deferred. A further
        outage does not extend this, since the target may be gone since the first
        one."""
        self.change_count = 0
        """Number of changes so far, for `wait_change`."""
        self.waiters: set[asyncio.Future] = set()
        self.listeners: list[Callable[[list[model.StoredRow]], None]] = []

    # Changes.

    def record_store_recovery(self, outage: datetime.timedelta) -> None:
        """Record that the store recovered from an outage of this duration."""
        if outage >= MIN_OUTAGE:
            self.store_recovered_at = self.clock.monotonic()

    def record_era(self, version: int) -> None:
        """Record the era of a version that the store has answered."""
        floor = model.get_era_floor(version)
        if floor <= self.era_floor:
            return
        self.era_floor = floor
        if self.rows:
            self.store_recovered_at = self.clock.monotonic()
            events.warning("store_restored", era=floor // model.VERSIONS_PER_ERA)

    def record_departure(self, name: str, life: int) -> bool:
        """Record that a target has announced that it is leaving.

        Its registration may not say so for a long time, or not at all. Returns false if
        the departure of this incarnation is known.
        """
        known = self.departures.get(name)
        if known is not None and known.life >= life:
            return False
        while len(self.departures) >= MAX_DEPARTURES:
            del self.departures[next(iter(self.departures))]
        self.departures[name] = Departure(life, self.clock.monotonic())
        target = self.targets.get(name)
        if target is not None and target.life == life:
            self.targets[name] = target._replace(leaving=True)
            self._group_targets()
            self.notify_waiters()
        events.info("target_departing", target=name, life=life)
        return True

    def get_time_since_departure(
        self, target: model.Target
    ) -> datetime.timedelta | None:
        """Return the time since a target announced that it is leaving, or None."""
        departure = self.departures.get(target.name)
        if departure is None or departure.life != target.life:
            return None
        return self.clock.monotonic() - departure.noted_at

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
                self._log_refused_key(row)
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
            self._group_targets()
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
        now = self.clock.monotonic()
        due = [row for row, until in self.deferred_removals.values() if until <= now]
        for row in due:
            del self.deferred_removals[row.key]
        if due:
            self.apply_rows(due, apply_removals=True)

    def _defer_removal(self, row: model.StoredRow) -> bool:
        if row.table != model.TABLES.targets:
            return False
        if row.value is not None:
            self.deferred_removals.pop(row.key, None)
            return False
        known = self.targets.get(row.key)
        if known is None or known.leaving or self.store_recovered_at is None:
            return False
        until = self.store_recovered_at + REMOVAL_GRACE
        if row.key in self.deferred_removals:
            until = self.deferred_removals[row.key][1]
        if until <= self.clock.monotonic():
            self.deferred_removals.pop(row.key, None)
            return False
        self.deferred_removals[row.key] = row, until
        return True

    def _apply_row(self, row: model.StoredRow) -> None:
        if row.table == model.TABLES.configuration:
            self._apply_routes(row)
        elif row.table == model.TABLES.targets:
            self._apply_target(row)
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
        events.info("configuration", version=routes.version, row=row.version)

    def _apply_target(self, row: model.StoredRow) -> None:
        decoded = None
        if row.value is not None:
            decoded = self.decode_target(row.key, row.value).bind(self._check_life)
        if isinstance(decoded, result.Success):
            self.refusals.pop((row.table, row.key), None)
            target = decoded.unwrap()
            if self.get_time_since_departure(target) is not None:
                target = target._replace(leaving=True)
            known = self.targets.get(row.key)
            self.targets[row.key] = target
            if known != target:
                events.info(
                    "target",
                    target=target.name,
                    service=target.service,
                    leaving=target.leaving,
                    life=target.life,
                    address=format_address(target),
                    row=row.version,
                )
                self._record_registration(row, known, target)
        else:
            if decoded is None:
                self.refusals.pop((row.table, row.key), None)
            else:
                self._log_refused_target(row, decoded.failure())
            known = self.targets.pop(row.key, None)
            if known is not None:
                self._forget_address(row.key, known)
                events.info(
                    "target_gone",
                    target=row.key,
                    life=known.life,
                    address=format_address(known),
                    row=row.version,
                )

    def _log_refused_key(self, row: model.StoredRow) -> None:
        """Log a row whose key cannot be sent to other instances, once."""
        key = fields.quote(row.key)
        if (row.table, key) not in self.refusals and self._has_space_for_refusal():
            self.refusals[row.table, key] = "key"
            events.warning("row_ignored", table=row.table, key=key, row=row.version)

    def _log_refused_target(self, row: model.StoredRow, failure: Any) -> None:
        """Log a refused registration, once for each reason.

        Its writer may write the row again several times a second.
        """
        reason = str(failure)
        if self.refusals.get((row.table, row.key)) == reason:
            return
        if self._has_space_for_refusal():
            self.refusals[row.table, row.key] = reason
        events.warning("target_refused", target=row.key, failure=failure)

    def _has_space_for_refusal(self) -> bool:
        return len(self.refusals) < MAX_REFUSALS

    def _record_registration(
        self, row: model.StoredRow, known: model.Target | None, target: model.Target
    ) -> None:
        """Log a new incarnation, and an address that another target has, too."""
        if known is not None and known.life != target.life:
            events.info(
                "target_incarnation_changed",
                target=row.key,
                previous_life=known.life,
                life=target.life,
                previous_address=format_address(known),
                address=format_address(target),
                row=row.version,
            )
        if known is not None:
            self._forget_address(row.key, known)
        names = self.names_by_address.setdefault((target.host, target.port), set())
        address = format_address(target)
        is_new = (
            known is None
            or known.life != target.life
            or format_address(known) != address
        )
        if names and is_new:
            events.warning(
                "target_address_shared",
                target=row.key,
                life=target.life,
                address=address,
                others=[f"{name}/{self.targets[name].life}" for name in sorted(names)],
                row=row.version,
            )
        names.add(row.key)

    def _forget_address(self, name: str, target: model.Target) -> None:
        address = target.host, target.port
        names = self.names_by_address.get(address, set())
        names.discard(name)
        if not names:
            self.names_by_address.pop(address, None)

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

    def _check_life(
        self, target: model.Target
    ) -> result.Result[model.Target, errors.RowInvalid]:
        """Refuse a target whose start time is missing or earlier than the known one.

        Other clients may write such rows, and the target's grants would be forgotten.
        An earlier start time is accepted if the next version of the row has it as well,
        since a target's clock may be set back before it restarts.
        """
        known = self.lives.get(target.name, 0)
        confirmed = self.refused_lives.pop(target.name, 0) == target.life > 0
        if target.life < known and not confirmed:
            self.refused_lives[target.name] = target.life
            detail = f"start time {target.life} after {known}"
            return result.Failure(errors.RowInvalid(target.name, detail))
        self.lives[target.name] = target.life
        return result.Success(target)

    def _group_targets(self) -> None:
        groups: dict[str, list[model.Target]] = {}
        for target in self.targets.values():
            groups.setdefault(target.service, []).append(target)
        self.targets_by_service = {name: tuple(group) for name, group in groups.items()}

    def _apply_ownership(self, row: model.StoredRow) -> None:
        service = row.key.removeprefix(RANGES_PREFIX)
        if row.value is None:
            if service in self.ownerships:
                unwritten = self.ownerships[service]._replace(version=0)
                self.ownerships[service] = unwritten
            return
        known = self.ownerships.get(service)
        decoded = ranges.decode(service, row.version, row.value, known)
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
