import pytest

from dewstep_core import data
from dewstep_entry.peers import messages, sessions, wire

MEMBER = data.Member("entry-1", "i", "dc1", "127.0.0.1", 1)


class ClosingTransport:
    """A uvloop transport that is closed but has not called `connection_lost`."""

    def __init__(self, closing):
        self.closing = closing
        self.aborted = False

    def is_closing(self):
        return self.closing

    def abort(self):
        self.aborted = True

    def write(self, content):
        raise RuntimeError("the handler is closed")

    def get_write_buffer_size(self):
        return 0


class CountingListener:
    losses = 0

    def handle_loss(self, session):
        self.losses += 1


class Stream:
    sent = False


@pytest.mark.parametrize("closing", [True, False])
def test_frame_for_a_closed_transport_is_not_sent(closing):
    # Guards against an exception that ends the heartbeat task, and with it the process,
    # and against reporting "unknown" for a request that was never written.
    listener = CountingListener()
    session = sessions.Session(MEMBER, listener, lambda member: False)
    session.transport = ClosingTransport(closing)
    stream = Stream()
    session.write(wire.encode(messages.Hello(wire.PROTOCOL_VERSION, MEMBER)), stream)
    assert not stream.sent
    assert session.transport.aborted and listener.losses == 1
