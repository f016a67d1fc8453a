"""Starts, signals and ends the processes of a test fleet, by their process ids."""

import asyncio
import json
import os
import pathlib
import signal
import sys
from collections.abc import Sequence
from typing import Any, NamedTuple

START_SECONDS = 20.0
"""Longest time that a process takes until it prints its addresses."""


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
            self.stopped = self.stopped or number == signal.SIGTERM
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
        self.stopped = self.stopped or self.is_running()
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
    output, errors = await child.communicate()
    return Completed(child.returncode, output.decode(), errors.decode())
