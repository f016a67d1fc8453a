"""In-memory table service for tests, with the semantics of the platform's service.

Transactions are applied atomically if all their checks hold. The version of a row that
is deleted and written again continues from its last one. Values are encoded as JSON, so
that values which the real service cannot store are refused here as well. The member
`operation_id` is added to each value, as the real client does.
"""

import json

from returns import result

from dewstep_core import data, errors


class MemoryTable:
    """An in-memory implementation of the protocol `TableClient`.

    Attributes
    ----------
    down : bool
        While set, every call fails with `PlatformUnavailable`.
    lose_next_answer : bool
        If set, the next commit fails with `AnswerLost`, but is applied if its checks
        hold.
    lose_next_request : bool
        If set, the next commit fails with `AnswerLost` and has no effect.
    """

    def __init__(self):
        self.down = False
        self.lose_next_answer = False
        self.lose_next_request = False
        self.values: dict[str, str] = {}
        self.versions: dict[str, int] = {}

    async def read(
        self, key: str
    ) -> result.Result[data.Row, errors.PlatformUnavailable]:
        """Return the row; version 0 and value None if it is absent."""
        if self.down:
            return result.Failure(errors.PlatformUnavailable("table is down"))
        return result.Success(self.get_row(key))

    async def read_prefix(
        self, prefix: str
    ) -> result.Result[tuple[data.Row, ...], errors.PlatformUnavailable]:
        """Return all rows whose keys start with `prefix`, ordered by key."""
        if self.down:
            return result.Failure(errors.PlatformUnavailable("table is down"))
        keys = sorted(key for key in self.values if key.startswith(prefix))
        return result.Success(tuple(self.get_row(key) for key in keys))

    async def commit(
        self, transaction: data.Transaction
    ) -> result.Result[
        data.Commit, errors.Conflict | errors.PlatformUnavailable | errors.AnswerLost
    ]:
        """Apply `transaction` if all its checks hold."""
        if self.down:
            return result.Failure(errors.PlatformUnavailable("table is down"))
        if self.lose_next_request:
            self.lose_next_request = False
            return result.Failure(errors.AnswerLost("request lost"))
        outcome = self.apply(transaction)
        if self.lose_next_answer:
            self.lose_next_answer = False
            return result.Failure(errors.AnswerLost("answer lost"))
        return outcome

    def apply(
        self, transaction: data.Transaction
    ) -> result.Result[data.Commit, errors.Conflict]:
        """Apply `transaction` if all its checks hold, ignoring simulated faults."""
        conflicts = tuple(
            check.key
            for check in transaction.checks
            if self.get_row(check.key).version != check.version
        )
        if conflicts:
            return result.Failure(errors.Conflict(conflicts))
        # All values are encoded before any row changes, so that a value which is not
        # JSON raises without a part of the transaction having been applied.
        added_member = {"operation_id": transaction.operation_id}
        encoded_writes = [
            (
                write.key,
                None
                if write.value is None
                else json.dumps({**write.value, **added_member}),
            )
            for write in transaction.writes
        ]
        for key, text in encoded_writes:
            self.versions[key] = self.versions.get(key, 0) + 1
            if text is None:
                self.values.pop(key, None)
            else:
                self.values[key] = text
        return result.Success(
            data.Commit({key: self.versions[key] for key, _ in encoded_writes})
        )

    def get_row(self, key: str) -> data.Row:
        """Return a copy of the row under `key`."""
        if key not in self.values:
            return data.Row(key, 0, None)
        return data.Row(key, self.versions[key], json.loads(self.values[key]))
