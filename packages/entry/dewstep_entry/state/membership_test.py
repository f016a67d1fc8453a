import datetime
import random

from dewstep_core import data, settings
from dewstep_entry.state import membership

SUSPECT_AFTER = settings.PeerSettings().suspect_after
ZERO = datetime.timedelta()


def build_member(number, data_centre="dc1", incarnation="i1"):
    return data.Member(
        f"e{number:02}", incarnation, data_centre, "127.0.0.1", 7000 + number
    )


def build_membership(local=3, remote=0):
    members = membership.Membership(
        build_member(0), settings.PeerSettings(), random.Random(1)
    )
    for number in range(1, local + 1):
        members.record_message(build_member(number), ZERO)
    for number in range(local + 1, local + remote + 1):
        members.record_message(build_member(number, "dc2"), ZERO)
    return members


def test_only_monitored_members_are_suspected_for_silence():
    # Guards against suspecting a member that sends its heartbeats to other monitors.
    members = build_membership(5)
    assert (
        members.suspect_silent(SUSPECT_AFTER - datetime.timedelta(milliseconds=1)) == []
    )
    # In the ring e04 -> e05 -> e00, the process e00 monitors e04 and e05.
    expected = [data.Suspicion("e04", "i1"), data.Suspicion("e05", "i1")]
    assert members.suspect_silent(SUSPECT_AFTER) == expected
    assert members.count_local() == 4


def test_member_that_freezes_before_its_first_heartbeat_is_suspected():
    # Guards against ignoring a member that has sent its hello but no heartbeat.
    members = build_membership(2)
    assert len(members.suspect_silent(SUSPECT_AFTER)) == 2


def test_process_without_peers_suspects_no_member():
    # Guards against an error that ended the heartbeats of each new process.
    assert build_membership(0).suspect_silent(SUSPECT_AFTER) == []


def test_silent_members_are_probed_before_they_are_suspected():
    # Guards against false suspicions while processes disagree about which member
    # monitors which.
    members = build_membership(5)
    probed = [member.entry for member in members.select_silent(SUSPECT_AFTER / 2)]
    assert probed == ["e04", "e05"]
    members.record_message(build_member(4), SUSPECT_AFTER / 2)
    assert members.suspect_silent(SUSPECT_AFTER) == [data.Suspicion("e05", "i1")]


def test_message_ends_suspicion_and_replaces_an_older_incarnation():
    members = build_membership(1)
    assert members.record_refusal(build_member(1), SUSPECT_AFTER)
    assert not members.record_refusal(build_member(1), SUSPECT_AFTER)
    assert members.record_message(build_member(1, incarnation="i2"), SUSPECT_AFTER)
    assert not members.record_message(build_member(1, incarnation="i2"), SUSPECT_AFTER)
    # A late report about the old incarnation does not apply to the new one.
    assert not members.add_suspicion(data.Suspicion("e01", "i1"), 3 * SUSPECT_AFTER)


def test_suspicions_of_members_with_recent_messages_are_ignored():
    # Guards against a disconnected process that makes all others suspect each other.
    members = build_membership(1)
    suspicion = data.Suspicion("e01", "i1")
    assert not members.add_suspicion(suspicion, SUSPECT_AFTER / 2)
    assert members.add_suspicion(suspicion, SUSPECT_AFTER)


def test_only_own_observations_are_reported():
    # Guards against suspicions that circulate indefinitely because each receiver
    # forwards them.
    members = build_membership(2)
    assert members.add_suspicion(data.Suspicion("e02", "i1"), SUSPECT_AFTER)
    assert members.select_suspicions(SUSPECT_AFTER) == ()
    suspicions = tuple(members.suspect_silent(SUSPECT_AFTER))
    assert suspicions == (data.Suspicion("e01", "i1"),)
    assert members.select_suspicions(SUSPECT_AFTER) == suspicions
    assert (
        members.select_suspicions(SUSPECT_AFTER + membership.SUSPICION_SHARE_PERIOD)
        == ()
    )


def test_heartbeat_cost_does_not_grow_with_the_fleet():
    small, large = build_membership(10, 10), build_membership(300, 300)
    for members in (small, large):
        expected = membership.MONITOR_COUNT + membership.REMOTE_RECIPIENTS
        assert len(members.select_recipients(True)) == expected
        assert len(members.select_recipients(False)) == membership.MONITOR_COUNT
        assert len(members.select_shared_members()) == membership.MAX_HEARTBEAT_MEMBERS


def test_member_that_never_answers_is_suspected():
    # Guards against relying on a gate that ended before this process started, and that
    # no monitor reports any more.
    members = build_membership(0)
    members.add_member(build_member(1), ZERO)
    assert members.suspect_silent(membership.FIRST_CONTACT_TIMEOUT / 2) == []
    assert members.suspect_silent(membership.FIRST_CONTACT_TIMEOUT) == [
        data.Suspicion("e01", "i1")
    ]


def test_all_members_of_a_silent_data_centre_are_suspected_and_return_together():
    # Guards against not detecting a lost data centre. Its processes send to random
    # members, so the silence of a single one shows nothing.
    members = build_membership(1, 2)
    assert members.suspect_silent_centres(membership.CENTRE_TIMEOUT / 2) == []
    assert len(members.select_probes(membership.CENTRE_PROBE_DELAY)) == 1
    assert members.suspect_silent_centres(membership.CENTRE_TIMEOUT) == ["dc2"]
    assert [peer.suspected is None for peer in members.peers.values()] == [
        True,
        False,
        False,
    ]
    probes = members.select_probes(membership.CENTRE_TIMEOUT)
    assert probes == []
    # The data centre may be disconnected only from this process, so the suspicion is
    # not reported to others.
    assert members.select_suspicions(membership.CENTRE_TIMEOUT) == ()
    assert members.record_message(build_member(2, "dc2"), 2 * membership.CENTRE_TIMEOUT)
    assert all(peer.suspected is None for peer in members.peers.values())


def test_silence_during_a_pause_of_this_process_is_ignored():
    # Guards against a process that suspects all others after it was frozen.
    members = build_membership(2, 1)
    later = 10 * membership.CENTRE_TIMEOUT
    members.reset_silence(later)
    assert (
        members.suspect_silent(later) == []
        and members.suspect_silent_centres(later) == []
    )


def test_recent_suspects_are_probed():
    # Guards against suspicions by others that remain because the suspect, which alone
    # can refute them, is not probed.
    members = build_membership(1, 1)
    assert members.add_suspicion(data.Suspicion("e02", "i1"), SUSPECT_AFTER)
    assert [member.entry for member in members.select_suspects(SUSPECT_AFTER)] == [
        "e02"
    ]
    assert [member.entry for member in members.list_local()] == ["e01"]
    assert (
        members.select_suspects(SUSPECT_AFTER + membership.SUSPECT_PROBE_PERIOD) == []
    )


def test_lost_members_are_removed_and_can_be_added_again():
    members = build_membership(1)
    assert members.add_member(build_member(9), ZERO)
    assert not members.add_member(build_member(9), ZERO)
    assert not members.add_member(build_member(0), ZERO)
    members.record_refusal(build_member(9), SUSPECT_AFTER)
    assert members.remove_lost(SUSPECT_AFTER + membership.REMOVAL_DELAY / 2) == []
    assert members.remove_lost(SUSPECT_AFTER + membership.REMOVAL_DELAY) == ["e09"]
    assert members.add_member(build_member(9), ZERO)
