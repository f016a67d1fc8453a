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
WRITTEN = ("gates.taken", "gates.handed_over", "claims.written", "claims.deleted")


class Table:
    def __init__(self, outcome):
        self.outcome = outcome

    async def commit(self, transaction):
        return self.outcome

    read = read_prefix = commit


def count(outcome):
    counts = collections.Counter()
    table = metered_table.MeteredTable(Table(outcome), "e1", counts)
    asyncio.run(table.commit(data.Transaction("id", (), WRITES)))
    asyncio.run(table.read("key"))
    asyncio.run(table.read_prefix("gate/"))
    return counts


def test_only_what_was_committed_counts():
    counts = count(result.Success(None))
    assert [counts[name] for name in (*WRITTEN, "moves.committed")] == [1] * 5
    assert (counts["table.commits"], counts["table.reads"]) == (1, 2)
    counts = count(result.Failure(errors.Conflict(("gate/t1",))))
    assert not any(counts[name] for name in WRITTEN)
    assert counts["table.failures.Conflict"] == 3
