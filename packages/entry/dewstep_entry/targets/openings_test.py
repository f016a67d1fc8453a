from dewstep_entry.targets import openings


def test_one_attempt_at_a_time_after_a_failure():
    # All waiting requests would otherwise connect at once to a target that restarts.
    state = openings.start(openings.Openings(limit=50), 1)
    state = openings.finish(state, success=False)
    assert openings.count_new(state, 30) == 1
    state = openings.finish(openings.start(state, 1), success=True)
    assert openings.count_new(state, 30) == 2
    assert openings.lose(state, failed=True).parallel == 1
    assert openings.lose(state, failed=False).parallel == 2


def test_never_more_than_the_limit():
    state = openings.start(openings.Openings(limit=3), 2)
    assert openings.count_new(state, 30) == 1
    assert openings.count_new(openings.start(state, 1), 30) == 0
