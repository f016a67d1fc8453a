"""Tests of the checks of grants in a fenced target."""

import math

import pytest

from dewstep_core import data
from dewstep_emulator import fencing


def build_fence():
    fence = fencing.Fence("b")
    assert fence.accept("b", 2, 10.0, now=5.0) == ""
    return fence


@pytest.mark.parametrize(
    ("boot", "term", "expires", "refusal"),
    [
        ("old", 3, 20.0, "boot"),
        ("b", 1, 20.0, "term"),
        ("b", 2, 5.0, "expired"),
        ("b", 3, 5.0, "expired"),
        ("b", 2, 20.0, ""),
    ],
)
def test_accept_refuses_stale_grants(boot, term, expires, refusal):
    fence = build_fence()
    assert fence.accept(boot, term, expires, now=5.0) == refusal
    # A refused grant must not change which runs are permitted.
    assert fence.check("b", 2, now=9.9) == ""


def test_check_compares_boot_term_and_expiry():
    fence = build_fence()
    assert fence.check("b", 2, 9.9) == ""
    assert fence.check("old", 2, 9.9) == "boot"
    assert fence.check("b", 3, 9.9) == "term"
    assert fence.check("b", 2, 10.0) == "expired"
    # An older grant that arrives late does not shorten a newer one.
    assert fence.accept("b", 2, 8.0, 5.0) == ""
    assert fence.check("b", 2, 9.9) == ""
    # A grant of a new term invalidates the old term at once.
    assert fence.accept("b", 3, 8.0, 5.0) == ""
    assert fence.check("b", 2, 5.0) == "term"
    assert fence.check("b", 3, 9.0) == "expired"
    assert fencing.Fence("b").check("b", 0, 1.0) == "term"


def test_parse_grant_accepts_only_the_documented_form():
    form = {"boot": "b", "term": 2, "expires": 1.5}
    assert fencing.parse_grant(form) == data.Grant("b", 2, 1.5)
    wrong = [{"term": 0}, {"term": True}, {"expires": "1"}, {"expires": math.inf}]
    for change in (*wrong, {"boot": None}):
        assert fencing.parse_grant({**form, **change}) is None
    assert fencing.parse_grant({}) is fencing.parse_grant(None) is None
