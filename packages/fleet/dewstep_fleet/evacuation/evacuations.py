"""The data centres that are being evacuated, and since when.

The time that the platform allows counts from the moment at which the store acknowledged
the row. An instance knows no more than that this was after it last had all rows, so it
counts from then. A row that it finds when it starts may be of any age.
"""

import datetime
from collections.abc import Callable
from typing import NamedTuple

from dewstep_core import clocks, events
from dewstep_fleet import model

UNKNOWN_AGE = datetime.timedelta(hours=1)
"""Assumed age of a row that was there before an instance first had all rows."""
RESTORE_GRACE = datetime.timedelta(milliseconds=2300)
"""Time for which an evacuation goes on whose row a restored store lacks, as for the
registrations of targets: the operator writes the row again."""
SAFETY_MARGIN = datetime.timedelta(milliseconds=900)
"""Part of the allowed time for reading the row and for the way of the last request: a
successful call of the store takes up to 600 ms, and a lost packet is retransmitted
after 200 ms."""

Listener = Callable[[str, datetime.timedelta, int], None]
"""Called with the data centre, the time, and the version of the row's removal."""


class Evacuation(NamedTuple):
    """The evacuation of one data centre."""

    since: datetime.timedelta
    """Earliest time at which the store may have acknowledged the row."""
    version: int
    """Version of the row."""
    ends_at: datetime.timedelta | None = None
    """When it ends, if a restored store lacks the row."""
    lost_version: int = 0
    """Version at which the restored store lacked it."""


class Evacuations:
    """The evacuations that an instance knows of.

    Parameters
    ----------
    clock : clocks.Clock
    """

    def __init__(self, clock: clocks.Clock):
        self.clock = clock
        self.current: dict[str, Evacuation] = {}
        """Evacuations by data centre."""
        self.complete_at: datetime.timedelta | None = None
        """Last time at which this instance had all rows, or None."""
        self.listeners: list[Listener] = []
        """Called after an evacuation has ended."""

    def record_complete(self, at: datetime.timedelta) -> None:
        """Record that all rows written before a time have been applied."""
        if self.complete_at is None or at > self.complete_at:
            self.complete_at = at

    def apply_row(self, row: model.StoredRow) -> None:
        """Apply a row that asks for an evacuation, or its removal."""
        data_centre = row.key.removeprefix(model.EVACUATION_PREFIX)
        known = self.current.get(data_centre)
        if row.value is not None:
            self._continue_or_begin(data_centre, known, row.version)
        elif known is not None and known.version < model.get_era_floor(row.version):
            self._await_row(data_centre, known, row.version)
        else:
            self._end(data_centre, row.version)

    def end_lost(self) -> bool:
        """End the evacuations whose row was not written again after a restore.

        Returns
        -------
        bool
            Whether one has ended.
        """
        now = self.clock.monotonic()
        due = [
            (data_centre, evacuation.lost_version)
            for data_centre, evacuation in self.current.items()
            if evacuation.ends_at is not None and evacuation.ends_at <= now
        ]
        for data_centre, version in due:
            self._end(data_centre, version)
        return bool(due)

    def _continue_or_begin(
        self, data_centre: str, known: Evacuation | None, version: int
    ) -> None:
        if known is not None:
            # The row was written again, and perhaps removed in between.
            self.current[data_centre] = known._replace(version=version, ends_at=None)
            return
        now = self.clock.monotonic()
        since = self.complete_at
        if since is None:
            since = now - UNKNOWN_AGE
        self.current[data_centre] = Evacuation(since, version)
        events.warning(
            "evacuation_begun", data_centre=data_centre, age=now - since, row=version
        )

    def _await_row(self, data_centre: str, known: Evacuation, version: int) -> None:
        """Note that a restored store lacks the row, as its copy may be older.

        Other instances may report the same at a later version.
        """
        if known.ends_at is None:
            events.warning(
                "evacuation_row_lost", data_centre=data_centre, row=known.version
            )
            known = known._replace(ends_at=self.clock.monotonic() + RESTORE_GRACE)
        self.current[data_centre] = known._replace(lost_version=version)

    def _end(self, data_centre: str, version: int) -> None:
        ended = self.current.pop(data_centre, None)
        now = self.clock.monotonic()
        if ended is not None:
            events.warning(
                "evacuation_ended",
                data_centre=data_centre,
                lasted=now - ended.since,
                row=version,
            )
        # An instance may learn of the removal only.
        for listener in self.listeners:
            listener(data_centre, now, version)

    # Queries.

    def is_evacuated(self, data_centre: str) -> bool:
        """Whether a data centre is being evacuated."""
        return data_centre in self.current

    def is_closed(self, data_centre: str, allowed: datetime.timedelta) -> bool:
        """Whether a data centre must get no requests at all.

        Parameters
        ----------
        data_centre : str
        allowed : datetime.timedelta
            Time after the acknowledgement of the row for which requests may arrive,
            less the time in which an instance notices that it gets no news.
        """
        elapsed = self.get_elapsed(data_centre)
        return elapsed is not None and elapsed >= allowed - SAFETY_MARGIN

    def get_elapsed(self, data_centre: str) -> datetime.timedelta | None:
        """Return the time since an evacuation may have begun, or None."""
        evacuation = self.current.get(data_centre)
        if evacuation is None:
            return None
        return self.clock.monotonic() - evacuation.since
