"""Tests of ways to two owners that were found by reading the code."""

import asyncio
import time

import pytest
from returns import result

from dewstep_core import errors
from dewstep_emulator import testing
from dewstep_fleet import (
    builders,
    coordination_test,
    directories,
    dispatch_test,
    elections,
    grant_durations,
    grant_states,
    granting_test,
    links,
    model,
    outstanding,
    ownership_faults_test,
    ranges,
    renewal,
    store_restore_test,
    target_orders,
    terms,
)

STEP = granting_test.STEP
SETTLING_TIME = granting_test.SETTLING_TIME
INHERITED_TIME = store_restore_test.INHERITED_TIME


class PartialChannel:
    """Access to the targets from a place that reaches only some of them."""

    def __init__(self, targets, *unreachable):
        self.targets = targets
        self.unreachable = unreachable

    async def connect(self, target):
        if target.name in self.unreachable:
            failure = errors.TargetUnavailable(target.name, "cut")
            return result.Failure(failure)
        return await self.targets.connect(target)

    async def release(self, target, holding):
        if target.name in self.unreachable:
            failure = errors.TargetUnavailable(target.name, "cut")
            return result.Failure(failure)
        return await self.targets.release(target, holding)


def cut_off(harness, monkeypatch, nodes):
    """Leave the store only to `nodes`, and cut them off from the other instances."""
    connect = links.connect

    async def connect_within_side(host, port, receive, lose):
        own_node = receive.__self__.own_member.node
        reachable = {
            harness.ports[node]
            for node in harness.ports
            if (node in nodes) == (own_node in nodes)
        }
        if port not in reachable:
            raise TimeoutError
        return await connect(host, port, receive, lose)

    monkeypatch.setattr(links, "connect", connect_within_side)
    harness.unreachable.update(set(harness.running) - nodes)
    for item in harness.running.values():
        for node, link in list(item.participant.member_links.links.items()):
            if node in nodes:
                link.close()
                item.participant.drop_link(link)


async def check_successor(harness, nodes):
    """Fail if two targets hold a key after one of `nodes` was elected."""
    for node in nodes:
        granter = harness.running[node].participant.granter
        granter.grant_states.channel = PartialChannel(harness.targets, "a")
    await coordination_test.wait_until(lambda: nodes & set(harness.find_coordinators()))
    inherited = (
        outstanding.TERM_CONFIRMATION_MAX_AGE + 2 * grant_durations.GRANT_DURATION
    )
    end = time.monotonic() + inherited.total_seconds() + 2.0
    while time.monotonic() < end:
        assert harness.targets.find_conflict() is None
        await asyncio.sleep(0.02)


async def wait_owners(harness):
    """Wait until a coordinator has granted keys to both targets; return its node."""
    node = await coordination_test.wait_coordinator(harness)
    await coordination_test.wait_until(
        lambda: harness.targets.list_held("a") and harness.targets.list_held("b")
    )
    return node


# Guards against two owners after a minority, which alone reaches the store, has elected
# a coordinator while most instances follow the previous one.
@testing.run_in_event_loop
async def test_minority_takes_no_keys_from_a_followed_coordinator(monkeypatch):
    monkeypatch.setattr(elections, "MINORITY_ELECTION_TIMEOUT", 2 * builders.SECOND)
    timing = builders.build_timing(max_grant_duration=grant_durations.GRANT_DURATION)
    monkeypatch.setattr(builders, "build_timing", lambda: timing)
    async with coordination_test.run_fleet("n1", "n2", "n3", "n4", "n5") as harness:
        first = await wait_owners(harness)
        minority = set(sorted(set(harness.running) - {first})[:2])
        cut_off(harness, monkeypatch, minority)
        await check_successor(harness, minority)


# Guards against two owners after a coordinator without the store has missed that other
# instances were added, which make its followers a minority.
@testing.run_in_event_loop
async def test_added_instances_take_no_keys_from_a_followed_coordinator(monkeypatch):
    timing = builders.build_timing(max_grant_duration=grant_durations.GRANT_DURATION)
    monkeypatch.setattr(builders, "build_timing", lambda: timing)
    async with coordination_test.run_fleet("n1", "n2", "n3") as harness:
        first = await wait_owners(harness)
        separate = set(sorted(set(harness.running) - {first})[:1]) | {"n4", "n5"}
        cut_off(harness, monkeypatch, separate)
        for node in ("n4", "n5"):
            harness.running[node] = coordination_test.RunningInstance(harness, node)
            await harness.running[node].start()
        await check_successor(harness, separate)


class LostStore:
    """A store that rejects everything."""

    async def read_table(self, table):
        return result.Failure(errors.PlatformUnavailable("cut"))

    async def commit(self, expected, writes):
        return result.Failure(errors.PlatformUnavailable("cut"))


def elect_beside_a_followed_coordinator(harness):
    """Elect a coordinator that no other instance has heard of, and return it.

    Its predecessor leads without the store, and only the latter reaches target "a".
    """
    (predecessor,) = harness.coordinators
    successor = harness.elect("n2")
    successor.grant_states.channel = PartialChannel(harness.targets, "a")
    successor.adoption.is_adopted = lambda: False
    successor.adoption.get_inherited_grant_time_left = lambda: 0 * builders.SECOND
    predecessor.term.can_lead_without_store = lambda: True
    predecessor.term.is_followed = lambda: True
    predecessor.term.store = LostStore()
    predecessor.table_feeds.lost_at = harness.clock.monotonic()
    return successor


# Guards against two owners after a move that began while the previous coordinator was
# followed, since the owner is leaving or its registration has ended.
@pytest.mark.parametrize("change", ["removed", "leaving", "departed"])
def test_move_waits_for_a_followed_coordinator(change):
    async def scenario(harnesses):
        harness = granting_test.build_harness(harnesses, "a", "b")
        predecessor = harness.elect("n1")
        await harness.run(SETTLING_TIME + builders.SECOND)
        successor = elect_beside_a_followed_coordinator(harness)
        await harness.run(builders.SECOND)
        value = None
        if change == "leaving":
            value = builders.encode_target(builders.build_target("a", leaving=True))
        if change == "departed":
            successor.directory.record_departure("a", 1)
        else:
            row = harness.store.put(model.TABLES.targets, "a", value)
            successor.directory.apply_rows([row])
        await harness.run(20 * builders.SECOND)
        assert harness.find_owners() == {"a", "b"}
        predecessor.term.can_lead_without_store = lambda: False
        successor.adoption.is_adopted = lambda: True
        await harness.run(INHERITED_TIME)
        assert harness.find_owners() == {"b"}
        assert harness.count_held() == model.KEY_SPACE_SIZE

    granting_test.run_scenario(scenario)


# Guards against two owners after a range was moved while the renewal of its owner
# waited: the owner had not rejected the previous coordinator's grants for that range.
def test_skipped_range_does_not_count_as_accepted():
    async def scenario(harnesses):
        harness = granting_test.build_harness(harnesses, "a", "b")
        harness.elect("n1")
        await harness.run(SETTLING_TIME + builders.SECOND)
        successor = elect_beside_a_followed_coordinator(harness)
        successor.grant_states.channel = harness.targets
        async with asyncio.timeout(1.0):
            while "history" not in successor.adoption.managed_services:
                successor.step()
                await asyncio.sleep(0)
        target = successor.directory.targets["a"]
        state = successor.grant_states.get_grant_state(
            grant_states.TargetIncarnation(target.name, target.life)
        )

        async def skip(*_):
            return result.Success(target_orders.SKIPPED)

        grant, state.orders.grant = state.orders.grant, skip
        await successor.renewer.renew("history", target, state)
        assert state.orders.outstanding.inherits
        state.orders.grant = grant
        await successor.renewer.renew("history", target, state)
        assert not state.orders.outstanding.inherits

    granting_test.run_scenario(scenario)


# Guards against two owners after a pause of a new coordinator, in which it could not
# observe that the previous one is still followed.
def test_paused_coordinator_waits_for_a_followed_one():
    async def scenario(harnesses):
        harness = granting_test.build_harness(harnesses, "a", "b")
        harness.elect("n1")
        await harness.run(SETTLING_TIME + builders.SECOND)
        successor = elect_beside_a_followed_coordinator(harness)
        await harness.run(2 * builders.SECOND)
        harness.coordinators.remove(successor)
        await harness.run(8 * builders.SECOND)
        harness.coordinators.append(successor)
        await harness.run(8 * builders.SECOND)
        assert not successor.term.deposed
        assert harness.find_owners() == {"a", "b"}

    granting_test.run_scenario(scenario)


# Guards against two owners, and numbers given out twice, after a target has restarted
# under its name: its next process does not know the orders of a coordinator elected by
# a minority, and the previous one leads without the store.
@pytest.mark.parametrize("moved", [False, True])
def test_coordinator_without_the_store_opens_no_connection_beside_another(moved):
    async def scenario(harnesses):
        harness = granting_test.build_harness(harnesses, "a", "b")
        predecessor = harness.elect("n1")
        await harness.run(SETTLING_TIME + builders.SECOND)
        successor = elect_beside_a_followed_coordinator(harness)
        successor.grant_states.channel = harness.targets
        predecessor.term.can_connect_without_store = lambda: False
        await harness.run(builders.SECOND)
        if moved:
            target = builders.build_target("a", leaving=True)
            content = builders.encode_target(target)
            row = harness.store.put(model.TABLES.targets, "a", content)
            successor.directory.apply_rows([row])
            await harness.run(builders.SECOND)
            assert harness.find_owners() == {"b"}
        harness.targets.restart("a")
        await harness.run(2 * builders.SECOND)
        row = builders.build_target_row(
            builders.build_target("a", life=2), harness.store.version + 1
        )
        successor.directory.apply_rows([row])
        await harness.run(2 * builders.SECOND)
        assert not predecessor.term.deposed
        assert harness.count_held() == model.KEY_SPACE_SIZE

    granting_test.run_scenario(scenario)


# Guards against keys without an owner after connections broke in an outage of the store
# in which all instances follow the coordinator, or of targets that restart under new
# names.
@pytest.mark.parametrize(("life", "all_follow"), [(1, True), (0, False)])
def test_coordinator_without_the_store_opens_connections_again(life, all_follow):
    async def scenario(harnesses):
        harness = granting_test.build_harness(harnesses)
        for name in "ab":
            harness.register(builders.build_target(name, life=life))
        granter = harness.elect("n1")
        await harness.run(SETTLING_TIME + builders.SECOND)
        granter.term.can_lead_without_store = lambda: True
        granter.term.can_connect_without_store = lambda: all_follow
        granter.term.store = LostStore()
        granter.table_feeds.lost_at = harness.clock.monotonic()
        for state in granter.grant_states.states.values():
            state.orders.close()
        await harness.run(2 * grant_durations.GRANT_DURATION)
        assert harness.count_held() == model.KEY_SPACE_SIZE

    granting_test.run_scenario(scenario)


def is_all_held(harness):
    """Whether all keys have an owner."""
    end = 0
    held = [item for name in "ab" for item in harness.targets.list_held(name)]
    for first, last in sorted((item.first, item.last) for item in held):
        if first > end:
            return False
        end = max(end, last + 1)
    return end == model.KEY_SPACE_SIZE


# Guards against keys of a lost target that have no owner while half of the instances
# are gone.
@testing.run_in_event_loop
async def test_keys_move_while_half_of_the_instances_are_gone():
    async with coordination_test.run_fleet("n1", "n2") as harness:
        first = await wait_owners(harness)
        await harness.running.pop(first).stop()
        harness.targets.down.add("a")
        harness.targets.grants["a"] = []
        await coordination_test.wait_until(lambda: is_all_held(harness), 24.0)


# Guards against keys without an owner while the store rejects the coordinator's writes
# and answers its reads.
@testing.run_in_event_loop
async def test_coordinator_that_cannot_write_is_replaced():
    async with coordination_test.run_fleet("n1", "n2", "n3") as harness:
        first = await wait_owners(harness)
        await coordination_test.wait_until(lambda: is_all_held(harness))
        participant = harness.running[first].participant
        participant.candidacy.store.commit = LostStore().commit

        def is_replaced():
            assert is_all_held(harness)
            return harness.find_coordinators() not in ([], [first])

        await coordination_test.wait_until(is_replaced, 10.0)
        await coordination_test.wait_until(
            lambda: harness.find_coordinators() != [first]
        )
        assert is_all_held(harness)


def elect_without_contact(harness, *unreachable):
    """Elect a coordinator that does not reach some targets nor its predecessor.

    Most members voted for it, and none of them knows of long grants.
    """
    successor = harness.elect("n2")
    successor.grant_states.channel = PartialChannel(harness.targets, *unreachable)
    successor.adoption.get_inherited_grant_time_left = lambda: 0 * builders.SECOND
    return successor


# Guards against two owners after outdated answers of the store have confirmed the term
# of a coordinator that was replaced.
def test_outdated_answers_do_not_prolong_a_term():
    async def scenario(harnesses):
        harness = granting_test.build_harness(harnesses, "a", "b")
        deposed = harness.elect("n1")
        await harness.run(SETTLING_TIME + renewal.RENEWAL_INTERVAL)
        deposed.term.store = ownership_faults_test.StaleStore(harness.store)
        # Its next transaction would depose it.
        deposed.term.next_confirmation = (
            harness.clock.monotonic() + 60 * builders.SECOND
        )
        elect_without_contact(harness, "a")
        await harness.run(3 * builders.SECOND)
        deposed.table_feeds.lost_at = harness.clock.monotonic()
        await harness.run(INHERITED_TIME)
        assert harness.find_owners() == {"b"}

    granting_test.run_scenario(scenario)


class AddressedTargets(builders.FakeTargets):
    """Targets that are reached at the address of their process only."""

    def __init__(self, clock):
        super().__init__(clock)
        self.ports = {}
        """Port of each target that does not listen at the usual one."""
        self.occupants = {}
        """Target that listens at each port that another one has left."""

    def move(self, target, port, occupant):
        """Restart a target at another port; `occupant` now has the previous one."""
        self.restart(target.name)
        self.occupants[target.port] = occupant
        self.ports[target.name] = port

    def is_reached(self, target):
        """Whether a target listens at its registered address."""
        return target.port == self.ports.get(target.name, target.port)

    async def connect(self, target):
        if self.is_reached(target):
            return await super().connect(target)
        process = self.get_process(self.occupants[target.port])
        return result.Success(builders.FakeConnection(self, target, process))

    async def release(self, target, holding):
        if self.is_reached(target):
            return await super().release(target, holding)
        return result.Failure(model.TargetReplaced(target.name))


async def move_target(harness):
    """Restart target "a" at another address, of which the copy does not know."""
    harness.store.save_copy()
    earlier = builders.build_target("a")
    harness.targets.move(earlier, 81, "c")
    harness.register(earlier._replace(life=2, port=81))
    await harness.run(builders.SECOND)
    assert harness.count_held() == model.KEY_SPACE_SIZE


def build_addressed(harnesses):
    harness = store_restore_test.build_harness(harnesses, "a", "b")
    harness.targets = AddressedTargets(harness.clock)
    return harness


# Guards against two owners after the store has lost a target's restart at another
# address, which the coordinator knows.
def test_coordinator_keeps_a_restart_that_the_store_has_lost():
    async def scenario(harnesses):
        harness = build_addressed(harnesses)
        harness.elect("n1")
        await harness.run(SETTLING_TIME + renewal.RENEWAL_INTERVAL)
        await move_target(harness)
        await harness.restore()
        await harness.run(2 * builders.SECOND)
        harness.write_again()
        await harness.run(4 * builders.SECOND)
        assert harness.count_held() == model.KEY_SPACE_SIZE

    granting_test.run_scenario(scenario)


# Guards against two owners after the store has lost a target's restart at another
# address, of which its next coordinator does not know, before or after its predecessor
# has written the owners again.
@pytest.mark.parametrize("written_again", [False, True])
def test_target_at_a_lost_address_keeps_its_grants(written_again):
    async def scenario(harnesses):
        harness = build_addressed(harnesses)
        first = harness.elect("n1")
        await harness.run(SETTLING_TIME + renewal.RENEWAL_INTERVAL)
        await move_target(harness)
        if not written_again:
            harness.cut()
        await harness.restore()
        await harness.run(STEP)
        first.tasks.cancel()
        first.term.deposed = True
        harness.elect("n2")
        await harness.run(INHERITED_TIME + 2 * grant_durations.GRANT_DURATION)
        assert harness.count_held() == model.KEY_SPACE_SIZE
        harness.write_again()
        await harness.run(2 * grant_durations.GRANT_DURATION)
        assert harness.count_held() == model.KEY_SPACE_SIZE

    granting_test.run_scenario(scenario)


# Guards against keys without an owner after a target's clock was set back before its
# restart, so that its new registration looks older than the owner.
@pytest.mark.parametrize("steps", [1, 4, 18])
def test_keys_return_after_a_restart_with_an_earlier_start_time(steps):
    async def scenario(harnesses):
        harness = granting_test.build_harness(harnesses, "a", "b")
        harness.elect("n1")
        await harness.run(SETTLING_TIME)
        harness.restart(builders.build_target("a", life=5))
        await harness.run(renewal.RENEWAL_INTERVAL)
        assert harness.count_held() == model.KEY_SPACE_SIZE
        harness.restart(builders.build_target("a", life=3))
        await harness.run(steps * STEP)
        # A single row with an earlier start time is refused.
        harness.register(builders.build_target("a", life=3))
        await harness.run(2 * STEP)
        assert harness.count_held() == model.KEY_SPACE_SIZE

    granting_test.run_scenario(scenario)


class PlatformStore:
    """One coordinator's access to the platform's store, which does not check eras.

    Versions are sent without their era, which the coordinator learns from answers.
    """

    def __init__(self, store):
        self.store = store
        self.era_floor = model.get_era_floor(store.version)

    async def read_table(self, table):
        self.era_floor = model.get_era_floor(self.store.version)
        return await self.store.read_table(table)

    async def commit(self, expected, writes):
        sent_floor = self.era_floor
        self.era_floor = model.get_era_floor(self.store.version)
        outcome = await self.store.commit(
            {
                key: version and self.era_floor + version - sent_floor
                for key, version in expected.items()
            },
            writes,
        )
        if isinstance(outcome, result.Success) and self.era_floor != sent_floor:
            failure = errors.AnswerLost("store restored")
            return result.Failure(failure)
        return outcome


def count_writes_only(store):
    """Let transactions without writes keep the store's version."""
    commit = store.commit

    async def commit_writes(expected, writes):
        version = store.version
        outcome = await commit(expected, writes)
        if not writes:
            store.version = version
        return outcome

    store.commit = commit_writes


def get_version(harness, key):
    """Return the version of a row of the fleet's table without its era."""
    row = harness.store.rows[model.TABLES.fleet, key]
    return row.version % model.VERSIONS_PER_ERA


# Guards against two owners after a coordinator that was paused while the store was
# restored has overwritten its successor's owners, whose row has the same version.
@pytest.mark.parametrize("successor_fails", [False, True])
def test_owners_written_under_versions_of_an_earlier_era_are_not_used(successor_fails):
    async def scenario(harnesses):
        harness = granting_test.build_harness(harnesses, "a", "b")
        count_writes_only(harness.store)
        harness.store.save_copy()
        paused = harness.elect("n1")
        paused.term.store = PlatformStore(harness.store)
        await harness.run(SETTLING_TIME + renewal.RENEWAL_INTERVAL)
        harness.coordinators.clear()
        coordinator_version = get_version(harness, directories.COORDINATOR_KEY)
        ranges_version = get_version(harness, "ranges/history")
        harness.store.restore()
        floor = model.get_era_floor(harness.store.version)
        harness.store.version = floor + coordinator_version - 1
        second = harness.elect("n2")
        harness.store.version = floor + ranges_version - 1
        await harness.run(INHERITED_TIME + SETTLING_TIME)
        assert get_version(harness, "ranges/history") == ranges_version
        change = ranges.Transfer(0, 99, "b", 1)
        overwriting = asyncio.ensure_future(paused.writer.transfer("history", [change]))
        await harness.run(STEP)
        assert isinstance(overwriting.exception(), terms.DeposedError)
        assert get_version(harness, "ranges/history") > ranges_version
        if successor_fails:
            second.tasks.cancel()
            second.term.deposed = True
            harness.elect("n3")
            await harness.run(INHERITED_TIME)
        harness.register(builders.build_target("a", leaving=True))
        await harness.run(2 * grant_durations.GRANT_DURATION)
        assert harness.find_owners() == {"b"}
        assert harness.count_held() == model.KEY_SPACE_SIZE

    granting_test.run_scenario(scenario)


class AcceptedConnection:
    """Writer of a connection that carries nothing."""

    def close(self):
        """Do nothing; there is no connection."""


# Guards against sending a request on that crashes each target, since the crashes of
# targets that restart at once are not counted.
@pytest.mark.parametrize("accepts", [False, True])
def test_crash_of_a_target_that_restarts_at_once_is_counted(accepts, monkeypatch):
    async def connect(host, port):
        if not accepts:
            raise ConnectionRefusedError
        return None, AcceptedConnection()

    monkeypatch.setattr(asyncio, "open_connection", connect)
    harness = dispatch_test.Harness(dispatch_test.lost, keyed=True)
    handle = harness.dispatcher.handle

    async def handle_and_check(request):
        answer = await handle(request)
        await asyncio.sleep(0.05)
        return answer

    harness.dispatcher.handle = handle_and_check
    dispatch_test.send_streamed(harness)
    dispatch_test.restart(harness, 2)
    counts = harness.participant.crash_counts
    now = harness.clock.monotonic()
    assert [counts.get(item, now) for item in counts.suspects] == [1]
