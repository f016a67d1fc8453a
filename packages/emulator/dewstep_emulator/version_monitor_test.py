"""Tests that the monitor reports each kind of version that decreases or changes."""

from dewstep_emulator import version_monitor


def build_dump(revision=1, incarnation="i1", **versions):
    return {
        "entry": "entry-0",
        "incarnation": incarnation,
        "revision": revision,
        "assignments": versions,
    }


def test_older_revision_of_the_same_process_is_reported():
    monitor = version_monitor.VersionMonitor(None)
    monitor.receive_dump(build_dump(3), 0.0)
    monitor.receive_dump(build_dump(2), 1.0)
    assert monitor.version_violations == [
        version_monitor.RevisionWentBack("entry-0", 3, 2)
    ]


def test_new_incarnation_may_start_with_an_older_revision():
    monitor = version_monitor.VersionMonitor(None)
    monitor.receive_dump(build_dump(3), 0.0)
    monitor.receive_dump(build_dump(2, "i2"), 1.0)
    assert monitor.version_violations == []


def test_assignment_with_a_lower_or_missing_version_is_reported():
    monitor = version_monitor.VersionMonitor(None)
    monitor.receive_dump(build_dump(1, history=5, booker=2), 0.0)
    monitor.receive_dump(build_dump(1, history=4), 1.0)
    assert set(monitor.version_violations) == {
        version_monitor.AssignmentWentBack("entry-0", "history", 5, 4),
        version_monitor.AssignmentWentBack("entry-0", "booker", 2, 0),
    }


def test_reported_version_that_the_table_lacks_is_a_violation():
    monitor = version_monitor.VersionMonitor(None)
    monitor.receive_dump(build_dump(1, history=5), 0.0)
    monitor.receive_row(
        "assignment/history", 4, {"owners": []}, monitor.highest_versions
    )
    assert monitor.version_violations == [
        version_monitor.VersionMissing("entry-0", "history", 5, 4)
    ]


def test_version_reported_during_a_table_read_is_no_violation():
    monitor = version_monitor.VersionMonitor(None)
    highest_versions = dict(monitor.highest_versions)
    monitor.receive_dump(build_dump(1, history=5), 0.0)
    monitor.receive_row("assignment/history", 4, {"owners": []}, highest_versions)
    assert monitor.version_violations == []


def test_row_with_a_lower_version_or_changed_content_is_reported():
    monitor = version_monitor.VersionMonitor(None)
    monitor.receive_row("configuration", 2, {"revision": 2}, {})
    monitor.receive_row("configuration", 2, {"revision": 9}, {})
    monitor.receive_row("configuration", 1, {"revision": 1}, {})
    assert monitor.version_violations == [
        version_monitor.VersionChanged("configuration", 2),
        version_monitor.RowWentBack("configuration", 2, 1),
    ]
