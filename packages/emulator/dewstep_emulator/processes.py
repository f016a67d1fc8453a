"""Starts, signals and ends the processes of a test fleet, by their process ids."""

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

START_SECONDS = 20.0
"""Longest time that a process takes until it prints its addresses."""

SIGNAL_STATUS = 128
"""Added to the number of the signal that ended a process."""


class StartFailed(NamedTuple):
    """A process ended or stayed silent before it printed its addresses."""

    name: str
    detail: str


class ProcessError(Exception):
    """Carries a `StartFailed` through the code of tests."""


class Process:
    """One process of the fleet.

    Parameters
    ----------
    name : str
        For messages and the log file.
    arguments : sequence of str
        Module and options for `python -m`.
    folder : pathlib.Path
        Gets the file with the process's standard error.
    """

    def __init__(self, name: str, arguments: Sequence[str], folder: pathlib.Path):
        self.name = name
        self.arguments = tuple(arguments)
        self.log = folder / f"{name}.log"
        self.child: asyncio.subprocess.Process | None = None
        self.addresses: dict[str, Any] = {}
        self.frozen = False
        self.stopped = False
        """Whether it was told to end; one that ends by itself has failed."""

    async def start(self) -> dict[str, Any]:
        """Start the process and return the JSON line that it prints.

        Raises
        ------
        ProcessError
            If no such line comes.
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
            async with asyncio.timeout(START_SECONDS):
                line = await self.child.stdout.readline()
            self.addresses = json.loads(line)
        except (TimeoutError, ValueError) as error:
            await self.kill()
            detail = f"{error!r}; {self.read_log_end()}"
            raise ProcessError(StartFailed(self.name, detail)) from error
        except asyncio.CancelledError:
            # The caller has not received the process and could not end it.
            await self.kill()
            raise
        return self.addresses

    def read_log_end(self) -> str:
        """Return the last characters of the log."""
        return self.log.read_text(errors="replace")[-2000:]

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.child is not None and self.child.returncode is None

    def has_failed(self) -> bool:
        """Return whether the process has ended although nobody told it to."""
        return self.child is not None and not (self.is_running() or self.stopped)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it still runs."""
        if self.is_running():
            ends = number in (signal.SIGTERM, signal.SIGKILL)
            self.stopped = self.stopped or ends
            # The process may have ended without the event loop knowing it yet.
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.child.pid, number)

    def freeze(self) -> None:
        """Stop the process as if its machine were paused."""
        self.frozen = True
        self.send(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a frozen process go on."""
        self.frozen = False
        self.send(signal.SIGCONT)

    async def kill(self) -> None:
        """End the process without a chance to clean up."""
        self.send(signal.SIGKILL)
        if self.child is not None:
            await self.child.wait()

    async def terminate(self, limit: float) -> int | None:
        """Ask the process to stop; return its exit code, or None after `limit` s."""
        self.resume()
        self.send(signal.SIGTERM)
        try:
            async with asyncio.timeout(limit):
                return await self.child.wait()
        except TimeoutError:
            await self.kill()
            return None


class Group:
    """Processes that are ended together, also those that are still being started."""

    def __init__(self):
        self.processes: list[Process] = []
        self.closed = False

    async def start(self, process: Process) -> dict[str, Any]:
        """Start a process of the group and return the JSON line that it prints.

        Raises
        ------
        ProcessError
            If no such line comes, or if the group is or was ended meanwhile.
        """
        if not self.closed:
            self.processes.append(process)
            line = await process.start()
        if self.closed:
            await process.kill()
            raise ProcessError(StartFailed(process.name, "the group has been ended"))
        return line

    async def kill(self) -> None:
        """End all processes, also frozen ones; none can be started any more."""
        self.closed = True
        for process in self.processes:
            process.send(signal.SIGKILL)
        for process in self.processes:
            await process.kill()


def run(work: Coroutine) -> Any:
    """Return what `work` returns; SIGTERM cancels it, so that it ends its processes.

    Raises
    ------
    SystemExit
        With the status of a process that SIGTERM has ended.
    """
    received: list[signal.Signals] = []

    async def main():
        task = asyncio.current_task()

        def stop():
            # A second signal must not interrupt the end of the processes.
            if not received:
                task.cancel()
            received.append(signal.SIGTERM)

        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop)
        return await work

    try:
        return uvloop.run(main())
    except asyncio.CancelledError:
        if not received:
            raise
        raise SystemExit(SIGNAL_STATUS + signal.SIGTERM) from None


class Completed(NamedTuple):
    """A command that has ended."""

    code: int
    output: str
    errors: str


async def run_command(arguments: Sequence[str]) -> Completed:
    """Run `python -m` with `arguments` to its end."""
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
    return Completed(child.returncode, output.decode(), errors.decode())
