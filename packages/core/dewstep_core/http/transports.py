"""Writing to a transport that may have closed already.

uvloop closes a transport after a failed write and calls `connection_lost` later. Until
then `write` raises RuntimeError, where asyncio's own transports ignore the bytes. An
entry process ended because a heartbeat met that time. `is_closing` alone does not tell:
six scenarios at a time on a busy machine showed closed transports that denied it.
"""

import asyncio
import socket
import struct

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""SO_LINGER with no time."""


def write(transport: asyncio.WriteTransport, content: bytes) -> bool:
    """Write `content` unless the transport has closed; return whether it was taken."""
    if transport.is_closing():
        return False
    try:
        transport.write(content)
    except RuntimeError:
        return False
    return True


def reset(transport: asyncio.Transport) -> None:
    """Close a connection with a reset, so that the peer gets nothing more of it.

    After a normal close, the kernel goes on sending what was written. A call that was
    given up then still takes effect when a cut heals, and an answer that ends with its
    connection looks complete.
    """
    connection = transport.get_extra_info("socket")
    if connection is not None and not transport.is_closing():
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    transport.abort()
