"""Control messages between entry processes."""

import datetime
from collections.abc import Mapping
from typing import NamedTuple

from dewstep_core import data


class Hello(NamedTuple):
    """The first frame in each direction of a connection."""

    protocol: int
    member: data.Member


class Alive(NamedTuple):
    """A heartbeat without changes; its sender is known from hello."""


class Heartbeat(NamedTuple):
    """A heartbeat with the versions that its sender has."""

    revision: int
    """Revision of the sender's configuration."""
    versions: Mapping[str, int]
    """Version of the assignment of each service."""
    table_contact_age: datetime.timedelta | None
    """Time since the sender's last contact with the table service, None before it."""
    members: tuple[data.Member, ...]
    suspicions: tuple[data.Suspicion, ...]
    """Members from which the sender, or another monitor, receives no heartbeats."""


class Fetch(NamedTuple):
    """A request for an item of which the peer announced a newer version."""

    what: str
    """Kind of the item, one of the constants of `state.exchange`."""
    name: str


class Value(NamedTuple):
    """The answer to a `Fetch`, with the item and its version."""

    what: str
    """Kind of the item, as in `Fetch`."""
    name: str
    version: int
    payload: bytes
