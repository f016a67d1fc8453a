"""Control messages between entry processes."""

import datetime
from collections.abc import Mapping
from typing import NamedTuple

from dewstep_core import data


class Hello(NamedTuple):
    """First frame of each direction of a connection."""

    protocol: int
    member: data.Member


class Alive(NamedTuple):
    """A heartbeat without news; hello has named its sender."""


class Heartbeat(NamedTuple):
    """A sign of life with the versions that its sender knows."""

    revision: int
    """Revision of the configuration in force."""
    versions: Mapping[str, int]
    """Version of the assignment of each service."""
    table_contact_age: datetime.timedelta | None
    """Time since the last contact with the table service, None if there was none."""
    members: tuple[data.Member, ...]
    suspicions: tuple[data.Suspicion, ...]
    """Members that the sender, or a monitor it heard of, no longer hears."""


class Fetch(NamedTuple):
    """A question for something of which the peer announced a newer version."""

    what: str
    name: str


class Value(NamedTuple):
    """The answer to a `Fetch`."""

    what: str
    name: str
    version: int
    payload: bytes
