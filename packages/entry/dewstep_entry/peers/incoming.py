"""Requests and messages that a peer sends to this process."""

import asyncio
from typing import Any

from returns import result

from dewstep_core import clocks, data, errors, events
from dewstep_entry import bodies, failures, interfaces
from dewstep_entry.peers import flow, messages, sessions, wire

MAXIMUM_QUEUED_MESSAGES = 256
"""Limit of queued messages. Further ones are dropped; heartbeats are repeated."""
MESSAGE_TYPES = (
    messages.Alive,
    messages.Heartbeat,
    messages.Fetch,
    messages.Value,
)


class IncomingStream:
    """A request of the peer in progress in this process."""

    __slots__ = ("body_queue", "send_window", "task")

    def __init__(self, body_queue: flow.ReceiveQueue | None):
        self.body_queue = body_queue
        self.task: asyncio.Task | None = None
        self.send_window = flow.SendWindow()


class IncomingLink:
    """The streams that a peer opened on one session.

    Parameters
    ----------
    session : Session
        The session, after its hello.
    clock : Clock
        Clock for the requests' deadlines.
    request_handler : RequestHandler
        Handles the requests.
    message_handler : MessageHandler
        Handles the messages, in order.
    """

    def __init__(
        self,
        session: sessions.Session,
        clock: clocks.Clock,
        request_handler: interfaces.RequestHandler,
        message_handler: interfaces.MessageHandler,
    ):
        self.session = session
        self.clock = clock
        self.request_handler = request_handler
        self.message_handler = message_handler
        self.streams: dict[int, IncomingStream] = {}
        self.last_stream_number = 0
        self.message_queue: asyncio.Queue = asyncio.Queue(MAXIMUM_QUEUED_MESSAGES)
        self.message_task = asyncio.ensure_future(self._deliver_messages())

    def handle_frame(self, frame: Any) -> None:
        """Process a frame; drop it if its stream has ended."""
        if isinstance(frame, wire.RequestHead):
            self._start_request(frame)
            return
        if isinstance(frame, MESSAGE_TYPES):
            if not self.message_queue.full():
                self.message_queue.put_nowait(frame)
            return
        stream = self.streams.get(getattr(frame, "stream", 0))
        if stream is None:
            return
        if isinstance(frame, wire.Cancel):
            stream.task.cancel()
        elif isinstance(frame, wire.Credit):
            stream.send_window.add_credit(frame.size)
        elif stream.body_queue is not None and isinstance(frame, wire.Chunk):
            stream.body_queue.receive_chunk(frame.payload)
        elif stream.body_queue is not None and isinstance(frame, wire.End):
            stream.body_queue.receive_end(frame)

    def cancel_streams(self) -> None:
        """Cancel all requests of the peer, because their answers cannot be sent."""
        self.message_task.cancel()
        for stream in self.streams.values():
            stream.task.cancel()

    def _start_request(self, head: wire.RequestHead) -> None:
        number = head.stream
        if number <= self.last_stream_number:
            # With a reused number one caller could receive another caller's answer.
            self.session.abort()
            return
        self.last_stream_number = number
        request = head.request
        body_queue = None
        body = request.body
        if not head.complete:
            body_queue = flow.ReceiveQueue(self.session, number, _ignore_close)
            body = data.Body(body.start, body_queue)
        deadline = self.clock.monotonic() + request.deadline
        request = request._replace(deadline=deadline, body=body)
        stream = self.streams[number] = IncomingStream(body_queue)
        stream.task = asyncio.ensure_future(
            self._serve_request(number, stream, request)
        )
        # A callback, because a task cancelled before its start runs no `finally`.
        stream.task.add_done_callback(lambda _: self.streams.pop(number))

    async def _serve_request(
        self, number: int, stream: IncomingStream, request: data.Request
    ) -> None:
        answer = None
        try:
            answer = await self._handle_request(request)
            await self.session.wait_writable()
            rest = answer.body.rest
            head = wire.AnswerHead(number, answer, rest is None)
            self.session.write(wire.encode(head))
            if rest is not None:
                await flow.send_body(self.session, number, rest, stream.send_window)
        finally:
            if stream.body_queue is not None:
                await stream.body_queue.aclose()
            if answer is not None:
                await bodies.close_body(answer.body)

    async def _handle_request(self, request: data.Request) -> data.Answer:
        try:
            outcome = await self.request_handler.handle(request)
        except Exception as error:
            events.exception("handler_failed", error, request_id=request.request_id)
            outcome = result.Failure(
                errors.ConnectionLost(self.session.own_member.entry)
            )
        if isinstance(outcome, result.Success):
            return outcome.unwrap()
        return failures.build_failure_answer(outcome.failure())

    async def _deliver_messages(self) -> None:
        while True:
            message = await self.message_queue.get()
            try:
                await self.message_handler.receive(self.session.peer, message)
            except Exception as error:
                events.exception(
                    "peer_message_failed", error, peer=self.session.peer.entry
                )


def _ignore_close() -> None:
    """Do nothing: further chunks of a closed body are dropped."""
