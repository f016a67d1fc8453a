import datetime
import random

from dewstep_core import data, settings
from dewstep_entry.state import membership

LIMIT = settings.PeerSettings().suspect_after
ZERO = datetime.timedelta()


def build_member(number, data_centre="dc1", incarnation="i1"):
    return data.Member(
        f"e{number:02}", incarnation, data_centre, "127.0.0.1", 7000 + number
    )


def build_membership(near=3, far=0):
    found = membership.Membership(
        build_member(0), settings.PeerSettings(), random.Random(1)
    )
    for number in range(1, near + 1):
        found.hear(build_member(number), ZERO)
    for number in range(near + 1, near + far + 1):
        found.hear(build_member(number, "dc2"), ZERO)
    return found


def test_expire_suspects_only_members_that_this_process_monitors():
    # A member that sends its heartbeats to others must not look dead here.
    found = build_membership(5)
    assert found.expire(LIMIT - datetime.timedelta(milliseconds=1)) == []
    # In the ring e04 -> e05 -> e00, the process e00 is a monitor of e04 and e05.
    expected = [data.Suspicion("e04", "i1"), data.Suspicion("e05", "i1")]
    assert found.expire(LIMIT) == expected
    assert found.count_near() == 4


def test_a_member_frozen_before_its_first_heartbeat_is_suspected():
    # Its hello was heard, but no heartbeat had shown yet who its monitors are.
    found = build_membership(2)
    assert len(found.expire(LIMIT)) == 2


def test_a_process_that_knows_nobody_has_nobody_to_miss():
    # This once raised an error that ended the heartbeats of each new process.
    assert build_membership(0).expire(LIMIT) == []


def test_silent_members_are_asked_before_they_are_suspected():
    # Two processes may differ for a moment about who monitors whom.
    found = build_membership(5)
    asked = [member.entry for member in found.select_silent(LIMIT / 2)]
    assert asked == ["e04", "e05"]
    found.hear(build_member(4), LIMIT / 2)
    assert found.expire(LIMIT) == [data.Suspicion("e05", "i1")]


def test_hear_ends_suspicion_and_replaces_an_older_incarnation():
    found = build_membership(1)
    assert found.refuse("e01", LIMIT)
    assert not found.refuse("e01", LIMIT)
    assert found.hear(build_member(1, incarnation="i2"), LIMIT)
    assert not found.hear(build_member(1, incarnation="i2"), LIMIT)
    # A late report about the old incarnation says nothing about the new one.
    assert not found.suspect(data.Suspicion("e01", "i1"), 3 * LIMIT)


def test_suspect_ignores_reports_about_a_member_heard_just_now():
    # Otherwise a process that is cut off could make all others suspect each other.
    found = build_membership(1)
    report = data.Suspicion("e01", "i1")
    assert not found.suspect(report, LIMIT / 2)
    assert found.suspect(report, LIMIT)


def test_only_own_observations_are_passed_on():
    # A rumour that each receiver passed on again would outlive every refutation.
    found = build_membership(2)
    assert found.suspect(data.Suspicion("e02", "i1"), LIMIT)
    assert found.select_suspicions(LIMIT) == ()
    observed = tuple(found.expire(LIMIT))
    assert observed == (data.Suspicion("e01", "i1"),)
    assert found.select_suspicions(LIMIT) == observed
    assert found.select_suspicions(LIMIT + membership.SUSPICION_SPREAD) == ()


def test_heartbeat_cost_does_not_grow_with_the_fleet():
    small, large = build_membership(10, 10), build_membership(300, 300)
    for found in (small, large):
        expected = membership.MONITORS + membership.OTHER_DATA_CENTRES
        assert len(found.select_recipients(True)) == expected
        assert len(found.select_recipients(False)) == membership.MONITORS
        assert len(found.select_shared_members()) == membership.SHARED_MEMBERS


def test_expire_suspects_a_member_that_never_answers():
    # A gate that died before this process started has no monitor left to name it.
    found = build_membership(0)
    found.learn(build_member(1), ZERO)
    assert found.expire(membership.INTRODUCTION / 2) == []
    assert found.expire(membership.INTRODUCTION) == [data.Suspicion("e01", "i1")]


def test_a_silent_data_centre_is_suspected_as_a_whole_and_returns_as_a_whole():
    # Its processes send at random, so that no single one of them can be missed.
    found = build_membership(1, 2)
    assert found.expire_centres(membership.CENTRE_SILENCE / 2) == []
    assert len(found.select_probes(membership.PROBE_AFTER)) == 1
    assert found.expire_centres(membership.CENTRE_SILENCE) == ["dc2"]
    assert [peer.suspected is None for peer in found.peers.values()] == [
        True,
        False,
        False,
    ]
    probes = found.select_probes(membership.CENTRE_SILENCE)
    assert probes == []
    # It may only be cut off from here, so that nobody else is told.
    assert found.select_suspicions(membership.CENTRE_SILENCE) == ()
    assert found.hear(build_member(2, "dc2"), 2 * membership.CENTRE_SILENCE)
    assert all(peer.suspected is None for peer in found.peers.values())


def test_excuse_forgets_the_silence_of_an_own_pause():
    # A process that was frozen would otherwise spread suspicions of all others.
    found = build_membership(2, 1)
    later = 10 * membership.CENTRE_SILENCE
    found.excuse(later)
    assert found.expire(later) == [] and found.expire_centres(later) == []


def test_suspects_are_asked_again():
    # Only the answer of a process itself refutes what others said of it.
    found = build_membership(1, 1)
    assert found.suspect(data.Suspicion("e02", "i1"), LIMIT)
    assert [member.entry for member in found.select_suspects(LIMIT)] == ["e02"]
    assert [member.entry for member in found.list_near()] == ["e01"]
    assert found.select_suspects(LIMIT + membership.RECHECK) == []


def test_learn_and_forget():
    found = build_membership(1)
    assert found.learn(build_member(9), ZERO)
    assert not found.learn(build_member(9), ZERO)
    assert not found.learn(build_member(0), ZERO)
    found.refuse("e09", LIMIT)
    assert found.forget_lost(LIMIT + membership.FORGET / 2) == []
    assert found.forget_lost(LIMIT + membership.FORGET) == ["e09"]
    assert found.learn(build_member(9), ZERO)
