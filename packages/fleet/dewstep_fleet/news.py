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
    loss_reports,
    member_links,
    model,
    move_changes,
    ranges,
    roles,
    row_changes,
)

NEWS_INTERVAL_PER_MEMBER = datetime.timedelta(microseconds=300)
"""Minimum interval between news in proportion to the members, to each of which news are
sent: 60 ms with 200. Changes in between are sent together."""
PAUSE = datetime.timedelta(milliseconds=20)
"""Time after which it is checked again whether links have sent the last news."""
MAX_PAUSE = datetime.timedelta(milliseconds=500)
"""Longest time without news because of links that send slowly or not at all."""


class News:
    """The rows that this instance sends to the members, and those that it receives.

    Parameters
    ----------
    role : roles.Role
    directory : directories.Directory
    clock : clocks.Clock
    members : member_links.MemberLinks
    losses : loss_reports.LossReports
    is_healthy : callable
        Whether this coordinator should keep its term.
    """

    def __init__(
        self,
        role: roles.Role,
        directory: directories.Directory,
        clock: clocks.Clock,
        members: member_links.MemberLinks,
        losses: loss_reports.LossReports,
        is_healthy: Callable[[], bool],
    ):
        self.role = role
        self.directory = directory
        self.clock = clock
        self.members = members
        self.losses = losses
        self.is_healthy = is_healthy
        self.synchronised: dict[str, bool] = {}
        """Members that have received all rows of before, and whether they accept
        changes of rows."""
        self.changed: dict[tuple[str, str], model.StoredRow] = {}
        """Changed rows for the next news, by table and key."""
        self.announced: dict[tuple[str, str], model.StoredRow] = {}
        """Rows as of the last news."""
        self.announced_moves: frozenset[frames.Span] = frozenset()
        """Ranges that were being moved as of the last news."""
        self.accepting_moves: set[str] = set()
        """Members that accept changes of moves."""
        self.last_sent_at = clock.monotonic()
        self.scheduled = False
        self.applying_relayed_rows = False
        """Whether the rows being applied came from the coordinator."""
        self.source: links.Link | None = None
        """Link to a coordinator that has sent all rows which it knew at first."""

    def begin_term(self) -> None:
        """Start to announce changes of the rows that are known now."""
        self.announced = dict(self.directory.rows)
        self.announced_moves = frozenset(move_changes.list_spans(self.directory.moving))

    def end_term(self) -> None:
        """Discard what has not been sent."""
        self.synchronised.clear()
        self.accepting_moves.clear()
        self.changed.clear()
        self.announced.clear()

    def forget_member(self, node: str) -> None:
        """Forget what a member has received over a link that has closed."""
        self.synchronised.pop(node, None)
        self.accepting_moves.discard(node)

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
        now = self.clock.monotonic()
        if self.has_unsent() and now - self.last_sent_at < MAX_PAUSE:
            # Changes that are sent together take fewer bytes.
            self.scheduled = True
            asyncio.get_running_loop().call_later(PAUSE.total_seconds(), self._send)
            return
        self.last_sent_at = now
        rows, changes = self.take()
        moves = move_changes.compare(self.announced_moves, self.directory.moving)
        self.announced_moves = frozenset(move_changes.list_spans(self.directory.moving))
        encoded: dict[tuple[bool, bool], bytes] = {}
        for node, link in list(self.members.links.items()):
            # Other members still ask for all rows, and get the newest ones.
            if node not in self.synchronised:
                continue
            accepted = self.synchronised[node], node in self.accepting_moves
            if accepted not in encoded:
                # Most members get the same message.
                frame = self.build_accepted(rows, changes, moves, *accepted)
                encoded[accepted] = frames.encode(frame)
            if not link.send_encoded(encoded[accepted], "rows"):
                self.members.drop(link)

    def has_unsent(self) -> bool:
        """Whether most links have not sent the last news yet."""
        links_known = self.members.links.values()
        waiting = sum(link.count_unsent_bytes() > 0 for link in links_known)
        return 2 * waiting > len(links_known)

    def has_unannounced_moves(self) -> bool:
        """Whether moves have begun or ended since the last news."""
        changes = move_changes.compare(self.announced_moves, self.directory.moving)
        return changes != move_changes.MoveChanges()

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
            moving=move_changes.list_spans(self.directory.moving),
            heartbeat_ms=frames.to_milliseconds(self.clock.monotonic()),
        )

    def build_accepted(
        self,
        rows: tuple[model.StoredRow, ...],
        changes: tuple[row_changes.RowChange, ...],
        moves: move_changes.MoveChanges,
        accepts_changes: bool,
        accepts_moves: bool,
    ) -> frames.Frame:
        """Return news as a member accepts them; earlier versions need whole values."""
        if not accepts_changes:
            changed = tuple(self.announced[item.table, item.key] for item in changes)
            rows, changes = pack_rows((*rows, *changed)), ()
        frame = self.build(rows, changes)
        if not accepts_moves:
            return frame
        return frame._replace(
            moves_kept=True, moving=(), begun=moves.begun, ended=moves.ended
        )

    def answer_versions(self, link: links.Link, frame: frames.Frame) -> None:
        """Send a member all rows that are newer than its own."""
        if not self.members.is_from_member(link, frame):
            return
        self.synchronised[frame.node] = frame.accepts_changes
        if frame.accepts_moves:
            self.accepting_moves.add(frame.node)
        rows = self.directory.list_newer(frame.versions)
        if not frame.accepts_changes:
            rows = pack_rows(rows)
        # The next changes of moves are relative to the last news.
        moving = tuple(sorted(self.announced_moves))
        crashes, departures = self.losses.list_known()
        link.send(
            self.build(rows)._replace(
                moving=moving, crashes=crashes, departures=departures
            )
        )

    # Receiving.

    def receive_greeting(self, link: links.Link, frame: frames.Frame) -> None:
        """Ask a coordinator that has connected for its rows."""
        if self.role.is_current(link, frame):
            self.request_rows(link)

    def request_rows(self, link: links.Link) -> None:
        """Ask the coordinator for all rows that are newer than the known ones."""
        versions = self.directory.list_versions()
        link.send(
            self.role.build_frame(
                "versions", versions=versions, accepts_changes=True, accepts_moves=True
            )
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
        self.losses.receive_known(frame, self.clock.monotonic())
        self.source = link
        if misfits:
            events.info("rows_requested", node=frame.node, rows=misfits)
            self.request_rows(link)

    def record_complete(
        self, link: links.Link, frame: frames.Frame, sent_at: datetime.timedelta
    ) -> None:
        """Record that this instance had all rows when the coordinator sent a message.

        The coordinator must have reached the store, and sent all rows over this link.
        """
        if link is self.source and frame.contact and frame.reads_evacuations:
            self.directory.evacuations.record_complete(sent_at)

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


def apply_moves(directory: directories.Directory, frame: frames.Frame) -> None:
    """Apply the ranges that the coordinator is moving, or their changes."""
    if frame.moves_kept:
        changes = move_changes.MoveChanges(frame.begun, frame.ended)
        moving = move_changes.apply(directory.moving, changes)
    else:
        moving = move_changes.group_spans(frame.moving)
    if moving != directory.moving:
        directory.moving = moving
        directory.notify_waiters()
