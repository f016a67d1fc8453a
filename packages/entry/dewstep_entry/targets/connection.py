"""One keep-alive connection to a target, with at most one request at a time.

The protocol object parses in `data_received`, so that an exchange needs no task and
wakes its caller once, when the answer is complete or its body starts to stream. Any
protocol violation closes the connection, because the rest of an answer could otherwise
be taken for the answer to the next request.

A target may send faster than the caller reads, on all connections at the same time, so
each keeps at most a few times 64 KiB of an answer.
"""

import asyncio
import datetime
import select
from collections.abc import Callable

import h11
from returns import result

from dewstep_core import data
from dewstep_core.http import answer_heads, transports
from dewstep_entry import bodies, interfaces
from dewstep_entry.targets import (
    acceptance,
    answering,
    exchanges,
    outcome,
    traffic,
    unread_input,
)

RECEIVE_BUFFER = memoryview(bytearray(32_768))
"""Buffer of one read from a socket. All connections share it, since its content is
copied before the next read."""
WRITE_BUFFER_BYTES = 131_072
MAXIMUM_EVENTS_PER_TURN = 128
"""Parsed events after which other connections take their turn in the event loop."""
MAXIMUM_SKIPPED_ANSWERS = 16
MAXIMUM_SKIPPED_BYTES = 4_194_304
"""Limits of the late answers to other requests that are skipped during an exchange."""
MAXIMUM_STATUS = 599
"""Highest status of HTTP. h11 accepts up to 999, and rejects those below 100."""


class Connection(asyncio.BufferedProtocol):
    """A connection to a target.

    Parameters
    ----------
    target : str
        Name of the target, for failures.
    freed : callable
        Called with the connection when it is ready for the next request.
    lost : callable
        Called with the connection once, when it will never be used again.
    rules : answering.AnswerRules, optional
        How the target's answers identify and refuse requests.
    on_notice : callable, optional
        Called with what the target says about itself in the head of an answer.
    counts : traffic.Traffic, optional
    """

    def __init__(
        self,
        target: str,
        freed: Callable[["Connection"], None],
        lost: Callable[["Connection"], None],
        rules: answering.AnswerRules = answering.DEWSTEP_RULES,
        on_notice: Callable[[answering.Notice], None] | None = None,
        counts: traffic.Traffic | None = None,
    ):
        self.target = target
        self.rules = rules
        self.on_notice = on_notice
        self.traffic = counts or traffic.Traffic()
        self.freed = freed
        self.lost = lost
        self.http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=answer_heads.MAXIMUM_HEAD_BYTES
        )
        self.transport: asyncio.Transport | None = None
        self.current_exchange: exchanges.Exchange | None = None
        self.usable = True
        self.failed = False
        """Whether the target closed the connection or exceeded a deadline."""
        self.freed_at = 0.0
        """Event loop time at which the last exchange ended; 0 before the first."""
        self.opened_at: datetime.timedelta | None = None
        """When it was opened, by the clock of its pool."""
        self.connected_at = 0.0
        """Event loop time at which the connection was opened."""
        self.reset_while_new = False
        """Whether the target ended it soon and without sending anything."""
        self.received = False
        """Whether the target has sent anything."""
        self.has_sent = False
        """Whether a request has been sent."""
        self.reading = True
        self.next_turn: asyncio.Handle | None = None
        """Parses the rest of the input; reading pauses until then."""
        self.write_waiter: asyncio.Future | None = None
        self.poller: select.poll | None = None
        self.refusals: dict[bytes, datetime.timedelta] = {}
        """Deadlines of the requests that the target has refused here, by id."""

    # Callbacks of the transport.

    def connection_made(self, transport) -> None:
        """Prepare the transport's buffers and the check for pending input."""
        self.transport = transport
        self.connected_at = asyncio.get_running_loop().time()
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        socket = transport.get_extra_info("socket")
        self.poller = unread_input.build_poller(socket.fileno())

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the exchange in progress, unless its answer has arrived."""
        self.resume_writing()
        exchange = self.current_exchange
        if error is not None and exchange is not None:
            self._receive_unread(exchange)
        self._fail(outcome.Event.CLOSED)

    def eof_received(self) -> bool:
        """Complete an answer that is delimited by the close; fail any other."""
        exchange = self.current_exchange
        if exchange is not None and exchange.head is not None:
            try:
                self.http.receive_data(b"")
                self._process_input(exchange)
            except h11.RemoteProtocolError:
                # The answer is truncated; handled below as a lost connection.
                pass
        self._fail(outcome.Event.CLOSED)
        return False

    def pause_writing(self) -> None:
        """Pause sending the request's body."""
        self.write_waiter = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Resume sending the request's body."""
        if self.write_waiter is not None and not self.write_waiter.done():
            self.write_waiter.set_result(None)
        self.write_waiter = None

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return RECEIVE_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Process the bytes of a read."""
        self.data_received(bytes(RECEIVE_BUFFER[:nbytes]))

    def data_received(self, chunk: bytes) -> None:
        """Parse input; input without a request in progress closes the connection."""
        exchange = self.current_exchange
        self.received = True
        self.traffic.received += len(chunk)
        if exchange is None:
            self.abort()
            return
        if exchange.skipping_answer:
            exchange.skipped_bytes += len(chunk)
        self._receive(exchange, chunk)

    # Exchange.

    def record_refusal(
        self,
        request_id: bytes,
        deadline: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Record that the target has refused a request on this connection.

        The request may be sent to it again until its deadline. A faulty target may then
        write the earlier answer once more, while it runs the request.
        """
        self.refusals = {
            refused: until for refused, until in self.refusals.items() if until > now
        }
        self.refusals[request_id] = deadline

    def has_refused(self, request_id: bytes) -> bool:
        """Whether the target has refused a request on this connection before."""
        return request_id in self.refusals

    def is_stale(self) -> bool:
        """Whether the idle connection was closed or has unsolicited input.

        The event loop may not have processed either yet, so the socket is polled.
        """
        if not self.usable or self.transport.is_closing():
            return True
        return bool(self.poller.poll(0))

    def has_ended(self) -> bool:
        """Whether the target has ended the connection, even if not processed yet."""
        return not self.usable or unread_input.has_ended(self.poller)

    async def exchange(
        self,
        head: h11.Request,
        body: data.Body,
        remaining: float,
        request_id: bytes = b"",
    ) -> result.Result[data.Answer, interfaces.Failure]:
        """Send a request and return the answer.

        Parameters
        ----------
        head : h11.Request
            Complete head, including the headers for the body's framing.
        body : data.Body
            Body of the request.
        remaining : float
            Seconds until the deadline, which also applies to the answer's body.
        request_id : bytes
            Id of the request. An answer with another id is skipped or invalid.

        Returns
        -------
        Result
            The answer, or `TargetRefused`, `ConnectionLost`, `DeadlineExceeded` or
            `AnswerInvalid`.
        """
        exchange = exchanges.Exchange(
            head.method,
            request_id,
            self.rules.buffered,
            self._resume_reading,
            self.abort,
        )
        self.current_exchange = exchange
        exchange.timer = asyncio.get_running_loop().call_later(
            remaining, self._fail, outcome.Event.OVERDUE
        )
        try:
            self._send_head(exchange, head, body)
            while not exchange.is_ready():
                await exchange.wait()
        except BaseException:
            # On cancellation, closing the connection cancels the request at the target.
            self.abort()
            raise
        failure = exchange.failure or outcome.classify_end(
            self.target, exchange.get_progress(), None
        )
        if failure is not None:
            await exchange.aclose()
            return result.Failure(failure)
        return result.Success(exchanges.build_answer(exchange))

    def abort(self) -> None:
        """Close the connection immediately; it cannot be used again."""
        self._fail(outcome.Event.ABANDONED)

    # Internals.

    def _send_head(
        self, exchange: exchanges.Exchange, head: h11.Request, body: data.Body
    ) -> None:
        pieces = [self.http.send(head)]
        if body.start:
            pieces.append(self.http.send(h11.Data(data=body.start)))
        if body.rest is None:
            pieces.append(self.http.send(h11.EndOfMessage()))
        if not self._write(b"".join(pieces)):
            self._fail(outcome.Event.CLOSED)
            return
        exchange.sent = self.has_sent = True
        if body.rest is not None:
            exchange.body_task = asyncio.ensure_future(
                self._send_body_rest(exchange, body.rest)
            )

    def _write(self, content: bytes) -> bool:
        self.traffic.sent += len(content)
        return transports.write(self.transport, content)

    async def _send_body_rest(self, exchange: exchanges.Exchange, rest) -> None:
        try:
            async for chunk in bodies.split_chunks(rest):
                while self.write_waiter is not None:
                    await self.write_waiter
                if self.current_exchange is not exchange:
                    return
                chunk = self.http.send(h11.Data(data=chunk))
                if not self._write(chunk):
                    return
            if self.current_exchange is exchange:
                self._write(self.http.send(h11.EndOfMessage()))
        except (bodies.BodyFailure, h11.LocalProtocolError) as error:
            if self.current_exchange is exchange:
                self._fail(outcome.Event.ABANDONED, str(error))

    def _receive(self, exchange: exchanges.Exchange, chunk: bytes) -> None:
        """Parse the input of one turn of the event loop, which ends with `chunk`."""
        try:
            if chunk:
                self.http.receive_data(chunk)
            incomplete = self._process_input(exchange)
        except h11.RemoteProtocolError as error:
            # After the colon h11 quotes received bytes, which may belong to another
            # caller's answer and must not be shown to this one.
            detail = str(error).partition(":")[0]
            self._fail(outcome.Event.INVALID, detail)
            return
        if exchange is not self.current_exchange:
            return
        if incomplete and self.next_turn is None:
            loop = asyncio.get_running_loop()
            self.next_turn = loop.call_soon(self._continue_input, exchange)
        if (incomplete or exchange.full) and self.reading:
            self.reading = False
            self.transport.pause_reading()

    def _receive_unread(self, exchange: exchanges.Exchange) -> None:
        """Parse what had arrived before a write failed, but was not read."""
        left = unread_input.MAXIMUM_BYTES
        while exchange is self.current_exchange and left > 0:
            chunk = unread_input.read_next(self.poller)
            if not chunk:
                return
            left -= len(chunk)
            self.data_received(chunk)

    def _continue_input(self, exchange: exchanges.Exchange) -> None:
        self.next_turn = None
        self._receive(exchange, b"")
        if self.next_turn is None and exchange is self.current_exchange:
            if not exchange.full:
                self._resume_reading(0)

    def _process_input(self, exchange: exchanges.Exchange) -> bool:
        """Parse received bytes; return whether some are left for the next turn."""
        for _ in range(MAXIMUM_EVENTS_PER_TURN):
            if exchange is not self.current_exchange:
                return False
            answer_heads.check_next_head(self.http)
            event = self.http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return False
            self._process_event(exchange, event)
        return exchange is self.current_exchange

    def _process_event(self, exchange: exchanges.Exchange, event) -> None:
        kind = type(event)
        if exchange.skipping_answer:
            if exchange.skipped_bytes > MAXIMUM_SKIPPED_BYTES:
                raise h11.RemoteProtocolError(
                    f"answers to other requests exceed {MAXIMUM_SKIPPED_BYTES} bytes"
                )
            if kind is h11.EndOfMessage:
                self._resume_after_skipped_answer(exchange)
            elif kind is h11.ConnectionClosed:
                self._fail(outcome.Event.CLOSED)
        elif kind is h11.Data:
            exchange.add_chunk(event.data)
        elif kind is h11.Response:
            self._process_head(exchange, event)
        elif kind is h11.EndOfMessage:
            self._complete_exchange(exchange)
        elif kind is h11.InformationalResponse:
            exchange.informational_answers += 1
            answer_heads.check_informational_answers(exchange.informational_answers)
        elif kind is h11.ConnectionClosed:
            self._fail(outcome.Event.CLOSED)

    def _process_head(self, exchange: exchanges.Exchange, head: h11.Response) -> None:
        if head.status_code > MAXIMUM_STATUS:
            raise h11.RemoteProtocolError(f"status above {MAXIMUM_STATUS}")
        # Iterating h11 headers is slow, so they are converted once.
        exchange.headers = list(head.headers)
        fields = dict(exchange.headers)
        if self.on_notice is not None:
            status = head.status_code
            notice = answering.find_notice(self.rules, status, fields, self.target)
            if notice is not None:
                self.on_notice(notice)
        length = fields.get(b"content-length")
        coding = fields.get(b"transfer-encoding")
        if length is not None and coding is not None:
            raise h11.RemoteProtocolError(
                "answer has both Content-Length and Transfer-Encoding"
            )
        has_body = (
            exchange.method != b"HEAD"
            and head.status_code not in exchanges.NO_BODY_STATUSES
        )
        ends_with_close = has_body and length is None and coding is None
        if ends_with_close and not self.rules.has_request_id:
            # A body that ends with the close cannot be told from a truncated one.
            raise h11.RemoteProtocolError("answer has no body length")
        answered_id = fields.get(self.rules.request_id)
        if answered_id is None and self.rules.has_request_id:
            raise h11.RemoteProtocolError("answer has no request id")
        if answered_id is not None and answered_id != exchange.request_id:
            # Checked before the refusal, which may belong to another request.
            if not self.rules.has_request_id or (length is None and coding is None):
                raise h11.RemoteProtocolError("answer has another request's id")
            exchange.skipping_answer = True
            exchange.skipped_answers += 1
            if exchange.skipped_answers > MAXIMUM_SKIPPED_ANSWERS:
                raise h11.RemoteProtocolError(
                    f"more than {MAXIMUM_SKIPPED_ANSWERS} answers to other requests"
                )
            if length is not None and int(length) > MAXIMUM_SKIPPED_BYTES:
                raise h11.RemoteProtocolError(
                    f"answer to another request exceeds {MAXIMUM_SKIPPED_BYTES} bytes"
                )
            return
        exchange.head = head
        exchange.length = int(length) if length is not None else None
        exchange.ends_with_close = ends_with_close
        exchange.refusal = answering.find_refusal(
            self.rules,
            head.status_code,
            fields.get(self.rules.refusal),
            self.target,
            fields.get(self.rules.instance),
        )
        exchange.wake_reader()

    def _complete_exchange(self, exchange: exchanges.Exchange) -> None:
        trailing = bool(self.http.trailing_data[0])
        if trailing and not self.rules.has_request_id:
            self._fail(outcome.Event.INVALID, "bytes after the end of the answer")
            return
        if exchange.ends_with_close and unread_input.ends_early(
            self.http, self.transport, self.poller
        ):
            self._fail(outcome.Event.CLOSED)
            return
        self._detach_exchange(exchange)
        exchange.end()
        http = self.http
        done = http.our_state is h11.DONE and http.their_state is h11.DONE
        if done and not trailing:
            http.start_next_cycle()
            self.freed(self)
        else:
            self.abort()

    def _resume_after_skipped_answer(self, exchange: exchanges.Exchange) -> None:
        """Parse the input after a skipped late answer to an earlier request."""
        if self.http.our_state is not h11.DONE:
            raise h11.RemoteProtocolError("answer has another request's id")
        trailing = self.http.trailing_data[0]
        exchange.skipping_answer = False
        self.http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=answer_heads.MAXIMUM_HEAD_BYTES
        )
        # Brings the new parser to the state after sending; nothing is written.
        self.http.send(
            h11.Request(method=exchange.method, target=b"/", headers=[(b"host", b"")])
        )
        self.http.send(h11.EndOfMessage())
        self.http.receive_data(bytes(trailing))

    def _detach_exchange(self, exchange: exchanges.Exchange) -> None:
        self.current_exchange = None
        exchange.timer.cancel()
        if self.next_turn is not None:
            self.next_turn.cancel()
            self.next_turn = None
        if exchange.body_task is not None:
            exchange.body_task.cancel()
        if not self.reading:
            self.reading = True
            self.transport.resume_reading()

    def _resume_reading(self, size: int) -> None:
        if not self.reading and self.next_turn is None:
            self.reading = True
            self.transport.resume_reading()

    def _fail(self, event: outcome.Event, detail: str = "") -> None:
        exchange = self.current_exchange
        if exchange is not None:
            self._detach_exchange(exchange)
            exchange.end(
                outcome.classify_end(
                    self.target, exchange.get_progress(), event, detail
                )
            )
        if self.usable:
            self.usable = False
            self.failed = event in (outcome.Event.CLOSED, outcome.Event.OVERDUE)
            if event is outcome.Event.CLOSED and not self.received:
                age = asyncio.get_running_loop().time() - self.connected_at
                self.reset_while_new = age < acceptance.NEW_CONNECTION_S
            if exchange is not None:
                transports.reset(self.transport)
            else:
                self.transport.abort()
            self.lost(self)
