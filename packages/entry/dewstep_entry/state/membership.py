"""Which entry processes are alive, from heartbeats whose cost does not grow.

Each process sends heartbeats to its `MONITORS` successors in a ring of its data
centre and to a few random members elsewhere. A monitor that hears nothing for
`suspect_after`, or whose connection is refused, calls the process suspect and tells
others so. Being suspect decides only whom to ask next: the term in the table and the
grant of the target decide who owns what.

The state machine is pure: time and messages come in as arguments.
"""

import datetime
import random
from typing import NamedTuple

from dewstep_core import data
from dewstep_core.settings import PeerSettings

MONITORS = 2
"""Successors in the ring that watch a process."""
OTHER_DATA_CENTRES = 2
"""Random members of other data centres that get each full heartbeat."""
PROBE_AFTER = datetime.timedelta(milliseconds=900)
"""Time without a message from a data centre after which its processes are asked."""
CENTRE_SILENCE = datetime.timedelta(seconds=2)
"""Time without a message from any process of a data centre after which it counts as
cut off or lost. Three questions have then remained unanswered."""
INTRODUCTION = datetime.timedelta(seconds=1)
"""Time that a member known by name only has to answer a first heartbeat."""
SHARED_MEMBERS = 8
"""Members named in one heartbeat, so that its size does not grow with the fleet."""
SHARED_SUSPICIONS = 8
RECHECK = datetime.timedelta(seconds=30)
"""How long a suspect is asked again. Most suspicions of a process in another data
centre come from others, and only its own answer can refute them."""
FORGET = datetime.timedelta(minutes=10)
"""Time after which a suspect counts as gone for good."""
SUSPICION_SPREAD = datetime.timedelta(seconds=1)
"""How long a new suspicion is named in heartbeats."""


class Peer(NamedTuple):
    """A member with what this process has heard of it."""

    member: data.Member
    last_heard: datetime.timedelta
    suspected: datetime.timedelta | None
    """Since when it has been suspect, or None."""
    heard: bool
    """Whether it has ever sent anything to this process."""
    by_centre: bool = False
    """Whether it is suspect only because its whole data centre is silent."""
    observed: bool = False
    """Whether this process itself missed it or was refused by it."""
    stopping: bool = False
    """Whether it has announced its planned stop."""


class Membership:
    """Members as one process knows them.

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
        self.centres: dict[str, datetime.timedelta] = {}

    def learn(self, member: data.Member, now: datetime.timedelta) -> bool:
        """Add a member heard of from others; return whether it is new."""
        if member.entry == self.own.entry:
            return False
        known = self.peers.get(member.entry)
        if known is not None:
            return False
        self.peers[member.entry] = Peer(member, now, None, False)
        return True

    def hear(self, member: data.Member, now: datetime.timedelta) -> bool:
        """Note a message from the member itself; return whether its state changed.

        A message under a new incarnation replaces what was known of the old one.
        """
        if member.entry == self.own.entry:
            return False
        known = self.peers.get(member.entry)
        changed = known is None or known.member != member or known.suspected is not None
        changed = self.hear_centre(member.data_centre, now) or changed
        stopping = (
            known is not None
            and known.stopping
            and known.member.incarnation == member.incarnation
        )
        self.peers[member.entry] = Peer(member, now, None, True, stopping=stopping)
        return changed

    def note_stopping(self, entry: str, incarnation: str) -> bool:
        """Note that a process announced its stop; return whether that is news."""
        known = self.peers.get(entry)
        if known is None or known.member.incarnation != incarnation or known.stopping:
            return False
        self.peers[entry] = known._replace(stopping=True)
        return True

    def hear_centre(self, data_centre: str, now: datetime.timedelta) -> bool:
        """Note a message from a data centre; return whether it had been silent."""
        self.centres[data_centre] = now
        returned = [
            entry
            for entry, peer in self.peers.items()
            if peer.by_centre and peer.member.data_centre == data_centre
        ]
        for entry in returned:
            self.peers[entry] = self.peers[entry]._replace(
                suspected=None, last_heard=now, by_centre=False
            )
        return bool(returned)

    def suspect(self, suspicion: data.Suspicion, now: datetime.timedelta) -> bool:
        """Note that a process is suspect; return whether that is news.

        A report about a process that this one has heard within `suspect_after` is
        ignored: the reporter may be the one that is cut off.
        """
        known = self.peers.get(suspicion.entry)
        if known is None or known.member.incarnation != suspicion.incarnation:
            return False
        if known.suspected is not None:
            return False
        if now - known.last_heard < self.settings.suspect_after:
            return False
        self.peers[suspicion.entry] = known._replace(suspected=now)
        return True

    def refuse(self, entry: str, now: datetime.timedelta) -> bool:
        """Note that a connection was refused or reset: no process listens there."""
        known = self.peers.get(entry)
        if known is None or known.suspected is not None:
            return False
        self.peers[entry] = known._replace(suspected=now, observed=True)
        return True

    def list_ring(self) -> list[str]:
        """Return the live processes of the own data centre, this one included."""
        return sorted([self.own.entry, *(item.entry for item in self.list_near())])

    def find_monitored(self) -> set[str]:
        """Return the members of which this process is a monitor.

        Sender and receiver work this out for themselves from who they know, so that
        a member need not have sent a heartbeat before it is missed.
        """
        ring = self.list_ring()
        place = ring.index(self.own.entry)
        before = ring[:place][::-1] + ring[place + 1 :][::-1]
        return set(before[:MONITORS])

    def expire(self, now: datetime.timedelta) -> list[data.Suspicion]:
        """Return the members that have just become suspect.

        These are the monitored ones that are silent, and those that this process
        knows by name only and that have not answered within `INTRODUCTION`.
        """
        found = []
        monitored = self.find_monitored()
        for entry, peer in self.peers.items():
            limit = self.settings.suspect_after if peer.heard else INTRODUCTION
            silent = now - peer.last_heard >= limit
            expected = entry in monitored or not peer.heard
            if expected and silent and peer.suspected is None:
                self.peers[entry] = peer._replace(suspected=now, observed=True)
                found.append(data.Suspicion(entry, peer.member.incarnation))
        return found

    def excuse(self, now: datetime.timedelta) -> None:
        """Forget all silence: this process itself was paused and heard nobody."""
        self.centres = dict.fromkeys(self.centres, now)
        for entry, peer in self.peers.items():
            self.peers[entry] = peer._replace(last_heard=now)

    def list_near(self) -> list[data.Member]:
        """Return the live members of the own data centre."""
        return [
            peer.member
            for peer in self.peers.values()
            if peer.suspected is None
            and peer.member.data_centre == self.own.data_centre
        ]

    def select_silent(self, now: datetime.timedelta) -> list[data.Member]:
        """Return the monitored members that have been silent for a while.

        They are asked before they become suspect, since processes may differ for a
        moment about who monitors whom.
        """
        return [
            peer.member
            for entry in sorted(self.find_monitored())
            if (peer := self.peers.get(entry)) is not None
            and now - peer.last_heard >= self.settings.suspect_after / 2
        ]

    def select_suspects(self, now: datetime.timedelta) -> list[data.Member]:
        """Return the newest suspects, which are asked whether they live."""
        suspects = [
            peer
            for peer in self.peers.values()
            if peer.suspected is not None and now - peer.suspected < RECHECK
        ]
        suspects.sort(key=lambda peer: peer.suspected, reverse=True)
        return [peer.member for peer in suspects[:SHARED_SUSPICIONS]]

    def select_probes(self, now: datetime.timedelta) -> list[data.Member]:
        """Return a live member of each data centre that has not been heard lately."""
        probes = []
        for centre, heard in self.centres.items():
            if centre == self.own.data_centre or now - heard < PROBE_AFTER:
                continue
            alive = [
                peer.member
                for peer in self.peers.values()
                if peer.suspected is None and peer.member.data_centre == centre
            ]
            if alive:
                probes.append(self.random.choice(alive))
        return probes

    def expire_centres(self, now: datetime.timedelta) -> list[str]:
        """Suspect all processes of data centres that have just become silent."""
        silent = {
            centre
            for centre, heard in self.centres.items()
            if centre != self.own.data_centre and now - heard >= CENTRE_SILENCE
        }
        for entry, peer in self.peers.items():
            if peer.member.data_centre in silent and peer.suspected is None:
                self.peers[entry] = peer._replace(suspected=now, by_centre=True)
        for centre in silent:
            del self.centres[centre]
        return sorted(silent)

    def select_recipients(self, full: bool) -> list[data.Member]:
        """Return the members that get the next heartbeat.

        Only full heartbeats go to other data centres as well.
        """
        near = sorted(self.list_near())
        after = [member for member in near if member.entry > self.own.entry]
        before = [member for member in near if member.entry < self.own.entry]
        monitors = (after + before)[:MONITORS]
        if not full:
            return monitors
        far = [
            peer.member
            for peer in self.peers.values()
            if peer.member.data_centre != self.own.data_centre
        ]
        return monitors + self.random.sample(far, min(OTHER_DATA_CENTRES, len(far)))

    def select_shared_members(self) -> tuple[data.Member, ...]:
        """Return a sample of live members to name in a heartbeat."""
        alive = [peer.member for peer in self.peers.values() if peer.suspected is None]
        return tuple(self.random.sample(alive, min(SHARED_MEMBERS, len(alive))))

    def select_suspicions(self, now: datetime.timedelta) -> tuple[data.Suspicion, ...]:
        """Return the newest suspicions of this process, to name in a heartbeat.

        Those that it only heard of are not passed on: a rumour that each receiver
        renews would never end.
        """
        recent = [
            peer
            for peer in self.peers.values()
            if peer.suspected is not None
            and peer.observed
            and now - peer.suspected < SUSPICION_SPREAD
        ]
        recent.sort(key=lambda peer: peer.suspected, reverse=True)
        return tuple(
            data.Suspicion(peer.member.entry, peer.member.incarnation)
            for peer in recent[:SHARED_SUSPICIONS]
        )

    def count_near(self) -> int:
        """Return the number of live entry processes in the own data centre."""
        return 1 + sum(
            peer.suspected is None and peer.member.data_centre == self.own.data_centre
            for peer in self.peers.values()
        )

    def forget_lost(self, now: datetime.timedelta) -> list[str]:
        """Remove the members that have been suspect for long; return their names.

        With hundreds of replacements a day the list would otherwise only grow.
        """
        lost = [
            entry
            for entry, peer in self.peers.items()
            if peer.suspected is not None and now - peer.suspected >= FORGET
        ]
        for entry in lost:
            del self.peers[entry]
        return lost
