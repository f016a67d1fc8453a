"""For how long a key range is granted.

The usual duration is short, since the keys of a lost target are unavailable until its
grants expire. During an outage of the store, no range can be handed over and the
coordinator may fail too, so targets then get the longest grants that they accept.
"""

import datetime
from collections.abc import Callable

from dewstep_core import events

GRANT_DURATION = datetime.timedelta(milliseconds=2500)
"""Usual duration of a grant. The keys of a lost target are unavailable for at most this
long. It must exceed the time of a coordinator change, about 1.3 s."""
OUTAGE_THRESHOLD = datetime.timedelta(milliseconds=2500)
"""After this long without the store, ranges are granted for the maximum duration that
targets accept, because no range can be handed over and the coordinator may fail too."""


def choose_duration(
    max_duration: datetime.timedelta, may_be_long: bool
) -> datetime.timedelta:
    """Return the duration of a grant of which targets accept `max_duration` at most."""
    return max_duration if may_be_long else min(GRANT_DURATION, max_duration)


class GrantDurations:
    """Chooses the duration of each grant and logs changes.

    Parameters
    ----------
    get_max_duration : callable
        Returns the maximum duration that targets accept.
    may_be_long : callable
        Whether grants longer than `GRANT_DURATION` may be sent now.
    get_term : callable
        Returns the coordinator's term, for log lines.
    """

    def __init__(
        self,
        get_max_duration: Callable[[], datetime.timedelta],
        may_be_long: Callable[[], bool],
        get_term: Callable[[], int],
    ):
        self.get_max_duration = get_max_duration
        self.may_be_long = may_be_long
        self.get_term = get_term
        self.reset()

    def reset(self) -> None:
        """Discard the state of an earlier term."""
        self.last_duration: datetime.timedelta | None = None
        """Duration of the last grant."""

    def choose_next(self) -> datetime.timedelta:
        """Return the duration of a grant that is sent now."""
        duration = choose_duration(self.get_max_duration(), self.may_be_long())
        previous, self.last_duration = self.last_duration, duration
        if previous is not None and previous != duration:
            events.warning(
                "grant_duration_changed",
                term=self.get_term(),
                previous=previous,
                duration=duration,
            )
        return duration
