from dewstep_entry.targets import openings


def test_one_connection_attempt_at_a_time_after_a_failure():
    # Guards against all waiting requests connecting at once to a restarting target.
    state = openings.record_attempt_start(openings.OpeningState(limit=50), 1)
    state = openings.record_attempt_end(state, success=False)
    assert openings.count_new_connections(state, 30) == 1
    state = openings.record_attempt_end(
        openings.record_attempt_start(state, 1), success=True
    )
    assert openings.count_new_connections(state, 30) == 2
    assert openings.record_connection_loss(state, failed=True).parallel_limit == 1
    assert openings.record_connection_loss(state, failed=False).parallel_limit == 2


def test_connections_stay_within_the_limit():
    state = openings.record_attempt_start(openings.OpeningState(limit=3), 2)
    assert openings.count_new_connections(state, 30) == 1
    assert (
        openings.count_new_connections(openings.record_attempt_start(state, 1), 30) == 0
    )
