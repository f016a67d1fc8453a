"""Tests of requests and grants for targets that are leaving."""

import asyncio

import pytest

from dewstep_core import clocks, errors
from dewstep_fleet import (
    builders,
    dispatch_test,
    event_capture,
    granting_test,
    membership,
    model,
    planning,
    ranges,
    registrations,
    telemetry,
    terms,
)

STEP = granting_test.STEP
SETTLING_TIME = granting_test.SETTLING_TIME
DRAIN_TIME = builders.build_timing().drain_time
KEY = ((b"x-key", b"7"),)


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


def build_instance(*outcomes, keyed=True):
    """Return an instance whose waits for changes of owners end in vain."""
    harness = dispatch_test.Harness(*outcomes, keyed=keyed)

    async def wait_in_vain(change_count, seconds):
        harness.clock.advance(seconds * builders.SECOND)

    harness.directory.wait_change = wait_in_vain
    return harness


def register(harness, version, **changes):
    """Let an instance read a registration of target "a"."""
    target = builders.build_target("a", **changes)
    harness.directory.apply_rows([builders.build_target_row(target, version)])


# Guards against requests to a leaving owner after the drain time, if only its
# registration says that it is leaving.
def test_owner_registered_as_leaving_receives_nothing_after_the_drain_time():
    harness = build_instance(200, 200)
    register(harness, 8, leaving=True)
    assert harness.send(headers=KEY).status == 200
    harness.clock.advance(DRAIN_TIME / 4)
    register(harness, 9, leaving=True, slots=9)
    harness.clock.advance(DRAIN_TIME / 4)
    answer = harness.send(headers=KEY)
    assert answer.status == 503 and len(harness.sent) == 1
    assert dispatch_test.get_outcome(answer) == b"not-run"


# Guards against requests after the drain time by an instance that learned late of the
# departure: it reads the store after 0.7 s without news.
def test_requests_end_before_the_drain_time_of_an_instance_that_learns_late():
    harness = build_instance(200)
    register(harness, 8, leaving=True)
    late = membership.DIRECT_READ_TIMEOUT + 200 * builders.MILLISECOND
    harness.clock.advance(DRAIN_TIME - late)
    assert harness.send(headers=KEY).status == 503
    assert not harness.sent


# Guards against a whole drain time for a target that may have left long ago, at an
# instance that has just started or has not known the target before.
@pytest.mark.parametrize("life", [1, 2])
def test_owner_that_was_leaving_when_it_became_known_receives_nothing(life):
    harness = build_instance(200)
    gone = builders.build_row(model.TABLES.targets, "a", 7, None)
    harness.directory.apply_rows([gone] if life == 1 else [])
    register(harness, 8, leaving=True, life=life)
    owners = [holding._replace(life=life) for holding in builders.build_holdings("a")]
    ownership = ranges.Ownership("history", 0, 9, tuple(owners))
    value = ranges.encode(ownership)
    row = builders.build_row(model.TABLES.fleet, "ranges/history", 9, value)
    harness.directory.apply_rows([row])
    assert harness.send(headers=KEY).status == 503
    assert not harness.sent


# Guards against a request that is sent after the drain time, as it waited for a permit
# or a connection.
@pytest.mark.parametrize("keyed", [True, False])
def test_request_that_waited_is_not_sent_after_the_drain_time(keyed):
    harness = build_instance(200, keyed=keyed)
    make_pool = harness.dispatcher.pools.get

    def wait_for_connection(service, target):
        if target.name == "a":
            register(harness, 8, leaving=True)
            harness.clock.advance(DRAIN_TIME / 2)
        return make_pool(service, target)

    harness.dispatcher.pools.get = wait_for_connection
    if not keyed:
        gone = builders.build_row(model.TABLES.targets, "b", 7, None)
        harness.directory.apply_rows([gone])
    answer = harness.send(headers=(*KEY, (b"x-deadline", b"9000")))
    assert answer.status == 503 and not harness.sent
    assert dispatch_test.get_outcome(answer) == b"not-run"


# Guards against a whole drain time for a target that has announced its departure long
# before an instance started, which read its registration first.
@pytest.mark.parametrize("announced_first", [True, False])
def test_departure_counts_from_its_earliest_announcement(announced_first):
    harness = build_instance(200)
    age = registrations.UNKNOWN_DEPARTURE_AGE
    if announced_first:
        harness.directory.record_departure("a", 1, age)
    register(harness, 8, leaving=True)
    harness.directory.record_departure("a", 1, age)
    assert harness.send(headers=KEY).status == 503
    assert not harness.sent


# Guards against a ready target that receives nothing because it has once been leaving.
def test_registration_ends_the_departure_that_it_announced():
    harness = build_instance(200)
    register(harness, 8, leaving=True)
    harness.clock.advance(DRAIN_TIME)
    register(harness, 9)
    assert not harness.directory.targets["a"].leaving
    assert harness.send(headers=KEY).status == 200


# Guards against requests to a leaving target whose announcement a restored store lacks.
def test_restored_registration_does_not_end_a_departure():
    harness = build_instance(200)
    register(harness, 8, leaving=True)
    harness.clock.advance(DRAIN_TIME)
    register(harness, model.VERSIONS_PER_ERA + 7)
    assert harness.directory.targets["a"].leaving
    assert harness.send(headers=KEY).status == 503
    assert not harness.sent


# Guards against a metric that misses the targets whose keys must move.
def test_leaving_and_removed_owners_are_counted():
    known = builders.build_directory(clocks.ManualClock())
    owners = ranges.Ownership("history", 1, 9, builders.build_holdings("a", "b", "c"))
    known.ownerships["history"] = owners
    rows = [
        builders.build_target_row(builders.build_target("a", leaving=True), 2),
        builders.build_target_row(builders.build_target("b"), 3),
        builders.build_row(model.TABLES.targets, "c", 4, None),
    ]
    known.apply_rows(rows)
    assert telemetry.count_leaving_owners(known) == 2
