"""Rules for forwarding headers (RFC 9110, section 7.6.1)."""

import urllib.parse
from collections.abc import Iterable

from dewstep_core import data

FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
HOP_BY_HOP_HEADERS = FRAMING_HEADERS | {
    b"connection",
    b"expect",
    b"keep-alive",
    b"proxy-authenticate",
    b"proxy-authorization",
    b"proxy-connection",
    b"te",
    b"trailer",
    b"upgrade",
}
# Needed by every recipient, so that a caller must not list it in `Connection`.
END_TO_END_HEADERS = frozenset({b"host"})
# Removed from callers' requests, because targets trust all headers with this prefix,
# including those that a later version adds: a caller could otherwise pose as a gate.
PROTOCOL_PREFIX = b"dewstep-"
# Removed from targets' answers, which must not look like answers by dewstep.
DROPPED_FROM_ANSWERS = HOP_BY_HOP_HEADERS | {
    b"dewstep-failure",
    b"dewstep-outcome",
    b"dewstep-retry-after-ms",
}
# Visible ASCII without "%", which marks an encoded byte.
UNENCODED_CHARACTERS = "!#$&'()*+,/:;=?@[]\"\\<>^`{|}"


def drop_headers(
    headers: Iterable[tuple[bytes, bytes]],
    dropped: frozenset[bytes],
    prefixes: tuple[bytes, ...] = (),
) -> data.Headers:
    """Return the headers without `dropped` and without those listed in `Connection`.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)
        Names in lower case, as h11 gives them.
    dropped : frozenset of bytes
        Names in lower case.
    prefixes : tuple of bytes
        Names that start with one of these are dropped as well.
    """
    headers = tuple(headers)
    for name, value in headers:
        if name == b"connection" and value.lower() not in (b"close", b"keep-alive"):
            listed = {option.strip() for option in value.lower().split(b",")}
            dropped |= listed - END_TO_END_HEADERS
    return tuple(
        header
        for header in headers
        if header[0] not in dropped and not header[0].startswith(prefixes)
    )


def find_header(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Return the first value of the header `name` (lower case), or None."""
    for header in headers:
        if header[0] == name:
            return header[1]
    return None


def encode_value(text: str) -> bytes:
    """Return `text` as a header value, percent-encoded except for visible ASCII."""
    if text.isascii() and text.isprintable() and " " not in text and "%" not in text:
        return text.encode("ascii")
    return urllib.parse.quote(text, safe=UNENCODED_CHARACTERS).encode("ascii")
