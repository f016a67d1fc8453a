import asyncio
import datetime

from dewstep_core import clock

SECOND = datetime.timedelta(seconds=1)


def test_advance_wakes_only_sleepers_that_are_due():
    async def scenario():
        manual = clock.ManualClock()
        early = asyncio.ensure_future(manual.sleep(SECOND))
        late = asyncio.ensure_future(manual.sleep(3 * SECOND))
        await asyncio.sleep(0)
        manual.advance(2 * SECOND)
        await early
        assert not late.done()
        assert manual.monotonic() == 2 * SECOND
        assert manual.now() == manual.start + 2 * SECOND
        late.cancel()

    asyncio.run(scenario())


def test_system_clock_moves_forward():
    system = clock.SystemClock()
    first = system.monotonic()
    asyncio.run(system.sleep(datetime.timedelta(milliseconds=1)))
    assert system.monotonic() > first
    assert system.now().tzinfo is datetime.UTC
