"""Answers of targets that end a connection while a request's body is being sent.

The target runs in a thread and the body blocks the event loop until the target is done,
so that its answer and the end of the connection arrive before the next write.
"""

import asyncio
import contextlib
import datetime
import select
import socket
import threading

import h11
import pytest

from dewstep_core import clocks, data, errors, settings
from dewstep_core.http import transports
from dewstep_emulator import testing
from dewstep_entry.targets import answering, connection, connection_pool

RULES = answering.AnswerRules(
    b"x-id", b"x-not-run", None, frozenset({421}), has_request_id=True, buffered=True
)
WAIT_SECONDS = 5.0
CHUNK = b"x" * 20_000


def end_properly(accepted):
    accepted.shutdown(socket.SHUT_WR)


def reset(accepted):
    accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, transports.RESET_ON_CLOSE)
    accepted.close()


@contextlib.contextmanager
def run_target(answer, end):
    """Run a target that answers the start of a request; yield its state."""
    done, finished = threading.Event(), threading.Event()
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def serve():
            accepted, _ = listener.accept()
            accepted.recv(65_536)
            accepted.sendall(answer)
            end(accepted)
            done.set()
            finished.wait(WAIT_SECONDS)
            accepted.close()

        thread = threading.Thread(target=serve)
        thread.start()
        yield settings.Address(*listener.getsockname()), done
        finished.set()
        thread.join(WAIT_SECONDS)


async def upload(address, done, chunks):
    """Upload chunks, all but the first of them after the target has answered."""
    pool = connection_pool.ConnectionPool(
        "t", address, clocks.SystemClock(), 4, rules=RULES
    )

    async def generate_chunks():
        yield CHUNK
        done.wait(WAIT_SECONDS)
        yield CHUNK
        for _ in range(chunks - 2):
            await asyncio.sleep(0.01)
            yield CHUNK

    length = b"%d" % (chunks * len(CHUNK))
    headers = [(b"host", b"h"), (b"content-length", length)]
    head = h11.Request(method="POST", target="/", headers=headers)
    body = data.Body(b"", generate_chunks())
    deadline = pool.clock.monotonic() + datetime.timedelta(seconds=WAIT_SECONDS)
    outcome = await pool.send(head, body, deadline, b"a")
    await pool.close()
    return outcome


# Guards against 502, after which a caller must not repeat, for an upload that the
# target refused: the write of the next part failed before the refusal was read.
@testing.run_in_event_loop
async def test_refusal_of_an_upload_is_read_after_a_failed_write():
    refusal = b"HTTP/1.1 503 Full\r\nX-Id: a\r\nX-Not-Run: 1\r\nContent-Length: 2\r\n"
    with run_target(refusal + b"\r\nno", reset) as (address, done):
        outcome = await upload(address, done, 5)
        assert testing.fails(outcome, errors.TargetRefused)


# Guards against a wrong "not run": an incomplete or foreign head refuses nothing. The
# last answer guards against a part that passes for a whole answer, since the connection
# ends before the upload does.
@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"HTTP/1.1 503 Full\r\nX-Id: a\r\nX-Not-Run: 1\r\n",
        b"HTTP/1.1 503 Full\r\nX-Id: b\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 9\r\n\r\nhalf",
        b"HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nhalf",
    ],
)
@pytest.mark.parametrize("end", [reset, end_properly])
@testing.run_in_event_loop
async def test_upload_without_a_complete_answer_may_have_run(answer, end):
    with run_target(answer, end) as (address, done):
        outcome = await upload(address, done, 5)
        unknown = errors.ConnectionLost, errors.AnswerInvalid
        assert isinstance(outcome.failure(), unknown)


# Guards against a part that passes for a whole answer: the kernel has taken the whole
# upload, and the target resets the connection without reading it. The end that it sent
# before is reported first.
@testing.run_in_event_loop
async def test_answer_without_length_that_ends_with_a_reset_is_incomplete(monkeypatch):
    end_reported, reset_sent = threading.Event(), threading.Event()
    receive_end = connection.Connection.eof_received

    def receive_end_after_reset(self):
        end_reported.set()
        reset_sent.wait(WAIT_SECONDS)
        return receive_end(self)

    def end(accepted):
        accepted.shutdown(socket.SHUT_WR)
        threading.Thread(target=reset_later, args=(accepted,)).start()

    def reset_later(accepted):
        end_reported.wait(WAIT_SECONDS)
        reset(accepted)
        reset_sent.set()

    monkeypatch.setattr(connection.Connection, "eof_received", receive_end_after_reset)
    answer = b"HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nhalf"
    with run_target(answer, end) as (address, done):
        outcome = await upload(address, done, 2)
        assert reset_sent.is_set() and testing.fails(outcome, errors.ConnectionLost)


# Guards against failures of targets whose answers end properly without a length.
@testing.run_in_event_loop
async def test_answer_without_length_after_a_whole_upload_is_complete():
    answer = b"HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nwhole"

    def end(accepted):
        while select.select([accepted], [], [], 0.1)[0]:
            accepted.recv(65_536)
        accepted.shutdown(socket.SHUT_WR)

    with run_target(answer, end) as (address, done):
        done.set()
        outcome = await upload(address, done, 2)
        assert outcome.unwrap().body.start == b"whole"
