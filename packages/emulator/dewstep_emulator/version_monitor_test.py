"""Tests that the monitor reports each kind of version that decreases or changes."""

import asyncio
import types

from returns import result

from dewstep_core import data
from dewstep_emulator import testing, version_monitor


def build_dump(revision=1, incarnation="i1", **versions):
    return {
        "entry": "entry-0",
        "incarnation": incarnation,
        "revision": revision,
        "assignments": versions,
    }


def receive_row(monitor, *row):
    """Let the monitor receive a row of a read that begins now."""
    monitor.receive_row(*row, monitor.copy_known_versions())


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
    receive_row(monitor, "assignment/history", 4, {"owners": []})
    assert monitor.version_violations == [
        version_monitor.VersionMissing("entry-0", "history", 5, 4)
    ]


def test_version_reported_during_a_table_read_is_no_violation():
    monitor = version_monitor.VersionMonitor(None)
    known = monitor.copy_known_versions()
    monitor.receive_dump(build_dump(1, history=5), 0.0)
    monitor.receive_row("assignment/history", 4, {"owners": []}, known)
    assert monitor.version_violations == []


def test_row_with_a_lower_version_or_changed_content_is_reported():
    monitor = version_monitor.VersionMonitor(None)
    receive_row(monitor, "configuration", 2, {"revision": 2})
    receive_row(monitor, "configuration", 2, {"revision": 9})
    receive_row(monitor, "configuration", 1, {"revision": 1})
    assert monitor.version_violations == [
        version_monitor.VersionChanged("configuration", 2),
        version_monitor.RowWentBack("configuration", 2, 1),
    ]


class OvertakenTable:
    """Table whose first answer arrives after that to a later read."""

    def __init__(self):
        self.reads = 0
        self.overtaken = asyncio.Event()

    async def read_prefix(self, prefix):
        self.reads += 1
        row = data.Row(prefix + "history", self.reads, {"owners": [self.reads]})
        if self.reads == 1:
            await self.overtaken.wait()
        return result.Success((row,))

    async def read(self, key):
        return result.Success(data.Row(key, 1, {"revision": 1}))


# Guards against reporting a decrease because a scenario reads the rows while the
# monitor's own read of them is not answered yet.
@testing.run_in_event_loop
async def test_row_that_a_later_read_returns_first_did_not_go_back():
    table = OvertakenTable()
    monitor = version_monitor.VersionMonitor(types.SimpleNamespace(table=table))
    earlier = asyncio.ensure_future(monitor.read_rows())
    await asyncio.sleep(0)
    await monitor.read_rows()
    table.overtaken.set()
    await earlier
    assert table.reads == 2 and monitor.row_versions["assignment/history"] == 2
    assert monitor.version_violations == []
