"""Input that a broken connection still holds, and how its peer has ended it.

The kernel keeps what has arrived when a connection is reset, but a failed write closes
the transport before it is read. A refusal among that input says that a request has not
run.
"""

import asyncio
import os
import select

import h11

READ_BYTES = 32_768
MAXIMUM_BYTES = 131_072
"""More than the largest head of an answer; the rest is not read."""


def build_poller(descriptor: int) -> select.poll:
    """Return a poller that reports input, the end of the input and resets."""
    poller = select.poll()
    poller.register(descriptor, select.POLLIN | select.POLLRDHUP)
    return poller


def read_next(poller: select.poll) -> bytes:
    """Return the next input of a connection without waiting; b"" if there is none."""
    for descriptor, events in poller.poll(0):
        if events & select.POLLIN and not events & select.POLLNVAL:
            try:
                return os.read(descriptor, READ_BYTES)
            except OSError:
                # The error of a reset is reported after the last input.
                return b""
    return b""


def was_reset(poller: select.poll) -> bool:
    """Whether the peer has reset a connection, not only ended its side of it."""
    reset = select.POLLERR | select.POLLHUP
    return any(events & reset for _, events in poller.poll(0))


def has_ended(poller: select.poll) -> bool:
    """Whether the peer has ended or reset a connection."""
    end = select.POLLERR | select.POLLHUP | select.POLLRDHUP
    return any(events & end for _, events in poller.poll(0))


def ends_early(
    http: h11.Connection, transport: asyncio.Transport, poller: select.poll
) -> bool:
    """Whether a connection that marks the end of an answer may end it too early.

    A target that ends it while the request's body is being sent, or resets it, may not
    have sent the whole answer.
    """
    sending = http.our_state is h11.SEND_BODY
    unsent = transport.get_write_buffer_size() > 0
    return sending or unsent or was_reset(poller)
