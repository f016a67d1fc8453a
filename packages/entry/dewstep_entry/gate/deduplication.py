"""Deduplication methods, which prevent a request id from running twice.

- "none": for idempotent kinds; stores nothing.
- "table": writes a claim row before the request is sent.
- "memory": for time-ordered ids; an id that may have run under another gate, or that
  was evicted from memory, is refused because its outcome is unknown.
"""

import datetime
import uuid
from collections.abc import Callable
from typing import NamedTuple, Protocol

from returns import result

from dewstep_core import clocks, data, errors, events, registry
from dewstep_entry import interfaces
from dewstep_entry.gate import rows

# Maximum number of remembered claims whose request did not run and whose row may exist.
UNUSED_CLAIM_LIMIT = 1_024

# A UUID of version 7 holds its time above this many lower bits.
UUID_TIME_SHIFT_BITS = 80

# Age at which the floor of a single shard or key is merged into the floor of the gate.
FLOOR_MERGE_AGE = datetime.timedelta(minutes=1)


class Claim(NamedTuple):
    """Permission to run one request id; `version` is 0 if there is no claim row."""

    key: str
    version: int
    operation_id: str


NO_CLAIM = Claim("", 0, "")


class Context(NamedTuple):
    """The properties of a gate that the methods use."""

    service: str
    entry: str
    term: int
    gate_check: data.Check
    """Check of the gate row; fails once another gate has been written to it."""
    table: interfaces.TableClient
    clock: clocks.Clock
    maximum_clock_skew: datetime.timedelta
    make_operation_id: Callable[[], str]


class Method(Protocol):
    """A deduplication method of one gate."""

    remembers: bool
    """Whether the gate keeps request ids and answers in memory."""

    def check(self, request: data.Request, shard: int) -> interfaces.Failure | None:
        """Return why a request id that is not in memory must not run, or None."""

    async def claim(
        self, request: data.Request
    ) -> result.Result[Claim, interfaces.Failure]:
        """Claim the id of a request that holds a slot."""

    async def abandon(self, claim: Claim, request: data.Request) -> None:
        """Release a claim whose request certainly did not run."""


methods: registry.Registry[Callable[[Context], Method]] = registry.Registry(
    "deduplication method"
)


def make_methods(context: Context) -> dict[str, Method]:
    """Return all methods for one gate, by name."""
    return {name: methods.get(name)(context) for name in methods}


@methods.register("none")
class NoDeduplication:
    """Method of idempotent kinds."""

    remembers = False

    def __init__(self, context: Context):
        pass

    def check(self, request: data.Request, shard: int) -> None:
        """Return None: every request may run."""
        return None

    async def claim(
        self, request: data.Request
    ) -> result.Result[Claim, interfaces.Failure]:
        """Return an empty claim."""
        return result.Success(NO_CLAIM)

    async def abandon(self, claim: Claim, request: data.Request) -> None:
        """Do nothing."""


@methods.register("table")
class TableDeduplication:
    """Claim rows in the table service."""

    remembers = True

    def __init__(self, context: Context):
        self.context = context
        self.unused_claims: dict[str, None] = {}

    def check(self, request: data.Request, shard: int) -> None:
        """Return None: the claim decides."""
        return None

    async def claim(
        self, request: data.Request
    ) -> result.Result[Claim, interfaces.Failure]:
        """Insert the claim row, or rewrite an unused one of this gate."""
        key = rows.make_claim_key(self.context.service, request.request_id)
        first = await self.write(key, 0, request)
        if isinstance(first, result.Success) or not isinstance(
            first.failure(), errors.Conflict
        ):
            return first.alt(self.make_claim_failure)
        if key not in first.failure().keys:
            return result.Failure(self.make_claim_failure(first.failure()))
        found = await self.context.table.read(key)
        if isinstance(found, result.Failure):
            return found.alt(self.make_claim_failure)
        row = found.unwrap()
        operation_id = (row.value or {}).get("operation_id")
        if operation_id not in self.unused_claims:
            return result.Failure(
                errors.AlreadyClaimed(request.service, request.request_id)
            )
        # The row is rewritten instead of reused: a deletion that is still in progress
        # checks the old version and then fails.
        again = await self.write(key, row.version, request)
        if isinstance(again, result.Success):
            self.unused_claims.pop(operation_id, None)
        return again.alt(self.make_claim_failure)

    async def write(
        self, key: str, version: int, request: data.Request
    ) -> result.Result[Claim, interfaces.Failure]:
        """Write the claim row over `version`."""
        operation_id = self.context.make_operation_id()
        value = {
            "gate": self.context.entry,
            "term": self.context.term,
            "time": self.context.clock.now().isoformat(),
            "operation_id": operation_id,
        }
        transaction = data.Transaction(
            operation_id,
            (data.Check(key, version), self.context.gate_check),
            (data.Write(key, value),),
        )
        # Noted before the call: the transaction may take effect even if its answer is
        # lost or the caller is cancelled.
        self.note_unused(operation_id)
        outcome = await self.context.table.commit(transaction)
        if isinstance(outcome, result.Success):
            self.unused_claims.pop(operation_id, None)
        return outcome.map(
            lambda commit: Claim(key, commit.versions[key], operation_id)
        )

    def make_claim_failure(self, failure: interfaces.Failure) -> interfaces.Failure:
        """Return the refusal for a claim that could not be written."""
        return errors.ClaimUnavailable(self.context.service, type(failure).__name__)

    def note_unused(self, operation_id: str) -> None:
        """Remember the claim of `operation_id` as unused."""
        self.unused_claims[operation_id] = None
        if len(self.unused_claims) > UNUSED_CLAIM_LIMIT:
            del self.unused_claims[next(iter(self.unused_claims))]

    async def abandon(self, claim: Claim, request: data.Request) -> None:
        """Delete the claim row; if that fails, the claim is remembered as unused."""
        self.note_unused(claim.operation_id)
        outcome = await self.context.table.commit(
            data.Transaction(
                self.context.make_operation_id(),
                (data.Check(claim.key, claim.version),),
                (data.Write(claim.key, None),),
            )
        )
        if isinstance(outcome, result.Failure):
            events.warning("claim_kept", claim=claim.key, failure=outcome.failure())


@methods.register("memory")
class MemoryDeduplication:
    """Time-ordered ids that the gate keeps in memory.

    An id that is not later than a floor may have run without a record in this gate.
    Floors are set when the gate starts without the request ids of its predecessor, when
    a shard or key is moved here from another target, and when ids are evicted.
    """

    remembers = True

    def __init__(self, context: Context):
        self.context = context
        self.floor = datetime.datetime.min.replace(tzinfo=datetime.UTC)
        self.shard_floors: dict[int, datetime.datetime] = {}
        self.key_floors: dict[str, datetime.datetime] = {}

    def check(self, request: data.Request, shard: int) -> interfaces.Failure | None:
        """Return why an id that is not in memory must not run, or None."""
        time = read_uuid_time(request.request_id)
        if time is None:
            return errors.RequestIdUnusable(request.service, request.request_id)
        if time > self.context.clock.now() + self.context.maximum_clock_skew:
            return errors.RequestIdAhead(request.service, request.request_id)
        floor = max(
            self.floor,
            self.shard_floors.get(shard, self.floor),
            self.key_floors.get(request.key, self.floor),
        )
        if time <= floor:
            return errors.AlreadyClaimed(request.service, request.request_id)
        return None

    async def claim(
        self, request: data.Request
    ) -> result.Result[Claim, interfaces.Failure]:
        """Return an empty claim."""
        return result.Success(NO_CLAIM)

    async def abandon(self, claim: Claim, request: data.Request) -> None:
        """Do nothing."""

    def compute_change_floor(self) -> datetime.datetime:
        """Return the floor for a change of gate or target at this moment.

        Twice the skew: the previous gate accepted ids up to one skew ahead of its
        clock, which may itself be one skew ahead of this one.
        """
        return self.context.clock.now() + 2 * self.context.maximum_clock_skew

    def raise_floor_for_new_gate(self) -> None:
        """Raise the floor: this gate started without its predecessor's request ids."""
        self.floor = max(self.floor, self.compute_change_floor())

    def set_arrival_floors(self, shards: set[int], keys: set[str]) -> None:
        """Set floors for shards and single keys moved here from other targets."""
        floor = self.compute_change_floor()
        self.merge_old_floors()
        self.shard_floors.update(dict.fromkeys(shards, floor))
        self.key_floors.update(dict.fromkeys(keys, floor))

    def merge_old_floors(self) -> None:
        """Merge old floors of shards and keys into the floor of the gate.

        This bounds their number. They must not be dropped, since old ids may be resent
        at any time. New ids are later than the raised floor.
        """
        limit = self.context.clock.now() - FLOOR_MERGE_AGE
        for floors in (self.shard_floors, self.key_floors):
            for name, floor in list(floors.items()):
                if floor < limit:
                    self.floor = max(self.floor, floor)
                    del floors[name]

    def raise_floor_for_eviction(self, request_id: str) -> None:
        """Raise the floor for an id that was evicted from memory."""
        time = read_uuid_time(request_id)
        if time is not None:
            self.floor = max(self.floor, time)


def read_uuid_time(request_id: str) -> datetime.datetime | None:
    """Return the time in a UUID of version 7 (RFC 9562), or None."""
    try:
        parsed = uuid.UUID(request_id)
    except ValueError:
        return None
    if parsed.version != 7:
        return None
    milliseconds = parsed.int >> UUID_TIME_SHIFT_BITS
    try:
        return datetime.datetime.fromtimestamp(0, datetime.UTC) + datetime.timedelta(
            milliseconds=milliseconds
        )
    except OverflowError:
        return None
