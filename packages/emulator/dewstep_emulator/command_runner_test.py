"""Tests of commands with a time limit."""

import signal
import sys

from dewstep_emulator import command_runner


def test_a_command_over_its_limit_gets_sigterm():
    # Guards against fleets that keep running because their command was killed.
    code = "import time; print('begun', flush=True); time.sleep(60)"
    ended = command_runner.run_with_time_limit([sys.executable, "-c", code], 1.0)
    assert ended.returncode == -signal.SIGTERM
    assert ended.stdout.startswith("begun") and "terminated" in ended.stdout


def test_a_command_within_its_limit_keeps_its_exit_code():
    ended = command_runner.run_with_time_limit(
        [sys.executable, "-c", "raise SystemExit(3)"], 30.0
    )
    assert (ended.returncode, ended.stdout) == (3, "")
