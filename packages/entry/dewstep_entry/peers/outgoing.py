"""The connection on which this process sends requests and messages to a peer.

Requests are streams with numbers that are never used twice, so a late frame finds no
stream and is dropped. A link ends with its connection; the next request makes a new
link.
"""

import asyncio
import datetime
from typing import Any

from returns import result

from dewstep_core import clock as clocks, data, errors
from dewstep_entry import interfaces
from dewstep_entry.peers import flow, session as sessions, wire

WAITING_LIMIT = 1_024
"""Requests that may wait for room in the write buffer; more are refused."""
MESSAGES_LIMIT = 16
"""Messages kept while the connection is being opened."""


class Stream:
    """A request in progress at the peer."""

    __slots__ = ("answered", "number", "pump", "queue", "sent", "timer", "window")

    def __init__(self, number: int):
        self.number = number
        self.answered = asyncio.get_running_loop().create_future()
        self.sent = False
        self.queue: flow.ReceiveQueue | None = None
        self.window: flow.SendWindow | None = None
        self.pump: asyncio.Task | None = None
        self.timer: asyncio.TimerHandle | None = None


class OutgoingLink:
    """The streams to one incarnation of a peer.

    Parameters
    ----------
    member : data.Member
        The peer; empty names accept whoever answers at the address.
    clock : Clock
        Clock in which the requests' deadlines stand.
    """

    def __init__(self, member: data.Member, clock: clocks.Clock):
        self.member = member
        self.clock = clock
        self.session: sessions.Session | None = None
        self.settled = asyncio.get_running_loop().create_future()
        """Done when hello arrived or the link failed before that."""
        self.streams: dict[int, Stream] = {}
        self.number = 0
        self.waiting = 0
        self.messages: list[bytes] = []
        self.ended = False

    @property
    def ready(self) -> bool:
        """Whether hello was exchanged and the connection stands."""
        return self.session is not None and not self.ended

    # Reports of the session and its opener.

    def start(self, session: sessions.Session) -> None:
        """Begin to use a session after hello."""
        self.session = session
        for encoded in self.messages:
            session.write(encoded)
        self.messages.clear()
        self._settle()

    def fail(self) -> None:
        """End all streams; those whose request was sent have an unknown outcome."""
        self.ended = True
        self._settle()
        for stream in list(self.streams.values()):
            if stream.sent:
                failure = errors.ConnectionLost(self.member.entry)
            else:
                failure = errors.PeerUnreachable(self.member.entry)
            self._end_stream(stream, failure)

    def take_frame(self, frame: Any) -> None:
        """Process a frame; one for a stream that ended is dropped."""
        stream = self.streams.get(getattr(frame, "stream", 0))
        if stream is None:
            return
        if isinstance(frame, wire.AnswerHead):
            self._take_answer(stream, frame)
        elif isinstance(frame, wire.Credit) and stream.window is not None:
            stream.window.add(frame.size)
        elif stream.queue is None:
            # A body without a head: the peer does not follow the protocol.
            self.session.abort()
        elif isinstance(frame, wire.Chunk):
            stream.queue.accept(frame.payload)
        elif isinstance(frame, wire.End):
            stream.queue.finish(frame)
            self._drop(stream)

    # Use.

    def send(self, encoded: bytes) -> bool:
        """Queue a message; false if it cannot be taken now."""
        if self.ended:
            return False
        if self.session is None:
            if len(self.messages) >= MESSAGES_LIMIT:
                return False
            self.messages.append(encoded)
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
        self.number += 1
        stream = self.streams[self.number] = Stream(self.number)
        stream.timer = asyncio.get_running_loop().call_later(
            remaining.total_seconds(), self._expire, stream
        )
        rest = request.body.rest
        head = wire.RequestHead(
            stream.number, request._replace(deadline=remaining), rest is None
        )
        self.session.write(wire.encode(head), stream)
        if rest is not None:
            stream.window = flow.SendWindow()
            stream.pump = asyncio.ensure_future(
                flow.send_body(self.session, stream.number, rest, stream.window)
            )
        try:
            return await stream.answered
        except asyncio.CancelledError:
            self._cancel(stream)
            raise

    # Internals.

    async def _wait_ready(self, deadline: datetime.timedelta) -> bool:
        remaining = (deadline - self.clock.monotonic()).total_seconds()
        if self.ended or remaining <= 0 or self.waiting >= WAITING_LIMIT:
            return False
        self.waiting += 1
        try:
            async with asyncio.timeout(remaining):
                if not self.settled.done():
                    await asyncio.shield(self.settled)
                if self.ready:
                    await self.session.wait_writable()
        except TimeoutError:
            return False
        finally:
            self.waiting -= 1
        return self.ready

    def _settle(self) -> None:
        if not self.settled.done():
            self.settled.set_result(None)

    def _take_answer(self, stream: Stream, head: wire.AnswerHead) -> None:
        if stream.answered.done():
            return
        answer = head.answer
        if head.complete:
            self._drop(stream)
        else:
            stream.queue = flow.ReceiveQueue(
                self.session, stream.number, lambda: self._cancel(stream)
            )
            answer = answer._replace(body=data.Body(answer.body.start, stream.queue))
        stream.answered.set_result(result.Success(answer))

    def _expire(self, stream: Stream) -> None:
        if stream.sent:
            failure = errors.DeadlineExceeded(self.member.entry)
        else:
            failure = errors.PeerUnreachable(self.member.entry)
        self._send_cancel(stream)
        self._end_stream(stream, failure)

    def _cancel(self, stream: Stream) -> None:
        if stream.number in self.streams:
            self._send_cancel(stream)
            self._drop(stream)

    def _send_cancel(self, stream: Stream) -> None:
        self.session.write(wire.encode(wire.Cancel(stream.number)))

    def _end_stream(self, stream: Stream, failure: interfaces.Failure) -> None:
        self._drop(stream)
        if not stream.answered.done():
            stream.answered.set_result(result.Failure(failure))
        elif stream.queue is not None:
            stream.queue.end(failure)

    def _drop(self, stream: Stream) -> None:
        self.streams.pop(stream.number, None)
        stream.timer.cancel()
        if stream.pump is not None:
            stream.pump.cancel()
