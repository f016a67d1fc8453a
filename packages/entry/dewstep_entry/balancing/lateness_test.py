import asyncio
import datetime

import pytest

from dewstep_core import clocks
from dewstep_entry.balancing import lateness

MILLISECOND = datetime.timedelta(milliseconds=1)
ZERO = datetime.timedelta()


@pytest.mark.parametrize("delay, late", ((0, False), (100, False), (101, True)))
def test_loop_counts_as_late_for_a_period_after_a_late_wakeup(delay, late):
    # Guards against plans based on loads that were counted late for lack of processor
    # time.
    monitor = lateness.LoopMonitor(ZERO)
    now = lateness.WAKEUP_INTERVAL + delay * MILLISECOND
    reported = monitor.record_wakeup(now)
    assert reported == (delay * MILLISECOND if late else None)
    assert monitor.is_late(now) is late
    while now < lateness.WAKEUP_INTERVAL + delay * MILLISECOND + lateness.LATE_PERIOD:
        assert monitor.is_late(now) is late
        now += lateness.WAKEUP_INTERVAL
        assert monitor.record_wakeup(now) is None
    assert not monitor.is_late(now)


def test_overdue_wakeup_counts_before_it_is_recorded():
    # Guards against a process that resumes after a pause and plans before the monitor
    # task has run.
    monitor = lateness.LoopMonitor(ZERO)
    assert not monitor.is_late(lateness.WAKEUP_INTERVAL + lateness.MAX_WAKEUP_DELAY)
    assert monitor.is_late(
        lateness.WAKEUP_INTERVAL + lateness.MAX_WAKEUP_DELAY + MILLISECOND
    )


def test_run_detects_a_late_wakeup():
    async def scenario():
        clock = clocks.ManualClock()
        monitor = lateness.LoopMonitor(clock.monotonic())
        task = asyncio.ensure_future(monitor.run(clock))
        for step in (lateness.WAKEUP_INTERVAL, 10 * lateness.WAKEUP_INTERVAL):
            await asyncio.sleep(0)
            assert not monitor.is_late(clock.monotonic())
            clock.advance(step)
        for _ in range(3):
            await asyncio.sleep(0)
        assert monitor.is_late(clock.monotonic())
        task.cancel()

    asyncio.run(scenario())
