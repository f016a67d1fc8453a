import json

from returns import result

from dewstep_core import errors
from dewstep_fleet import builders, model, quorums

MEMBERS = frozenset({"n1", "n2", "n3", "n4"})


def build_row(value):
    return builders.build_row(model.TABLES.fleet, "quorum", 7, value)


def test_row_names_the_same_members_after_decoding():
    # Guards against majorities of other members than the row names.
    decoded = quorums.decode(build_row(quorums.encode(MEMBERS, 3)))
    assert decoded == result.Success(quorums.Quorum(MEMBERS, 3, 7, stored=True))


def test_unreadable_rows_are_refused():
    # Guards against a quorum without members after a row of another client.
    content = json.loads(quorums.encode(MEMBERS, 3))
    values = [b"", b"[]", b"{}"]
    for change in (
        {"schema": 0},
        {"schema": ["x" * 5_000]},
        {"number": "3"},
        {"number": -1},
        {"number": 10**400},
        {"nodes": "n1"},
        {"nodes": [1]},
        {"nodes": ["\ud800"]},
    ):
        values.append(json.dumps({**content, **change}).encode())
    for value in values:
        failure = quorums.decode(build_row(value)).failure()
        assert isinstance(failure, errors.RowInvalid)
        assert len(str(failure)) < 300


def test_older_copy_of_the_row_does_not_replace_the_members():
    # Guards against a successor that counts the members of a restored store while an
    # earlier coordinator counts those that were added since.
    older = quorums.Quorum(frozenset({"n1"}), 1, 900, stored=True)
    known = quorums.Quorum(MEMBERS, 2, 800, stored=True)
    merged = quorums.merge(known, older)
    assert merged == quorums.Quorum(MEMBERS, 2, 900, stored=False)
    assert quorums.merge(known, quorums.NO_QUORUM).nodes == MEMBERS
    newer = quorums.Quorum(frozenset({"n1"}), 3, 950, stored=True)
    assert quorums.merge(merged, newer) == newer


def test_other_instances_do_not_count():
    # Guards against a majority that consists of instances added since.
    assert not quorums.is_majority({"n1", "n5", "n6", "n7"}, MEMBERS)
    assert not quorums.is_half({"n1", "n5", "n6", "n7"}, MEMBERS)


def test_half_of_the_members_rules_out_a_majority_of_the_others():
    # Guards against a coordinator that leads beside an adopted successor.
    half = {"n1", "n2"}
    assert quorums.is_half(half, MEMBERS)
    assert not quorums.is_majority(MEMBERS - half, MEMBERS)
