"""A table service in memory, with the semantics of the platform's, for tests.

Transactions take effect as a whole if all their checks hold. The version of a row that
was deleted and written again continues from its last one. Values pass through JSON, so
that what cannot be stored in the real service cannot be stored here either, and get
the member `operation_id`, as the real client adds it.
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
        The next commit takes effect if its checks hold, and fails with `AnswerLost`.
    lose_next_request : bool
        The next commit has no effect and fails with `AnswerLost`.
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
            return result.Failure(errors.PlatformUnavailable("switched off"))
        return result.Success(self.get_row(key))

    async def read_prefix(
        self, prefix: str
    ) -> result.Result[tuple[data.Row, ...], errors.PlatformUnavailable]:
        """Return all rows whose keys start with `prefix`, ordered by key."""
        if self.down:
            return result.Failure(errors.PlatformUnavailable("switched off"))
        keys = sorted(key for key in self.values if key.startswith(prefix))
        return result.Success(tuple(self.get_row(key) for key in keys))

    async def commit(
        self, transaction: data.Transaction
    ) -> result.Result[
        data.Commit, errors.Conflict | errors.PlatformUnavailable | errors.AnswerLost
    ]:
        """Apply `transaction` if all its checks hold."""
        if self.down:
            return result.Failure(errors.PlatformUnavailable("switched off"))
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
        """Apply `transaction` if all its checks hold, whatever the switches say."""
        conflicts = tuple(
            check.key
            for check in transaction.checks
            if self.get_row(check.key).version != check.version
        )
        if conflicts:
            return result.Failure(errors.Conflict(conflicts))
        # All values are encoded before any row changes: a value that is not JSON
        # raises and leaves no half of the transaction behind.
        operation = {"operation_id": transaction.operation_id}
        encoded = [
            (
                write.key,
                None
                if write.value is None
                else json.dumps({**write.value, **operation}),
            )
            for write in transaction.writes
        ]
        for key, text in encoded:
            self.versions[key] = self.versions.get(key, 0) + 1
            if text is None:
                self.values.pop(key, None)
            else:
                self.values[key] = text
        return result.Success(
            data.Commit({key: self.versions[key] for key, _ in encoded})
        )

    def get_row(self, key: str) -> data.Row:
        """Return a copy of the row under `key`."""
        if key not in self.values:
            return data.Row(key, 0, None)
        return data.Row(key, self.versions[key], json.loads(self.values[key]))
