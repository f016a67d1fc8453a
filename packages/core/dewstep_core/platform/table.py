"""Client of the platform's table service.

A transaction whose answer was lost may have committed, may still be on its way, or
may never arrive. `commit` reads the written rows back and decides with
`judge_rows`, which only relies on row versions rising by one with each write and
never returning to an earlier value.
"""

import datetime
import enum
import json
import urllib.parse
from collections.abc import Mapping
from typing import Any

from returns import result

from dewstep_core import clock as clocks, data, errors, settings
from dewstep_core.platform import caller

ATTEMPTS = 4
"""Times that one transaction is sent at most."""
READ_BACKS = 4
"""Times that the rows are read back at most after one lost answer."""
PAUSE = datetime.timedelta(milliseconds=50)
"""First wait before reading back or sending again; doubles each time."""
TIMEOUT = datetime.timedelta(milliseconds=500)
OPERATION_ID = "operation_id"
OPERATIONS = "operations"


class Verdict(enum.Enum):
    """What the rows show about a transaction whose answer was lost."""

    COMMITTED = "committed"
    REFUTED = "refuted"
    """It did not commit and never will: a row that it checks has moved on."""
    PENDING = "pending"
    """It has not committed so far, and its checks still hold.

    Sending it again is safe: it checks a row that it writes, and the write raises the
    row's version, so only one copy can take effect.
    """
    UNCERTAIN = "uncertain"


class TableClient(caller.PlatformCaller):
    """Reads rows and commits transactions; implements the `TableClient` protocol.

    Parameters
    ----------
    addresses, entry, data_centre
        As for `caller.PlatformCaller`.
    clock : clocks.Clock, optional
        Paces retries.
    timeout : datetime.timedelta, optional
        For one call to one address.
    """

    def __init__(
        self,
        addresses: tuple[settings.Address, ...],
        entry: str,
        data_centre: str,
        clock: clocks.Clock | None = None,
        timeout: datetime.timedelta = TIMEOUT,
    ):
        super().__init__("table service", addresses, entry, data_centre, timeout)
        self.clock = clock or clocks.SystemClock()

    async def read(self, key: str) -> result.Result[data.Row, Any]:
        """Return the row; version 0 and value None if it is absent.

        Returns
        -------
        result.Result
            `RateExceeded`, `PlatformUnavailable`, `AnswerLost`, or `RowInvalid` if
            the answer does not have the published form.
        """
        path = "/rows/" + urllib.parse.quote(key, safe="/")
        outcome = await self.get(path)
        if not isinstance(outcome, result.Success):
            return outcome
        response = outcome.unwrap()
        if response.status == caller.NOT_FOUND:
            return result.Success(data.Row(key, 0, None))
        if response.status != caller.OK:
            return fail_row(key, f"status {response.status}")
        row = parse_row(response.read_json())
        if row is None or row.key != key:
            return fail_row(key, "not the row that was asked for")
        return result.Success(row)

    async def read_prefix(
        self, prefix: str
    ) -> result.Result[tuple[data.Row, ...], Any]:
        """Return all rows whose keys start with `prefix`, in the order of keys.

        Returns
        -------
        result.Result
            Failures as for `read`.
        """
        path = "/rows?" + urllib.parse.urlencode({"prefix": prefix})
        outcome = await self.get(path)
        if not isinstance(outcome, result.Success):
            return outcome
        answer = outcome.unwrap().read_json()
        if not isinstance(answer, dict) or not isinstance(answer.get("rows"), list):
            return fail_row(prefix, "not a list of rows")
        rows = tuple(parse_row(item) for item in answer["rows"])
        if None in rows:
            return fail_row(prefix, "a row without key, version or value")
        return result.Success(rows)

    async def commit(
        self, transaction: data.Transaction
    ) -> result.Result[data.Commit, Any]:
        """Apply `transaction` and settle a lost answer by reading back.

        Each written value gets the member `operation_id`. The same transaction is
        sent again only while the rows show that it has not committed
        (`Verdict.PENDING`). A row that is absent has version 0 each time, so a create
        whose answer was lost can reappear if somebody deletes the row while a copy
        is still on its way.

        Returns
        -------
        result.Result
            `Conflict`, `RateExceeded`, `PlatformUnavailable` (nothing was written)
            or `AnswerLost` (not settled; it may still take effect).
        """
        body = encode_transaction(transaction)
        pause = PAUSE
        lost = None
        for _ in range(ATTEMPTS):
            outcome = await self.send(body)
            failure = None if is_success(outcome) else outcome.failure()
            if failure is None or (lost is None and not is_lost(failure)):
                return outcome
            # From here on an earlier copy may have committed, so even a conflict or
            # a refusal of this copy says nothing about the transaction.
            lost = failure if is_lost(failure) else lost
            verdict, settled = await self.settle(transaction, lost)
            if verdict is not Verdict.PENDING:
                return settled
            await self.clock.sleep(pause)
            pause *= 2
        return result.Failure(lost)

    async def send(self, body: bytes) -> result.Result[data.Commit, Any]:
        """Send a transaction once."""
        outcome = await self.call("POST", "/transactions", body)
        if not isinstance(outcome, result.Success):
            return outcome
        response = outcome.unwrap()
        answer = response.read_json()
        if isinstance(answer, dict):
            if response.status == caller.OK and answer.get("committed") is True:
                return result.Success(data.Commit(dict(answer.get("versions", {}))))
            if response.status == caller.CONFLICT:
                keys = tuple(item["key"] for item in answer.get("conflicts", ()))
                return result.Failure(errors.Conflict(keys))
        if caller.OK <= response.status < 300:
            return result.Failure(errors.AnswerLost("table service: answer unclear"))
        return self.fail_status(response.status)

    async def settle(
        self, transaction: data.Transaction, lost: errors.AnswerLost
    ) -> tuple[Verdict, result.Result[data.Commit, Any]]:
        """Read the rows of a transaction and decide what became of it."""
        keys = order_read_back(transaction)
        pause = PAUSE
        for _ in range(READ_BACKS):
            rows = await self.read_rows(keys)
            if rows is not None:
                verdict = judge_rows(transaction, rows)
                return verdict, build_outcome(verdict, transaction, rows, lost)
            await self.clock.sleep(pause)
            pause *= 2
        return Verdict.UNCERTAIN, result.Failure(lost)

    async def read_rows(self, keys: Mapping[str, None]) -> dict[str, data.Row] | None:
        """Return the rows by key, or None if one of them cannot be read."""
        rows = {}
        for key in keys:
            outcome = await self.read(key)
            if not isinstance(outcome, result.Success):
                return None
            rows[key] = outcome.unwrap()
        return rows


def is_success(outcome: result.Result) -> bool:
    """Return whether `outcome` holds a value."""
    return isinstance(outcome, result.Success)


def is_lost(failure: Any) -> bool:
    """Return whether `failure` leaves open if the call took effect."""
    return isinstance(failure, errors.AnswerLost)


def fail_row(key: str, detail: str) -> result.Result:
    """Return the failure for an answer of unexpected form."""
    return result.Failure(errors.RowInvalid(key, detail))


def parse_row(item: Any) -> data.Row | None:
    """Return a row from its JSON form, or None if a member is wrong."""
    if not isinstance(item, dict):
        return None
    key, version, value = (item.get(name) for name in ("key", "version", "value"))
    if not isinstance(key, str) or not isinstance(version, int):
        return None
    return data.Row(key, version, value) if isinstance(value, dict) else None


def add_operation(value: Mapping | None, operation: str) -> dict | None:
    """Return a row's value with the id of the operation that writes it."""
    return None if value is None else {**value, OPERATION_ID: operation}


def encode_transaction(transaction: data.Transaction) -> bytes:
    """Return the JSON form, with the operation id in every written value."""
    operation = transaction.operation_id
    writes = [
        {"key": item.key, "value": add_operation(item.value, operation)}
        for item in transaction.writes
    ]
    checks = [item._asdict() for item in transaction.checks]
    form = {"operation_id": operation, "checks": checks, "writes": writes}
    return json.dumps(form, separators=(",", ":")).encode()


def has_operation(row: data.Row, operation_id: str) -> bool:
    """Return whether the row's value names the operation among its writers."""
    if row.value is None:
        return False
    listed = row.value.get(OPERATIONS)
    return row.value.get(OPERATION_ID) == operation_id or (
        isinstance(listed, list | tuple) and operation_id in listed
    )


def order_read_back(transaction: data.Transaction) -> dict[str, None]:
    """Return the keys of a transaction's rows in the order in which to read them.

    The rows are not read at one moment. Those that it only checks come first: if one
    of them has moved on, the transaction can no longer commit, so that the written
    rows, read later, show whether it did.
    """
    written = dict.fromkeys(item.key for item in transaction.writes)
    checked = (item.key for item in transaction.checks if item.key not in written)
    return {**dict.fromkeys(checked), **written}


def judge_rows(transaction: data.Transaction, rows: Mapping[str, data.Row]) -> Verdict:
    """Decide from the rows' present state what became of a transaction.

    Parameters
    ----------
    transaction : data.Transaction
        Whose answer was lost.
    rows : Mapping
        Row by key, for all keys written and checked, read after the answer was
        lost and in the order of `order_read_back`.
    """
    operation = transaction.operation_id
    puts = [item for item in transaction.writes if item.value is not None]
    if any(has_operation(rows[item.key], operation) for item in puts):
        return Verdict.COMMITTED
    versions = {item.key: item.version for item in transaction.checks}
    if not puts and all(
        rows[item.key].value is None and versions.get(item.key, 0) > 0
        for item in transaction.writes
    ):
        # The rows that had to go are gone, whoever deleted them, and the versions
        # that a late copy of this transaction checks never come back.
        return Verdict.COMMITTED
    held = all(rows[item.key].version == item.version for item in transaction.checks)
    if any(
        is_untouched(item, rows[item.key], versions[item.key])
        for item in transaction.writes
        if item.key in versions
    ):
        return Verdict.PENDING if held else Verdict.REFUTED
    return Verdict.UNCERTAIN


def is_untouched(write: data.Write, row: data.Row, checked: int) -> bool:
    """Return whether a row shows that a transaction has not written it.

    The row is either still at the version that the transaction checks, or at the
    next one without the operation id, which means that somebody else wrote it.
    """
    if row.version == checked:
        return True
    return write.value is not None and row.version == checked + 1


def build_outcome(
    verdict: Verdict,
    transaction: data.Transaction,
    rows: Mapping[str, data.Row],
    lost: errors.AnswerLost,
) -> result.Result[data.Commit, Any]:
    """Return the result of `commit` for a verdict on a lost answer."""
    checks = {item.key: item.version for item in transaction.checks}
    if verdict is Verdict.COMMITTED:
        operation = transaction.operation_id
        versions = {
            item.key: find_written_version(
                item, rows[item.key], checks.get(item.key, 0), operation
            )
            for item in transaction.writes
        }
        return result.Success(data.Commit(versions))
    if verdict is Verdict.REFUTED:
        moved = (key for key, version in checks.items() if rows[key].version != version)
        return result.Failure(errors.Conflict(tuple(moved)))
    return result.Failure(lost)


def find_written_version(
    write: data.Write, row: data.Row, checked: int, operation: str
) -> int:
    """Return the version that a committed transaction gave to a row.

    If somebody else has written the row since, the result is lower than the row's
    present version, so that a check of it fails.
    """
    if write.value is None:
        return 0
    if row.value is not None and row.value.get(OPERATION_ID) == operation:
        return row.version
    return checked + 1
