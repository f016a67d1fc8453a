"""Clock interface with implementations for production and for tests.

`Clock.monotonic` measures durations within one process; its readings are never compared
with those of another machine. `Clock.now` returns wall time, which is used only for
display in logs and table rows.
"""

import asyncio
import datetime
import time
from typing import Protocol


class Clock(Protocol):
    """A source of time."""

    def monotonic(self) -> datetime.timedelta:
        """Return the time since a fixed point that is arbitrary for each process."""

    def now(self) -> datetime.datetime:
        """Return the wall time in UTC, with the time zone set."""

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Suspend the calling task for `duration`."""


class SystemClock:
    """The operating system's clocks."""

    def monotonic(self) -> datetime.timedelta:
        """Return the time since the machine booted, including time in suspension.

        CLOCK_MONOTONIC does not advance while a machine is suspended. With it, a gate
        could send requests after its outage horizon has passed.
        """
        return datetime.timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))

    def now(self) -> datetime.datetime:
        """Return the wall time in UTC."""
        return datetime.datetime.now(datetime.UTC)

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Suspend the calling task for `duration`."""
        await asyncio.sleep(duration.total_seconds())


class ManualClock:
    """A clock that advances only when a test calls `advance`.

    Parameters
    ----------
    start : datetime.datetime, optional
        Wall time at which the monotonic time is zero.
    """

    def __init__(
        self,
        start: datetime.datetime = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC),
    ):
        self.start = start
        self.elapsed = datetime.timedelta()
        self.sleepers: list[tuple[datetime.timedelta, asyncio.Future]] = []

    def monotonic(self) -> datetime.timedelta:
        """Return the sum of all advances."""
        return self.elapsed

    def now(self) -> datetime.datetime:
        """Return the start time plus the sum of all advances."""
        return self.start + self.elapsed

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Suspend the calling task until the clock has advanced by `duration`."""
        if duration <= datetime.timedelta():
            await asyncio.sleep(0)
            return
        future = asyncio.get_running_loop().create_future()
        self.sleepers.append((self.elapsed + duration, future))
        await future

    def advance(self, duration: datetime.timedelta) -> None:
        """Advance the time by `duration` and resume the tasks whose sleep has ended."""
        self.elapsed += duration
        due = [item for item in self.sleepers if item[0] <= self.elapsed]
        self.sleepers = [item for item in self.sleepers if item[0] > self.elapsed]
        for _, future in due:
            if not future.done():
                future.set_result(None)
