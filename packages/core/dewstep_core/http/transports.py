"""Writing to a transport that may have closed already.

uvloop closes a transport after a failed write and calls `connection_lost` one turn of
the event loop later. Until then `write` raises RuntimeError, where asyncio's own
transports ignore the bytes. An entry process ended because a heartbeat met that turn.
"""

import asyncio


def write(transport: asyncio.WriteTransport, content: bytes) -> bool:
    """Write `content` unless the transport is closing; return whether it was taken."""
    if transport.is_closing():
        return False
    transport.write(content)
    return True
