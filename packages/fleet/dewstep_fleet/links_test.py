import asyncio
import contextlib
import datetime

import pytest

from dewstep_emulator import testing
from dewstep_fleet import event_capture, frames, links

TIMEOUT = datetime.timedelta(milliseconds=400)
CLOSE_SECONDS = 3.0
"""Maximum time until a link is closed on a busy machine."""
PREFIX_BYTES = links.LENGTH_PREFIX_BYTES


def encode(frame):
    content = frames.encode(frame)
    return len(content).to_bytes(PREFIX_BYTES, "big") + content


FRAME = frames.Frame("ask", 1, "n1", "i")
ENCODED = encode(FRAME)


class Acceptor:
    """Accepts links and records what happens to them."""

    def __init__(self):
        self.received = []
        self.closed = []
        self.accepted = []

    def accept(self):
        link = links.Link(
            lambda _, frame: self.received.append(frame), self.closed.append
        )
        self.accepted.append(link)
        return link


@contextlib.asynccontextmanager
async def accepting():
    """Yield an acceptor and its port."""
    acceptor = Acceptor()
    server = await asyncio.get_running_loop().create_server(
        acceptor.accept, "127.0.0.1", 0
    )
    try:
        yield acceptor, server.sockets[0].getsockname()[1]
    finally:
        server.close()
        for link in acceptor.accepted:
            link.close()


async def wait_closed(reader):
    """Return the seconds until the other side has closed the connection."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    async with asyncio.timeout(CLOSE_SECONDS):
        with contextlib.suppress(ConnectionError):
            while await reader.read(1000):
                pass
    return loop.time() - began


@pytest.fixture(autouse=True)
def short_timeouts(monkeypatch):
    monkeypatch.setattr(links, "FIRST_FRAME_TIMEOUT", TIMEOUT)
    monkeypatch.setattr(links, "FRAME_TIMEOUT", TIMEOUT)


@pytest.mark.parametrize("start", [b"", ENCODED[:2], ENCODED[:-1]])
@testing.run_in_event_loop
async def test_accepted_link_without_a_first_frame_is_closed(start, monkeypatch):
    # Guards against links of anybody that hold memory without end.
    log = event_capture.EventCapture(monkeypatch)
    async with accepting() as (acceptor, port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(start)
        waited = await wait_closed(reader)
        writer.close()
        assert waited >= TIMEOUT.total_seconds() * 0.8
        assert acceptor.closed == acceptor.accepted and not acceptor.received
        assert log.find("frame_timed_out", received=len(start))


@testing.run_in_event_loop
async def test_first_frame_sent_byte_by_byte_does_not_extend_the_time():
    header = frames.MAX_FRAME_BYTES.to_bytes(PREFIX_BYTES, "big")
    async with accepting() as (acceptor, port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(header)
        closed = asyncio.ensure_future(wait_closed(reader))
        while not closed.done():
            writer.write(b"x")
            await asyncio.sleep(TIMEOUT.total_seconds() / 20)
        assert await closed < CLOSE_SECONDS
        writer.close()
        assert acceptor.closed == acceptor.accepted


@pytest.mark.parametrize("size", [1, PREFIX_BYTES, len(ENCODED) - 1])
@testing.run_in_event_loop
async def test_accepted_link_that_leaves_a_frame_incomplete_is_closed(size):
    # Guards against up to 8 MiB of each link that are kept without end.
    async with accepting() as (acceptor, port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(ENCODED + ENCODED[:size])
        await wait_closed(reader)
        writer.close()
        assert acceptor.received == [FRAME]
        assert acceptor.closed == acceptor.accepted


@testing.run_in_event_loop
async def test_dialled_link_that_receives_an_incomplete_frame_is_closed():
    async def send_start(_, writer):
        writer.write(ENCODED[:-1])

    server = await testing.start_scripted_server(send_start)
    closed = asyncio.get_running_loop().create_future()
    async with server:
        port = server.sockets[0].getsockname()[1]
        link = await links.connect(
            "127.0.0.1", port, lambda *_: None, closed.set_result
        )
        async with asyncio.timeout(CLOSE_SECONDS):
            assert await closed is link


@testing.run_in_event_loop
async def test_links_that_are_silent_between_frames_stay_open():
    # Guards against closing the links of members and coordinators that have nothing to
    # send.
    pause = 3 * TIMEOUT.total_seconds()
    async with accepting() as (acceptor, port):
        closed = []
        link = await links.connect("127.0.0.1", port, lambda *_: None, closed.append)
        assert link.send(FRAME)
        await asyncio.sleep(pause)
        assert link.send(FRAME)
        await asyncio.sleep(pause)
        assert acceptor.received == [FRAME, FRAME]
        assert not closed and not acceptor.closed
        link.close()


@testing.run_in_event_loop
async def test_frames_in_parts_do_not_add_up_to_a_time_out():
    # Guards against closing a link on which some frame is always incomplete.
    async with accepting() as (acceptor, port):
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(ENCODED[:5])
        for _ in range(8):
            await asyncio.sleep(TIMEOUT.total_seconds() / 4)
            writer.write(ENCODED[5:] + ENCODED[:5])
        await asyncio.sleep(TIMEOUT.total_seconds() / 4)
        assert acceptor.received == [FRAME] * 8
        assert not acceptor.closed
        writer.close()
