import asyncio
import collections

from returns import result

from dewstep_core import data, errors
from dewstep_entry.state import metered_table

WRITES = (
    data.Write("gate/t1", {"entry": "e1"}),
    data.Write("gate/t2", {"entry": "e2"}),
    data.Write("claim/s/1", {}),
    data.Write("claim/s/2", None),
    data.Write("assignment/s", {}),
)
WRITE_COUNTERS = (
    "gates.taken",
    "gates.handed_over",
    "claims.written",
    "claims.deleted",
)


class FakeTable:
    def __init__(self, outcome):
        self.outcome = outcome

    async def commit(self, transaction):
        return self.outcome

    read = read_prefix = commit


def run_calls(outcome):
    counts = collections.Counter()
    table = metered_table.MeteredTable(FakeTable(outcome), "e1", counts)
    asyncio.run(table.commit(data.Transaction("id", (), WRITES)))
    asyncio.run(table.read("key"))
    asyncio.run(table.read_prefix("gate/"))
    return counts


def test_only_committed_writes_are_counted():
    counts = run_calls(result.Success(None))
    assert [counts[name] for name in (*WRITE_COUNTERS, "moves.committed")] == [1] * 5
    assert (counts["table.commits"], counts["table.reads"]) == (1, 2)
    counts = run_calls(result.Failure(errors.Conflict(("gate/t1",))))
    assert not any(counts[name] for name in WRITE_COUNTERS)
    assert counts["table.failures.Conflict"] == 3
