"""One caller's connection: requests are read, handled and answered in order.

One task per connection runs the requests; it is cancelled when the caller goes away,
and with it the handler. A caller that closes its sending side counts as gone.
"""

import asyncio
from typing import Any

import h11
from returns import result

from dewstep_core import data, errors, events
from dewstep_core.http import transports
from dewstep_entry import bodies
from dewstep_entry.caller import pacing, rendering, request_body

READ_AHEAD_BYTES = 65_536
"""Unparsed input above which reading pauses."""
WRITE_BUFFER_BYTES = 65_536
Phase = pacing.Phase


class CallerConnection(asyncio.Protocol):
    """A connection from a caller.

    Parameters
    ----------
    listener : Listener
        Holds the limits, the functions to call and the set of connections.
    """

    def __init__(self, listener):
        self.listener = listener
        self.limits = listener.limits
        self.http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.limits.head_bytes
        )
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.task: asyncio.Task | None = None
        self.waiter: asyncio.Future | None = None
        self.writable: asyncio.Future | None = None
        self.phase = Phase.IDLE
        self.since = self.loop.time()
        self.waited = 0.0
        self.body_received = 0
        self.unparsed = 0
        """Bytes received since the last time that h11 asked for more."""
        self.sampled: float | None = None
        """Time of the last sample while the write buffer drains, else None."""
        self.buffered = 0
        """Size of the write buffer at that sample."""
        self.too_slow: Any = None
        self.reading = True

    # Callbacks of the transport.

    def connection_made(self, transport) -> None:
        """Begin to serve, or close if there are too many connections."""
        self.transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        if self.listener.enter(self):
            self.task = self.loop.create_task(self._run())
        else:
            transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the request in progress."""
        self.listener.leave(self)
        if self.task is not None:
            self.task.cancel()

    def eof_received(self) -> bool:
        """Cancel the request in progress."""
        if self.task is not None:
            self.task.cancel()
        return False

    def data_received(self, chunk: bytes) -> None:
        """Keep the input for the task that parses it."""
        if self.phase is Phase.LINGERING:
            return
        self.http.receive_data(chunk)
        self.unparsed += len(chunk)
        if self.waiter is not None:
            if not self.waiter.done():
                self.waiter.set_result(None)
        elif self.unparsed > READ_AHEAD_BYTES and self.reading:
            self.reading = False
            self.transport.pause_reading()

    def pause_writing(self) -> None:
        """Hold back the answer."""
        self.writable = self.loop.create_future()

    def resume_writing(self) -> None:
        """Continue with the answer."""
        if self.writable is not None and not self.writable.done():
            self.writable.set_result(None)
        self.writable = None

    # Control by the listener.

    def stop(self) -> None:
        """Close if no request is in progress; otherwise the last answer closes."""
        if self.phase is Phase.IDLE and not self.unparsed:
            self.transport.close()

    def check_pace(self, now: float) -> None:
        """Apply the rules for slow callers."""
        if self.sampled is not None and not self._check_writing(now):
            return
        elapsed = now - self.since
        pace = pacing.Pace(self.phase, elapsed, self.waited, self.body_received)
        verdict = pacing.judge(pace, self.limits)
        if verdict is pacing.Verdict.END:
            self.transport.abort()
        elif verdict is pacing.Verdict.REFUSE and self.waiter is not None:
            limit = self.limits.body_grace
            if self.phase is Phase.HEAD:
                limit = self.limits.head_timeout
            self.too_slow = errors.RequestTooSlow(limit)
            if not self.waiter.done():
                self.waiter.set_result(None)

    def _check_writing(self, now: float) -> bool:
        """Apply the rule for the write buffer; true if the others apply too."""
        size = self.transport.get_write_buffer_size()
        if self.phase is Phase.LINGERING and not size:
            # All is written: from now on the caller has time to close.
            self.sampled = None
            self.since = now
            return True
        moved = self.buffered - size
        pace = pacing.Pace(Phase.WRITING, now - self.sampled, 0.0, moved)
        verdict = pacing.judge(pace, self.limits)
        if verdict is pacing.Verdict.SAMPLE:
            self._begin_sample()
        elif verdict is pacing.Verdict.END:
            self.transport.abort()
        # A request body may arrive while the answer leaves.
        return self.phase is Phase.BODY

    # Reading.

    async def _read_event(self, phase: Phase):
        """Return h11's next event; `phase` is what the connection waits for."""
        while True:
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as error:
                raise request_body.CallerFault(self._explain(error)) from None
            if event is not h11.NEED_DATA:
                return event
            await self._wait_input(phase)

    async def _wait_input(self, phase: Phase) -> None:
        if self.phase is not phase:
            self.phase = phase
            self.since = self.loop.time()
        if phase is not Phase.HEAD:
            self.unparsed = 0
        if not self.reading:
            self.reading = True
            self.transport.resume_reading()
        self.waiter = self.loop.create_future()
        try:
            await self.waiter
        finally:
            self.waiter = None
        if self.too_slow is not None:
            raise request_body.CallerFault(self.too_slow)

    def _explain(self, error: h11.RemoteProtocolError) -> Any:
        if error.error_status_hint == 431:
            return errors.HeadersTooLarge(self.limits.head_bytes)
        return errors.MalformedRequest(str(error))

    async def _read_head(self) -> h11.Request:
        if not self.unparsed:
            await self._wait_input(Phase.IDLE)
        event = await self._read_event(Phase.HEAD)
        self.phase = Phase.HANDLING
        if type(event) is not h11.Request:
            raise asyncio.CancelledError
        if self.unparsed > self.limits.head_bytes:
            # h11 checks the size of incomplete heads only.
            size = len(event.target) + sum(
                len(name) + len(value) + 4 for name, value in event.headers
            )
            if size > self.limits.head_bytes:
                raise request_body.CallerFault(
                    errors.HeadersTooLarge(self.limits.head_bytes)
                )
        return event

    async def read_chunk(self) -> bytes | None:
        """Return the next piece of the request's body, None at its end."""
        if self.http.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            transports.write(self.transport, self.http.send(go_on))
        phase = self.phase
        began = self.loop.time()
        event = await self._read_event(Phase.BODY)
        if self.phase is Phase.BODY:
            self.waited += self.loop.time() - began
            self.phase = phase
        if type(event) is h11.Data:
            self.body_received += len(event.data)
            return bytes(event.data)
        return None

    async def _read_body(self, length: int | None, limit: int) -> data.Body:
        """Return a small body as a whole and the start of a large one."""
        self.waited = 0.0
        self.body_received = 0
        if length is not None and length > bodies.SMALL_BODY_BYTES:
            return data.Body(b"", request_body.RequestBody(self, limit, 0))
        pieces: list[bytes] = []
        size = 0
        while (chunk := await self.read_chunk()) is not None:
            pieces.append(chunk)
            size += len(chunk)
            if size > limit:
                raise request_body.CallerFault(errors.BodyTooLarge(limit))
            if length is None and size > bodies.SMALL_BODY_BYTES:
                return data.Body(
                    b"".join(pieces), request_body.RequestBody(self, limit, size)
                )
        return data.Body(b"".join(pieces), None)

    async def _discard_body(self, length: int | None) -> None:
        """Read a small body that nobody wants, so that the connection can go on."""
        waiting = self.http.they_are_waiting_for_100_continue
        if length is not None and length <= bodies.SMALL_BODY_BYTES and not waiting:
            await self._read_body(length, length)

    # Serving.

    async def _run(self) -> None:
        try:
            while await self._serve_next():
                self.http.start_next_cycle()
                self.unparsed = len(self.http.trailing_data[0])
            self._linger()
        except asyncio.CancelledError:
            self.transport.abort()
            raise
        except Exception as error:
            events.exception("caller_connection_failed", error)
            self.transport.abort()

    async def _serve_next(self) -> bool:
        """Serve one request; false if the connection must end after it."""
        method = b"GET"
        try:
            head = await self._read_head()
            method = head.method
            outcome = await self._handle(head)
        except request_body.CallerFault as fault:
            self.listener.note_refusal(fault.failure)
            outcome = result.Failure(fault.failure)
        if isinstance(outcome, result.Success):
            answer = outcome.unwrap()
        else:
            failure = outcome.failure()
            answer = rendering.render_failure(failure, self.listener.spread)
        if not await self._write_answer(answer, method):
            transports.reset(self.transport)
            return False
        return self.http.our_state is h11.DONE and self.http.their_state is h11.DONE

    async def _handle(self, head: h11.Request):
        headers = tuple(head.headers)
        length = request_body.find_length(headers)
        if head.method == b"CONNECT":
            raise request_body.CallerFault(
                errors.MalformedRequest("CONNECT is not supported")
            )
        outcome = self.listener.identify(head.method, head.target, headers, length)
        if not isinstance(outcome, result.Success):
            self.listener.note_refusal(outcome.failure())
            await self._discard_body(length)
            return outcome
        request = outcome.unwrap()
        limit = self.listener.body_limit(request)
        if length is not None and length > limit:
            raise request_body.CallerFault(errors.BodyTooLarge(limit))
        body = await self._read_body(length, limit)
        try:
            return await self.listener.handler.handle(request._replace(body=body))
        except Exception as error:
            events.exception("handler_failed", error, request_id=request.request_id)
            return result.Failure(errors.ConnectionLost(self.listener.entry))

    async def _write_answer(self, answer: data.Answer, method: bytes) -> bool:
        """Write an answer; false if its end could not be written."""
        http = self.http
        listener = self.listener
        close = listener.stopping or listener.last_answers
        close = close or http.their_state is not h11.DONE
        body = answer.body
        shown = rendering.has_body(answer, method)
        try:
            pieces = [http.send(rendering.render_head(answer, method, close))]
            if shown and body.start:
                pieces.append(http.send(h11.Data(data=body.start)))
            if body.rest is not None and shown:
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
        if self.writable is not None:
            self._begin_sample()
            await self.writable
            self.sampled = None

    def _begin_sample(self) -> None:
        self.sampled = self.loop.time()
        self.buffered = self.transport.get_write_buffer_size()

    # Ending.

    def _linger(self) -> None:
        """Send what is left and the end, and discard input for a short time."""
        self.phase = Phase.LINGERING
        self.since = self.loop.time()
        if self.transport.is_closing():
            return
        self._begin_sample()
        if not self.reading:
            self.transport.resume_reading()
        try:
            self.transport.write_eof()
        except OSError:
            # The caller reset the connection and the event loop has not seen it yet.
            self.transport.abort()
