from dewstep_emulator import rates


def test_take_limits_the_mean_rate_and_says_when_to_retry():
    bucket = rates.TokenBucket(10, 5)
    assert [bucket.take_tokens(1, 0.0) for _ in range(6)] == [0, 0, 0, 0, 0, 0.1]
    assert bucket.take_tokens(2, 0.1) > 0
    assert bucket.take_tokens(2, 0.25) == 0
    # Work above the burst passes once the bucket is full, and is paid off later.
    assert bucket.take_tokens(20, 100.0) == 0
    assert bucket.take_tokens(1, 101.0) > 0
    assert rates.TokenBucket(0, 0).take_tokens(100, 0.0) == 0
