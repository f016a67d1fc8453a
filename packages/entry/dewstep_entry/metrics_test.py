import socket

from dewstep_core import settings
from dewstep_entry import metrics


def test_totals_are_sent_as_increases_also_after_a_restart_from_zero():
    # Guards against negative counts when a gate ends and its sums are dropped.
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
        receiver.bind(("127.0.0.1", 0))
        receiver.settimeout(5)
        address = settings.Address(*receiver.getsockname())
        sender = metrics.Metrics(address, "e1")
        sender.send({"a:b": 3}, {"callers": 2.0})
        assert receiver.recv(512) == b"dewstep.e1.a_b:3|c\ndewstep.e1.callers:2.0|g"
        sender.send({"a:b": 5, "c": 0}, {})
        assert receiver.recv(512) == b"dewstep.e1.a_b:2|c"
        sender.send({"a:b": 1}, {})
        assert receiver.recv(512) == b"dewstep.e1.a_b:1|c"
