"""Credit-based flow control of the bodies on a link.

A sender may have up to `WINDOW_BYTES` of one body in flight. The receiver returns
credit for the bytes that were read, so that a slow reader delays only its own stream.
"""

import asyncio
import json
from collections.abc import AsyncIterator

from dewstep_core import errors, events
from dewstep_entry import bodies, failures
from dewstep_entry.peers import sessions, wire

WINDOW_BYTES = 262_144
CREDIT_STEP_BYTES = WINDOW_BYTES // 4
"""Credit is returned in steps, to keep the number of frames small."""


class SendWindow:
    """Credit of the sender of one body, in bytes."""

    __slots__ = ("available", "waiter")

    def __init__(self):
        self.available = WINDOW_BYTES
        self.waiter: asyncio.Future | None = None

    def add_credit(self, size: int) -> None:
        """Add credit that the receiver returned."""
        self.available += size
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    async def reserve(self, size: int) -> None:
        """Wait for a credit of `size` bytes and subtract it."""
        while self.available < size:
            self.waiter = asyncio.get_running_loop().create_future()
            await self.waiter
        self.available -= size


class ReceiveQueue(bodies.ChunkQueue):
    """A body received on a stream; returns credit for the bytes that were read."""

    __slots__ = ("number", "remaining_credit", "session", "uncredited")

    def __init__(self, session: sessions.Session, number: int, on_close):
        super().__init__(WINDOW_BYTES, self._send_credit, on_close)
        self.session = session
        self.number = number
        self.remaining_credit = WINDOW_BYTES
        self.uncredited = 0

    def receive_chunk(self, chunk: bytes) -> None:
        """Add a chunk; close the session if the peer exceeds its credit."""
        self.remaining_credit -= len(chunk)
        if self.remaining_credit < 0:
            self.session.abort()
        elif not self.ended:
            self.add_chunk(chunk)

    def receive_end(self, end: wire.End) -> None:
        """End the body, with the failure in the frame if there is one."""
        self.end(restore_body_failure(end, self.session.peer.entry))

    def _send_credit(self, size: int) -> None:
        self.uncredited += size
        if self.uncredited >= CREDIT_STEP_BYTES and not self.ended:
            credit = wire.Credit(self.number, self.uncredited)
            self.remaining_credit += self.uncredited
            self.uncredited = 0
            self.session.write(wire.encode(credit))


async def send_body(
    session: sessions.Session,
    number: int,
    rest: AsyncIterator[bytes],
    window: SendWindow,
) -> None:
    """Send the rest of a body and its end, or the failure that ended it early."""
    try:
        async for chunk in bodies.split_chunks(rest):
            await window.reserve(len(chunk))
            await session.wait_writable()
            session.write(wire.encode(wire.Chunk(number, chunk)))
    except bodies.BodyFailure as error:
        failure = error.failure
    except Exception as error:
        # Without an end frame the peer would wait until the deadline.
        events.exception(
            "peer_body_failed", error, peer=session.peer.entry, stream=number
        )
        failure = errors.ConnectionLost(session.own_member.entry)
    else:
        session.write(wire.encode(wire.End(number)))
        return
    detail = json.dumps(failures.encode_fields(failure))
    session.write(wire.encode(wire.End(number, type(failure).__name__, detail)))


def restore_body_failure(end: wire.End, peer: str):
    """Return the failure that ended a body early, or None for a complete one."""
    if not end.failure:
        return None
    try:
        fields = json.loads(end.detail)
    except ValueError:
        fields = None
    return failures.decode_fields(end.failure, fields) or errors.ConnectionLost(peer)
