"""A server for tests whose answers never end, and builders of such answers.

The server runs in threads, so that it neither delays the event loop under test nor
waits for it.
"""

import asyncio
import contextlib
import socket
import threading
import time
from collections.abc import AsyncIterator, Iterator
from typing import NamedTuple

from dewstep_core import settings

BLOCK_BYTES = 65_536
SEND_BUFFER_BYTES = 65_536
REQUEST_ID = b"a"
OTHER_ID = b"b"
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"


class Pattern(NamedTuple):
    """Bytes that a server sends for each request: `start`, then `repeated` for ever."""

    start: bytes
    repeated: bytes


def build_head(*lines: bytes, request_id: bytes = REQUEST_ID) -> bytes:
    """Return the head of an answer with further header lines."""
    id_line = b"X-Id: " + request_id
    return STATUS_LINE + b"\r\n".join((id_line, *lines)) + b"\r\n\r\n"


CHUNKED_HEAD = build_head(b"Transfer-Encoding: chunked")
COMPLETE_ANSWER = build_head(b"Content-Length: 2") + b"ok"
OTHER_ANSWER = build_head(b"Content-Length: 2", request_id=OTHER_ID) + b"no"
INFORMATIONAL = b"HTTP/1.1 102 Processing\r\n\r\n"

INVALID_PATTERNS = {
    "no-http": Pattern(b"", b"\x80\x01ab"),
    "no-http-lines": Pattern(b"", b"no answer\r\n"),
    "status-line": Pattern(b"HTTP/1.1 200 ", b"O"),
    "header-name": Pattern(STATUS_LINE, b"x"),
    "header-value": Pattern(STATUS_LINE + b"X-Id: ", b"a"),
    "header-lines": Pattern(STATUS_LINE, b"X-Id: a\r\n"),
    "header-spaces": Pattern(
        STATUS_LINE + b"x:" + b" " * 60_000 + b"\x00\r\n\r\n", b"x"
    ),
    "content-length": Pattern(STATUS_LINE + b"Content-Length: ", b"9"),
    "informational": Pattern(b"", INFORMATIONAL),
    "chunk-size": Pattern(CHUNKED_HEAD, b"0"),
    "chunk-extension": Pattern(CHUNKED_HEAD + b"1;", b"x"),
    "trailer-line": Pattern(CHUNKED_HEAD + b"2\r\nok\r\n0\r\nX: ", b"x"),
    "trailer-lines": Pattern(CHUNKED_HEAD + b"2\r\nok\r\n0\r\n", b"X: x\r\n"),
}
"""Patterns that a client can recognize as no answer before its deadline."""

UNENDING_BODIES = {
    "chunks": Pattern(CHUNKED_HEAD, b"8000\r\n" + b"x" * 0x8000 + b"\r\n"),
    "small-chunks": Pattern(CHUNKED_HEAD, b"1\r\nx\r\n"),
    "until-close": Pattern(build_head(), b"x"),
}
"""Patterns that may be legal answers until the deadline."""

SKIPPED_PATTERNS = {
    "chunked": Pattern(
        build_head(b"Transfer-Encoding: chunked", request_id=OTHER_ID),
        b"8000\r\n" + b"x" * 0x8000 + b"\r\n",
    ),
    "length": Pattern(
        build_head(b"Content-Length: 999999999999", request_id=OTHER_ID), b"x"
    ),
    "many": Pattern(b"", OTHER_ANSWER),
}
"""Late answers to another request that never end."""

SURPLUS_PATTERNS = {
    "bytes": Pattern(COMPLETE_ANSWER, b"x"),
    "answers": Pattern(COMPLETE_ANSWER, COMPLETE_ANSWER),
}
"""Complete answers that are followed by bytes without end."""


class Server:
    """Sends a pattern for each request until the peer closes the connection.

    Parameters
    ----------
    pattern : Pattern
    interval : float, optional
        Seconds between two bytes of the repeated part; 0 sends it at full speed.
    surplus_delay : float, optional
        Seconds between the start and the repeated part.
    wait_for_request : bool, optional
        Whether to send only after the head of a request.
    """

    def __init__(
        self,
        pattern: Pattern,
        interval: float = 0.0,
        surplus_delay: float = 0.0,
        wait_for_request: bool = True,
    ):
        self.pattern = pattern
        self.interval = interval
        self.surplus_delay = surplus_delay
        self.wait_for_request = wait_for_request
        self.sent_bytes = 0
        self.accepted = 0
        self.closed_at: list[float] = []
        """Monotonic times at which the peer's close was noticed."""
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = settings.Address(*self.listener.getsockname()[:2])
        self.stopped = threading.Event()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        """Serve each connection in a thread of its own."""
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            self.accepted += 1
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection: socket.socket) -> None:
        """Send the pattern until the peer closes the connection."""
        with connection, contextlib.suppress(OSError):
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
            )
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self.wait_for_request and not read_request(connection):
                return
            connection.settimeout(0.2)
            for piece in self.generate_pieces():
                self.send(connection, piece)
        self.closed_at.append(time.monotonic())

    def generate_pieces(self) -> Iterator[bytes]:
        """Yield the pieces to send."""
        if self.pattern.start:
            yield self.pattern.start
        if self.surplus_delay:
            time.sleep(self.surplus_delay)
        repeated = self.pattern.repeated
        if not self.interval:
            block = repeated * max(1, BLOCK_BYTES // len(repeated))
            while True:
                yield block
        while True:
            for position in range(len(repeated)):
                yield repeated[position : position + 1]
                time.sleep(self.interval)

    def send(self, connection: socket.socket, piece: bytes) -> None:
        """Send a piece, which the peer may read slowly."""
        view = memoryview(piece)
        while view:
            if self.stopped.is_set():
                raise OSError("server stopped")
            with contextlib.suppress(TimeoutError):
                count = connection.send(view)
                self.sent_bytes += count
                view = view[count:]

    async def wait_closed(self, seconds: float) -> bool:
        """Return whether the peer closed all connections within some seconds."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.accepted and len(self.closed_at) == self.accepted:
                return True
            await asyncio.sleep(0.01)
        return False

    def close(self) -> None:
        """Stop listening and sending."""
        self.stopped.set()
        self.listener.close()


def read_request(connection: socket.socket) -> bool:
    """Read the head of a request; return False if the connection was closed."""
    received = b""
    while b"\r\n\r\n" not in received:
        part = connection.recv(BLOCK_BYTES)
        if not part:
            return False
        received += part
    return True


@contextlib.asynccontextmanager
async def running(pattern: Pattern, **options) -> AsyncIterator[Server]:
    """Yield a server that is closed at the end; options as for `Server`."""
    server = Server(pattern, **options)
    try:
        yield server
    finally:
        server.close()


class LoopMonitor:
    """Measures the longest processor time between two turns of the event loop."""

    def __init__(self):
        self.turns = 0
        self.longest_seconds = 0.0
        self.task: asyncio.Task | None = None

    async def __aenter__(self) -> "LoopMonitor":
        self.task = asyncio.ensure_future(self.measure())
        await asyncio.sleep(0)
        return self

    async def __aexit__(self, *_) -> None:
        self.task.cancel()

    async def measure(self) -> None:
        """Compare the thread's processor time at successive turns."""
        previous = time.thread_time()
        while True:
            await asyncio.sleep(0.001)
            now = time.thread_time()
            self.turns += 1
            self.longest_seconds = max(self.longest_seconds, now - previous)
            previous = now
