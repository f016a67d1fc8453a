import asyncio
import datetime
import random

from dewstep_core import clock as clocks, data, records
from dewstep_core.platform import memory_table
from dewstep_emulator import builders
from dewstep_entry.gate import rows
from dewstep_entry.state import bootstrap, table_reader, view

GATE = rows.GateRecord(
    data.GateRow("t", "e1", "i1", "127.0.0.1", 1, 3, 0),
    datetime.timedelta(hours=1),
    False,
    "op",
)


def build_reader(near=4):
    table = memory_table.MemoryTable()
    holder = view.ViewHolder()
    clock = clocks.ManualClock()
    reader = table_reader.TableReader(
        table, holder, clock, lambda: near, random.Random(1)
    )
    return reader, table, holder


def put(table, key, value):
    transaction = data.Transaction(
        key, (data.Check(key, 0),), (data.Write(key, value),)
    )
    asyncio.run(table.commit(transaction)).unwrap()


def test_read_all_shows_configuration_gates_assignments_and_declarations():
    reader, table, holder = build_reader()
    configuration = builders.build_configuration()
    put(table, "configuration", records.encode_configuration(configuration))
    put(table, "gate/t", rows.encode_gate(GATE))
    assignment = data.Assignment("history", 0, ("t",), {}, ())
    put(table, "assignment/history", rows.encode_assignment(assignment, "op"))
    put(table, "declared-dead/t", {"term": 3})
    assert asyncio.run(reader.read_all())
    current = holder.current
    assert current.configuration.revision == configuration.revision
    assert current.gates["t"].term == 3
    assert current.assignments["history"].owners == ("t",)
    assert current.declared == {"t": 3}
    assert current.table_contact is not None


def test_a_configuration_that_is_not_valid_leaves_the_one_in_force():
    reader, table, holder = build_reader()
    holder.offer_configuration(builders.build_configuration())
    held = holder.current.configuration
    put(table, "configuration", {"revision": 99, "records": {"service": 1}})
    assert asyncio.run(reader.read_all())
    assert holder.current.configuration is held
    assert reader.last_failure is not None


def test_polls_read_large_rows_only_when_the_revision_has_changed():
    # Reading everything each time was most of an idle process's traffic.
    reader, table, holder = build_reader()
    configuration = builders.build_configuration(revision=1)
    put(table, "configuration", records.encode_configuration(configuration))
    put(table, records.REVISION_KEY, {"revision": 1})
    assert asyncio.run(reader.poll()) and reader.reads == 1
    for _ in range(5):
        assert asyncio.run(reader.poll())
    assert reader.reads == 1
    newer = data.Transaction(
        "op2",
        (),
        (
            data.Write(
                "configuration",
                records.encode_configuration(configuration._replace(revision=2)),
            ),
            data.Write(records.REVISION_KEY, {"revision": 2}),
        ),
    )
    asyncio.run(table.commit(newer)).unwrap()
    assert asyncio.run(reader.poll())
    assert holder.current.configuration.revision == 2 and reader.reads == 2
    reader.refresh()
    assert asyncio.run(reader.poll()) and reader.reads == 3
    table.down = True
    assert not asyncio.run(reader.poll())
    table.down = False
    assert asyncio.run(reader.poll()) and reader.reads == 4


def test_a_failed_read_is_no_contact():
    reader, table, holder = build_reader()
    table.down = True
    assert not asyncio.run(reader.read_all())
    assert holder.current.table_contact is None


def test_the_fleet_reads_at_a_constant_rate():
    # Four times as many processes each wait four times as long.
    few, _, _ = build_reader(near=2)
    many, _, _ = build_reader(near=8)
    waits = [few.choose_interval(True) for _ in range(200)]
    longer = [many.choose_interval(True) for _ in range(200)]
    assert 3.5 < sum(longer, start=waits[0] * 0) / sum(waits, start=waits[0] * 0) < 4.5
    assert len(set(waits)) > 100


def test_a_refresh_ends_the_wait():
    async def scenario():
        reader, _, _ = build_reader()
        waiting = asyncio.ensure_future(reader.wait(datetime.timedelta(hours=1)))
        await asyncio.sleep(0)
        reader.refresh()
        await asyncio.wait_for(waiting, 1)

    asyncio.run(scenario())


def test_create_missing_writes_an_assignment_once():
    # A second process that starts at the same time must not replace the first one's.
    _, table, holder = build_reader()
    configuration = builders.build_configuration()
    holder.offer_configuration(configuration)
    assert bootstrap.find_missing(view.EMPTY) == []
    missing = bootstrap.find_missing(holder.current)
    assert missing
    for _ in range(2):
        asyncio.run(bootstrap.create_missing(holder, table))
    for service in missing:
        row = table.get_row(f"assignment/{service.name}")
        assert row.version == 1
        assert len(row.value["owners"]) == service.shard_count
    outcome = asyncio.run(bootstrap.create_assignment(missing[0], [], table))
    assert outcome.unwrap() is None
