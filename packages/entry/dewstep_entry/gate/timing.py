"""Waiting with the injected clock instead of the clock of the event loop."""

import asyncio
import datetime
from collections.abc import Awaitable, Callable
from typing import Any

from dewstep_core import clocks, events

# Pause before a failed loop is restarted.
RESTART_PAUSE = datetime.timedelta(milliseconds=100)


async def wait_at_most(
    clock: clocks.Clock, awaitable: Awaitable, duration: datetime.timedelta
) -> tuple[bool, Any]:
    """Return (True, value) of `awaitable`, or (False, None) after `duration`.

    The task or coroutine is cancelled if it takes longer or if the caller is
    cancelled. Pass `asyncio.shield(...)` to keep a shared task running.
    """
    work = asyncio.ensure_future(awaitable)
    timer = asyncio.ensure_future(clock.sleep(duration))
    try:
        await asyncio.wait({work, timer}, return_when=asyncio.FIRST_COMPLETED)
        if work.done():
            return True, work.result()
        return False, None
    finally:
        timer.cancel()
        if not work.done():
            work.cancel()


async def wait_event(
    clock: clocks.Clock, event: asyncio.Event, duration: datetime.timedelta
) -> bool:
    """Wait until `event` is set or `duration` has passed; return whether it is set."""
    done, _ = await wait_at_most(clock, event.wait(), duration)
    return done


async def keep_running(clock: clocks.Clock, loop: Callable[[], Awaitable]) -> None:
    """Run `loop` until it returns; log an exception and restart the loop.

    Without the restart, an exception would end the renewals of a target permanently.
    """
    while True:
        try:
            return await loop()
        except Exception as error:
            events.exception("loop_failed", error)
            await clock.sleep(RESTART_PAUSE)
