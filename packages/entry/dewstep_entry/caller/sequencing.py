"""Decides which requests of one caller's connection may run side by side.

A caller may send further requests before the first one is answered (pipelining, RFC
9112, section 9.3.2). Those without a body that may be repeated run at once, as long as
this holds for all requests in front of them too; any other request waits until it is
the first. Answers are written in the order of the requests.

An answer that closes the connection is the last one. So a connection is not closed in
front of a request that has been read: its caller would not know whether it has run.
"""

from typing import NamedTuple

MAX_REQUESTS_BEHIND = 8
"""Maximum number of requests of a connection that are read behind the first one."""


class Sequence(NamedTuple):
    """The requests of a connection that have been read and not been answered."""

    parallel: tuple[bool, ...] = ()
    """Whether each request, the first one in front, may run beside the others."""
    started: int = 0
    """Number of requests at the front that have been started."""


def can_read(sequence: Sequence) -> bool:
    """Whether to read another request."""
    return len(sequence.parallel) <= MAX_REQUESTS_BEHIND


def add(sequence: Sequence, parallel: bool) -> Sequence:
    """Add a request at the end."""
    return sequence._replace(parallel=(*sequence.parallel, parallel))


def count_startable(sequence: Sequence, room: int, closing: bool) -> int:
    """Return how many more requests to start.

    Parameters
    ----------
    sequence : Sequence
    room : int
        Number of requests behind others that the process may still start.
    closing : bool
        Whether the connection is to be closed as soon as possible. No request is then
        started behind others, as its answer might wait until the process ends.
    """
    if sequence.parallel and not sequence.started:
        first = start(sequence, 1)
        return 1 + count_startable(first, room, closing)
    if closing:
        return 0
    count = 0
    for position in range(sequence.started, len(sequence.parallel)):
        if count == room or not all(sequence.parallel[: position + 1]):
            break
        count += 1
    return count


def start(sequence: Sequence, count: int) -> Sequence:
    """Record that further requests have been started."""
    return sequence._replace(started=sequence.started + count)


def may_close(sequence: Sequence) -> bool:
    """Whether the answer to the first request may close the connection."""
    return len(sequence.parallel) <= 1


def remove_first(sequence: Sequence) -> Sequence:
    """Remove the first request, which has been answered."""
    return Sequence(sequence.parallel[1:], max(0, sequence.started - 1))
