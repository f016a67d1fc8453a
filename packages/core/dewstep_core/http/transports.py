"""Writing to a transport that may already be closed.

uvloop closes a transport after a failed write and calls `connection_lost` later. In
between, `write` raises RuntimeError, whereas asyncio's own transports ignore the bytes;
uncaught, the error ends the process. Checking `is_closing` is not sufficient, because
it can be false for a closed transport on a busy machine.
"""

import asyncio
import socket
import struct

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with a time-out of 0, for which `close` sends a reset."""


def write(transport: asyncio.WriteTransport, content: bytes) -> bool:
    """Write `content`; return False if the transport is closed."""
    if transport.is_closing():
        return False
    try:
        transport.write(content)
    except RuntimeError:
        return False
    return True


def reset(transport: asyncio.Transport) -> None:
    """Close a connection with a reset, so that no more bytes reach the peer.

    After a normal close, the kernel continues to send buffered bytes. An abandoned call
    could then take effect once a network partition ends, and a truncated answer whose
    end is marked by the end of the connection would appear complete.
    """
    connection = transport.get_extra_info("socket")
    if connection is not None and not transport.is_closing():
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    transport.abort()
