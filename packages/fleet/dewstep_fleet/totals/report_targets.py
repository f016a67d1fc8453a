"""The targets of reports: writing by a member, reading by the coordinator.

Times are sent in whole ms. What rounding leaves is added to the next report, also if
that goes to another coordinator.
"""

import zlib
from typing import NamedTuple

from dewstep_fleet import frames
from dewstep_fleet.totals import blocks, link_states, report_blocks

MICROSECONDS = 1000
"""Microseconds in a millisecond."""


class Remainder(NamedTuple):
    """What the reports of one target have not told yet."""

    ended: int = 0
    busy: int = 0
    """Time in us."""
    expected: int = 0
    """Time in us."""


class ReportWriter:
    """Encodes the loads and keys of a member's reports."""

    def __init__(self):
        self.remainders: dict[str, Remainder] = {}
        """By target; only those that are not 0."""

    def encode(self, state: link_states.LinkState, frame: frames.Frame) -> bytes | None:
        """Return the loads and keys of a report, or None if they need the earlier form.

        A block that was returned must be sent on the link.
        """
        new = [
            load.target for load in frame.loads if load.target not in state.sent_numbers
        ]
        if len(state.sent_numbers) + len(new) > blocks.MAX_TARGETS:
            state.sent_numbers.clear()
            new = [load.target for load in frame.loads]
        names = [*new, *(item.service for item in frame.keys)]
        if len(new) > blocks.MAX_TARGETS or any(
            len(name.encode()) > report_blocks.MAX_NAME_BYTES for name in names
        ):
            return None
        known = len(state.sent_numbers)
        checksum = compute_checksum(tuple(new), state.sent_checksum if known else 0)
        state.sent_numbers.update({name: known + at for at, name in enumerate(new)})
        state.sent_checksum = checksum
        loads = tuple(
            (state.sent_numbers[load.target], load.running, *self.round_times(load))
            for load in frame.loads
        )
        block = report_blocks.ReportBlock(
            checksum, known, tuple(new), loads, frame.keys
        )
        return report_blocks.encode_report(block)

    def round_times(self, load: frames.Load) -> tuple[int, int, int]:
        """Return the ended requests and their times in ms, and keep the remainder."""
        kept = self.remainders.pop(load.target, Remainder())
        ended = kept.ended + load.ended
        busy, busy_left = divmod(kept.busy + load.busy_microseconds, MICROSECONDS)
        expected, expected_left = divmod(
            kept.expected + load.expected_microseconds, MICROSECONDS
        )
        if not expected:
            # The coordinator divides by this time.
            kept = Remainder(ended, busy * MICROSECONDS + busy_left, expected_left)
            ended = busy = 0
        else:
            kept = Remainder(0, busy_left, expected_left)
        if any(kept):
            if len(self.remainders) >= blocks.MAX_TARGETS:
                # Targets that are gone; losing less than 1 ms of each changes little.
                self.remainders.clear()
            self.remainders[load.target] = kept
        return ended, busy, expected


def compute_checksum(names: tuple[str, ...], previous: int) -> int:
    """Return the checksum of target names after those of `previous`."""
    return zlib.crc32(b"".join(map(report_blocks.encode_text, names)), previous)


def read(
    state: link_states.LinkState, frame: frames.Frame, block: report_blocks.ReportBlock
) -> frames.Frame:
    """Return a report with its loads and keys.

    Raises
    ------
    ValueError
        If its targets do not continue those that the link has carried.
    """
    names = state.received_names if block.known else ()
    checksum = state.received_names_checksum if block.known else 0
    if block.added:
        names += block.added
        checksum = compute_checksum(block.added, checksum)
    if block.known + len(block.added) != len(names) or checksum != block.checksum:
        raise ValueError("targets do not continue those of the link")
    state.received_names, state.received_names_checksum = names, checksum
    loads = tuple(
        frames.Load(
            names[number],
            running,
            ended,
            busy * MICROSECONDS,
            expected * MICROSECONDS,
        )
        for number, running, ended, busy, expected in block.loads
    )
    return frame._replace(loads=loads, keys=block.keys)
