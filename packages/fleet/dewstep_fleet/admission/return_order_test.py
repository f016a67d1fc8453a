"""Tests of the order of new and returning callers."""

import pytest

from dewstep_fleet.admission import return_order
from dewstep_fleet.admission.return_order import Kind


@pytest.mark.parametrize(
    ("elapsed_s", "is_relayed", "is_in_time", "kind"),
    [
        (0.0, False, True, Kind.NEW),
        (0.003, False, True, Kind.NEW),
        (0.01, False, True, Kind.EARLY),
        (0.01, True, True, Kind.NEW),
        (0.06, False, True, Kind.RETURNED),
        (0.06, False, False, Kind.LATE),
    ],
)
def test_callers_are_known_by_the_time_since_their_first_send(
    elapsed_s, is_relayed, is_in_time, kind
):
    # Guards against refusing new callers for noise of the estimates, or requests that
    # another instance has passed on.
    assert return_order.classify(elapsed_s, is_relayed, is_in_time) is kind


def test_callers_who_repeat_at_once_are_refused():
    # Guards against 30% of the callers who repeat at once, three times as often, and
    # take the room of those who wait as told.
    assert return_order.adjust_fraction(0.4, Kind.EARLY, 0.2) == 0


@pytest.mark.parametrize("burst", [1.6, 2.0, 2.5])
@pytest.mark.parametrize("share", [0.0, 0.2, 0.5])
def test_callers_who_return_as_told_go_first(burst, share):
    # Guards against refusing them again at 1.6 to 2.5 times the capacity, as before at
    # the rate of new callers, and against sending more requests in all.
    fraction = 1 / burst
    returned = return_order.adjust_fraction(fraction, Kind.RETURNED, share)
    new = return_order.adjust_fraction(fraction, Kind.NEW, share)
    assert returned > fraction
    assert share * returned + (1 - share) * new == pytest.approx(fraction)
    assert return_order.adjust_fraction(fraction, Kind.LATE, share) == fraction


def test_share_of_returned_callers_follows_and_is_forgotten():
    # Guards against keeping room for callers who no longer come, and for routes that
    # no longer exist.
    shares = return_order.ReturnShares()
    for number in range(40):
        shares.count("r", 1.0, Kind.RETURNED if number % 4 == 0 else Kind.NEW)
        shares.count("r", 1.0, Kind.EARLY)
    assert shares.get("r", 1.0) == pytest.approx(10 / 44)
    assert shares.get("r", 9.0) < 0.01
    shares.keep_routes(set())
    assert not shares.counts
