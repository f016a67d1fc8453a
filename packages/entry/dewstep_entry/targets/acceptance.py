"""Whether a target accepts further connections, learned from those that it resets.

The kernel of a target completes a connection before its process sees it. A process that
has as many connections as it accepts, or a long queue, then resets the connection, and
a request that has been sent by that time may have run as far as its sender can tell.
Where this is to be expected, a new connection is therefore used only after the time in
which a reset arrives. After a reset, this instance lowers its own number of connections
to the target by half and raises it again one by one. As all instances do so, their sum
follows the target's maximum, which falls while its queue is long.
"""

import collections
import datetime

from dewstep_core import errors, events

MIN_ROUND_TRIP_S = 0.002
MAX_ROUND_TRIP_S = 0.003
"""Bounds of the round trip taken from the time of connecting. Between data centres it
is 2 ms; a late event loop lengthens the measured time."""
PROCESS_TIME_S = 0.002
"""Time in which a target's process accepts a connection and resets it."""
NEW_CONNECTION_S = 0.05
"""Age up to which a connection that ends before any input counts as reset while new.
The reset arrives after some ms, and a busy event loop may be late by tens of ms. A
longer time would count more of the connections that a network partition ends."""
CAUTION_PERIOD = datetime.timedelta(seconds=10)
"""Time after a reset for which all new connections to the service's targets wait: the
queues of a burst, and the connections that it opened, last for some seconds."""
RAISE_INTERVAL = datetime.timedelta(seconds=1)
"""Time after which a lowered number of connections rises by one."""
MIN_PAUSE = datetime.timedelta(milliseconds=100)
MAX_PAUSE = datetime.timedelta(milliseconds=1600)
"""Time without new connections after a reset: about the time in which a full target
ends a request of each slot, doubled with each reset that follows a pause closely."""
NOTHING = datetime.timedelta()


class ServiceResets:
    """Resets by the targets of one service, which have the same maximum."""

    def __init__(self):
        self.last_at: datetime.timedelta | None = None
        self.counts = collections.Counter()
        """Connections reset while new: `unused`, and `used` with a request."""

    def is_recent(self, now: datetime.timedelta) -> bool:
        """Whether a target has reset a new connection a short time ago."""
        return self.last_at is not None and now - self.last_at < CAUTION_PERIOD


class Acceptance:
    """What is known of the connections that one target accepts.

    Parameters
    ----------
    target : str
    resets : ServiceResets
        Shared by all targets of the service.
    """

    def __init__(self, target: str, resets: ServiceResets):
        self.target = target
        self.resets = resets
        self.expects_reset = False
        """Whether the target may be full, and its maximum leaves little room."""
        self.limit: int | None = None
        """Number of connections after the last reset; None without one."""
        self.lowered_at = NOTHING
        self.pause = NOTHING
        self.paused_until = NOTHING

    def choose_wait(self, now: datetime.timedelta, connect_seconds: float) -> float:
        """Return the seconds before a new connection is used.

        Parameters
        ----------
        now : datetime.timedelta
        connect_seconds : float
            Time that opening it took, at least a round trip.
        """
        if not self.expects_reset and not self.resets.is_recent(now):
            return 0.0
        round_trip = min(max(connect_seconds, MIN_ROUND_TRIP_S), MAX_ROUND_TRIP_S)
        return round_trip + PROCESS_TIME_S

    def find_limit(self, now: datetime.timedelta, configured: int) -> int:
        """Return the maximum number of connections, which the resets lower."""
        if self.limit is None:
            return configured
        raised = self.limit + (now - self.lowered_at) // RAISE_INTERVAL
        if raised >= configured:
            if self.paused_until <= now:
                self.limit = None
            return configured
        return raised

    def find_room(self, now: datetime.timedelta, configured: int, total: int) -> int:
        """Return how many connections may be open, including `total` present ones."""
        if self.paused_until > now:
            return min(configured, total)
        return self.find_limit(now, configured)

    def find_refusal(
        self, now: datetime.timedelta, configured: int, total: int, waiting: int
    ) -> errors.QueueFull | None:
        """Return the failure of a request for which no connection will be free soon.

        One request may wait for each connection that is open or being opened.
        """
        if self.limit is None or waiting < total:
            return None
        if self.find_room(now, configured, total) > total:
            return None
        opens_at = max(self.paused_until, now)
        if not self.paused_until > now:
            opens_at = now + RAISE_INTERVAL - (now - self.lowered_at) % RAISE_INTERVAL
        return errors.QueueFull(self.target, opens_at - now)

    def record_reset(self, now: datetime.timedelta, total: int, used: bool) -> None:
        """Lower the number of connections after a new one was reset.

        Parameters
        ----------
        now : datetime.timedelta
        total : int
            Remaining connections of this instance to the target.
        used : bool
            Whether a request had been sent, whose outcome is unknown.
        """
        self.resets.last_at = now
        self.resets.counts["used" if used else "unused"] += 1
        if self.paused_until <= now:
            # Connections opened at the same time are reset together.
            if now - self.paused_until > MAX_PAUSE:
                self.pause = NOTHING
            self.pause = min(max(self.pause * 2, MIN_PAUSE), MAX_PAUSE)
            self.paused_until = now + self.pause
        self.limit = max(1, total // 2)
        self.lowered_at = now
        events.info(
            "new_connection_reset",
            target=self.target,
            used=used,
            connections=total,
            limit=self.limit,
            pause=self.pause,
        )
