import asyncio

import pytest

from dewstep_core.http import client
from dewstep_emulator import program, table_service


def test_deleted_row_continues_from_its_last_version():
    # Guards against a version that returns, which would let a late copy of an old
    # transaction pass its check.
    rows = table_service.Table()
    assert rows.write([{"key": "a", "value": {}}]) == {"a": 1}
    assert rows.write([{"key": "a", "value": None}]) == {"a": 0}
    assert rows.read("a") is None
    assert rows.find_conflicts([{"key": "a", "version": 0}]) == []
    assert rows.write([{"key": "a", "value": {}}]) == {"a": 2}
    conflict = [{"key": "a", "version": 2}]
    assert rows.find_conflicts([{"key": "a", "version": 1}]) == conflict
    assert [row["key"] for row in rows.read_prefix("a")] == ["a"]


@pytest.mark.parametrize(
    "form",
    [
        None,
        {"checks": [], "writes": []},
        {"operation_id": "o", "checks": [{"key": "a"}], "writes": []},
        {"operation_id": "o", "checks": [], "writes": [{"key": "a"}]},
        {"operation_id": "o", "checks": [], "writes": [{"key": "a", "value": 1}]},
        {"operation_id": "o", "checks": [], "writes": [{"key": "a", "value": {}}] * 2},
    ],
)
def test_is_transaction_refuses_wrong_forms(form):
    assert not table_service.is_transaction(form)


def test_transactions_take_effect_together_and_within_the_rate():
    async def main():
        now = 0.0
        service = table_service.TableService(2, 3, monotonic=lambda: now)
        async with program.serving(service) as address:
            caller = client.Client(address, 1)

            async def commit(checks, *keys):
                writes = [{"key": key, "value": {"k": key}} for key in keys]
                form = {"operation_id": "o", "checks": checks, "writes": writes}
                outcome = await caller.call_json("POST", "/transactions", form)
                return outcome.unwrap().status, outcome.unwrap().read_json()

            absent = [{"key": "a", "version": 0}]
            done = {"committed": True, "versions": {"a": 1, "b": 1}}
            assert await commit(absent, "a", "b") == (200, done)
            assert (await commit(absent, "c"))[0] == 429
            now += 1.0
            refused = {"committed": False, "conflicts": [{"key": "a", "version": 1}]}
            assert await commit(absent, "c") == (409, refused)
            answers = [await caller.call("GET", "/rows/c") for _ in range(4)]
            statuses = [item.unwrap().status for item in answers]
            assert statuses == [404, 404, 404, 429]
            now += 1.0
            answer = (await caller.call("GET", "/rows?prefix=")).unwrap().read_json()
            assert [row["key"] for row in answer["rows"]] == ["a", "b"]
            counts = (await caller.call("GET", "/counts")).unwrap().read_json()
            assert counts == {"reads": 4, "writes": 2, "conflicts": 1, "refused": 2}
            await caller.close()

    asyncio.run(main())
