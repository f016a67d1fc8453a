"""Body framing of a caller's request, and the iterator over a large body."""

from collections.abc import Callable
from typing import Any

from dewstep_core import data, errors
from dewstep_entry import bodies, header_rules


class RequestRefused(Exception):
    """A request was refused before it reached a handler.

    Parameters
    ----------
    failure : tuple
        One of the tuples in `dewstep_core.errors`.
    """

    def __init__(self, failure: Any):
        super().__init__(repr(failure))
        self.failure = failure


class RequestBody:
    """The rest of a large body, read and parsed on demand.

    Parameters
    ----------
    connection : CallerConnection
        Provides `read_chunk`.
    find_limit : callable
        Returns the maximum size of the whole body in bytes.
    received : int
        Bytes of the body that were already read.
    """

    def __init__(self, connection, find_limit: Callable[[], int], received: int):
        self.connection = connection
        self.find_limit = find_limit
        self.received = received

    def __aiter__(self):
        return self

    async def __anext__(self) -> bytes:
        try:
            chunk = await self.connection.read_chunk()
        except RequestRefused as refusal:
            raise bodies.BodyFailure(refusal.failure) from None
        if chunk is None:
            raise StopAsyncIteration
        self.received += len(chunk)
        if self.received > (limit := self.find_limit()):
            raise bodies.BodyFailure(errors.BodyTooLarge(limit))
        return chunk


def get_body_length(headers: data.Headers) -> int | None:
    """Return the announced length of a request's body, or None if it is chunked.

    Raises
    ------
    RequestRefused
        If both framings are present. Two parsers could then disagree about where the
        next request starts (RFC 9112, section 6.1).
    """
    length = header_rules.find_header(headers, b"content-length")
    coding = header_rules.find_header(headers, b"transfer-encoding")
    if coding is None:
        return 0 if length is None else int(length)
    if length is not None:
        detail = "request has both Content-Length and Transfer-Encoding"
        raise RequestRefused(errors.MalformedRequest(detail))
    return None
