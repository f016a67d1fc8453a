import asyncio
import random

from dewstep_core import clocks, data, settings
from dewstep_emulator import builders
from dewstep_entry.peers import messages
from dewstep_entry.state import exchange, membership, view

OWN = data.Member("e1", "i1", "dc1", "127.0.0.1", 7001)
PEER = data.Member("e2", "i2", "dc1", "127.0.0.1", 7002)
REMOTE_PEER = data.Member("e3", "i3", "dc2", "127.0.0.1", 7003)
ASSIGNMENT = data.Assignment("history", 4, ("t1", "t2"), {"hot": "t2"}, ("op",))
GATE = data.GateRow("t1", "e2", "i2", "127.0.0.1", 7002, 3, 3)


class FakeNetwork:
    def __init__(self):
        self.sent = []
        self.closed = []

    def send(self, member, message):
        self.sent.append((member.entry, message))
        return True

    def disconnect(self, member):
        self.closed.append(member.entry)


def build_exchange(own=OWN):
    peer_settings = settings.PeerSettings()
    holder = view.ViewHolder()
    members = membership.Membership(own, peer_settings, random.Random(1))
    network = FakeNetwork()
    clock = clocks.ManualClock()
    tested = exchange.Exchange(own, peer_settings, holder, members, network, clock)
    tested.publish_members()
    return tested


def receive(tested, message, sender=PEER):
    asyncio.run(tested.receive(sender, message))


def test_newer_versions_are_fetched_from_the_announcing_peer():
    outdated, updated = build_exchange(OWN), build_exchange(PEER)
    updated.holder.offer_assignment(ASSIGNMENT)
    updated.holder.offer_gate(GATE)
    updated.holder.offer_configuration(builders.build_configuration(revision=5))
    receive(outdated, updated.build_heartbeat())
    fetches = [message for _, message in outdated.network.sent]
    assert messages.Fetch("assignment", "history") in fetches
    assert messages.Fetch("configuration", "") in fetches
    for fetch_message in fetches:
        receive(updated, fetch_message, OWN)
    for _, answer in updated.network.sent:
        receive(outdated, answer)
    assert outdated.holder.current.assignments == updated.holder.current.assignments
    assert outdated.holder.current.gates == {"t1": GATE}
    assert outdated.holder.current.configuration.revision == 5
    # Announcing the same versions again causes no requests.
    outdated.network.sent.clear()
    receive(outdated, updated.build_heartbeat())
    assert outdated.network.sent == []


def test_damaged_values_are_rejected_without_an_exception():
    tested = build_exchange()
    for what in ("assignment", "configuration", "gates"):
        receive(tested, messages.Value(what, "history", 9, b"{"))
        receive(tested, messages.Value(what, "history", 9, b"[1]"))
    assert tested.holder.current.assignments == {}


def test_suspect_is_disconnected_and_reported():
    # Guards against requests to a frozen process that wait for their deadlines.
    tested = build_exchange()
    receive(tested, build_exchange(PEER).build_heartbeat())
    tested.suspect_refused(PEER)
    assert not tested.holder.current.members["e2"].alive
    assert tested.network.closed == ["e2"]
    reported = tested.build_heartbeat().suspicions
    assert reported == (data.Suspicion("e2", "i2"),)


def test_only_full_heartbeats_contain_members_and_go_to_other_data_centres():
    tested = build_exchange()
    for member in (PEER, REMOTE_PEER):
        receive(tested, build_exchange(member).build_heartbeat(), member)
    tested.network.sent.clear()
    tested.send_heartbeats(full=False)
    assert [entry for entry, _ in tested.network.sent] == ["e2"]
    assert tested.network.sent[0][1] == messages.Alive()
    tested.send_heartbeats(full=True)
    assert {entry for entry, _ in tested.network.sent[1:]} == {"e2", "e3"}


def test_announced_stop_lasts_until_the_process_is_replaced():
    # Guards against returning gates to a stopping process after its heartbeat.
    stopping_peer, receiver = build_exchange(PEER), build_exchange(OWN)
    stopping_peer.members.record_message(OWN, stopping_peer.clock.monotonic())
    stopping_peer.publish_members()
    receive(receiver, receiver.build_heartbeat())
    stopping_peer.announce_stop()
    ((_, announcement),) = stopping_peer.network.sent
    receive(receiver, announcement)
    receive(receiver, stopping_peer.build_heartbeat())
    assert receiver.holder.current.members["e2"].stopping
    receive(receiver, stopping_peer.build_heartbeat(), PEER._replace(incarnation="i9"))
    assert not receiver.holder.current.members["e2"].stopping


def test_processes_in_gate_rows_become_members():
    # Guards against a new process that assumes that a gate is dead because it has
    # received no message from it yet.
    tested = build_exchange()
    target = builders.build_target(name="t1", data_centre="dc1")
    tested.holder.offer_configuration(data.Configuration(1, {}, {"t1": target}))
    tested.holder.offer_gate(GATE)
    tested.add_gate_members(tested.clock.monotonic())
    assert tested.members.peers["e2"].member == PEER


def test_heartbeat_request_is_answered():
    tested = build_exchange()
    receive(tested, messages.Fetch(exchange.HEARTBEAT, ""))
    ((entry, answer),) = tested.network.sent
    assert entry == "e2" and isinstance(answer, messages.Heartbeat)


def test_short_heartbeat_is_replaced_by_a_full_one_to_report_suspicions():
    """Guards against suspecting a live process and against not reporting a lost one."""
    tested = build_exchange()
    assert not receive(tested, messages.Alive())
    assert tested.members.peers["e2"].has_sent
    other = data.Member("e4", "i4", "dc1", "127.0.0.1", 7004)
    receive(tested, messages.Alive(), other)
    tested.suspect_refused(other)
    tested.network.sent.clear()
    tested.send_heartbeats(full=False)
    ((entry, message),) = tested.network.sent
    assert entry == "e2"
    assert message.suspicions == (data.Suspicion("e4", "i4"),)
