"""Tests of granting while the store goes back to an older copy.

Targets write their registrations again; what coordinators wrote since the copy is lost.
"""

import random

import pytest
from returns import result

from dewstep_core import errors
from dewstep_fleet import (
    builders,
    event_capture,
    granting_test,
    model,
    outstanding,
    renewal,
)

STEP = granting_test.STEP
SETTLING_TIME = granting_test.SETTLING_TIME
INHERITED_TIME = (
    outstanding.TERM_CONFIRMATION_MAX_AGE
    + outstanding.ORDER_TIMEOUT
    + outstanding.get_max_validity(builders.build_timing().max_grant_duration)
)
"""Time after which all grants of an unknown coordinator have expired."""
RECOVERY_TIME = 15 * builders.SECOND
"""Time within which keys must have owners after the loss of everything; `recover` of
the platform's settings."""


class ReachableStore:
    """One coordinator's access to the store while its feeds are not cut off."""

    def __init__(self, store, table_feeds):
        self.store = store
        self.table_feeds = table_feeds

    def is_cut(self):
        return self.table_feeds.lost_at is not None

    async def read_table(self, table):
        if self.is_cut():
            return result.Failure(errors.PlatformUnavailable("cut"))
        return await self.store.read_table(table)

    async def commit(self, expected, writes):
        if self.is_cut():
            return result.Failure(errors.PlatformUnavailable("cut"))
        return await self.store.commit(expected, writes)


class Harness(granting_test.Harness):
    """Coordinators whose store can be restored from a copy."""

    def __init__(self, *names):
        self.registered = {}
        """Targets by name, as they write themselves."""
        super().__init__(*names)

    def elect(self, node):
        granter = super().elect(node)
        granter.term.store = ReachableStore(self.store, granter.table_feeds)
        return granter

    def register(self, target):
        self.registered[target.name] = target
        super().register(target)

    def remove(self, name):
        self.registered.pop(name, None)
        super().remove(name)

    async def restore(self):
        """Go back to the copy; all connected coordinators read it."""
        self.store.restore()
        for granter in self.coordinators:
            if granter.table_feeds.lost_at is None:
                await self.read(granter)

    async def read(self, granter):
        for table in (model.TABLES.targets, model.TABLES.fleet):
            outcome = await self.store.read_table(table)
            granter.directory.apply_table(table, outcome.unwrap())

    def write_again(self):
        """Write all registrations of the targets to the store again."""
        for target in list(self.registered.values()):
            super().register(target)
        for table, name in list(self.store.rows):
            if table == model.TABLES.targets and name not in self.registered:
                super().remove(name)

    def claim(self, granter, node):
        """Let a coordinator that was deposed begin another term."""
        granter.directory.apply_rows([self.write_coordinator(node)])
        granter.reset()

    def count_held(self):
        """Return the number of keys that are held, also under two numbers."""
        keys = set()
        for target in self.targets.grants:
            for item in self.targets.list_held(target):
                keys.update(range(item.first, item.last + 1))
        return len(keys)

    async def reconnect(self):
        """Reconnect all coordinators that were cut off from the store."""
        for granter in self.coordinators:
            if granter.table_feeds.lost_at is not None:
                granter.table_feeds.lost_at = None
                await self.read(granter)

    def cut(self):
        """Cut the present coordinators off from the store."""
        for granter in self.coordinators:
            if granter.table_feeds.lost_at is None:
                granter.table_feeds.lost_at = self.clock.monotonic()


def build_harness(harnesses, *names):
    harness = Harness(*names)
    harnesses.append(harness)
    return harness


async def move_keys(harness, *names):
    """Let targets leave until they have no keys, then register them again."""
    for name in names:
        harness.register(builders.build_target(name, leaving=True))
    await harness.run(12 * STEP)
    assert not harness.find_owners() & set(names)
    for name in names:
        harness.register(builders.build_target(name))


def test_coordinator_keeps_the_owners_of_lost_moves(monkeypatch):
    # Guards against a coordinator that ends its term because its row was read again,
    # and against renewals for owners before the lost moves.
    log = event_capture.EventCapture(monkeypatch)

    async def scenario(harnesses):
        harness = build_harness(harnesses, "a", "b")
        granter = harness.elect("n1")
        await harness.run(SETTLING_TIME)
        harness.store.save_copy()
        await move_keys(harness, "a")
        await harness.restore()
        await harness.run(2 * builders.SECOND)
        harness.write_again()
        harness.register(builders.build_target("c"))
        harness.register(builders.build_target("b", leaving=True))
        await harness.run(builders.SECOND)
        assert not granter.term.deposed
        assert "b" not in harness.find_owners()
        assert harness.count_held() == model.KEY_SPACE_SIZE
        assert len(log.find("commit_failed")) <= 2

    granting_test.run_scenario(scenario)


def test_new_coordinator_waits_for_grants_of_the_lost_seconds():
    # Guards against grants to the owners in the copy while the owners after a lost move
    # still hold the keys.
    async def scenario(harnesses):
        harness = build_harness(harnesses, "a", "b")
        harness.elect("n1")
        await harness.run(SETTLING_TIME)
        harness.store.save_copy()
        await move_keys(harness, "a")
        harness.cut()
        await harness.restore()
        harness.elect("n2")
        await harness.run(INHERITED_TIME + builders.SECOND)
        assert harness.count_held() == model.KEY_SPACE_SIZE

    granting_test.run_scenario(scenario)


async def lose_all(harness):
    """Lose all coordinators and targets while the store goes back to the copy."""
    harness.cut()
    for granter in harness.coordinators:
        granter.tasks.cancel()
        granter.term.deposed = True
    for name in harness.registered:
        harness.targets.down.add(name)
        harness.targets.grants[name] = []
    harness.registered.clear()
    await harness.restore()


def replace_targets(harness, *names):
    """Remove the registrations of all lost targets, and register others."""
    for table, name in list(harness.store.rows):
        if table == model.TABLES.targets:
            harness.remove(name)
    for name in names:
        harness.register(builders.build_target(name))


async def run_and_lose_all(harnesses, copied_at):
    """Lose a fleet that ran on two targets, and elect a coordinator; return both."""
    harness = build_harness(harnesses, "a", "b")
    harness.elect("n1")
    await harness.run(copied_at)
    harness.store.save_copy()
    await harness.run(4 * builders.SECOND)
    await lose_all(harness)
    return harness, harness.elect("n2")


# Guards against waiting twice for the same grants: once until no target holds keys from
# before the restore, and again for the owners in the copy, which are lost.
def test_new_targets_get_the_keys_of_lost_ones_once_earlier_grants_have_expired():
    async def scenario(harnesses):
        harness, _ = await run_and_lose_all(harnesses, SETTLING_TIME)
        await harness.run(builders.SECOND)
        replace_targets(harness, "c", "d")
        await harness.run(INHERITED_TIME - 2 * builders.SECOND)
        assert not harness.count_held()
        await harness.run(builders.SECOND + SETTLING_TIME)
        assert harness.find_owners() <= {"c", "d"}
        assert harness.count_held() == model.KEY_SPACE_SIZE

    granting_test.run_scenario(scenario)


# Guards against a further wait if the copy is from before the first owners.
def test_copy_without_owners_delays_the_first_grant_only_once():
    async def scenario(harnesses):
        harness, _ = await run_and_lose_all(harnesses, STEP)
        replace_targets(harness, "c", "d")
        await harness.run(INHERITED_TIME + SETTLING_TIME)
        assert harness.count_held() == model.KEY_SPACE_SIZE

    granting_test.run_scenario(scenario)


# Guards against a wait for earlier grants that begins when the configuration, which the
# copy lacks, is written again.
def test_late_configuration_does_not_prolong_the_wait_for_earlier_grants():
    async def scenario(harnesses):
        harness, successor = await run_and_lose_all(harnesses, SETTLING_TIME)
        routes, successor.directory.routes = successor.directory.routes, None
        replace_targets(harness, "c", "d")
        await harness.run(INHERITED_TIME - 2 * builders.SECOND)
        successor.directory.routes = routes
        await harness.run(2 * builders.SECOND + SETTLING_TIME)
        assert harness.count_held() == model.KEY_SPACE_SIZE

    granting_test.run_scenario(scenario)


# Guards against two waits after a second restore, and against a wait that does not
# allow for grants of a coordinator that the second restore has hidden.
def test_second_restore_within_the_wait_begins_it_anew_once():
    async def scenario(harnesses):
        harness, _ = await run_and_lose_all(harnesses, SETTLING_TIME)
        replace_targets(harness, "c", "d")
        harness.store.save_copy()
        await harness.run(6 * builders.SECOND)
        await harness.restore()
        await harness.run(INHERITED_TIME - builders.SECOND)
        assert not harness.count_held()
        await harness.run(builders.SECOND + SETTLING_TIME)
        assert harness.count_held() == model.KEY_SPACE_SIZE

    granting_test.run_scenario(scenario)


# Guards against grants to new targets while an earlier coordinator, which most members
# follow, still renews those of the owners in the copy.
def test_wait_for_earlier_grants_begins_when_the_earlier_coordinator_has_ended():
    async def scenario(harnesses):
        harness, successor = await run_and_lose_all(harnesses, SETTLING_TIME)
        successor.adoption.is_adopted = lambda: False
        replace_targets(harness, "c", "d")
        await harness.run(INHERITED_TIME)
        successor.adoption.is_adopted = lambda: True
        await harness.run(INHERITED_TIME - STEP)
        assert not harness.count_held()
        await harness.run(SETTLING_TIME)
        assert harness.count_held() == model.KEY_SPACE_SIZE

    granting_test.run_scenario(scenario)


def test_new_coordinator_divides_keys_whose_owners_are_lost():
    # Guards against numbers that targets received before the copy had any owners.
    async def scenario(harnesses):
        harness = build_harness(harnesses, "a", "b")
        harness.store.save_copy()
        harness.elect("n1")
        await harness.run(SETTLING_TIME)
        await move_keys(harness, "a")
        harness.cut()
        await harness.restore()
        harness.write_again()
        harness.elect("n2")
        await harness.run(INHERITED_TIME + SETTLING_TIME + builders.SECOND)
        assert harness.count_held() == model.KEY_SPACE_SIZE

    granting_test.run_scenario(scenario)


def test_first_coordinator_in_a_later_era_grants_within_the_recovery_time():
    # Guards against a slow start of a fleet whose store was restored long before, where
    # the store does not show that there are no earlier grants.
    async def scenario(harnesses):
        harness = build_harness(harnesses, "a", "b")
        harness.store.save_copy()
        harness.store.restore()
        harness.write_again()
        harness.elect("n1")
        await harness.run(INHERITED_TIME - STEP)
        assert not harness.count_held()
        await harness.run(RECOVERY_TIME - INHERITED_TIME)
        assert harness.count_held() == model.KEY_SPACE_SIZE

    granting_test.run_scenario(scenario)


async def run_first_term(harnesses):
    """Copy the store, then let its first coordinator grant all keys; return both."""
    harness = build_harness(harnesses, "a", "b")
    harness.store.save_copy()
    first = harness.elect("n1")
    await harness.run(SETTLING_TIME + 2 * renewal.RENEWAL_INTERVAL)
    return harness, first


# Guards against two owners after a restore from a copy of before the first election,
# which hides that there have been coordinators.
def test_first_term_of_a_restored_store_waits_for_earlier_grants():
    async def scenario(harnesses):
        harness, first = await run_first_term(harnesses)
        harness.cut()
        await harness.restore()
        first.tasks.cancel()
        first.term.deposed = True
        harness.term = 0
        harness.elect("n2")
        harness.register(builders.build_target("c"))
        await harness.run(RECOVERY_TIME)
        assert harness.count_held() == model.KEY_SPACE_SIZE

    granting_test.run_scenario(scenario)


def restart_fleet(harness):
    """Replace all coordinators by a new one that has not heard of any term."""
    harness.cut()
    for granter in harness.coordinators:
        granter.tasks.cancel()
        granter.term.deposed = True
    harness.term = 0
    return harness.elect(f"n{len(harness.coordinators) + 1}")


# Guards against grants beside a target that has not released its keys.
def test_first_term_of_a_restored_store_waits_for_targets_that_do_not_answer():
    async def scenario(harnesses):
        harness, _ = await run_first_term(harnesses)
        harness.targets.down.add("a")
        await harness.restore()
        restart_fleet(harness)
        harness.register(builders.build_target("c"))
        await harness.run(8 * builders.SECOND)
        assert not harness.targets.list_held("c")
        harness.targets.down.discard("a")
        await harness.run(RECOVERY_TIME - 8 * builders.SECOND)
        assert harness.count_held() == model.KEY_SPACE_SIZE

    granting_test.run_scenario(scenario)


# Guards against two owners if a target that the copy lacks does not reach the store, so
# that nothing shows that it still holds keys (review/6).
def test_first_term_of_a_restored_store_waits_for_targets_that_are_not_registered():
    async def scenario(harnesses):
        harness = build_harness(harnesses, "a", "b")
        harness.store.save_copy()
        harness.elect("n1")
        harness.register(builders.build_target("c"))
        harness.leads_without_store = True
        await harness.run(SETTLING_TIME)
        harness.cut()
        await harness.run(4 * builders.SECOND)
        assert harness.targets.list_held("c")
        harness.remove("c")
        await harness.restore()
        harness.write_again()
        harness.leads_without_store = False
        restart_fleet(harness)
        await harness.run(RECOVERY_TIME)
        assert harness.count_held() == model.KEY_SPACE_SIZE

    granting_test.run_scenario(scenario)


# Guards against waiting for ever for a target that has been removed.
def test_first_term_of_a_restored_store_grants_when_unknown_grants_have_expired():
    async def scenario(harnesses):
        harness, _ = await run_first_term(harnesses)
        harness.targets.down.add("a")
        await harness.restore()
        restart_fleet(harness)
        await harness.run(INHERITED_TIME + 2 * SETTLING_TIME)
        assert "b" in harness.find_owners()

    granting_test.run_scenario(scenario)


# Guards against numbers of the first restore that targets take for newer ones.
def test_second_restore_to_before_the_first_term_gives_no_second_owner():
    async def scenario(harnesses):
        harness = build_harness(harnesses, "a", "b")
        harness.store.save_copy()
        harness.elect("n1")
        await harness.run(SETTLING_TIME + builders.SECOND)
        for name in ("c", "d"):
            await harness.restore()
            harness.write_again()
            restart_fleet(harness)
            harness.register(builders.build_target(name))
            await harness.run(RECOVERY_TIME)
            assert harness.count_held() == model.KEY_SPACE_SIZE

    granting_test.run_scenario(scenario)


def test_coordinator_writes_owners_again_that_the_copy_lacks():
    async def scenario(harnesses):
        harness = build_harness(harnesses, "a", "b")
        harness.elect("n1")
        harness.store.save_copy()
        await harness.run(SETTLING_TIME)
        await harness.restore()
        harness.register(builders.build_target("a", leaving=True))
        await harness.run(builders.SECOND)
        assert harness.find_owners() == {"b"}
        assert harness.count_held() == model.KEY_SPACE_SIZE

    granting_test.run_scenario(scenario)


def test_coordinator_of_the_lost_seconds_is_deposed():
    # Guards against two coordinators after the row of the second was lost.
    async def scenario(harnesses):
        harness = build_harness(harnesses, "a", "b")
        harness.elect("n1")
        await harness.run(SETTLING_TIME)
        harness.store.save_copy()
        harness.cut()
        second = harness.elect("n2")
        await harness.run(builders.SECOND)
        await move_keys(harness, "a")
        await harness.restore()
        assert not second.term.may_send_orders()
        harness.elect("n3")
        await harness.run(INHERITED_TIME + builders.SECOND)
        assert harness.count_held() == model.KEY_SPACE_SIZE

    granting_test.run_scenario(scenario)


def test_coordinator_that_missed_its_successor_ends_its_term():
    # Guards against a coordinator that was cut off while another one moved keys, and
    # whose row is the newest again.
    async def scenario(harnesses):
        harness = build_harness(harnesses, "a", "b")
        first = harness.elect("n1")
        await harness.run(SETTLING_TIME)
        harness.store.save_copy()
        harness.cut()
        harness.elect("n2")
        await harness.run(builders.SECOND)
        await move_keys(harness, "a")
        await harness.restore()
        await harness.reconnect()
        await harness.run(builders.SECOND)
        assert first.term.deposed
        harness.elect("n3")
        await harness.run(INHERITED_TIME + builders.SECOND)
        assert harness.count_held() == model.KEY_SPACE_SIZE

    granting_test.run_scenario(scenario)


def test_coordinator_that_lost_its_row_knows_the_owners():
    # Guards against a fleet without owners for as long as unknown grants may last.
    async def scenario(harnesses):
        harness = build_harness(harnesses, "a", "b")
        harness.store.save_copy()
        granter = harness.elect("n1")
        await harness.run(SETTLING_TIME)
        await move_keys(harness, "a")
        await harness.restore()
        harness.write_again()
        assert not granter.term.may_send_orders()
        harness.claim(granter, "n1")
        await harness.run(builders.SECOND)
        assert not granter.term.deposed
        assert harness.count_held() == model.KEY_SPACE_SIZE

    granting_test.run_scenario(scenario)


def test_target_that_the_copy_lacks_keeps_its_keys():
    # Guards against moves of all keys of targets that write their rows again.
    async def scenario(harnesses):
        harness = build_harness(harnesses, "a", "b")
        harness.elect("n1")
        await harness.run(SETTLING_TIME)
        harness.store.save_copy()
        harness.register(builders.build_target("c"))
        await move_keys(harness, "a", "b")
        await harness.restore()
        await harness.run(builders.SECOND)
        harness.write_again()
        await harness.run(3 * builders.SECOND)
        assert "c" in harness.find_owners()
        assert "c" not in {name for name, *_ in harness.targets.released}
        assert harness.count_held() == model.KEY_SPACE_SIZE

    granting_test.run_scenario(scenario)


@pytest.mark.parametrize("seed", range(40))
def test_no_key_has_two_owners_after_random_restores(seed):
    # Guards against conflicting owners after random sequences of faults and restores.
    generator = random.Random(seed)

    async def scenario(harnesses):
        harness = build_harness(harnesses, "a", "b", "c", "d")
        harness.elect("n1")
        await harness.run(SETTLING_TIME)
        incarnations = dict.fromkeys("abcd", 1)
        for _ in range(25):
            name = generator.choice("abcd")
            target = builders.build_target(name, life=incarnations[name])
            event = generator.randrange(15)
            if event in granting_test.TARGET_FAULTS:
                harness.cause_target_fault(event, target, incarnations, generator)
            elif event in (8, 9):
                harness.store.save_copy()
            elif event in (10, 11):
                if generator.random() < 0.5:
                    harness.cut()
                await harness.restore()
                await harness.run(generator.choice((0, 1, 20, 40)) * STEP)
                harness.write_again()
            elif event == 13:
                await harness.reconnect()
            elif event == 12 and len(harness.coordinators) < 6:
                harness.cut()
                harness.elect(f"n{len(harness.coordinators) + 1}")
            else:
                harness.heat_keys(generator)
            await harness.run(generator.choice((1, 3, 10, 30)) * STEP)
        harness.targets.unanswering.clear()
        harness.targets.down.clear()
        harness.targets.delay_next = 0
        for name, life in incarnations.items():
            harness.register(builders.build_target(name, life=life))
        harness.rates = {}
        harness.cut()
        harness.elect("last")
        await harness.run(2 * INHERITED_TIME)
        assert harness.count_held() == model.KEY_SPACE_SIZE

    granting_test.run_scenario(scenario)
