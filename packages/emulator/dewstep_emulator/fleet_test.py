"""Tests that no process of a fleet outlives it."""

import asyncio
import contextlib
import pathlib
import signal
import subprocess
import sys
import time

import pytest

from dewstep_emulator import deployments, fleet as fleets, launching, processes

STEP = 0.02


def list_children(pid="self"):
    """Return the ids of the child processes of a process."""
    files = pathlib.Path(f"/proc/{pid}/task").glob("*/children")
    return {int(child) for file in files for child in file.read_text().split()}


@contextlib.contextmanager
def ending_children():
    """Yield the children that were there before; end all others by their ids."""
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
            await asyncio.sleep(STEP)


@pytest.mark.parametrize("moment", ["at creation", "before the first line"])
def test_cancelled_start_ends_the_process(tmp_path, moment):
    """Guards against processes that nobody knows of."""

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

    with ending_children() as before:
        asyncio.run(scenario())
        assert list_children() == before


def test_process_that_is_started_during_the_end_of_its_fleet_ends(tmp_path):
    """Guards against a task that restarts targets after `kill_all` has ended them."""

    async def scenario():
        fleet = build_fleet(tmp_path)
        name = next(iter(fleet.list_targets()))
        await fleet.start_platform()
        await fleet.start_target(name)
        restarting = asyncio.ensure_future(fleet.restart_target(name))
        await asyncio.sleep(STEP)
        await fleet.kill_all()
        await asyncio.gather(restarting, return_exceptions=True)
        with pytest.raises(processes.ProcessError):
            await fleet.start_target(name)
        await fleet.table.close()

    with ending_children() as before:
        asyncio.run(scenario())
        assert list_children() == before


def test_scenario_that_gets_sigterm_ends_its_processes(tmp_path):
    """Guards against fleets that are left behind by a run that was broken off."""
    command = [sys.executable, "-m", "dewstep_emulator.scenarios", "no-fault"]
    command += ["--seed=1", f"--folder={tmp_path}"]
    with subprocess.Popen(command, stdout=subprocess.PIPE) as runner:
        end = time.monotonic() + 20
        while not list(tmp_path.glob("*/entry-*.log")) and time.monotonic() < end:
            time.sleep(STEP)
        fleet = list_children(runner.pid)
        runner.send_signal(signal.SIGTERM)
        runner.communicate(timeout=20)
    left = [pid for pid in fleet if pathlib.Path(f"/proc/{pid}").exists()]
    for pid in left:
        subprocess.run(["kill", "-KILL", str(pid)], check=False)
    assert len(fleet) > 2
    assert left == []
    assert runner.returncode == 128 + signal.SIGTERM
