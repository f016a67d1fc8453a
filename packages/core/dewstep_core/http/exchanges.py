"""Requests received by the HTTP server, and their answers."""

import asyncio
import json
import urllib.parse
from collections.abc import Iterable
from typing import Any, NamedTuple, Protocol

import h11

from dewstep_core.http import transports

MAXIMUM_BODY_BYTES = 4 * 1024 * 1024
"""Default limit of `Exchange.read_body`."""

ExtraHeaders = Iterable[tuple[str, str]]


class BodyTooLong(Exception):
    """A request body exceeds the limit of its handler."""


class Response(NamedTuple):
    """An answer with its complete body."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


def build_json(status: int, value: Any, headers: ExtraHeaders = ()) -> Response:
    """Return a response with `value` as its JSON body."""
    body = json.dumps(value, separators=(",", ":")).encode()
    return Response(status, body, (("Content-Type", "application/json"), *headers))


class Connection(Protocol):
    """The interface that an exchange requires of its connection."""

    transport: asyncio.Transport
    http: h11.Connection
    stopping: bool
    """Whether the connection is to be closed after this answer."""

    async def read_body(self) -> bytes:
        """Return the next part of the request body, or b"" at its end."""

    async def drain(self) -> None:
        """Wait until the transport's buffer has space."""


class Exchange:
    """One request, with methods that send the answer.

    Attributes
    ----------
    method, path, query : str
        Parts of the request line; `path` is percent-decoded, `query` is not.
    headers : dict of bytes to bytes
        Values by lower-case name; the last value if a name is repeated.
    """

    __slots__ = ("connection", "headers", "method", "path", "query")

    def __init__(self, connection: Connection, head: h11.Request):
        self.connection = connection
        self.method = head.method.decode("ascii")
        path, _, query = head.target.partition(b"?")
        self.path = path.decode("latin-1")
        if "%" in self.path:
            self.path = urllib.parse.unquote(self.path, errors="replace")
        self.query = query.decode("latin-1")
        self.headers = dict(head.headers)

    def get_header(self, name: str) -> str:
        """Return the value of a header as text, or "" if it is absent."""
        value = self.headers.get(name.lower().encode("ascii"), b"")
        return value.decode("utf-8", "replace")

    async def read_chunk(self) -> bytes:
        """Return the next part of the request body, or b"" at its end."""
        return await self.connection.read_body()

    async def read_body(self, limit: int = MAXIMUM_BODY_BYTES) -> bytes:
        """Return the whole request body.

        Raises
        ------
        BodyTooLong
            If the body has more than `limit` bytes.
        """
        chunks = []
        total = 0
        while chunk := await self.read_chunk():
            total += len(chunk)
            if total > limit:
                raise BodyTooLong
            chunks.append(chunk)
        return b"".join(chunks)

    def render(self, response: Response) -> bytes:
        """Return the bytes of `response` without sending them."""
        head = self.render_head(response.status, response.headers, len(response.body))
        http = self.connection.http
        return head + self.render_chunk(response.body) + http.send(h11.EndOfMessage())

    def render_head(self, status: int, headers: ExtraHeaders, length: int) -> bytes:
        """Return the bytes of an answer's head with `length` as its content length."""
        all_headers = [("Content-Length", str(length)), *headers]
        if self.connection.stopping:
            all_headers.append(("Connection", "close"))
        return self.connection.http.send(
            h11.Response(status_code=status, headers=all_headers)
        )

    def render_chunk(self, chunk: bytes) -> bytes:
        """Return the bytes of one part of the answer's body."""
        if not chunk or self.method == "HEAD":
            return b""
        return self.connection.http.send(h11.Data(data=chunk))

    def respond(self, response: Response) -> None:
        """Send a complete answer."""
        self.write(self.render(response))

    async def respond_stream(
        self, status: int, headers: ExtraHeaders, length: int, chunks: Iterable[bytes]
    ) -> None:
        """Send an answer whose body is `chunks`, waiting for the client to read it."""
        self.write(self.render_head(status, headers, length))
        for chunk in chunks:
            self.write(self.render_chunk(chunk))
            await self.connection.drain()
        self.write(self.connection.http.send(h11.EndOfMessage()))

    def write(self, content: bytes) -> None:
        """Send raw bytes."""
        if not transports.write(self.connection.transport, content):
            raise ConnectionResetError("connection closed by the client")

    def close(self) -> None:
        """Close the connection once the bytes written so far have been sent."""
        self.connection.transport.close()

    def abort(self) -> None:
        """Close the connection at once and discard bytes not sent yet."""
        self.connection.transport.abort()
