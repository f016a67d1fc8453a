"""Detects which entry processes are alive.

Each process sends heartbeats to its `MONITOR_COUNT` successors in a ring of its data
centre and to a few random members elsewhere, so that the cost per process does not grow
with the fleet. A monitor that receives nothing for `suspect_after`, or whose connection
is refused, suspects the process and reports the suspicion to others. Suspicions only
determine which process is tried next; ownership depends on the term in the table and
the grant of the target.

The state machine does no I/O: time and messages are passed as arguments.
"""

import datetime
import random
from typing import NamedTuple

from dewstep_core import data
from dewstep_core.settings import PeerSettings

MONITOR_COUNT = 2
"""Number of successors in the ring that monitor a process."""
REMOTE_RECIPIENTS = 2
"""Number of random members of other data centres that get each full heartbeat."""
CENTRE_PROBE_DELAY = datetime.timedelta(milliseconds=900)
"""Time without a message from a data centre after which its processes are probed."""
CENTRE_TIMEOUT = datetime.timedelta(seconds=2)
"""Time without a message from any process of a data centre after which it counts as
disconnected or lost. Three probes have then remained unanswered."""
FIRST_CONTACT_TIMEOUT = datetime.timedelta(seconds=1)
"""Time after which a member that has never sent a message is suspected."""
MAX_HEARTBEAT_MEMBERS = 8
"""Maximum members in a heartbeat, so that its size does not grow with the fleet."""
MAX_HEARTBEAT_SUSPICIONS = 8
"""Maximum suspicions in a heartbeat, and maximum suspects probed at a time."""
SUSPECT_PROBE_PERIOD = datetime.timedelta(seconds=30)
"""Time for which a suspect is probed. Most suspicions of a process in another data
centre are reported by others, and only its own answer can refute them."""
REMOVAL_DELAY = datetime.timedelta(minutes=10)
"""Time after which a suspect is removed from the members."""
SUSPICION_SHARE_PERIOD = datetime.timedelta(seconds=1)
"""Time for which a new suspicion is included in heartbeats."""


class Peer(NamedTuple):
    """State of a member in this process."""

    member: data.Member
    last_heard: datetime.timedelta
    """Start of its silence: its last message, its addition, or the end of a pause."""
    suspected: datetime.timedelta | None
    """Time since which it has been suspected, or None."""
    has_sent: bool
    """Whether this process has ever received a message from it."""
    suspected_by_centre: bool = False
    """Whether it is suspected only because its whole data centre is silent."""
    observed_here: bool = False
    """Whether the suspicion is an observation of this process, not a report."""
    stopping: bool = False
    """Whether it has announced its planned stop."""


class Membership:
    """Members from the perspective of one process.

    Parameters
    ----------
    own : data.Member
        This process.
    settings : PeerSettings
    generator : random.Random
        Chooses the members of other data centres.
    """

    def __init__(
        self, own: data.Member, settings: PeerSettings, generator: random.Random
    ):
        self.own = own
        self.settings = settings
        self.random = generator
        self.peers: dict[str, Peer] = {}
        self.centre_message_times: dict[str, datetime.timedelta] = {}
        """Time of the last message from each data centre that is not silent."""

    def add_member(self, member: data.Member, now: datetime.timedelta) -> bool:
        """Add a member named by others; return whether it is new."""
        if member.entry == self.own.entry:
            return False
        known_peer = self.peers.get(member.entry)
        if known_peer is not None:
            return False
        self.peers[member.entry] = Peer(member, now, None, False)
        return True

    def record_message(self, member: data.Member, now: datetime.timedelta) -> bool:
        """Record a message from a member; return whether its state has changed.

        A message of a new incarnation replaces the state of the old one.
        """
        if member.entry == self.own.entry:
            return False
        known_peer = self.peers.get(member.entry)
        changed = (
            known_peer is None
            or known_peer.member != member
            or known_peer.suspected is not None
        )
        changed = self.record_centre_message(member.data_centre, now) or changed
        stopping = (
            known_peer is not None
            and known_peer.stopping
            and known_peer.member.incarnation == member.incarnation
        )
        self.peers[member.entry] = Peer(member, now, None, True, stopping=stopping)
        return changed

    def record_stopping(self, entry: str, incarnation: str) -> bool:
        """Record that a process has announced its stop; return whether that is new."""
        peer = self.peers.get(entry)
        if peer is None or peer.member.incarnation != incarnation or peer.stopping:
            return False
        self.peers[entry] = peer._replace(stopping=True)
        return True

    def record_centre_message(self, data_centre: str, now: datetime.timedelta) -> bool:
        """Record a message from a data centre; return whether it was silent before."""
        self.centre_message_times[data_centre] = now
        returned_members = [
            entry
            for entry, peer in self.peers.items()
            if peer.suspected_by_centre and peer.member.data_centre == data_centre
        ]
        for entry in returned_members:
            self.peers[entry] = self.peers[entry]._replace(
                suspected=None, last_heard=now, suspected_by_centre=False
            )
        return bool(returned_members)

    def add_suspicion(self, suspicion: data.Suspicion, now: datetime.timedelta) -> bool:
        """Record a suspicion reported by others; return whether it is new.

        It is ignored if this process has received a message from the suspect within
        `suspect_after`, since the reporter may be the one that is disconnected.
        """
        peer = self.peers.get(suspicion.entry)
        if peer is None or peer.member.incarnation != suspicion.incarnation:
            return False
        if peer.suspected is not None:
            return False
        if now - peer.last_heard < self.settings.suspect_after:
            return False
        self.peers[suspicion.entry] = peer._replace(suspected=now)
        return True

    def record_refusal(self, member: data.Member, now: datetime.timedelta) -> bool:
        """Suspect a member whose connection was refused or reset.

        The connection to an earlier incarnation may end after the next one was heard.
        """
        peer = self.peers.get(member.entry)
        if peer is None or peer.suspected is not None:
            return False
        if peer.member.incarnation != member.incarnation:
            return False
        self.peers[member.entry] = peer._replace(suspected=now, observed_here=True)
        return True

    def list_ring(self) -> list[str]:
        """Return the live processes of the own data centre, including this one."""
        return sorted([self.own.entry, *(item.entry for item in self.list_local())])

    def find_monitored(self) -> set[str]:
        """Return the members of which this process is a monitor.

        Sender and receiver compute this from their own members, so that the silence of
        a member is detected even if it has never sent a heartbeat.
        """
        ring = self.list_ring()
        position = ring.index(self.own.entry)
        predecessors = ring[:position][::-1] + ring[position + 1 :][::-1]
        return set(predecessors[:MONITOR_COUNT])

    def suspect_silent(self, now: datetime.timedelta) -> list[data.Suspicion]:
        """Suspect silent members and return the new suspicions.

        These are the monitored members without a message for `suspect_after`, and those
        that have not sent a first message within `FIRST_CONTACT_TIMEOUT`.
        """
        suspicions = []
        monitored = self.find_monitored()
        for entry, peer in self.peers.items():
            timeout = (
                self.settings.suspect_after if peer.has_sent else FIRST_CONTACT_TIMEOUT
            )
            is_silent = now - peer.last_heard >= timeout
            must_answer = entry in monitored or not peer.has_sent
            if must_answer and is_silent and peer.suspected is None:
                self.peers[entry] = peer._replace(suspected=now, observed_here=True)
                suspicions.append(data.Suspicion(entry, peer.member.incarnation))
        return suspicions

    def reset_silence(self, now: datetime.timedelta) -> None:
        """Restart all time-outs after a pause, during which nothing was received."""
        self.centre_message_times = dict.fromkeys(self.centre_message_times, now)
        for entry, peer in self.peers.items():
            self.peers[entry] = peer._replace(last_heard=now)

    def list_local(self) -> list[data.Member]:
        """Return the live members of the own data centre."""
        return [
            peer.member
            for peer in self.peers.values()
            if peer.suspected is None
            and peer.member.data_centre == self.own.data_centre
        ]

    def select_silent(self, now: datetime.timedelta) -> list[data.Member]:
        """Return the monitored members without a message for half of `suspect_after`.

        They are probed before they are suspected, since for a short time processes may
        disagree about which member monitors which.
        """
        return [
            peer.member
            for entry in sorted(self.find_monitored())
            if (peer := self.peers.get(entry)) is not None
            and now - peer.last_heard >= self.settings.suspect_after / 2
        ]

    def select_suspects(self, now: datetime.timedelta) -> list[data.Member]:
        """Return the most recent suspects, which are to be probed."""
        recent_suspects = [
            peer
            for peer in self.peers.values()
            if peer.suspected is not None
            and now - peer.suspected < SUSPECT_PROBE_PERIOD
        ]
        recent_suspects.sort(key=lambda peer: peer.suspected, reverse=True)
        return [peer.member for peer in recent_suspects[:MAX_HEARTBEAT_SUSPICIONS]]

    def select_probes(self, now: datetime.timedelta) -> list[data.Member]:
        """Return a live member of each data centre without a recent message."""
        probes = []
        for centre, last_message in self.centre_message_times.items():
            if (
                centre == self.own.data_centre
                or now - last_message < CENTRE_PROBE_DELAY
            ):
                continue
            alive = [
                peer.member
                for peer in self.peers.values()
                if peer.suspected is None and peer.member.data_centre == centre
            ]
            if alive:
                probes.append(self.random.choice(alive))
        return probes

    def suspect_silent_centres(self, now: datetime.timedelta) -> list[str]:
        """Suspect all members of newly silent data centres; return these centres."""
        silent = {
            centre
            for centre, last_message in self.centre_message_times.items()
            if centre != self.own.data_centre and now - last_message >= CENTRE_TIMEOUT
        }
        for entry, peer in self.peers.items():
            if peer.member.data_centre in silent and peer.suspected is None:
                self.peers[entry] = peer._replace(
                    suspected=now, suspected_by_centre=True
                )
        for centre in silent:
            del self.centre_message_times[centre]
        return sorted(silent)

    def select_recipients(self, full: bool) -> list[data.Member]:
        """Return the recipients of the next heartbeat.

        Only full heartbeats are also sent to other data centres.
        """
        local = sorted(self.list_local())
        after = [member for member in local if member.entry > self.own.entry]
        before = [member for member in local if member.entry < self.own.entry]
        monitors = (after + before)[:MONITOR_COUNT]
        if not full:
            return monitors
        remote = [
            peer.member
            for peer in self.peers.values()
            if peer.member.data_centre != self.own.data_centre
        ]
        return monitors + self.random.sample(
            remote, min(REMOTE_RECIPIENTS, len(remote))
        )

    def select_shared_members(self) -> tuple[data.Member, ...]:
        """Return a sample of live members to include in a heartbeat."""
        alive = [peer.member for peer in self.peers.values() if peer.suspected is None]
        return tuple(self.random.sample(alive, min(MAX_HEARTBEAT_MEMBERS, len(alive))))

    def select_suspicions(self, now: datetime.timedelta) -> tuple[data.Suspicion, ...]:
        """Return the most recent suspicions to include in a heartbeat.

        Suspicions reported by others are not forwarded. If each receiver forwarded
        them, they would circulate indefinitely.
        """
        recent = [
            peer
            for peer in self.peers.values()
            if peer.suspected is not None
            and peer.observed_here
            and now - peer.suspected < SUSPICION_SHARE_PERIOD
        ]
        recent.sort(key=lambda peer: peer.suspected, reverse=True)
        return tuple(
            data.Suspicion(peer.member.entry, peer.member.incarnation)
            for peer in recent[:MAX_HEARTBEAT_SUSPICIONS]
        )

    def count_local(self) -> int:
        """Return the number of live entry processes in the own data centre."""
        return 1 + sum(
            peer.suspected is None and peer.member.data_centre == self.own.data_centre
            for peer in self.peers.values()
        )

    def remove_lost(self, now: datetime.timedelta) -> list[str]:
        """Remove members suspected for `REMOVAL_DELAY`; return their names.

        Otherwise the list would grow with each of hundreds of replacements a day.
        """
        lost = [
            entry
            for entry, peer in self.peers.items()
            if peer.suspected is not None and now - peer.suspected >= REMOVAL_DELAY
        ]
        for entry in lost:
            del self.peers[entry]
        return lost
