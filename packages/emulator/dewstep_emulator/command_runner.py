"""Runs commands that start fleets, with a time limit.

A command over its limit gets SIGTERM, after which it ends the processes of its fleet.
SIGKILL would leave them running.
"""

import os
import subprocess
from collections.abc import Mapping, Sequence

TERMINATION_TIMEOUT_SECONDS = 30.0
"""Longest time that a command takes to end its processes after SIGTERM."""


def copy_environment() -> dict[str, str]:
    """Return the environment variables, which other threads may change meanwhile.

    A process that is started with the environment of its parent reads it from the
    parent's memory. The start fails with EFAULT if a variable is removed meanwhile.
    """
    values = {name: os.environ.get(name) for name in tuple(os.environ)}
    return {name: value for name, value in values.items() if value is not None}


def run_with_time_limit(
    command: Sequence[str],
    limit: float,
    environment: Mapping[str, str] | None = None,
    folder: str | None = None,
) -> subprocess.CompletedProcess:
    """Run a command; return its exit code and its output with standard error.

    Parameters
    ----------
    command : sequence of str
    limit : float
        Seconds until the command gets SIGTERM.
    environment : mapping of str to str, optional
        Environment variables; by default those of this process.
    folder : str, optional
        Working directory.

    Raises
    ------
    subprocess.TimeoutExpired
        If the command has not ended `TERMINATION_TIMEOUT_SECONDS` after SIGTERM.
    """
    process = subprocess.Popen(
        command,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        env=copy_environment() if environment is None else environment,
        cwd=folder,
    )
    try:
        output, _ = process.communicate(timeout=limit)
    except subprocess.TimeoutExpired:
        process.terminate()
        output, _ = process.communicate(timeout=TERMINATION_TIMEOUT_SECONDS)
        output += f"terminated after {limit} s"
    return subprocess.CompletedProcess(command, process.returncode, output)
