"""Tests of a fleet with real links whose store goes back to an older copy."""

from dewstep_emulator import testing
from dewstep_fleet import builders, coordination_test, directories, model

RESTORE_TIMEOUT_S = 25.0
"""Includes the time until unknown grants have expired."""


def read_all(harness, node):
    """Whether an instance knows exactly the rows of the store."""
    known = {
        name: row
        for name, row in harness.running[node].directory.rows.items()
        if row.value is not None
    }
    return known == harness.store.rows


def holds_all_keys(harness):
    keys = set()
    for target in harness.targets.grants:
        for item in harness.targets.list_held(target):
            keys.update(range(item.first, item.last + 1))
    return len(keys) == model.KEY_SPACE_SIZE


async def wait_keys(harness):
    await coordination_test.wait_until(
        lambda: holds_all_keys(harness), RESTORE_TIMEOUT_S
    )


async def register_target(harness, name):
    content = builders.encode_target(builders.build_target(name))
    harness.store.put(model.TABLES.targets, name, content)
    await coordination_test.wait_until(
        lambda: all(name in item.directory.targets for item in harness.running.values())
    )


@testing.run_in_event_loop
async def test_all_instances_read_the_restored_rows_and_the_coordinator_goes_on():
    # Guards against rows of the lost seconds that stay known for ever.
    async with coordination_test.run_fleet("n1", "n2", "n3") as harness:
        leader = await coordination_test.wait_coordinator(harness)
        await wait_keys(harness)
        harness.store.save_copy()
        await register_target(harness, "lost")
        term = harness.running[leader].participant.term
        harness.store.restore()
        await coordination_test.wait_until(
            lambda: all(read_all(harness, node) for node in harness.running)
        )
        assert harness.find_coordinators() == [leader]
        assert harness.running[leader].participant.term == term
        assert holds_all_keys(harness)
        assert harness.targets.find_conflict() is None


@testing.run_in_event_loop
async def test_term_of_the_lost_seconds_is_not_used_again():
    # Guards against two coordinators with the same term.
    async with coordination_test.run_fleet("n1", "n2", "n3") as harness:
        first = await coordination_test.wait_coordinator(harness)
        await wait_keys(harness)
        harness.store.save_copy()
        await harness.running.pop(first).stop()
        second = await coordination_test.wait_coordinator(harness)
        lost_term = harness.running[second].participant.term
        harness.store.restore()
        await coordination_test.wait_until(
            lambda: not harness.running[second].participant.coordinating
        )
        assert await coordination_test.wait_coordinator(harness) == second
        assert holds_all_keys(harness)
        assert all(
            item.participant.term > lost_term for item in harness.running.values()
        )
        await wait_keys(harness)
        assert harness.targets.find_conflict() is None
        assert harness.targets.find_repeated_number() is None


@testing.run_in_event_loop
async def test_only_instance_takes_over_after_its_own_earlier_term():
    # Guards against a fleet without a coordinator after the row of a later term was
    # lost and the row names an instance that ended its term.
    async with coordination_test.run_fleet("n1") as harness:
        await coordination_test.wait_coordinator(harness)
        participant = harness.running["n1"].participant
        harness.store.save_copy()
        record = directories.Leadership("n2", "n2-x", participant.term + 1, 0)
        harness.store.put(
            model.TABLES.fleet,
            directories.COORDINATOR_KEY,
            directories.encode_record(record),
        )
        await coordination_test.wait_until(lambda: not participant.coordinating)
        participant.role.term = record.term
        harness.store.restore()
        await coordination_test.wait_until(lambda: participant.coordinating)
        assert participant.term > record.term


@testing.run_in_event_loop
async def test_instances_register_again_if_the_copy_lacks_them():
    # Guards against instances that no coordinator sends heartbeats to.
    async with coordination_test.run_fleet() as harness:
        harness.store.save_copy()
        for node in ("n1", "n2", "n3"):
            harness.running[node] = coordination_test.RunningInstance(harness, node)
            await harness.running[node].start()
        await coordination_test.wait_coordinator(harness)
        await wait_keys(harness)
        harness.store.restore()
        await coordination_test.wait_until(
            lambda: all(
                len(item.directory.members) == 3 and read_all(harness, node)
                for node, item in harness.running.items()
            )
        )
        await coordination_test.wait_coordinator(harness)
        await wait_keys(harness)
        assert harness.targets.find_conflict() is None
        assert harness.targets.find_repeated_number() is None
