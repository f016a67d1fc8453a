import pytest

from dewstep_core import data
from dewstep_entry.peers import messages, session as sessions, wire

MEMBER = data.Member("entry-1", "i", "dc1", "127.0.0.1", 1)


class ClosedTransport:
    """A transport of uvloop between its end and the call of `connection_lost`."""

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


class Receiver:
    losses = 0

    def take_loss(self, session):
        self.losses += 1


class Stream:
    sent = False


@pytest.mark.parametrize("closing", [True, False])
def test_a_frame_for_a_closed_transport_counts_as_not_sent(closing):
    # Guards against a write that ends the task of the heartbeats, and with it the
    # whole process, and against "unknown" for a request that was never written.
    receiver = Receiver()
    session = sessions.Session(MEMBER, receiver, lambda member: False)
    session.transport = ClosedTransport(closing)
    stream = Stream()
    session.write(wire.encode(messages.Hello(wire.PROTOCOL, MEMBER)), stream)
    assert not stream.sent
    assert session.transport.aborted and receiver.losses == 1
