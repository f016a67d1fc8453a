"""Tests of the emulated table service: versions, transactions and rate limits."""

import pytest

from dewstep_emulator import program, table_service, testing


def test_version_of_a_deleted_row_is_not_reused():
    # Guards against reused versions, with which the check of a delayed transaction
    # would pass although the row has changed.
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
def test_is_transaction_rejects_malformed_values(form):
    assert not table_service.is_transaction(form)


@testing.run_in_event_loop
async def test_transactions_are_atomic_and_rate_limited():
    now = 0.0
    service = table_service.TableService(2, 3, monotonic=lambda: now)
    async with program.serving(service) as address, testing.calling(address) as caller:

        async def commit(*keys):
            checks = [{"key": "a", "version": 0}]
            writes = [{"key": key, "value": {"k": key}} for key in keys]
            form = {"operation_id": "o", "checks": checks, "writes": writes}
            answer = (await caller.call_json("POST", "/transactions", form)).unwrap()
            return answer.status, answer.read_json()

        done = {"committed": True, "versions": {"a": 1, "b": 1}}
        assert await commit("a", "b") == (200, done)
        assert (await commit("c"))[0] == 429
        now += 1.0
        refused = {"committed": False, "conflicts": [{"key": "a", "version": 1}]}
        assert await commit("c") == (409, refused)
        answers = [await caller.call("GET", "/rows/c") for _ in range(4)]
        assert [item.unwrap().status for item in answers] == [404, 404, 404, 429]
        now += 1.0
        answer = (await caller.call("GET", "/rows?prefix=")).unwrap().read_json()
        assert [row["key"] for row in answer["rows"]] == ["a", "b"]
        counts = (await caller.call("GET", "/counts")).unwrap().read_json()
        assert counts == {"reads": 4, "writes": 2, "conflicts": 1, "refused": 2}
