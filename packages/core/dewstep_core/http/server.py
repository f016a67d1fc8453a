"""HTTP/1.1 server for small JSON calls and for the emulated services.

One task per connection reads requests and awaits the handler. The socket is read while
the handler runs, so that the handler is cancelled when the connection is closed.
"""

import asyncio
import select
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import h11

from dewstep_core import events, settings
from dewstep_core.http import exchanges, transports

LISTEN_BACKLOG = 512
MAXIMUM_READ_AHEAD_BYTES = 128 * 1024
"""Reading pauses while more bytes are buffered that the handler has not read."""
MAXIMUM_SKIPPED_BODY_BYTES = 1024 * 1024
"""Connections with a longer unread body are closed rather than kept alive."""
SKIP_TIMEOUT_SECONDS = 2.0
"""Maximum time to receive and discard an unread body."""

Handler = Callable[[exchanges.Exchange], Awaitable[None]]


class Connection(asyncio.Protocol):
    """One accepted connection and the task that serves it."""

    def __init__(self, server: "Server"):
        self.server = server
        self.http = h11.Connection(h11.SERVER)
        self.transport: asyncio.Transport | None = None
        self.task: asyncio.Task | None = None
        self.received: list[bytes] = []
        self.received_bytes = 0
        self.reading_paused = False
        self.data_waiter: asyncio.Future | None = None
        self.write_waiter: asyncio.Future | None = None
        self.writing_paused = False
        self.body_complete = False
        self.busy = False
        self.server_closes = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start serving, or close the connection if the server has too many."""
        self.transport = transport
        if not self.server.add_connection(self):
            transport.abort()
            return
        self.task = asyncio.get_running_loop().create_task(self.serve())

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the task that serves the connection."""
        self.server.connections.discard(self)
        if self.task is not None:
            self.task.cancel()

    def data_received(self, content: bytes) -> None:
        """Buffer bytes for the serving task."""
        self.received.append(content)
        self.received_bytes += len(content)
        if self.data_waiter is not None:
            self.data_waiter.set_result(None)
            self.data_waiter = None
        elif self.received_bytes > MAXIMUM_READ_AHEAD_BYTES:
            self.reading_paused = True
            self.transport.pause_reading()

    def pause_writing(self) -> None:
        """Mark the transport's buffer as full."""
        self.writing_paused = True

    def resume_writing(self) -> None:
        """Resume a handler that waits for space in the transport's buffer."""
        self.writing_paused = False
        if self.write_waiter is not None and not self.write_waiter.done():
            self.write_waiter.set_result(None)

    async def drain(self) -> None:
        """Wait until the transport's buffer has space."""
        while self.writing_paused:
            self.write_waiter = asyncio.get_running_loop().create_future()
            await self.write_waiter

    async def next_event(self) -> Any:
        """Return the next h11 event, waiting for bytes as needed."""
        while True:
            event = self.http.next_event()
            if event is not h11.NEED_DATA:
                return event
            if not self.received:
                await self.wait_for_data()
            self.http.receive_data(b"".join(self.received))
            self.received.clear()
            self.received_bytes = 0

    async def wait_for_data(self) -> None:
        """Wait until bytes have been received."""
        if self.reading_paused:
            self.reading_paused = False
            self.transport.resume_reading()
        self.data_waiter = asyncio.get_running_loop().create_future()
        try:
            await self.data_waiter
        finally:
            self.data_waiter = None

    async def read_body(self) -> bytes:
        """Return the next part of the current request's body, b"" at its end."""
        if self.body_complete:
            return b""
        if self.http.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            transports.write(self.transport, self.http.send(continue_response))
        event = await self.next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self.body_complete = True
            return b""
        raise ConnectionResetError(
            "connection closed before the end of the request body"
        )

    async def serve(self) -> None:
        """Serve requests until the connection or the server is closed."""
        try:
            if self.server.accept_delay > 0:
                await asyncio.sleep(self.server.accept_delay)
            while await self.serve_request():
                if self.stopping:
                    break
        except h11.RemoteProtocolError as error:
            self.send_error(error)
        except ConnectionError:
            pass
        except Exception as error:
            events.exception("handler_failed", error)
        finally:
            self.transport.close()

    async def serve_request(self) -> bool:
        """Serve one request; return whether the connection can be kept alive."""
        head = await self.next_event()
        if not isinstance(head, h11.Request):
            return False
        self.busy = True
        self.body_complete = False
        await self.server.handler(exchanges.Exchange(self, head))
        if self.transport.is_closing() or not await self.skip_body():
            return False
        if self.http.our_state is not h11.DONE:
            return False
        self.http.start_next_cycle()
        self.busy = False
        return True

    async def skip_body(self) -> bool:
        """Discard the unread rest of the body; return whether its end was reached."""
        if self.http.their_state is h11.DONE:
            return True
        if self.http.they_are_waiting_for_100_continue:
            return False
        skipped = 0
        try:
            async with asyncio.timeout(SKIP_TIMEOUT_SECONDS):
                while chunk := await self.read_body():
                    skipped += len(chunk)
                    if skipped > MAXIMUM_SKIPPED_BODY_BYTES:
                        return False
        except TimeoutError:
            return False
        return True

    def send_error(self, error: h11.RemoteProtocolError) -> None:
        """Answer a request that violates HTTP, if no answer has been started."""
        if self.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        status = error.error_status_hint
        headers = [("Content-Length", "0"), ("Connection", "close")]
        answer = h11.Response(status_code=status, headers=headers)
        transports.write(self.transport, self.http.send(answer))

    @property
    def stopping(self) -> bool:
        """Whether the connection is to be closed after the present answer."""
        return self.server_closes and not self.has_input()

    def has_input(self) -> bool:
        """Return whether something has arrived that was not parsed.

        The event loop may not have read it yet, so the socket is polled. Closing would
        drop it, and its sender could not know whether the request was processed.
        """
        if self.transport.is_closing():
            return False
        if self.received or self.http.trailing_data[0]:
            return True
        poller = select.poll()
        poller.register(self.transport.get_extra_info("socket"), select.POLLIN)
        return bool(poller.poll(0))

    def stop(self) -> None:
        """Close the connection now if it is idle, else after the requests received."""
        self.server_closes = True
        if not self.busy and self.stopping:
            self.transport.close()


class Server:
    """Listens on one address and passes each request to a handler.

    Parameters
    ----------
    handler : Handler
        Answers an `Exchange`. It is cancelled when the connection is closed.
    maximum_connections : int, optional
        Limit above which new connections are closed at once; 0 means no limit.
    accept_delay : float, optional
        Delay in seconds between accepting a connection and reading from it.
    """

    def __init__(
        self, handler: Handler, maximum_connections: int = 0, accept_delay: float = 0.0
    ):
        self.handler = handler
        self.maximum_connections = maximum_connections
        self.accept_delay = accept_delay
        self.connections: set[Connection] = set()
        self.address: settings.Address | None = None
        self.reserving_socket: socket.socket | None = None
        self.listener: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> settings.Address:
        """Listen and return the bound address; port 0 selects a free port.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        # A second socket, bound but not listening, reserves the port after
        # `stop_listening`, while the kernel refuses connections.
        self.reserving_socket = bind_socket(family, host, port)
        self.address = settings.Address(*self.reserving_socket.getsockname()[:2])
        await self.resume_listening()
        return self.address

    async def resume_listening(self) -> None:
        """Start or resume accepting connections."""
        if self.listener is not None:
            return
        bound_socket = bind_socket(self.reserving_socket.family, *self.address)
        self.listener = await asyncio.get_running_loop().create_server(
            lambda: Connection(self), sock=bound_socket, backlog=LISTEN_BACKLOG
        )

    def stop_listening(self) -> None:
        """Refuse new connections; open ones are kept."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    def add_connection(self, connection: Connection) -> bool:
        """Add a new connection; return False if there are too many."""
        if 0 < self.maximum_connections <= len(self.connections):
            return False
        self.connections.add(connection)
        return True

    def abort_connections(self) -> None:
        """Close all open connections at once."""
        for connection in tuple(self.connections):
            connection.transport.abort()

    async def close(self, grace: float = 5.0) -> None:
        """Stop listening, finish exchanges in progress, close all connections.

        Parameters
        ----------
        grace : float, optional
            Seconds after which exchanges in progress are aborted.
        """
        self.stop_listening()
        for connection in tuple(self.connections):
            connection.stop()
            # The socket is closed in the next turn of the event loop. What arrives
            # until then is dropped, so the connections do not wait for each other.
            await asyncio.sleep(0)
        tasks = [connection.task for connection in self.connections]
        if tasks:
            await asyncio.wait(tasks, timeout=grace)
        self.abort_connections()
        if self.reserving_socket is not None:
            self.reserving_socket.close()


def bind_socket(family: int, host: str, port: int) -> socket.socket:
    """Return a TCP socket bound to an address that other sockets may share."""
    bound = socket.socket(family, socket.SOCK_STREAM)
    try:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind((host, port))
    except OSError:
        bound.close()
        raise
    return bound
