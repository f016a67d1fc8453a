"""A thin keep-alive HTTP/1.1 client around h11, for small JSON calls.

A failed call says whether the request can have been processed: it fails with
`PlatformUnavailable` if nothing was sent, and with `AnswerLost` from the first byte
written on.
"""

import asyncio
import json
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

import h11
from returns import result

from dewstep_core import errors, settings
from dewstep_core.http import transports

CONNECTIONS = 8
"""Default limit of open connections per client."""
MAXIMUM_BODY_BYTES = 64 * 1024 * 1024

Failure = errors.PlatformUnavailable | errors.AnswerLost


class Response(NamedTuple):
    """A whole answer."""

    status: int
    headers: Mapping[str, str]
    """By lower-case name."""
    body: bytes

    def read_json(self) -> Any:
        """Return the decoded body, or None if it is not valid JSON."""
        try:
            return json.loads(self.body)
        except ValueError:
            return None


class Wire(asyncio.Protocol):
    """An open connection that carries one call at a time.

    Bytes that arrive between calls make it unusable: they could otherwise be taken
    for the answer to the next call.
    """

    def __init__(self):
        self.http = h11.Connection(h11.CLIENT)
        self.transport: asyncio.Transport | None = None
        self.received: list[bytes] = []
        self.waiter: asyncio.Future | None = None
        self.ended = False
        self.idle = False
        self.usable = True

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport."""
        self.transport = transport

    def data_received(self, content: bytes) -> None:
        """Pass bytes to the call in progress."""
        if self.idle:
            self.usable = False
        self.received.append(content)
        self.wake()

    def eof_received(self) -> None:
        """Note that nothing more will come."""
        self.connection_lost(None)

    def connection_lost(self, error: Exception | None) -> None:
        """Note that nothing more will come."""
        self.ended = True
        self.usable = False
        self.wake()

    def wake(self) -> None:
        """Wake the call that waits for bytes."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    async def read(self) -> bytes:
        """Return the bytes that have arrived, or b"" at the end."""
        if not self.received and not self.ended:
            self.waiter = asyncio.get_running_loop().create_future()
            await self.waiter
        content = b"".join(self.received)
        self.received.clear()
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
            raise ConnectionResetError("the connection closed before the request")
        return await self.read_response()

    async def read_response(self) -> Response:
        """Read one answer to its end."""
        head = await self.next_event()
        while isinstance(head, h11.InformationalResponse):
            head = await self.next_event()
        if not isinstance(head, h11.Response):
            raise ConnectionResetError("the connection closed before an answer")
        chunks = []
        total = 0
        while isinstance(event := await self.next_event(), h11.Data):
            total += len(event.data)
            if total > MAXIMUM_BODY_BYTES:
                raise h11.RemoteProtocolError("the answer is too long")
            chunks.append(bytes(event.data))
        headers = {
            name.decode("ascii"): value.decode("latin-1")
            for name, value in head.headers
        }
        return Response(head.status_code, headers, b"".join(chunks))

    async def next_event(self) -> Any:
        """Return the next h11 event, reading as needed."""
        while True:
            event = self.http.next_event()
            if event is not h11.NEED_DATA:
                return event
            self.http.receive_data(await self.read())

    def recycle(self) -> bool:
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
        """Close the connection at once; what is left of a call is not sent."""
        transports.reset(self.transport)


class Client:
    """Calls one server over a bounded pool of keep-alive connections.

    Parameters
    ----------
    address : settings.Address
        Where the server listens.
    timeout : float
        Seconds for one call, including the wait for a connection.
    headers : iterable of (str, str), optional
        Sent with every call.
    connections : int, optional
        Most connections that are open at once.
    """

    def __init__(
        self,
        address: settings.Address,
        timeout: float,
        headers: Iterable[tuple[str, str]] = (),
        connections: int = CONNECTIONS,
    ):
        self.address = address
        self.timeout = timeout
        host = f"[{address.host}]" if ":" in address.host else address.host
        self.headers = (("Host", f"{host}:{address.port}"), *headers)
        self.permits = asyncio.Semaphore(connections)
        self.idle: list[Wire] = []
        self.closed = False

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        timeout: float | None = None,
        headers: Iterable[tuple[str, str]] = (),
    ) -> result.Result[Response, Failure]:
        """Send one request and return the whole answer.

        Parameters
        ----------
        method, path : str
            For the request line; `path` is percent-encoded and may hold a query.
        body : bytes, optional
            Request body.
        timeout : float, optional
            Seconds; the client's own if absent.
        headers : iterable of (str, str), optional
            Sent with this call only.

        Returns
        -------
        result.Result
            `PlatformUnavailable` if nothing was sent, `AnswerLost` if the request
            was sent at least in part and no whole answer came.
        """
        sent = False
        wire = None
        try:
            async with (
                asyncio.timeout(self.timeout if timeout is None else timeout),
                self.permits,
            ):
                request = self.build_request(method, path, body, headers)
                wire = await self.get_wire()
                sent = True
                response = await wire.exchange(request, body)
                if not self.closed and wire.recycle():
                    self.idle.append(wire)
                    wire = None
                return result.Success(response)
        except (OSError, h11.ProtocolError) as error:
            # TimeoutError is a kind of OSError.
            detail = f"{self.address.host}:{self.address.port}: {error!r}"
            failure = errors.AnswerLost if sent else errors.PlatformUnavailable
            return result.Failure(failure(detail))
        finally:
            if wire is not None:
                wire.close()

    async def call_json(
        self, method: str, path: str, value: Any, timeout: float | None = None
    ) -> result.Result[Response, Failure]:
        """Call with `value` as JSON body; see `call`."""
        body = json.dumps(value, separators=(",", ":")).encode()
        return await self.call(method, path, body, timeout)

    def build_request(
        self, method: str, path: str, body: bytes, extra: Iterable[tuple[str, str]]
    ) -> h11.Request:
        """Return the head of a request."""
        headers = [*self.headers, *extra]
        if body or method in ("POST", "PUT"):
            headers.append(("Content-Length", str(len(body))))
        return h11.Request(method=method, target=path, headers=headers)

    async def get_wire(self) -> Wire:
        """Return an idle connection, or a new one.

        Raises
        ------
        OSError
            If no connection can be opened.
        """
        while self.idle:
            wire = self.idle.pop()
            if wire.usable:
                return wire
            wire.close()
        loop = asyncio.get_running_loop()
        _, wire = await loop.create_connection(Wire, *self.address)
        return wire

    async def close(self) -> None:
        """Close the idle connections; calls in progress close theirs at their end."""
        self.closed = True
        while self.idle:
            self.idle.pop().close()
