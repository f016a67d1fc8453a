"""Tests of the spread of requests over targets by old totals."""

import random
import statistics

import pytest

from dewstep_fleet import builders, frames, load_counts, selection
from dewstep_fleet.admission import queue_limits_test
from dewstep_fleet.load import builders as load_builders


def choose_cheapest(targets, loads, now, data_centre, exchange_bytes, generator):
    """Return the target with the lowest cost, as all instances did before."""

    def compute_cost(target):
        estimate = loads.estimate(target.service, target.name, now, target.slots, "r")
        wait = selection.estimate_wait(estimate, target.slots)
        return (wait + estimate.service) * (1 + 0.1 * generator.random())

    return selection.Choice(min(targets, key=compute_cost), None, 0.0)


@pytest.mark.parametrize("load", [0.5, 0.8, 2.0])
@pytest.mark.parametrize("age", [0.05, 0.12, 0.25])
@pytest.mark.parametrize("instances", [9, 12, 62, 80])
def test_instances_with_the_same_old_totals_spread(instances, age, load):
    # Guards against all instances sending to the same few targets until the next
    # totals, where 8 to 20 requests wait although other targets are free.
    course = load_builders.Fleet(instances, age, load).run()
    if load < 1:
        # Fewer than one and a half service times of work, and no queue of 16.
        assert course.found < (4 if load == 0.5 else 7)
        assert course.turned_away < 0.01
    else:
        # Half of the requests cannot be served, and no more are turned away.
        assert course.turned_away < 0.57
    cheapest = load_builders.Fleet(instances, age, load, choose=choose_cheapest).run()
    if load < 1:
        assert course.completion < cheapest.completion
        assert course.turned_away <= cheapest.turned_away
    else:
        # No slot is idle that the former choice kept busy.
        assert course.served > 0.97 * cheapest.served


@pytest.mark.parametrize("load, most", [(0.5, 0.06), (0.8, 0.25)])
@pytest.mark.parametrize("instances", [12, 62])
def test_requests_stay_in_their_data_centre_while_it_has_free_slots(
    instances, load, most
):
    # Guards against paying for traffic between data centres that saves no time.
    assert (
        load_builders.Fleet(instances, 0.25, load, data_centres=3).run().remote < most
    )


def count_remote(home_running, remote_running=0, home=1, seeds=200):
    """Return the part of requests that leave a data centre with `home` targets."""
    targets = [builders.build_target(f"near-{number}") for number in range(home)]
    targets += [
        builders.build_target(f"far-{number}", data_centre="dc-2")
        for number in range(6)
    ]
    loads = load_counts.Loads()
    totals = tuple(
        frames.Total(
            frames.hash_target_name(target.name),
            home_running if target.data_centre == "dc-1" else remote_running,
            1.0,
        )
        for target in targets
    )
    loads.set_targets({target.name for target in targets}, 0.0)
    loads.apply_totals(totals, 0.0)
    loads.apply_totals(totals, 0.12)
    chosen = [
        selection.choose_target(
            targets, loads, 0.2, "dc-1", 6_500, random.Random(seed)
        ).target
        for seed in range(seeds)
    ]
    remote = [target.name for target in chosen if target.data_centre == "dc-2"]
    return len(remote) / seeds, len(set(remote))


def test_full_data_centre_sends_elsewhere_to_several_targets():
    # Guards against a data centre with a single target of a service that keeps its
    # requests in a queue there, or sends all of them to the same target elsewhere.
    share, spread = count_remote(home_running=10)
    assert share > 0.8 and spread == 6
    assert count_remote(home_running=1)[0] == 0
    assert count_remote(home_running=10, remote_running=20)[0] < 0.3


def test_data_centre_without_targets_spreads_its_requests():
    share, spread = count_remote(0, remote_running=2, home=0)
    assert share == 1 and spread == 6


def test_requests_spread_while_the_coordinator_is_gone():
    # Guards against all instances preferring the fastest target once the totals are too
    # old to be used.
    fleet = load_builders.Fleet(1, 0.12, 0.5)
    loads = fleet.instances[0]
    loads.apply_totals((), 0.0)
    chosen = {
        selection.choose_target(
            fleet.targets, loads, 5.0, "dc-0", 6_500, random.Random(seed)
        ).target.name
        for seed in range(100)
    }
    assert len(chosen) > load_builders.TARGET_COUNT / 2


@pytest.mark.parametrize(("instances", "age"), [(12, 0.12), (62, 0.25)])
@pytest.mark.parametrize("load", [0.8, 2.0])
def test_waits_in_queues_are_not_taken_for_service_times(instances, age, load):
    # Guards against targets that count as half as fast as they are, since requests that
    # waited were believed to have found a free slot. Queues were then too short.
    fleet = load_builders.Fleet(
        instances, age, load, admit=queue_limits_test.build_rule()
    )
    fleet.measured = True
    fleet.run()
    ratios = [
        loads.estimate("history", name, loads.totals_at, 4, "r").service / seconds
        for loads in fleet.instances
        for name, seconds in fleet.seconds.items()
    ]
    assert 0.8 < statistics.median(ratios) < 1.3
