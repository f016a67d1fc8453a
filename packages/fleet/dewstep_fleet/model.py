"""Immutable records and interfaces shared by the modules of this package.

Durations are `datetime.timedelta`. A point in time is a reading of
`Clock.monotonic` and is valid only within the process that took it.
"""

import datetime
from collections.abc import Mapping
from typing import Any, NamedTuple, Protocol

from returns import result

from dewstep_core import data, errors, settings

KEY_SPACE_SIZE = 65_536
"""Keys of a keyed service are integers from 0 to `KEY_SPACE_SIZE` - 1."""
VERSIONS_PER_ERA = 2**40
"""Number of row versions in each era of the store.

A store that was restored from an older copy begins a new era, in which it assigns
versions again. A version is therefore the store's own plus this number for each earlier
era, so that all versions of an era are above those of the eras before it."""


class WeightedService(NamedTuple):
    """A service that receives a weighted share of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """How to handle the requests for one host and path prefix."""

    name: str
    host: str
    prefix: str
    """Begins and ends with a slash."""
    idempotent: bool
    """Whether a request may run more than once."""
    weighted_services: tuple[WeightedService, ...]
    timeout: datetime.timedelta | None
    """Maximum time from the arrival of a request to its answer."""
    latency_objective: datetime.timedelta | None
    """Time within which a request should be answered."""
    max_attempts: int
    """Maximum number of attempts in which a target may have run a request."""
    priority: int
    """Priority relative to other routes; 0 is the highest."""
    permitted_regions: tuple[str, ...] = ()
    """Regions in which its requests may be run; empty if they may be run anywhere."""


class Service(NamedTuple):
    """A group of targets that can run the same requests."""

    name: str
    max_connections: int
    """Maximum connections to each target from all instances together."""
    keyed: bool
    """Whether a target runs only requests for keys that were granted to it."""
    warm_up_time: datetime.timedelta = datetime.timedelta()
    """Time for which a target is cold after it starts."""
    warm_up_rate: float = 0.0
    """Requests/s that a cold target accepts from all instances together; 0 if there is
    no such limit."""


class RouteTable(NamedTuple):
    """The operators' configuration that is in force."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: settings.CallerLimits
    max_body_bytes: int
    """Maximum size of a request body in bytes."""


class Target(NamedTuple):
    """A target as it registered itself."""

    name: str
    service: str
    data_centre: str
    host: str
    port: int
    slots: int
    leaving: bool
    life: int
    """Identifies the target's incarnation, which changes whenever it restarts under the
    same name."""
    warm_up_left: datetime.timedelta = datetime.timedelta()
    """Time for which the target is still cold, as of its registration. The directory
    keeps it apart from the target, since each registration has another one."""


def get_era_floor(version: int) -> int:
    """Return the lowest version of the era to which `version` belongs."""
    return version - version % VERSIONS_PER_ERA


class StoredRow(NamedTuple):
    """A row of the platform's store; `value` is None if the row was removed."""

    table: str
    key: str
    version: int
    """Includes the era in which the row was read; see `VERSIONS_PER_ERA`."""
    value: bytes | None


class TableState(NamedTuple):
    """Rows of one table and the version of the store at which they were read."""

    rows: tuple[StoredRow, ...]
    version: int
    """Includes the era of the store; see `VERSIONS_PER_ERA`."""


class HistoryGone(NamedTuple):
    """The store no longer keeps the changes since the requested version."""

    table: str


class Store(Protocol):
    """Interface to the platform's store.

    Calls fail with these errors of `dewstep_core.errors`: `Conflict` (nothing was
    written), `RateExceeded` and `PlatformUnavailable` (the call had no effect) and
    `AnswerLost` (the call may have taken effect or may still do so).
    """

    async def read_table(self, table: str) -> result.Result[TableState, Any]:
        """Return all rows of a table."""

    async def watch(
        self, table: str, after: int, wait: datetime.timedelta
    ) -> result.Result[TableState, Any]:
        """Wait for changes after version `after` and return the changed rows.

        Fails with `HistoryGone` if the store no longer keeps these changes, or if
        `after` belongs to an earlier era.
        """

    async def commit(
        self,
        expected: Mapping[str, int],
        writes: Mapping[str, bytes | None],
    ) -> result.Result[int, Any]:
        """Write rows of the fleet's table if the expected versions are current."""


class GrantConnection(Protocol):
    """A connection that reaches one process of a target, or nobody."""

    def is_usable(self) -> bool:
        """Whether another grant can be sent."""

    async def grant(
        self,
        holding: "Holding",
        duration: datetime.timedelta,
        handover: str,
    ) -> result.Result[None, Any]:
        """Grant or renew a range under the number `holding.generation`.

        Passes on the hand-over, an opaque text that the previous owner returned when
        it released the range, or "" if there is none. The new owner can use it to take
        over cached state.

        Fails with `Superseded` if the target has a higher number for it, with
        `TargetReplaced` if another target answers, and with `ConnectionLost` or
        `AnswerInvalid` if the grant may take effect. After `ConnectionLost`, the
        connection has been reset.
        """

    def close(self) -> None:
        """Reset the connection, so that nothing more arrives at the target."""


class GrantChannel(Protocol):
    """Sends grant and release orders for key ranges to targets."""

    async def connect(
        self, target: Target
    ) -> result.Result[GrantConnection, errors.TargetUnavailable]:
        """Open a connection for grants to a target."""

    async def release(
        self, target: Target, holding: "Holding"
    ) -> result.Result[str, Any]:
        """End the ownership of a range.

        Returns the target's hand-over text once all requests for the range have ended.
        Fails with `TargetReplaced` if another target answers.
        """


class TargetReplaced(NamedTuple):
    """Another target answers at the target's address, so the target has ended."""

    target: str


class TermUnconfirmed(NamedTuple):
    """No order was sent, since the coordinator's term may have ended."""

    target: str


class NumbersUsedUp(NamedTuple):
    """The range needs a new generation number before it can be granted again."""

    target: str
    generation: int


class Superseded(NamedTuple):
    """The target has received a higher generation number for some of the keys."""

    target: str
    generation: int


class Holding(NamedTuple):
    """A key range, both ends included, with its owner and the owner's incarnation."""

    first: int
    last: int
    target: str
    """Empty if no target owns the range."""
    life: int
    """Incarnation of the owner (`Target.life`)."""
    generation: int
    """Fencing token, which increases whenever the range is handed over."""


class Member(NamedTuple):
    """An instance of the fleet."""

    node: str
    incarnation: str
    data_centre: str
    host: str
    port: int
    strength: float = 1.0
    """Number of cores available to it, or less if its network link is slow."""
    relay_port: int = 0
    """Port at which it serves requests for other instances; 0 if it does not."""
    region: str = ""
    """Region that its settings name; "" if they name none or if its build does not know
    of regions."""


class Tables(NamedTuple):
    """Names of the store's tables."""

    configuration: str = "configuration"
    targets: str = "targets"
    fleet: str = "fleet"


TABLES = Tables()
EVACUATION_PREFIX = "evacuation/"
"""Start of the keys of the configuration's rows that ask for an evacuation; followed by
the name of the data centre."""


class WarmUpBounds(NamedTuple):
    """What a cold target may receive in any second, from all instances together.

    This is the service's `warm_up_rate` x `overage` + `slack` requests.
    """

    overage: float
    slack: float


class Timing(NamedTuple):
    """Durations and retry limits that the platform guarantees or requires."""

    apply_time: datetime.timedelta
    """Time within which a configuration change must be in force everywhere."""
    drain_time: datetime.timedelta
    """Time after which a leaving target must receive no more requests."""
    grace_period: datetime.timedelta
    """Time between SIGTERM and SIGKILL."""
    max_grant_duration: datetime.timedelta
    """Maximum duration of a grant."""
    retry_ratio: float
    """Resends allowed per request, over the whole fleet."""
    retry_slack: float
    """Resends allowed beyond the ratio per window, over the whole fleet."""
    retry_window: datetime.timedelta
    evacuation_time: datetime.timedelta = datetime.timedelta(seconds=5)
    """Time after which the targets of an evacuated data centre must receive no more
    requests."""
    warm_up: WarmUpBounds | None = None
    """None if the platform sets no bound for cold targets."""


class HeaderNames(NamedTuple):
    """HTTP header names used by callers, instances and targets, in lower case."""

    request_id: bytes
    deadline: bytes
    """Milliseconds left until the caller's deadline."""
    target: bytes
    """Name of the target to which the request is addressed."""
    key: bytes
    not_run: bytes
    """Present in the answer of a target that did not run the request."""


class IncomingRequest(NamedTuple):
    """A request received on the callers' port."""

    request_id: str
    method: str
    path: str
    headers: data.Headers
    body_length: int | None
    body: data.Body
    arrived_at: datetime.timedelta
    relayed_attempts: int | None = None
    """Number of attempts left to a request that another instance has passed on; None if
    it comes from a caller."""
    parallel: bool = False
    """Whether it runs before the requests in front of it have been answered."""
    relayed_regions: tuple[str, ...] = ()
    """Regions to which the instance that has passed the request on restricts it."""
