"""What this process knows of the fleet: rows of the store, decoded once each.

Rows come from the store itself or, relayed, from the coordinator. A row is only ever
replaced by one of a newer version, so that it makes no difference by which way, how
often and in which order rows arrive.

Targets that stop reporting while the store is away lose their rows although they
live. A removal that is seen within `RETURN_GRACE` of the store's return is therefore
held back, and forgotten if the target reports again.
"""

import asyncio
import datetime
import json
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from returns import result

from dewstep_core import clock as clocks, errors, events
from dewstep_fleet import frames, model, ranges

RETURN_GRACE = datetime.timedelta(milliseconds=2300)
"""Targets that live are back in the store within about 2 s of its return."""
LEAST_OUTAGE = datetime.timedelta(seconds=1)
"""An outage that an instance saw for less lets no target's row lapse: that takes three
heartbeats of 0.9 s, and an instance sees an outage 1.6 s late at most."""
RANGES = "ranges/"
MEMBER = "member/"
COORDINATOR = "coordinator"


class Leadership(NamedTuple):
    """Which instance coordinates the fleet."""

    node: str
    incarnation: str
    term: int
    version: int
    """Version of the row in the store, 0 if there is none."""


NO_LEADERSHIP = Leadership("", "", 0, 0)


def encode_record(record: NamedTuple) -> bytes:
    """Return the value of a row that holds a flat tuple."""
    content = {"schema": ranges.SCHEMA, **record._asdict()}
    return json.dumps(content, separators=(",", ":")).encode()


def decode_record(kind: type, row: model.StoredRow, **extra: Any):
    """Return the tuple that a row of the fleet's table holds.

    Returns
    -------
    Result
        The tuple, or `RowInvalid`.
    """
    try:
        content = json.loads(row.value)
        if content.pop("schema") != ranges.SCHEMA:
            return result.Failure(errors.RowInvalid(row.key, "unknown schema"))
        fields = {**content, **extra}
        for name, wanted in kind.__annotations__.items():
            if not isinstance(fields[name], wanted):
                return result.Failure(errors.RowInvalid(row.key, name))
        return result.Success(kind(**{name: fields[name] for name in kind._fields}))
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        return result.Failure(errors.RowInvalid(row.key, type(error).__name__))


class Directory:
    """The newest known version of each row, and what the rows say.

    Parameters
    ----------
    clock : clocks.Clock
    decode_routes, decode_target : callable
        Return the route table or the target that a row's bytes describe, or why not.
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
        self.by_service: dict[str, tuple[model.Target, ...]] = {}
        self.ownerships: dict[str, ranges.Ownership] = {}
        self.members: dict[str, model.Member] = {}
        self.leadership = NO_LEADERSHIP
        self.moving: dict[str, tuple[tuple[int, int], ...]] = {}
        """Ranges that are changing hands, by service."""
        self.returned: datetime.timedelta | None = None
        """When the store came back after an outage."""
        self.held_back: dict[str, tuple[model.StoredRow, datetime.timedelta]] = {}
        """Removals of targets, and until when they wait. A further outage must not
        prolong that: the target may be gone since the first one."""
        self.sequence = 0
        self.waiters: set[asyncio.Future] = set()
        self.listeners: list[Callable[[list[model.StoredRow]], None]] = []

    # Changes.

    def note_return(self, lasted: datetime.timedelta) -> None:
        """Note that the store answers again after it did not for `lasted`."""
        if lasted >= LEAST_OUTAGE:
            self.returned = self.clock.monotonic()

    def take(
        self, rows: Iterable[model.StoredRow], settled: bool = False
    ) -> list[model.StoredRow]:
        """Take rows; return those that were news.

        Parameters
        ----------
        rows : iterable of model.StoredRow
        settled : bool, optional
            Whether another instance has held back what had to be held back.
        """
        news = []
        for row in rows:
            known = self.rows.get((row.table, row.key))
            if known is not None and known.version >= row.version:
                continue
            if not settled and self._hold_back(row):
                continue
            self.rows[row.table, row.key] = row
            news.append(row)
            self._decode(row)
        if any(row.table == model.TABLES.targets for row in news):
            self._group_targets()
        if news:
            self.publish()
            for listener in self.listeners:
                listener(news)
        return news

    def take_table(self, table: str, state: model.TableState) -> None:
        """Take a whole table: rows that it leaves out have been removed."""
        present = {row.key for row in state.rows}
        gone = [
            model.StoredRow(table, key, state.version, None)
            for (name, key), row in self.rows.items()
            if name == table and key not in present and row.value is not None
        ]
        self.take([*state.rows, *gone])

    def take_written(self, key: str, version: int, value: bytes) -> None:
        """Take a row of the fleet's table that this process has just written."""
        self.take([model.StoredRow(model.TABLES.fleet, key, version, value)])

    def release_held_back(self) -> None:
        """Apply the removals whose time of grace has ended."""
        now = self.clock.monotonic()
        due = [row for row, until in self.held_back.values() if until <= now]
        for row in due:
            del self.held_back[row.key]
        if due:
            self.take(due, settled=True)

    def _hold_back(self, row: model.StoredRow) -> bool:
        if row.table != model.TABLES.targets:
            return False
        if row.value is not None:
            self.held_back.pop(row.key, None)
            return False
        known = self.targets.get(row.key)
        if known is None or known.leaving or self.returned is None:
            return False
        until = self.returned + RETURN_GRACE
        if row.key in self.held_back:
            until = self.held_back[row.key][1]
        if until <= self.clock.monotonic():
            self.held_back.pop(row.key, None)
            return False
        self.held_back[row.key] = row, until
        return True

    def _decode(self, row: model.StoredRow) -> None:
        if row.table == model.TABLES.configuration:
            self._take_routes(row)
        elif row.table == model.TABLES.targets:
            self._take_target(row)
        elif row.key.startswith(RANGES):
            self._take_ownership(row)
        elif row.key.startswith(MEMBER):
            self._take_member(row)
        elif row.key == COORDINATOR:
            self._take_leadership(row)

    def _take_routes(self, row: model.StoredRow) -> None:
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

    def _take_target(self, row: model.StoredRow) -> None:
        decoded = None
        if row.value is not None:
            decoded = self.decode_target(row.key, row.value)
        if isinstance(decoded, result.Success):
            target = decoded.unwrap()
            known = self.targets.get(row.key)
            self.targets[row.key] = target
            if known != target:
                events.info(
                    "target",
                    target=target.name,
                    service=target.service,
                    leaving=target.leaving,
                    life=target.life,
                    row=row.version,
                )
        else:
            if decoded is not None:
                events.warning(
                    "target_refused", target=row.key, failure=decoded.failure()
                )
            if self.targets.pop(row.key, None) is not None:
                events.info("target_gone", target=row.key, row=row.version)

    def _group_targets(self) -> None:
        groups: dict[str, list[model.Target]] = {}
        for target in self.targets.values():
            groups.setdefault(target.service, []).append(target)
        self.by_service = {name: tuple(group) for name, group in groups.items()}

    def _take_ownership(self, row: model.StoredRow) -> None:
        if row.value is None:
            return
        service = row.key.removeprefix(RANGES)
        decoded = ranges.decode(service, row.version, row.value)
        if isinstance(decoded, result.Failure):
            events.error("owners_refused", failure=decoded.failure())
            return
        self.ownerships[service] = decoded.unwrap()

    def _take_member(self, row: model.StoredRow) -> None:
        node = row.key.removeprefix(MEMBER)
        if row.value is None:
            self.members.pop(node, None)
            return
        decoded = decode_record(model.Member, row)
        if isinstance(decoded, result.Failure):
            events.error("member_refused", failure=decoded.failure())
            return
        self.members[node] = decoded.unwrap()

    def _take_leadership(self, row: model.StoredRow) -> None:
        if row.value is None:
            return
        decoded = decode_record(Leadership, row, version=row.version)
        if isinstance(decoded, result.Failure):
            events.error("coordinator_refused", failure=decoded.failure())
            return
        self.leadership = decoded.unwrap()
        events.info("coordinator", node=self.leadership.node, term=self.leadership.term)

    # Reading.

    def list_versions(self) -> tuple[tuple[int, int], ...]:
        """Return identifiers of all known rows, and the rows' versions."""
        rows = self.rows.values()
        return tuple((frames.identify_row(row), row.version) for row in rows)

    def list_newer(
        self, versions: Iterable[tuple[int, int]]
    ) -> tuple[model.StoredRow, ...]:
        """Return the rows of which another instance has no or older versions."""
        told = dict(versions)
        return tuple(
            row
            for row in self.rows.values()
            if told.get(frames.identify_row(row), -1) < row.version
        )

    def is_moving(self, service: str, key: int) -> bool:
        """Return whether `key` is changing hands."""
        return any(first <= key <= last for first, last in self.moving.get(service, ()))

    def publish(self) -> None:
        """Wake all that wait for a change."""
        self.sequence += 1
        waiters, self.waiters = self.waiters, set()
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait_change(self, sequence: int, limit: float) -> None:
        """Wait until the sequence number is past `sequence`, at most `limit` s."""
        if self.sequence != sequence or limit <= 0:
            return
        waiter = asyncio.get_running_loop().create_future()
        self.waiters.add(waiter)
        try:
            async with asyncio.timeout(limit):
                await waiter
        except TimeoutError:
            return
        finally:
            self.waiters.discard(waiter)
