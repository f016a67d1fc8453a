"""Time limits measured by a `Clock`, and tasks that outlive their callers.

`asyncio.timeout` uses the event loop's time, which a simulation does not advance.
"""

import asyncio
import datetime
from collections.abc import Coroutine
from typing import Any, Protocol

from dewstep_core import clocks


class Link(Protocol):
    """The way from a caller to a peer, and back."""

    async def pass_through(self) -> None:
        """Return when a message has arrived.

        Raises
        ------
        ConnectionResetError
            If the message and its connection are lost.
        """


class Tasks:
    """Tasks that continue when nobody waits for them, until `close` is called."""

    def __init__(self):
        self.tasks: dict[asyncio.Task, None] = {}
        """A dictionary, because the order of a set depends on memory addresses."""

    def start(self, work: Coroutine) -> asyncio.Task:
        """Start a task."""
        task = asyncio.ensure_future(work)
        self.tasks[task] = None
        task.add_done_callback(self._remove)
        return task

    def _remove(self, task: asyncio.Task) -> None:
        self.tasks.pop(task, None)
        if not task.cancelled():
            # Marks the failure as noticed although the caller may have given up.
            task.exception()

    def close(self) -> None:
        """Cancel all tasks."""
        for task in tuple(self.tasks):
            task.cancel()


async def wait_for(
    clock: clocks.Clock, future: asyncio.Future, duration: datetime.timedelta
) -> Any:
    """Return the result of a future, which continues if it takes longer.

    Raises
    ------
    TimeoutError
        If the future is not done after `duration`.
    """
    loop = asyncio.get_running_loop()
    alarm = loop.create_task(clock.sleep(duration))
    first_done = loop.create_future()

    # `asyncio.wait` takes longer, because it first builds sets of its futures.
    def finish(_) -> None:
        if not first_done.done():
            first_done.set_result(None)

    future.add_done_callback(finish)
    alarm.add_done_callback(finish)
    try:
        await first_done
    finally:
        future.remove_done_callback(finish)
        alarm.remove_done_callback(finish)
        alarm.cancel()
    if not future.done():
        raise TimeoutError
    return future.result()
