"""Tests of the states and the cleanup of a fleet's processes."""

import asyncio
import os
import pathlib
import signal
import time

from dewstep_emulator import processes


def run_scenario(scenario):
    asyncio.run(asyncio.wait_for(scenario, 30))


def test_process_that_exits_unasked_has_failed(tmp_path):
    """Guards against scenarios that pass after one of their processes has ended."""

    async def scenario():
        exited = processes.Process("exited", ("json.tool",), tmp_path)
        exited.child = await asyncio.create_subprocess_exec("true")
        await exited.child.wait()
        assert exited.has_failed()

    run_scenario(scenario())


def test_process_that_was_stopped_has_not_failed(tmp_path):
    """Guards against reporting planned stops as failures."""

    async def scenario():
        for end in ("kill", "terminate"):
            stopped = processes.Process(end, ("json.tool",), tmp_path)
            stopped.child = await asyncio.create_subprocess_exec("sleep", "20")
            await (stopped.kill() if end == "kill" else stopped.terminate(5.0))
            assert not stopped.has_failed()

    run_scenario(scenario())


def test_killing_a_process_that_ended_unnoticed_does_not_fail(tmp_path):
    """Guards against a cleanup that stops at the first process that has ended.

    The event loop does not run while the process ends, so it still counts as running.
    """
    group = processes.ProcessGroup()
    process = processes.Process("gone", ("json.tool",), tmp_path)
    group.processes.append(process)
    with asyncio.Runner() as runner:
        process.child = runner.run(asyncio.create_subprocess_exec("sleep", "20"))
        os.kill(process.child.pid, signal.SIGKILL)
        end = time.monotonic() + 10
        while pathlib.Path(f"/proc/{process.child.pid}").exists():
            assert time.monotonic() < end
            time.sleep(0.01)
        assert process.is_running()
        runner.run(group.kill())
        assert not process.is_running()
