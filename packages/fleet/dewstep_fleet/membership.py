"""What a member hears of its coordinator.

A heartbeat is healthy if its sender reaches the store. A member that receives none
reads the store itself, and later takes part in an election (see `elections`).
"""

import datetime
from typing import NamedTuple

from dewstep_core import events
from dewstep_fleet import frames, links, message_delays, model

DIRECT_READ_TIMEOUT = datetime.timedelta(milliseconds=700)
"""Without a heartbeat for this long, an instance reads the store itself."""
HEARTBEAT_TIMEOUT = datetime.timedelta(milliseconds=1000)
"""Without a healthy heartbeat for this long, the coordinator counts as failed."""
DEPUTY_TABLES = frozenset({model.TABLES.configuration, model.TABLES.targets})


class Contact(NamedTuple):
    """When this instance last heard of the coordinator."""

    heartbeat_at: datetime.timedelta
    """When a heartbeat was last received, or sent by this instance."""
    healthy_heartbeat_at: datetime.timedelta
    coordinator_healthy: bool = True
    """Whether the last heartbeat was healthy."""


def restart(contact: Contact, now: datetime.timedelta) -> Contact:
    """Return the contact with all time-outs starting now."""
    return contact._replace(heartbeat_at=now, healthy_heartbeat_at=now)


def record_message(
    contact: Contact,
    frame: frames.Frame,
    now: datetime.timedelta,
    delay: datetime.timedelta = datetime.timedelta(),
) -> Contact:
    """Return the contact after a message of the coordinator about its state.

    News count as well, since the heartbeats of a busy coordinator may be late. A
    message that has waited in a buffer counts as of its sending. Only direct reads
    depend on this: another coordinator would have the same load.
    """
    healthy_at = contact.healthy_heartbeat_at
    if frame.stopping:
        # Elections may start at once; their jitter still applies.
        healthy_at = now - HEARTBEAT_TIMEOUT
    elif frame.contact:
        healthy_at = now
    heartbeat_at = max(contact.heartbeat_at, now - delay)
    return Contact(heartbeat_at, healthy_at, frame.contact and not frame.stopping)


def has_healthy_coordinator(contact: Contact, now: datetime.timedelta) -> bool:
    """Whether this instance recently received a healthy heartbeat."""
    since_heartbeat = now - contact.healthy_heartbeat_at
    return contact.coordinator_healthy and since_heartbeat <= HEARTBEAT_TIMEOUT


def choose_tables(
    contact: Contact, now: datetime.timedelta, coordinating: bool, deputy: bool
) -> frozenset[str]:
    """Return the tables whose changes no other instance sends."""
    if coordinating or now - contact.heartbeat_at > DIRECT_READ_TIMEOUT:
        tables = frozenset(model.TABLES)
    elif (
        not contact.coordinator_healthy
        or now - contact.healthy_heartbeat_at > DIRECT_READ_TIMEOUT
    ):
        tables = frozenset({model.TABLES.fleet})
    else:
        tables = frozenset()
    return tables | DEPUTY_TABLES if deputy else tables


class Membership:
    """The contact of this instance, as a member, with the coordinator.

    Parameters
    ----------
    now : datetime.timedelta
    """

    def __init__(self, now: datetime.timedelta):
        self.contact = Contact(now, now)
        self.coordinator_link: links.Link | None = None
        """Link on which the last heartbeat was received."""
        self.message_delays = message_delays.Delays()
        """The coordinator's fastest messages."""
        self.delay = datetime.timedelta()
        """How late its last message arrived."""
        self.received_heartbeat_ms = 0
        """`heartbeat_ms` of the last heartbeat received."""
        self.live_instances = 1
        """Number of live instances, as counted by the coordinator."""

    def restart(self, now: datetime.timedelta) -> None:
        """Start all time-outs now."""
        self.contact = restart(self.contact, now)

    def record_message(self, frame: frames.Frame, now: datetime.timedelta) -> None:
        """Record what a message of the coordinator says about its state."""
        sent_at = datetime.timedelta(milliseconds=frame.heartbeat_ms)
        if sent_at:
            late = self.delay > DIRECT_READ_TIMEOUT
            self.message_delays, self.delay = message_delays.record_message(
                self.message_delays, frame.incarnation, sent_at, now
            )
            if late != (self.delay > DIRECT_READ_TIMEOUT):
                events.warning(
                    "coordinator_late", late=not late, node=frame.node, delay=self.delay
                )
        self.contact = record_message(self.contact, frame, now, self.delay)
