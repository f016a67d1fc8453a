"""Where data centres and instances are, and how regions are written in a header."""

import urllib.parse
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from dewstep_fleet import model

REGIONS_HEADER = b"dewstep-relay-regions"
"""Allowed regions of a request, in requests between instances."""


class Places(NamedTuple):
    """What the settings say about regions."""

    own: str
    """Region of this instance; "" if it is not known."""
    by_data_centre: Mapping[str, str]
    """Region of each data centre whose region is known."""

    def find_region(self, data_centre: str) -> str:
        """Return the region of a data centre, or "" if it is not known."""
        return self.by_data_centre.get(data_centre, "")

    def find_member_region(self, member: model.Member) -> str:
        """Return the region that a member has told, or "".

        Members that tell none may be of an earlier build, which ignores the rule. One
        whose data centre is in another region by the own settings counts as unknown.
        """
        known = self.by_data_centre.get(member.data_centre, member.region)
        return member.region if known == member.region else ""


NO_PLACES = Places("", {})


def encode_regions(regions: Iterable[str]) -> bytes:
    """Return a header value that names regions; names may contain any character."""
    return ",".join(urllib.parse.quote(name, safe="") for name in regions).encode()


def decode_regions(value: bytes) -> tuple[str, ...]:
    """Return the regions in a header value."""
    names = value.decode("latin-1").split(",")
    return tuple(urllib.parse.unquote(name.strip()) for name in names)
