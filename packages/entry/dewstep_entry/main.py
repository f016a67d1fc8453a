"""The command that runs an entry process."""

import asyncio
import gc
import json
import pathlib
import signal
import sys
from typing import Annotated

import typer
import uvloop
from absl import logging

from dewstep_core import clocks, events, settings, settings_file
from dewstep_entry import process

EXIT_TASK_FAILED = 1
"""Exit code of a process that stopped because one of its tasks had failed."""
COLLECTION_THRESHOLD = 20_000
"""Net allocations between two collections of the youngest generation."""
EXIT_INCOMPLETE_STOP = 3
"""Exit code of a stop that aborted work in progress."""


async def run_process(process_settings: settings.Settings) -> int:
    """Run an entry process until a signal or a failure; return the exit code."""
    entry = process.EntryProcess(process_settings, clocks.SystemClock())
    signals: asyncio.Queue[int] = asyncio.Queue()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, signals.put_nowait, number)
    await entry.start()
    print_addresses(entry)
    tune_garbage_collector()
    await wait_for_end(entry, signals)
    return await stop_process(entry, signals)


async def wait_for_end(entry: process.EntryProcess, signals: asyncio.Queue) -> None:
    """Wait for a signal or for the failure of a task."""
    signalled = asyncio.ensure_future(signals.get())
    failed = asyncio.ensure_future(entry.failed.wait())
    await asyncio.wait((signalled, failed), return_when=asyncio.FIRST_COMPLETED)
    signalled.cancel()
    failed.cancel()


async def stop_process(entry: process.EntryProcess, signals: asyncio.Queue) -> int:
    """Stop gracefully, or immediately on another signal; return the exit code."""
    stopping = asyncio.ensure_future(entry.stop())
    second = asyncio.ensure_future(signals.get())
    await asyncio.wait((stopping, second), return_when=asyncio.FIRST_COMPLETED)
    if stopping.done():
        second.cancel()
        if entry.failed.is_set():
            return EXIT_TASK_FAILED
        return EXIT_INCOMPLETE_STOP if stopping.result() else 0
    stopping.cancel()
    events.error(
        "stop_cut",
        what="second signal",
        in_progress=entry.router.in_progress,
        callers=len(entry.listener.connections),
        gates=list(entry.gates.gates),
    )
    return EXIT_INCOMPLETE_STOP


def tune_garbage_collector() -> None:
    """Exclude the objects that exist now from garbage collection, and collect rarely.

    A full collection over all modules takes milliseconds, which delays requests.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(COLLECTION_THRESHOLD)


def print_addresses(entry: process.EntryProcess) -> None:
    """Print the bound addresses as one JSON line."""
    line = {
        "entry": entry.own_member.entry,
        "incarnation": entry.own_member.incarnation,
        "caller_port": entry.listener.address.port,
        "peer_port": entry.network.member.port,
        "operator_port": entry.process_settings.operator_address.port,
    }
    sys.stdout.write(json.dumps(line) + "\n")
    sys.stdout.flush()


def main(
    settings_path: Annotated[
        pathlib.Path,
        typer.Option("--settings", help="TOML file with the settings."),
    ],
    verbose: Annotated[bool, typer.Option(help="Log each event.")] = True,
) -> None:
    """Run an entry process until SIGTERM or SIGINT.

    Exit codes: 0 stopped, 1 a task failed, 2 wrong settings, 3 work in progress had
    to be cut.
    """
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO if verbose else logging.WARNING)
    loaded = settings_file.load_or_exit(str(settings_path))
    raise typer.Exit(uvloop.run(run_process(loaded)))


def run() -> None:
    """Run the command."""
    typer.run(main)


if __name__ == "__main__":
    run()
