import asyncio
import random

from dewstep_core import clock as clocks, data, settings
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
    node = exchange.Exchange(own, peer_settings, holder, members, network, clock)
    node.publish_members()
    return node


def receive(node, message, sender=PEER):
    asyncio.run(node.receive(sender, message))


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
    node = build_exchange()
    for what in ("assignment", "configuration", "gates"):
        receive(node, messages.Value(what, "history", 9, b"{"))
        receive(node, messages.Value(what, "history", 9, b"[1]"))
    assert node.holder.current.assignments == {}


def test_suspect_is_disconnected_and_reported():
    # Guards against requests to a frozen process that wait for their deadlines.
    node = build_exchange()
    receive(node, build_exchange(PEER).build_heartbeat())
    node.note_refused("e2")
    assert not node.holder.current.members["e2"].alive
    assert node.network.closed == ["e2"]
    reported = node.build_heartbeat().suspicions
    assert reported == (data.Suspicion("e2", "i2"),)


def test_only_full_heartbeats_contain_members_and_go_to_other_data_centres():
    node = build_exchange()
    for member in (PEER, REMOTE_PEER):
        receive(node, build_exchange(member).build_heartbeat(), member)
    node.network.sent.clear()
    node.send_heartbeats(full=False)
    assert [entry for entry, _ in node.network.sent] == ["e2"]
    assert node.network.sent[0][1] == messages.Alive()
    node.send_heartbeats(full=True)
    assert {entry for entry, _ in node.network.sent[1:]} == {"e2", "e3"}


def test_announced_stop_lasts_until_the_process_is_replaced():
    # Guards against returning gates to a stopping process after its heartbeat.
    outdated, updated = build_exchange(PEER), build_exchange(OWN)
    outdated.members.hear(OWN, outdated.clock.monotonic())
    outdated.publish_members()
    receive(updated, updated.build_heartbeat())
    outdated.announce_stop()
    ((_, announcement),) = outdated.network.sent
    receive(updated, announcement)
    receive(updated, outdated.build_heartbeat())
    assert updated.holder.current.members["e2"].stopping
    receive(updated, outdated.build_heartbeat(), PEER._replace(incarnation="i9"))
    assert not updated.holder.current.members["e2"].stopping


def test_processes_in_gate_rows_become_members():
    # Guards against a new process that assumes that a gate is dead because it has
    # received no message from it yet.
    node = build_exchange()
    target = builders.build_target(name="t1", data_centre="dc1")
    node.holder.offer_configuration(data.Configuration(1, {}, {"t1": target}))
    node.holder.offer_gate(GATE)
    node.add_gate_members(node.clock.monotonic())
    assert node.members.peers["e2"].member == PEER


def test_heartbeat_request_is_answered():
    node = build_exchange()
    receive(node, messages.Fetch(exchange.HEARTBEAT, ""))
    ((entry, answer),) = node.network.sent
    assert entry == "e2" and isinstance(answer, messages.Heartbeat)


def test_short_heartbeat_is_replaced_by_a_full_one_to_report_suspicions():
    """Guards against suspecting a live process and against not reporting a lost one."""
    node = build_exchange()
    assert not receive(node, messages.Alive())
    assert node.members.peers["e2"].has_sent
    other = data.Member("e4", "i4", "dc1", "127.0.0.1", 7004)
    receive(node, messages.Alive(), other)
    node.note_refused("e4")
    node.network.sent.clear()
    node.send_heartbeats(full=False)
    ((entry, message),) = node.network.sent
    assert entry == "e2"
    assert message.suspicions == (data.Suspicion("e4", "i4"),)
