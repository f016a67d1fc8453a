"""Tests of how soon the keys of an owner that cannot be reached have another one."""

from dewstep_fleet import (
    builders,
    grant_durations,
    granting_test,
    outstanding,
    renewal,
)

STEP = granting_test.STEP


def test_time_outs_of_orders_do_not_delay_the_next_owner():
    """Guards against keys without an owner long after all grants have expired.

    Fences of one target are sent in turn, and a release waits for its time-out: keys of
    a data centre that was cut off stayed without an owner until the cut had ended.
    """

    async def scenario(harnesses):
        harness = granting_test.build_harness(harnesses, "a", "b", "c", "d", "e")
        harness.elect("n1")
        await harness.run(granting_test.SETTLING_TIME)
        # The busy keys of the lost owner are divided among four targets.
        harness.rates = {key: 0.1 for key in range(0, 65_536, 512)}
        harness.targets.delay_next = 1
        while not harness.targets.delayed:
            await harness.run(STEP)
        lost = harness.targets.delayed[0][0].target
        harness.targets.connect_timeout = outstanding.ORDER_TIMEOUT
        harness.targets.release_timeout = 2500 * builders.MILLISECOND
        harness.targets.down.add(lost)
        await harness.run(renewal.RENEWAL_RETRY_PERIOD - 8 * STEP)
        harness.remove(lost)
        validity = outstanding.get_max_validity(grant_durations.GRANT_DURATION)
        bound = outstanding.ORDER_TIMEOUT + validity + 6 * STEP
        await harness.run(bound - renewal.RENEWAL_RETRY_PERIOD + 8 * STEP)
        assert lost not in harness.find_owners()
        harness.targets.apply_delayed()
        await harness.run(STEP)

    granting_test.run_scenario(scenario)
