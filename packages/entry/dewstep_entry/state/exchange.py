"""Exchanges heartbeats, versions and values with the other entry processes.

A heartbeat contains the versions that its sender has. A receiver with an older version
fetches the newer one from the sender, so that few processes read the table and a
process can start while the table is unavailable. Changes of gates are forwarded by each
process to which they are new, because requests wait for them.
"""

import datetime
import json
import random
from collections.abc import Mapping

from returns import result

from dewstep_core import clocks, data, events, records
from dewstep_core.settings import PeerSettings
from dewstep_entry.gate import rows
from dewstep_entry.peers import messages
from dewstep_entry.state import membership, view

# Values of `what` in the messages.
CONFIGURATION = "configuration"
ASSIGNMENT = "assignment"
STOPPING = "stopping"
GATES = "gates"
HEARTBEAT = "heartbeat"

PAUSE_HEARTBEAT_INTERVALS = 2
"""Heartbeat intervals without a heartbeat after which this process counts as paused."""
HEARTBEATS_PER_PROBE = 3
"""Heartbeats after which silent data centres and suspects are probed again."""
HEARTBEATS_PER_FULL_HEARTBEAT = 8
"""Number of heartbeats of which one is full: it contains versions and members and is
also sent to other data centres. The others only show that the sender is alive, unless
they contain suspicions. New versions are announced immediately."""


def encode_gates(gates: Mapping[str, data.GateRow]) -> bytes:
    """Return gate rows as the payload of a `Value`."""
    return json.dumps([row._asdict() for row in gates.values()]).encode()


def decode_gates(payload: bytes) -> tuple[data.GateRow, ...]:
    """Return the gate rows in a payload.

    Raises
    ------
    ValueError, TypeError
        If the payload does not consist of gate rows.
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
        self.heartbeat_count = 0
        self.requested_versions: dict[tuple[str, str], int] = {}

    # Sending.

    async def run(self) -> None:
        """Send heartbeats and detect silent members until cancelled."""
        self.publish_members()
        last_run_at = self.clock.monotonic()
        while True:
            now = self.clock.monotonic()
            if (
                now - last_run_at
                > PAUSE_HEARTBEAT_INTERVALS * self.settings.heartbeat_interval
            ):
                events.warning("paused", duration=now - last_run_at)
                self.members.reset_silence(now)
            last_run_at = now
            self.add_gate_members(now)
            silent = self.members.suspect_silent(now)
            for suspicion in silent:
                events.warning(
                    "member_suspected", entry=suspicion.entry, reason="silent"
                )
            for centre in self.members.suspect_silent_centres(now):
                events.warning("data_centre_silent", data_centre=centre)
            for entry in self.members.remove_lost(now):
                self.holder.remove_member(entry)
            self.publish_members()
            self.heartbeat_count += 1
            self.send_heartbeats(
                full=self.heartbeat_count % HEARTBEATS_PER_FULL_HEARTBEAT == 0
            )
            for member in self.members.select_silent(now):
                self.network.send(member, messages.Fetch(HEARTBEAT, ""))
            if silent:
                self.send_to_data_centre(self.build_heartbeat(full=False))
            if self.heartbeat_count % HEARTBEATS_PER_PROBE == 0:
                self.probe_suspects_and_silent_centres(now)
            await self.clock.sleep(self.settings.heartbeat_interval)

    def announce_stop(self) -> None:
        """Announce the stop to processes that could transfer gates to this one.

        Otherwise they would return gates to it until it has ended, because it is the
        first candidate for them. These are the processes of this data centre, and those
        elsewhere with gates of this data centre's targets.
        """
        current = self.holder.current
        targets = current.configuration.targets if current.configuration else {}
        entries = {member.entry for member in self.members.list_local()}
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

    def send_to_data_centre(self, message) -> None:
        """Send a message to all live processes of the own data centre.

        The cost grows with the fleet, so this is only for rare messages.
        """
        for member in self.members.list_local():
            self.network.send(member, message)

    def probe_suspects_and_silent_centres(self, now: datetime.timedelta) -> None:
        """Request heartbeats from suspects and silent data centres."""
        for member in (
            *self.members.select_probes(now),
            *self.members.select_suspects(now),
        ):
            self.network.send(member, messages.Fetch(HEARTBEAT, ""))

    def add_gate_members(self, now: datetime.timedelta) -> None:
        """Add the processes named in gate rows to the members.

        A process that has just started would otherwise assume that a gate is dead
        because it has received no message from it.
        """
        current = self.holder.current
        targets = current.configuration.targets if current.configuration else {}
        for row in current.gates.values():
            target = targets.get(row.target)
            if target is not None and row.entry:
                centre = target.data_centre
                self.members.add_member(
                    data.Member(row.entry, row.incarnation, centre, row.host, row.port),
                    now,
                )

    async def run_announcements(self) -> None:
        """Announce newer versions immediately until cancelled."""
        sequence = self.holder.sequence
        announced_versions = self.get_versions()
        announced_gates = self.holder.current.gates
        while True:
            sequence = await self.holder.wait_change(sequence)
            versions = self.get_versions()
            current_gates = self.holder.current.gates
            if current_gates is not announced_gates:
                changed = {
                    target: row
                    for target, row in current_gates.items()
                    if announced_gates.get(target) != row
                }
                announced_gates = current_gates
                self.send_to_recipients(
                    messages.Value(GATES, "", 0, encode_gates(changed))
                )
            if versions != announced_versions:
                announced_versions = versions
                self.send_heartbeats()

    def get_versions(self) -> tuple[int, dict[str, int]]:
        """Return the revision and the assignment versions in use in this process."""
        current = self.holder.current
        configuration = current.configuration
        versions = {name: item.version for name, item in current.assignments.items()}
        return (configuration.revision if configuration else 0), versions

    def build_heartbeat(self, full: bool = True) -> messages.Heartbeat:
        """Return the current heartbeat; only a full one contains members."""
        revision, versions = self.get_versions()
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
        self.send_to_recipients(message, full)

    def send_to_recipients(self, message, full: bool = True) -> None:
        """Send `message` to the recipients of heartbeats."""
        for member in self.members.select_recipients(full):
            self.network.send(member, message)

    # Receiving.

    async def receive(self, sender: data.Member, message) -> None:
        """Process one message from a peer."""
        now = self.clock.monotonic()
        if self.members.record_message(sender, now):
            events.info("member_heard", entry=sender.entry)
            self.publish_members()
        if isinstance(message, messages.Heartbeat):
            self.receive_heartbeat(sender, message)
        elif isinstance(message, messages.Fetch):
            self.answer_fetch(sender, message)
        elif isinstance(message, messages.Value):
            self.apply_value(message)

    def receive_heartbeat(
        self, sender: data.Member, heartbeat: messages.Heartbeat
    ) -> None:
        """Process the members, suspicions and versions in a heartbeat."""
        now = self.clock.monotonic()
        changed = [self.members.add_member(member, now) for member in heartbeat.members]
        for suspicion in heartbeat.suspicions:
            changed.append(self.members.add_suspicion(suspicion, now))
        if any(changed):
            self.publish_members()
        self.fetch_newer(sender, heartbeat)

    def fetch_newer(self, sender: data.Member, heartbeat: messages.Heartbeat) -> None:
        """Request the values of which the sender has a newer version."""
        revision, versions = self.get_versions()
        if heartbeat.revision > revision:
            self.fetch_value(sender, CONFIGURATION, "", heartbeat.revision)
        for service, version in heartbeat.versions.items():
            if version > versions.get(service, 0):
                self.fetch_value(sender, ASSIGNMENT, service, version)
        if not self.holder.current.gates and heartbeat.versions:
            self.network.send(sender, messages.Fetch(GATES, ""))

    def fetch_value(
        self, sender: data.Member, what: str, name: str, version: int
    ) -> None:
        """Request a value; a version already requested only in half of the cases."""
        value_key = (what, name)
        if (
            self.requested_versions.get(value_key, 0) >= version
            and self.random.random() < 0.5
        ):
            # A repeated announcement leads to another request with a probability of one
            # half, in case an answer was lost.
            return
        self.requested_versions[value_key] = version
        self.network.send(sender, messages.Fetch(what, name))

    def answer_fetch(self, sender: data.Member, fetch_message: messages.Fetch) -> None:
        """Send the requested value if this process has it."""
        current = self.holder.current
        answer = None
        if fetch_message.what == HEARTBEAT:
            answer = self.build_heartbeat(full=False)
        elif fetch_message.what == CONFIGURATION and current.configuration is not None:
            configuration = current.configuration
            value = records.encode_configuration(configuration)
            payload = json.dumps(value).encode()
            answer = messages.Value(CONFIGURATION, "", configuration.revision, payload)
        elif (
            fetch_message.what == ASSIGNMENT
            and fetch_message.name in current.assignments
        ):
            assignment = current.assignments[fetch_message.name]
            payload = json.dumps(rows.encode_content(assignment)).encode()
            answer = messages.Value(
                ASSIGNMENT, fetch_message.name, assignment.version, payload
            )
        elif fetch_message.what == GATES:
            answer = messages.Value(GATES, "", 0, encode_gates(current.gates))
        if answer is not None:
            self.network.send(sender, answer)

    def apply_value(self, value: messages.Value) -> None:
        """Accept a value if it is newer than the one in the view."""
        try:
            if value.what == CONFIGURATION:
                self.apply_configuration(value)
            elif value.what == ASSIGNMENT:
                row = data.Row(
                    f"assignment/{value.name}", value.version, json.loads(value.payload)
                )
                self.holder.offer_assignment(rows.decode_assignment(row).unwrap())
            elif value.what == STOPPING:
                if self.members.record_stopping(value.name, value.payload.decode()):
                    events.info("member_stopping", entry=value.name)
                    self.publish_members()
            elif value.what == GATES:
                for gate in decode_gates(value.payload):
                    self.holder.offer_gate(gate)
        except (ValueError, TypeError, result.UnwrapFailedError) as error:
            events.error(
                "peer_value_refused", what=value.what, name=value.name, failure=error
            )

    def apply_configuration(self, value: messages.Value) -> None:
        """Accept a newer configuration; an invalid one is rejected as a whole."""
        decoded = records.decode_configuration(json.loads(value.payload))
        if isinstance(decoded, result.Failure):
            events.error("configuration_refused", failure=decoded.failure())
            return
        self.holder.offer_configuration(decoded.unwrap())

    def check_running(self, member: data.Member) -> None:
        """Request a heartbeat from a peer that closed its connection to this process.

        If the peer has ended, it refuses the connection. If it suspects this process,
        the request refutes that.
        """
        self.network.send(member, messages.Fetch(HEARTBEAT, ""))

    def suspect_refused(self, member: data.Member) -> None:
        """Suspect a peer whose connection was refused or reset."""
        if self.members.record_refusal(member, self.clock.monotonic()):
            events.warning("member_suspected", entry=member.entry, reason="refused")
            self.publish_members()
            self.send_heartbeats()

    def publish_members(self) -> None:
        """Update the view with the members whose state has changed."""
        now = self.clock.monotonic()
        known_members = self.holder.current.members
        if self.own.entry not in known_members:
            self.holder.set_member(view.MemberState(self.own, now, True))
        for peer in self.members.peers.values():
            alive = peer.suspected is None
            known_state = known_members.get(peer.member.entry)
            state = view.MemberState(peer.member, peer.last_heard, alive, peer.stopping)
            if known_state is None or known_state != state._replace(
                last_heard=known_state.last_heard
            ):
                self.holder.set_member(state)
                if not alive:
                    # Requests sent to a frozen process would wait for their deadlines.
                    self.network.disconnect(peer.member)
