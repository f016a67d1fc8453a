"""Tests of when the rows of members that are gone are removed."""

import asyncio

import pytest
from returns import result

from dewstep_core import errors
from dewstep_emulator import testing
from dewstep_fleet import (
    builders,
    coordination_quorum_test,
    directories,
    event_capture,
    member_removal,
)

TIMEOUT_S = member_removal.REMOVAL_TIMEOUT.total_seconds()


def build_removal(members, followers, quorum, silent_s=TIMEOUT_S):
    """Return the removal of a coordinator whose other members have been silent."""
    participant = coordination_quorum_test.build_coordinator(members, quorum)
    participant.member_removal.list_followers = lambda: {"own", *followers}
    coordination_quorum_test.observe(participant, -silent_s, followers)
    return participant.member_removal, participant.clock.monotonic()


@testing.run_in_event_loop
async def test_silent_members_outside_the_quorum_are_gone():
    removal, now = build_removal(["n1", "n2"], {"n1"}, {"own", "n1"})
    assert removal.list_gone(now) == ["n2"]
    assert removal.list_gone(now - builders.SECOND) == []


# Guards against removing members that an earlier coordinator may count, and against a
# minority that counts as most instances since the others were removed.
@pytest.mark.parametrize(
    ("followers", "quorum"),
    [({"n1"}, {"own", "n1", "n2"}), (set(), {"own"})],
)
@testing.run_in_event_loop
async def test_members_that_may_count_stay(followers, quorum):
    removal, now = build_removal(["n1", "n2"], followers, quorum)
    assert removal.list_gone(now) == []


@testing.run_in_event_loop
async def test_rows_are_removed_unless_they_have_changed(monkeypatch):
    log = event_capture.EventCapture(monkeypatch)
    removal, _ = build_removal(["n1", "n2"], {"n1"}, {"own", "n1"})
    removal.store = store = coordination_quorum_test.RecordingStore(
        result.Failure(errors.Conflict(("member/n2",)))
    )
    key = directories.MEMBER_PREFIX + "n2"
    version = removal.directory.rows["fleet", key].version
    await removal.remove(["n2"])
    assert "n2" in removal.directory.members and log.find("members_kept")
    store.outcome = result.Success(900)
    await removal.remove(["n2"])
    assert "n2" not in removal.directory.members
    for expected, writes in store.writes:
        assert writes == {key: None}
        assert expected[key] == version
        assert directories.COORDINATOR_KEY in expected


@testing.run_in_event_loop
async def test_members_are_looked_through_at_intervals():
    removal, now = build_removal(["n1", "n2"], {"n1"}, {"own", "n1"})
    removal.store = store = coordination_quorum_test.RecordingStore(
        result.Failure(errors.AnswerLost("cut"))
    )
    for _ in range(3):
        removal.remove_if_due(now)
        await asyncio.sleep(0)
    assert len(store.writes) == 1
    removal.remove_if_due(now + member_removal.CHECK_INTERVAL)
    await asyncio.sleep(0)
    assert len(store.writes) == 2
