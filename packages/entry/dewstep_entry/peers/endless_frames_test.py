"""Peers that send bytes without end that are no frames."""

import asyncio

import pytest

from dewstep_core import data
from dewstep_emulator import endless_answers, testing
from dewstep_entry.peers import sessions, wire

MEMBER = data.Member("entry-1", "i", "dc1", "127.0.0.1", 1)
PROMPT_SECONDS = 1.0
SOCKET_BUFFER_BYTES = 8_000_000
PATTERNS = {
    "length": endless_answers.Pattern(b"\xff\xff\xff\xff", b"x"),
    "largest-frame": endless_answers.Pattern(
        wire.MAXIMUM_FRAME_BYTES.to_bytes(wire.LENGTH_PREFIX_BYTES, "big"), b"\xff"
    ),
    "empty-frames": endless_answers.Pattern(b"", b"\x00\x00\x00\x00"),
    "http": endless_answers.Pattern(b"", b"HTTP/1.1 200 OK\r\n"),
}


class Listener:
    """Records the events of a session."""

    def __init__(self):
        self.events = []

    def handle_ready(self, session):
        self.events.append("ready")

    def handle_frame(self, session, frame):
        self.events.append(frame)

    def handle_loss(self, session):
        self.events.append("lost")


@pytest.mark.parametrize("name", PATTERNS)
@testing.run_in_event_loop
async def test_session_closes_on_bytes_that_are_no_frame(name):
    listener = Listener()
    async with (
        endless_answers.running(PATTERNS[name], wait_for_request=False) as endless,
        endless_answers.LoopMonitor() as monitor,
    ):
        await asyncio.get_running_loop().create_connection(
            lambda: sessions.Session(MEMBER, listener, lambda member: False),
            *endless.address,
        )
        assert await endless.wait_closed(PROMPT_SECONDS)
        await asyncio.sleep(0.01)
        assert listener.events == ["lost"]
        assert endless.sent_bytes < wire.MAXIMUM_FRAME_BYTES + SOCKET_BUFFER_BYTES
        assert monitor.longest_seconds < 0.12
