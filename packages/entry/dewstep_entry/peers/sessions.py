"""A connection to a peer: hello, framing and a bounded write buffer.

Frames are passed to the transport immediately, because uvloop combines the writes of
one event loop iteration. All streams share the write buffer. Bodies wait in
`wait_writable` while it is full, so that a peer that does not read costs a bounded
amount of memory.
"""

import asyncio
import socket
from collections.abc import Callable
from typing import Any, Protocol

from dewstep_core import data
from dewstep_core.http import transports
from dewstep_entry.peers import messages, wire

WRITE_BUFFER_BYTES = 262_144
"""Buffered bytes above which bodies, requests and messages wait."""
MAXIMUM_BUFFER_BYTES = 8_388_608
"""Buffered bytes above which the connection is closed."""


class SessionListener(Protocol):
    """Receives the events of a session."""

    def handle_ready(self, session: "Session") -> None:
        """Handle the acceptance of the peer's hello."""

    def handle_frame(self, session: "Session", frame: Any) -> None:
        """Handle one frame after hello."""

    def handle_loss(self, session: "Session") -> None:
        """Handle the end of the session; called once."""


class Session(asyncio.Protocol):
    """A connection to a peer.

    Parameters
    ----------
    own_member : data.Member
        This process, as sent in hello.
    listener : SessionListener
        Receives the frames and the end of the session.
    is_partitioned : callable
        Whether a simulated partition separates this process from a member.
    """

    def __init__(
        self,
        own_member: data.Member,
        listener: SessionListener,
        is_partitioned: Callable[[data.Member], bool],
    ):
        self.own_member = own_member
        self.listener = listener
        self.is_partitioned = is_partitioned
        self.peer: data.Member | None = None
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.paused = False
        self.write_waiter: asyncio.Future | None = None
        self.closed = False
        self.frames_dropped = False
        """Whether frames were dropped, so that the session cannot continue."""

    # Callbacks of the transport.

    def connection_made(self, transport) -> None:
        """Send hello."""
        self.transport = transport
        if self.closed:
            transport.abort()
            return
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        connection = transport.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        self.write(wire.encode(messages.Hello(wire.PROTOCOL_VERSION, self.own_member)))

    def data_received(self, chunk: bytes) -> None:
        """Decode complete frames and pass them to the listener."""
        if self.peer is not None and self.is_partitioned(self.peer):
            self.frames_dropped = True
            return
        self.buffer += chunk
        frames = wire.split_frames(self.buffer)
        if isinstance(frames, wire.FrameInvalid):
            self.abort()
            return
        for encoded in frames:
            frame = wire.decode(encoded)
            if self.closed:
                return
            if isinstance(frame, wire.FrameInvalid):
                self.abort()
            elif self.peer is None:
                self._process_hello(frame)
            else:
                self.listener.handle_frame(self, frame)

    def connection_lost(self, error: Exception | None) -> None:
        """End the session."""
        self.abort()

    def pause_writing(self) -> None:
        """Pause the tasks that write bodies."""
        self.paused = True

    def resume_writing(self) -> None:
        """Resume the tasks that write bodies."""
        self.paused = False
        self._wake_writers()

    # Writing.

    @property
    def blocked(self) -> bool:
        """Whether the write buffer is full."""
        return self.paused

    def write(self, encoded: bytes, stream: Any = None) -> None:
        """Write a frame.

        Parameters
        ----------
        encoded : bytes
            Result of `wire.encode`.
        stream : object, optional
            Its attribute `sent` is set when the frame was passed to the transport.
        """
        if self.closed:
            return
        if self.peer is not None and self.is_partitioned(self.peer):
            # As in a real partition, the frame counts as sent although it is dropped.
            if stream is not None:
                stream.sent = True
            self.frames_dropped = True
            return
        if not transports.write(self.transport, encoded):
            # The transport is closed but has not called `connection_lost` yet; the
            # frame was not sent.
            self.abort()
            return
        if stream is not None:
            stream.sent = True
        if self.transport.get_write_buffer_size() > MAXIMUM_BUFFER_BYTES:
            self.abort()

    async def wait_writable(self) -> None:
        """Return when the buffer has room or the session has ended."""
        while self.blocked and not self.closed:
            if self.write_waiter is None:
                self.write_waiter = asyncio.get_running_loop().create_future()
            # The future is shared, so one waiter's cancellation must not cancel it.
            await asyncio.shield(self.write_waiter)

    def abort(self) -> None:
        """Close the connection immediately."""
        if self.closed:
            return
        self.closed = True
        if self.transport is not None:
            self.transport.abort()
        self._wake_writers()
        self.listener.handle_loss(self)

    # Internals.

    def _wake_writers(self) -> None:
        if self.write_waiter is not None:
            self.write_waiter.set_result(None)
            self.write_waiter = None

    def _process_hello(self, frame: Any) -> None:
        if (
            not isinstance(frame, messages.Hello)
            or frame.protocol != wire.PROTOCOL_VERSION
        ):
            self.abort()
        elif not all(frame.member[:3]) or self.is_partitioned(frame.member):
            # Entry, incarnation and data centre are needed to identify the peer.
            self.abort()
        else:
            self.peer = frame.member
            self.listener.handle_ready(self)
