"""Measures how late the messages of another instance arrive.

Messages that wait in the buffers of a full link arrive at the usual interval, however
old they are. The clocks of two instances have an unknown difference, so the delay is
measured against that of the fastest recent message.
"""

import datetime
from typing import NamedTuple

PERIOD = datetime.timedelta(seconds=10)
"""Time for which the fastest message counts, at least; twice that at most. In 20 s, the
clocks of two machines drift apart by a few ms."""


class Delays(NamedTuple):
    """The fastest recent messages of one run of an instance."""

    incarnation: str = ""
    period_began: datetime.timedelta = datetime.timedelta()
    fastest: datetime.timedelta | None = None
    """Shortest difference of arrival and sending in the present period."""
    fastest_before: datetime.timedelta | None = None
    """The same of the period before."""


def record_message(
    delays: Delays,
    incarnation: str,
    sent_at: datetime.timedelta,
    now: datetime.timedelta,
) -> tuple[Delays, datetime.timedelta]:
    """Record a message; return how much later it arrived than the fastest one.

    Parameters
    ----------
    delays : Delays
    incarnation : str
        Identifies the run of the sender.
    sent_at : datetime.timedelta
        When the message was sent, by the sender's clock.
    now : datetime.timedelta
        Own time.
    """
    difference = now - sent_at
    if incarnation != delays.incarnation:
        delays = Delays(incarnation, now)
    elif now - delays.period_began >= PERIOD:
        delays = Delays(incarnation, now, None, delays.fastest)
    fastest = difference
    if delays.fastest is not None:
        fastest = min(difference, delays.fastest)
    shortest = fastest
    if delays.fastest_before is not None:
        shortest = min(fastest, delays.fastest_before)
    return delays._replace(fastest=fastest), difference - shortest
