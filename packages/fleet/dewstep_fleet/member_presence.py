"""Which members have been silent for so long that they count as gone.

A machine may be removed for good without notice. Its row would count in all later
majorities, and a fleet whose machines are replaced one after the other would need a
majority of machines that do not exist any more.
"""

import datetime
from collections.abc import Collection, Iterable

from dewstep_fleet import model

LOSS_TIMEOUT = datetime.timedelta(seconds=5)
"""A member that has not reported for this long counts as gone; a restart takes 3 s."""


class Presence:
    """How long the members of this coordinator have been silent."""

    def __init__(self):
        self.silent_since: dict[tuple[str, str], datetime.timedelta] = {}
        """When each member that does not report was first found silent, by its node and
        incarnation."""

    def reset(self) -> None:
        """Discard the state of an earlier term."""
        self.silent_since.clear()

    def observe(
        self,
        members: Iterable[model.Member],
        reporting: Collection[str],
        now: datetime.timedelta,
    ) -> None:
        """Record which of the members report now."""
        silent = [
            (member.node, member.incarnation)
            for member in members
            if member.node not in reporting
        ]
        self.silent_since = {key: self.silent_since.get(key, now) for key in silent}

    def list_silent(
        self, duration: datetime.timedelta, now: datetime.timedelta
    ) -> frozenset[str]:
        """Return the nodes of members that have been silent for at least this long."""
        return frozenset(
            node
            for (node, _), since in self.silent_since.items()
            if now - since >= duration
        )
