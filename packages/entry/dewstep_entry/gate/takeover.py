"""The transaction by which this process becomes the gate of a target.

A process is the gate only if the gate row names it. Each change of the gate raises the
term in the row.
"""

import datetime
import uuid
from collections.abc import Callable
from typing import NamedTuple

from returns import result

from dewstep_core import clocks, data, errors, events, settings
from dewstep_entry import interfaces
from dewstep_entry.gate import rows, succession
from dewstep_entry.state import view

# Maximum number of commits, and of reads after each, until the result of a transaction
# is known, and the pause between the reads.
READ_BACK_ATTEMPTS = 10
READ_BACK_PAUSE = datetime.timedelta(milliseconds=100)


def generate_operation_id() -> str:
    """Return a random operation id."""
    return str(uuid.uuid4())


class WrittenRow(NamedTuple):
    """A gate row that was written by this process."""

    record: rows.GateRecord
    sent_at: datetime.timedelta
    """Time at which the call that showed the row was sent."""


class TakeoverResult(NamedTuple):
    """The result of a takeover: the row names this process."""

    record: rows.GateRecord
    term_confirmed_at: datetime.timedelta
    wait: succession.Wait
    is_first_gate: bool


class GateRowWriter:
    """Reads and writes gate rows; resolves transactions whose answer was lost."""

    def __init__(
        self,
        own_member: data.Member,
        view_holder: view.ViewHolder,
        table: interfaces.TableClient,
        clock: clocks.Clock,
        grant_settings: settings.GrantSettings,
        make_operation_id: Callable[[], str] = generate_operation_id,
    ):
        self.own_member = own_member
        self.view_holder = view_holder
        self.table = table
        self.clock = clock
        self.grant_settings = grant_settings
        self.make_operation_id = make_operation_id

    async def read(
        self, target: str, default_horizon: datetime.timedelta
    ) -> result.Result[rows.GateRecord | None, interfaces.Failure]:
        """Return the gate row of a target, or None if there is none."""
        outcome = await self.table.read(rows.make_gate_key(target))
        if isinstance(outcome, result.Failure):
            return outcome
        row = outcome.unwrap()
        if row.value is None:
            return result.Success(None)
        decoded = rows.decode_gate(row, default_horizon)
        if isinstance(decoded, result.Success):
            self.view_holder.offer_gate(decoded.unwrap().row)
        return decoded

    async def take_over(
        self, target: data.Target, horizon: datetime.timedelta, held_term: int | None
    ) -> result.Result[TakeoverResult, interfaces.Failure]:
        """Raise the term with this process as the gate.

        The vacancy is checked again with the row just read, since the view may be
        outdated.
        """
        sent_at = self.clock.monotonic()
        found = await self.read(target.name, horizon)
        if isinstance(found, result.Failure):
            return found
        previous = found.unwrap()
        row = None if previous is None else previous.row
        members = self.view_holder.current.members
        vacancy = succession.find_vacancy(row, members, self.own_member, held_term)
        if vacancy == succession.ROW_NAMES_THIS_PROCESS:
            now = self.clock.monotonic()
            wait = succession.compute_named_wait(previous, now, self.grant_settings)
            return result.Success(TakeoverResult(previous, sent_at, wait, False))
        if vacancy is None:
            return result.Failure(errors.NotTheGate(target.name, row.term))
        written = await self.write(
            target.name,
            previous,
            self.own_member,
            succession.compute_recorded_horizon(previous, horizon),
            released=False,
        )
        if isinstance(written, result.Failure):
            return written
        written_row = written.unwrap()
        now = self.clock.monotonic()
        wait = succession.compute_wait(previous, now, self.grant_settings)
        events.info(
            "gate_taken",
            target=target.name,
            term=written_row.record.row.term,
            reason=vacancy,
            wait=wait.reason,
        )
        return result.Success(
            TakeoverResult(
                written_row.record, written_row.sent_at, wait, previous is None
            )
        )

    async def write(
        self,
        target: str,
        previous: rows.GateRecord | None,
        gate: data.Member,
        horizon: datetime.timedelta,
        released: bool,
    ) -> result.Result[WrittenRow, interfaces.Failure]:
        """Write the row that names `gate` with the next term."""
        version = 0 if previous is None else previous.row.version
        term = 1 if previous is None else previous.row.term + 1
        operation_id = self.make_operation_id()
        row = data.GateRow(
            target, gate.entry, gate.incarnation, gate.host, gate.port, term, version
        )
        operator_address = ""
        if gate.operator_port:
            address = settings.Address(gate.host, gate.operator_port)
            operator_address = settings.format_address(address)
        record = rows.GateRecord(row, horizon, released, operation_id, operator_address)
        key = rows.make_gate_key(target)
        transaction = data.Transaction(
            operation_id,
            (data.Check(key, version),),
            (data.Write(key, rows.encode_gate(record)),),
        )
        return await self.commit(transaction, record)

    async def commit(
        self, transaction: data.Transaction, record: rows.GateRecord
    ) -> result.Result[WrittenRow, interfaces.Failure]:
        """Commit a gate row; after a lost answer, read it back to get the result."""
        key = transaction.checks[0].key
        for _ in range(READ_BACK_ATTEMPTS):
            sent_at = self.clock.monotonic()
            outcome = await self.table.commit(transaction)
            if isinstance(outcome, result.Success):
                version = outcome.unwrap().versions[key]
                return self.note_written(record, version, sent_at)
            failure = outcome.failure()
            if not isinstance(failure, errors.AnswerLost | errors.Conflict):
                return outcome
            # The conflict may be with this same transaction, if the client sent it
            # twice and the first answer was lost.
            sent_at = self.clock.monotonic()
            found = await self.read_until_answered(key)
            if isinstance(found, result.Failure):
                return result.Failure(errors.AnswerLost(str(found.failure())))
            row = found.unwrap()
            value = row.value or {}
            if value.get("operation_id") == transaction.operation_id:
                return self.note_written(record, row.version, sent_at)
            if row.version != transaction.checks[0].version or isinstance(
                failure, errors.Conflict
            ):
                decoded = rows.decode_gate(row, record.horizon)
                if isinstance(decoded, result.Success):
                    self.view_holder.offer_gate(decoded.unwrap().row)
                return result.Failure(errors.Conflict((key,)))
        return result.Failure(errors.AnswerLost(key))

    async def read_until_answered(
        self, key: str
    ) -> result.Result[data.Row, interfaces.Failure]:
        """Read a row, with retries up to the limit of attempts."""
        for _ in range(READ_BACK_ATTEMPTS):
            found = await self.table.read(key)
            if isinstance(found, result.Success):
                return found
            await self.clock.sleep(READ_BACK_PAUSE)
        return found

    def note_written(
        self, record: rows.GateRecord, version: int, sent_at: datetime.timedelta
    ) -> result.Result[WrittenRow, interfaces.Failure]:
        """Add a written row to the view and return it with its version."""
        record = record._replace(row=record.row._replace(version=version))
        self.view_holder.offer_gate(record.row)
        return result.Success(WrittenRow(record, sent_at))
