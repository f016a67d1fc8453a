import datetime

import pytest

from dewstep_core import data
from dewstep_entry.peers import messages, wire

SECOND = datetime.timedelta(seconds=1)
HEADERS = ((b"accept", b"*/*"), (b"x-empty", b""))
BODY = data.Body(b"start", None)
REQUEST_FIELDS = ("history", "due", "k", "id", True, "POST", "/history/k")
REQUEST = data.Request(*REQUEST_FIELDS, HEADERS, None, BODY, 2 * SECOND)
MEMBER = data.Member("e1", "i1", "dc1", "127.0.0.1", 7001, 7002)


@pytest.mark.parametrize(
    "frame",
    [
        wire.RequestHead(5, REQUEST, False),
        wire.RequestHead(6, REQUEST._replace(body_length=5, headers=()), True),
        wire.AnswerHead(5, data.Answer(503, HEADERS, 5, BODY, "QueueFull"), True),
        wire.Chunk(5, b"x" * 1000),
        wire.End(5, "ConnectionLost", '{"peer": "t"}'),
        wire.Cancel(2**60),
        wire.Credit(5, 65536),
        messages.Hello(1, MEMBER),
        messages.Heartbeat(
            7,
            {"history": 3},
            SECOND,
            (MEMBER, MEMBER),
            (data.Suspicion("e2", "i2"),),
        ),
        messages.Heartbeat(7, {}, None, (), ()),
        messages.Alive(),
        messages.Fetch("assignment", "history"),
        messages.Value("assignment", "history", 3, b"\0payload"),
    ],
)
def test_frames_are_equal_after_encoding_and_decoding(frame):
    buffer = bytearray(wire.encode(frame) * 2 + b"\0\0")
    first, second = wire.split_frames(buffer)
    assert wire.decode(first) == frame and first == second
    assert bytes(buffer) == b"\0\0"


def test_heartbeat_without_changes_is_small():
    """The limit for heartbeats is 2 KB/s per process, at 27 heartbeats per second."""
    assert len(wire.encode(messages.Alive())) <= 48


def test_damaged_frames_are_returned_as_invalid_without_an_exception():
    # Guards against one peer's damaged frame ending the task that serves all peers.
    too_long = bytearray(b"\xff\xff\xff\xff")
    assert isinstance(wire.split_frames(too_long), wire.FrameInvalid)
    encoded = wire.encode(wire.RequestHead(5, REQUEST, True))[
        wire.LENGTH_PREFIX_BYTES :
    ]
    for damaged in (b"", b"x" * 64, encoded[:40], encoded[: len(encoded) // 2]):
        assert isinstance(wire.decode(damaged), wire.FrameInvalid)
