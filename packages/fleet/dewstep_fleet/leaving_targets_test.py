"""Tests of requests and grants for targets that are leaving."""

import asyncio

import pytest

from dewstep_core import errors
from dewstep_fleet import (
    builders,
    event_capture,
    granting_test,
    model,
    planning,
    ranges,
    telemetry,
    terms,
)

STEP = granting_test.STEP
SETTLING_TIME = granting_test.SETTLING_TIME


# Guards against keys that stay with a leaving target without a trace in the log.
def test_postponed_evacuation_is_logged_once_for_each_reason(monkeypatch):
    log = event_capture.EventCapture(monkeypatch)

    async def scenario(harnesses):
        harness = granting_test.build_harness(harnesses, "a", "b")
        granter = harness.elect("n1")
        await harness.run(SETTLING_TIME)
        harness.register(builders.build_target("b", leaving=True))
        harness.register(builders.build_target("a", leaving=True))
        await harness.run(builders.SECOND)
        assert {item["source"] for item in log.find("evacuation_postponed")} >= {"a"}
        count = len(log.find("evacuation_postponed"))
        await harness.run(builders.SECOND)
        assert len(log.find("evacuation_postponed")) == count
        granter.table_feeds.lost_at = harness.clock.monotonic() - builders.SECOND * 3
        await harness.run(4 * STEP)
        assert log.find(
            "evacuation_postponed", source="a", reason="the store does not answer"
        )

    granting_test.run_scenario(scenario)


# Guards against moves that end without a new owner and without a trace in the log.
def test_abandoned_move_is_logged(monkeypatch):
    log = event_capture.EventCapture(monkeypatch)

    async def scenario(harnesses):
        harness = granting_test.build_harness(harnesses, "a", "b")
        harness.elect("n1")
        await harness.run(SETTLING_TIME)
        refuse_writes(harness.store, 2)
        harness.register(builders.build_target("a", leaving=True))
        await harness.run(terms.RETRY_PAUSE * 8)
        abandoned = log.find("move_abandoned", source="a", target="b")
        assert abandoned and abandoned[0]["reason"] == "not recorded in the store"
        await harness.run(builders.SECOND)
        assert harness.find_owners() == {"b"}

    granting_test.run_scenario(scenario)


def refuse_writes(store, count):
    """Let the store refuse the next transactions that write rows."""
    commit = store.commit

    async def refuse(expected, writes):
        nonlocal count
        if not writes or not count:
            return await commit(expected, writes)
        count -= 1
        store.failures.insert(0, errors.PlatformUnavailable("down"))
        return await commit(expected, writes)

    store.commit = refuse


def hold_writes(store):
    """Let transactions that write rows wait; return the event that they wait for."""
    commit, released = store.commit, asyncio.Event()

    async def wait(expected, writes):
        if writes:
            await released.wait()
        return await commit(expected, writes)

    store.commit = wait
    return released


# Guards against a range that is granted to a target which has been leaving for as long
# as the store took to record the move.
@pytest.mark.parametrize("lost", [False, True])
def test_target_that_leaves_during_the_write_is_granted_nothing(lost):
    async def scenario(harnesses):
        harness = granting_test.build_harness(harnesses, "a", "b", "c")
        granter = harness.elect("n1")
        await harness.run(SETTLING_TIME)
        released = hold_writes(harness.store)
        (held,) = granter.held.list_owned("history", "a")
        move = planning.Move(held.first, held.first + 9, "a", "b")
        granter.mover.begin_move("history", move, release=True)
        await harness.run(4 * STEP)
        harness.register(builders.build_target("b", leaving=True))
        await harness.run(4 * STEP)
        if lost:
            harness.store.failures = [errors.AnswerLost("commit")]
        released.set()
        await harness.run(builders.SECOND)
        granted = {
            grant.process.target
            for grant in harness.targets.accepted
            if grant.holding.first <= held.first <= grant.holding.last
        }
        assert "b" not in granted
        assert harness.find_owners() == {"a", "c"}
        assert harness.count_held() == model.KEY_SPACE_SIZE

    granting_test.run_scenario(scenario)


# Guards against a restarted target that is granted its keys while it is leaving again.
def test_restarted_target_that_leaves_during_the_write_is_granted_nothing():
    async def scenario(harnesses):
        harness = granting_test.build_harness(harnesses, "a", "b")
        harness.elect("n1")
        await harness.run(SETTLING_TIME)
        released = hold_writes(harness.store)
        harness.restart(builders.build_target("a", life=2))
        await harness.run(4 * STEP)
        harness.register(builders.build_target("a", life=2, leaving=True))
        await harness.run(4 * STEP)
        released.set()
        await harness.run(builders.SECOND)
        granted = [
            grant.holding
            for grant in harness.targets.accepted
            if grant.process == builders.Process("a", 2)
        ]
        # The fence against grants for the earlier incarnation, before the release.
        assert len(granted) == 1
        assert harness.find_owners() == {"b"}
        assert harness.count_held() == model.KEY_SPACE_SIZE

    granting_test.run_scenario(scenario)


# Guards against a metric that misses the targets whose keys must move.
def test_leaving_and_removed_owners_are_counted():
    known = builders.build_directory(None)
    owners = ranges.Ownership("history", 1, 9, builders.build_holdings("a", "b", "c"))
    known.ownerships["history"] = owners
    rows = [
        builders.build_target_row(builders.build_target("a", leaving=True), 2),
        builders.build_target_row(builders.build_target("b"), 3),
        builders.build_row(model.TABLES.targets, "c", 4, None),
    ]
    known.apply_rows(rows)
    assert telemetry.count_leaving_owners(known) == 2
