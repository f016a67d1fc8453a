import asyncio
import random

from dewstep_core import clock as clocks, data, settings
from dewstep_emulator import builders
from dewstep_entry.peers import messages
from dewstep_entry.state import exchange, membership, view

OWN = data.Member("e1", "i1", "dc1", "127.0.0.1", 7001)
PEER = data.Member("e2", "i2", "dc1", "127.0.0.1", 7002)
FAR = data.Member("e3", "i3", "dc2", "127.0.0.1", 7003)
ASSIGNMENT = data.Assignment("history", 4, ("t1", "t2"), {"hot": "t2"}, ("op",))
GATE = data.GateRow("t1", "e2", "i2", "127.0.0.1", 7002, 3, 3)


class Network:
    def __init__(self):
        self.sent = []
        self.closed = []

    def send(self, member, message):
        self.sent.append((member.entry, message))
        return True

    def disconnect(self, member):
        self.closed.append(member.entry)


def build_exchange(own=OWN):
    limits = settings.PeerSettings()
    holder = view.ViewHolder()
    members = membership.Membership(own, limits, random.Random(1))
    network = Network()
    clock = clocks.ManualClock()
    found = exchange.Exchange(own, limits, holder, members, network, clock)
    found.publish_members()
    return found


def receive(found, message, sender=PEER):
    asyncio.run(found.receive(sender, message))


def test_a_newer_version_is_fetched_from_the_peer_that_names_it():
    old, new = build_exchange(OWN), build_exchange(PEER)
    new.holder.offer_assignment(ASSIGNMENT)
    new.holder.offer_gate(GATE)
    new.holder.offer_configuration(builders.build_configuration(revision=5))
    receive(old, new.build_heartbeat())
    fetches = [message for _, message in old.network.sent]
    assert messages.Fetch("assignment", "history") in fetches
    assert messages.Fetch("configuration", "") in fetches
    for question in fetches:
        receive(new, question, OWN)
    for _, answer in new.network.sent:
        receive(old, answer)
    assert old.holder.current.assignments == new.holder.current.assignments
    assert old.holder.current.gates == {"t1": GATE}
    assert old.holder.current.configuration.revision == 5
    # The same versions announced again ask for nothing.
    old.network.sent.clear()
    receive(old, new.build_heartbeat())
    assert old.network.sent == []


def test_a_damaged_value_is_refused_without_an_exception():
    found = build_exchange()
    for what in ("assignment", "configuration", "gates"):
        receive(found, messages.Value(what, "history", 9, b"{"))
        receive(found, messages.Value(what, "history", 9, b"[1]"))
    assert found.holder.current.assignments == {}


def test_a_suspect_is_disconnected_and_named_to_others():
    # Requests at a frozen process would otherwise wait for their deadlines.
    found = build_exchange()
    receive(found, build_exchange(PEER).build_heartbeat())
    found.note_refused("e2")
    assert not found.holder.current.members["e2"].alive
    assert found.network.closed == ["e2"]
    named = found.build_heartbeat().suspicions
    assert named == (data.Suspicion("e2", "i2"),)


def test_only_full_heartbeats_name_members_and_cross_data_centres():
    found = build_exchange()
    for member in (PEER, FAR):
        receive(found, build_exchange(member).build_heartbeat(), member)
    found.network.sent.clear()
    found.send_heartbeats(full=False)
    assert [entry for entry, _ in found.network.sent] == ["e2"]
    assert found.network.sent[0][1].members == ()
    found.send_heartbeats(full=True)
    assert {entry for entry, _ in found.network.sent[1:]} == {"e2", "e3"}


def test_an_announced_stop_holds_until_the_process_is_replaced():
    # Guards against gates that go back to a stopping process after its heartbeat.
    old, new = build_exchange(PEER), build_exchange(OWN)
    old.members.hear(OWN, old.clock.monotonic())
    old.publish_members()
    receive(new, new.build_heartbeat())
    old.announce_stop()
    ((_, announcement),) = old.network.sent
    receive(new, announcement)
    receive(new, old.build_heartbeat())
    assert new.holder.current.members["e2"].stopping
    receive(new, old.build_heartbeat(), PEER._replace(incarnation="i9"))
    assert not new.holder.current.members["e2"].stopping


def test_processes_that_gate_rows_name_are_learned():
    # A new process would otherwise take a gate for dead that it has not met yet.
    found = build_exchange()
    target = builders.build_target(name="t1", data_centre="dc1")
    found.holder.offer_configuration(data.Configuration(1, {}, {"t1": target}))
    found.holder.offer_gate(GATE)
    found.learn_gates(found.clock.monotonic())
    assert found.members.peers["e2"].member == PEER


def test_a_question_for_a_sign_of_life_is_answered():
    found = build_exchange()
    receive(found, messages.Fetch(exchange.HEARTBEAT, ""))
    ((entry, answer),) = found.network.sent
    assert entry == "e2" and answer.entry == "e1"
