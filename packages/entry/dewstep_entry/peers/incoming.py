"""The connection on which a peer sends its requests and messages to this process."""

import asyncio
from typing import Any

from returns import result

from dewstep_core import clock as clocks, data, errors, events
from dewstep_entry import bodies, failures, interfaces
from dewstep_entry.peers import flow, messages, session as sessions, wire

MESSAGES_LIMIT = 256
"""Messages that wait for their handler; more are dropped, as heartbeats repeat."""
MESSAGE_TYPES = (
    messages.Alive,
    messages.Heartbeat,
    messages.Fetch,
    messages.Value,
)


class Stream:
    """A peer's request in progress here."""

    __slots__ = ("queue", "task", "window")

    def __init__(self, queue: flow.ReceiveQueue | None):
        self.queue = queue
        self.task: asyncio.Task | None = None
        self.window = flow.SendWindow()


class IncomingLink:
    """The streams that a peer opened on one session.

    Parameters
    ----------
    session : Session
        The session after hello.
    clock : Clock
        Clock for the requests' deadlines.
    handler : RequestHandler
        Answers the requests.
    receiver : MessageHandler
        Takes the messages, in order.
    """

    def __init__(
        self,
        session: sessions.Session,
        clock: clocks.Clock,
        handler: interfaces.RequestHandler,
        receiver: interfaces.MessageHandler,
    ):
        self.session = session
        self.clock = clock
        self.handler = handler
        self.receiver = receiver
        self.streams: dict[int, Stream] = {}
        self.number = 0
        self.messages: asyncio.Queue = asyncio.Queue(MESSAGES_LIMIT)
        self.consumer = asyncio.ensure_future(self._consume())

    def take_frame(self, frame: Any) -> None:
        """Process a frame; one for a stream that ended is dropped."""
        if isinstance(frame, wire.RequestHead):
            self._take_request(frame)
            return
        if isinstance(frame, MESSAGE_TYPES):
            if not self.messages.full():
                self.messages.put_nowait(frame)
            return
        stream = self.streams.get(getattr(frame, "stream", 0))
        if stream is None:
            return
        if isinstance(frame, wire.Cancel):
            stream.task.cancel()
        elif isinstance(frame, wire.Credit):
            stream.window.add(frame.size)
        elif stream.queue is not None and isinstance(frame, wire.Chunk):
            stream.queue.accept(frame.payload)
        elif stream.queue is not None and isinstance(frame, wire.End):
            stream.queue.finish(frame)

    def end(self) -> None:
        """Cancel what the peer asked for; nobody can receive the answers."""
        self.consumer.cancel()
        for stream in self.streams.values():
            stream.task.cancel()

    def _take_request(self, head: wire.RequestHead) -> None:
        number = head.stream
        if number <= self.number:
            # A number used twice could give one caller the other's answer.
            self.session.abort()
            return
        self.number = number
        request = head.request
        queue = None
        body = request.body
        if not head.complete:
            queue = flow.ReceiveQueue(self.session, number, _ignore)
            body = data.Body(body.start, queue)
        deadline = self.clock.monotonic() + request.deadline
        request = request._replace(deadline=deadline, body=body)
        stream = self.streams[number] = Stream(queue)
        stream.task = asyncio.ensure_future(self._serve(number, stream, request))
        # A task that is cancelled before its first step runs no `finally`.
        stream.task.add_done_callback(lambda _: self.streams.pop(number))

    async def _serve(self, number: int, stream: Stream, request: data.Request) -> None:
        answer = None
        try:
            answer = await self._handle(request)
            await self.session.wait_writable()
            rest = answer.body.rest
            head = wire.AnswerHead(number, answer, rest is None)
            self.session.write(wire.encode(head))
            if rest is not None:
                await flow.send_body(self.session, number, rest, stream.window)
        finally:
            if stream.queue is not None:
                await stream.queue.aclose()
            if answer is not None:
                await bodies.close_body(answer.body)

    async def _handle(self, request: data.Request) -> data.Answer:
        try:
            outcome = await self.handler.handle(request)
        except Exception as error:
            events.exception("handler_failed", error, request_id=request.request_id)
            outcome = result.Failure(errors.ConnectionLost(self.session.own.entry))
        if isinstance(outcome, result.Success):
            return outcome.unwrap()
        return failures.answer_failure(outcome.failure())

    async def _consume(self) -> None:
        while True:
            message = await self.messages.get()
            try:
                await self.receiver.receive(self.session.peer, message)
            except Exception as error:
                events.exception(
                    "peer_message_failed", error, peer=self.session.peer.entry
                )


def _ignore() -> None:
    """Take no action: chunks of a body that nobody reads are dropped."""
