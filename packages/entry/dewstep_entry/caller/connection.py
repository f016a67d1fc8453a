"""A caller's connection, whose requests are read and answered in order.

One task per connection handles the first request and writes all answers. Requests that
the caller has sent ahead are read while it is busy, and those that `sequencing` allows
are handled in tasks of their own. All tasks are cancelled, and the handlers with them,
when the caller disconnects. Closing only the sending side counts as disconnecting.
"""

import asyncio
import collections
import functools
from collections.abc import Callable
from typing import Any

import h11
from returns import result

from dewstep_core import data, errors, events
from dewstep_core.http import transports
from dewstep_entry import bodies
from dewstep_entry.caller import pacing, rendering, request_body, sequencing

READ_AHEAD_BYTES = 65_536
"""Unparsed input above which reading pauses."""
WRITE_BUFFER_BYTES = 65_536
Phase = pacing.Phase


class QueuedRequest:
    """A request that was read behind another one.

    Parameters
    ----------
    http : h11.Connection
        Has parsed the request and sends its answer.
    method : bytes
    identified : result.Result
        The request, or the failure with which to refuse it.
    parallel : bool
        Whether it may run beside others.
    length : int or None
        Announced length of its body; None if it is chunked.
    limit : int
        Maximum size of its body in bytes when its head was read.
    """

    __slots__ = ("http", "identified", "length", "limit", "method", "parallel", "task")

    def __init__(
        self,
        http: h11.Connection,
        method: bytes,
        identified,
        length: int | None = 0,
        parallel: bool = True,
        limit: int = 0,
    ):
        self.http = http
        self.method = method
        self.identified = identified
        self.length = length
        self.limit = limit
        self.parallel = parallel
        self.task: asyncio.Task | None = None


class CallerConnection(asyncio.Protocol):
    """A connection from a caller.

    Parameters
    ----------
    listener : Listener
        Provides the limits, the callbacks and the set of connections.
    """

    def __init__(self, listener):
        self.listener = listener
        self.limits = listener.limits
        """Limits of the request that is read. They stay the same until it is read, so
        that a new configuration does not cut it off."""
        self.http = self._build_parser()
        """State of the first request and its answer."""
        self.reader = self.http
        """Parses the input; another one than `http` once more requests were read."""
        self.sequence = sequencing.Sequence()
        self.queued: collections.deque[QueuedRequest] = collections.deque()
        """The requests behind the first one."""
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.task: asyncio.Task | None = None
        self.input_waiter: asyncio.Future | None = None
        self.write_waiter: asyncio.Future | None = None
        self.phase = Phase.IDLE
        self.phase_started = self.loop.time()
        self.body_wait_seconds = 0.0
        self.received_body_bytes = 0
        self.unparsed_bytes = 0
        """Bytes received since h11 last needed more input."""
        self.sample_started: float | None = None
        """Time of the last write sample; None if no write is waiting."""
        self.sample_buffer_bytes = 0
        """Size of the write buffer at the last write sample."""
        self.slow_failure: Any = None
        self.reading = True
        self.last_answer = False
        """Whether the answer that is written, or was, closes the connection."""

    # Callbacks of the transport.

    def connection_made(self, transport) -> None:
        """Start serving, or close if there are too many connections."""
        self.transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        if self.listener.add_connection(self):
            self.task = self.loop.create_task(self._serve_requests())
        else:
            transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the requests in progress."""
        self.listener.remove_connection(self)
        self._cancel()

    def eof_received(self) -> bool:
        """Cancel the requests in progress."""
        self._cancel()
        return False

    def _cancel(self) -> None:
        """Cancel the requests in progress, and start no others."""
        self._cancel_queued()
        if self.task is not None:
            self.task.cancel()

    def _cancel_queued(self) -> None:
        for request in self.queued:
            if request.task is not None:
                request.task.cancel()
        self.queued.clear()

    def data_received(self, chunk: bytes) -> None:
        """Buffer the input for the task that parses it."""
        if self.phase is Phase.LINGERING:
            return
        if self.phase is Phase.IDLE and not self.unparsed_bytes:
            self._apply_limits()
        self.reader.receive_data(chunk)
        self.unparsed_bytes += len(chunk)
        if self.input_waiter is not None:
            if not self.input_waiter.done():
                self.input_waiter.set_result(None)
            return
        self._read_ahead()
        if self.unparsed_bytes > READ_AHEAD_BYTES and self.reading:
            self.reading = False
            self.transport.pause_reading()

    def pause_writing(self) -> None:
        """Pause writing the answer."""
        self.write_waiter = self.loop.create_future()

    def resume_writing(self) -> None:
        """Resume writing the answer."""
        if self.write_waiter is not None and not self.write_waiter.done():
            self.write_waiter.set_result(None)
        self.write_waiter = None

    # Called by the listener.

    def stop(self) -> None:
        """Close now if no request is in progress, otherwise after the answer."""
        if self.phase is Phase.IDLE and not self.unparsed_bytes:
            self.transport.close()

    def is_answered(self) -> bool:
        """Whether the last answer is written and only the caller's close is awaited."""
        return self.phase is Phase.LINGERING

    def refuse_unread(self) -> None:
        """Refuse the request of which a part has been read, if any."""
        waiting = self.input_waiter is not None and not self.input_waiter.done()
        if waiting and self.phase in (Phase.HEAD, Phase.BODY):
            self.input_waiter.set_result(None)

    def check_pace(self, now: float) -> None:
        """Refuse the request or close the connection if the caller is too slow."""
        if self.sample_started is not None and not self._check_write_pace(now):
            return
        elapsed = now - self.phase_started
        progress = pacing.PhaseProgress(
            self.phase, elapsed, self.body_wait_seconds, self.received_body_bytes
        )
        limits = self.limits
        if self.phase is Phase.IDLE:
            # The caller may know the limits of either configuration.
            current = self.listener.limits
            limits = max(limits, current, key=lambda item: item.idle_timeout)
        action = pacing.choose_action(progress, limits)
        if action is pacing.Action.CLOSE:
            self.transport.abort()
        elif action is pacing.Action.REFUSE and self.input_waiter is not None:
            limit = self.limits.body_grace
            if self.phase is Phase.HEAD:
                limit = self.limits.head_timeout
            self.slow_failure = errors.RequestTooSlow(limit)
            if not self.input_waiter.done():
                self.input_waiter.set_result(None)

    def _check_write_pace(self, now: float) -> bool:
        """Apply the rule for writing; return whether to apply those for reading too."""
        size = self.transport.get_write_buffer_size()
        if self.phase is Phase.LINGERING and not size:
            # Everything is written; the time limit for the caller's close starts.
            self.sample_started = None
            self.phase_started = now
            return True
        transferred = self.sample_buffer_bytes - size
        progress = pacing.PhaseProgress(
            Phase.WRITING, now - self.sample_started, 0.0, transferred
        )
        action = pacing.choose_action(progress, self.limits)
        if action is pacing.Action.SAMPLE:
            self._start_sample()
        elif action is pacing.Action.CLOSE:
            self.transport.abort()
        # The request body may be received while the answer is written.
        return self.phase is Phase.BODY

    # Requests behind the first one.

    def _apply_limits(self) -> None:
        """Use the current limits for the next request, of which nothing is read yet."""
        if self.limits == self.listener.limits:
            return
        self.limits = self.listener.limits
        if self.http is self.reader and self.http.their_state is h11.IDLE:
            unread, _ = self.http.trailing_data
            self.http = self.reader = self._build_parser()
            if unread:
                # Without input, h11 would take this for the end of the connection.
                self.http.receive_data(unread)

    def _build_parser(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.limits.head_bytes
        )

    def _read_ahead(self) -> None:
        """Read the requests that have arrived behind others, and start what may run."""
        if not self.sequence.parallel or self.last_answer:
            # The task reads the first request. None gets an answer behind the last one.
            return
        while sequencing.can_read(self.sequence) and self._read_queued():
            pass
        if self.queued:
            self._start_queued()
        if not self.reading and self.unparsed_bytes <= READ_AHEAD_BYTES:
            self.reading = True
            self.transport.resume_reading()

    def _read_queued(self) -> bool:
        """Read one request behind the others; return false if none is complete."""
        if self.reader.their_state is h11.DONE:
            unread, _ = self.reader.trailing_data
            if not unread:
                return False
            self.limits = self.listener.limits
            self.reader = self._build_parser()
            self.reader.receive_data(unread)
            self.unparsed_bytes = len(unread)
        if self.reader.their_state is not h11.IDLE:
            # Nothing can be read behind a body that has not arrived, or an error.
            return False
        http = self.reader
        try:
            head = http.next_event()
            if type(head) is not h11.Request:
                return False
            self._check_head_size(http)
            request = self._queue(http, head)
        except h11.RemoteProtocolError as error:
            failure = self._build_parse_failure(error)
            request = self._queue_refusal(http, failure)
        except request_body.RequestRefused as refusal:
            request = self._queue_refusal(http, refusal.failure)
        self.queued.append(request)
        self.sequence = sequencing.add(self.sequence, request.parallel)
        self.unparsed_bytes = len(http.trailing_data[0])
        return True

    def _queue(self, http: h11.Connection, head: h11.Request) -> QueuedRequest:
        """Return the queued request that a head begins."""
        identified, length = self._identify(head)
        if length or length is None or http.they_are_waiting_for_100_continue:
            limit = self._find_body_limit(identified)
            return QueuedRequest(http, head.method, identified, length, False, limit)
        # The end of a message without a body needs no more input.
        http.next_event()
        identified, parallel = self._prepare_parallel(identified)
        return QueuedRequest(http, head.method, identified, length, parallel)

    def _queue_refusal(self, http: h11.Connection, failure: Any) -> QueuedRequest:
        """Return what stands for input behind which nothing can be read."""
        return QueuedRequest(http, b"GET", self._refuse(failure))

    def _refuse(self, failure: Any) -> result.Failure:
        """Return the failure to report for a request that reaches no handler."""
        reported = self.listener.choose_refusal(failure)
        self.listener.on_refusal(reported)
        return result.Failure(reported)

    def _prepare_parallel(self, identified) -> tuple[Any, bool]:
        """Return a request without a body as it runs, and whether beside others."""
        if not isinstance(identified, result.Success):
            # The answer is known already.
            return identified, True
        request = self.listener.prepare_parallel(identified.unwrap())
        if request is None:
            return identified, False
        return result.Success(request), True

    def _start_queued(self) -> None:
        """Start the requests that may run beside those in front of them."""
        listener = self.listener
        count = sequencing.count_startable(
            self.sequence, listener.get_parallel_room(), listener.is_closing()
        )
        first = self.sequence.started
        for position in range(max(first, 1), first + count):
            request = self.queued[position - 1]
            if isinstance(request.identified, result.Success):
                request.task = self.loop.create_task(
                    self._handle(request.identified.unwrap())
                )
                listener.add_parallel(request.task)
        self.sequence = sequencing.start(self.sequence, count)

    # Reading.

    async def _read_event(self, phase: Phase):
        """Return h11's next event; `phase` is set while waiting for input."""
        while True:
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as error:
                raise request_body.RequestRefused(
                    self._build_parse_failure(error)
                ) from None
            if event is not h11.NEED_DATA:
                return event
            await self._wait_for_input(phase)

    async def _wait_for_input(self, phase: Phase) -> None:
        self._check_unread(phase)
        if self.phase is not phase:
            self.phase = phase
            self.phase_started = self.loop.time()
        if phase is not Phase.HEAD:
            self.unparsed_bytes = 0
        if not self.reading:
            self.reading = True
            self.transport.resume_reading()
        self.input_waiter = self.loop.create_future()
        try:
            await self.input_waiter
        finally:
            self.input_waiter = None
        if self.slow_failure is not None:
            raise request_body.RequestRefused(self.slow_failure)
        self._check_unread(phase)

    def _check_unread(self, phase: Phase) -> None:
        """Refuse a request of which a part has been read, if the listener requires it.

        Raises
        ------
        RequestRefused
            If it does.
        """
        failure = self.listener.unread_failure
        if failure is not None and phase is not Phase.IDLE:
            raise request_body.RequestRefused(failure)

    def _build_parse_failure(self, error: h11.RemoteProtocolError) -> Any:
        if error.error_status_hint == 431:
            return errors.HeadersTooLarge(self.limits.head_bytes)
        return errors.MalformedRequest(str(error))

    async def _read_head(self) -> h11.Request:
        if not self.unparsed_bytes:
            await self._wait_for_input(Phase.IDLE)
        event = await self._read_event(Phase.HEAD)
        self.phase = Phase.HANDLING
        if type(event) is not h11.Request:
            # The caller closed the connection; ends the task as a cancellation does.
            raise asyncio.CancelledError
        self._check_head_size(self.http)
        return event

    def _check_head_size(self, http: h11.Connection) -> None:
        """Check the size of a head just parsed; h11 limits incomplete heads only.

        Raises
        ------
        RequestRefused
            If it is too large.
        """
        if self.unparsed_bytes <= self.limits.head_bytes:
            return
        size = self.unparsed_bytes - len(http.trailing_data[0])
        if size > self.limits.head_bytes:
            raise request_body.RequestRefused(
                errors.HeadersTooLarge(self.limits.head_bytes)
            )

    async def read_chunk(self) -> bytes | None:
        """Return the next chunk of the request's body, or None at its end."""
        if self.http.they_are_waiting_for_100_continue:
            continue_head = h11.InformationalResponse(status_code=100, headers=[])
            transports.write(self.transport, self.http.send(continue_head))
        phase = self.phase
        began = self.loop.time()
        event = await self._read_event(Phase.BODY)
        if self.phase is Phase.BODY:
            self.body_wait_seconds += self.loop.time() - began
            self.phase = phase
        if type(event) is h11.Data:
            self.received_body_bytes += len(event.data)
            return bytes(event.data)
        return None

    async def _read_body(
        self, length: int | None, find_limit: Callable[[], int]
    ) -> data.Body:
        """Read a small body completely, and the start of a large one."""
        self.body_wait_seconds = 0.0
        self.received_body_bytes = 0
        if length is not None and length > bodies.SMALL_BODY_BYTES:
            return data.Body(b"", request_body.RequestBody(self, find_limit, 0))
        pieces: list[bytes] = []
        size = 0
        while (chunk := await self.read_chunk()) is not None:
            pieces.append(chunk)
            size += len(chunk)
            if size > (limit := find_limit()):
                raise request_body.RequestRefused(errors.BodyTooLarge(limit))
            if length is None and size > bodies.SMALL_BODY_BYTES:
                return data.Body(
                    b"".join(pieces), request_body.RequestBody(self, find_limit, size)
                )
        return data.Body(b"".join(pieces), None)

    async def _discard_body(self, length: int | None) -> None:
        """Skip a small body, so that the connection can be reused."""
        waiting = self.http.they_are_waiting_for_100_continue
        if length is not None and length <= bodies.SMALL_BODY_BYTES and not waiting:
            await self._read_body(length, lambda: length)

    # Serving.

    async def _serve_requests(self) -> None:
        try:
            while await self._serve_request():
                self._advance()
                if self.listener.stopping and not (self.queued or self.unparsed_bytes):
                    # The head was written before the stop, without a close.
                    break
            self._start_lingering_close()
        except asyncio.CancelledError:
            self.transport.abort()
            raise
        except Exception as error:
            events.exception("caller_connection_failed", error)
            self.transport.abort()
        finally:
            self._cancel_queued()

    def _advance(self) -> None:
        """Prepare for the next request after an answer."""
        self.sequence = sequencing.remove_first(self.sequence)
        if self.queued:
            self.http = self.queued[0].http
        elif self.reader is not self.http:
            # A part of the next request has been read.
            self.http = self.reader
        else:
            self.http.start_next_cycle()
            self.unparsed_bytes = len(self.http.trailing_data[0])
            self._apply_limits()

    async def _serve_request(self) -> bool:
        """Serve one request; return whether the connection can serve another."""
        method = b"GET"
        try:
            if self.queued:
                request = self.queued.popleft()
                method = request.method
                outcome = await self._serve_queued(request)
            else:
                head = await self._read_head()
                method = head.method
                outcome = await self._handle_head(head)
        except request_body.RequestRefused as refusal:
            outcome = self._refuse(refusal.failure)
        if isinstance(outcome, result.Success):
            answer = outcome.unwrap()
        else:
            failure = outcome.failure()
            answer = self.listener.render_failure(failure, self.listener.jitter)
        if not await self._write_answer(answer, method):
            transports.reset(self.transport)
            return False
        return self.http.our_state is h11.DONE and self.http.their_state is h11.DONE

    async def _serve_queued(self, request: QueuedRequest):
        """Return the outcome of a request that was read behind others."""
        self.phase = Phase.HANDLING
        if request.task is None and not self.sequence.started:
            self.sequence = sequencing.start(self.sequence, 1)
            self._read_ahead()
            return await self._handle_identified(
                request.identified, request.length, request.limit
            )
        self._read_ahead()
        if request.task is not None:
            try:
                return await request.task
            finally:
                request.task.cancel()
        return request.identified

    def _identify(self, head: h11.Request):
        """Return the identified request, or its failure, and the length of its body."""
        headers = tuple(head.headers)
        length = request_body.get_body_length(headers)
        if head.method == b"CONNECT":
            raise request_body.RequestRefused(
                errors.MalformedRequest("CONNECT is not supported")
            )
        identified = self.listener.identify_request(
            head.method, head.target, headers, length
        )
        if not isinstance(identified, result.Success):
            identified = self._refuse(identified.failure())
        return identified, length

    async def _handle_head(self, head: h11.Request):
        """Handle the first request."""
        identified, length = self._identify(head)
        parallel = length == 0 and self._prepare_parallel(identified)[1]
        self.sequence = sequencing.start(sequencing.add(self.sequence, parallel), 1)
        limit = self._find_body_limit(identified)
        return await self._handle_identified(identified, length, limit)

    def _find_body_limit(self, identified, earlier: int = 0) -> int:
        """Return the maximum body size of a request in bytes.

        A limit that is lowered while the request is read does not apply to it.
        """
        if not isinstance(identified, result.Success):
            return earlier
        return max(earlier, self.listener.get_body_limit(identified.unwrap()))

    async def _handle_identified(self, identified, length: int | None, limit: int):
        """Read the body of the first request and handle it."""
        if not isinstance(identified, result.Success):
            if self.http.their_state is h11.SEND_BODY:
                await self._discard_body(length)
            return identified
        request = identified.unwrap()
        find_limit = functools.partial(self._find_body_limit, identified, limit)
        if length is not None and length > (limit := find_limit()):
            raise request_body.RequestRefused(errors.BodyTooLarge(limit))
        if self.http.their_state is h11.SEND_BODY:
            body = await self._read_body(length, find_limit)
            request = request._replace(body=body)
        if self.http is self.reader and self.http.their_state is h11.DONE:
            self._read_ahead()
        return await self._handle(request)

    async def _handle(self, request):
        try:
            return await self.listener.handler.handle(request)
        except Exception as error:
            events.exception("handler_failed", error, request_id=request.request_id)
            return result.Failure(errors.ConnectionLost(self.listener.entry))

    async def _write_answer(self, answer: data.Answer, method: bytes) -> bool:
        """Write an answer; return false if it could not be completed."""
        http = self.http
        listener = self.listener
        close = http.their_state is not h11.DONE
        if not close and listener.is_closing():
            # What arrived with the end of a body has not been read yet.
            self._read_ahead()
            close = sequencing.may_close(self.sequence)
        self.last_answer = close
        body = answer.body
        with_body = rendering.has_body(answer, method)
        try:
            pieces = [http.send(rendering.render_head(answer, method, close))]
            if with_body and body.start:
                pieces.append(http.send(h11.Data(data=body.start)))
            if body.rest is not None and with_body:
                transports.write(self.transport, b"".join(pieces))
                pieces.clear()
                async for chunk in body.rest:
                    await self._wait_writable()
                    if chunk:
                        chunk = http.send(h11.Data(data=chunk))
                        transports.write(self.transport, chunk)
            pieces.append(http.send(h11.EndOfMessage()))
            transports.write(self.transport, b"".join(pieces))
            await self._wait_writable()
        except (bodies.BodyFailure, h11.LocalProtocolError) as error:
            failure = getattr(error, "failure", error)
            events.info("answer_cut", failure=type(failure).__name__)
            return False
        finally:
            if body.rest is not None:
                await bodies.close_body(body)
        return True

    async def _wait_writable(self) -> None:
        if self.write_waiter is not None:
            self._start_sample()
            await self.write_waiter
            self.sample_started = None

    def _start_sample(self) -> None:
        self.sample_started = self.loop.time()
        self.sample_buffer_bytes = self.transport.get_write_buffer_size()

    # Closing.

    def _start_lingering_close(self) -> None:
        """Send the rest of the answer and end of file; discard further input."""
        self.phase = Phase.LINGERING
        self.phase_started = self.loop.time()
        if self.transport.is_closing():
            return
        self._start_sample()
        if not self.reading:
            self.transport.resume_reading()
        try:
            self.transport.write_eof()
        except OSError:
            # The connection was reset, which the event loop has not reported yet.
            self.transport.abort()
