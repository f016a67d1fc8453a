"""Differences between two versions of a row, which are sent instead of the whole row.

The row with the owners of a service grows with its targets and changes with each move.
Sent whole to each of 200 instances, a change of 400 ranges takes 1.3 MB.

A difference is compressed with the earlier version as the dictionary, piece by piece,
since a dictionary is limited to 32 KiB. Owners are compressed in the store; differences
are between decompressed values, and the receiver keeps the new one decompressed. It
checks that it has obtained exactly the new content.
"""

import zlib
from typing import NamedTuple

from dewstep_fleet import model, ranges

MIN_VALUE_BYTES = 512
"""Size of a value below which it is sent whole."""
PIECE_BYTES = 16 * 1024
DICTIONARY_MARGIN_BYTES = 8 * 1024
"""Part of the earlier version before and after a piece that its dictionary covers."""


class RowChange(NamedTuple):
    """The difference between two versions of a row."""

    table: str
    key: str
    base: int
    """Version of the row that the difference applies to."""
    version: int
    """Version of the row that it results in."""
    pieces: tuple[bytes, ...]
    checksum: int
    """CRC-32 of the new content."""


def build_change(base: model.StoredRow, row: model.StoredRow) -> RowChange | None:
    """Return the difference between two versions of a row.

    Returns None if the row is removed, small, or no smaller as a difference.
    """
    if base.value is None or row.value is None or len(row.value) < MIN_VALUE_BYTES:
        return None
    earlier = ranges.unpack(base.value)
    content = ranges.unpack(row.value)
    pieces = []
    for start in range(0, len(content), PIECE_BYTES):
        compressor = zlib.compressobj(zdict=get_dictionary(earlier, start))
        piece = compressor.compress(content[start : start + PIECE_BYTES])
        pieces.append(piece + compressor.flush())
    if sum(map(len, pieces)) >= len(row.value):
        return None
    checksum = zlib.crc32(content)
    return RowChange(
        row.table, row.key, base.version, row.version, tuple(pieces), checksum
    )


def apply_change(
    known: model.StoredRow | None, change: RowChange
) -> model.StoredRow | None:
    """Return the new version of a row, or None if it cannot be obtained.

    Parameters
    ----------
    known : model.StoredRow or None
        The known version.
    change : RowChange
    """
    if known is None or known.value is None or known.version != change.base:
        return None
    earlier = ranges.unpack(known.value)
    pieces = []
    try:
        for number, piece in enumerate(change.pieces):
            dictionary = get_dictionary(earlier, number * PIECE_BYTES)
            decompressor = zlib.decompressobj(zdict=dictionary)
            pieces.append(decompressor.decompress(piece, PIECE_BYTES))
    except zlib.error:
        return None
    content = b"".join(pieces)
    if zlib.crc32(content) != change.checksum:
        return None
    return model.StoredRow(change.table, change.key, change.version, content)


def get_dictionary(earlier: bytes, start: int) -> bytes:
    """Return the part of the earlier content around a piece, never empty."""
    end = start + PIECE_BYTES + DICTIONARY_MARGIN_BYTES
    return earlier[max(0, start - DICTIONARY_MARGIN_BYTES) : end] or b"0"
