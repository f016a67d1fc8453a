"""Tests of simulated instances, each with a small fleet."""

import asyncio

from dewstep_emulator.ownership import event_loop, simulation
from dewstep_fleet import membership

SETTLING_SECONDS = 4.0


def run_fleet(scenario):
    """Run a coroutine function on a fleet that serves all keys."""

    async def main(loop):
        fleet = simulation.Simulation(loop, 1)
        fleet.store.put(simulation.model.TABLES.configuration, "config", b"")
        for subject in simulation.list_targets():
            fleet.start_target(subject)
        for instance in fleet.instances.values():
            instance.start()
        await asyncio.sleep(SETTLING_SECONDS)
        assert fleet.is_served()
        await scenario(fleet)
        assert loop.failures == []

    with simulation.recording_events(lambda *arguments, **fields: None):
        event_loop.run(main)


def find_coordinators(fleet):
    return [
        instance for instance in fleet.instances.values() if instance.is_coordinating()
    ]


# Guards against a fleet without a coordinator, or with two.
def test_one_instance_coordinates():
    async def scenario(fleet):
        assert len(find_coordinators(fleet)) == 1

    run_fleet(scenario)


# Guards against a killed coordinator that still counts, and against no successor.
def test_killed_coordinator_gets_a_successor():
    async def scenario(fleet):
        (first,) = find_coordinators(fleet)
        first.kill()
        await asyncio.sleep(SETTLING_SECONDS)
        (second,) = find_coordinators(fleet)
        assert second is not first
        first.start()
        await asyncio.sleep(SETTLING_SECONDS)
        assert find_coordinators(fleet) == [second]
        assert first.current.participant.own_member.incarnation == f"{first.node}-2"

    run_fleet(scenario)


# Guards against a stopping coordinator that goes on until it is killed.
def test_stopped_coordinator_ends_within_its_grace_period():
    async def scenario(fleet):
        (first,) = find_coordinators(fleet)
        began = fleet.loop.now
        await first.stop()
        grace = first.platform.timing.grace_period.total_seconds()
        assert first.current is None
        assert fleet.loop.now - began < grace
        await asyncio.sleep(SETTLING_SECONDS)
        assert len(find_coordinators(fleet)) == 1

    run_fleet(scenario)


# Guards against a frozen coordinator that sends orders or heartbeats.
def test_frozen_coordinator_is_replaced_and_steps_down():
    async def scenario(fleet):
        (first,) = find_coordinators(fleet)
        incarnation = first.freeze()
        sent = len(fleet.senders)
        await asyncio.sleep(membership.HEARTBEAT_TIMEOUT.total_seconds() / 2)
        assert len(fleet.senders) == sent
        await asyncio.sleep(SETTLING_SECONDS)
        assert len(find_coordinators(fleet)) == 2
        first.resume(incarnation)
        await asyncio.sleep(1)
        assert first not in find_coordinators(fleet)
        assert len(find_coordinators(fleet)) == 1

    run_fleet(scenario)


# Guards against an order that waits in its frozen sender instead of on its way.
def test_order_sent_before_a_freeze_arrives():
    async def scenario(fleet):
        (first,) = find_coordinators(fleet)
        granted = []
        incarnation = first.current
        channel = incarnation.participant.granter.grant_states.channel
        record_order = channel.record_order

        def freeze_after_sending(target, holding):
            record_order(target, holding)
            granted.append((target.name, holding.first))
            first.freeze(1)

        channel.record_order = freeze_after_sending
        known = len(fleet.events)
        await asyncio.sleep(1.0)
        assert incarnation.process.frozen
        arrived = [
            (fields["target"], fields["first"])
            for fields in (dict(event.fields) for event in fleet.events[known:])
            if "generation" in fields
        ]
        assert granted
        assert sorted(arrived) == sorted(granted)

    run_fleet(scenario)


# Guards against clocks that all agree.
def test_clocks_differ():
    async def scenario(fleet):
        rates = {item.current.process.clock_rate for item in fleet.instances.values()}
        assert len(rates) == len(fleet.instances)
        assert all(0.98 <= rate <= 1.02 for rate in rates)

    run_fleet(scenario)
