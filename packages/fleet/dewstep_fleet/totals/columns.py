"""The columns of totals in heartbeats: writing by the coordinator, reading by members.

The values are encoded once for a heartbeat, and the rest once for all members that have
received the same targets.
"""

import itertools
import zlib
from collections.abc import Iterable

from dewstep_core import events
from dewstep_fleet import frames, totals
from dewstep_fleet.totals import blocks, link_states

SPARE_TARGETS = 64
"""Numbers of targets without requests are kept up to this many more than there are
registered targets, so that a column is not sent again for each that disappears."""


class SentColumn:
    """The numbered targets of one term.

    Parameters
    ----------
    term : int
    """

    def __init__(self, term: int):
        self.term = term
        self.numbers: dict[int, int] = {}
        self.checksum = 0

    def add(self, counted: Iterable[frames.Total]) -> None:
        """Append the targets that have no number yet."""
        for total in counted:
            if total.target not in self.numbers:
                self.numbers[total.target] = len(self.numbers)
                self.checksum = zlib.crc32(
                    blocks.pack_hashes([total.target]), self.checksum
                )


class ColumnWriter:
    """Encodes the totals of a coordinator's heartbeats."""

    def __init__(self):
        self.column = SentColumn(0)
        self.counted: tuple[frames.Total, ...] = ()
        self.values: bytes | None = None
        """Encoded values of `counted`, once a member needs them."""

    def begin(
        self, term: int, counted: tuple[frames.Total, ...], registered: int
    ) -> None:
        """Prepare the totals of the next heartbeat.

        Parameters
        ----------
        term : int
        counted : tuple of frames.Total
        registered : int
            Number of registered targets.
        """
        bound = max(registered, len(counted)) + SPARE_TARGETS
        if self.column.term != term or len(self.column.numbers) > bound:
            self.column = SentColumn(term)
        self.column.add(counted)
        self.counted, self.values = counted, None

    def count_known(self, state: link_states.LinkState) -> int | None:
        """Return the number of targets that a link has carried.

        It is None if the totals need the earlier form.
        """
        if len(self.column.numbers) > blocks.MAX_TARGETS:
            return None
        return state.sent_targets if state.sent_column is self.column else 0

    def encode(self, known: int) -> bytes:
        """Return the totals for members that have received some of the targets."""
        if self.values is None:
            self.values = blocks.encode_values(self.column.numbers, self.counted)
        added = tuple(self.column.numbers)[known:]
        return blocks.encode_totals(self.column.checksum, known, added, self.values)

    def record_sent(self, state: link_states.LinkState) -> None:
        """Record that a link carries all targets."""
        state.sent_column = self.column
        state.sent_targets = len(self.column.numbers)

    def repeat(self, state: link_states.LinkState) -> None:
        """Send all targets with the next heartbeat on a link."""
        state.sent_column = None


def read(
    state: link_states.LinkState, frame: frames.Frame
) -> tuple[frames.Total, ...] | None:
    """Return the totals of a heartbeat, or None if they do not fit earlier ones."""
    state.accepts_compact = frame.members >= totals.MIN_MEMBERS
    state.reports_compact = frame.compact is not None
    if frame.compact is None:
        state.totals_refused = False
        return frame.totals
    block: blocks.TotalsBlock = frame.compact
    hashes, checksum = (), 0
    if block.known:
        hashes, checksum = state.received_hashes, state.received_checksum
    if block.added:
        hashes += block.added
        checksum = zlib.crc32(blocks.pack_hashes(block.added), checksum)
    if (
        len(hashes) != len(block.running)
        or checksum != block.checksum
        or (block.known and state.received_term != frame.term)
    ):
        if not state.totals_refused:
            events.warning("totals_refused", node=frame.node, targets=len(hashes))
        state.totals_refused = True
        return None
    state.received_term = frame.term
    state.received_hashes, state.received_checksum = hashes, checksum
    state.totals_refused = False
    fractions = [1.0] * len(hashes)
    for number, fraction in block.admitted.items():
        fractions[number] = fraction
    columns = (hashes, block.running, fractions)
    targets, running, admitted = (
        itertools.compress(values, block.running) for values in columns
    )
    return tuple(map(frames.Total, targets, running, block.slowness, admitted))
