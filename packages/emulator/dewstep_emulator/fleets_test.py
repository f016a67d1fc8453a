"""Tests that all processes of a fleet end with it."""

import asyncio
import contextlib
import pathlib
import signal
import subprocess
import sys
import time

import pytest
from returns import result
from returns.primitives import exceptions

from dewstep_core import errors
from dewstep_emulator import deployments, fleets, launching, processes, testing

POLL_INTERVAL_SECONDS = 0.02


def list_children(pid="self"):
    """Return the ids of the child processes of a process."""
    files = pathlib.Path(f"/proc/{pid}/task").glob("*/children")
    return {int(child) for file in files for child in file.read_text().split()}


@contextlib.contextmanager
def kill_new_children():
    """Yield the ids of the existing child processes; kill all newer ones at the end."""
    before = list_children()
    try:
        yield before
    finally:
        for pid in list_children() - before:
            subprocess.run(["kill", "-KILL", str(pid)], check=False)


def build_fleet(folder):
    options = launching.FleetOptions(entries=1)
    return fleets.Fleet(deployments.plan_tsagaan(0.1), options, folder)


async def wait_for_start(process):
    async with asyncio.timeout(10):
        while process.child is None:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)


@pytest.mark.parametrize("moment", ["at creation", "before the first line"])
def test_cancelled_start_ends_the_process(tmp_path, moment):
    """Guards against processes that remain after their start was cancelled."""

    async def scenario():
        arguments = ("timeit", "-n1", "-r1", "import time; time.sleep(60)")
        process = processes.Process("silent", arguments, tmp_path)
        starting = asyncio.ensure_future(process.start())
        await asyncio.sleep(0)
        if moment != "at creation":
            await wait_for_start(process)
        starting.cancel()
        await asyncio.gather(starting, return_exceptions=True)
        assert starting.cancelled()

    with kill_new_children() as before:
        asyncio.run(scenario())
        assert list_children() == before


def test_process_started_during_kill_all_is_killed(tmp_path):
    """Guards against a task that restarts a target after `kill_all` has killed it."""

    async def scenario():
        local_fleet = build_fleet(tmp_path)
        name = next(iter(local_fleet.list_targets()))
        await local_fleet.start_platform()
        await local_fleet.start_target(name)
        restarting = asyncio.ensure_future(local_fleet.restart_target(name))
        await asyncio.sleep(POLL_INTERVAL_SECONDS)
        await local_fleet.kill_all()
        await asyncio.gather(restarting, return_exceptions=True)
        with pytest.raises(processes.ProcessError):
            await local_fleet.start_target(name)
        await local_fleet.table.close()

    with kill_new_children() as before:
        asyncio.run(scenario())
        assert list_children() == before


def test_scenario_kills_its_processes_on_sigterm(tmp_path):
    """Guards against fleets that keep running after a scenario was interrupted."""
    command = [sys.executable, "-m", "dewstep_emulator.scenarios", "no-fault"]
    command += ["--seed=1", f"--folder={tmp_path}"]
    with subprocess.Popen(command, stdout=subprocess.PIPE) as runner:
        end = time.monotonic() + 20
        while not list(tmp_path.glob("*/entry-*.log")) and time.monotonic() < end:
            time.sleep(POLL_INTERVAL_SECONDS)
        local_fleet = list_children(runner.pid)
        runner.send_signal(signal.SIGTERM)
        runner.communicate(timeout=20)
    left = [pid for pid in local_fleet if pathlib.Path(f"/proc/{pid}").exists()]
    for pid in left:
        subprocess.run(["kill", "-KILL", str(pid)], check=False)
    assert len(local_fleet) > 2
    assert left == []
    assert runner.returncode == 128 + signal.SIGTERM


# Guards against scenarios that end with an error because the table answers one of
# their own reads after the time-out.
@testing.run_in_virtual_time
async def test_reads_of_the_table_are_repeated_until_it_answers():
    lost = result.Failure(errors.AnswerLost("time-out"))
    outcomes = [lost, lost, result.Success("row")]

    async def read():
        return outcomes.pop(0)

    assert await fleets.read_until_answered(read) == "row"


@testing.run_in_virtual_time
async def test_reads_of_a_table_that_never_answers_end():
    async def read():
        return result.Failure(errors.AnswerLost("time-out"))

    with pytest.raises(exceptions.UnwrapFailedError):
        await fleets.read_until_answered(read)
    elapsed = asyncio.get_running_loop().time() - testing.UPTIME_SECONDS
    assert 0 <= elapsed - fleets.TABLE_READ_SECONDS <= fleets.POLL_INTERVAL_SECONDS
