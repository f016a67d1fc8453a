"""Reads configuration, assignments and gate rows from the table service.

A poll reads only small rows; the large ones are read when they have changed.

All processes of a data centre together read at a constant rate. Each waits for
`INTERVAL_PER_PROCESS` times the number of live entry processes, with jitter, so that
the reads neither increase with the fleet nor coincide. Changes are distributed further
with heartbeats. A process that lacks a row requests an additional read, at most one
every `MIN_READ_INTERVAL`.
"""

import asyncio
import datetime
import random
from collections.abc import Callable

from returns import result

from dewstep_core import clocks, events, records
from dewstep_entry import interfaces
from dewstep_entry.gate import rows
from dewstep_entry.state import view

INTERVAL_PER_PROCESS = datetime.timedelta(milliseconds=500)
"""Mean time between two reads of the data centre's processes together."""
MIN_READ_INTERVAL = datetime.timedelta(milliseconds=100)
"""Minimum time between two reads of this process."""
FAILURE_INTERVAL = datetime.timedelta(seconds=1)
"""Mean time from a failed read to the next. It has jitter, so that processes do not
read simultaneously at the end of an outage."""
POLLS_PER_FULL_READ = 20
"""Number of polls of which one reads all rows."""


class TableReader:
    """The task that reads the table.

    Parameters
    ----------
    table : interfaces.TableClient
    holder : view.ViewHolder
        Updated with the rows.
    clock : clocks.Clock
    count_local : callable
        Returns the number of live entry processes in the data centre.
    generator : random.Random
        Source of the jitter.
    """

    def __init__(
        self,
        table: interfaces.TableClient,
        holder: view.ViewHolder,
        clock: clocks.Clock,
        count_local: Callable[[], int],
        generator: random.Random,
    ):
        self.table = table
        self.holder = holder
        self.clock = clock
        self.count_local = count_local
        self.random = generator
        self.read_requested = asyncio.Event()
        self.last_failure: interfaces.Failure | None = None
        self.full_reads = 0
        self.polls = 0
        self.full_read_requested = False

    def request_full_read(self) -> None:
        """Request a full read without waiting for it."""
        self.full_read_requested = True
        self.read_requested.set()

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            succeeded = await self.poll()
            poll_ended_at = self.clock.monotonic()
            await self.wait_for_request(self.choose_interval(succeeded))
            remaining = MIN_READ_INTERVAL - (self.clock.monotonic() - poll_ended_at)
            await self.clock.sleep(max(remaining, datetime.timedelta()))

    def choose_interval(self, succeeded: bool) -> datetime.timedelta:
        """Return the time until the next read."""
        base = (
            INTERVAL_PER_PROCESS * self.count_local() if succeeded else FAILURE_INTERVAL
        )
        return base * (0.5 + self.random.random())

    async def wait_for_request(self, interval: datetime.timedelta) -> None:
        """Wait for `interval` or until a read is requested."""
        timer = asyncio.ensure_future(self.clock.sleep(interval))
        requested = asyncio.ensure_future(self.read_requested.wait())
        try:
            await asyncio.wait((timer, requested), return_when=asyncio.FIRST_COMPLETED)
        finally:
            timer.cancel()
            requested.cancel()
        self.read_requested.clear()

    async def poll(self) -> bool:
        """Read the small rows, or all if necessary; return whether that succeeded.

        All rows are read when the revision has changed, when a read was requested or
        the last one failed, and in one of `POLLS_PER_FULL_READ` polls in case a message
        was lost.
        """
        self.polls += 1
        if self.full_read_requested or self.polls % POLLS_PER_FULL_READ == 1:
            self.full_read_requested = False
            return await self.read_all()
        started = self.clock.monotonic()
        revision = await self.table.read(records.REVISION_KEY)
        declarations = await self.table.read_prefix(rows.make_declaration_key(""))
        for answer in (revision, declarations):
            if isinstance(answer, result.Failure):
                return self.record_failure(answer.failure())
        current_configuration = self.holder.current.configuration
        newest_revision = (revision.unwrap().value or {}).get("revision")
        if (
            current_configuration is None
            or newest_revision != current_configuration.revision
        ):
            return await self.read_all()
        self.holder.set_declared(rows.decode_declarations(declarations.unwrap()))
        self.holder.set_table_contact(started)
        return True

    def record_failure(self, failure: interfaces.Failure) -> bool:
        """Record a failed read and make the next one read all rows."""
        self.full_read_requested = True
        self.last_failure = failure
        events.warning("table_read_failed", failure=failure)
        return False

    async def read_all(self) -> bool:
        """Read all rows; return whether all reads succeeded."""
        started = self.clock.monotonic()
        self.full_reads += 1
        self.last_failure = None
        configuration = await self.table.read(records.ROW_KEY)
        gates = await self.table.read_prefix("gate/")
        assignments = await self.table.read_prefix("assignment/")
        declarations = await self.table.read_prefix(rows.make_declaration_key(""))
        for answer in (configuration, gates, assignments, declarations):
            if isinstance(answer, result.Failure):
                return self.record_failure(answer.failure())
        row = configuration.unwrap()
        if row.value is not None:
            self.offer_configuration(row.value)
        for row in gates.unwrap():
            self.accept_row(
                rows.decode_gate(row, view.DEFAULT_HORIZON), self.accept_gate
            )
        for row in assignments.unwrap():
            self.accept_row(rows.decode_assignment(row), self.holder.offer_assignment)
        self.holder.set_declared(rows.decode_declarations(declarations.unwrap()))
        self.holder.set_table_contact(started)
        return True

    def accept_gate(self, record: rows.GateRecord) -> bool:
        """Offer the public part of a gate row to the view."""
        return self.holder.offer_gate(record.row)

    def offer_configuration(self, value: dict) -> None:
        """Offer a configuration to the view; an invalid one is rejected as a whole."""
        current_configuration = self.holder.current.configuration
        if (
            current_configuration is not None
            and value.get("revision") == current_configuration.revision
        ):
            return
        decoded = records.decode_configuration(value)
        self.accept_row(decoded, self.holder.offer_configuration)

    def accept_row(self, decoded: result.Result, accept: Callable) -> None:
        """Pass a decoded row to `accept`, or log why decoding failed."""
        if isinstance(decoded, result.Failure):
            self.last_failure = decoded.failure()
            events.error("row_refused", failure=decoded.failure())
            return
        accept(decoded.unwrap())
