"""Decodes the successive versions of a row with the owners of a service's keys.

All instances read each version, and a move changes few of hundreds of ranges. The row
lists each range as a text of its own (`ranges.encode`), so only texts that the version
before lacked are decoded. A row in another form is decoded as a whole.
"""

import re

from returns import result

from dewstep_core import errors
from dewstep_fleet import model, ranges

SEPARATOR = b"],["
"""Bytes between two ranges."""
MAX_KNOWN_RATIO = 2
"""Number of texts that are kept for each range of the last version."""
ROW_PATTERN = re.compile(
    rb'\{"schema":%d,"generation":(0|[1-9]\d{0,19}),"holdings":\[\[(.*)\]\]\}'
    % ranges.SCHEMA_VERSION
)
RANGE_PATTERN = re.compile(
    rb'(0|[1-9]\d{0,19}),(0|[1-9]\d{0,19}),"([ !#-\[\]-~]*)",(-?(?:0|[1-9]\d{0,19})),'
    rb"(0|[1-9]\d{0,19})"
)
"""A range whose owner's name needs no escape sequence."""


class OwnerRow:
    """The row of one service.

    Parameters
    ----------
    service : str
    """

    def __init__(self, service: str):
        self.service = service
        self.known: dict[bytes, model.Holding] = {}
        """Ranges of the last versions by their text."""

    def decode(
        self, version: int, value: bytes
    ) -> result.Result[ranges.Ownership, errors.RowInvalid]:
        """Decode a version of the row; returns as `ranges.decode`."""
        found = ROW_PATTERN.fullmatch(ranges.unpack(value))
        holdings = self._decode_texts(found[2].split(SEPARATOR)) if found else None
        if holdings is None:
            return ranges.decode(self.service, version, value)
        return ranges.check(
            ranges.Ownership(self.service, version, int(found[1]), holdings)
        )

    def _decode_texts(self, texts: list[bytes]) -> tuple[model.Holding, ...] | None:
        """Return the range of each text, or None if a text has another form."""
        holdings = list(map(self.known.get, texts))
        for position, holding in enumerate(holdings):
            if holding is None:
                holding = decode_text(texts[position])
                if holding is None:
                    return None
                holdings[position] = holding
                self.known[texts[position]] = holding
        if len(self.known) > MAX_KNOWN_RATIO * len(texts):
            self.known = dict(zip(texts, holdings, strict=True))
        return tuple(holdings)


def decode_text(text: bytes) -> model.Holding | None:
    """Return the range that a text describes, or None if it has another form."""
    found = RANGE_PATTERN.fullmatch(text)
    if found is None:
        return None
    first, last, target, life, generation = found.groups()
    holding = model.Holding(
        int(first), int(last), target.decode(), int(life), int(generation)
    )
    return holding if ranges.is_valid_holding(holding) else None
