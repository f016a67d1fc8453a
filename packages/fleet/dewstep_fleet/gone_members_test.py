"""Tests of a fleet whose instances are removed for good."""

from dewstep_core import clocks
from dewstep_emulator import testing
from dewstep_fleet import (
    builders,
    coordination_test,
    directories,
    feeds_test,
    granting_test,
    model,
    renewal,
)

STEP = granting_test.STEP
SETTLING_TIME = granting_test.SETTLING_TIME
RECOVERY_TIME = 15 * builders.SECOND
"""Time after a loss of all instances within which service has to be back."""


# Guards against a term that is never adopted since most members are gone for good.
def test_term_is_adopted_once_all_owners_have_accepted_it():
    async def scenario(harnesses):
        harness = granting_test.build_harness(harnesses, "a", "b")
        harness.elect("n1")
        await harness.run(SETTLING_TIME + builders.SECOND)
        harness.targets.down.add("a")
        successor = harness.elect("n2")
        successor.adoption.is_adopted = lambda: False
        await harness.run(builders.SECOND)
        assert not successor.adopted
        harness.targets.down.discard("a")
        await harness.run(2 * renewal.RENEWAL_INTERVAL)
        assert successor.adopted

    granting_test.run_scenario(scenario)


async def pass_time(running, clock, duration):
    """Let instances run for a time that only their clock measures."""
    for _ in range(duration // (2 * STEP)):
        await feeds_test.pass_time(clock, 2 * STEP, 2 * STEP)
        for item in running.values():
            # A coordinator waits for its next step in real time.
            item.directory.notify_waiters()


async def start_instance(harness, node, clock):
    item = coordination_test.RunningInstance(harness, node, clock)
    # The fake for single instances waits in real time.
    item.feeds.store = harness.store
    await item.start()
    harness.running[node] = item


async def stop_instances(harness, nodes):
    for node in nodes:
        await harness.running.pop(node).stop()


# Guards against keys without owners after a loss of all instances and targets, since
# the instances that were replaced before are more than half of the registered ones.
@testing.run_in_event_loop
async def test_keys_get_owners_again_after_most_instances_were_replaced():
    clock = clocks.ManualClock()
    harness = coordination_test.Harness()
    harness.targets.clock = clock
    for node in ("n1", "n2", "n3"):
        await start_instance(harness, node, clock)
    await pass_time(harness.running, clock, 5 * builders.SECOND)
    for number in range(4, 10):
        await start_instance(harness, f"n{number}", clock)
        await pass_time(harness.running, clock, 2 * builders.SECOND)
        await stop_instances(harness, [f"n{number - 3}"])
        await pass_time(harness.running, clock, 3 * builders.SECOND)
    await pass_time(harness.running, clock, 8 * builders.SECOND)
    live = list(harness.running)
    await stop_instances(harness, live)
    for name, successor in (("a", "c"), ("b", "d")):
        harness.targets.down.add(name)
        harness.targets.grants[name] = []
        harness.store.put(model.TABLES.targets, name, None)
        content = builders.encode_target(builders.build_target(successor))
        harness.store.put(model.TABLES.targets, successor, content)
    for node in live:
        await start_instance(harness, node, clock)
    await pass_time(harness.running, clock, RECOVERY_TIME)
    held = [
        item.last - item.first + 1
        for target in ("c", "d")
        for item in harness.targets.list_held(target)
    ]
    await stop_instances(harness, live)
    assert sum(held) == model.KEY_SPACE_SIZE


async def run_beside_gone(live, gone):
    """Return the rows of the gone instances after others ran for two minutes."""
    clock = clocks.ManualClock()
    harness = coordination_test.Harness()
    rows = []
    for node in gone:
        member = model.Member(node, f"{node}-1", "dc-1", "127.0.0.1", 1)
        key = directories.MEMBER_PREFIX + node
        harness.store.put(model.TABLES.fleet, key, directories.encode_record(member))
        rows.append((model.TABLES.fleet, key))
    for node in live:
        await start_instance(harness, node, clock)
    await pass_time(harness.running, clock, 120 * builders.SECOND)
    assert len(harness.find_coordinators()) == 1
    await stop_instances(harness, live)
    return [harness.store.rows[name] for name in rows]


# Guards against elections of 8 s, and against keys that lose their owners while the
# store is away, once most registered instances are gone.
@testing.run_in_event_loop
async def test_registrations_of_instances_that_are_gone_are_removed():
    rows = await run_beside_gone(["n1", "n2"], ["n3"])
    assert [row.value for row in rows] == [None]


# Guards against a minority that counts as most instances since the others were removed.
@testing.run_in_event_loop
async def test_minority_removes_no_registrations():
    rows = await run_beside_gone(["n1", "n2"], ["n3", "n4"])
    assert all(row.value is not None for row in rows)
