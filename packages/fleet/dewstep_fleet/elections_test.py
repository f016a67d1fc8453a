"""Tests of when an election starts and which votes decide it."""

import random

import pytest

from dewstep_fleet import builders, directories, elections, membership, model

NOW = 100 * builders.SECOND
MOMENT = builders.MILLISECOND
OWN_MEMBER = model.Member("own", "own-2", "dc-1", "h", 1)
CONTACT = membership.Contact(NOW, NOW)
TIMEOUT = membership.HEARTBEAT_TIMEOUT + elections.ELECTION_JITTER / 2


def build_situation(node="leader", incarnation="i", version=5, **changes):
    """Return the situation of an instance that has just heard of a coordinator."""
    situation = elections.Situation(
        OWN_MEMBER,
        directories.Leadership(node, incarnation, 3, version),
        CONTACT,
        started_at=NOW,
        leadership_changed_at=NOW - 60 * builders.SECOND,
        election_timeout=TIMEOUT,
    )
    return situation._replace(**changes)


def check_delay(situation, delay):
    """Fail if an election is not due exactly after a delay."""
    assert not elections.is_due(situation, NOW + delay - MOMENT)
    assert elections.is_due(situation, NOW + delay + MOMENT)


# Guards against an election at each late heartbeat, and against none.
def test_election_is_due_after_its_timeout_without_a_healthy_heartbeat():
    check_delay(build_situation(), TIMEOUT)


# Guards against deposing each new coordinator before its first heartbeat.
def test_new_coordinator_gets_the_whole_timeout():
    long_ago = NOW - 60 * builders.SECOND
    situation = build_situation(
        contact=membership.Contact(long_ago, long_ago), leadership_changed_at=NOW
    )
    check_delay(situation, TIMEOUT)


# Guards against waiting for a coordinator that itself reports that it lost the store.
def test_coordinator_without_the_store_is_replaced_early():
    situation = build_situation(contact=CONTACT._replace(coordinator_healthy=False))
    jitter = TIMEOUT - membership.HEARTBEAT_TIMEOUT
    check_delay(situation, jitter + elections.STORE_LOSS_TIMEOUT)


# Guards against a first election that a weak instance wins as all start at once.
@pytest.mark.parametrize(("strength", "weakness"), [(1.0, 1.0), (0.5, 1.5), (4.0, 0.0)])
def test_first_election_starts_after_a_delay_by_strength(strength, weakness):
    situation = build_situation(
        version=0, own_member=OWN_MEMBER._replace(strength=strength)
    )
    jitter = TIMEOUT - membership.HEARTBEAT_TIMEOUT
    check_delay(situation, jitter + weakness * elections.ELECTION_JITTER)


# Guards against a fleet that waits for a coordinator whose process has restarted.
def test_restarted_coordinator_starts_an_election_at_once():
    assert elections.is_due(build_situation("own", "own-1"), NOW)
    check_delay(build_situation("own", "own-2"), TIMEOUT)


# Guards against weak coordinators, and against simultaneous elections in large fleets.
def test_timeout_grows_with_weakness_and_with_the_fleet():
    generator = random.Random(1)
    weak = [elections.draw_timeout(0.0, [0.0] * 3, generator) for _ in range(100)]
    shortest = membership.HEARTBEAT_TIMEOUT + elections.WEAK_INSTANCE_DELAY
    assert shortest <= min(weak) <= max(weak) < shortest + elections.ELECTION_JITTER
    spread = [elections.draw_timeout(1.0, [1.0] * 200, generator) for _ in range(100)]
    assert max(spread) > membership.HEARTBEAT_TIMEOUT + 2 * builders.SECOND


# Guards against a coordinator whose link of 10 Mbit/s is too slow for messages to 80
# members, so that it loses the store and is replaced again.
def test_strong_instances_start_elections_before_many_weak_ones():
    generator = random.Random(1)
    strengths = [2.0] * 4 + [0.1] * 76
    for _ in range(100):
        timeouts = [
            elections.draw_timeout(strength, strengths, generator)
            for strength in strengths
        ]
        assert min(timeouts[:4]) + 150 * builders.MILLISECOND < min(timeouts[4:])


# Guards against a coordinator elected by a minority, or against the coordinator's vote.
@pytest.mark.parametrize(
    ("votes", "expected"),
    [
        ({}, True),
        ({"leader": "down"}, True),
        ({"leader": None}, False),
        ({"leader": None, "n1": False}, True),
        ({"leader": None, "n1": True}, False),
        ({"leader": "down", "n1": True}, False),
        ({"leader": None, "n1": False, "n2": True, "n3": None}, False),
        ({"leader": None, "n1": False, "n2": False, "n3": True}, True),
        ({"leader": True, "n1": False, "n2": False, "n3": False}, False),
        ({"leader": False, "n1": False, "n2": True}, True),
    ],
)
def test_most_running_instances_elect(votes, expected):
    counted = elections.count_votes(votes, "leader")
    assert elections.is_elected(counted, CONTACT, NOW) is expected


# Guards against a fleet without a coordinator while most instances cannot be reached.
def test_minority_elects_after_a_long_time():
    due = NOW + elections.MINORITY_ELECTION_TIMEOUT
    minority = elections.count_votes({"leader": None, "n1": None}, "leader")
    assert not elections.is_elected(minority, CONTACT, due)
    assert elections.is_elected(minority, CONTACT, due + MOMENT)
    alive = elections.count_votes({"leader": True, "n1": None}, "leader")
    assert not elections.is_elected(alive, CONTACT, due + MOMENT)
