"""Writes lines to a file descriptor without ever waiting for its reader.

A reader that stops reading costs lines, never requests: what the pipe does not take is
kept up to a limit and dropped beyond it. The number of dropped lines is written as soon
as there is room again.
"""

import collections
import json
import os

LIMIT_BYTES = 256 * 1024
"""Text that waits for the reader at most."""


class LineWriter:
    """Lines on their way to a file descriptor.

    Parameters
    ----------
    descriptor : int
        Is made non-blocking.
    limit : int, optional
        Most bytes that wait.
    """

    def __init__(self, descriptor: int, limit: int = LIMIT_BYTES):
        self.descriptor = descriptor
        self.limit = limit
        self.waiting: collections.deque[bytes] = collections.deque()
        self.size = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Write a line, or keep it until `flush`, or drop it."""
        content = line.encode("utf-8", "replace") + b"\n"
        if self.size + len(content) > self.limit:
            self.dropped += 1
            return
        self.waiting.append(content)
        self.size += len(content)
        self.flush()

    def flush(self) -> None:
        """Write what the reader takes now."""
        if self.dropped and self.size < self.limit // 2:
            notice = {"level": "warning", "event": "lines_dropped"}
            content = json.dumps({**notice, "count": self.dropped}).encode() + b"\n"
            self.waiting.append(content)
            self.size += len(content)
            self.dropped = 0
        while self.waiting:
            content = self.waiting[0]
            try:
                written = os.write(self.descriptor, content)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more.
                self.waiting.clear()
                self.size = 0
                return
            self.size -= written
            if written < len(content):
                self.waiting[0] = content[written:]
                return
            self.waiting.popleft()
