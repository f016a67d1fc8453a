"""A lean HTTP/1.1 client for load: it reads only what the measures need.

A general client would make the load tool the bottleneck. Requests are rendered once
for each kind and key; of an answer only status, length and dewstep's own headers are
looked at.
"""

import asyncio
import re
from typing import NamedTuple

from dewstep_core import settings

CONNECTIONS = 200
"""Most connections to each address."""
HEAD_END = b"\r\n\r\n"
LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)
OUTCOME = re.compile(rb"\r\ndewstep-outcome: *([a-z-]+)", re.IGNORECASE)
RETRY_AFTER = re.compile(rb"\r\ndewstep-retry-after-ms: *(\d+)", re.IGNORECASE)
CLOSE = re.compile(rb"\r\nconnection: *close", re.IGNORECASE)

ANSWERED = "answered"
UNKNOWN = "unknown"
NOT_RUN = "not-run"
BROKEN = "broken"
"""The connection ended, or no answer came in time."""
NOT_SENT = "not-sent"
"""No connection could be opened."""


class Reply(NamedTuple):
    """What a caller saw."""

    status: int
    outcome: str
    retry_after: float | None
    """Seconds."""


NOT_SENT_REPLY = Reply(0, NOT_SENT, None)
BROKEN_REPLY = Reply(0, BROKEN, None)


def parse_head(head: bytes) -> tuple[Reply, int, bool]:
    """Return the reply, the length of its body, and whether the connection ends."""
    status = int(head[9:12])
    found = OUTCOME.search(head)
    if found is not None:
        outcome = found[1].decode()
    elif status == 409 or status >= 500:
        # A target that is called without a router refuses by itself.
        outcome = NOT_RUN if b"ewstep-refused" in head.lower() else UNKNOWN
    else:
        outcome = ANSWERED
    pause = RETRY_AFTER.search(head)
    length = LENGTH.search(head)
    return (
        Reply(status, outcome, int(pause[1]) / 1000 if pause else None),
        int(length[1]) if length else 0,
        CLOSE.search(head) is not None,
    )


class Wire(asyncio.Protocol):
    """A connection with at most one request at a time."""

    def __init__(self):
        self.transport: asyncio.Transport | None = None
        self.buffer = b""
        self.reply: Reply | None = None
        self.missing = 0
        self.close = False
        self.waiter: asyncio.Future | None = None
        self.lost = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport."""
        self.transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """End the request in progress."""
        self.lost = True
        self.settle(BROKEN_REPLY)

    def eof_received(self) -> bool:
        """Close this side too."""
        self.lost = True
        return False

    def data_received(self, chunk: bytes) -> None:
        """Read an answer and drop its body."""
        if self.reply is None:
            self.buffer += chunk
            end = self.buffer.find(HEAD_END)
            if end < 0:
                return
            self.reply, length, self.close = parse_head(self.buffer[: end + 2])
            self.missing = length - (len(self.buffer) - end - len(HEAD_END))
            self.buffer = b""
        else:
            self.missing -= len(chunk)
        if self.missing <= 0:
            self.settle(self.reply)

    def settle(self, reply: Reply) -> None:
        """Give the reply to the caller."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(reply)

    async def exchange(self, message: bytes, limit: float) -> Reply:
        """Send a whole request and return the reply, `BROKEN` after `limit` s."""
        self.reply = None
        loop = asyncio.get_running_loop()
        self.waiter = loop.create_future()
        timer = loop.call_later(limit, self.settle, BROKEN_REPLY)
        self.transport.write(message)
        try:
            return await self.waiter
        finally:
            timer.cancel()


class Pool:
    """Keep-alive connections to one address."""

    def __init__(self, address: settings.Address):
        self.address = address
        self.idle: list[Wire] = []
        self.permits = asyncio.Semaphore(CONNECTIONS)

    async def exchange(self, message: bytes, limit: float) -> Reply:
        """Send a request on an idle or new connection."""
        async with self.permits:
            wire = await self.take()
            if wire is None:
                return NOT_SENT_REPLY
            reply = await wire.exchange(message, limit)
            if reply.outcome == BROKEN or wire.close or wire.lost or wire.missing < 0:
                wire.transport.abort()
            else:
                self.idle.append(wire)
            return reply

    async def take(self) -> Wire | None:
        """Return an open connection, or None if none can be opened."""
        while self.idle:
            wire = self.idle.pop()
            if not wire.lost:
                return wire
        try:
            _, wire = await asyncio.get_running_loop().create_connection(
                Wire, *self.address
            )
        except OSError:
            return None
        return wire

    def close(self) -> None:
        """Close all idle connections."""
        while self.idle:
            self.idle.pop().transport.abort()
