"""Which members follow this coordinator, and what that allows it to do.

A member follows the coordinator to which it reports. Without the store, a coordinator
leads while most members follow it and none of them reaches the store.
"""

import datetime
from collections.abc import Callable

from dewstep_core import clocks
from dewstep_fleet import feeds, membership, model, quorum_writes, reports, roles

STORE_ANSWER_MAX_AGE = datetime.timedelta(milliseconds=2300)
"""Maximum age of the store's last answer for an instance that reaches the store; a
watch of the fleet's table lasts 1 s."""
STORE_FAILURE_THRESHOLD = datetime.timedelta(milliseconds=500)
"""The store counts as failed after this long, which one lost call does not reach."""


class Followers:
    """The members that report to this coordinator.

    Parameters
    ----------
    role : roles.Role
    quorum_writer : quorum_writes.QuorumWriter
    table_feeds : feeds.TableFeeds
    clock : clocks.Clock
    is_term_confirmed : callable
        Whether the store has recently confirmed the term of this coordinator.
    reaches_targets : callable
        Whether targets answer the orders of this coordinator.
    """

    def __init__(
        self,
        role: roles.Role,
        quorum_writer: quorum_writes.QuorumWriter,
        table_feeds: feeds.TableFeeds,
        clock: clocks.Clock,
        is_term_confirmed: Callable[[], bool],
        reaches_targets: Callable[[], bool],
    ):
        self.role = role
        self.quorum_writer = quorum_writer
        self.table_feeds = table_feeds
        self.clock = clock
        self.is_term_confirmed = is_term_confirmed
        self.reaches_targets = reaches_targets
        self.reports: dict[str, reports.Report] = {}

    def list_recent(self) -> dict[str, reports.Report]:
        """Return the reports that have just been received, by node."""
        return reports.list_recent(self.reports, self.clock.monotonic())

    def list_nodes(self) -> set[str]:
        """Return the nodes that report to this coordinator, including its own."""
        return {*self.list_recent(), self.role.own_member.node}

    def are_majority(self) -> bool:
        """Whether this instance is the coordinator and most instances report to it."""
        return self.role.coordinating and self.quorum_writer.is_majority(
            self.list_nodes()
        )

    def are_half(self) -> bool:
        """Whether at least half of the members have adopted this coordinator's term.

        They reject an earlier coordinator, which the others alone do not let lead.
        """
        return self.quorum_writer.is_half(self.list_nodes())

    def can_lead_without_store(self) -> bool:
        """Whether most instances send reports and none of them reaches the store."""
        return self.are_majority() and not any(
            report.reaches_store for report in self.list_recent().values()
        )

    def can_connect_without_store(self) -> bool:
        """Whether all members send reports and none of them reaches the store.

        Members that send none may have elected another coordinator, also as a minority.
        """
        members = self.quorum_writer.list_members().union(
            *self.quorum_writer.list_quorums()
        )
        return self.can_lead_without_store() and self.list_nodes() >= members

    def know_of_long_grants(self, announcing_since: int | None) -> bool:
        """Whether most members know of long grants sent now.

        They have acknowledged a recent heartbeat that announced such grants. The next
        coordinator asks most members, at least one of which is among them.
        """
        if announcing_since is None or not self.can_lead_without_store():
            return False
        informed = reports.list_informed(
            self.reports, announcing_since, self.clock.monotonic()
        )
        return self.quorum_writer.is_majority({*informed, self.role.own_member.node})

    def get_permit_part(self) -> float:
        """Return the part of each limit that this coordinator may use.

        It is the whole, unless the other instances may follow another coordinator.
        """
        if self.are_majority():
            return 1.0
        return len(self.list_nodes()) / len(self.quorum_writer.list_members())

    # Whether the coordinator should keep its term.

    def is_healthy(self) -> bool:
        """Whether this coordinator should keep its term."""
        return self.is_store_healthy() and not self.should_yield()

    def is_store_healthy(self) -> bool:
        """Whether the store answers, and confirms the term of a coordinator."""
        if self.role.coordinating and not self.is_term_confirmed():
            return False
        failing = self.table_feeds.failing_since
        if (
            failing is not None
            and self.clock.monotonic() - failing > STORE_FAILURE_THRESHOLD
        ):
            return False
        return self.table_feeds.has_recent_answer(STORE_ANSWER_MAX_AGE)

    def should_yield(self) -> bool:
        """Whether targets answer other instances, but no order of this coordinator."""
        return not self.reaches_targets() and any(
            report.reaches_targets
            for node, report in self.list_recent().items()
            if node != self.role.own_member.node
        )


class NeededTables:
    """The tables that this instance follows in the store itself.

    Parameters
    ----------
    role : roles.Role
    own_membership : membership.Membership
    table_feeds : feeds.TableFeeds
    """

    def __init__(
        self,
        role: roles.Role,
        own_membership: membership.Membership,
        table_feeds: feeds.TableFeeds,
    ):
        self.role = role
        self.membership = own_membership
        self.table_feeds = table_feeds
        self.initial_read_done = False
        """Whether all tables have been read at least once."""

    def follow(self, now: datetime.timedelta) -> None:
        """Follow the tables whose changes no other instance sends."""
        coordinating, deputy = self.role.coordinating, self.role.deputy
        tables = membership.choose_tables(
            self.membership.contact, now, coordinating, deputy
        )
        if not self.initial_read_done:
            # Afterwards, a live coordinator sends the changes as soon as it has read
            # the row of this instance.
            self.initial_read_done = self.table_feeds.is_current()
            tables = frozenset(model.TABLES)
        elif not self.role.term:
            tables |= {model.TABLES.fleet}
        self.table_feeds.follow(tables, coordinating or deputy)
