import asyncio
import datetime

import pytest

from dewstep_core import data, errors, settings
from dewstep_core.http import server
from dewstep_core.platform import table
from dewstep_emulator import faults, program, table_service

CREATE = data.Transaction("op", (data.Check("a", 0),), (data.Write("a", {"x": 1}),))
UPDATE = data.Transaction(
    "op",
    (data.Check("a", 3), data.Check("gate", 7)),
    (data.Write("a", {"x": 1}),),
)
DELETE = data.Transaction("op", (data.Check("a", 3),), (data.Write("a", None),))
BLIND = data.Transaction("op", (), (data.Write("a", {"x": 1}),))
REFUSED = settings.Address("127.0.0.1", 1)


def run(scenario, service=None, extra=(), timeout=1.0):
    """Run `scenario(service, client)` with `extra` addresses before the service's."""

    async def main():
        served = service or table_service.TableService()
        async with program.serving(served) as address:
            client = table.TableClient(
                (*extra, address),
                "e1",
                "dc1",
                timeout=datetime.timedelta(seconds=timeout),
            )
            await scenario(served, client)
            await client.close()

    asyncio.run(main())


@pytest.mark.parametrize(
    ("transaction", "versions", "operation", "expected"),
    [
        (UPDATE, (4, 7), "op", table.Verdict.COMMITTED),
        (UPDATE, (3, 7), "old", table.Verdict.PENDING),
        # Another writer's transaction took version 4, so this one never can.
        (UPDATE, (4, 7), "other", table.Verdict.REFUTED),
        (UPDATE, (3, 8), "old", table.Verdict.REFUTED),
        # Version 4 may have been ours and overwritten since.
        (UPDATE, (5, 7), "other", table.Verdict.UNCERTAIN),
        (CREATE, (0, 0), None, table.Verdict.PENDING),
        (CREATE, (1, 0), "other", table.Verdict.REFUTED),
        (DELETE, (0, 0), None, table.Verdict.COMMITTED),
        (DELETE, (3, 0), "old", table.Verdict.PENDING),
        # Without a check a second copy would take effect again.
        (BLIND, (3, 0), "old", table.Verdict.UNCERTAIN),
    ],
)
def test_judge_rows(transaction, versions, operation, expected):
    value = None if operation is None else {"operation_id": operation}
    rows = {
        "a": data.Row("a", versions[0], value),
        "gate": data.Row("gate", versions[1], {}),
    }
    assert table.judge_rows(transaction, rows) is expected


def test_judge_rows_finds_the_operation_in_the_history_of_a_row():
    # Guards against a commit taken for lost because a later writer came at once.
    rows = {"a": data.Row("a", 5, {"operation_id": "x", "operations": ["op", "x"]})}
    assert table.judge_rows(CREATE, rows) is table.Verdict.COMMITTED


def test_commit_reads_back_after_a_lost_answer():
    async def scenario(served, client):
        served.faults = served.faults._replace(lose_answers=faults.Trigger(1, 1.0))
        assert (await client.commit(CREATE)).unwrap().versions == {"a": 1}
        row = (await client.read("a")).unwrap()
        assert row == data.Row("a", 1, {"x": 1, "operation_id": "op"})
        assert served.counts["writes"] == 1

    run(scenario)


def test_commit_sends_again_when_nothing_was_written():
    class Dropping(table_service.TableService):
        dropped = 0

        async def serve(self, exchange):
            if exchange.method == "POST" and not self.dropped:
                self.dropped += 1
                exchange.abort()
            else:
                await super().serve(exchange)

    async def scenario(served, client):
        assert (await client.commit(CREATE)).unwrap().versions == {"a": 1}
        assert served.dropped == 1

    run(scenario, Dropping())


def test_commit_recognizes_its_first_copy_that_arrived_late():
    # Guards against "conflict, nothing written" when the conflict is the writer's
    # own first copy, which took effect after the rows were read back.
    async def scenario(served, client):
        trigger = faults.Trigger(1, 1.0)
        served.faults = served.faults._replace(delay=faults.Delay(0.22, trigger))
        assert (await client.commit(CREATE)).unwrap().versions == {"a": 1}
        await asyncio.sleep(0.2)
        assert served.table.get_version("a") == 1

    run(scenario, timeout=0.2)


def test_commit_that_cannot_be_settled_is_lost():
    async def scenario(served, client):
        served.faults = served.faults._replace(lose_answers=faults.Trigger(1, 1.0))
        served.read_bucket.rate, served.read_bucket.tokens = 1e-9, 0
        assert isinstance((await client.commit(CREATE)).failure(), errors.AnswerLost)

    run(scenario)


@pytest.mark.parametrize("extra", [(), (REFUSED,)])
def test_commit_tells_refusals_apart(extra):
    async def scenario(served, client):
        assert (await client.commit(CREATE)).unwrap()
        failure = (await client.commit(CREATE)).failure()
        assert failure == errors.Conflict(("a",))
        served.faults = served.faults._replace(down="503")
        failure = (await client.commit(UPDATE)).failure()
        assert isinstance(failure, errors.PlatformUnavailable)
        served.faults = served.faults._replace(down="")
        served.write_bucket.rate, served.write_bucket.tokens = 1e-9, 0
        failure = (await client.commit(UPDATE)).failure()
        assert isinstance(failure, errors.RateExceeded)

    run(scenario, extra=extra)


def test_read_and_read_prefix():
    async def scenario(served, client):
        served.table.write([{"key": "gate/t?1", "value": {"n": 1}}])
        served.table.write([{"key": "other", "value": {}}])
        row = data.Row("gate/t?1", 1, {"n": 1})
        assert (await client.read("gate/t?1")).unwrap() == row
        assert (await client.read("gate")).unwrap() == data.Row("gate", 0, None)
        assert (await client.read_prefix("gate/")).unwrap() == (row,)

    run(scenario, extra=(REFUSED,))


def test_answer_of_wrong_form_is_a_typed_failure():
    async def main():
        async def answer(call):
            return server.build_json(200, {"rows": [{"key": "a"}]})

        routes = server.Routes()
        routes.add("GET", "/rows", answer)
        routes.add("GET", "/rows/{key}", answer)
        served = server.Server(routes.handle)
        address = await served.start("127.0.0.1", 0)
        client = table.TableClient((address,), "e1", "dc1")
        for outcome in (await client.read("a"), await client.read_prefix("a")):
            assert isinstance(outcome.failure(), errors.RowInvalid)
        await client.close()
        await served.close()

    asyncio.run(main())
