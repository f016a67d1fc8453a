"""One request on a connection to a target, and what has arrived of its answer."""

import asyncio

import h11

from dewstep_core import data
from dewstep_entry import bodies, header_rules
from dewstep_entry.targets import outcome

ANSWER_BUFFER_BYTES = 65_536
"""Unread bytes of an answer above which reading from the socket pauses."""
NO_BODY_STATUSES = frozenset({204, 304})


class Exchange(bodies.ChunkQueue):
    """One request and its answer, with the received part of the answer's body."""

    __slots__ = (
        "body_task",
        "buffered",
        "ends_with_close",
        "head",
        "headers",
        "informational_answers",
        "length",
        "method",
        "refusal",
        "request_id",
        "sent",
        "skipped_answers",
        "skipped_bytes",
        "skipping_answer",
        "timer",
    )

    def __init__(
        self, method: bytes, request_id: bytes, buffered: bool, on_read, on_close
    ):
        super().__init__(ANSWER_BUFFER_BYTES, on_read, on_close)
        self.method = method
        self.buffered = buffered
        self.informational_answers = 0
        self.skipping_answer = False
        self.skipped_answers = 0
        self.skipped_bytes = 0
        self.request_id = request_id
        self.head: h11.Response | None = None
        self.headers: list[tuple[bytes, bytes]] = []
        self.length: int | None = None
        self.ends_with_close = False
        """Whether only the end of the connection marks the end of the answer."""
        self.refusal = ""
        self.sent = False
        self.body_task: asyncio.Task | None = None
        self.timer: asyncio.TimerHandle | None = None

    def add_chunk(self, chunk: bytearray) -> None:
        """Add a chunk; small chunks are joined, as each object takes memory."""
        if self.chunks:
            self.chunks[-1] += chunk
            self.size += len(chunk)
            self.wake_reader()
        else:
            super().add_chunk(chunk)

    def get_progress(self) -> outcome.Progress:
        """Return the progress of the exchange."""
        status = self.head.status_code if self.head is not None else 0
        return outcome.Progress(self.sent, status, self.refusal)

    def is_ready(self) -> bool:
        """Whether the answer can be returned; a small one only when it is complete."""
        if self.ended or self.head is None:
            return self.ended
        if self.length is None:
            return not self.buffered or self.size > bodies.SMALL_BODY_BYTES
        return self.length > bodies.SMALL_BODY_BYTES


def build_answer(exchange: Exchange) -> data.Answer:
    """Return the answer of an exchange whose head has arrived."""
    headers = header_rules.drop_headers(
        exchange.headers, header_rules.DROPPED_FROM_ANSWERS
    )
    start = exchange.read_available() if exchange.chunks else b""
    rest = None if exchange.ended else exchange
    length = exchange.length
    if rest is None and length is None:
        length = len(start)
        if exchange.method == b"HEAD" or exchange.head.status_code in NO_BODY_STATUSES:
            length = None
    body = data.Body(start, rest)
    return data.Answer(exchange.head.status_code, headers, length, body, "")
