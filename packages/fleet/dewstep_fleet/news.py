"""News of changed rows, which the coordinator sends to the members.

A new link is synchronised first: the member names the versions of its rows, and gets
those that are newer. After that, it gets the rows that change, or only what has changed
in them. A member whose row such a change does not fit asks for the rows again.
"""

import asyncio
import datetime
from collections.abc import Callable, Iterable

from dewstep_core import clocks, events
from dewstep_fleet import (
    directories,
    frames,
    links,
    member_links,
    model,
    ranges,
    roles,
    row_changes,
)

NEWS_INTERVAL_PER_MEMBER = datetime.timedelta(microseconds=100)
"""Minimum interval between news in proportion to the members, to each of which news are
sent: 20 ms with 200. Changes in between are sent together."""


class News:
    """The rows that this instance sends to the members, and those that it receives.

    Parameters
    ----------
    role : roles.Role
    directory : directories.Directory
    clock : clocks.Clock
    members : member_links.MemberLinks
    is_healthy : callable
        Whether this coordinator should keep its term.
    """

    def __init__(
        self,
        role: roles.Role,
        directory: directories.Directory,
        clock: clocks.Clock,
        members: member_links.MemberLinks,
        is_healthy: Callable[[], bool],
    ):
        self.role = role
        self.directory = directory
        self.clock = clock
        self.members = members
        self.is_healthy = is_healthy
        self.synchronised: dict[str, bool] = {}
        """Members that have received all rows of before, and whether they accept
        changes of rows."""
        self.changed: dict[tuple[str, str], model.StoredRow] = {}
        """Changed rows for the next news, by table and key."""
        self.announced: dict[tuple[str, str], model.StoredRow] = {}
        """Rows as of the last news."""
        self.last_sent_at = clock.monotonic()
        self.scheduled = False
        self.applying_relayed_rows = False
        """Whether the rows being applied came from the coordinator."""

    def begin_term(self) -> None:
        """Start to announce changes of the rows that are known now."""
        self.announced = dict(self.directory.rows)

    def end_term(self) -> None:
        """Discard what has not been sent."""
        self.synchronised.clear()
        self.changed.clear()
        self.announced.clear()

    # Sending.

    def add_rows(self, changed_rows: Iterable[model.StoredRow]) -> None:
        """Send changed rows with the next news."""
        self.changed.update({(row.table, row.key): row for row in changed_rows})
        self.schedule()

    def schedule(self) -> None:
        """Schedule news for the event loop's next iteration, or a little later."""
        if not self.role.coordinating or self.scheduled:
            return
        self.scheduled = True
        next_at = self.last_sent_at + NEWS_INTERVAL_PER_MEMBER * len(self.members.links)
        wait_s = (next_at - self.clock.monotonic()).total_seconds()
        asyncio.get_running_loop().call_later(max(wait_s, 0.0), self._send)

    def _send(self) -> None:
        """Send the changed rows and the moves to all members."""
        self.scheduled = False
        if not self.role.coordinating:
            return
        self.last_sent_at = self.clock.monotonic()
        rows, changes = self.take()
        with_changes = frames.encode(self.build(rows, changes))
        whole = with_changes
        if changes and not all(self.synchronised.values()):
            changed = tuple(self.announced[item.table, item.key] for item in changes)
            whole = frames.encode(self.build(pack_rows((*rows, *changed))))
        for node, link in list(self.members.links.items()):
            # Other members still ask for all rows, and get the newest ones.
            if node in self.synchronised and not link.send_encoded(
                with_changes if self.synchronised[node] else whole
            ):
                self.members.drop(link)

    def take(
        self,
    ) -> tuple[tuple[model.StoredRow, ...], tuple[row_changes.RowChange, ...]]:
        """Return the rows of the next news, some of them as changes."""
        rows, changes = [], []
        for row_key, row in self.changed.items():
            base = self.announced.get(row_key)
            change = row_changes.build_change(base, row) if base is not None else None
            if change is None:
                rows.append(row)
            else:
                changes.append(change)
            self.announced[row_key] = row
        self.changed.clear()
        return tuple(rows), tuple(changes)

    def build(
        self,
        rows: tuple[model.StoredRow, ...],
        changes: tuple[row_changes.RowChange, ...] = (),
    ) -> frames.Frame:
        """Return a message with changed rows and the ranges that are being moved."""
        return self.role.build_frame(
            "rows",
            contact=self.is_healthy(),
            stopping=self.role.stopping,
            rows=rows,
            changes=changes,
            moving=list_moving(self.directory),
        )

    def answer_versions(self, link: links.Link, frame: frames.Frame) -> None:
        """Send a member all rows that are newer than its own."""
        if not self.members.is_from_member(link, frame):
            return
        self.synchronised[frame.node] = frame.accepts_changes
        rows = self.directory.list_newer(frame.versions)
        if not frame.accepts_changes:
            rows = pack_rows(rows)
        link.send(self.build(rows))

    # Receiving.

    def receive_greeting(self, link: links.Link, frame: frames.Frame) -> None:
        """Ask a coordinator that has connected for its rows."""
        if self.role.is_current(link, frame):
            self.request_rows(link)

    def request_rows(self, link: links.Link) -> None:
        """Ask the coordinator for all rows that are newer than the known ones."""
        versions = self.directory.list_versions()
        link.send(
            self.role.build_frame("versions", versions=versions, accepts_changes=True)
        )

    def apply(self, link: links.Link, frame: frames.Frame) -> None:
        """Apply changed rows; ask for the rows that a change does not fit."""
        rows = list(frame.rows)
        misfits = []
        for change in frame.changes:
            known = self.directory.rows.get((change.table, change.key))
            if known is not None and known.version >= change.version:
                continue
            row = row_changes.apply_change(known, change)
            if row is None:
                misfits.append(change.key)
            else:
                rows.append(row)
        self.apply_relayed_rows(tuple(rows))
        if misfits:
            events.info("rows_requested", node=frame.node, rows=misfits)
            self.request_rows(link)

    def apply_relayed_rows(self, rows: tuple[model.StoredRow, ...]) -> None:
        """Apply rows received from the coordinator."""
        self.applying_relayed_rows = True
        self.directory.apply_rows(rows, apply_removals=True)
        self.applying_relayed_rows = False


def pack_rows(rows: Iterable[model.StoredRow]) -> tuple[model.StoredRow, ...]:
    """Return rows as the store contains them, which earlier versions expect."""
    return tuple(
        row._replace(value=ranges.pack(row.value))
        if row.key.startswith(directories.RANGES_PREFIX) and row.value is not None
        else row
        for row in rows
    )


def list_moving(directory: directories.Directory) -> tuple[frames.Span, ...]:
    """Return all ranges that are being moved."""
    return tuple(
        frames.Span(service, first, last)
        for service, spans in directory.moving.items()
        for first, last in spans
    )


def apply_moving(
    directory: directories.Directory, moved: tuple[frames.Span, ...]
) -> None:
    """Apply all ranges that the coordinator is moving."""
    moving: dict[str, tuple[tuple[int, int], ...]] = {}
    for span in moved:
        spans = moving.get(span.service, ())
        moving[span.service] = (*spans, (span.first, span.last))
    if moving != directory.moving:
        directory.moving = moving
        directory.notify_waiters()
