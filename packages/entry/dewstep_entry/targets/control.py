"""The connection for reading a target's clock and sending it grants.

It is separate from the data connections, so that their load cannot delay a grant until
the previous one has expired.
"""

import asyncio
import datetime
import json
from collections.abc import Callable

import h11
from returns import result

from dewstep_core import clocks, data, errors
from dewstep_entry import bodies, interfaces
from dewstep_entry.targets import answering, connection

CONTROL_TIMEOUT = datetime.timedelta(milliseconds=300)
"""Half the lifetime of a grant, so that a second attempt fits before the expiry."""


class ControlChannel:
    """Reads the target's clock and sends grants, one request at a time.

    Parameters
    ----------
    target : data.Target
        The target.
    clock : Clock
        Clock for the local times in clock readings.
    entry : str
        Name of this entry process.
    timeout : datetime.timedelta
        Limit for opening the connection and for each answer.
    """

    def __init__(
        self,
        target: data.Target,
        clock: clocks.Clock,
        entry: str,
        timeout: datetime.timedelta = CONTROL_TIMEOUT,
    ):
        self.target = target
        self.clock = clock
        self.timeout_seconds = timeout.total_seconds()
        self.headers = [
            (b"host", f"{target.host}:{target.port}".encode()),
            (b"dewstep-entry", entry.encode()),
        ]
        self.lock = asyncio.Lock()
        self.control_connection: connection.Connection | None = None
        self.closed = False
        self.on_close: Callable[[], None] | None = None
        """Called when the target closes the connection between two requests."""

    async def send_request(
        self, method: str, path: str, payload: bytes = b""
    ) -> result.Result[data.ClockReading, interfaces.Failure]:
        """Send one control request and parse the clock reading in its answer.

        Returns
        -------
        Result
            The reading, or `TargetUnavailable` (not sent), `TargetRefused`,
            `ConnectionLost`, `DeadlineExceeded` or `AnswerInvalid`.
        """
        async with self.lock:
            failure = await self._ensure_connected()
            if failure is not None:
                return result.Failure(failure)
            headers = list(self.headers)
            if payload:
                headers.append((b"content-length", b"%d" % len(payload)))
            head = h11.Request(method=method, target=path, headers=headers)
            sent = self.clock.monotonic()
            outcome = await self.control_connection.exchange(
                head, data.Body(payload, None), self.timeout_seconds
            )
            if not isinstance(outcome, result.Success):
                return outcome
            answer = outcome.unwrap()
            if answer.body.rest is not None:
                await bodies.close_body(answer.body)
            return parse_reading(self.target.name, answer, sent, self.clock.monotonic())

    async def _ensure_connected(self) -> interfaces.Failure | None:
        name = self.target.name
        if self.closed:
            return errors.TargetUnavailable(name, "control channel is closed")
        if self.control_connection is not None:
            if not self.control_connection.is_stale():
                return None
            self.control_connection.abort()
        try:
            async with asyncio.timeout(self.timeout_seconds):
                (
                    _,
                    self.control_connection,
                ) = await asyncio.get_running_loop().create_connection(
                    lambda: connection.Connection(
                        name, _ignore_freed, self._handle_connection_loss
                    ),
                    self.target.host,
                    self.target.port,
                )
        except OSError as error:
            self.control_connection = None
            detail = str(error) or f"no connection within {self.timeout_seconds} s"
            return errors.TargetUnavailable(name, detail)
        return None

    def _handle_connection_loss(self, target_connection: connection.Connection) -> None:
        """Report a close by the target; a request in progress fails on its own."""
        closed_while_idle = (
            target_connection is self.control_connection and not self.lock.locked()
        )
        if closed_while_idle and not self.closed and self.on_close is not None:
            self.on_close()

    def close(self) -> None:
        """Close the connection; later requests fail."""
        self.closed = True
        if self.control_connection is not None:
            self.control_connection.abort()


def parse_reading(
    target: str,
    answer: data.Answer,
    sent: datetime.timedelta,
    received: datetime.timedelta,
) -> result.Result[data.ClockReading, interfaces.Failure]:
    """Return the clock reading in the answer to a control request, or the failure."""
    if answer.status == 409:
        start = answer.body.start[: answering.MAXIMUM_REASON_LENGTH]
        reason = start.decode("utf-8", "replace")
        return result.Failure(errors.TargetRefused(target, reason))
    if answer.status != 200:
        detail = f"status {answer.status} to a control request"
        return result.Failure(errors.AnswerInvalid(target, detail))
    try:
        fields = json.loads(answer.body.start)
        reading = data.ClockReading(
            str(fields["boot"]),
            datetime.timedelta(seconds=fields["clock"]),
            int(fields["term"]),
            sent,
            received,
        )
    except (
        ValueError,
        KeyError,
        TypeError,
        OverflowError,
        RecursionError,
    ) as error:
        detail = f"invalid clock reading: {error!r}"
        return result.Failure(errors.AnswerInvalid(target, detail))
    return result.Success(reading)


def _ignore_freed(target_connection: connection.Connection) -> None:
    """Do nothing: the channel checks its connection before each request."""
