"""Reads configuration, assignments and gate rows from the table service.

All processes together read at a constant rate: each waits for the number of live
entry processes in its data centre times `SHARE`, with jitter, so that the fleet
neither reads more as it grows nor reads in step. News travels on by heartbeat. A
process that misses something asks for an extra read, at most one every
`LEAST_INTERVAL`.
"""

import asyncio
import datetime
import random
from collections.abc import Callable

from returns import result

from dewstep_core import clock as clocks, events, records
from dewstep_entry import interfaces
from dewstep_entry.gate import rows
from dewstep_entry.state import view

SHARE = datetime.timedelta(milliseconds=500)
LEAST_INTERVAL = datetime.timedelta(milliseconds=100)
FAILURE_INTERVAL = datetime.timedelta(seconds=1)
"""Wait after a failed read, jittered, so that the end of an outage is no rush."""
CONFIGURATION_KEY = "configuration"


class TableReader:
    """The task that reads the table.

    Parameters
    ----------
    table : interfaces.TableClient
    holder : view.ViewHolder
        Gets what is read.
    clock : clocks.Clock
    count_near : callable
        Returns the number of live entry processes in the data centre.
    generator : random.Random
        Source of the jitter.
    """

    def __init__(
        self,
        table: interfaces.TableClient,
        holder: view.ViewHolder,
        clock: clocks.Clock,
        count_near: Callable[[], int],
        generator: random.Random,
    ):
        self.table = table
        self.holder = holder
        self.clock = clock
        self.count_near = count_near
        self.random = generator
        self.wanted = asyncio.Event()
        self.last_failure: interfaces.Failure | None = None
        self.reads = 0

    def refresh(self) -> None:
        """Ask for a read soon, without waiting for it."""
        self.wanted.set()

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            succeeded = await self.read_all()
            started = self.clock.monotonic()
            await self.wait(self.choose_interval(succeeded))
            rest = LEAST_INTERVAL - (self.clock.monotonic() - started)
            await self.clock.sleep(max(rest, datetime.timedelta()))

    def choose_interval(self, succeeded: bool) -> datetime.timedelta:
        """Return the time until the next read."""
        base = SHARE * self.count_near() if succeeded else FAILURE_INTERVAL
        return base * (0.5 + self.random.random())

    async def wait(self, interval: datetime.timedelta) -> None:
        """Wait for `interval`, or until somebody asks for a read."""
        sleeping = asyncio.ensure_future(self.clock.sleep(interval))
        asking = asyncio.ensure_future(self.wanted.wait())
        try:
            await asyncio.wait((sleeping, asking), return_when=asyncio.FIRST_COMPLETED)
        finally:
            sleeping.cancel()
            asking.cancel()
        self.wanted.clear()

    async def read_all(self) -> bool:
        """Read everything once; return whether all reads succeeded."""
        started = self.clock.monotonic()
        self.reads += 1
        configuration = await self.table.read(CONFIGURATION_KEY)
        gates = await self.table.read_prefix("gate/")
        assignments = await self.table.read_prefix("assignment/")
        declarations = await self.table.read_prefix(rows.name_declaration(""))
        for answer in (configuration, gates, assignments, declarations):
            if isinstance(answer, result.Failure):
                self.last_failure = answer.failure()
                events.warning("table_read_failed", failure=answer.failure())
                return False
        row = configuration.unwrap()
        if row.value is not None:
            self.offer_configuration(row.value)
        for row in gates.unwrap():
            self.offer(rows.decode_gate(row, view.DEFAULT_HORIZON), self.offer_gate)
        for row in assignments.unwrap():
            self.offer(rows.decode_assignment(row), self.holder.offer_assignment)
        self.holder.set_declared(rows.decode_declarations(declarations.unwrap()))
        self.holder.set_table_contact(started)
        self.last_failure = None
        return True

    def offer_gate(self, record: rows.GateRecord) -> bool:
        """Take over the public part of a gate row."""
        return self.holder.offer_gate(record.row)

    def offer_configuration(self, value: dict) -> None:
        """Take over a configuration; one that is not valid is refused whole."""
        held = self.holder.current.configuration
        if held is not None and value.get("revision") == held.revision:
            return
        decoded = records.decode_configuration(value)
        self.offer(decoded, self.holder.offer_configuration)

    def offer(self, decoded: result.Result, accept: Callable) -> None:
        """Pass a decoded row on, or log why it is refused."""
        if isinstance(decoded, result.Failure):
            self.last_failure = decoded.failure()
            events.error("row_refused", failure=decoded.failure())
            return
        accept(decoded.unwrap())
