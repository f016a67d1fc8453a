"""Tests of how a scenario reports processes that failed."""

from dewstep_emulator.scenarios import staging


def test_the_first_failed_task_is_reported_with_its_trace():
    """Guards against a failure that is lost together with the folder of the logs."""
    log = "event=started\nevent=task_failed task=a\nKeyError\nevent=task_failed task=b"
    assert staging.find_trace(log).startswith("task_failed task=a\nKeyError")
    assert staging.find_trace("event=stopping\nKeyError").endswith("KeyError")
