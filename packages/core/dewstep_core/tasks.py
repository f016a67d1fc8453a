"""Owns the tasks of one part of a process: none is lost, and all can be ended."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any


class TaskOwner:
    """Keeps its tasks until they end.

    Parameters
    ----------
    receive_failure : callable
        Takes the exception of a failed task and the task's name, and logs them.
    """

    def __init__(self, receive_failure: Callable[[BaseException, str], None]):
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
        if not task.cancelled() and task.exception() is not None:
            self.receive_failure(task.exception(), task.get_coro().__qualname__)
