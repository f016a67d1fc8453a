"""Builders of test data, links and a driver of the manual clock."""

import asyncio
import datetime
from collections.abc import Awaitable
from typing import Any

from dewstep_core import clocks

SECOND = datetime.timedelta(seconds=1)
MILLISECOND = datetime.timedelta(milliseconds=1)
SETTLING_ROUNDS = 30
"""Rounds of the event loop in which all tasks reach their next sleep."""


class TestLink:
    """A link whose delay and failures a test sets.

    Parameters
    ----------
    clock : clocks.Clock
    delay : datetime.timedelta, optional
    """

    __test__ = False

    def __init__(
        self, clock: clocks.Clock, delay: datetime.timedelta = datetime.timedelta()
    ):
        self.clock = clock
        self.delay = delay
        self.passes_before_reset: int | None = None
        """Number of messages after which all are lost; None if none is lost."""

    async def pass_through(self) -> None:
        """Return when a message has arrived."""
        if self.passes_before_reset == 0:
            raise ConnectionResetError
        if self.passes_before_reset is not None:
            self.passes_before_reset -= 1
        if self.delay:
            await self.clock.sleep(self.delay)


async def settle() -> None:
    """Let all tasks run until they wait for the clock or for each other."""
    for _ in range(SETTLING_ROUNDS):
        await asyncio.sleep(0)


async def run_for(clock: clocks.ManualClock, duration: datetime.timedelta) -> None:
    """Advance the clock by a duration, stopping at each end of a sleep."""
    end = clock.monotonic() + duration
    while True:
        await settle()
        next_end = find_next_end(clock)
        if next_end is None or next_end > end:
            break
        clock.advance(next_end - clock.monotonic())
    clock.advance(end - clock.monotonic())
    await settle()


async def finish(clock: clocks.ManualClock, work: Awaitable) -> Any:
    """Return the result of `work`, for which the clock is advanced."""
    task = asyncio.ensure_future(work)
    while True:
        await settle()
        if task.done():
            return task.result()
        next_end = find_next_end(clock)
        if next_end is None:
            task.cancel()
            raise RuntimeError("the work waits for nothing that the clock ends")
        clock.advance(next_end - clock.monotonic())


def find_next_end(clock: clocks.ManualClock) -> datetime.timedelta | None:
    """Return when the next sleep ends, or None if nothing sleeps."""
    return min(
        (end for end, future in clock.sleepers if not future.done()), default=None
    )
