"""Tests of taking over ranges, without a coordinator; see also `granting_test`."""

import pytest

from dewstep_fleet import adoption, ranges

ERA = 4_000


def build_ownership(generation):
    """Return an ownership whose newest number is `generation`."""
    return ranges.build_unwritten("history")._replace(generation=generation)


# Guards against a second owner after the store was restored without the last moves, and
# against a needless wait of a coordinator that knows all owners.
@pytest.mark.parametrize(
    ("ownership", "known_floor", "expected"),
    [
        (None, None, True),
        (None, ERA, False),
        (build_ownership(ERA - 1), None, True),
        (build_ownership(ERA - 1), ERA - 1, True),
        (build_ownership(ERA - 1), ERA, False),
        (build_ownership(ERA), None, False),
    ],
)
def test_owners_may_be_lost_in_a_new_era(ownership, known_floor, expected):
    lost = adoption.may_have_lost_owners(ownership, ERA, known_floor)
    assert lost == expected


# Guards against a slow first start in a store that has never been restored.
def test_no_owners_are_lost_in_the_first_era():
    assert not adoption.may_have_lost_owners(None, 0, None)
