"""TCP connections between instances that carry length-prefixed frames."""

import asyncio
import collections
import datetime
from collections.abc import Callable

import capnp

from dewstep_core import events
from dewstep_core.http import transports
from dewstep_fleet import frames
from dewstep_fleet.totals import envelopes, link_states

LENGTH_PREFIX_BYTES = 4
CONNECT_TIMEOUT = datetime.timedelta(milliseconds=400)
"""A connection between data centres normally takes 2 ms."""
FIRST_FRAME_TIMEOUT = datetime.timedelta(seconds=5)
"""Time after which an accepted link without a whole frame is closed. The instance that
opens a link sends a small frame at once."""
FRAME_TIMEOUT = datetime.timedelta(seconds=10)
"""Time after which a link with an incomplete frame is closed. The largest frame takes
6.7 s at 10 Mbit/s."""
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
    accepted : bool
        Whether the other instance opened the link and therefore sends the first frame.
    """

    def __init__(
        self,
        on_frame: Callable[["Link", frames.Frame], None],
        on_close: Callable[["Link"], None],
        accepted: bool = True,
    ):
        self.on_frame = on_frame
        self.on_close = on_close
        self.transport: asyncio.Transport | None = None
        self.received = bytearray()
        self.closed = False
        self.accepted = accepted
        self.sent_bytes = collections.Counter()
        """Bytes sent, by kind of message; its owner may count several links in one."""
        self.state = link_states.LinkState()
        self.opened_at: datetime.timedelta | None = None
        """When it was opened, if its owner records this."""
        self.frame_timer: asyncio.TimerHandle | None = None
        """Closes the link unless the next frame is complete."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport and wait for the first frame."""
        self.transport = transport
        if self.accepted:
            self._start_frame_timer(FIRST_FRAME_TIMEOUT)

    def connection_lost(self, error: Exception | None) -> None:
        """Report that the link has closed."""
        self.closed = True
        self._stop_frame_timer()
        self.on_close(self)

    def data_received(self, content: bytes) -> None:
        """Decode and pass on all complete frames."""
        self.received += content
        self._read_frames()
        if self.received and self.frame_timer is None and not self.closed:
            self._start_frame_timer(FRAME_TIMEOUT)

    def _read_frames(self) -> None:
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
            self._stop_frame_timer()
            try:
                frame = envelopes.decode(content, self.state)
            except (capnp.KjException, ValueError) as error:
                events.warning("frame_refused", error=type(error).__name__)
                self.close()
                return
            self.on_frame(self, frame)

    def _start_frame_timer(self, timeout: datetime.timedelta) -> None:
        self.frame_timer = asyncio.get_running_loop().call_later(
            timeout.total_seconds(), self._end_wait
        )

    def _stop_frame_timer(self) -> None:
        if self.frame_timer is not None:
            self.frame_timer.cancel()
            self.frame_timer = None

    def _end_wait(self) -> None:
        """Close the link, whose next frame is not complete in time."""
        events.warning("frame_timed_out", received=len(self.received))
        self.close()

    def send(self, frame: frames.Frame) -> bool:
        """Send a frame; return false if the link is closed or its buffer is full."""
        return self.send_encoded(frames.encode(frame), frame.kind)

    def send_encoded(self, content: bytes, kind: str) -> bool:
        """Send an encoded frame of a kind; returns as `send`."""
        if self.closed or self.transport is None:
            return False
        if self.transport.get_write_buffer_size() > MAX_WRITE_BUFFER_BYTES:
            self.close()
            return False
        self.sent_bytes[kind] += LENGTH_PREFIX_BYTES + len(content)
        prefix = len(content).to_bytes(LENGTH_PREFIX_BYTES, "big")
        return transports.write(self.transport, prefix + content)

    def count_unsent_bytes(self) -> int:
        """Return the bytes of earlier frames that the connection has not taken."""
        if self.transport is None:
            return 0
        return self.transport.get_write_buffer_size()

    def close(self) -> None:
        """Close the connection at once."""
        self.closed = True
        self._stop_frame_timer()
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
            lambda: Link(on_frame, on_close, accepted=False), host, port
        )
    return link
