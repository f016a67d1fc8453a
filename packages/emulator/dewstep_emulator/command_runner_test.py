"""Tests of commands with a time limit."""

import contextlib
import os
import signal
import sys
import threading

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


@contextlib.contextmanager
def changing_environment():
    """Add and remove an environment variable in a thread, as pytest does per test."""
    stopped = threading.Event()

    def change():
        while not stopped.is_set():
            os.environ["DEWSTEP_TEST"] = "x"
            del os.environ["DEWSTEP_TEST"]

    thread = threading.Thread(target=change)
    thread.start()
    try:
        yield
    finally:
        stopped.set()
        thread.join()


# Guards against scenarios that do not start, with EFAULT, because pytest removes the
# variable with the name of the current test at the same time.
def test_commands_start_while_the_environment_changes():
    with changing_environment():
        for _ in range(40):
            ended = command_runner.run_with_time_limit(["true"], 30.0)
            assert ended.returncode == 0
