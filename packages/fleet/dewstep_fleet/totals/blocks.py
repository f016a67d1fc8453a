"""Encoding of the totals in compact heartbeats. Integers are little-endian."""

import itertools
import math
import struct
import zlib
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from dewstep_fleet import frames

MAX_TARGETS = 4096
"""Targets that one link can number. A message with more has the earlier form."""
ESCAPE = 255
"""Marks a value that is among the 16-bit values after the bytes."""
SPEED_STEP = 1.02
"""Ratio of neighbouring values of slowness, which is rounded by at most 1%."""
SPEED_ONE = 104
"""Code of slowness 1. The codes reach from 0.13 to 19.5, which lets 1 be exact; other
values are escaped and have the earlier form, in percent."""
SPEEDS = tuple(SPEED_STEP ** (code - SPEED_ONE) for code in range(ESCAPE + 1))
COMPRESSION_LEVEL = 1
"""Level 9 gives the same size for 177 targets."""
LOG_STEP = math.log(SPEED_STEP)
MAX_VALUE_BYTES = MAX_TARGETS * 9
"""Bytes of uncompressed totals: for each target, one for its requests and one for its
slowness, two for either's escaped value, and three for the admitted fraction."""
ADMITTED = struct.Struct("<HB")
HEAD = struct.Struct("<IHHH")
"""Checksum, number of known targets, number of new ones, number of all."""


class TotalsBlock(NamedTuple):
    """The totals of a heartbeat, without the targets that the receiver has."""

    checksum: int
    """CRC-32 of the hashes of all targets, with the new ones."""
    known: int
    """Number of targets that the receiver must have; 0 replaces all."""
    added: tuple[int, ...]
    """Hashes of the names of further targets."""
    running: tuple[int, ...]
    """Requests of each target, saturated at 65,535."""
    slowness: tuple[float, ...]
    """Slowness of each target with requests."""
    admitted: dict[int, float]
    """Fractions below 1, by the number of the target."""


def pack_hashes(hashes: Iterable[int]) -> bytes:
    """Return the hashes of target names as bytes."""
    return b"".join(item.to_bytes(4, "little") for item in hashes)


def encode_values(numbers: Mapping[int, int], totals: Iterable[frames.Total]) -> bytes:
    """Return the compressed values of all numbered targets.

    Parameters
    ----------
    numbers : mapping of int to int
        Number of each target by the hash of its name.
    totals : iterable of frames.Total
        Their targets must be numbered; those without requests are left out. Requests
        from 255 on are escaped, and saturate at 65,535.
    """
    running = bytearray(len(numbers))
    speeds = bytearray(len(numbers))
    escaped: dict[int, frames.Total] = {}
    log, step = math.log, LOG_STEP
    # Of two targets with the same hash the last one counts, as in the earlier form.
    for total in totals:
        target, count, slowness, fraction = total
        if not count:
            continue
        number = numbers[target]
        code = round(log(slowness) / step) + SPEED_ONE if slowness > 0 else ESCAPE
        if count >= ESCAPE or not 0 <= code < ESCAPE or fraction < 1:
            escaped[number] = total
            count, code = min(count, ESCAPE), code if 0 <= code < ESCAPE else ESCAPE
        elif escaped:
            escaped.pop(number, None)
        running[number] = count
        speeds[number] = code
    latest = sorted(escaped.items())
    parts = [
        bytes(running),
        *(
            min(total.running, frames.MAX_UINT16).to_bytes(2, "little")
            for number, total in latest
            if running[number] == ESCAPE
        ),
        bytes(itertools.compress(speeds, running)),
        *(
            min(round(total.slowness * 100), frames.MAX_UINT16).to_bytes(2, "little")
            for number, total in latest
            if speeds[number] == ESCAPE
        ),
        *(
            ADMITTED.pack(number, percent)
            for number, total in latest
            if (percent := round(total.admitted * 100)) < 100
        ),
    ]
    compressor = zlib.compressobj(COMPRESSION_LEVEL, zlib.DEFLATED, -zlib.MAX_WBITS)
    return compressor.compress(b"".join(parts)) + compressor.flush()


def encode_totals(
    checksum: int, known: int, added: tuple[int, ...], values: bytes
) -> bytes:
    """Return a block of totals whose values were encoded before."""
    head = HEAD.pack(checksum, known, len(added), known + len(added))
    return head + pack_hashes(added) + values


class Reader:
    """Reads parts of a message in turn.

    Raises `ValueError` where the content ends too early.
    """

    def __init__(self, content: bytes):
        self.content = content
        self.at = 0

    def take(self, size: int) -> bytes:
        """Return the next bytes."""
        part = self.content[self.at : self.at + size]
        if len(part) < size:
            raise ValueError("message ends too early")
        self.at += size
        return part

    def take_integers(self, count: int, size: int) -> tuple[int, ...]:
        """Return the next integers of the same size in bytes."""
        part = self.take(count * size)
        return tuple(
            int.from_bytes(part[at : at + size], "little")
            for at in range(0, len(part), size)
        )


def decompress(content: bytes) -> bytes:
    """Return the decompressed values of totals."""
    decompressor = zlib.decompressobj(-zlib.MAX_WBITS)
    try:
        values = decompressor.decompress(content, MAX_VALUE_BYTES)
    except zlib.error as error:
        raise ValueError("values are not compressed") from error
    if not decompressor.eof or decompressor.unused_data:
        raise ValueError("values have another size")
    return values


def replace_escapes(
    codes: bytes, values: Iterable[float], escapes: Iterable[float]
) -> tuple:
    """Return values with those that are escaped in place of their codes."""
    if ESCAPE not in codes:
        return tuple(values)
    rest = iter(escapes)
    return tuple(
        next(rest) if code == ESCAPE else value
        for code, value in zip(codes, values, strict=True)
    )


def decode_totals(content: bytes) -> TotalsBlock:
    """Return the totals that a block contains.

    Raises
    ------
    ValueError
        If `content` is not a valid block.
    """
    reader = Reader(content)
    checksum, known, added_count, count = HEAD.unpack(reader.take(HEAD.size))
    if count != known + added_count or count > MAX_TARGETS:
        raise ValueError("counts of targets do not agree")
    added = reader.take_integers(added_count, 4)
    values = Reader(decompress(content[reader.at :]))
    codes = values.take(count)
    escapes = values.take_integers(codes.count(ESCAPE), 2)
    running = replace_escapes(codes, codes, escapes)
    codes = values.take(count - codes.count(0))
    percents = values.take_integers(codes.count(ESCAPE), 2)
    slowness = replace_escapes(
        codes, [SPEEDS[code] for code in codes], [item / 100 for item in percents]
    )
    admitted = {}
    while values.at < len(values.content):
        number, percent = ADMITTED.unpack(values.take(ADMITTED.size))
        if number >= count or percent >= 100:
            raise ValueError("admitted fraction is out of range")
        admitted[number] = percent / 100
    return TotalsBlock(checksum, known, added, running, slowness, admitted)
