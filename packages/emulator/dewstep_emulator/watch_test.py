"""Tests of the watcher: each test guards against one kind of revert unseen."""

from dewstep_emulator import watch


def build_dump(revision=1, incarnation="i1", **versions):
    return {
        "entry": "entry-0",
        "incarnation": incarnation,
        "revision": revision,
        "assignments": versions,
    }


def test_older_revision_of_the_same_process_is_reported():
    watcher = watch.Watcher(None)
    watcher.receive_dump(build_dump(3), 0.0)
    watcher.receive_dump(build_dump(2), 1.0)
    assert watcher.found == [watch.RevisionWentBack("entry-0", 3, 2)]


def test_new_process_may_begin_with_an_older_revision():
    watcher = watch.Watcher(None)
    watcher.receive_dump(build_dump(3), 0.0)
    watcher.receive_dump(build_dump(2, "i2"), 1.0)
    assert watcher.found == []


def test_assignment_that_goes_back_or_vanishes_is_reported():
    watcher = watch.Watcher(None)
    watcher.receive_dump(build_dump(1, history=5, booker=2), 0.0)
    watcher.receive_dump(build_dump(1, history=4), 1.0)
    assert set(watcher.found) == {
        watch.AssignmentWentBack("entry-0", "history", 5, 4),
        watch.AssignmentWentBack("entry-0", "booker", 2, 0),
    }


def test_shown_version_that_the_table_does_not_have_is_reported():
    watcher = watch.Watcher(None)
    watcher.receive_dump(build_dump(1, history=5), 0.0)
    watcher.receive_row("assignment/history", 4, {"owners": []}, watcher.newest)
    assert watcher.found == [watch.VersionMissing("entry-0", "history", 5, 4)]


def test_version_shown_during_a_read_is_not_held_against_it():
    watcher = watch.Watcher(None)
    newest = dict(watcher.newest)
    watcher.receive_dump(build_dump(1, history=5), 0.0)
    watcher.receive_row("assignment/history", 4, {"owners": []}, newest)
    assert watcher.found == []


def test_row_that_goes_back_or_changes_in_place_is_reported():
    watcher = watch.Watcher(None)
    watcher.receive_row("configuration", 2, {"revision": 2}, {})
    watcher.receive_row("configuration", 2, {"revision": 9}, {})
    watcher.receive_row("configuration", 1, {"revision": 1}, {})
    assert watcher.found == [
        watch.VersionChanged("configuration", 2),
        watch.RowWentBack("configuration", 2, 1),
    ]
