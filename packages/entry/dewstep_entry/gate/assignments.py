"""Transactions that move shards and keys away from a target.

Each one checks the gate row of the target, so that only its current gate can commit it.
"""

import datetime
from collections.abc import Callable, Mapping

from returns import result

from dewstep_core import clocks, data, errors, events, owners
from dewstep_entry import interfaces
from dewstep_entry.gate import rows
from dewstep_entry.state import view

Change = Callable[[data.Assignment], data.Assignment | None]
"""Returns the changed assignment, or None if there is nothing to change."""

# Attempts of a change that conflicts with other changes of the assignment.
CONFLICT_ATTEMPTS = 50

# Pause between reads while the result of a transaction is not known.
READ_BACK_PAUSE = datetime.timedelta(milliseconds=200)


class AssignmentWriter:
    """Changes assignments for the gate of the target that gives shards away."""

    def __init__(
        self,
        view_holder: view.ViewHolder,
        table: interfaces.TableClient,
        clock: clocks.Clock,
        make_operation_id: Callable[[], str],
    ):
        self.view_holder = view_holder
        self.table = table
        self.clock = clock
        self.make_operation_id = make_operation_id

    async def read(
        self, service: str
    ) -> result.Result[data.Assignment, interfaces.Failure]:
        """Read an assignment from the table and add it to the view."""
        found = await self.table.read(rows.make_assignment_key(service))
        if isinstance(found, result.Failure):
            return found
        row = found.unwrap()
        if row.value is None:
            return result.Failure(errors.NotReady(row.key))
        decoded = rows.decode_assignment(row)
        if isinstance(decoded, result.Success):
            self.view_holder.offer_assignment(decoded.unwrap())
        return decoded

    async def read_until_answered(self, service: str) -> data.Assignment:
        """Read an assignment; retry until the table answers."""
        while True:
            found = await self.read(service)
            if isinstance(found, result.Success):
                return found.unwrap()
            await self.clock.sleep(READ_BACK_PAUSE)

    async def change(
        self,
        service: str,
        gate: rows.GateRecord,
        change: Change,
    ) -> result.Result[data.Assignment, interfaces.Failure]:
        """Commit a change if assignment and gate row still have these versions.

        Returns only when it is certain whether the change took effect. After a
        conflict, the change is applied again to the assignment read back.
        """
        assignment = self.view_holder.current.assignments.get(service)
        if assignment is None:
            assignment = await self.read_until_answered(service)
        for _ in range(CONFLICT_ATTEMPTS):
            changed = change(assignment)
            if changed is None:
                return result.Success(assignment)
            transaction = self.make_transaction(assignment, changed, gate)
            outcome = await self.commit(transaction, assignment, changed)
            if isinstance(outcome, result.Success):
                return outcome
            failure = outcome.failure()
            if not isinstance(failure, errors.Conflict):
                return outcome
            if rows.make_gate_key(gate.row.target) in failure.keys:
                return result.Failure(errors.NotTheGate(gate.row.target, gate.row.term))
            assignment = await self.read_until_answered(service)
        return result.Failure(errors.Conflict((rows.make_assignment_key(service),)))

    def make_transaction(
        self,
        assignment: data.Assignment,
        changed: data.Assignment,
        gate: rows.GateRecord,
    ) -> data.Transaction:
        """Return the transaction from `assignment` to `changed`."""
        operation_id = self.make_operation_id()
        key = rows.make_assignment_key(assignment.service)
        checks = (
            data.Check(key, assignment.version),
            data.Check(rows.make_gate_key(gate.row.target), gate.row.version),
        )
        value = rows.encode_assignment(changed, operation_id)
        return data.Transaction(operation_id, checks, (data.Write(key, value),))

    async def commit(
        self,
        transaction: data.Transaction,
        assignment: data.Assignment,
        changed: data.Assignment,
    ) -> result.Result[data.Assignment, interfaces.Failure]:
        """Commit once; after a lost answer, read back until the result is certain."""
        key = rows.make_assignment_key(assignment.service)
        while True:
            outcome = await self.table.commit(transaction)
            if isinstance(outcome, result.Success):
                return self.note_changed(
                    changed, outcome.unwrap().versions[key], transaction.operation_id
                )
            failure = outcome.failure()
            if not isinstance(failure, errors.AnswerLost | errors.Conflict):
                return outcome
            found = await self.read_until_answered(assignment.service)
            if transaction.operation_id in found.operations:
                events.info("assignment_settled", service=assignment.service)
                return result.Success(found)
            if isinstance(failure, errors.Conflict):
                return outcome
            if found.version != assignment.version:
                return result.Failure(errors.Conflict((key,)))
            await self.clock.sleep(READ_BACK_PAUSE)

    def note_changed(
        self, changed: data.Assignment, version: int, operation_id: str
    ) -> result.Result[data.Assignment, interfaces.Failure]:
        """Add a committed assignment to the view and return it."""
        operations = (*changed.operations, operation_id)[-rows.MAXIMUM_OPERATION_IDS :]
        changed = changed._replace(version=version, operations=operations)
        self.view_holder.offer_assignment(changed)
        return result.Success(changed)


def move_shards(shard_moves: dict[int, str], previous_owner: str) -> Change:
    """Return the change that moves shards that `previous_owner` still owns."""

    def change(assignment: data.Assignment) -> data.Assignment | None:
        shard_owners = list(assignment.owners)
        for shard, owner in shard_moves.items():
            if shard_owners[shard] == previous_owner:
                shard_owners[shard] = owner
        if tuple(shard_owners) == assignment.owners:
            return None
        return assignment._replace(owners=tuple(shard_owners))

    return change


def move_key(key: str, shard: int, new_owner: str, previous_owner: str) -> Change:
    """Return the change that moves one key that `previous_owner` still owns."""

    def change(assignment: data.Assignment) -> data.Assignment | None:
        shard_owner = assignment.owners[shard]
        if (
            assignment.overrides.get(key, shard_owner) != previous_owner
            or new_owner == previous_owner
        ):
            return None
        overrides = {**assignment.overrides, key: new_owner}
        if new_owner == shard_owner:
            del overrides[key]
        return assignment._replace(overrides=overrides)

    return change


def check_shards(
    assignment: data.Assignment, moves: Mapping[int, str], previous_owner: str
) -> result.Result[data.Assignment, errors.NotTheOwner]:
    """Return the assignment if all `moves` are in force in it.

    They are not if another transaction had moved a shard away from `previous_owner`
    before.
    """
    if all(assignment.owners[shard] == owner for shard, owner in moves.items()):
        return result.Success(assignment)
    return result.Failure(errors.NotTheOwner(previous_owner, assignment.version))


def check_key(
    assignment: data.Assignment, key: str, new_owner: str, previous_owner: str
) -> result.Result[data.Assignment, errors.NotTheOwner]:
    """Return the assignment if the owner of a key is `new_owner` in it."""
    if owners.find_owner(assignment, key)[0] == new_owner:
        return result.Success(assignment)
    return result.Failure(errors.NotTheOwner(previous_owner, assignment.version))
