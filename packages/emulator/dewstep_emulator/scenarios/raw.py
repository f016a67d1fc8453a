"""Callers that do not keep to HTTP: written byte by byte."""

import asyncio
import contextlib
from collections.abc import Iterable

from dewstep_core import settings

READ_LIMIT = 65_536
ANSWER_SECONDS = 15.0


def build_head(
    method: str, path: str, request_id: str, length: int | None = None, extra: str = ""
) -> bytes:
    """Return the head of a request."""
    lines = [f"{method} {path} HTTP/1.1", "Host: dewstep"]
    lines.append(f"Idempotency-Key: {request_id}")
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + f"\r\n{extra}\r\n").encode()


async def converse(
    address: settings.Address,
    pieces: Iterable[bytes],
    pause: float = 0.0,
    wait: bool = True,
) -> int:
    """Send bytes in pieces; return the status of the answer, or 0 without one.

    Parameters
    ----------
    pause : float
        Seconds between the pieces.
    wait : bool
        Whether to wait for an answer instead of going away.
    """
    reader, writer = await asyncio.open_connection(*address)
    answer = b""
    try:
        with contextlib.suppress(OSError):
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                if pause:
                    await asyncio.sleep(pause)
        if wait:
            with contextlib.suppress(OSError):
                async with asyncio.timeout(ANSWER_SECONDS):
                    answer = await reader.read(READ_LIMIT)
    finally:
        writer.transport.abort()
    parts = answer.split(b" ", 2)
    return int(parts[1]) if len(parts) > 1 and parts[1].isdigit() else 0
