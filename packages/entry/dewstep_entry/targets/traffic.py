"""Counts of the bytes on connections."""


class Traffic:
    """Bytes of HTTP messages that a group of connections has sent and received."""

    __slots__ = ("received", "sent")

    def __init__(self):
        self.sent = 0
        self.received = 0
