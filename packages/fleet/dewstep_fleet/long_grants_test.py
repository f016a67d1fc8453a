"""Tests of which bound of long grants an instance relies on."""

import datetime

from dewstep_fleet import builders, frames, long_grants, quorums

NOW = 100 * builders.SECOND
MOMENT = builders.MILLISECOND
ZERO = datetime.timedelta()
MAX_DURATION = 10 * builders.SECOND
MEMBERS = {"own", "n1", "n2"}
AWARE = long_grants.LongGrants(NOW, NOW, NOW)


def get_inherited(known, now):
    """Return the bound on which a successor in a fleet of three relies."""
    return long_grants.get_inherited_time_left(
        known,
        "own",
        lambda nodes: quorums.is_majority(nodes, MEMBERS),
        MAX_DURATION,
        now,
    )


# Guards against long grants of which only instances that failed were told.
def test_successor_relies_on_what_most_members_told():
    assert get_inherited(AWARE, NOW) == MAX_DURATION
    told = long_grants.record_informant(AWARE, "n1", NOW)
    assert get_inherited(told, NOW) == ZERO
    told = long_grants.record_told(told, 3 * builders.SECOND, NOW)
    assert get_inherited(told, NOW + builders.SECOND) == 2 * builders.SECOND
    assert get_inherited(long_grants.forget_informants(told), NOW) == MAX_DURATION


# Guards against a bound that a later long grant of the predecessor exceeds.
def test_votes_count_for_a_limited_time():
    told = long_grants.record_informant(AWARE, "n1", NOW)
    end = NOW + long_grants.VOTE_VALIDITY
    assert get_inherited(told, end) == ZERO
    assert get_inherited(told, end + MOMENT) == MAX_DURATION
    assert long_grants.has_voted_recently(told, end)
    assert not long_grants.has_voted_recently(told, end + MOMENT)


# Guards against grants that were sent before the start of a process that votes.
def test_new_process_knows_nothing_until_earlier_grants_have_ended():
    known = long_grants.build_unaware(NOW, MAX_DURATION)
    known = long_grants.record_informant(known, "n1", known.unaware_until)
    before = known.unaware_until - MOMENT
    assert known.unaware_until - NOW > MAX_DURATION
    assert get_inherited(known, before) == MAX_DURATION
    assert get_inherited(known, known.unaware_until) == ZERO
    first = long_grants.record_first_term(known, NOW)
    assert first.unaware_until == NOW
    assert long_grants.record_first_term(first, NOW + MOMENT) == first


# Guards against a shorter bound that replaces a longer one that was told before.
def test_longest_bound_that_was_told_counts():
    told = long_grants.record_told(AWARE, 5 * builders.SECOND, NOW)
    told = long_grants.record_told(told, builders.SECOND, NOW)
    left = long_grants.get_time_left(told, ZERO, MAX_DURATION, NOW)
    assert left == 5 * builders.SECOND
    own = 6 * builders.SECOND
    assert long_grants.get_time_left(told, own, MAX_DURATION, NOW) == own


# Guards against members that take the announcement for the grants of before.
def test_announced_grants_count_as_sent_until_the_announcement_ends():
    announcing = long_grants.announce(AWARE, announces=True, now=NOW)
    assert announcing.announcing_since == frames.to_milliseconds(NOW)
    later = NOW + builders.SECOND
    assert long_grants.announce(announcing, announces=True, now=later) == announcing
    left = long_grants.get_time_left(announcing, ZERO, MAX_DURATION, later)
    assert left == long_grants.get_max_time(MAX_DURATION)
    ended = long_grants.announce(announcing, announces=False, now=later)
    assert ended.announcing_since is None
    assert long_grants.get_time_left(ended, ZERO, MAX_DURATION, later) == ZERO
