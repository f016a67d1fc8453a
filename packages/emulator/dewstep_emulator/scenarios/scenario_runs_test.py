"""Tests of the reports on failed processes."""

from dewstep_emulator.scenarios import scenario_runs


def test_extract_failure_log_starts_with_the_first_failed_task():
    """Guards against losing the cause of a failure when the log folder is deleted."""
    log = "event=started\nevent=task_failed task=a\nKeyError\nevent=task_failed task=b"
    assert scenario_runs.extract_failure_log(log).startswith(
        "task_failed task=a\nKeyError"
    )
    assert scenario_runs.extract_failure_log("event=stopping\nKeyError").endswith(
        "KeyError"
    )
