"""Moving shards away from targets: lost ones, leaving ones, and on request."""

import asyncio
import datetime
from collections.abc import Awaitable, Callable, Collection, Mapping

from returns import result

from dewstep_core import clock as clocks, data, errors, events, hashing
from dewstep_entry import interfaces
from dewstep_entry.gate import (
    assignments,
    gate as gates,
    orders,
    ownership,
    rows,
    timing,
)

PlanEvacuation = Callable[[data.Assignment, str, Collection[str]], tuple[str, ...]]
"""Takes the assignment, the target to empty and the usable targets; returns the
owners of all shards."""

# Pause before a move that certainly did not take effect is tried again.
RETRY_PAUSE = datetime.timedelta(milliseconds=250)

# A long wait for the horizon is interrupted this often to look for an operator's
# declaration.
DECLARATION_INTERVAL = datetime.timedelta(seconds=2)

# Longest wait for the requests in progress of a planned move.
DRAIN_LIMIT = datetime.timedelta(seconds=10)


class Mover:
    """Carries out moves for the gates of this process.

    Parameters
    ----------
    plan_evacuation : PlanEvacuation
        Pure planner of the new owners.
    list_usable : Callable[[str, str], tuple[str, ...]]
        Returns the targets of a service that may get shards, without one.
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
        raise_term: Callable[[gates.Gate], Awaitable[bool]],
    ):
        self.writer = writer
        self.table = table
        self.clock = clock
        self.plan_evacuation = plan_evacuation
        self.list_usable = list_usable
        self.raise_term = raise_term
        self.moving: set[asyncio.Task] = set()

    # Lost targets.

    async def evacuate(self, gate: gates.Gate) -> None:
        """Move everything away from a lost target, as soon as that is safe."""
        while gate.lost and not gate.releasing and owns_anything(gate):
            await self.wait_expiry(gate)
            if not gate.begin_evacuation():
                continue
            # Not in a `finally`: a cancelled task leaves it uncertain whether the
            # shards have moved, and the target must then stay without a grant.
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
            await self.clock.sleep(RETRY_PAUSE)

    async def end_term(self, gate: gates.Gate) -> None:
        """End the term of an evacuated target.

        Its requests may still be in progress there, for keys that others own by now.
        If it returned and got a grant of the same term, they would take effect.
        """
        while not gate.releasing and not await self.raise_term(gate):
            await self.clock.sleep(RETRY_PAUSE)

    async def wait_expiry(self, gate: gates.Gate) -> None:
        """Wait until nothing of any gate runs at a lost target."""
        while gate.lost and not gate.releasing:
            left = gate.get_expired_at() - self.clock.monotonic()
            if left <= datetime.timedelta():
                return
            if left > DECLARATION_INTERVAL and await self.consume_declaration(gate):
                continue
            await self.clock.sleep(min(left, DECLARATION_INTERVAL))

    async def wait_declaration(self, gate: gates.Gate) -> None:
        """Look for a declaration while an unfenced target waits for earlier gates."""
        while gate.is_waiting() and not gate.releasing:
            if not await self.consume_declaration(gate):
                await self.clock.sleep(DECLARATION_INTERVAL)

    async def consume_declaration(self, gate: gates.Gate) -> bool:
        """Return whether an operator declared the earlier gates of a target dead.

        A declaration speaks of the gate whose term it names and of those before it.
        It counts only if that covers all gates before this one. It is deleted before
        it takes effect, so that it shortens one wait only.
        """
        key = rows.name_declaration(gate.target.name)
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
            data.Check(rows.name_gate(gate.target.name), gate.record.row.version),
        )
        outcome = await self.table.commit(
            data.Transaction(
                self.writer.make_operation_id(), checks, (data.Write(key, None),)
            )
        )
        if isinstance(outcome, result.Failure):
            return False
        events.warning("declaration_taken", target=gate.target.name)
        gate.clear_old_gates_end()
        return True

    def make_evacuation(
        self, gate: gates.Gate, moving: ownership.KeySet
    ) -> assignments.Change:
        """Return the change that moves the shards and keys in `moving` elsewhere.

        A single key goes back to its shard; it is lifted out again where it turns
        out to be hot.
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
                # Without this, a key would come back to a shard that stays here.
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

    async def vacate(self, gate: gates.Gate, is_leaving: Callable[[], bool]) -> None:
        """Take no new work for a leaving target and move its shards away.

        Shards without requests in progress move at once, the others when their
        requests have ended. Until then the target gets nothing new.
        """
        while (
            is_leaving()
            and not gate.releasing
            and not gate.lost
            and owns_anything(gate)
        ):
            moving = gate.block(*gate.ownership.list_owned())
            ended = gate.runs.ended
            idle = gate.mark_idle_drained(moving)
            if not idle.shards and not idle.keys:
                await timing.wait_event(self.clock, ended, RETRY_PAUSE)
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
            if not is_all_moved(gate, idle):
                await self.clock.sleep(RETRY_PAUSE)
        if not is_leaving():
            gate.resume_shards(*gate.ownership.list_owned())

    def unblock_moved(self, gate: gates.Gate) -> None:
        """Unblock what the target does not own any more."""
        owned = gate.ownership.list_owned()
        blocked = gate.ownership
        gate.ownership.note_departure(
            ownership.make_key_set(
                blocked.blocked - owned.shards, blocked.blocked_keys - owned.keys
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
            change = orders.note_orders(change, moves, self.clock.now())
        outcome = await self.move(gate, ownership.make_key_set(moves), change)
        return outcome.bind(
            lambda found: assignments.check_shards(found, moves, gate.target.name)
        )

    async def move_key(
        self, gate: gates.Gate, key: str, new_owner: str, ordered: bool = False
    ) -> result.Result[data.Assignment, interfaces.Failure]:
        """Move a single key of a target to `new_owner`, on an operator's order or not.

        Parameters
        ----------
        ordered : bool
            Whether an operator ordered it.
        """
        shard = hashing.compute_shard(key, gate.service.shard_count)
        change = assignments.move_key(key, shard, new_owner, gate.target.name)
        if ordered:
            change = orders.note_orders(change, [key], self.clock.now())
        outcome = await self.move(gate, ownership.make_key_set(keys=(key,)), change)
        return outcome.bind(
            lambda found: assignments.check_key(found, key, new_owner, gate.target.name)
        )

    async def move(
        self, gate: gates.Gate, moving: ownership.KeySet, change: assignments.Change
    ) -> result.Result[data.Assignment, interfaces.Failure]:
        """Drain, commit, and resume what did not move.

        Goes on if its caller is cancelled: the keys must stay blocked until the
        result of the transaction is certain.
        """
        work = asyncio.ensure_future(self.drain_and_commit(gate, moving, change))
        self.moving.add(work)
        work.add_done_callback(self.moving.discard)
        return await asyncio.shield(work)

    async def drain_and_commit(
        self, gate: gates.Gate, moving: ownership.KeySet, change: assignments.Change
    ) -> result.Result[data.Assignment, interfaces.Failure]:
        """Carry out `move`."""
        drained, _ = await timing.wait_at_most(
            self.clock, gate.drain_shards(*moving), DRAIN_LIMIT
        )
        outcome = result.Failure(errors.DeadlineExceeded(gate.target.name))
        if drained:
            outcome = await self.writer.change(gate.service.name, gate.record, change)
        gate.ownership.note_departure(moving)
        return outcome


def owns_anything(gate: gates.Gate) -> bool:
    """Return whether the target of a gate owns a shard or a single key."""
    return gate.ownership.list_owned() != ownership.KeySet()


def is_all_moved(gate: gates.Gate, moving: ownership.KeySet) -> bool:
    """Return whether the target owns nothing of `moving` any more."""
    owned = gate.ownership.list_owned()
    return not (owned.shards & moving.shards or owned.keys & moving.keys)


def describe_outcome(outcome: result.Result) -> str:
    """Return a short text on the outcome of a move, for the log."""
    if isinstance(outcome, result.Success):
        return f"version {outcome.unwrap().version}"
    return type(outcome.failure()).__name__
