"""Reads the crash suspects for shards that were just moved to a target.

Shards of a crashed target are moved after the crash was written to the table, so a read
that starts after the move shows the suspects. Requests for these shards wait for it.
"""

import asyncio
import datetime

from dewstep_core import clocks
from dewstep_entry.gate import crashes, ownership, timing

# Longest wait of a request. It is then served without the read, so that requests are
# served while the table is down.
ARRIVAL_WAIT_LIMIT = datetime.timedelta(milliseconds=500)


class SuspectReader:
    """Reads the suspects for arrived shards; for a new gate, all have arrived."""

    def __init__(self, recorder: crashes.CrashRecorder, clock: clocks.Clock):
        self.recorder = recorder
        self.clock = clock
        self.arrived: ownership.KeySet | None = None
        """None for all shards and keys."""
        self.reading: asyncio.Task | None = None

    def receive(self, arrived: ownership.KeySet) -> None:
        """Add arrived shards and keys and read the suspects again."""
        if self.arrived is not None:
            arrived = ownership.KeySet(
                self.arrived.shards | arrived.shards, self.arrived.keys | arrived.keys
            )
            self.arrived = arrived
        self.start_read()

    def start_read(self) -> None:
        """Start a read and cancel an earlier one."""
        if self.reading is not None:
            self.reading.cancel()
        self.reading = asyncio.ensure_future(self.read())

    async def read(self) -> None:
        """Read the suspects, after which requests need not wait."""
        await self.recorder.refresh()
        self.arrived = ownership.KeySet()

    async def wait(self, key: str, shard: int) -> None:
        """Wait for the read if the key or its shard has just arrived."""
        arrived = self.arrived
        if self.reading is None:
            return
        if arrived is None or shard in arrived.shards or key in arrived.keys:
            read = asyncio.wait({self.reading})
            await timing.wait_at_most(self.clock, read, ARRIVAL_WAIT_LIMIT)

    async def close(self) -> None:
        """Cancel the read."""
        if self.reading is not None:
            self.reading.cancel()
            await asyncio.gather(self.reading, return_exceptions=True)
