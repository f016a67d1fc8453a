"""Tests of the length of queues and of the part of the requests that is sent."""

import collections
import datetime

import pytest

from dewstep_fleet import builders, load_counts, selection
from dewstep_fleet.admission import demand_counts, queue_limits
from dewstep_fleet.load import builders as load_builders

ROUTE = builders.build_route(
    latency_objective=datetime.timedelta(seconds=load_builders.OBJECTIVE_S)
)
DEADLINE_S = 3.0


def build_rule(keyed=False):
    """Return the admission of all instances, each with its own counts."""
    counts = collections.defaultdict(demand_counts.DemandCounts)

    def count(choice, loads, generator):
        now = loads.totals_at + choice.estimate.age - loads.totals_interval
        own = counts[id(loads)]
        own_ratio = 1.0 if keyed else own.get_ratio("history", now)
        demand = queue_limits.estimate_demand(choice.estimate, own_ratio)
        sent = admit(choice, loads, generator, demand)
        own.count("history", now, sent)
        return sent

    return count


def admit(choice, loads, generator, demand=1.0):
    estimate, slots = choice.estimate, choice.target.slots
    if choice.wait + estimate.service * 0.8 > DEADLINE_S:
        return False
    if not queue_limits.is_exceeded(estimate, slots):
        return True
    longest_wait = queue_limits.compute_longest_wait(
        ROUTE, (ROUTE,), loads, estimate, "history", DEADLINE_S
    )
    fraction = queue_limits.compute_sent_fraction(estimate, slots, longest_wait, demand)
    return generator.random() < fraction


def admit_as_before(choice, loads, generator):
    """Return what was decided before, except that a standing queue is found sooner."""
    estimate, slots = choice.estimate, choice.target.slots
    time_left = DEADLINE_S
    if estimate.overloaded:
        time_left = max(load_builders.OBJECTIVE_S, estimate.service * 1.3)
    full = estimate.running >= slots * queue_limits.MAX_REQUESTS_PER_SLOT
    if full or choice.wait + estimate.service * 0.8 > time_left:
        return False
    exceeded = estimate.admitted < 1 and estimate.running >= slots
    return not exceeded or generator.random() < estimate.admitted


@pytest.mark.parametrize("admitted", [None, 0.625])
@pytest.mark.parametrize(("instances", "age"), [(12, 0.12), (62, 0.12), (62, 0.25)])
def test_requests_are_served_in_time_at_twice_the_capacity(instances, age, admitted):
    # Guards against queues in which requests that all instances send by the same old
    # totals miss their objective or are turned away, at unkeyed and keyed services.
    def run(rule):
        return load_builders.Fleet(
            instances, age, 2.0, admit=rule, admitted=admitted
        ).run()

    course, former = run(build_rule(admitted)), run(admit_as_before)
    assert 1 - course.in_time < 0.75 * (1 - former.in_time)
    assert course.turned_away <= former.turned_away
    # No slot is idle that was busy before.
    assert course.served > 0.95 * former.served


def test_little_is_refused_below_the_capacity():
    # Guards against refusals that short random queues cause.
    refused = 0
    rule = build_rule()

    def count(choice, loads, generator):
        nonlocal refused
        sent = rule(choice, loads, generator)
        refused += not sent
        return sent

    load_builders.Fleet(62, 0.12, 0.8, admit=count).run()
    assert refused < 0.03 * 0.8 * 300 * load_builders.DURATION_S


def compute_wait(route, routes, elapsed=0.0):
    loads = load_counts.Loads()
    estimate = load_counts.Estimate(8, 0.2, 0.2, 1.0, False, True)
    return queue_limits.compute_longest_wait(
        route, routes, loads, estimate, "history", DEADLINE_S, elapsed
    )


def test_requests_that_are_late_already_wait_for_a_free_slot():
    # Guards against queues of callers who have come back too late for their objective,
    # behind which those who could meet it become late, too.
    assert compute_wait(ROUTE, [ROUTE], 0.2) < compute_wait(ROUTE, [ROUTE])
    assert compute_wait(ROUTE, [ROUTE], 0.4) is None
    estimate = load_counts.Estimate(8, 0.2, 0.2, 1.0, False, True, others=8, age=0.5)
    assert queue_limits.compute_sent_fraction(estimate, 4, None) == 0
    assert queue_limits.compute_sent_fraction(estimate, 4, 0.0) > 0


def test_less_urgent_requests_are_sent_to_shorter_queues():
    # Guards against a route with a late objective that fills the queue, which then is
    # too long for the objective of the urgent route.
    routes = [
        ROUTE._replace(
            name=f"r{priority}",
            priority=priority,
            latency_objective=datetime.timedelta(seconds=seconds),
        )
        for priority, seconds in ((0, 0.5), (1, 1.5), (2, 3.0))
    ]
    waits = [compute_wait(route, routes) for route in routes]
    assert waits == pytest.approx([0.15, 0.075, 0.0375])
    assert compute_wait(routes[1], routes[1:2]) > 0.6


def test_free_slot_is_open_to_all_requests():
    # Guards against refusing requests for which there is room.
    estimate = load_counts.Estimate(3, 0.2, 0.2, 1.0, False, True, 0.1)
    assert not queue_limits.is_exceeded(estimate, 4)
    choice = selection.Choice(builders.build_target("a"), estimate, 0.0)
    assert admit(choice, load_counts.Loads(), None)
