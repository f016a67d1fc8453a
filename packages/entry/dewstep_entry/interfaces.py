"""Interfaces between the components of the entry process."""

from collections.abc import Callable
from typing import Any, Protocol

from returns import result

from dewstep_core import data

Failure = Any
"""One of the tuples in `dewstep_core.errors`."""


class RequestHandler(Protocol):
    """A stage that answers requests.

    Cancelling the task that awaits `handle` cancels the request downstream. The
    receiver of a successful answer must read its body to the end or close it
    (`aclose`), which frees the slots and connections that it uses.
    """

    async def handle(
        self, request: data.Request
    ) -> result.Result[data.Answer, Failure]:
        """Return the answer to `request`, or the failure if there is none."""


class TableClient(Protocol):
    """The platform's table service."""

    async def read(self, key: str) -> result.Result[data.Row, Failure]:
        """Return a row, with version 0 and value None if it does not exist."""

    async def read_prefix(
        self, prefix: str
    ) -> result.Result[tuple[data.Row, ...], Failure]:
        """Return all rows whose keys start with `prefix`."""

    async def commit(
        self, transaction: data.Transaction
    ) -> result.Result[data.Commit, Failure]:
        """Apply `transaction`.

        If the answer is lost, the rows are read to find out whether it was applied.

        Fails with `Conflict`, `RateExceeded` or `PlatformUnavailable` (nothing was
        written) or with `AnswerLost` (unknown whether anything was written).
        """


class TargetChannel(Protocol):
    """The connections to one target."""

    async def exchange(
        self, request: data.Request, stamp: data.GrantStamp
    ) -> result.Result[data.Answer, Failure]:
        """Send `request` and return the target's answer."""

    async def read_clock(self) -> result.Result[data.ClockReading, Failure]:
        """Read the target's clock and boot id."""

    async def send_grant(
        self, grant: data.Grant
    ) -> result.Result[data.ClockReading, Failure]:
        """Send a grant; `TargetRefused` if its term is too low or its boot is wrong."""

    def on_control_close(self, report: Callable[[], None]) -> None:
        """Call `report` whenever the target closes the control connection."""

    async def close(self) -> None:
        """Close all connections."""


class MessageHandler(Protocol):
    """Handles the control messages of peers."""

    async def receive(self, sender: data.Member, message: Any) -> None:
        """Process one message from `dewstep_entry.peers.messages`."""
