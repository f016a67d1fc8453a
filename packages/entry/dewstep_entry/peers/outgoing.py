"""Requests and messages that this process sends to a peer.

Each request is a stream, whose number is never reused, so a late frame does not match
any stream and is dropped. A link ends with its connection; the next request opens a
new link.
"""

import asyncio
import datetime
from typing import Any

from returns import result

from dewstep_core import clocks, data, errors
from dewstep_entry import interfaces
from dewstep_entry.peers import flow, sessions, wire

MAXIMUM_WAITING_REQUESTS = 1_024
"""Limit of requests that wait for the connection; further ones are refused."""
MAXIMUM_PENDING_MESSAGES = 16
"""Limit of messages that are queued while the connection is being opened."""


class OutgoingStream:
    """A request in progress at the peer."""

    __slots__ = (
        "answer_future",
        "body_queue",
        "body_task",
        "number",
        "send_window",
        "sent",
        "timer",
    )

    def __init__(self, number: int):
        self.number = number
        self.answer_future = asyncio.get_running_loop().create_future()
        self.sent = False
        self.body_queue: flow.ReceiveQueue | None = None
        self.send_window: flow.SendWindow | None = None
        self.body_task: asyncio.Task | None = None
        self.timer: asyncio.TimerHandle | None = None


class OutgoingLink:
    """The streams to one incarnation of a peer.

    Parameters
    ----------
    member : data.Member
        The peer; with empty names, any member that answers at the address.
    clock : Clock
        Clock of the requests' deadlines.
    """

    def __init__(self, member: data.Member, clock: clocks.Clock):
        self.member = member
        self.clock = clock
        self.session: sessions.Session | None = None
        self.connecting_finished = asyncio.get_running_loop().create_future()
        """Done when hello was received or the link failed before that."""
        self.streams: dict[int, OutgoingStream] = {}
        self.last_stream_number = 0
        self.waiting_requests = 0
        self.pending_messages: list[bytes] = []
        self.ended = False

    @property
    def ready(self) -> bool:
        """Whether hello was exchanged and the connection is open."""
        return self.session is not None and not self.ended

    # Callbacks of the session and of `PeerNetwork`.

    def start(self, session: sessions.Session) -> None:
        """Start using a session after its hello."""
        self.session = session
        for encoded in self.pending_messages:
            session.write(encoded)
        self.pending_messages.clear()
        self._finish_connecting()

    def fail(self) -> None:
        """Fail all streams; the outcome of requests that were sent is unknown."""
        self.ended = True
        self._finish_connecting()
        for stream in list(self.streams.values()):
            if stream.sent:
                failure = errors.ConnectionLost(self.member.entry)
            else:
                failure = errors.PeerUnreachable(self.member.entry)
            self._end_stream(stream, failure)

    def handle_frame(self, frame: Any) -> None:
        """Process a frame; drop it if its stream has ended."""
        stream = self.streams.get(getattr(frame, "stream", 0))
        if stream is None:
            return
        if isinstance(frame, wire.AnswerHead):
            self._process_answer(stream, frame)
        elif isinstance(frame, wire.Credit) and stream.send_window is not None:
            stream.send_window.add_credit(frame.size)
        elif stream.body_queue is None:
            # A body without a head violates the protocol.
            self.session.abort()
        elif isinstance(frame, wire.Chunk):
            stream.body_queue.receive_chunk(frame.payload)
        elif isinstance(frame, wire.End):
            stream.body_queue.receive_end(frame)
            self._remove_stream(stream)

    # Requests and messages.

    def send(self, encoded: bytes) -> bool:
        """Send or queue a message; return false if it was dropped."""
        if self.ended:
            return False
        if self.session is None:
            if len(self.pending_messages) >= MAXIMUM_PENDING_MESSAGES:
                return False
            self.pending_messages.append(encoded)
            return True
        if self.session.blocked:
            return False
        self.session.write(encoded)
        return True

    async def exchange(
        self, request: data.Request
    ) -> result.Result[data.Answer, interfaces.Failure]:
        """Send a request and return the peer's answer.

        Returns
        -------
        Result
            The answer, or `PeerUnreachable` (not sent), `ConnectionLost` or
            `DeadlineExceeded` (unknown).
        """
        unreachable = errors.PeerUnreachable(self.member.entry)
        if not self.ready or self.session.blocked:
            if not await self._wait_ready(request.deadline):
                return result.Failure(unreachable)
        remaining = request.deadline - self.clock.monotonic()
        if remaining <= datetime.timedelta():
            return result.Failure(unreachable)
        self.last_stream_number += 1
        stream = self.streams[self.last_stream_number] = OutgoingStream(
            self.last_stream_number
        )
        stream.timer = asyncio.get_running_loop().call_later(
            remaining.total_seconds(), self._expire_stream, stream
        )
        rest = request.body.rest
        head = wire.RequestHead(
            stream.number, request._replace(deadline=remaining), rest is None
        )
        self.session.write(wire.encode(head), stream)
        if rest is not None:
            stream.send_window = flow.SendWindow()
            stream.body_task = asyncio.ensure_future(
                flow.send_body(self.session, stream.number, rest, stream.send_window)
            )
        try:
            return await stream.answer_future
        except asyncio.CancelledError:
            self._cancel_stream(stream)
            raise

    # Internals.

    async def _wait_ready(self, deadline: datetime.timedelta) -> bool:
        remaining = (deadline - self.clock.monotonic()).total_seconds()
        if (
            self.ended
            or remaining <= 0
            or self.waiting_requests >= MAXIMUM_WAITING_REQUESTS
        ):
            return False
        self.waiting_requests += 1
        try:
            async with asyncio.timeout(remaining):
                if not self.connecting_finished.done():
                    await asyncio.shield(self.connecting_finished)
                if self.ready:
                    await self.session.wait_writable()
        except TimeoutError:
            return False
        finally:
            self.waiting_requests -= 1
        return self.ready

    def _finish_connecting(self) -> None:
        if not self.connecting_finished.done():
            self.connecting_finished.set_result(None)

    def _process_answer(self, stream: OutgoingStream, head: wire.AnswerHead) -> None:
        if stream.answer_future.done():
            return
        answer = head.answer
        if head.complete:
            self._remove_stream(stream)
        else:
            stream.body_queue = flow.ReceiveQueue(
                self.session, stream.number, lambda: self._cancel_stream(stream)
            )
            answer = answer._replace(
                body=data.Body(answer.body.start, stream.body_queue)
            )
        stream.answer_future.set_result(result.Success(answer))

    def _expire_stream(self, stream: OutgoingStream) -> None:
        if stream.sent:
            failure = errors.DeadlineExceeded(self.member.entry)
        else:
            failure = errors.PeerUnreachable(self.member.entry)
        self._send_cancel(stream)
        self._end_stream(stream, failure)

    def _cancel_stream(self, stream: OutgoingStream) -> None:
        if stream.number in self.streams:
            self._send_cancel(stream)
            self._remove_stream(stream)

    def _send_cancel(self, stream: OutgoingStream) -> None:
        self.session.write(wire.encode(wire.Cancel(stream.number)))

    def _end_stream(self, stream: OutgoingStream, failure: interfaces.Failure) -> None:
        self._remove_stream(stream)
        if not stream.answer_future.done():
            stream.answer_future.set_result(result.Failure(failure))
        elif stream.body_queue is not None:
            stream.body_queue.end(failure)

    def _remove_stream(self, stream: OutgoingStream) -> None:
        self.streams.pop(stream.number, None)
        stream.timer.cancel()
        if stream.body_task is not None:
            stream.body_task.cancel()
