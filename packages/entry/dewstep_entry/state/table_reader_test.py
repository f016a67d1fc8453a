import asyncio
import datetime
import random

from dewstep_core import clocks, data, records
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


def build_reader(local_processes=4):
    table = memory_table.MemoryTable()
    holder = view.ViewHolder()
    clock = clocks.ManualClock()
    reader = table_reader.TableReader(
        table, holder, clock, lambda: local_processes, random.Random(1)
    )
    return reader, table, holder


def put(table, key, value):
    transaction = data.Transaction(
        key, (data.Check(key, 0),), (data.Write(key, value),)
    )
    asyncio.run(table.commit(transaction)).unwrap()


def test_full_read_updates_the_view():
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
    assert current.declared_dead == {"t": 3}
    assert current.table_contact is not None


def test_invalid_configuration_does_not_replace_the_current_one():
    reader, table, holder = build_reader()
    holder.offer_configuration(builders.build_configuration())
    previous = holder.current.configuration
    put(table, "configuration", {"revision": 99, "records": {"service": 1}})
    assert asyncio.run(reader.read_all())
    assert holder.current.configuration is previous
    assert reader.last_failure is not None


def test_polls_read_large_rows_only_after_a_change_of_revision():
    # Guards against reading all rows each time, which caused most of the network
    # traffic of an idle process.
    reader, table, holder = build_reader()
    configuration = builders.build_configuration(revision=1)
    put(table, "configuration", records.encode_configuration(configuration))
    put(table, records.REVISION_KEY, {"revision": 1})
    assert asyncio.run(reader.poll()) and reader.full_reads == 1
    for _ in range(5):
        assert asyncio.run(reader.poll())
    assert reader.full_reads == 1
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
    assert holder.current.configuration.revision == 2 and reader.full_reads == 2
    reader.request_full_read()
    assert asyncio.run(reader.poll()) and reader.full_reads == 3
    table.down = True
    assert not asyncio.run(reader.poll())
    table.down = False
    assert asyncio.run(reader.poll()) and reader.full_reads == 4


def test_failed_read_does_not_update_the_contact_time():
    reader, table, holder = build_reader()
    table.down = True
    assert not asyncio.run(reader.read_all())
    assert holder.current.table_contact is None


def test_read_interval_is_proportional_to_the_number_of_processes():
    # With four times as many processes, each waits four times as long.
    few, _, _ = build_reader(local_processes=2)
    many, _, _ = build_reader(local_processes=8)
    short_intervals = [few.choose_interval(True) for _ in range(200)]
    long_intervals = [many.choose_interval(True) for _ in range(200)]
    assert (
        3.5
        < sum(long_intervals, start=short_intervals[0] * 0)
        / sum(short_intervals, start=short_intervals[0] * 0)
        < 4.5
    )
    assert len(set(short_intervals)) > 100


def test_refresh_ends_the_wait():
    async def scenario():
        reader, _, _ = build_reader()
        waiting = asyncio.ensure_future(
            reader.wait_for_request(datetime.timedelta(hours=1))
        )
        await asyncio.sleep(0)
        reader.request_full_read()
        await asyncio.wait_for(waiting, 1)

    asyncio.run(scenario())


def test_create_missing_writes_an_assignment_once():
    # Guards against replacing the assignment of a process that started at the same
    # time.
    _, table, holder = build_reader()
    configuration = builders.build_configuration()
    holder.offer_configuration(configuration)
    assert bootstrap.find_unassigned_services(view.EMPTY) == []
    missing = bootstrap.find_unassigned_services(holder.current)
    assert missing
    for _ in range(2):
        asyncio.run(bootstrap.create_missing_assignments(holder, table))
    for service in missing:
        row = table.get_row(f"assignment/{service.name}")
        assert row.version == 1
        assert len(row.value["owners"]) == service.shard_count
    outcome = asyncio.run(bootstrap.create_assignment(missing[0], [], table))
    assert outcome.unwrap() is None
