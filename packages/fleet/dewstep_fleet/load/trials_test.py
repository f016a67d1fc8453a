"""Tests of the number of trial requests."""

from dewstep_fleet.load import trials


def take_until(counts, began, ended, step=0.1):
    """Return the times at which trials were allowed, with one wish a step."""
    steps = round((ended - began) / step)
    times = [began + number * step for number in range(steps)]
    return [round(at, 1) for at in times if counts.take("r", at)]


# Guards against trials in proportion to the requests of a service that is too slow.
def test_trials_without_an_answer_become_rare():
    taken = take_until(trials.Trials(), 0.0, 36.0)
    assert taken[: trials.TRIALS_WITHOUT_ANSWER] == [0.0, 0.1, 0.2, 0.3, 0.4]
    later = taken[trials.TRIALS_WITHOUT_ANSWER - 1 :]
    pauses = [after - before for before, after in zip(later, later[1:], strict=False)]
    assert [round(pause) for pause in pauses] == [1, 2, 4, 8, 8, 8]


# Guards against a subject that stays refused after its targets have recovered.
def test_answer_allows_further_trials():
    counts = trials.Trials()
    take_until(counts, 0.0, 20.0)
    counts.forget("r")
    assert len(take_until(counts, 20.0, 21.0)) == trials.TRIALS_WITHOUT_ANSWER


# Guards against a route that is refused because of another one.
def test_subjects_are_counted_apart():
    counts = trials.Trials()
    take_until(counts, 0.0, 1.0)
    assert counts.take("other", 0.5)


# Guards against memory for routes that are gone.
def test_forgotten_subject_has_no_state():
    counts = trials.Trials()
    counts.take("r", 0.0)
    counts.forget("r")
    assert not counts.states
