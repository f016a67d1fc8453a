"""HTTP/1.1 client with a pool of keep-alive connections, for small JSON calls.

The failure of a call states whether the request may have been processed:
`PlatformUnavailable` if nothing was sent, `AnswerLost` once sending has begun.
"""

import asyncio
import json
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

import h11
from returns import result

from dewstep_core import errors, settings
from dewstep_core.http import answer_heads, transports

DEFAULT_CONNECTION_LIMIT = 8
"""Default limit on the open connections of a client."""
MAXIMUM_ANSWER_BODY_BYTES = 64 * 1024 * 1024
MAXIMUM_READ_AHEAD_BYTES = 128 * 1024
"""Reading pauses while more bytes are buffered that have not been parsed."""
MAXIMUM_EVENTS_PER_TURN = 128
"""Parsed events after which other connections take their turn in the event loop."""

Failure = errors.PlatformUnavailable | errors.AnswerLost


class Response(NamedTuple):
    """A complete answer."""

    status: int
    headers: Mapping[str, str]
    """Values by lower-case name."""
    body: bytes

    def read_json(self) -> Any:
        """Return the decoded body, or None if it is not valid JSON."""
        try:
            return json.loads(self.body)
        except (ValueError, RecursionError):
            return None


class ClientConnection(asyncio.Protocol):
    """An open connection that carries one call at a time.

    Bytes that are received between calls make the connection unusable, since they
    would be read as the answer to the next call.

    Parameters
    ----------
    maximum_body_bytes : int, optional
        Limit on the body of an answer.
    """

    def __init__(self, maximum_body_bytes: int = MAXIMUM_ANSWER_BODY_BYTES):
        self.maximum_body_bytes = maximum_body_bytes
        self.http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=answer_heads.MAXIMUM_HEAD_BYTES
        )
        self.transport: asyncio.Transport | None = None
        self.received = bytearray()
        self.reading = True
        self.events_until_pause = MAXIMUM_EVENTS_PER_TURN
        self.waiter: asyncio.Future | None = None
        self.ended = False
        self.idle = False
        self.usable = True

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport."""
        self.transport = transport

    def data_received(self, content: bytes) -> None:
        """Buffer bytes and resume the call in progress; without one, close."""
        if self.idle:
            self.usable = False
            self.close()
            return
        self.received += content
        if self.reading and len(self.received) > MAXIMUM_READ_AHEAD_BYTES:
            self.reading = False
            self.transport.pause_reading()
        self.resume_reader()

    def eof_received(self) -> None:
        """Mark the connection as ended."""
        self.connection_lost(None)

    def connection_lost(self, error: Exception | None) -> None:
        """Mark the connection as ended."""
        self.ended = True
        self.usable = False
        self.resume_reader()

    def resume_reader(self) -> None:
        """Resume the call that waits for bytes."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    async def read(self) -> bytes:
        """Wait for bytes and return them, or b"" if the connection has ended."""
        if not self.received and not self.ended:
            self.waiter = asyncio.get_running_loop().create_future()
            await self.waiter
        content = bytes(self.received)
        self.received.clear()
        if not self.reading:
            self.reading = True
            self.transport.resume_reading()
        return content

    async def exchange(self, request: h11.Request, body: bytes) -> Response:
        """Send a request and return the answer.

        Raises
        ------
        OSError, h11.RemoteProtocolError
            If the connection breaks or the answer is not valid HTTP.
        """
        self.idle = False
        parts = [self.http.send(request)]
        if body:
            parts.append(self.http.send(h11.Data(data=body)))
        parts.append(self.http.send(h11.EndOfMessage()))
        if not transports.write(self.transport, b"".join(parts)):
            raise ConnectionResetError("connection closed before the request was sent")
        return await self.read_response()

    async def read_response(self) -> Response:
        """Read one complete answer."""
        head = await self.next_event()
        informational_answers = 0
        while isinstance(head, h11.InformationalResponse):
            informational_answers += 1
            answer_heads.check_informational_answers(informational_answers)
            head = await self.next_event()
        if not isinstance(head, h11.Response):
            raise ConnectionResetError(
                "connection closed before an answer was received"
            )
        self.check_body_size(int(dict(head.headers).get(b"content-length", 0)))
        body = bytearray()
        while isinstance(event := await self.next_event(), h11.Data):
            body += event.data
            self.check_body_size(len(body))
        headers = {
            name.decode("ascii"): value.decode("latin-1")
            for name, value in head.headers
        }
        return Response(head.status_code, headers, bytes(body))

    def check_body_size(self, size: int) -> None:
        """Check the size of an answer's body.

        Raises
        ------
        h11.RemoteProtocolError
            If it exceeds the limit.
        """
        if size > self.maximum_body_bytes:
            raise h11.RemoteProtocolError(
                f"answer body exceeds {self.maximum_body_bytes} bytes"
            )

    async def next_event(self) -> Any:
        """Return the next h11 event, reading bytes as needed."""
        self.events_until_pause -= 1
        if not self.events_until_pause:
            self.events_until_pause = MAXIMUM_EVENTS_PER_TURN
            await asyncio.sleep(0)
        while True:
            answer_heads.check_next_head(self.http)
            event = self.http.next_event()
            if event is not h11.NEED_DATA:
                return event
            self.http.receive_data(await self.read())

    def prepare_next_call(self) -> bool:
        """Prepare for the next call; return False if the connection must close."""
        if self.http.our_state is not h11.DONE:
            return False
        if self.http.their_state is not h11.DONE:
            return False
        if self.received or self.http.trailing_data[0]:
            return False
        self.http.start_next_cycle()
        self.idle = True
        return self.usable

    def close(self) -> None:
        """Close the connection at once and discard bytes not sent yet."""
        transports.reset(self.transport)


def encode_json(value: Any) -> bytes:
    """Return `value` as a JSON body."""
    return json.dumps(value, separators=(",", ":")).encode()


def build_host_header(address: settings.Address) -> tuple[str, str]:
    """Return the Host header of requests to the server at an address."""
    host = f"[{address.host}]" if ":" in address.host else address.host
    return ("Host", f"{host}:{address.port}")


def build_request(
    method: str, path: str, body: bytes, headers: Iterable[tuple[str, str]]
) -> h11.Request:
    """Return the head of a request; `headers` include Host."""
    all_headers = [*headers]
    if body or method in ("POST", "PUT"):
        all_headers.append(("Content-Length", str(len(body))))
    return h11.Request(method=method, target=path, headers=all_headers)


async def open_connection(
    address: settings.Address, maximum_body_bytes: int = MAXIMUM_ANSWER_BODY_BYTES
) -> ClientConnection:
    """Open a connection to a server.

    Parameters
    ----------
    address : settings.Address
    maximum_body_bytes : int, optional
        Limit on the body of an answer.

    Raises
    ------
    OSError
        If it cannot be opened.
    """
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(
        lambda: ClientConnection(maximum_body_bytes), *address
    )
    return connection


class Client:
    """Calls one server over a bounded pool of keep-alive connections.

    Parameters
    ----------
    address : settings.Address
        Address of the server.
    timeout : float
        Time-out of one call in seconds, including the wait for a connection.
    headers : iterable of (str, str), optional
        Sent with every call.
    connections : int, optional
        Maximum number of open connections.
    reuses_connections : bool, optional
        Whether a connection carries further calls. A faulty server may send an answer
        once more, which a later call on the connection would take for its own.
    maximum_body_bytes : int, optional
        Limit on the body of an answer.
    """

    def __init__(
        self,
        address: settings.Address,
        timeout: float,
        headers: Iterable[tuple[str, str]] = (),
        connections: int = DEFAULT_CONNECTION_LIMIT,
        reuses_connections: bool = True,
        maximum_body_bytes: int = MAXIMUM_ANSWER_BODY_BYTES,
    ):
        self.address = address
        self.reuses_connections = reuses_connections
        self.maximum_body_bytes = maximum_body_bytes
        self.timeout = timeout
        self.headers = (build_host_header(address), *headers)
        self.connection_slots = asyncio.Semaphore(connections)
        self.idle_connections: list[ClientConnection] = []
        self.closed = False

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        timeout: float | None = None,
        headers: Iterable[tuple[str, str]] = (),
    ) -> result.Result[Response, Failure]:
        """Send one request and return the complete answer.

        Parameters
        ----------
        method, path : str
            For the request line; `path` is percent-encoded and may contain a query.
        body : bytes, optional
            Request body.
        timeout : float, optional
            Time-out in seconds; by default that of the client.
        headers : iterable of (str, str), optional
            Sent with this call only.

        Returns
        -------
        result.Result
            `PlatformUnavailable` if nothing was sent, `AnswerLost` if at least a part
            of the request may have been sent and no complete answer was received.
        """
        sent = False
        connection = None
        try:
            async with (
                asyncio.timeout(self.timeout if timeout is None else timeout),
                self.connection_slots,
            ):
                request = build_request(method, path, body, (*self.headers, *headers))
                connection = await self.get_connection()
                sent = True
                response = await connection.exchange(request, body)
                reusable = self.reuses_connections and not self.closed
                if reusable and connection.prepare_next_call():
                    self.idle_connections.append(connection)
                    connection = None
                return result.Success(response)
        except (OSError, h11.ProtocolError) as error:
            # TimeoutError is a subclass of OSError.
            detail = f"{self.address.host}:{self.address.port}: {error!r}"
            failure = errors.AnswerLost if sent else errors.PlatformUnavailable
            return result.Failure(failure(detail))
        finally:
            if connection is not None:
                connection.close()

    async def call_json(
        self,
        method: str,
        path: str,
        value: Any,
        timeout: float | None = None,
        headers: Iterable[tuple[str, str]] = (),
    ) -> result.Result[Response, Failure]:
        """Call with `value` as JSON body; see `call`."""
        return await self.call(method, path, encode_json(value), timeout, headers)

    async def get_connection(self) -> ClientConnection:
        """Return an idle connection, or a new one.

        Raises
        ------
        OSError
            If no connection can be opened.
        """
        while self.idle_connections:
            connection = self.idle_connections.pop()
            if connection.usable:
                return connection
            connection.close()
        return await open_connection(self.address, self.maximum_body_bytes)

    async def close(self) -> None:
        """Close idle connections; calls in progress close theirs when they end."""
        self.closed = True
        while self.idle_connections:
            self.idle_connections.pop().close()
