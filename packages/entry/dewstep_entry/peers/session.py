"""One connection to a peer: hello, framing and a bounded write buffer.

uvloop's transport sends what is written in one turn of the event loop together, so
frames go to it at once. The buffer's bound holds for all streams together; a stream
with a body waits in `wait_writable`, so that a peer that reads nothing costs a bounded
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
ABORT_BYTES = 8_388_608
"""Buffered bytes above which the connection is given up."""


class Receiver(Protocol):
    """What a session reports to."""

    def take_ready(self, session: "Session") -> None:
        """Learn that the peer's hello arrived and was accepted."""

    def take_frame(self, session: "Session", frame: Any) -> None:
        """Process one frame after hello."""

    def take_loss(self, session: "Session") -> None:
        """Learn that the session ended, once."""


class Session(asyncio.Protocol):
    """A connection to a peer.

    Parameters
    ----------
    own : data.Member
        This process, for hello.
    receiver : Receiver
        Gets the frames.
    is_cut : callable
        Whether a fault that tests injected separates this process from a member.
    """

    def __init__(
        self,
        own: data.Member,
        receiver: Receiver,
        is_cut: Callable[[data.Member], bool],
    ):
        self.own = own
        self.receiver = receiver
        self.is_cut = is_cut
        self.peer: data.Member | None = None
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.paused = False
        self.writable: asyncio.Future | None = None
        self.lost = False
        self.dropped = False
        """Whether frames are missing, so that the session cannot continue."""

    # Callbacks of the transport.

    def connection_made(self, transport) -> None:
        """Send hello."""
        self.transport = transport
        if self.lost:
            transport.abort()
            return
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        connection = transport.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        self.write(wire.encode(messages.Hello(wire.PROTOCOL, self.own)))

    def data_received(self, chunk: bytes) -> None:
        """Pass complete frames on."""
        if self.peer is not None and self.is_cut(self.peer):
            self.dropped = True
            return
        self.buffer += chunk
        frames = wire.split_frames(self.buffer)
        if isinstance(frames, wire.FrameInvalid):
            self.abort()
            return
        for encoded in frames:
            frame = wire.decode(encoded)
            if self.lost:
                return
            if isinstance(frame, wire.FrameInvalid):
                self.abort()
            elif self.peer is None:
                self._take_hello(frame)
            else:
                self.receiver.take_frame(self, frame)

    def connection_lost(self, error: Exception | None) -> None:
        """Report the loss."""
        self.abort()

    def pause_writing(self) -> None:
        """Hold back further bodies."""
        self.paused = True

    def resume_writing(self) -> None:
        """Let waiting streams continue."""
        self.paused = False
        self._wake()

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
            Its attribute `sent` becomes true when the frame goes to the socket.
        """
        if self.lost:
            return
        if self.peer is not None and self.is_cut(self.peer):
            if stream is not None:
                stream.sent = True
            self.dropped = True
            return
        if not transports.write(self.transport, encoded):
            # The transport has closed and has not said so yet; the frame counts as not
            # sent.
            self.abort()
            return
        if stream is not None:
            stream.sent = True
        if self.transport.get_write_buffer_size() > ABORT_BYTES:
            self.abort()

    async def wait_writable(self) -> None:
        """Return when the buffer has room or the session has ended."""
        while self.blocked and not self.lost:
            if self.writable is None:
                self.writable = asyncio.get_running_loop().create_future()
            # One waiter's cancellation must not end the others' wait.
            await asyncio.shield(self.writable)

    def abort(self) -> None:
        """Close the connection at once."""
        if self.lost:
            return
        self.lost = True
        if self.transport is not None:
            self.transport.abort()
        self._wake()
        self.receiver.take_loss(self)

    # Internals.

    def _wake(self) -> None:
        if self.writable is not None:
            self.writable.set_result(None)
            self.writable = None

    def _take_hello(self, frame: Any) -> None:
        if not isinstance(frame, messages.Hello) or frame.protocol != wire.PROTOCOL:
            self.abort()
        elif not all(frame.member[:3]) or self.is_cut(frame.member):
            # Without entry, incarnation and data centre the peer cannot be told apart.
            self.abort()
        else:
            self.peer = frame.member
            self.receiver.take_ready(self)
