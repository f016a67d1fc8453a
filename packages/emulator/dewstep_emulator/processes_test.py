"""Tests of the processes of a test fleet."""

import asyncio
import pathlib
import time

from dewstep_emulator import processes


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 30))


def test_process_that_ends_by_itself_has_failed(tmp_path):
    """Guards against scenarios that pass because nothing runs any more."""

    async def scenario():
        alone = processes.Process("alone", ("json.tool",), tmp_path)
        alone.child = await asyncio.create_subprocess_exec("true")
        await alone.child.wait()
        assert alone.has_failed()

    run(scenario())


def test_process_that_was_told_to_end_has_not_failed(tmp_path):
    """Guards against a report of each planned stop as a failure."""

    async def scenario():
        for end in ("kill", "terminate"):
            told = processes.Process(end, ("json.tool",), tmp_path)
            told.child = await asyncio.create_subprocess_exec("sleep", "20")
            await (told.kill() if end == "kill" else told.terminate(5.0))
            assert not told.has_failed()

    run(scenario())


def test_process_that_ended_while_the_loop_stood_still_can_be_killed(tmp_path):
    """Guards against a clean-up that stops at a process that has just gone."""
    group = processes.Group()
    process = processes.Process("gone", ("json.tool",), tmp_path)
    group.processes.append(process)
    with asyncio.Runner() as runner:
        process.child = runner.run(asyncio.create_subprocess_exec("true"))
        end = time.monotonic() + 10
        while pathlib.Path(f"/proc/{process.child.pid}").exists():
            assert time.monotonic() < end
            time.sleep(0.01)
        assert process.is_running()
        runner.run(group.kill())
        assert not process.is_running()
