import datetime

from dewstep_core import data, record_changes

SECOND = datetime.timedelta(seconds=1)
KIND = data.RequestKind("due", "GET", "/{key}", True, 1.0, SECOND, 0, "none")
SERVICE = data.Service(
    "history", 1, data.KeyPart("path", "key"), 64, 16, 4 * SECOND, (KIND,)
)
TARGET = data.Target("h1", "history", "ub1", "127.0.0.1", 1, 4, 9, True, False)


def test_compare_configurations_lists_each_change_once():
    kind = KIND._replace(weight=2.0)
    before = data.Configuration(1, {"history": SERVICE}, {"h1": TARGET})
    after = data.Configuration(
        2,
        {"history": SERVICE._replace(kinds=(kind, KIND._replace(name="new")))},
        {"h2": TARGET._replace(name="h2")},
    )
    changes = record_changes.compare_configurations(before, after)
    # Named tuples of different types compare equal if their fields are equal.
    assert [type(change).__name__ for change in changes] == [
        "Changed",
        "Added",
        "Removed",
        "Added",
    ]
    assert changes == (
        record_changes.Changed("kind", "history/due", "weight", 1.0, 2.0),
        record_changes.Added("kind", "history/new"),
        record_changes.Removed("target", "h1"),
        record_changes.Added("target", "h2"),
    )
    assert record_changes.compare_configurations(before, before) == ()
