import asyncio
import datetime

import pytest

from dewstep_core import clock as clocks
from dewstep_entry.balancing import lateness

MS = datetime.timedelta(milliseconds=1)
ZERO = datetime.timedelta()


@pytest.mark.parametrize("delay, late", ((0, False), (100, False), (101, True)))
def test_a_late_wake_up_counts_for_a_while(delay, late):
    # Guards against plans from loads that a starved process counted late.
    unit = lateness.LoopWatch(ZERO)
    now = lateness.INTERVAL + delay * MS
    reported = unit.wake(now)
    assert reported == (delay * MS if late else None)
    assert unit.is_late(now) is late
    while now < lateness.INTERVAL + delay * MS + lateness.MEMORY:
        assert unit.is_late(now) is late
        now += lateness.INTERVAL
        assert unit.wake(now) is None
    assert not unit.is_late(now)


def test_an_overdue_wake_up_counts_before_it_is_noted():
    # Guards against a process that resumes after a pause and plans before the task
    # that watches the loop has had its turn.
    unit = lateness.LoopWatch(ZERO)
    assert not unit.is_late(lateness.INTERVAL + lateness.TOLERANCE)
    assert unit.is_late(lateness.INTERVAL + lateness.TOLERANCE + MS)


def test_run_measures_the_clock():
    async def scenario():
        clock = clocks.ManualClock()
        unit = lateness.LoopWatch(clock.monotonic())
        task = asyncio.ensure_future(unit.run(clock))
        for step in (lateness.INTERVAL, 10 * lateness.INTERVAL):
            await asyncio.sleep(0)
            assert not unit.is_late(clock.monotonic())
            clock.advance(step)
        for _ in range(3):
            await asyncio.sleep(0)
        assert unit.is_late(clock.monotonic())
        task.cancel()

    asyncio.run(scenario())
