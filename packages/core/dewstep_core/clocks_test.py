import asyncio
import datetime

from dewstep_core import clocks

SECOND = datetime.timedelta(seconds=1)


def test_advance_resumes_only_tasks_whose_sleep_has_ended():
    async def scenario():
        manual = clocks.ManualClock()
        short_sleep = asyncio.ensure_future(manual.sleep(SECOND))
        long_sleep = asyncio.ensure_future(manual.sleep(3 * SECOND))
        await asyncio.sleep(0)
        manual.advance(2 * SECOND)
        await short_sleep
        assert not long_sleep.done()
        assert manual.monotonic() == 2 * SECOND
        assert manual.now() == manual.start + 2 * SECOND
        long_sleep.cancel()

    asyncio.run(scenario())


def test_system_clock_advances():
    system = clocks.SystemClock()
    first = system.monotonic()
    asyncio.run(system.sleep(datetime.timedelta(milliseconds=1)))
    assert system.monotonic() > first
    assert system.now().tzinfo is datetime.UTC
