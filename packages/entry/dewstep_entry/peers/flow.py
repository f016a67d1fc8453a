"""Credit-based flow control of the bodies on a link.

A sender may have `WINDOW_BYTES` of one body under way. The receiver gives credit for
what its reader took, so that a slow reader holds up its own stream only.
"""

import asyncio
import json
from collections.abc import AsyncIterator

from dewstep_core import errors, events
from dewstep_entry import bodies, failures
from dewstep_entry.peers import session as sessions, wire

WINDOW_BYTES = 262_144
CREDIT_BYTES = WINDOW_BYTES // 4
"""Credit is given in steps, so that it costs few frames."""


class SendWindow:
    """Bytes of one body that may still be sent."""

    __slots__ = ("available", "waiter")

    def __init__(self):
        self.available = WINDOW_BYTES
        self.waiter: asyncio.Future | None = None

    def add(self, size: int) -> None:
        """Take credit from the receiver."""
        self.available += size
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    async def take(self, size: int) -> None:
        """Wait until `size` bytes may be sent, and count them as sent."""
        while self.available < size:
            self.waiter = asyncio.get_running_loop().create_future()
            await self.waiter
        self.available -= size


class ReceiveQueue(bodies.ChunkQueue):
    """A body that arrives on a stream; gives credit for what was read."""

    __slots__ = ("granted", "number", "session", "uncredited")

    def __init__(self, session: sessions.Session, number: int, closed):
        super().__init__(WINDOW_BYTES, self._drained, closed)
        self.session = session
        self.number = number
        self.granted = WINDOW_BYTES
        self.uncredited = 0

    def accept(self, chunk: bytes) -> None:
        """Take a chunk; a peer that exceeds its credit loses the session."""
        self.granted -= len(chunk)
        if self.granted < 0:
            self.session.abort()
        elif not self.ended:
            self.put(chunk)

    def finish(self, end: wire.End) -> None:
        """Take the end of the body."""
        self.end(restore_end(end, self.session.peer.entry))

    def _drained(self, taken: int) -> None:
        self.uncredited += taken
        if self.uncredited >= CREDIT_BYTES and not self.ended:
            credit = wire.Credit(self.number, self.uncredited)
            self.granted += self.uncredited
            self.uncredited = 0
            self.session.write(wire.encode(credit))


async def send_body(
    session: sessions.Session,
    number: int,
    rest: AsyncIterator[bytes],
    window: SendWindow,
) -> None:
    """Send the rest of a body and its end, or the failure that cut it."""
    try:
        async for chunk in bodies.split_chunks(rest):
            await window.take(len(chunk))
            await session.wait_writable()
            session.write(wire.encode(wire.Chunk(number, chunk)))
    except bodies.BodyFailure as error:
        failure = error.failure
    except Exception as error:
        # Without an end the peer would wait until the deadline.
        events.exception(
            "peer_body_failed", error, peer=session.peer.entry, stream=number
        )
        failure = errors.ConnectionLost(session.own.entry)
    else:
        session.write(wire.encode(wire.End(number)))
        return
    detail = json.dumps(failures.pack_fields(failure))
    session.write(wire.encode(wire.End(number, type(failure).__name__, detail)))


def restore_end(end: wire.End, peer: str):
    """Return the failure that cut a body, or None for a complete one."""
    if not end.failure:
        return None
    try:
        fields = json.loads(end.detail)
    except ValueError:
        fields = None
    return failures.unpack_fields(end.failure, fields) or errors.ConnectionLost(peer)
