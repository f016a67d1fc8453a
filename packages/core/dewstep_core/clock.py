"""Clocks as an interface, so that tests decide what time it is.

Two kinds of time are kept apart. `Clock.monotonic` measures durations within one
process and is never compared with another machine's. `Clock.now` is wall time for
logs and rows that people read.
"""

import asyncio
import datetime
import time
from typing import Protocol


class Clock(Protocol):
    """A source of time."""

    def monotonic(self) -> datetime.timedelta:
        """Return the time since an arbitrary fixed point of this process."""

    def now(self) -> datetime.datetime:
        """Return the wall time with its time zone (UTC)."""

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Suspend the calling task for `duration`."""


class SystemClock:
    """The operating system's clocks."""

    def monotonic(self) -> datetime.timedelta:
        """Return the time since the machine started, including its suspensions.

        CLOCK_MONOTONIC stands still while a machine is suspended, so that a gate that
        was suspended would act beyond its horizon.
        """
        return datetime.timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))

    def now(self) -> datetime.datetime:
        """Return the wall time in UTC."""
        return datetime.datetime.now(datetime.UTC)

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Suspend the calling task for `duration`."""
        await asyncio.sleep(duration.total_seconds())


class ManualClock:
    """A clock that moves only when a test advances it.

    Parameters
    ----------
    start : datetime.datetime, optional
        Wall time at monotonic zero.
    """

    def __init__(
        self,
        start: datetime.datetime = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC),
    ):
        self.start = start
        self.elapsed = datetime.timedelta()
        self.sleepers: list[tuple[datetime.timedelta, asyncio.Future]] = []

    def monotonic(self) -> datetime.timedelta:
        """Return the total of all advances."""
        return self.elapsed

    def now(self) -> datetime.datetime:
        """Return the start plus the total of all advances."""
        return self.start + self.elapsed

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Suspend the calling task until the clock was advanced by `duration`."""
        if duration <= datetime.timedelta():
            await asyncio.sleep(0)
            return
        future = asyncio.get_running_loop().create_future()
        self.sleepers.append((self.elapsed + duration, future))
        await future

    def advance(self, duration: datetime.timedelta) -> None:
        """Move time forward by `duration` and wake the sleepers that are due."""
        self.elapsed += duration
        due = [item for item in self.sleepers if item[0] <= self.elapsed]
        self.sleepers = [item for item in self.sleepers if item[0] > self.elapsed]
        for _, future in due:
            if not future.done():
                future.set_result(None)
