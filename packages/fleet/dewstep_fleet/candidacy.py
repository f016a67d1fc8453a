"""Elections in which this instance is a candidate.

A row of the store names the coordinator. A candidate asks the others for their votes
and then replaces the row in a transaction that expects the row of before, so that of
several candidates one succeeds. The rules are in `elections`.
"""

import asyncio
import datetime
import random
from collections.abc import Callable

from returns import result

from dewstep_core import clocks, events, tasks
from dewstep_fleet import (
    directories,
    elections,
    feeds,
    followers,
    membership,
    model,
    quorum_writes,
    quorums,
    roles,
    votes,
)


class Candidacy:
    """When and how this instance tries to become the coordinator.

    Parameters
    ----------
    role : roles.Role
    own_membership : membership.Membership
    own_votes : votes.Votes
    quorum_writer : quorum_writes.QuorumWriter
    directory : directories.Directory
    table_feeds : feeds.TableFeeds
    store : model.Store
    clock : clocks.Clock
    generator : random.Random
    task_owner : tasks.TaskOwner
    is_cut_off : callable
        Whether this instance reaches no targets, so that it could grant no keys.
    knows_last_term : callable
        Called with the current term; whether this instance led it and knows all owners.
    start_if_elected : callable
        Called without arguments after the row was written or read.
    """

    def __init__(
        self,
        role: roles.Role,
        own_membership: membership.Membership,
        own_votes: votes.Votes,
        quorum_writer: quorum_writes.QuorumWriter,
        directory: directories.Directory,
        table_feeds: feeds.TableFeeds,
        store: model.Store,
        clock: clocks.Clock,
        generator: random.Random,
        task_owner: tasks.TaskOwner,
        is_cut_off: Callable[[], bool],
        knows_last_term: Callable[[int], bool],
        start_if_elected: Callable[[], None],
    ):
        self.role = role
        self.membership = own_membership
        self.votes = own_votes
        self.quorum_writer = quorum_writer
        self.directory = directory
        self.table_feeds = table_feeds
        self.store = store
        self.clock = clock
        self.random = generator
        self.tasks = task_owner
        self.is_cut_off = is_cut_off
        self.knows_last_term = knows_last_term
        self.start_if_elected = start_if_elected
        self.started_at = clock.monotonic()
        self.leadership_changed_at = self.started_at
        """When this instance last received a new coordinator row."""
        self.election_timeout = self.draw_timeout()
        self.electing = False
        self.claimed_at: datetime.timedelta | None = None
        """When the last answered claim of a term was sent, until the term begins."""

    def draw_timeout(self) -> datetime.timedelta:
        """Return a random time without a healthy heartbeat until the next election."""
        strengths = [member.strength for member in self.directory.members.values()]
        return elections.draw_timeout(
            self.role.own_member.strength, strengths, self.random
        )

    def redraw_timeout(self) -> None:
        """Choose another time-out, for example as the size of the fleet is known."""
        self.election_timeout = self.draw_timeout()

    def take_claim_time(self) -> datetime.timedelta | None:
        """Return when the term was claimed that begins now; None if unknown."""
        claimed_at, self.claimed_at = self.claimed_at, None
        return claimed_at

    def stand_if_due(self, now: datetime.timedelta) -> None:
        """Start an election if one is due."""
        if not self.electing and not self.role.stopping and self.should_start(now):
            self.electing = True
            self.tasks.spawn(self.run())

    def should_start(self, now: datetime.timedelta) -> bool:
        """Whether this instance should start an election."""
        if not self.table_feeds.has_recent_answer(followers.STORE_ANSWER_MAX_AGE):
            return False
        if model.TABLES.fleet not in self.table_feeds.current_tables:
            return False
        if self.is_cut_off():
            # As a coordinator, it could grant no keys.
            return False
        if self.lost_own_row():
            return True
        situation = elections.Situation(
            self.role.own_member,
            self.directory.leadership,
            self.membership.contact,
            self.started_at,
            self.leadership_changed_at,
            self.election_timeout,
        )
        return elections.is_due(situation, now)

    def lost_own_row(self) -> bool:
        """Whether the row of this instance's term was lost in a restore.

        Any other instance would have to wait for the grants of this term.
        """
        term = self.role.term
        return self.directory.leadership.term < term and self.knows_last_term(term)

    async def run(self) -> None:
        """Become the coordinator if most instances receive no healthy heartbeat."""
        try:
            leadership = self.directory.leadership
            vacant = (
                not leadership.version
                or leadership.node == self.role.own_member.node
                or self.lost_own_row()
            )
            if not vacant and not await self.collect_votes():
                return
            if not vacant and membership.has_healthy_coordinator(
                self.membership.contact, self.clock.monotonic()
            ):
                return
            if leadership != self.directory.leadership:
                # Another instance was elected meanwhile; the votes do not concern it.
                return
            await self.claim_leadership(leadership)
        finally:
            self.redraw_timeout()
            self.electing = False

    async def collect_votes(self) -> bool:
        """Ask all other instances for a vote; return whether they elect this one."""
        others = [
            member
            for member in self.directory.members.values()
            if member.node != self.role.own_member.node
        ]
        self.votes.begin_election()
        answers = await asyncio.gather(
            *(self.votes.request(member) for member in others)
        )
        nodes = [member.node for member in others]
        counted = elections.count_votes(
            dict(zip(nodes, answers, strict=True)), self.directory.leadership.node
        )
        events.info(
            "votes",
            missing=counted.in_favour,
            heard=counted.against,
            silent=counted.unanswered,
            alive=counted.coordinator_alive,
        )
        return elections.is_elected(
            counted, self.membership.contact, self.clock.monotonic()
        )

    async def claim_leadership(self, leadership: directories.Leadership) -> None:
        """Replace the coordinator's row if it has not changed."""
        # A restored store may have lost the row of a later term.
        term = max(leadership.term, self.role.term) + 1
        own_member = self.role.own_member
        record = directories.Leadership(
            own_member.node, own_member.incarnation, term, 0
        )
        value = directories.encode_record(record)
        quorum = self.directory.quorum
        writes = {directories.COORDINATOR_KEY: value}
        if not quorum.stored:
            writes[directories.QUORUM_KEY] = quorums.encode(
                quorum.nodes or self.quorum_writer.list_members(), quorum.number + 1
            )
        began = self.clock.monotonic()
        outcome = await self.store.commit(
            {
                directories.COORDINATOR_KEY: leadership.version,
                directories.QUORUM_KEY: quorum.version,
            },
            writes,
        )
        if isinstance(outcome, result.Success):
            self.claimed_at = began
            # The term begins when the coordinator's row is applied.
            for key, written in reversed(writes.items()):
                self.directory.apply_written_row(key, outcome.unwrap(), written)
        else:
            events.info("claim_failed", failure=outcome.failure())
            if not await feeds.read_fleet_table(self.store, self.directory):
                return
        self.start_if_elected()
