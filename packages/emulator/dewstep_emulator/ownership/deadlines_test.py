import asyncio

import pytest

from dewstep_core import clocks
from dewstep_emulator import testing
from dewstep_emulator.ownership import builders, deadlines

SECOND = builders.SECOND


# Guards against a call that its sender's time-out prevents.
@testing.run_in_event_loop
async def test_work_continues_after_its_time_limit():
    clock = clocks.ManualClock()
    tasks = deadlines.Tasks()
    done = []

    async def work():
        await clock.sleep(2 * SECOND)
        done.append(clock.monotonic())
        return "result"

    waiting = deadlines.wait_for(clock, tasks.start(work()), SECOND)
    with pytest.raises(TimeoutError):
        await builders.finish(clock, waiting)
    assert clock.monotonic() == SECOND
    await builders.run_for(clock, SECOND)
    assert done == [2 * SECOND]
    waiting = deadlines.wait_for(clock, tasks.start(work()), 3 * SECOND)
    assert await builders.finish(clock, waiting) == "result"
    # No alarm is left.
    assert builders.find_next_end(clock) is None


@testing.run_in_event_loop
async def test_closing_cancels_all_tasks():
    clock = clocks.ManualClock()
    tasks = deadlines.Tasks()
    started = [tasks.start(clock.sleep(SECOND)) for _ in range(3)]
    await builders.settle()
    tasks.close()
    await builders.settle()
    assert all(task.cancelled() for task in started)
    assert not tasks.tasks


# Guards against a failure that is logged although nobody waits for the work.
@testing.run_in_event_loop
async def test_failure_after_the_time_limit_is_not_reported():
    reported = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda loop, context: reported.append(context))
    clock = clocks.ManualClock()
    tasks = deadlines.Tasks()

    async def fail():
        await clock.sleep(2 * SECOND)
        raise ConnectionResetError

    waiting = deadlines.wait_for(clock, tasks.start(fail()), SECOND)
    with pytest.raises(TimeoutError):
        await builders.finish(clock, waiting)
    await builders.run_for(clock, 2 * SECOND)
    assert not tasks.tasks
    assert reported == []
