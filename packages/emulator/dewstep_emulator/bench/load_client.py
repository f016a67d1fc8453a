"""A minimal HTTP/1.1 client for load generation.

A general HTTP client would make the load tool the bottleneck. Of an answer, only the
status, length, connection and dewstep headers are parsed; the body is discarded.
"""

import asyncio
import re
from typing import NamedTuple

from dewstep_core import settings

MAX_CONNECTIONS_PER_ADDRESS = 200
HEAD_END = b"\r\n\r\n"
CONTENT_LENGTH_PATTERN = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)
OUTCOME_PATTERN = re.compile(rb"\r\ndewstep-outcome: *([a-z-]+)", re.IGNORECASE)
RETRY_AFTER_PATTERN = re.compile(rb"\r\ndewstep-retry-after-ms: *(\d+)", re.IGNORECASE)
CONNECTION_CLOSE_PATTERN = re.compile(rb"\r\nconnection: *close", re.IGNORECASE)

ANSWERED = "answered"
UNKNOWN = "unknown"
NOT_RUN = "not-run"
BROKEN = "broken"
"""The connection ended, or no answer came in time."""
NOT_SENT = "not-sent"
"""No connection could be opened."""


class Reply(NamedTuple):
    """The parsed head of an answer, or the failure to get one."""

    status: int
    outcome: str
    retry_after: float | None
    """Seconds."""


NOT_SENT_REPLY = Reply(0, NOT_SENT, None)
BROKEN_REPLY = Reply(0, BROKEN, None)


def parse_head(head: bytes) -> tuple[Reply, int, bool]:
    """Return the reply, the length of its body, and whether the connection closes."""
    status = int(head[9:12])
    found = OUTCOME_PATTERN.search(head)
    if found is not None:
        outcome = found[1].decode()
    elif status == 409 or status >= 500:
        # Targets called directly set no outcome header, only their refusal header.
        outcome = NOT_RUN if b"ewstep-refused" in head.lower() else UNKNOWN
    else:
        outcome = ANSWERED
    retry_after_match = RETRY_AFTER_PATTERN.search(head)
    length = CONTENT_LENGTH_PATTERN.search(head)
    return (
        Reply(
            status,
            outcome,
            int(retry_after_match[1]) / 1000 if retry_after_match else None,
        ),
        int(length[1]) if length else 0,
        CONNECTION_CLOSE_PATTERN.search(head) is not None,
    )


class Connection(asyncio.Protocol):
    """A connection with at most one request at a time."""

    def __init__(self):
        self.transport: asyncio.Transport | None = None
        self.buffer = b""
        self.reply: Reply | None = None
        self.missing_bytes = 0
        self.closes_after_answer = False
        self.pending_reply: asyncio.Future | None = None
        self.is_lost = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport."""
        self.transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """Complete the request in progress as broken."""
        self.is_lost = True
        self.complete(BROKEN_REPLY)

    def eof_received(self) -> bool:
        """Mark the connection as lost and let the transport close."""
        self.is_lost = True
        return False

    def data_received(self, chunk: bytes) -> None:
        """Parse the head of an answer and discard its body."""
        if self.reply is None:
            self.buffer += chunk
            end = self.buffer.find(HEAD_END)
            if end < 0:
                return
            self.reply, length, self.closes_after_answer = parse_head(
                self.buffer[: end + 2]
            )
            self.missing_bytes = length - (len(self.buffer) - end - len(HEAD_END))
            self.buffer = b""
        else:
            self.missing_bytes -= len(chunk)
        if self.missing_bytes <= 0:
            self.complete(self.reply)

    def complete(self, reply: Reply) -> None:
        """Pass the reply to the waiting `exchange`."""
        if self.pending_reply is not None and not self.pending_reply.done():
            self.pending_reply.set_result(reply)

    async def exchange(self, message: bytes, timeout: float) -> Reply:
        """Send a request; return its reply, or `BROKEN_REPLY` after `timeout` s."""
        self.reply = None
        loop = asyncio.get_running_loop()
        self.pending_reply = loop.create_future()
        timeout_handle = loop.call_later(timeout, self.complete, BROKEN_REPLY)
        self.transport.write(message)
        try:
            return await self.pending_reply
        finally:
            timeout_handle.cancel()


class ConnectionPool:
    """Keep-alive connections to one address."""

    def __init__(self, address: settings.Address):
        self.address = address
        self.idle: list[Connection] = []
        self.connection_slots = asyncio.Semaphore(MAX_CONNECTIONS_PER_ADDRESS)

    async def exchange(self, message: bytes, timeout: float) -> Reply:
        """Send a request on an idle or new connection."""
        async with self.connection_slots:
            connection = await self.acquire_connection()
            if connection is None:
                return NOT_SENT_REPLY
            reply = await connection.exchange(message, timeout)
            if (
                reply.outcome == BROKEN
                or connection.closes_after_answer
                or connection.is_lost
                or connection.missing_bytes < 0
            ):
                connection.transport.abort()
            else:
                self.idle.append(connection)
            return reply

    async def acquire_connection(self) -> Connection | None:
        """Return an open connection, or None if none can be opened."""
        while self.idle:
            connection = self.idle.pop()
            if not connection.is_lost:
                return connection
        try:
            _, connection = await asyncio.get_running_loop().create_connection(
                Connection, *self.address
            )
        except OSError:
            return None
        return connection

    def close(self) -> None:
        """Close all idle connections."""
        while self.idle:
            self.idle.pop().transport.abort()
