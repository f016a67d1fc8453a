"""Owners of key ranges under lost, late and repeated orders and under two coordinators.

The targets are fakes that note every grant; after each step none of them may hold a key
that another one holds.
"""

import asyncio
import collections
import random

import pytest

from dewstep_core import clock as clocks, errors
from dewstep_fleet import (
    builders,
    demands,
    directory as directories,
    granting,
    model,
    ranges,
)

STEP = 50 * builders.MILLISECOND
SETTLED = granting.SETTLING + 8 * STEP


class FakeFeeds:
    """A store that is in contact as the test says."""

    def __init__(self, clock):
        self.clock = clock
        self.lost_at = None

    def is_current(self):
        return self.lost_at is None

    def in_contact(self, limit):
        if self.lost_at is None:
            return True
        return self.clock.monotonic() - self.lost_at <= limit


class Stage:
    """A coordinator, its store and its targets."""

    def __init__(self, *names):
        self.clock = clocks.ManualClock()
        self.store = builders.FakeStore()
        self.targets = builders.FakeTargets(self.clock)
        self.rates = {}
        self.support = False
        self.coordinators = []
        for name in names:
            self.register(builders.build_target(name))

    def register(self, target):
        content = builders.encode_target(target)
        row = self.store.put(model.TABLES.targets, target.name, content)
        for granter in self.coordinators:
            granter.directory.take([row])

    def remove(self, name):
        row = self.store.put(model.TABLES.targets, name, None)
        for granter in self.coordinators:
            granter.directory.take([row])

    def restart(self, target):
        """Start a target again under its name; it holds nothing."""
        self.targets.grants[target.name] = []
        self.targets.seen[target.name] = []
        self.targets.delayed = [
            item for item in self.targets.delayed if item[0] != target.name
        ]
        self.register(target)

    def elect(self, node):
        """Make a new coordinator; the others do not know of it yet."""
        term = len(self.coordinators) + 1
        record = directories.Leadership(node, f"{node}-{term}", term, 0)
        value = directories.encode_record(record)
        self.store.put(model.TABLES.fleet, directories.COORDINATOR, value)
        known = builders.build_directory(self.clock)
        known.take([builders.build_row(model.TABLES.configuration, "c", 1, b"")])
        known.take(self.store.rows.values())
        granter = granting.Granter(
            known,
            FakeFeeds(self.clock),
            self.store,
            self.targets,
            self.clock,
            builders.build_timing(),
            lambda: self.support,
            lambda service: demands.Demand(
                dict(self.rates), collections.defaultdict(lambda: 0.2), 1.5
            ),
            lambda target: 2 * STEP,
            lambda: builders.build_timing().longest_hold,
            lambda: None,
        )
        self.coordinators.append(granter)
        return granter

    async def run(self, duration):
        """Let time pass; all coordinators work, and owners are checked."""
        end = self.clock.monotonic() + duration
        while self.clock.monotonic() < end:
            for granter in self.coordinators:
                if not granter.deposed:
                    granter.step()
            for _ in range(12):
                await asyncio.sleep(0)
            assert self.targets.find_conflict() is None
            self.clock.advance(STEP)
            assert self.targets.find_conflict() is None
        for _ in range(12):
            await asyncio.sleep(0)

    def find_owners(self):
        row = self.store.rows[model.TABLES.fleet, "ranges/history"]
        decoded = ranges.decode("history", row.version, row.value)
        return {item.target for item in decoded.unwrap().holdings}

    def count_held(self):
        """Return how many keys some target holds now."""
        return sum(
            item.last - item.first + 1
            for target in self.targets.grants
            for item in self.targets.list_held(target)
        )

    def close(self):
        for granter in self.coordinators:
            for task in list(granter.tasks.tasks):
                task.cancel()


def play(scenario):
    """Run a scenario and end its tasks."""
    stages = []

    async def run():
        try:
            await scenario(stages)
        finally:
            for stage in stages:
                stage.close()

    asyncio.run(run())


def begin(stages, *names):
    stage = Stage(*names)
    stages.append(stage)
    return stage


def test_all_keys_are_granted_and_stay_granted():
    async def scenario(stages):
        stage = begin(stages, "a", "b", "c")
        stage.elect("n1")
        await stage.run(SETTLED)
        assert stage.count_held() == model.KEYS
        for _ in range(10):
            await stage.run(builders.SECOND)
            assert stage.count_held() == model.KEYS

    play(scenario)


def test_keys_of_a_silent_target_move_only_after_its_grants_have_ended():
    # Guards against a target that is cut off and goes on serving its keys.
    async def scenario(stages):
        stage = begin(stages, "a", "b")
        stage.elect("n1")
        await stage.run(SETTLED)
        stage.targets.mute.add("a")
        await stage.run(granting.HOLD * 2.5)
        assert stage.find_owners() == {"b"}
        assert stage.count_held() == model.KEYS

    play(scenario)


def test_keys_of_a_target_that_ended_are_away_for_little_more_than_a_hold():
    async def scenario(stages):
        stage = begin(stages, "a", "b")
        stage.elect("n1")
        await stage.run(SETTLED)
        stage.targets.down.add("a")
        stage.targets.grants["a"] = []
        await stage.run(granting.HOLD + 10 * STEP)
        assert stage.count_held() == model.KEYS

    play(scenario)


def test_keys_return_at_once_to_a_target_that_started_again():
    async def scenario(stages):
        stage = begin(stages, "a", "b")
        stage.elect("n1")
        await stage.run(SETTLED)
        before = stage.store.rows[model.TABLES.fleet, "ranges/history"].version
        stage.restart(builders.build_target("a", life=2))
        await stage.run(4 * STEP)
        assert stage.count_held() == model.KEYS
        row = stage.store.rows[model.TABLES.fleet, "ranges/history"]
        assert row.version > before

    play(scenario)


def test_leaving_target_hands_its_keys_over():
    # Guards against keys that run cold after planned work.
    async def scenario(stages):
        stage = begin(stages, "a", "b")
        stage.elect("n1")
        await stage.run(SETTLED)
        stage.register(builders.build_target("a", leaving=True))
        await stage.run(8 * STEP)
        assert stage.find_owners() == {"b"}
        assert stage.targets.handovers

    play(scenario)


def test_unregistered_target_is_asked_to_release_its_keys():
    async def scenario(stages):
        stage = begin(stages, "a", "b")
        stage.elect("n1")
        await stage.run(SETTLED)
        stage.remove("a")
        await stage.run(8 * STEP)
        assert stage.find_owners() == {"b"}
        assert {name for name, *_ in stage.targets.released} == {"a"}

    play(scenario)


def test_order_carried_out_late_gives_no_key_a_second_owner():
    # Guards against a renewal that is applied after the range went to another target.
    async def scenario(stages):
        stage = begin(stages, "a", "b")
        stage.elect("n1")
        await stage.run(SETTLED)
        stage.targets.delay_next = 2
        await stage.run(granting.RENEWAL)
        stage.register(builders.build_target("a", leaving=True))
        await stage.run(8 * STEP)
        stage.targets.apply_delayed()
        await stage.run(builders.SECOND)
        assert stage.find_owners() == {"b"}

    play(scenario)


def test_order_that_waited_for_a_connection_holds_for_longer():
    """Guards against a renewal that is applied after its end as seen from its start.

    It waited for a connection first, and its time counts from its arrival.
    """

    async def scenario(stages):
        stage = begin(stages, "a", "b")
        stage.elect("n1")
        await stage.run(SETTLED + granting.RENEWAL)
        stage.targets.queueing = granting.ORDER_TIMEOUT - STEP
        stage.targets.delay_next = 1
        while not stage.targets.delayed:
            await stage.run(STEP)
        target, _, end = stage.targets.delayed[0]
        await stage.run(end - stage.clock.monotonic() - 3 * STEP)
        stage.register(builders.build_target(target, leaving=True))
        for _ in range(2):
            await stage.run(STEP)
        stage.targets.apply_delayed()
        await stage.run(builders.SECOND)
        assert target not in stage.find_owners()

    play(scenario)


def test_first_answers_of_a_term_do_not_settle_its_own_lost_orders():
    """Guards against a renewal of this term that is applied after a move.

    Only orders of the last coordinator are refused from the first answers on.
    """

    async def scenario(stages):
        stage = begin(stages, "a", "b")
        stage.elect("n1")
        await stage.run(SETTLED + granting.RENEWAL)
        stage.elect("n2")
        stage.targets.delay_next = 1
        while not stage.targets.delayed:
            await stage.run(STEP)
        target = stage.targets.delayed[0][0]
        await stage.run(granting.RENEWAL)
        stage.register(builders.build_target(target, leaving=True))
        await stage.run(8 * STEP)
        stage.targets.apply_delayed()
        await stage.run(builders.SECOND)
        assert target not in stage.find_owners()

    play(scenario)


def test_fence_without_an_answer_is_waited_out():
    # Guards against a fence that is carried out after the range has another owner
    # (day late-orders-and-lost-workers, seed 11: OWNER).
    async def scenario(stages):
        stage = begin(stages, "a", "b")
        stage.elect("n1")
        await stage.run(SETTLED + granting.RENEWAL)
        stage.targets.delay_next = 1
        await stage.run(granting.RENEWAL)
        assert stage.targets.delayed
        await stage.run(6 * STEP)
        stage.targets.delay_next = 1
        stage.register(builders.build_target("a", leaving=True))
        for _ in range(100):
            await stage.run(STEP)
            if stage.find_owners() == {"b"}:
                break
        stage.targets.apply_delayed()
        await stage.run(STEP)
        assert stage.find_owners() == {"b"}

    play(scenario)


def test_deposed_coordinator_cannot_renew_what_has_moved():
    # Guards against a coordinator that does not know of its successor.
    async def scenario(stages):
        stage = begin(stages, "a", "b")
        first = stage.elect("n1")
        await stage.run(SETTLED)
        stage.elect("n2")
        # The first one still believes that the store confirms it.
        await stage.run(SETTLED)
        stage.coordinators[1].directory.take(
            [
                stage.store.put(
                    model.TABLES.targets,
                    "a",
                    builders.encode_target(builders.build_target("a", leaving=True)),
                )
            ]
        )
        await stage.run(3 * builders.SECOND)
        assert first.deposed
        assert stage.find_owners() == {"b"}

    play(scenario)


def test_coordinator_that_reads_of_its_successor_sends_no_more_orders():
    # Guards against renewals after a cut has healed, before any transaction tells
    # (comedor-norte trouble-2: OWNER).
    async def scenario(stages):
        stage = begin(stages, "a", "b")
        first = stage.elect("n1")
        await stage.run(SETTLED)
        stage.elect("n2")
        rows = stage.store.rows
        first.directory.take([rows[model.TABLES.fleet, directories.COORDINATOR]])
        assert not first.may_order()
        first.step()
        assert first.deposed

    play(scenario)


def test_coordinator_without_the_store_grants_for_the_longest_time():
    # Guards against keys lost with the coordinator while the store is away.
    async def scenario(stages):
        stage = begin(stages, "a", "b")
        granter = stage.elect("n1")
        await stage.run(SETTLED)
        granter.feeds.lost_at = stage.clock.monotonic()
        stage.support = True
        await stage.run(granting.OUTAGE + builders.SECOND)
        assert granter.choose_duration() == builders.build_timing().longest_hold
        stage.support = False
        await stage.run(builders.SECOND)
        assert not granter.may_order()
        await stage.run(builders.SECOND * 6)
        assert stage.count_held() == model.KEYS

    play(scenario)


def test_long_grants_of_the_last_coordinator_outlive_shorter_ones():
    # Guards against a target that is cut off and still holds what it was granted for
    # longer while the store was away (comedor-norte trouble-3, seed 803206481749).
    async def scenario(stages):
        stage = begin(stages, "a", "b")
        first = stage.elect("n1")
        await stage.run(SETTLED)
        first.feeds.lost_at = stage.clock.monotonic()
        stage.support = True
        await stage.run(granting.OUTAGE + builders.SECOND)
        stage.support = False
        first.deposed = True
        stage.elect("n2")
        await stage.run(SETTLED)
        stage.targets.down.add("a")
        await stage.run(12 * builders.SECOND)

    play(scenario)


def test_lost_answer_of_a_transaction_is_settled_by_reading():
    async def scenario(stages):
        stage = begin(stages, "a", "b")
        stage.elect("n1")
        await stage.run(SETTLED)
        for applied in (True, False):
            stage.store.apply_lost = applied
            stage.store.failures = [errors.AnswerLost("lost")]
            target = builders.build_target("a", leaving=applied)
            stage.register(target)
            stage.rates = {5: 50.0} if not applied else {}
            await stage.run(builders.SECOND)
            assert stage.count_held() == model.KEYS

    play(scenario)


def test_move_that_the_store_refuses_leaves_the_owner_in_place():
    async def scenario(stages):
        stage = begin(stages, "a", "b")
        stage.elect("n1")
        await stage.run(SETTLED)
        stage.store.failures = [errors.PlatformUnavailable("503")] * 2
        stage.register(builders.build_target("a", leaving=True))
        await stage.run(builders.SECOND)
        assert stage.find_owners() == {"b"}
        assert stage.count_held() == model.KEYS

    play(scenario)


@pytest.mark.parametrize("seed", range(40))
def test_no_key_has_two_owners_in_any_history(seed):
    # Guards against meetings of faults that nobody thought of.
    generator = random.Random(seed)

    async def scenario(stages):
        stage = begin(stages, "a", "b", "c", "d")
        stage.elect("n1")
        await stage.run(SETTLED)
        lives = dict.fromkeys("abcd", 1)
        for _ in range(25):
            name = generator.choice("abcd")
            target = builders.build_target(name, life=lives[name])
            event = generator.randrange(11)
            if event == 0:
                stage.targets.mute.add(name)
            elif event == 1:
                stage.targets.mute.discard(name)
                stage.targets.down.discard(name)
            elif event == 2:
                stage.targets.down.add(name)
            elif event == 3:
                lives[name] += 1
                stage.targets.down.discard(name)
                stage.restart(target._replace(life=lives[name]))
            elif event == 4:
                stage.targets.delay_next = generator.randrange(1, 6)
            elif event == 5:
                stage.targets.apply_delayed()
            elif event == 6:
                stage.register(target._replace(leaving=True))
            elif event == 7:
                stage.register(target)
            elif event == 8:
                stage.remove(name)
            elif event == 9 and len(stage.coordinators) < 4:
                for granter in stage.coordinators:
                    # What confirms the term ends with the term.
                    granter.feeds.lost_at = stage.clock.monotonic()
                stage.elect(f"n{len(stage.coordinators) + 1}")
            else:
                key = generator.randrange(model.KEYS)
                stage.rates = {item % model.KEYS: 0.3 for item in range(key, key + 200)}
            await stage.run(generator.choice((1, 3, 10, 30)) * STEP)

    play(scenario)
