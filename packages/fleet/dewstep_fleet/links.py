"""TCP connections between instances that carry length-prefixed frames."""

import asyncio
import datetime
from collections.abc import Callable

import capnp

from dewstep_core import events
from dewstep_core.http import transports
from dewstep_fleet import frames

LENGTH_PREFIX_BYTES = 4
CONNECT_TIMEOUT = datetime.timedelta(milliseconds=400)
"""A connection between data centres normally takes 2 ms."""
MAX_WRITE_BUFFER_BYTES = 1024 * 1024
"""A connection with more unsent bytes than this counts as broken."""


class Link(asyncio.Protocol):
    """One connection to another instance.

    Parameters
    ----------
    on_frame : callable
        Called with the link and each received frame.
    on_close : callable
        Called with the link after it has closed.
    """

    def __init__(
        self,
        on_frame: Callable[["Link", frames.Frame], None],
        on_close: Callable[["Link"], None],
    ):
        self.on_frame = on_frame
        self.on_close = on_close
        self.transport: asyncio.Transport | None = None
        self.received = bytearray()
        self.closed = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport."""
        self.transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """Report that the link has closed."""
        self.closed = True
        self.on_close(self)

    def data_received(self, content: bytes) -> None:
        """Decode and pass on all complete frames."""
        self.received += content
        while len(self.received) >= LENGTH_PREFIX_BYTES and not self.closed:
            size = int.from_bytes(self.received[:LENGTH_PREFIX_BYTES], "big")
            if size > frames.MAX_FRAME_BYTES:
                events.warning("frame_refused", size=size)
                self.close()
                return
            if len(self.received) < LENGTH_PREFIX_BYTES + size:
                return
            content = bytes(
                self.received[LENGTH_PREFIX_BYTES : LENGTH_PREFIX_BYTES + size]
            )
            del self.received[: LENGTH_PREFIX_BYTES + size]
            try:
                frame = frames.decode(content)
            except (capnp.KjException, ValueError) as error:
                events.warning("frame_refused", error=type(error).__name__)
                self.close()
                return
            self.on_frame(self, frame)

    def send(self, frame: frames.Frame) -> bool:
        """Send a frame; return false if the link is closed or its buffer is full."""
        return self.send_encoded(frames.encode(frame))

    def send_encoded(self, content: bytes) -> bool:
        """Send an encoded frame; returns as `send`."""
        if self.closed or self.transport is None:
            return False
        if self.transport.get_write_buffer_size() > MAX_WRITE_BUFFER_BYTES:
            self.close()
            return False
        prefix = len(content).to_bytes(LENGTH_PREFIX_BYTES, "big")
        return transports.write(self.transport, prefix + content)

    def close(self) -> None:
        """Close the connection at once."""
        self.closed = True
        if self.transport is not None:
            self.transport.abort()


async def connect(host: str, port: int, on_frame, on_close) -> Link:
    """Open a link to another instance.

    Raises
    ------
    OSError
        If the connection fails or is not established within `CONNECT_TIMEOUT`.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(CONNECT_TIMEOUT.total_seconds()):
        _, link = await loop.create_connection(
            lambda: Link(on_frame, on_close), host, port
        )
    return link
