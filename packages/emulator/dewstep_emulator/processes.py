"""Starts, signals and ends the processes of a test fleet."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import sys
from collections.abc import Coroutine, Sequence
from typing import Any, NamedTuple

import uvloop

START_TIMEOUT_SECONDS = 20.0
"""Longest time until a started process prints its addresses."""

SIGNAL_EXIT_STATUS_BASE = 128
"""Exit status of a process that a signal ended, less the number of the signal."""


class StartFailed(NamedTuple):
    """A process ended or timed out before it printed its addresses."""

    name: str
    detail: str


class ProcessError(Exception):
    """A process did not start; its argument is a `StartFailed`."""


class Process:
    """One process of the fleet.

    Parameters
    ----------
    name : str
        Name in messages and of the log file.
    arguments : sequence of str
        Module and options for `python -m`.
    folder : pathlib.Path
        Folder of the log file, which receives the process's standard error.
    """

    def __init__(self, name: str, arguments: Sequence[str], folder: pathlib.Path):
        self.name = name
        self.arguments = tuple(arguments)
        self.log = folder / f"{name}.log"
        self.child: asyncio.subprocess.Process | None = None
        self.addresses: dict[str, Any] = {}
        self.frozen = False
        self.stopped = False
        """Whether it was sent SIGTERM or SIGKILL; otherwise its end is a failure."""

    async def start(self) -> dict[str, Any]:
        """Start the process and return the JSON line that it prints.

        Raises
        ------
        ProcessError
            If it prints no JSON line within `START_TIMEOUT_SECONDS`.
        """
        with self.log.open("ab") as log:
            self.child = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *self.arguments,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
            )
        try:
            async with asyncio.timeout(START_TIMEOUT_SECONDS):
                line = await self.child.stdout.readline()
            self.addresses = json.loads(line)
        except (TimeoutError, ValueError) as error:
            await self.kill()
            detail = f"{error!r}; {self.read_log_end()}"
            raise ProcessError(StartFailed(self.name, detail)) from error
        except asyncio.CancelledError:
            # The caller does not hold the running process yet and cannot end it.
            await self.kill()
            raise
        return self.addresses

    def read_log_end(self) -> str:
        """Return the last 2,000 characters of the log."""
        return self.log.read_text(errors="replace")[-2000:]

    def is_running(self) -> bool:
        """Return whether the process was started and has not ended."""
        return self.child is not None and self.child.returncode is None

    def has_failed(self) -> bool:
        """Return whether the process has ended without being stopped."""
        return self.child is not None and not (self.is_running() or self.stopped)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it still runs."""
        if self.is_running():
            ends = number in (signal.SIGTERM, signal.SIGKILL)
            self.stopped = self.stopped or ends
            # The process may have ended before the event loop noticed it.
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.child.pid, number)

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP, as if its machine were paused."""
        self.frozen = True
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a frozen process."""
        self.frozen = False
        self.send_signal(signal.SIGCONT)

    async def kill(self) -> None:
        """Kill the process with SIGKILL and wait for its end."""
        self.send_signal(signal.SIGKILL)
        if self.child is not None:
            await self.child.wait()

    async def terminate(self, limit: float) -> int | None:
        """Send SIGTERM and return the exit code.

        After `limit` seconds the process is killed and the result is None.
        """
        self.resume()
        self.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(limit):
                return await self.child.wait()
        except TimeoutError:
            await self.kill()
            return None


class ProcessGroup:
    """Processes that are killed together, including those that are being started."""

    def __init__(self):
        self.processes: list[Process] = []
        self.closed = False

    async def start(self, process: Process) -> dict[str, Any]:
        """Start a process of the group and return the JSON line that it prints.

        Raises
        ------
        ProcessError
            If the process does not start, or if the group has been killed.
        """
        if not self.closed:
            self.processes.append(process)
            line = await process.start()
        if self.closed:
            await process.kill()
            raise ProcessError(StartFailed(process.name, "the group has been killed"))
        return line

    async def kill(self) -> None:
        """Kill all processes, including frozen ones; later starts fail."""
        self.closed = True
        for process in self.processes:
            process.send_signal(signal.SIGKILL)
        for process in self.processes:
            await process.kill()


def run(coroutine: Coroutine) -> Any:
    """Run a coroutine and return its result; SIGTERM cancels it, so that it cleans up.

    Raises
    ------
    SystemExit
        If SIGTERM was received, with status 128 plus the number of the signal.
    """
    received: list[signal.Signals] = []

    async def main():
        task = asyncio.current_task()

        def stop():
            # A second signal must not interrupt the cleanup.
            if not received:
                task.cancel()
            received.append(signal.SIGTERM)

        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop)
        return await coroutine

    try:
        return uvloop.run(main())
    except asyncio.CancelledError:
        if not received:
            raise
        raise SystemExit(SIGNAL_EXIT_STATUS_BASE + signal.SIGTERM) from None


class CompletedCommand(NamedTuple):
    """A command that has ended."""

    code: int
    output: str
    errors: str


async def run_command(arguments: Sequence[str]) -> CompletedCommand:
    """Run `python -m` with `arguments` and wait for its end."""
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        output, errors = await child.communicate()
    finally:
        if child.returncode is None:
            child.kill()
            await child.wait()
    return CompletedCommand(child.returncode, output.decode(), errors.decode())
