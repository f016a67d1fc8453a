import asyncio
import contextlib
import datetime

import pytest

from dewstep_core import data, errors
from dewstep_core.http import exchanges, server
from dewstep_core.platform import table
from dewstep_emulator import faults, program, table_service, testing

CREATE = data.Transaction("op", (data.Check("a", 0),), (data.Write("a", {"x": 1}),))
UPDATE = CREATE._replace(checks=(data.Check("a", 3), data.Check("gate", 7)))
DELETE = data.Transaction("op", (data.Check("a", 3),), (data.Write("a", None),))
UNCHECKED = CREATE._replace(checks=())


@contextlib.asynccontextmanager
async def serving(extra=(), timeout=1.0):
    """Yield a table service and a client with `extra` addresses tried first."""
    served = table_service.TableService()
    async with program.serving(served) as address:
        limit = datetime.timedelta(seconds=timeout)
        client = table.TableClient((*extra, address), "e1", "dc1", timeout=limit)
        yield served, client
        await client.close()


@pytest.mark.parametrize(
    ("transaction", "versions", "operation", "expected"),
    [
        (UPDATE, (4, 7), "op", table.Verdict.COMMITTED),
        (UPDATE, (3, 7), "old", table.Verdict.PENDING),
        # Another writer's transaction wrote version 4, so this one cannot commit.
        (UPDATE, (4, 7), "other", table.Verdict.REFUTED),
        (UPDATE, (3, 8), "old", table.Verdict.REFUTED),
        # This transaction may have written version 4, which was overwritten since.
        (UPDATE, (5, 7), "other", table.Verdict.UNCERTAIN),
        (CREATE, (0, 0), None, table.Verdict.PENDING),
        (CREATE, (1, 0), "other", table.Verdict.REFUTED),
        (DELETE, (0, 0), None, table.Verdict.COMMITTED),
        (DELETE, (3, 0), "old", table.Verdict.PENDING),
        # Without a check, a second copy would take effect as well.
        (UNCHECKED, (3, 0), "old", table.Verdict.UNCERTAIN),
    ],
)
def test_judge_rows(transaction, versions, operation, expected):
    value = None if operation is None else {"operation_id": operation}
    rows = {"gate": data.Row("gate", versions[1], {})}
    rows["a"] = data.Row("a", versions[0], value)
    assert table.judge_rows(transaction, rows) is expected


def test_judge_rows_finds_the_operation_in_the_operations_of_a_row():
    # Guards against a committed transaction not being recognized because another writer
    # has overwritten the row since.
    rows = {"a": data.Row("a", 5, {"operation_id": "x", "operations": ["op", "x"]})}
    assert table.judge_rows(CREATE, rows) is table.Verdict.COMMITTED


@testing.run_in_event_loop
async def test_commit_reads_the_rows_back_after_a_lost_answer():
    async with serving() as (served, client):
        served.faults = served.faults._replace(lose_answers=faults.Trigger(1, 1.0))
        assert (await client.commit(CREATE)).unwrap().versions == {"a": 1}
        row = (await client.read("a")).unwrap()
        assert row == data.Row("a", 1, {"x": 1, "operation_id": "op"})
        assert served.counts["writes"] == 1


@pytest.mark.parametrize("delay", [0.22, 0.4])
@testing.run_in_event_loop
async def test_commit_takes_effect_once_if_its_first_copy_is_delayed(delay):
    # Guards against reporting a conflict that is caused by the first copy of the same
    # transaction (0.22 s: it is applied after the rows were read back and before the
    # second copy), and against applying both copies (0.4 s: after the second copy).
    async with serving(timeout=0.2) as (served, client):
        late = faults.Delay(delay, faults.Trigger(1, 1.0))
        served.faults = served.faults._replace(delay=late)
        assert (await client.commit(CREATE)).unwrap().versions == {"a": 1}
        await asyncio.sleep(0.3)
        assert served.table.get_version("a") == 1


@testing.run_in_event_loop
async def test_commit_whose_rows_cannot_be_read_back_is_answer_lost():
    async with serving() as (served, client):
        served.faults = served.faults._replace(lose_answers=faults.Trigger(1, 1.0))
        served.read_bucket.rate, served.read_bucket.tokens = 1e-9, 0
        assert isinstance((await client.commit(CREATE)).failure(), errors.AnswerLost)


@pytest.mark.parametrize("extra", [(), (testing.REFUSED,)])
@testing.run_in_event_loop
async def test_commit_distinguishes_conflict_unavailable_and_rate_exceeded(extra):
    async with serving(extra) as (served, client):
        assert (await client.commit(CREATE)).unwrap()
        assert (await client.commit(CREATE)).failure() == errors.Conflict(("a",))
        served.faults = served.faults._replace(down="503")
        assert testing.fails(await client.commit(UPDATE), errors.PlatformUnavailable)
        served.faults = served.faults._replace(down="")
        served.write_bucket.rate, served.write_bucket.tokens = 1e-9, 0
        assert testing.fails(await client.commit(UPDATE), errors.RateExceeded)


@testing.run_in_event_loop
async def test_read_and_read_prefix():
    async with serving((testing.REFUSED,)) as (served, client):
        served.table.write([{"key": "gate/t?1", "value": {"n": 1}}])
        served.table.write([{"key": "other", "value": {}}])
        row = data.Row("gate/t?1", 1, {"n": 1})
        assert (await client.read("gate/t?1")).unwrap() == row
        assert (await client.read("gate")).unwrap() == data.Row("gate", 0, None)
        assert (await client.read_prefix("gate/")).unwrap() == (row,)
        # An answer of unexpected format is a typed failure.
        served.table.rows["other"] = table_service.StoredRow("1", {})
        for outcome in (await client.read("other"), await client.read_prefix("")):
            assert isinstance(outcome.failure(), errors.RowInvalid)


@pytest.mark.parametrize(
    ("status", "content", "failure"),
    [
        (200, {"committed": True, "versions": 5}, errors.AnswerLost),
        (200, {"committed": True, "versions": {"a": "x"}}, errors.AnswerLost),
        (409, {"conflicts": 5}, errors.Conflict),
        (409, {"conflicts": [5, {"key": "a"}, {}]}, errors.Conflict),
    ],
)
@testing.run_in_event_loop
async def test_odd_answer_to_a_transaction_is_a_typed_failure(status, content, failure):
    # Guards against a TypeError or KeyError that ends the task of the transaction.
    async def handle(exchange):
        exchange.respond(exchanges.build_json(status, content))

    running = server.Server(handle)
    address = await running.start("127.0.0.1", 0)
    client = table.TableClient((address,), "e1", "dc1")
    assert testing.fails(await client.send(b"{}"), failure)
    await client.close()
    await running.close(grace=0.1)
