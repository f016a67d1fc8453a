from hypothesis import given, strategies

from dewstep_emulator.ownership import key_maps
from dewstep_fleet import model

KEYS = strategies.integers(0, 12) | strategies.integers(
    model.KEY_SPACE_SIZE - 12, model.KEY_SPACE_SIZE - 1
)


def read_values(values, keys):
    return [run.value for key in keys for run in values.list_runs(key, key)]


# Guards against values of keys beside a changed range.
@given(
    strategies.lists(
        strategies.tuples(KEYS, KEYS, strategies.integers(0, 2)), max_size=12
    )
)
def test_changes_affect_exactly_the_keys_of_their_range(changes):
    values = key_maps.KeyMap(0)
    keys = [*range(14), *range(model.KEY_SPACE_SIZE - 14, model.KEY_SPACE_SIZE)]
    expected = dict.fromkeys(keys, 0)
    for one, other, added in changes:
        first, last = sorted((one, other))
        values.change(first, last, lambda value, added=added: value + added)
        for key in keys:
            if first <= key <= last:
                expected[key] += added
        assert read_values(values, keys) == list(expected.values())
    runs = list(values.list_runs())
    assert runs[0].first == 0
    assert runs[-1].last == model.KEY_SPACE_SIZE - 1
    for run, following in zip(runs, runs[1:], strict=False):
        assert run.last + 1 == following.first
        # Equal runs are merged, so that their number stays small.
        assert run.value != following.value


def test_runs_are_cut_at_the_ends_of_the_range():
    values = key_maps.KeyMap("a")
    values.change(10, 19, lambda value: "b")
    assert list(values.list_runs(5, 12)) == [(5, 9, "a"), (10, 12, "b")]
    assert list(values.list_runs(15, 15)) == [(15, 15, "b")]
