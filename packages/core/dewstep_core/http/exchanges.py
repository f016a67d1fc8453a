"""A request to the HTTP server and the means to answer it."""

import asyncio
import json
import urllib.parse
from collections.abc import Iterable
from typing import Any, NamedTuple, Protocol

import h11

from dewstep_core.http import transports

MAXIMUM_BODY_BYTES = 4 * 1024 * 1024
"""Largest body that `Exchange.read_body` collects, unless told otherwise."""

ExtraHeaders = Iterable[tuple[str, str]]


class BodyTooLong(Exception):
    """A request body is longer than its handler accepts."""


class Response(NamedTuple):
    """An answer whose body is held in memory."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


def build_json(status: int, value: Any, headers: ExtraHeaders = ()) -> Response:
    """Return a response with `value` as its JSON body."""
    body = json.dumps(value, separators=(",", ":")).encode()
    return Response(status, body, (("Content-Type", "application/json"), *headers))


class Connection(Protocol):
    """What an exchange needs of the connection that it came over."""

    transport: asyncio.Transport
    http: h11.Connection
    stopping: bool
    """Whether this answer is the last one."""

    async def read_body(self) -> bytes:
        """Return the next part of the request body, or b"" at its end."""

    async def drain(self) -> None:
        """Return once the caller has read enough."""


class Exchange:
    """One request and the means to answer it.

    Attributes
    ----------
    method, path, query : str
        Of the request line; `path` is percent-decoded, `query` is not.
    headers : dict of bytes to bytes
        By lower-case name; the last one counts where a name is repeated.
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
        """Return the bytes of an answer's head with its announced body length."""
        lines = [("Content-Length", str(length)), *headers]
        if self.connection.stopping:
            lines.append(("Connection", "close"))
        return self.connection.http.send(
            h11.Response(status_code=status, headers=lines)
        )

    def render_chunk(self, chunk: bytes) -> bytes:
        """Return the bytes of one part of the answer's body."""
        if not chunk or self.method == "HEAD":
            return b""
        return self.connection.http.send(h11.Data(data=chunk))

    def respond(self, response: Response) -> None:
        """Send a whole answer."""
        self.write(self.render(response))

    async def respond_stream(
        self, status: int, headers: ExtraHeaders, length: int, chunks: Iterable[bytes]
    ) -> None:
        """Send an answer from `chunks`, waiting while the caller does not read."""
        self.write(self.render_head(status, headers, length))
        for chunk in chunks:
            self.write(self.render_chunk(chunk))
            await self.connection.drain()
        self.write(self.connection.http.send(h11.EndOfMessage()))

    def write(self, content: bytes) -> None:
        """Send bytes as they are; what they mean is the handler's affair."""
        if not transports.write(self.connection.transport, content):
            raise ConnectionResetError("the caller closed the connection")

    def close(self) -> None:
        """Close the connection after the bytes written so far."""
        self.connection.transport.close()

    def abort(self) -> None:
        """Close the connection at once and drop the bytes not yet sent."""
        self.connection.transport.abort()
