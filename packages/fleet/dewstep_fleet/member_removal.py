"""Removes the rows of members that are gone for good.

Otherwise the rows of a fleet grow with each machine that is replaced. The coordinator
removes them long after the quorum has left such members out, and only while most of
the registered members follow it. A removed member that runs registers again once it
reads this (see `registration`).
"""

import datetime
from collections.abc import Callable, Set

from returns import result

from dewstep_core import events, tasks
from dewstep_fleet import directories, model, quorum_writes, quorums, roles

REMOVAL_TIMEOUT = datetime.timedelta(seconds=60)
"""Rows of members that have been silent for this long are removed. Partitions of single
instances are usually shorter, and each return costs a further write."""
CHECK_INTERVAL = datetime.timedelta(seconds=5)
MAX_REMOVALS = 50
"""Rows in one transaction, of which the store accepts 100."""


class MemberRemoval:
    """Removes the rows of members while this instance is the coordinator.

    Parameters
    ----------
    role : roles.Role
    directory : directories.Directory
    store : model.Store
    quorum_writer : quorum_writes.QuorumWriter
    task_owner : tasks.TaskOwner
    list_followers : callable
        Returns the nodes that report to this coordinator, including its own.
    now : datetime.timedelta
    """

    def __init__(
        self,
        role: roles.Role,
        directory: directories.Directory,
        store: model.Store,
        quorum_writer: quorum_writes.QuorumWriter,
        task_owner: tasks.TaskOwner,
        list_followers: Callable[[], Set[str]],
        now: datetime.timedelta,
    ):
        self.role = role
        self.directory = directory
        self.store = store
        self.quorum_writer = quorum_writer
        self.tasks = task_owner
        self.list_followers = list_followers
        self.next_check = now

    def remove_if_due(self, now: datetime.timedelta) -> None:
        """Start to remove the rows of members that have been silent for long."""
        if now < self.next_check:
            return
        self.next_check = now + CHECK_INTERVAL
        gone = self.list_gone(now)
        if gone:
            self.tasks.spawn(self.remove(gone))

    def list_gone(self, now: datetime.timedelta) -> list[str]:
        """Return the members whose rows may be removed."""
        members = self.quorum_writer.list_members()
        if not quorums.is_majority(self.list_followers(), members):
            return []
        silent = self.quorum_writer.presence.list_silent(REMOVAL_TIMEOUT, now)
        counted = frozenset().union(*self.quorum_writer.list_quorums())
        return sorted(silent - counted)[:MAX_REMOVALS]

    async def remove(self, nodes: list[str]) -> None:
        """Remove the rows of members unless these have registered again."""
        keys = [directories.MEMBER_PREFIX + node for node in nodes]
        versions = {
            key: row.version
            for key in keys
            if (row := self.directory.rows.get((model.TABLES.fleet, key))) is not None
        }
        outcome = await self.store.commit(
            {
                directories.COORDINATOR_KEY: self.quorum_writer.get_term_version(),
                **versions,
            },
            dict.fromkeys(versions),
        )
        if isinstance(outcome, result.Failure):
            events.warning("members_kept", failure=outcome.failure())
            return
        events.info("members_removed", term=self.role.term, nodes=nodes)
        self.directory.apply_rows(
            model.StoredRow(model.TABLES.fleet, key, outcome.unwrap(), None)
            for key in versions
        )
