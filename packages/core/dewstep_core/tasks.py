"""Owns the tasks of one part of a process: none is lost, and all can be ended."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from dewstep_core import events


class TaskOwner:
    """Keeps its tasks until they end, and logs those that fail.

    Parameters
    ----------
    event : str
        Name of the log event for a failed task.
    receive_failure : callable, optional
        Takes the exception of a failed task; returns whether it was expected, so that
        it is not logged.
    """

    def __init__(
        self,
        event: str,
        receive_failure: Callable[[BaseException], bool] = lambda error: False,
    ):
        self.event = event
        self.receive_failure = receive_failure
        self.tasks: set[asyncio.Task] = set()

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Run a task and return it."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self._receive_end)
        return task

    def cancel(self) -> None:
        """Cancel all tasks that run."""
        for task in list(self.tasks):
            task.cancel()

    def _receive_end(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        error = task.exception()
        if not self.receive_failure(error):
            events.exception(self.event, error, task=task.get_coro().__qualname__)
