"""The terms in which this instance is the coordinator: how they begin and end.

A term begins when the row that names this incarnation is applied. It ends when the
granter is deposed or fails, or when a message shows that there is a newer term.
"""

import asyncio
import datetime
from collections.abc import Callable

from dewstep_core import clocks, events
from dewstep_fleet import (
    directories,
    feeds,
    followers,
    frames,
    granting,
    member_links,
    membership,
    model,
    news,
    permit_questions,
    quorum_writes,
    roles,
    votes,
)


class Tenure:
    """Starts and ends the work of this instance as the coordinator.

    Parameters
    ----------
    role : roles.Role
    own_membership : membership.Membership
    own_followers : followers.Followers
    own_votes : votes.Votes
    quorum_writer : quorum_writes.QuorumWriter
    members : member_links.MemberLinks
    row_news : news.News
    questions : permit_questions.PermitQuestions
    granter : granting.Granter
    directory : directories.Directory
    table_feeds : feeds.TableFeeds
    clock : clocks.Clock
    take_claim_time : callable
        Returns when the term was claimed that begins now, or None.
    """

    def __init__(
        self,
        role: roles.Role,
        own_membership: membership.Membership,
        own_followers: followers.Followers,
        own_votes: votes.Votes,
        quorum_writer: quorum_writes.QuorumWriter,
        members: member_links.MemberLinks,
        row_news: news.News,
        questions: permit_questions.PermitQuestions,
        granter: granting.Granter,
        directory: directories.Directory,
        table_feeds: feeds.TableFeeds,
        clock: clocks.Clock,
        take_claim_time: Callable[[], datetime.timedelta | None],
    ):
        self.role = role
        self.membership = own_membership
        self.followers = own_followers
        self.votes = own_votes
        self.quorum_writer = quorum_writer
        self.members = members
        self.news = row_news
        self.permit_questions = questions
        self.granter = granter
        self.directory = directory
        self.table_feeds = table_feeds
        self.clock = clock
        self.take_claim_time = take_claim_time
        self.granter_task: asyncio.Task | None = None

    def cancel(self) -> None:
        """Stop granting without a new role, as this instance ends."""
        if self.granter_task is not None:
            self.granter_task.cancel()

    def knows_owners_of(self, term: int) -> bool:
        """Whether this instance led a term and knows all owners."""
        return term == self.granter.leadership.term and self.granter.knows_owners()

    def start_if_elected(self) -> None:
        """Start to coordinate if the row names this incarnation."""
        current = self.directory.leadership
        is_named = current.incarnation == self.role.own_member.incarnation
        if (
            not is_named
            or self.role.coordinating
            or current.term < self.role.term
            or self.role.stopping
        ):
            return
        now = self.clock.monotonic()
        heartbeat_age = now - self.membership.contact.heartbeat_at
        self.role.term = current.term
        self.role.coordinating = True
        self.role.deputy = False
        self.membership.restart(now)
        self.membership.coordinator_link = None
        self.followers.reports.clear()
        self.permit_questions.reset()
        self.quorum_writer.reset()
        self.news.begin_term()
        self.table_feeds.follow(frozenset(model.TABLES), relays=True)
        claimed_at = self.take_claim_time()
        self.granter_task = asyncio.ensure_future(self.granter.run(claimed_at))
        events.info(
            "coordinating",
            term=self.role.term,
            informants=len(self.votes.known.informants),
            heartbeat_age=heartbeat_age,
            long_grants_left=self.votes.get_inherited_grant_time_left(),
        )

    def end_if_deposed(self) -> bool:
        """Step down if the granter has returned or failed; return whether it has."""
        if not self.granter_task.done():
            return False
        error = self.granter_task.exception()
        if error is not None:
            task = self.granter_task.get_coro().__qualname__
            events.exception("granting_failed", error, task=task)
        self.step_down("deposed" if error is None else type(error).__name__)
        return True

    def step_down(self, reason: str) -> None:
        """Stop coordinating."""
        now = self.clock.monotonic()
        self.votes.end_term(now)
        self.role.coordinating = False
        self.granter_task.cancel()
        self.membership.restart(now)
        self.members.close_member_links()
        self.news.end_term()
        self.membership.live_instances = max(1, len(self.directory.members))
        events.warning("coordination_ended", term=self.role.term, reason=reason)

    def adopt_newer_term(self, frame: frames.Frame) -> None:
        """Record a newer term, and step down if coordinating."""
        if self.role.coordinating:
            self.step_down(f"term {frame.term} of another coordinator")
        # The newest known coordinator row may still be that of this instance's own
        # term.
        self.role.term = frame.term
