"""Tests of the token bucket."""

from dewstep_emulator import rates


def test_take_tokens_limits_the_rate_and_returns_the_wait():
    bucket = rates.TokenBucket(10, 5)
    assert [bucket.take_tokens(1, 0.0) for _ in range(6)] == [0, 0, 0, 0, 0, 0.1]
    assert bucket.take_tokens(2, 0.1) > 0
    assert bucket.take_tokens(2, 0.25) == 0
    # An amount above the capacity is granted from a full bucket and delays later ones.
    assert bucket.take_tokens(20, 100.0) == 0
    assert bucket.take_tokens(1, 101.0) > 0
    assert rates.TokenBucket(0, 0).take_tokens(100, 0.0) == 0
