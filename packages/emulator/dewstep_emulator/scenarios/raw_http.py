"""Raw TCP requests for callers that violate HTTP or send slowly."""

import asyncio
import contextlib
from collections.abc import Iterable

from dewstep_core import settings

MAX_ANSWER_BYTES = 65_536
ANSWER_TIMEOUT_SECONDS = 15.0


def build_head(
    method: str, path: str, request_id: str, length: int | None = None, extra: str = ""
) -> bytes:
    """Return the request line and headers, with `extra` as further header lines."""
    lines = [f"{method} {path} HTTP/1.1", "Host: dewstep"]
    lines.append(f"Idempotency-Key: {request_id}")
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + f"\r\n{extra}\r\n").encode()


async def exchange_bytes(
    address: settings.Address,
    pieces: Iterable[bytes],
    pause: float = 0.0,
    wait_for_answer: bool = True,
) -> int:
    """Send bytes in pieces; return the status code, or 0 if there was no answer.

    Parameters
    ----------
    pause : float
        Seconds to wait after each piece.
    wait_for_answer : bool
        Whether to wait for the answer; otherwise the connection is aborted.
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
        if wait_for_answer:
            with contextlib.suppress(OSError):
                async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                    answer = await reader.read(MAX_ANSWER_BYTES)
    finally:
        writer.transport.abort()
    parts = answer.split(b" ", 2)
    return int(parts[1]) if len(parts) > 1 and parts[1].isdigit() else 0
