"""Checks of decoded values that other programs have written.

JSON has integers of any size, text that cannot be encoded as UTF-8, and numbers that
are not finite. Such values are refused where a row is decoded, because arithmetic, the
encoding of messages and the opening of connections raise exceptions for them.
"""

import datetime
import ipaddress
import math
import re
from typing import Any

MAX_UINT32 = 2**32 - 1
MAX_INT64 = 2**63 - 1
MAX_UINT64 = 2**64 - 1
MAX_TEXT_BYTES = 4_096
"""Maximum length of a text in UTF-8, many times that of a name or a path prefix."""
MAX_DURATION = datetime.timedelta(days=36_500)
"""Longer than any time-out; sums of such durations do not overflow."""
MAX_HOST_CHARACTERS = 253
IP_CHARACTERS = re.compile(r"[0-9A-Za-z:.%_-]+", re.ASCII)
"""The zone of an IPv6 address may otherwise contain any character."""
HOST_NAME = re.compile(r"[A-Za-z0-9_-]{1,63}(?:\.[A-Za-z0-9_-]{1,63})*\.?", re.ASCII)
"""Longer or empty labels cannot be encoded for a look-up."""
PORT = re.compile(r"0*([1-9][0-9]{0,4})", re.ASCII)


def is_integer(value: Any, minimum: int, maximum: int) -> bool:
    """Whether a value is an integer within bounds (inclusive)."""
    if isinstance(value, bool) or not isinstance(value, int):
        return False
    return minimum <= value <= maximum


def is_finite(value: Any) -> bool:
    """Whether a value is a number that has a finite floating-point value."""
    if isinstance(value, int):
        return is_integer(value, -MAX_INT64, MAX_INT64)
    return isinstance(value, float) and math.isfinite(value)


def is_text(value: Any) -> bool:
    """Whether a value is text of limited length that can be encoded as UTF-8."""
    if not isinstance(value, str) or len(value) > MAX_TEXT_BYTES:
        return False
    try:
        return len(value.encode()) <= MAX_TEXT_BYTES
    except UnicodeEncodeError:
        # JSON can express halves of surrogate pairs.
        return False


def is_ip_address(value: Any) -> bool:
    """Whether a value is an IP address as text."""
    if not isinstance(value, str) or not IP_CHARACTERS.fullmatch(value):
        return False
    try:
        ipaddress.ip_address(value)
    except ValueError:
        return False
    return True


def is_host(value: Any) -> bool:
    """Whether a value is an IP address or a host name.

    An attempt to connect to it fails with no other exception than an `OSError`.
    """
    if not isinstance(value, str) or len(value) > MAX_HOST_CHARACTERS:
        return False
    return is_ip_address(value) or HOST_NAME.fullmatch(value) is not None


def is_port(value: Any) -> bool:
    """Whether a value is the number of a port."""
    return is_integer(value, 1, 65_535)


def parse_port(text: str) -> int | None:
    """Return the port in `text`, or None if there is none."""
    # `str.isdigit` and `int` accept other digits than ASCII ones.
    match = PORT.fullmatch(text)
    return int(match[1]) if match is not None and is_port(int(match[1])) else None
