import asyncio
import datetime
import time

from dewstep_core import clock, settings
from dewstep_entry import process

LIMIT = datetime.timedelta(seconds=0.6)


class BusyListener:
    connections = frozenset({"caller"})
    aborted = False

    async def stop(self):
        await asyncio.Event().wait()

    def abort(self):
        self.aborted = True


def test_a_stop_that_must_cut_ends_within_its_limit():
    # Guards against gates and callers that get the limit one after the other.
    async def hold_gates():
        await asyncio.sleep(LIMIT.total_seconds())
        return ("t1",)

    async def stop():
        address = settings.Address("127.0.0.1", 1)
        unit = process.EntryProcess(
            settings.Settings(
                "e1", "dc", address, address, address, (address,), stop_limit=LIMIT
            ),
            clock.SystemClock(),
        )
        unit.gates.stop = hold_gates
        unit.listener = BusyListener()
        started = time.monotonic()
        cut = await unit.stop()
        return cut, time.monotonic() - started, unit.listener.aborted

    cut, took, aborted = asyncio.run(stop())
    assert cut == ("gate of t1", "1 connections of callers")
    assert aborted
    assert took < (LIMIT + process.LINGER).total_seconds() + 0.4
