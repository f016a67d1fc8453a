"""Tests of the checks of partly received heads."""

import time

import h11
import pytest
from hypothesis import given, strategies

from dewstep_core.http import answer_heads

LIMIT = 65_536
HEAD = b"HTTP/1.1 200 OK\r\nA: 1\r\n folded\r\nX-Id:\t a\xe9b \r\n\r\n"


@pytest.mark.parametrize(
    "head",
    [
        HEAD,
        b"HTTP/1.1 204\r\n\r\n",
        b"HTTP/1.0 503 \nA:b\n\n",
        HEAD.replace(b"folded", b"f" * 2_000),
    ],
)
def test_each_part_of_a_valid_head_is_accepted(head):
    for size in range(len(head) + 1):
        answer_heads.check_head(head[:size], LIMIT)


@pytest.mark.parametrize(
    "received",
    [
        b"x",
        b"\r\n",
        b"HTTP/x",
        b"HTTP/1.1 20x",
        b"HTTP/1.1 2000",
        b"HTTP/1.1 200OK",
        b"HTTP/1.1 200 OK\r\nno header\r\n",
        b"HTTP/1.1 200 OK\r\nA: 1\r\n: 2\r\nB",
        b"HTTP/1.1 200 OK\r\nA: \x00",
        b"HTTP/1.1 200 OK\r\nA: 1\r2",
        b"HTTP/1.1 200 " + b"x" * LIMIT,
        HEAD[:-2] + b"A: " + b"x" * LIMIT + b"\r\n\r\n",
    ],
)
def test_part_of_no_head_is_refused(received):
    with pytest.raises(h11.RemoteProtocolError):
        answer_heads.check_head(received, LIMIT)


@given(strategies.binary(max_size=100), strategies.integers(0, 100))
def test_whatever_h11_accepts_is_accepted(tail, cut):
    # Guards against refusing what a server may send.
    head = HEAD[: min(cut, len(HEAD) - 2)] + tail + b"\r\n\r\n"
    http = h11.Connection(h11.CLIENT, max_incomplete_event_size=LIMIT)
    http.send(h11.Request(method="GET", target="/", headers=[("host", "h")]))
    http.receive_data(head)
    try:
        accepted = isinstance(http.next_event(), h11.Response)
    except h11.RemoteProtocolError:
        accepted = False
    if accepted:
        for size in range(len(head) + 1):
            answer_heads.check_head(head[:size], LIMIT)


def test_long_invalid_head_takes_little_time():
    head = HEAD[:-2] + b"A:" + b" " * 60_000 + b"\x00\r\n\r\n"
    began = time.thread_time()
    with pytest.raises(h11.RemoteProtocolError):
        answer_heads.check_head(head, LIMIT)
    assert time.thread_time() - began < 0.05
