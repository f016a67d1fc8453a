"""Moves of shards away from lost and leaving targets, and planned moves."""

import asyncio
import datetime
from collections.abc import Awaitable, Callable, Collection, Mapping

from returns import result

from dewstep_core import clocks, data, errors, events, hashing
from dewstep_entry import interfaces
from dewstep_entry.gate import (
    assignments,
    gates,
    orders,
    ownership,
    rows,
    timing,
)

PlanEvacuation = Callable[[data.Assignment, str, Collection[str]], tuple[str, ...]]
"""Returns the owners of all shards, given the assignment, the target to evacuate and
the usable targets."""

# Pause before a move that certainly did not take effect is repeated, and longest wait
# for the end of a request before a leaving target is checked again.
MOVE_RETRY_PAUSE = datetime.timedelta(milliseconds=250)

# Interval at which a gate that waits for earlier gates checks for an operator's
# declaration.
DECLARATION_CHECK_INTERVAL = datetime.timedelta(seconds=2)

# Longest wait for the requests in progress before a planned move is given up.
DRAIN_TIMEOUT = datetime.timedelta(seconds=10)


class Mover:
    """Carries out moves for the gates of this process.

    Parameters
    ----------
    plan_evacuation : PlanEvacuation
        Returns the new owners of the shards.
    list_usable : Callable[[str, str], tuple[str, ...]]
        Returns the targets of a service that may get shards, except one.
    is_leaving : Callable[[str], bool]
        Returns whether a target is leaving.
    raise_term : Callable[[gates.Gate], Awaitable[bool]]
        Replaces a gate by one of the next term; returns whether its term has ended.
    """

    def __init__(
        self,
        writer: assignments.AssignmentWriter,
        table: interfaces.TableClient,
        clock: clocks.Clock,
        plan_evacuation: PlanEvacuation,
        list_usable: Callable[[str, str], tuple[str, ...]],
        is_leaving: Callable[[str], bool],
        raise_term: Callable[[gates.Gate], Awaitable[bool]],
    ):
        self.writer = writer
        self.table = table
        self.clock = clock
        self.plan_evacuation = plan_evacuation
        self.list_usable = list_usable
        self.is_leaving = is_leaving
        self.raise_term = raise_term
        self.move_tasks: set[asyncio.Task] = set()

    # Lost targets.

    async def evacuate(self, gate: gates.Gate) -> None:
        """Move all shards and keys of a lost target once its grant has expired."""
        while gate.lost and not gate.releasing and owns_shards_or_keys(gate):
            await self.wait_expiry(gate)
            if not gate.begin_evacuation():
                continue
            # `end_evacuation` is not called in a `finally`: after a cancellation it is
            # uncertain whether the shards have moved, so the target must get no grant.
            owned = gate.ownership.list_owned()
            outcome = await self.writer.change(
                gate.service.name, gate.record, self.make_evacuation(gate, owned)
            )
            self.unblock_moved(gate)
            events.warning(
                "target_evacuated",
                target=gate.target.name,
                term=gate.term,
                outcome=describe_outcome(outcome),
            )
            if gate.fenced and gate.ownership.list_owned() != owned:
                await self.end_term(gate)
                return
            gate.end_evacuation()
            await self.clock.sleep(MOVE_RETRY_PAUSE)

    async def end_term(self, gate: gates.Gate) -> None:
        """End the term of an evacuated target.

        Requests may still be in progress there for keys that now belong to other
        targets. A new grant of the same term would let them take effect.
        """
        while not gate.releasing and not await self.raise_term(gate):
            await self.clock.sleep(MOVE_RETRY_PAUSE)

    async def wait_expiry(self, gate: gates.Gate) -> None:
        """Wait until no request of any gate can run at a lost target."""
        while gate.lost and not gate.releasing:
            left = gate.get_expired_at() - self.clock.monotonic()
            if left <= datetime.timedelta():
                return
            if left > DECLARATION_CHECK_INTERVAL and await self.consume_declaration(
                gate
            ):
                continue
            await self.clock.sleep(min(left, DECLARATION_CHECK_INTERVAL))

    async def wait_declaration(self, gate: gates.Gate) -> None:
        """Check for a declaration while an unfenced target waits for earlier gates."""
        while gate.is_waiting() and not gate.releasing:
            if not await self.consume_declaration(gate):
                await self.clock.sleep(DECLARATION_CHECK_INTERVAL)

    async def consume_declaration(self, gate: gates.Gate) -> bool:
        """Delete and apply a declaration that the earlier gates are dead, if valid.

        A declaration covers the gate whose term it contains and those before it. It is
        valid only if it covers all gates before this one. It is deleted before it
        takes effect, so that it shortens only one wait.
        """
        key = rows.make_declaration_key(gate.target.name)
        found = await self.table.read(key)
        if isinstance(found, result.Failure) or found.unwrap().value is None:
            return False
        declared = found.unwrap().value.get("term")
        if not isinstance(declared, int) or declared < gate.term - 1:
            events.warning(
                "declaration_outdated",
                target=gate.target.name,
                declared_term=declared,
                term=gate.term,
            )
            return False
        checks = (
            data.Check(key, found.unwrap().version),
            data.Check(rows.make_gate_key(gate.target.name), gate.record.row.version),
        )
        outcome = await self.table.commit(
            data.Transaction(
                self.writer.make_operation_id(), checks, (data.Write(key, None),)
            )
        )
        if isinstance(outcome, result.Failure):
            return False
        events.warning("declaration_taken", target=gate.target.name)
        gate.clear_earlier_gates_end()
        return True

    def make_evacuation(
        self, gate: gates.Gate, moving: ownership.KeySet
    ) -> assignments.Change:
        """Return the change that moves shards and keys to other targets.

        The override of a single key is removed. The balancer adds one again if the key
        is still hot.
        """
        previous_owner = gate.target.name

        def change(assignment: data.Assignment) -> data.Assignment | None:
            usable = self.list_usable(assignment.service, previous_owner)
            if not usable:
                return None
            planned = self.plan_evacuation(assignment, previous_owner, usable)
            owners = tuple(
                planned[shard]
                if owner == previous_owner and shard in moving.shards
                else owner
                for shard, owner in enumerate(assignment.owners)
            )
            overrides = dict(assignment.overrides)
            shard_count = len(owners)
            for key in moving.keys:
                if overrides.get(key) != previous_owner:
                    continue
                # The key's shard may stay with the target; the key must not.
                owner = owners[hashing.compute_shard(key, shard_count)]
                if owner == previous_owner:
                    overrides[key] = usable[0]
                else:
                    del overrides[key]
            if owners == assignment.owners and overrides == assignment.overrides:
                return None
            return assignment._replace(owners=owners, overrides=overrides)

        return change

    # Leaving targets.

    async def drain_target(self, gate: gates.Gate) -> None:
        """Refuse new requests for a leaving target and move its shards away.

        Shards without requests in progress move at once, the others once their
        requests have ended.
        """
        while (
            self.is_leaving(gate.target.name)
            and not gate.releasing
            and not gate.lost
            and owns_shards_or_keys(gate)
        ):
            moving = gate.block_shards(*gate.ownership.list_owned())
            ended = gate.runs.ended
            idle = gate.mark_idle_drained(moving)
            if not idle.shards and not idle.keys:
                await timing.wait_event(self.clock, ended, MOVE_RETRY_PAUSE)
                continue
            outcome = await self.writer.change(
                gate.service.name, gate.record, self.make_evacuation(gate, idle)
            )
            self.unblock_moved(gate)
            events.info(
                "target_vacated",
                target=gate.target.name,
                shards=len(idle.shards),
                outcome=describe_outcome(outcome),
            )
            if not owns_none_of(gate, idle):
                await self.clock.sleep(MOVE_RETRY_PAUSE)
        if not self.is_leaving(gate.target.name):
            gate.resume_shards(*gate.ownership.list_owned())

    def unblock_moved(self, gate: gates.Gate) -> None:
        """Unblock the shards and keys that the target no longer owns."""
        owned = gate.ownership.list_owned()
        target_ownership = gate.ownership
        gate.ownership.end_move(
            ownership.make_key_set(
                target_ownership.blocked_shards - owned.shards,
                target_ownership.blocked_keys - owned.keys,
            )
        )

    # Planned moves.

    async def move_shards(
        self, gate: gates.Gate, moves: Mapping[int, str], ordered: bool = False
    ) -> result.Result[data.Assignment, interfaces.Failure]:
        """Move shards of a target to the owners in `moves`.

        Parameters
        ----------
        ordered : bool
            Whether an operator ordered it.
        """
        change = assignments.move_shards(dict(moves), gate.target.name)
        if ordered:
            change = orders.record_orders(change, moves, self.clock.now())
        change = self.exclude_leaving(change, moves.values())
        outcome = await self.move(gate, ownership.make_key_set(moves), change)
        checked = outcome.bind(
            lambda found: assignments.check_shards(found, moves, gate.target.name)
        )
        return checked.lash(
            lambda failure: self.explain_failure(failure, moves.values())
        )

    async def move_key(
        self, gate: gates.Gate, key: str, new_owner: str, ordered: bool = False
    ) -> result.Result[data.Assignment, interfaces.Failure]:
        """Move a single key of a target to `new_owner`.

        Parameters
        ----------
        ordered : bool
            Whether an operator ordered it.
        """
        shard = hashing.compute_shard(key, gate.service.shard_count)
        change = assignments.move_key(key, shard, new_owner, gate.target.name)
        if ordered:
            change = orders.record_orders(change, [key], self.clock.now())
        change = self.exclude_leaving(change, [new_owner])
        outcome = await self.move(gate, ownership.make_key_set(keys=(key,)), change)
        checked = outcome.bind(
            lambda found: assignments.check_key(found, key, new_owner, gate.target.name)
        )
        return checked.lash(lambda failure: self.explain_failure(failure, [new_owner]))

    def exclude_leaving(
        self, change: assignments.Change, new_owners: Collection[str]
    ) -> assignments.Change:
        """Return `change`, or no change once a new owner has begun to leave.

        The requests in progress are awaited before the change, for up to
        `DRAIN_TIMEOUT`.
        """

        def change_unless_leaving(
            assignment: data.Assignment,
        ) -> data.Assignment | None:
            if any(self.is_leaving(name) for name in new_owners):
                return None
            return change(assignment)

        return change_unless_leaving

    def explain_failure(
        self, failure: interfaces.Failure, new_owners: Collection[str]
    ) -> result.Result[data.Assignment, interfaces.Failure]:
        """Return the failure of a move, or that a new owner is leaving."""
        leaving = next(filter(self.is_leaving, new_owners), None)
        if isinstance(failure, errors.NotTheOwner) and leaving is not None:
            failure = errors.TargetLeaving(leaving)
        return result.Failure(failure)

    async def move(
        self, gate: gates.Gate, moving: ownership.KeySet, change: assignments.Change
    ) -> result.Result[data.Assignment, interfaces.Failure]:
        """Drain, commit, and unblock the shards and keys.

        Continues if its caller is cancelled, since the keys must stay blocked until
        the result of the transaction is certain.
        """
        work = asyncio.ensure_future(self.drain_and_commit(gate, moving, change))
        self.move_tasks.add(work)
        work.add_done_callback(self.move_tasks.discard)
        return await asyncio.shield(work)

    async def drain_and_commit(
        self, gate: gates.Gate, moving: ownership.KeySet, change: assignments.Change
    ) -> result.Result[data.Assignment, interfaces.Failure]:
        """Carry out `move` in its own task."""
        drained, _ = await timing.wait_at_most(
            self.clock, gate.drain_shards(*moving), DRAIN_TIMEOUT
        )
        outcome = result.Failure(errors.DeadlineExceeded(gate.target.name))
        if drained:
            outcome = await self.writer.change(gate.service.name, gate.record, change)
        gate.ownership.end_move(moving)
        return outcome


def owns_shards_or_keys(gate: gates.Gate) -> bool:
    """Return whether the target of a gate owns a shard or a single key."""
    return gate.ownership.list_owned() != ownership.KeySet()


def owns_none_of(gate: gates.Gate, moving: ownership.KeySet) -> bool:
    """Return whether the target no longer owns any of these shards and keys."""
    owned = gate.ownership.list_owned()
    return not (owned.shards & moving.shards or owned.keys & moving.keys)


def describe_outcome(outcome: result.Result) -> str:
    """Return the log text for the outcome of a move."""
    if isinstance(outcome, result.Success):
        return f"version {outcome.unwrap().version}"
    return type(outcome.failure()).__name__
