"""When an instance starts an election, and which votes decide it.

An instance that has received no healthy heartbeat for its election time-out asks the
others for a vote. If most running instances receive none either, it may replace the
coordinator. A minority may do so after a long time. These are rules without state;
`candidacy` sends the messages and writes the row.
"""

import datetime
import random
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from dewstep_fleet import directories, membership, model

STORE_LOSS_TIMEOUT = datetime.timedelta(milliseconds=500)
"""Time-out for a coordinator that reports that it does not reach the store. It only has
to rule out a short failure of the store."""
ELECTION_JITTER = datetime.timedelta(milliseconds=300)
"""Elections start randomly within this time, so that one ends before others begin."""
ELECTION_JITTER_PER_MEMBER = datetime.timedelta(milliseconds=15)
"""Widens the jitter in a large fleet; an election takes 50 to 150 ms. Only members that
are as strong count, since the weaker ones start later: with a jitter for all 80 members
of a fleet, one of its many weak members was often ahead of the few strong ones."""
WEAK_INSTANCE_DELAY = datetime.timedelta(milliseconds=500)
"""Additional election time-out of the weakest instances. A coordinator has a link to
each member, so strong instances should start elections first."""
MINORITY_ELECTION_TIMEOUT = datetime.timedelta(seconds=8)
"""Without a healthy heartbeat for this long, a minority may elect a coordinator."""

Vote = bool | None | str
"""Whether an instance receives healthy heartbeats; None if it did not answer, "down" if
it is not running."""


class Situation(NamedTuple):
    """What decides whether an instance starts an election."""

    own_member: model.Member
    leadership: directories.Leadership
    """The newest known row of a coordinator."""
    contact: membership.Contact
    started_at: datetime.timedelta
    leadership_changed_at: datetime.timedelta
    """When this instance last received a new coordinator row."""
    election_timeout: datetime.timedelta


class VoteCount(NamedTuple):
    """The votes of the other instances."""

    in_favour: int
    against: int
    unanswered: int
    coordinator_alive: bool
    """Whether the coordinator itself answered that it is healthy."""


def draw_timeout(
    strength: float, strengths: Iterable[float], generator: random.Random
) -> datetime.timedelta:
    """Return a random time without a healthy heartbeat until the next election.

    Parameters
    ----------
    strength : float
        Strength of this instance, see `model.Member`.
    strengths : iterable of float
        Strengths of all members.
    generator : random.Random
    """
    weakness = max(0.0, 1.0 - strength)
    rivals = sum(other >= strength for other in strengths)
    jitter = max(ELECTION_JITTER, ELECTION_JITTER_PER_MEMBER * rivals)
    return (
        membership.HEARTBEAT_TIMEOUT
        + WEAK_INSTANCE_DELAY * weakness
        + jitter * generator.random()
    )


def is_due(situation: Situation, now: datetime.timedelta) -> bool:
    """Whether an instance that reaches the store should start an election."""
    own_member, leadership, contact = situation[:3]
    jitter = situation.election_timeout - membership.HEARTBEAT_TIMEOUT
    if not leadership.version:
        # All instances may be starting now; the strongest start elections first.
        weakness = max(0.0, 2.0 - own_member.strength)
        return now - situation.started_at >= jitter + weakness * ELECTION_JITTER
    if leadership.node == own_member.node:
        # An earlier incarnation of this instance was the coordinator.
        if leadership.incarnation != own_member.incarnation:
            return True
        # This instance ended its term, and the row of its successor may be lost.
        return now - contact.healthy_heartbeat_at > situation.election_timeout
    # A newly elected coordinator needs time for its first heartbeats.
    since = max(contact.healthy_heartbeat_at, situation.leadership_changed_at)
    if (
        now - contact.heartbeat_at < membership.DIRECT_READ_TIMEOUT
        and not contact.coordinator_healthy
    ):
        return now - since > jitter + STORE_LOSS_TIMEOUT
    return now - since > situation.election_timeout


def count_votes(votes: Mapping[str, Vote], coordinator: str) -> VoteCount:
    """Return the count of the votes by node.

    Instances that refuse connections are not running and do not count.
    """
    answers = list(votes.values())
    return VoteCount(
        answers.count(False),
        answers.count(True),
        answers.count(None),
        # Established links may be broken while new connections reach the coordinator.
        votes.get(coordinator) is True,
    )


def is_elected(
    votes: VoteCount, contact: membership.Contact, now: datetime.timedelta
) -> bool:
    """Whether these votes elect the instance that asked for them."""
    if votes.coordinator_alive:
        return False
    voters = 1 + votes.unanswered + votes.in_favour + votes.against
    if 2 * (votes.in_favour + 1) > voters:
        return True
    return now - contact.healthy_heartbeat_at > MINORITY_ELECTION_TIMEOUT
