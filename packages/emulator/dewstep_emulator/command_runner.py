"""Commands that start fleets, run to their end or until a limit of time.

A runner that is killed leaves its fleet behind; after SIGTERM it ends its processes.
"""

import subprocess
from collections.abc import Mapping, Sequence

TERMINATION_TIMEOUT_SECONDS = 30.0
"""Time in which a runner ends its processes after SIGTERM."""


def run_with_time_limit(
    command: Sequence[str],
    limit: float,
    environment: Mapping[str, str] | None = None,
    folder: str | None = None,
) -> subprocess.CompletedProcess:
    """Run a command; return its exit code and all that it printed.

    Parameters
    ----------
    command : sequence of str
    limit : float
        Seconds until the command gets SIGTERM.
    environment : mapping of str to str, optional
        Instead of that of this process.
    folder : str, optional
        Working directory.

    Raises
    ------
    subprocess.TimeoutExpired
        If the command goes on for `TERMINATION_TIMEOUT_SECONDS` after SIGTERM.
    """
    process = subprocess.Popen(
        command,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        env=environment,
        cwd=folder,
    )
    try:
        output, _ = process.communicate(timeout=limit)
    except subprocess.TimeoutExpired:
        process.terminate()
        output, _ = process.communicate(timeout=TERMINATION_TIMEOUT_SECONDS)
        output += f"given up after {limit} s"
    return subprocess.CompletedProcess(command, process.returncode, output)
