"""Writing to a transport that may have closed already.

uvloop closes a transport after a failed write and calls `connection_lost` later. Until
then `write` raises RuntimeError, where asyncio's own transports ignore the bytes. An
entry process ended because a heartbeat met that time. `is_closing` alone does not tell:
six scenarios at a time on a busy machine showed closed transports that denied it.
"""

import asyncio


def write(transport: asyncio.WriteTransport, content: bytes) -> bool:
    """Write `content` unless the transport has closed; return whether it was taken."""
    if transport.is_closing():
        return False
    try:
        transport.write(content)
    except RuntimeError:
        return False
    return True
