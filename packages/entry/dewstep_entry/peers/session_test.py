from dewstep_core import data
from dewstep_entry.peers import messages, session as sessions, wire

MEMBER = data.Member("entry-1", "i", "dc1", "127.0.0.1", 1)


class ClosedTransport:
    """A transport of uvloop between its end and the call of `connection_lost`."""

    def is_closing(self):
        return True

    def write(self, content):
        raise RuntimeError("the handler is closed")

    def get_write_buffer_size(self):
        return 0


class Stream:
    sent = False


def test_a_frame_for_a_closed_transport_counts_as_not_sent():
    # Guards against a write that ends the task of the heartbeats, and with it the
    # whole process, and against "unknown" for a request that was never written.
    session = sessions.Session(MEMBER, None, lambda member: False)
    session.transport = ClosedTransport()
    stream = Stream()
    session.write(wire.encode(messages.Hello(wire.PROTOCOL, MEMBER)), stream)
    assert not stream.sent
