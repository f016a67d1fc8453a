"""Checks of the head of an answer before it is parsed.

h11 looks at a head only once it is complete, and its expression for header values takes
time quadratic in the length of an invalid one.
"""

import re

import h11

MAXIMUM_HEAD_BYTES = 65_536
MAXIMUM_INFORMATIONAL_ANSWERS = 100
"""Limit of the informational (1xx) answers before an answer."""
UNCHECKED_HEAD_BYTES = 1_024
"""Size up to which a complete head is left to h11."""
STATUS_LINE_PATTERN = b"HTTP/0.0 000"
"""Start of a status line, in which 0 stands for any digit."""

_HEAD_END = re.compile(rb"\n\r?\n")
_STATUS_LINE_START = re.compile(rb"HTTP/\d\.\d \d{3}(?: |\r?\n|\r?\Z)")
_HEADER_LINE_START = re.compile(rb"[ \t]|[!#$%&'*+\-.^_`|~0-9A-Za-z]+:")
_INVALID_BYTES = re.compile(rb"[\x00\v\f]|\r(?!\n|\Z)")


def check_next_head(http: h11.Connection) -> None:
    """Check what a client's connection has received of the next head, if one is due.

    Raises
    ------
    h11.RemoteProtocolError
        As `check_head`, with the limit `MAXIMUM_HEAD_BYTES`.
    """
    if http.their_state is h11.SEND_RESPONSE:
        check_head(http.trailing_data[0], MAXIMUM_HEAD_BYTES)


def check_informational_answers(count: int) -> None:
    """Check the number of informational answers before an answer.

    Raises
    ------
    h11.RemoteProtocolError
        If it exceeds the limit.
    """
    if count > MAXIMUM_INFORMATIONAL_ANSWERS:
        raise h11.RemoteProtocolError(
            f"more than {MAXIMUM_INFORMATIONAL_ANSWERS} informational answers"
        )


def check_head(received: bytes, maximum_bytes: int) -> None:
    """Check the received part of a head, which further bytes may follow.

    Parameters
    ----------
    received : bytes
        All bytes received from the start of the head.
    maximum_bytes : int
        Maximum size of a head.

    Raises
    ------
    h11.RemoteProtocolError
        If no valid head starts with these bytes.
    """
    end = _HEAD_END.search(received)
    size = end.end() if end is not None else len(received)
    if size > maximum_bytes:
        raise h11.RemoteProtocolError(
            f"head of the answer exceeds {maximum_bytes} bytes"
        )
    if end is not None and size <= UNCHECKED_HEAD_BYTES:
        return
    if not is_status_line_start(received):
        raise h11.RemoteProtocolError("illegal status line")
    if _INVALID_BYTES.search(received, 0, size):
        raise h11.RemoteProtocolError("illegal byte in the head of the answer")
    if end is None:
        check_last_line(received)


def is_status_line_start(received: bytes) -> bool:
    """Whether a status line may start with the given bytes."""
    if len(received) > len(STATUS_LINE_PATTERN):
        return _STATUS_LINE_START.match(received) is not None
    return STATUS_LINE_PATTERN.startswith(re.sub(rb"\d", b"0", received))


def check_last_line(received: bytes) -> None:
    """Check the last complete line of an incomplete head, if it is a header line.

    Raises
    ------
    h11.RemoteProtocolError
        If it is not valid.
    """
    end = received.rfind(b"\n")
    start = received.rfind(b"\n", 0, max(end, 0)) + 1
    if start and not _HEADER_LINE_START.match(received, start):
        raise h11.RemoteProtocolError("illegal header line")
