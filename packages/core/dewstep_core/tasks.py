"""Groups of asyncio tasks that log failures and can be cancelled together."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any


class TaskOwner:
    """Holds references to running tasks and reports the failed ones.

    The event loop keeps only weak references to tasks.

    Parameters
    ----------
    receive_failure : callable
        Called with the exception of a failed task and the name of its coroutine.
    """

    def __init__(self, receive_failure: Callable[[BaseException, str], None]):
        self.receive_failure = receive_failure
        self.tasks: set[asyncio.Task] = set()

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Start a task for a coroutine and return it."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self._handle_done_task)
        return task

    def cancel(self) -> None:
        """Cancel all running tasks."""
        for task in list(self.tasks):
            task.cancel()

    def _handle_done_task(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.receive_failure(task.exception(), task.get_coro().__qualname__)
