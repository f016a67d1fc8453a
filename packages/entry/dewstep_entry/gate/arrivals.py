"""Shards that have just arrived, whose suspects the gate does not know yet.

A target that a request crashed loses its shards after the crash was written to the
table. A read that begins after the arrival therefore shows it, and requests for the
arrived shards wait for that read.
"""

import asyncio
import datetime

from dewstep_core import clock as clocks
from dewstep_entry.gate import crashes, ownership, timing

# Longest wait of a request; without the table, it is then served all the same.
ARRIVAL_WAIT_LIMIT = datetime.timedelta(milliseconds=500)


class Arrivals:
    """Reads the suspects for arrived shards; at first, everything has arrived."""

    def __init__(self, recorder: crashes.CrashRecorder, clock: clocks.Clock):
        self.recorder = recorder
        self.clock = clock
        self.arrived: ownership.KeySet | None = None
        """None stands for all shards and keys."""
        self.reading: asyncio.Task | None = None

    def receive(self, arrived: ownership.KeySet) -> None:
        """Note arrived shards and keys and read the suspects again."""
        if self.arrived is not None:
            arrived = ownership.KeySet(
                self.arrived.shards | arrived.shards, self.arrived.keys | arrived.keys
            )
            self.arrived = arrived
        self.start_read()

    def start_read(self) -> None:
        """Start a read, in place of one that began too early."""
        if self.reading is not None:
            self.reading.cancel()
        self.reading = asyncio.ensure_future(self.read())

    async def read(self) -> None:
        """Read the suspects; nothing that has arrived needs to wait any more."""
        await self.recorder.refresh()
        self.arrived = ownership.KeySet()

    async def wait(self, key: str, shard: int) -> None:
        """Wait until the suspects among the requests of an arrived shard are known."""
        arrived = self.arrived
        if self.reading is None:
            return
        if arrived is None or shard in arrived.shards or key in arrived.keys:
            read = asyncio.wait({self.reading})
            await timing.wait_at_most(self.clock, read, ARRIVAL_WAIT_LIMIT)

    async def close(self) -> None:
        """End the read."""
        if self.reading is not None:
            self.reading.cancel()
            await asyncio.gather(self.reading, return_exceptions=True)
