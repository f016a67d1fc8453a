"""Data types for the settings of an entry process.

The field names are those of the settings file.
"""

import datetime
from typing import NamedTuple


class Address(NamedTuple):
    """An IP address and a port."""

    host: str
    port: int


def format_address(address: Address) -> str:
    """Return `address` in the format of settings files."""
    host = f"[{address.host}]" if ":" in address.host else address.host
    return f"{host}:{address.port}"


class CallerLimits(NamedTuple):
    """Limits on the requests and connections of callers."""

    head_bytes: int = 16_384
    """Maximum size of a request head."""
    head_timeout: datetime.timedelta = datetime.timedelta(seconds=5)
    body_rate_bytes: int = 1_024
    """Minimum rate in bytes/s at which a caller sends a body or reads an answer."""
    body_grace: datetime.timedelta = datetime.timedelta(seconds=5)
    """Time before the minimum rate applies."""
    idle_timeout: datetime.timedelta = datetime.timedelta(seconds=60)
    connections: int = 2_000
    """Maximum number of open connections."""


class GrantSettings(NamedTuple):
    """Timing of the grants that a gate sends to fenced targets."""

    lifetime: datetime.timedelta = datetime.timedelta(milliseconds=600)
    interval: datetime.timedelta = datetime.timedelta(milliseconds=150)
    margin: datetime.timedelta = datetime.timedelta(milliseconds=10)
    """Margin at the end of a grant: subtracted when sending, added when waiting."""
    drift: float = 0.01
    """Maximum relative difference between the rates of two machines' clocks."""


class PeerSettings(NamedTuple):
    """Timing of the messages between entry processes."""

    heartbeat_interval: datetime.timedelta = datetime.timedelta(milliseconds=150)
    suspect_after: datetime.timedelta = datetime.timedelta(milliseconds=450)
    """Time without a message after which a process is suspected to have failed."""
    connect_timeout: datetime.timedelta = datetime.timedelta(milliseconds=300)


class Settings(NamedTuple):
    """All settings of an entry process."""

    entry: str
    """Name of this entry process, unique among all entry processes."""
    data_centre: str
    caller_address: Address
    peer_address: Address
    operator_address: Address
    table_addresses: tuple[Address, ...]
    instance_list_address: Address | None = None
    seeds: tuple[Address, ...] = ()
    """Peer addresses of other entry processes."""
    statsd_address: Address | None = None
    fault_injection: bool = False
    """Whether the operator port accepts commands that cut peer links, for tests."""
    stop_limit: datetime.timedelta = datetime.timedelta(seconds=20)
    """Maximum time to stop, after which work in progress is aborted."""
    maximum_clock_skew: datetime.timedelta = datetime.timedelta(milliseconds=500)
    """Maximum time by which a request id may be ahead of the wall time."""
    table_timeout: datetime.timedelta = datetime.timedelta(milliseconds=500)
    caller_limits: CallerLimits = CallerLimits()
    grants: GrantSettings = GrantSettings()
    peers: PeerSettings = PeerSettings()
