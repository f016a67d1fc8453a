"""Event loop with a virtual clock, in which several processes run.

When no callback is ready, the time advances to the next timer. Each simulated process
has a `contextvars` context, which its tasks and callbacks inherit. Callbacks of a
frozen process are held back until it resumes; those of a process that has ended are
dropped.

The order of callbacks depends on the generator's seed only: timers that are due at the
same time run in an order that it draws, all others first in, first out. Futures and
tasks hash by their number, since sets of them are otherwise ordered by address.
"""

import asyncio
import collections
import contextvars
import datetime
import heapq
import itertools
import random
from collections.abc import Callable, Coroutine
from typing import Any

EPOCH = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
"""Wall time at which the virtual time is zero."""


class Process:
    """A simulated process and its clock.

    Parameters
    ----------
    name : str
        Name in event logs.
    host : str
        Address of the machine on which it runs.
    started_at : float
        Virtual time of its start.
    clock_rate : float, optional
        Seconds of its clock in each second of virtual time.
    clock_start : float, optional
        Reading of its clock at its start.
    """

    def __init__(
        self,
        name: str,
        host: str,
        started_at: float,
        clock_rate: float = 1.0,
        clock_start: float = 0.0,
    ):
        self.name = name
        self.host = host
        self.started_at = started_at
        self.clock_rate = clock_rate
        self.clock_start = clock_start
        self.frozen = False
        self.callbacks_until_freeze: int | None = None
        """Number of callbacks to run before the process freezes, or None."""
        self.ended = False
        self.held: list[Callback] = []
        """Callbacks that wait until the process resumes."""
        self.read_at = -1.0
        """Virtual time of the last reading of `LoopClock.monotonic`."""
        self.reading = datetime.timedelta()
        self.context = contextvars.copy_context()
        self.context.run(current_process.set, self)

    def to_local(self, time: float) -> float:
        """Return the reading of the process's clock at a virtual time."""
        return self.clock_start + (time - self.started_at) * self.clock_rate

    def to_virtual(self, reading: float) -> float:
        """Return the virtual time at a reading of the process's clock."""
        return self.started_at + (reading - self.clock_start) / self.clock_rate


current_process: contextvars.ContextVar[Process | None] = contextvars.ContextVar(
    "current_process", default=None
)


class NumberedFuture(asyncio.Future):
    """Future whose hash does not depend on its address."""

    def __hash__(self):
        try:
            return self.number
        except AttributeError:
            self.number = next(self.get_loop().numbers)
            return self.number


class NumberedTask(asyncio.Task):
    """Task whose hash does not depend on its address."""

    # Tasks of killed processes are never resumed.
    _log_destroy_pending = False

    def __init__(self, number: int, work: Coroutine, **options):
        self.number = number
        super().__init__(work, **options)

    def __hash__(self):
        return self.number


class Callback:
    """A callback that waits to be run, with the interface of `asyncio.Handle`."""

    __slots__ = ("arguments", "context", "function", "is_cancelled", "is_timer", "time")

    def __init__(self, function, arguments, context, is_timer=False, time=0.0):
        self.function = function
        self.arguments = arguments
        self.context = contextvars.copy_context() if context is None else context
        self.is_timer = is_timer
        self.time = time
        self.is_cancelled = False

    def cancel(self) -> None:
        """Do not run the callback."""
        self.is_cancelled = True

    def cancelled(self) -> bool:
        """Whether the callback has been cancelled."""
        return self.is_cancelled

    def when(self) -> float:
        """Return when the timer is due, on the clock of its process."""
        return self.time


class EventLoop(asyncio.AbstractEventLoop):
    """Runs the callbacks of all processes on a virtual clock.

    Parameters
    ----------
    generator : random.Random
        Orders timers that are due at the same time.
    """

    def __init__(self, generator: random.Random):
        self.random = generator
        self.now = 0.0
        """Virtual time in seconds."""
        self.numbers = itertools.count()
        self.ready: collections.deque[Callback] = collections.deque()
        self.timers: list[tuple[float, float, int, Callback]] = []
        self.tasks: list[NumberedTask] = []
        """All tasks, so that none is collected as garbage during the run."""
        self.closed = False
        self.failures: list[dict[str, Any]] = []
        """Contexts of the unhandled errors."""
        self.outside_context = contextvars.Context()
        """Context without a process."""
        self.network: Any = None
        """Implements `create_server` and `create_connection`."""

    # Running.

    def run(self, main: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine in a task outside of all processes; return its result.

        Raises
        ------
        RuntimeError
            If no callback is left and the coroutine has not ended.
        """
        previous = asyncio._get_running_loop()
        asyncio._set_running_loop(self)
        try:
            task = self.create_task(main, context=self.outside_context)
            while not task.done():
                if not self.ready and not self._advance():
                    raise RuntimeError("all tasks wait for ever")
                self._run_ready()
            return task.result()
        finally:
            asyncio._set_running_loop(previous)

    def _advance(self) -> bool:
        """Advance to the next timers; return false if there are none."""
        timers = self.timers
        while timers and timers[0][3].is_cancelled:
            heapq.heappop(timers)
        if not timers:
            return False
        now = self.now = max(self.now, timers[0][0])
        while timers and timers[0][0] <= now:
            self.ready.append(heapq.heappop(timers)[3])
        return True

    def _run_ready(self) -> None:
        ready = self.ready
        while ready:
            handle = ready.popleft()
            if handle.is_cancelled:
                continue
            process = handle.context.get(current_process)
            if process is not None:
                if process.ended:
                    continue
                if process.callbacks_until_freeze is not None:
                    self._count_down(process)
                if process.frozen:
                    process.held.append(handle)
                    continue
            try:
                handle.context.run(handle.function, *handle.arguments)
            except Exception as error:
                message = f"error in {handle.function!r}"
                self.call_exception_handler({"message": message, "exception": error})

    def _count_down(self, process: Process) -> None:
        if process.callbacks_until_freeze == 0:
            process.callbacks_until_freeze = None
            process.frozen = True
        else:
            process.callbacks_until_freeze -= 1

    def close(self) -> None:
        """Discard all callbacks and close all coroutines that have not ended."""
        self.closed = True
        self.ready.clear()
        self.timers.clear()
        for task in self.tasks:
            if not task.done():
                try:
                    task.get_coro().close()
                except (RuntimeError, ValueError):
                    # It awaits something or leaves its context while it is closed.
                    continue
        self.tasks.clear()

    # Processes.

    def spawn(self, process: Process, work: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Start a task of a process."""
        return self.create_task(work, context=process.context)

    def freeze(self, process: Process, callbacks: int = 0) -> None:
        """Hold back all callbacks of a process, after a number of further ones."""
        process.callbacks_until_freeze = callbacks

    def resume(self, process: Process) -> None:
        """Run the held callbacks; as in asyncio, those of expired timers run last."""
        process.callbacks_until_freeze = None
        process.frozen = False
        held, process.held = process.held, []

        for timers in (False, True):
            self.ready.extend(item for item in held if item.is_timer is timers)

    def end(self, process: Process) -> None:
        """Drop all callbacks of a process, now and later."""
        process.ended = True
        process.held.clear()

    # Interface of asyncio.

    def time(self) -> float:
        """Return the reading of the current process's clock in seconds."""
        process = current_process.get()
        return self.now if process is None else process.to_local(self.now)

    def call_soon(self, callback, *args, context=None) -> Callback:
        """Run a callback after all that are ready."""
        handle = Callback(callback, args, context)
        if not self.closed:
            self.ready.append(handle)
        return handle

    def call_later(self, delay, callback, *args, context=None) -> Callback:
        """Run a callback after a number of seconds."""
        process = current_process.get()
        now = self.now if process is None else process.to_local(self.now)
        return self._add_timer(process, now + delay, callback, args, context)

    def call_at(self, when, callback, *args, context=None) -> Callback:
        """Run a callback at a reading of the current process's clock."""
        process = current_process.get()
        return self._add_timer(process, when, callback, args, context)

    def _add_timer(self, process, when, callback, arguments, context) -> Callback:
        handle = Callback(callback, arguments, context, True, when)
        due = when if process is None else process.to_virtual(when)
        if not self.closed:
            entry = due, self.random.random(), next(self.numbers), handle
            heapq.heappush(self.timers, entry)
        return handle

    def call_outside(self, delay, callback, *args) -> Callback:
        """Run a callback outside of all processes after a virtual time in seconds."""
        due = self.now + delay
        return self._add_timer(None, due, callback, args, self.outside_context)

    async def sleep_outside(self, delay: float) -> None:
        """Suspend the calling task for a virtual time in seconds."""
        waiter = self.create_future()
        self.call_outside(delay, set_unless_done, waiter)
        await waiter

    def create_future(self) -> asyncio.Future:
        """Return a future of this loop."""
        return NumberedFuture(loop=self)

    def create_task(self, coro, *, name=None, context=None) -> asyncio.Task:
        """Start a task."""
        number = next(self.numbers)
        task = NumberedTask(number, coro, loop=self, name=name, context=context)
        self.tasks.append(task)
        return task

    async def create_server(self, protocol_factory, host=None, port=None, **options):
        """Listen for connections in the simulated network."""
        return self.network.listen(protocol_factory, host, port)

    async def create_connection(
        self, protocol_factory, host=None, port=None, **options
    ):
        """Open a connection in the simulated network."""
        return await self.network.connect(protocol_factory, host, port)

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Keep the context of an unhandled error."""
        if not self.closed:
            self.failures.append(context)

    # Returns false, as a function in C because each future and each task calls it.
    get_debug = staticmethod(bool)

    def is_running(self) -> bool:
        """Whether callbacks are still run."""
        return not self.closed

    def is_closed(self) -> bool:
        """Whether all callbacks have been discarded."""
        return self.closed


class LoopClock:
    """Clock of the current process; implements `clocks.Clock`.

    Parameters
    ----------
    loop : EventLoop
    """

    def __init__(self, loop: EventLoop):
        self.loop = loop

    def monotonic(self) -> datetime.timedelta:
        """Return the reading of the current process's clock."""
        now = self.loop.now
        process = current_process.get()
        if process is None:
            return datetime.timedelta(seconds=now)
        if process.read_at != now:
            process.read_at = now
            process.reading = datetime.timedelta(seconds=process.to_local(now))
        return process.reading

    def now(self) -> datetime.datetime:
        """Return the wall time, which is the same for all processes."""
        return EPOCH + datetime.timedelta(seconds=self.loop.now)

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Suspend the calling task for `duration` on the current process's clock."""
        await asyncio.sleep(duration.total_seconds())


class TrueClock(LoopClock):
    """Clock without drift, the same in all processes, for targets and checks."""

    def monotonic(self) -> datetime.timedelta:
        """Return the virtual time."""
        return datetime.timedelta(seconds=self.loop.now)

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Suspend the calling task for `duration` of virtual time."""
        await self.loop.sleep_outside(duration.total_seconds())


def set_unless_done(waiter: asyncio.Future) -> None:
    """Complete a future that may have been cancelled."""
    if not waiter.done():
        waiter.set_result(None)


def run(
    main: Callable[[EventLoop], Coroutine[Any, Any, Any]], seed: int | str = 0
) -> Any:
    """Run a coroutine function on a new event loop and close the loop."""
    loop = EventLoop(random.Random(seed))
    try:
        return loop.run(main(loop))
    finally:
        loop.close()
