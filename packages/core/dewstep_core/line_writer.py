"""Writing of lines to a file descriptor without blocking.

If the reader of a pipe stops reading, requests must not be delayed: lines that cannot
be written are buffered up to a limit and dropped beyond it. The number of dropped lines
is written once the buffer has space again.
"""

import collections
import json
import os

MAXIMUM_BUFFERED_BYTES = 256 * 1024
"""Default size of the buffer for lines that cannot be written yet."""


class LineWriter:
    """Writes lines to a file descriptor, buffering what cannot be written yet.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; it is set to non-blocking mode.
    limit : int, optional
        Maximum number of buffered bytes.
    """

    def __init__(self, descriptor: int, limit: int = MAXIMUM_BUFFERED_BYTES):
        self.descriptor = descriptor
        self.limit = limit
        self.waiting: collections.deque[bytes] = collections.deque()
        self.waiting_bytes = 0
        self.dropped_lines = 0
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Write or buffer a line, or drop it if the buffer is full."""
        content = line.encode("utf-8", "replace") + b"\n"
        if self.waiting_bytes + len(content) > self.limit:
            self.dropped_lines += 1
            return
        self.waiting.append(content)
        self.waiting_bytes += len(content)
        self.flush()

    def flush(self) -> None:
        """Write as many buffered lines as possible without blocking."""
        if self.dropped_lines and self.waiting_bytes < self.limit // 2:
            notice = {"level": "warning", "event": "lines_dropped"}
            content = (
                json.dumps({**notice, "count": self.dropped_lines}).encode() + b"\n"
            )
            self.waiting.append(content)
            self.waiting_bytes += len(content)
            self.dropped_lines = 0
        while self.waiting:
            content = self.waiting[0]
            try:
                written = os.write(self.descriptor, content)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe.
                self.waiting.clear()
                self.waiting_bytes = 0
                return
            self.waiting_bytes -= written
            if written < len(content):
                self.waiting[0] = content[written:]
                return
            self.waiting.popleft()
