"""Tests of how key ranges leave an evacuated data centre."""

import pytest

from dewstep_fleet import (
    builders,
    granting_test,
    leaving_targets_test,
    model,
    planning,
    rebalancing,
)
from dewstep_fleet.evacuation import progress

STEP = granting_test.STEP
EVACUATION_TIME = builders.build_timing().evacuation_time
LEFT, STAYING = ("a", "b"), ("c", "d")


async def start(harnesses, left=LEFT, staying=STAYING):
    """Return a coordinator and its harness, with targets in two data centres."""
    harness = granting_test.build_harness(harnesses, *staying)
    for name in left:
        harness.register(builders.build_target(name, data_centre="dc-2"))
    granter = harness.elect("n1")
    await harness.run(granting_test.SETTLING_TIME)
    return harness, granter


def evacuate(harness, value=b"{}", data_centre="dc-2"):
    """Write or remove the row of an evacuation."""
    key = model.EVACUATION_PREFIX + data_centre
    row = harness.store.put(model.TABLES.configuration, key, value)
    for granter in harness.coordinators:
        granter.directory.apply_rows([row])


# Guards against a data centre whose targets all release their ranges at once, which
# leaves a third of the keys without an owner, and against grants that expire meanwhile.
def test_data_centre_is_emptied_a_few_ranges_at_a_time():
    async def scenario(harnesses):
        left = [f"x{number}" for number in range(20)]
        staying = [f"y{number}" for number in range(40)]
        harness, granter = await start(harnesses, left, staying)
        limit = rebalancing.get_move_limit(len(left + staying))
        harness.rates = dict.fromkeys(range(0, model.KEY_SPACE_SIZE, 64), 0.4)
        hot = granter.held.list_owned("history", "x19")[0].first
        harness.rates[hot] = 50.0
        evacuate(harness)
        granter.step()
        assert granter.directory.is_moving("history", hot)
        (state,) = progress.describe(granter.directory).values()
        assert state["ranges"] >= len(left)
        destinations = set()
        while harness.find_owners() != set(staying):
            assert len(granter.held.moving["history"]) <= limit
            destinations.update(granter.rebalancer.destinations.values())
            await harness.run(STEP)
            assert harness.count_held() > model.KEY_SPACE_SIZE / 2
        assert harness.count_held() == model.KEY_SPACE_SIZE
        assert len(destinations) > len(staying) / 2
        assert progress.count_ranges(granter.directory) == {"dc-2": 0}

    granting_test.run_scenario(scenario)


# Guards against ranges that stay in the data centre after a fault during the moves.
@pytest.mark.parametrize(
    "fault", ["successor", "store", "unanswering", "down", "new target", "both"]
)
def test_data_centre_is_emptied_despite_a_fault(fault):
    async def scenario(harnesses):
        harness, granter = await start(harnesses)
        evacuate(harness)
        owners = set(STAYING)
        if fault == "successor":
            await harness.run(STEP)
            harness.elect("n2")
        elif fault == "store":
            granter.table_feeds.lost_at = -3 * builders.SECOND
            harness.leads_without_store = True
            await harness.run(2 * EVACUATION_TIME)
            assert harness.count_held() == model.KEY_SPACE_SIZE
            granter.table_feeds.lost_at = None
            harness.leads_without_store = False
        elif fault == "new target":
            new = builders.build_target("a", data_centre="dc-2", life=2)
            harness.restart(new)
            harness.register(new._replace(name="e"))
        elif fault == "both":
            evacuate(harness, data_centre="dc-1")
            await harness.run(2 * EVACUATION_TIME)
            assert harness.count_held() == model.KEY_SPACE_SIZE
            evacuate(harness, None)
            owners = set(LEFT)
        else:
            getattr(harness.targets, fault).update(LEFT)
        await harness.run(2 * EVACUATION_TIME)
        assert harness.find_owners() == owners
        assert harness.count_held() == model.KEY_SPACE_SIZE
        # A target that registers anew is granted nothing.
        grantees = {grant.process for grant in harness.targets.accepted}
        assert not grantees & {builders.Process("a", 2), builders.Process("e", 1)}

    granting_test.run_scenario(scenario)


# Guards against a range that is granted to a data centre which has been evacuated for
# as long as the store took to record the move.
def test_target_evacuated_during_the_write_is_granted_nothing():
    async def scenario(harnesses):
        harness, granter = await start(harnesses)
        released = leaving_targets_test.hold_writes(harness.store)
        (held,) = granter.held.list_owned("history", "c")
        move = planning.Move(held.first, held.first + 9, "c", "a")
        granter.mover.begin_move("history", move, release=True)
        await harness.run(4 * STEP)
        evacuate(harness)
        released.set()
        await harness.run(EVACUATION_TIME)
        assert harness.find_owners() == set(STAYING)
        assert not any(
            grant.process.target == "a" and grant.holding.first == held.first
            for grant in harness.targets.accepted
        )

    granting_test.run_scenario(scenario)


# Guards against a bulk move back: ranges return only as balancing needs them.
def test_end_of_an_evacuation_moves_no_more_than_balancing_does():
    async def scenario(harnesses):
        harness, _ = await start(harnesses)
        evacuate(harness)
        await harness.run(EVACUATION_TIME)
        released = len(harness.targets.released)
        evacuate(harness, None)
        await harness.run(EVACUATION_TIME)
        assert len(harness.targets.released) <= released + len(LEFT)

    granting_test.run_scenario(scenario)
