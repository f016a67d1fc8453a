"""Questions whether the known configuration is the newest, and their answers.

A member that needs to know asks the coordinator (see `configuration_checks`), which
follows the store and answers with the rows that the member lacks.
"""

import datetime
from collections.abc import Callable

from dewstep_core import clocks
from dewstep_fleet import (
    configuration_checks,
    directories,
    feeds,
    frames,
    links,
    membership,
    model,
    roles,
)


class ConfigurationQuestions:
    """The questions of this instance and those of others to it.

    Parameters
    ----------
    role : roles.Role
    own_membership : membership.Membership
    directory : directories.Directory
    table_feeds : feeds.TableFeeds
    clock : clocks.Clock
    apply_relayed_rows : callable
        Applies rows received from the coordinator.
    """

    def __init__(
        self,
        role: roles.Role,
        own_membership: membership.Membership,
        directory: directories.Directory,
        table_feeds: feeds.TableFeeds,
        clock: clocks.Clock,
        apply_relayed_rows: Callable[[tuple[model.StoredRow, ...]], None],
    ):
        self.role = role
        self.membership = own_membership
        self.directory = directory
        self.clock = clock
        self.apply_relayed_rows = apply_relayed_rows
        self.checks = configuration_checks.ConfigurationChecks(
            clock,
            directory,
            lambda: table_feeds.complete_at.get(model.TABLES.configuration),
            self._ask,
        )

    def _ask(self) -> None:
        """Ask the coordinator whether the known configuration is the newest."""
        link = self.membership.coordinator_link
        if self.role.coordinating or link is None:
            return
        versions = tuple(
            (frames.hash_row_key(row), row.version)
            for row in self.directory.list_table(model.TABLES.configuration)
        )
        now = self.clock.monotonic()
        link.send(
            self.role.build_frame(
                "confirm", versions=versions, asked_ms=frames.to_milliseconds(now)
            )
        )

    def answer(self, link: links.Link, frame: frames.Frame) -> None:
        """Answer with newer rows, unless it is not known what the newest are."""
        age = self.checks.get_age()
        if age is None:
            return
        versions = dict(frame.versions)
        rows = tuple(
            row
            for row in self.directory.list_table(model.TABLES.configuration)
            if versions.get(frames.hash_row_key(row), -1) < row.version
        )
        link.send(
            self.role.build_frame(
                "confirmed",
                rows=rows,
                asked_ms=frame.asked_ms,
                age_ms=frames.round_up(age),
            )
        )

    def receive_answer(self, link: links.Link, frame: frames.Frame) -> None:
        """Apply the rows of an answer, and record what it covers."""
        self.apply_relayed_rows(frame.rows)
        self.checks.apply_answer(
            datetime.timedelta(milliseconds=frame.asked_ms),
            datetime.timedelta(milliseconds=frame.age_ms),
        )
