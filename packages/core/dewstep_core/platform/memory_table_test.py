import asyncio

import pytest

from dewstep_core import data, errors
from dewstep_core.platform import memory_table


def build_write(key, version, value):
    checks = (data.Check(key, version),)
    return data.Transaction("op", checks, (data.Write(key, value),))


def test_a_transaction_whose_check_fails_writes_nothing():
    table = memory_table.MemoryTable()
    transaction = data.Transaction(
        "op",
        (data.Check("a", 0), data.Check("b", 5)),
        (data.Write("a", {}), data.Write("b", {})),
    )
    failure = asyncio.run(table.commit(transaction)).failure()
    assert isinstance(failure, errors.Conflict) and failure.keys == ("b",)
    assert asyncio.run(table.read_prefix("")).unwrap() == ()


def test_the_version_of_a_deleted_row_continues():
    # Guards against a check of a version from before the deletion holding after it.
    table = memory_table.MemoryTable()
    asyncio.run(table.commit(build_write("a", 0, {"n": 1})))
    asyncio.run(table.commit(build_write("a", 1, None)))
    assert asyncio.run(table.read("a")).unwrap() == data.Row("a", 0, None)
    commit = asyncio.run(table.commit(build_write("a", 0, {"n": 2}))).unwrap()
    assert commit.versions == {"a": 3}


def test_a_commit_whose_answer_is_lost_is_applied_and_a_lost_request_is_not():
    table = memory_table.MemoryTable()
    table.lose_next_answer = True
    lost = asyncio.run(table.commit(build_write("a", 0, {}))).failure()
    assert isinstance(lost, errors.AnswerLost)
    table.lose_next_request = True
    lost = asyncio.run(table.commit(build_write("a", 1, {}))).failure()
    assert isinstance(lost, errors.AnswerLost)
    assert asyncio.run(table.read("a")).unwrap().version == 1


def test_all_calls_fail_while_the_table_is_down():
    table = memory_table.MemoryTable()
    table.down = True
    for call in (table.read("a"), table.read_prefix(""), table.commit(None)):
        assert isinstance(asyncio.run(call).failure(), errors.PlatformUnavailable)


def test_a_transaction_with_a_value_that_is_not_json_writes_nothing():
    table = memory_table.MemoryTable()
    writes = (data.Write("a", {}), data.Write("b", {"x": object()}))
    with pytest.raises(TypeError):
        table.apply(data.Transaction("op", (), writes))
    assert table.get_row("a").version == 0
