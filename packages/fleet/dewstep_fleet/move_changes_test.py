"""Tests of the changes of moves."""

from hypothesis import given, strategies

from dewstep_fleet import frames, move_changes

spans = strategies.frozensets(
    strategies.builds(
        frames.Span,
        strategies.sampled_from(["a", "b"]),
        strategies.integers(0, 9),
        strategies.integers(10, 19),
    ),
    max_size=8,
)


@given(strategies.lists(spans, min_size=1, max_size=6))
def test_changes_lead_to_the_same_moves(states):
    # Guards against a range that counts as being moved for ever, or not at all.
    announced = frozenset()
    known = {}
    for state in states:
        moving = move_changes.group_spans(state)
        changes = move_changes.compare(announced, moving)
        known = move_changes.apply(move_changes.apply(known, changes), changes)
        announced = state
        assert set(move_changes.list_spans(known)) == state


def test_unchanged_moves_take_no_bytes():
    # Guards against a coordinator that fills its link with moves that all know.
    moving = {"a": tuple((number, number) for number in range(300))}
    spans = move_changes.list_spans(moving)
    changes = move_changes.compare(spans, moving)
    assert changes == move_changes.MoveChanges()
    frame = frames.Frame("beat", 1, "n", "i", moves_kept=True)
    assert frames.decode(frames.encode(frame)) == frame
    assert (
        len(frames.encode(frame))
        < 100
        < len(frames.encode(frame._replace(moves_kept=False, moving=spans))) / 20
    )
