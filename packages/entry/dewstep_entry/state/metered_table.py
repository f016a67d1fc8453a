"""Counts the table service calls of this process and their results."""

import collections

from returns import result

from dewstep_core import data
from dewstep_entry import interfaces


class MeteredTable:
    """Implements `interfaces.TableClient` around the real client.

    Parameters
    ----------
    table : interfaces.TableClient
    entry : str
        Name of this process, to distinguish takeovers from handovers.
    counts : collections.Counter
        Updated with the counts by metric name.
    """

    def __init__(
        self,
        table: interfaces.TableClient,
        entry: str,
        counts: collections.Counter,
    ):
        self.table = table
        self.entry = entry
        self.counts = counts

    async def read(self, key: str) -> result.Result[data.Row, interfaces.Failure]:
        """Return the row under `key`."""
        self.counts["table.reads"] += 1
        return self.count_failure(await self.table.read(key))

    async def read_prefix(
        self, prefix: str
    ) -> result.Result[tuple[data.Row, ...], interfaces.Failure]:
        """Return all rows whose keys start with `prefix`."""
        self.counts["table.reads"] += 1
        return self.count_failure(await self.table.read_prefix(prefix))

    async def commit(
        self, transaction: data.Transaction
    ) -> result.Result[data.Commit, interfaces.Failure]:
        """Apply `transaction`."""
        self.counts["table.commits"] += 1
        outcome = self.count_failure(await self.table.commit(transaction))
        if isinstance(outcome, result.Success):
            for write in transaction.writes:
                self.count_write(write)
        return outcome

    async def close(self) -> None:
        """Close all connections."""
        await self.table.close()

    def count_failure(self, outcome: result.Result) -> result.Result:
        """Count the failure in `outcome`, if there is one."""
        if isinstance(outcome, result.Failure):
            name = type(outcome.failure()).__name__
            self.counts[f"table.failures.{name}"] += 1
        return outcome

    def count_write(self, write: data.Write) -> None:
        """Count a committed write by the kind of its row."""
        kind = write.key.partition("/")[0]
        if kind == "assignment":
            self.counts["moves.committed"] += 1
        elif kind == "claim":
            name = "claims.deleted" if write.value is None else "claims.written"
            self.counts[name] += 1
        elif kind == "gate" and write.value is not None:
            own = write.value.get("entry") == self.entry
            self.counts["gates.taken" if own else "gates.handed_over"] += 1
