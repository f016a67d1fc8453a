"""The members of which this instance needs a majority, and the row that names them.

The coordinator writes the quorum when the members have changed or when one of them is
gone (see `quorums`). While the outcome of a write is unknown, it needs a majority of
both sets.
"""

import datetime
from collections.abc import Callable, Set

from returns import result

from dewstep_core import events, tasks
from dewstep_fleet import (
    directories,
    feeds,
    member_presence,
    model,
    quorums,
    roles,
    terms,
)

OBSERVATION_INTERVAL = datetime.timedelta(milliseconds=500)
"""Interval at which all members are compared with those that report."""


class QuorumWriter:
    """The quorum as this instance counts it.

    Parameters
    ----------
    role : roles.Role
    directory : directories.Directory
    table_feeds : feeds.TableFeeds
    store : model.Store
    task_owner : tasks.TaskOwner
    is_adopted : callable
        Whether the previous coordinator cannot lead without the store any more.
    get_term_version : callable
        Returns the version of the row of this instance's term.
    now : datetime.timedelta
    """

    def __init__(
        self,
        role: roles.Role,
        directory: directories.Directory,
        table_feeds: feeds.TableFeeds,
        store: model.Store,
        task_owner: tasks.TaskOwner,
        is_adopted: Callable[[], bool],
        get_term_version: Callable[[], int],
        now: datetime.timedelta,
    ):
        self.role = role
        self.directory = directory
        self.table_feeds = table_feeds
        self.store = store
        self.tasks = task_owner
        self.is_adopted = is_adopted
        self.get_term_version = get_term_version
        self.presence = member_presence.Presence()
        self.proposed: frozenset[str] | None = None
        """Members of a quorum that this coordinator has perhaps written."""
        self.writing = False
        self.next_write = now
        self.next_observation = now

    def reset(self) -> None:
        """Discard the state of an earlier term."""
        self.proposed = None
        self.presence.reset()

    def list_members(self) -> frozenset[str]:
        """Return the nodes of all known members, including this one."""
        return frozenset({*self.directory.members, self.role.own_member.node})

    def observe_if_due(
        self, list_reporting: Callable[[], Set[str]], now: datetime.timedelta
    ) -> None:
        """Record regularly which members report to this coordinator.

        Parameters
        ----------
        list_reporting : callable
            Returns the nodes that report, including this one.
        now : datetime.timedelta
        """
        if now >= self.next_observation:
            self.next_observation = now + OBSERVATION_INTERVAL
            members = self.directory.members.values()
            self.presence.observe(members, list_reporting(), now)

    def list_present(self, now: datetime.timedelta) -> frozenset[str]:
        """Return the members that are not gone, including this one."""
        gone = self.presence.list_silent(member_presence.LOSS_TIMEOUT, now)
        return self.list_members() - gone

    def list_quorums(self) -> list[frozenset[str]]:
        """Return each set of members of which a majority is needed.

        There are two while the outcome of the last change is unknown.
        """
        known = self.directory.quorum.nodes or self.list_members()
        if self.proposed is None:
            return [known]
        return [known, self.proposed]

    def is_majority(self, nodes: Set[str]) -> bool:
        """Whether nodes include more than half of the members that count."""
        return all(
            quorums.is_majority(nodes, members) for members in self.list_quorums()
        )

    def is_half(self, nodes: Set[str]) -> bool:
        """Whether nodes include at least half of the members that count."""
        return all(quorums.is_half(nodes, members) for members in self.list_quorums())

    def keep(self, now: datetime.timedelta) -> None:
        """Write the quorum if it is not the members that are present.

        Until this term is adopted, an earlier coordinator may lead by a majority of the
        previous quorum. Afterwards, members that are only cut off can be left out: none
        of them leads by a majority, and they elect nobody without the store.
        """
        quorum = self.directory.quorum
        if quorum.stored and self.proposed == quorum.nodes:
            self.proposed = None
        if (
            self.writing
            or now < self.next_write
            or not self.is_adopted()
            or not self.table_feeds.is_current()
            or (quorum.stored and self.list_present(now) == quorum.nodes)
        ):
            return
        self.writing = True
        self.next_write = now + terms.TERM_CONFIRMATION_INTERVAL
        self.tasks.spawn(self.write(self.list_present(now)))

    async def write(self, present: frozenset[str]) -> None:
        """Let the present members count in majorities.

        After an unknown outcome, the same members are written again, since majorities
        of more than two sets would be needed otherwise.
        """
        try:
            quorum = self.directory.quorum
            nodes = self.proposed or present
            self.proposed = nodes
            value = quorums.encode(nodes, quorum.number + 1)
            outcome = await self.store.commit(
                {
                    directories.COORDINATOR_KEY: self.get_term_version(),
                    directories.QUORUM_KEY: quorum.version,
                },
                {directories.QUORUM_KEY: value},
            )
            if isinstance(outcome, result.Failure):
                events.warning("quorum_unwritten", failure=outcome.failure())
                return
            self.directory.apply_written_row(
                directories.QUORUM_KEY, outcome.unwrap(), value
            )
            events.info("quorum_changed", term=self.role.term, members=len(nodes))
        finally:
            self.writing = False
