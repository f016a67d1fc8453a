"""Exchanges heartbeats, versions and values with the other entry processes.

A heartbeat names the versions that its sender has. Who hears of a newer version
fetches it from the sender, so that the table is read by few and a process can start
while the table is down. A change of gate is pushed on by each process for which it
is news, because requests wait for it.
"""

import datetime
import json
import random
from collections.abc import Mapping

from returns import result

from dewstep_core import clock as clocks, data, events, records
from dewstep_core.settings import PeerSettings
from dewstep_entry.gate import rows
from dewstep_entry.peers import messages
from dewstep_entry.state import membership, view

CONFIGURATION = "configuration"
ASSIGNMENT = "assignment"
STOPPING = "stopping"
GATES = "gates"
HEARTBEAT = "heartbeat"
PAUSE_FACTOR = 2
"""Intervals between two heartbeats after which this process counts as paused."""
PROBE_EVERY = 3
"""Heartbeats after which silent data centres are asked again."""
FULL_EVERY = 8
"""Heartbeats of which one is full: it also goes to other data centres and names
versions and members. The others are only a sign of life, unless they name suspicions;
new versions are announced at once and do not wait for a heartbeat."""


def encode_gates(gates: Mapping[str, data.GateRow]) -> bytes:
    """Return gate rows as the payload of a `Value`."""
    return json.dumps([row._asdict() for row in gates.values()]).encode()


def decode_gates(payload: bytes) -> tuple[data.GateRow, ...]:
    """Return the gate rows in a payload.

    Raises
    ------
    ValueError, TypeError
        If the payload does not hold gate rows.
    """
    return tuple(data.GateRow(**fields) for fields in json.loads(payload))


class Exchange:
    """Implements `interfaces.MessageHandler` and sends the heartbeats.

    Parameters
    ----------
    own : data.Member
        This process.
    settings : PeerSettings
    holder : view.ViewHolder
    members : membership.Membership
    network : dewstep_entry.peers.link.PeerNetwork
        Sends messages.
    clock : clocks.Clock
    """

    def __init__(self, own, settings, holder, members, network, clock):
        self.own: data.Member = own
        self.settings: PeerSettings = settings
        self.holder: view.ViewHolder = holder
        self.members: membership.Membership = members
        self.network = network
        self.clock: clocks.Clock = clock
        self.random = random.Random()
        self.beats = 0
        self.fetching: dict[tuple[str, str], int] = {}

    # Sending.

    async def run(self) -> None:
        """Send heartbeats and look for silent members until cancelled."""
        self.publish_members()
        last = self.clock.monotonic()
        while True:
            now = self.clock.monotonic()
            if now - last > PAUSE_FACTOR * self.settings.heartbeat_interval:
                events.warning("paused", duration=now - last)
                self.members.excuse(now)
            last = now
            self.learn_gates(now)
            silent = self.members.expire(now)
            for suspicion in silent:
                events.warning(
                    "member_suspected", entry=suspicion.entry, reason="silent"
                )
            for centre in self.members.expire_centres(now):
                events.warning("data_centre_silent", data_centre=centre)
            for entry in self.members.forget_lost(now):
                self.holder.remove_member(entry)
            self.publish_members()
            self.beats += 1
            self.send_heartbeats(full=self.beats % FULL_EVERY == 0)
            for member in self.members.select_silent(now):
                self.network.send(member, messages.Fetch(HEARTBEAT, ""))
            if silent:
                self.tell_near(self.build_heartbeat(full=False))
            if self.beats % PROBE_EVERY == 0:
                self.probe(now)
            await self.clock.sleep(self.settings.heartbeat_interval)

    def announce_stop(self) -> None:
        """Tell the holders of gates that could come to this process that it stops.

        Otherwise they would hand gates back to it while it still lives, because it
        is the first candidate for them. They are the processes of this data centre,
        and those elsewhere that stand in for them.
        """
        current = self.holder.current
        targets = current.configuration.targets if current.configuration else {}
        entries = {member.entry for member in self.members.list_near()}
        entries |= {
            row.entry
            for row in current.gates.values()
            if row.target in targets
            and targets[row.target].data_centre == self.own.data_centre
        }
        incarnation = self.own.incarnation.encode()
        announcement = messages.Value(STOPPING, self.own.entry, 0, incarnation)
        for entry in sorted(entries - {self.own.entry}):
            if entry in current.members:
                self.network.send(current.members[entry].member, announcement)

    def tell_near(self, message) -> None:
        """Send to all live processes of the data centre, for rare news."""
        for member in self.members.list_near():
            self.network.send(member, message)

    def probe(self, now: datetime.timedelta) -> None:
        """Ask suspects and silent data centres for a sign of life."""
        for member in (
            *self.members.select_probes(now),
            *self.members.select_suspects(now),
        ):
            self.network.send(member, messages.Fetch(HEARTBEAT, ""))

    def learn_gates(self, now: datetime.timedelta) -> None:
        """Learn the processes that gate rows name.

        A process that has just started would otherwise take a gate for dead only
        because it has not met it.
        """
        current = self.holder.current
        targets = current.configuration.targets if current.configuration else {}
        for row in current.gates.values():
            target = targets.get(row.target)
            if target is not None and row.entry:
                centre = target.data_centre
                self.members.learn(
                    data.Member(row.entry, row.incarnation, centre, row.host, row.port),
                    now,
                )

    async def run_announcements(self) -> None:
        """Announce newer versions at once instead of with the next heartbeat."""
        sequence = self.holder.sequence
        announced = self.describe_versions()
        gates = self.holder.current.gates
        while True:
            sequence = await self.holder.wait_change(sequence)
            versions = self.describe_versions()
            current = self.holder.current.gates
            if current is not gates:
                changed = {
                    target: row
                    for target, row in current.items()
                    if gates.get(target) != row
                }
                gates = current
                self.push(messages.Value(GATES, "", 0, encode_gates(changed)))
            if versions != announced:
                announced = versions
                self.send_heartbeats()

    def describe_versions(self) -> tuple[int, dict[str, int]]:
        """Return the revision and the versions in force here."""
        current = self.holder.current
        configuration = current.configuration
        versions = {name: item.version for name, item in current.assignments.items()}
        return (configuration.revision if configuration else 0), versions

    def build_heartbeat(self, full: bool = True) -> messages.Heartbeat:
        """Return the heartbeat to send now; only a full one names members."""
        revision, versions = self.describe_versions()
        contact = self.holder.current.table_contact
        now = self.clock.monotonic()
        return messages.Heartbeat(
            revision=revision,
            versions=versions,
            table_contact_age=None if contact is None else now - contact,
            members=self.members.select_shared_members() if full else (),
            suspicions=self.members.select_suspicions(now),
        )

    def send_heartbeats(self, full: bool = True) -> None:
        """Send one heartbeat to each recipient."""
        message = self.build_heartbeat(full)
        if not full and not message.suspicions:
            message = messages.Alive()
        self.push(message, full)

    def push(self, message, full: bool = True) -> None:
        """Send `message` to the recipients of heartbeats."""
        for member in self.members.select_recipients(full):
            self.network.send(member, message)

    # Receiving.

    async def receive(self, sender: data.Member, message) -> None:
        """Process one message from a peer."""
        now = self.clock.monotonic()
        if self.members.hear(sender, now):
            events.info("member_heard", entry=sender.entry)
            self.publish_members()
        if isinstance(message, messages.Heartbeat):
            self.receive_heartbeat(sender, message)
        elif isinstance(message, messages.Fetch):
            self.answer_fetch(sender, message)
        elif isinstance(message, messages.Value):
            self.take_value(message)

    def receive_heartbeat(
        self, sender: data.Member, heartbeat: messages.Heartbeat
    ) -> None:
        """Learn members, suspicions and versions from a heartbeat."""
        now = self.clock.monotonic()
        changed = [self.members.learn(member, now) for member in heartbeat.members]
        for suspicion in heartbeat.suspicions:
            changed.append(self.members.suspect(suspicion, now))
        if any(changed):
            self.publish_members()
        self.fetch_newer(sender, heartbeat)

    def fetch_newer(self, sender: data.Member, heartbeat: messages.Heartbeat) -> None:
        """Ask the sender for what it has in a newer version."""
        revision, versions = self.describe_versions()
        if heartbeat.revision > revision:
            self.fetch(sender, CONFIGURATION, "", heartbeat.revision)
        for service, version in heartbeat.versions.items():
            if version > versions.get(service, 0):
                self.fetch(sender, ASSIGNMENT, service, version)
        if not self.holder.current.gates and heartbeat.versions:
            self.network.send(sender, messages.Fetch(GATES, ""))

    def fetch(self, sender: data.Member, what: str, name: str, version: int) -> None:
        """Ask for one value, but only one peer for each version."""
        place = (what, name)
        if self.fetching.get(place, 0) >= version and self.random.random() < 0.5:
            # Half of the repeated announcements ask again, in case an answer is lost.
            return
        self.fetching[place] = version
        self.network.send(sender, messages.Fetch(what, name))

    def answer_fetch(self, sender: data.Member, question: messages.Fetch) -> None:
        """Send what a peer asked for, if it is known here."""
        current = self.holder.current
        answer = None
        if question.what == HEARTBEAT:
            answer = self.build_heartbeat(full=False)
        elif question.what == CONFIGURATION and current.configuration is not None:
            configuration = current.configuration
            value = records.encode_configuration(configuration)
            payload = json.dumps(value).encode()
            answer = messages.Value(CONFIGURATION, "", configuration.revision, payload)
        elif question.what == ASSIGNMENT and question.name in current.assignments:
            assignment = current.assignments[question.name]
            payload = json.dumps(rows.encode_content(assignment)).encode()
            answer = messages.Value(
                ASSIGNMENT, question.name, assignment.version, payload
            )
        elif question.what == GATES:
            answer = messages.Value(GATES, "", 0, encode_gates(current.gates))
        if answer is not None:
            self.network.send(sender, answer)

    def take_value(self, value: messages.Value) -> None:
        """Take over a value that is newer than what is known here."""
        try:
            if value.what == CONFIGURATION:
                self.take_configuration(value)
            elif value.what == ASSIGNMENT:
                row = data.Row(
                    f"assignment/{value.name}", value.version, json.loads(value.payload)
                )
                self.holder.offer_assignment(rows.decode_assignment(row).unwrap())
            elif value.what == STOPPING:
                if self.members.note_stopping(value.name, value.payload.decode()):
                    events.info("member_stopping", entry=value.name)
                    self.publish_members()
            elif value.what == GATES:
                for gate in decode_gates(value.payload):
                    self.holder.offer_gate(gate)
        except (ValueError, TypeError, result.UnwrapFailedError) as error:
            events.error(
                "peer_value_refused", what=value.what, name=value.name, failure=error
            )

    def take_configuration(self, value: messages.Value) -> None:
        """Take over a configuration; one that is not valid is refused whole."""
        decoded = records.decode_configuration(json.loads(value.payload))
        if isinstance(decoded, result.Failure):
            events.error("configuration_refused", failure=decoded.failure())
            return
        self.holder.offer_configuration(decoded.unwrap())

    def note_refused(self, entry: str) -> None:
        """Note that a peer's connection was refused or reset."""
        if self.members.refuse(entry, self.clock.monotonic()):
            events.warning("member_suspected", entry=entry, reason="refused")
            self.publish_members()
            self.send_heartbeats()

    def publish_members(self) -> None:
        """Put the state of all members into the view where it has changed."""
        now = self.clock.monotonic()
        held = self.holder.current.members
        if self.own.entry not in held:
            self.holder.set_member(view.MemberState(self.own, now, True))
        for peer in self.members.peers.values():
            alive = peer.suspected is None
            known = held.get(peer.member.entry)
            state = view.MemberState(peer.member, peer.last_heard, alive, peer.stopping)
            if known is None or known != state._replace(last_heard=known.last_heard):
                self.holder.set_member(state)
                if not alive:
                    # Requests at a frozen process would wait for their deadlines.
                    self.network.disconnect(peer.member)
