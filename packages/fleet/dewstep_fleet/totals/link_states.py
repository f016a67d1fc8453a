"""What a link has carried that later messages on it depend on."""

from typing import Any


class LinkState:
    """The numbered targets of one link, which end with it."""

    def __init__(self):
        self.sent_column: Any = None
        """Column of the coordinator's term (`columns.SentColumn`) last sent."""
        self.sent_targets = 0
        """Number of its targets that were sent."""
        self.received_term = 0
        """Term in which the targets in `received_hashes` were received."""
        self.received_hashes: tuple[int, ...] = ()
        self.received_checksum = 0
        self.totals_refused = False
        """Whether the last totals did not fit, so that complete ones are needed."""
        self.accepts_compact = False
        """Whether the last heartbeat told of a fleet that is large enough."""
        self.reports_compact = False
        """Whether the last heartbeat was compact, so that its sender reads reports of
        that form."""
        self.sent_numbers: dict[str, int] = {}
        """Numbers of the targets in reports sent, by name."""
        self.sent_checksum = 0
        self.received_names: tuple[str, ...] = ()
        """Names of the targets in reports received, by number."""
        self.received_names_checksum = 0
