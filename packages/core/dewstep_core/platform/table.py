"""Client of the platform's table service.

A transaction whose answer was lost may have committed, may still be delivered, or may
never be delivered. `commit` then reads the rows back and decides with `judge_rows`,
which depends on two properties of the service: each write increases the version of a
row by one, and a version is never reused.
"""

import datetime
import enum
import json
import urllib.parse
from collections.abc import Mapping
from typing import Any

from returns import result

from dewstep_core import clocks, data, errors, settings, value_checks
from dewstep_core.platform import base_client

MAXIMUM_SEND_ATTEMPTS = 4
"""Maximum number of times that a transaction is sent."""
MAXIMUM_READ_BACKS = 4
"""Maximum number of times that the rows are read back after one lost answer."""
INITIAL_RETRY_DELAY = datetime.timedelta(milliseconds=50)
"""Delay before the first retry of reading back or sending; doubled for each further
one."""
CALL_TIMEOUT = datetime.timedelta(milliseconds=500)
OPERATION_ID = "operation_id"
OPERATIONS = "operations"


class Verdict(enum.Enum):
    """Outcome of a transaction whose answer was lost, as determined from its rows."""

    COMMITTED = "committed"
    REFUTED = "refuted"
    """It did not commit and never will: a row that it checks has another version."""
    PENDING = "pending"
    """It has not committed, and its checks still hold.

    It can be sent again: it checks the version of a row that it writes, so at most one
    copy can take effect.
    """
    UNCERTAIN = "uncertain"


class TableClient(base_client.PlatformClient):
    """Reads rows and commits transactions; implements the protocol `TableClient`.

    Parameters
    ----------
    addresses, entry, data_centre
        As for `base_client.PlatformClient`.
    retry_clock : clocks.Clock, optional
        Clock for the delays between retries.
    timeout : datetime.timedelta, optional
        Time-out of one call to one address.
    """

    def __init__(
        self,
        addresses: tuple[settings.Address, ...],
        entry: str,
        data_centre: str,
        retry_clock: clocks.Clock | None = None,
        timeout: datetime.timedelta = CALL_TIMEOUT,
    ):
        super().__init__("table service", addresses, entry, data_centre, timeout)
        self.retry_clock = retry_clock or clocks.SystemClock()

    async def read(self, key: str) -> result.Result[data.Row, Any]:
        """Return the row; version 0 and value None if it is absent.

        Returns
        -------
        result.Result
            `RateExceeded`, `PlatformUnavailable`, `AnswerLost`, or `RowInvalid` if
            the answer does not have the documented format.
        """
        path = "/rows/" + urllib.parse.quote(key, safe="/")
        outcome = await self.get(path)
        if not isinstance(outcome, result.Success):
            return outcome
        response = outcome.unwrap()
        if response.status == base_client.NOT_FOUND:
            return result.Success(data.Row(key, 0, None))
        if response.status != base_client.OK:
            return build_row_failure(key, f"status {response.status}")
        row = parse_row(response.read_json())
        if row is None or row.key != key:
            return build_row_failure(key, "answer is not the requested row")
        return result.Success(row)

    async def read_prefix(
        self, prefix: str
    ) -> result.Result[tuple[data.Row, ...], Any]:
        """Return all rows whose keys start with `prefix`, ordered by key.

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
            return build_row_failure(prefix, "answer has no list of rows")
        rows = tuple(parse_row(item) for item in answer["rows"])
        if None in rows:
            return build_row_failure(prefix, "a row without key, version or value")
        return result.Success(rows)

    async def commit(
        self, transaction: data.Transaction
    ) -> result.Result[data.Commit, Any]:
        """Apply `transaction`; if its answer is lost, determine the outcome.

        The member `operation_id` is added to each written value. The transaction is
        sent again only while the rows show that it has not committed
        (`Verdict.PENDING`). Since an absent row always has version 0, a delayed copy of
        a transaction that creates a row can create it again after another client has
        deleted it.

        Returns
        -------
        result.Result
            `Conflict`, `RateExceeded`, `PlatformUnavailable` (nothing was written)
            or `AnswerLost` (outcome unknown; it may still take effect).
        """
        body = encode_transaction(transaction)
        retry_delay = INITIAL_RETRY_DELAY
        lost = None
        for _ in range(MAXIMUM_SEND_ATTEMPTS):
            outcome = await self.send(body)
            failure = None if is_success(outcome) else outcome.failure()
            if failure is None or (lost is None and not is_lost(failure)):
                return outcome
            # An earlier copy may have committed, so a conflict or a refusal of this
            # copy does not determine the outcome of the transaction.
            lost = failure if is_lost(failure) else lost
            verdict, settled = await self.determine_outcome(transaction, lost)
            if verdict is not Verdict.PENDING:
                return settled
            await self.retry_clock.sleep(retry_delay)
            retry_delay *= 2
        return result.Failure(lost)

    async def send(self, body: bytes) -> result.Result[data.Commit, Any]:
        """Send a transaction once."""
        outcome = await self.call("POST", "/transactions", body)
        if not isinstance(outcome, result.Success):
            return outcome
        response = outcome.unwrap()
        answer = response.read_json()
        if isinstance(answer, dict):
            versions = answer.get("versions", {})
            if (
                response.status == base_client.OK
                and answer.get("committed") is True
                and isinstance(versions, dict)
                and all(map(is_version, versions.values()))
            ):
                return result.Success(data.Commit(versions))
            if response.status == base_client.CONFLICT:
                return result.Failure(errors.Conflict(list_conflicts(answer)))
        if base_client.OK <= response.status < 300:
            return result.Failure(
                errors.AnswerLost(
                    f"table service: status {response.status} without a commit result"
                )
            )
        return self.build_refusal(response.status)

    async def determine_outcome(
        self, transaction: data.Transaction, lost: errors.AnswerLost
    ) -> tuple[Verdict, result.Result[data.Commit, Any]]:
        """Read the rows of a transaction and determine its outcome."""
        keys = list_keys_to_read_back(transaction)
        retry_delay = INITIAL_RETRY_DELAY
        for _ in range(MAXIMUM_READ_BACKS):
            rows = await self.read_rows(keys)
            if rows is not None:
                verdict = judge_rows(transaction, rows)
                return verdict, build_commit_result(verdict, transaction, rows, lost)
            await self.retry_clock.sleep(retry_delay)
            retry_delay *= 2
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
    """Return whether the call with this failure may have taken effect."""
    return isinstance(failure, errors.AnswerLost)


def build_row_failure(key: str, detail: str) -> result.Result:
    """Return the failure for an answer of unexpected format."""
    return result.Failure(errors.RowInvalid(key, detail))


def parse_row(item: Any) -> data.Row | None:
    """Parse the JSON object of a row; return None if a member is invalid."""
    if not isinstance(item, dict):
        return None
    key, version, value = (item.get(name) for name in ("key", "version", "value"))
    if not value_checks.is_text(key) or not is_version(version):
        return None
    return data.Row(key, version, value) if isinstance(value, dict) else None


def is_version(version: Any) -> bool:
    """Whether a value is the version of a row."""
    return value_checks.is_integer(version, 0, value_checks.MAX_INT64)


def list_conflicts(answer: Mapping) -> tuple[str, ...]:
    """Return the keys that an answer names as the cause of a conflict."""
    items = answer.get("conflicts")
    if not isinstance(items, list):
        return ()
    keys = (item.get("key") for item in items if isinstance(item, dict))
    return tuple(key for key in keys if isinstance(key, str))


def add_operation_id(value: Mapping | None, operation: str) -> dict | None:
    """Return a row's value with the id of the operation added, or None if deleted."""
    return None if value is None else {**value, OPERATION_ID: operation}


def encode_transaction(transaction: data.Transaction) -> bytes:
    """Return the request body, with the operation id in every written value."""
    operation = transaction.operation_id
    writes = [
        {"key": item.key, "value": add_operation_id(item.value, operation)}
        for item in transaction.writes
    ]
    checks = [item._asdict() for item in transaction.checks]
    content = {"operation_id": operation, "checks": checks, "writes": writes}
    return json.dumps(content, separators=(",", ":")).encode()


def has_operation(row: data.Row, operation_id: str) -> bool:
    """Return whether the row's value lists the operation as one of its writers."""
    if row.value is None:
        return False
    listed = row.value.get(OPERATIONS)
    return row.value.get(OPERATION_ID) == operation_id or (
        isinstance(listed, list | tuple) and operation_id in listed
    )


def list_keys_to_read_back(transaction: data.Transaction) -> dict[str, None]:
    """Return the keys of a transaction's rows in the order in which to read them.

    The rows are not read atomically. Rows that are only checked come first: if one of
    them has another version, the transaction can no longer commit, and the written
    rows, which are read later, show whether it did.
    """
    written = dict.fromkeys(item.key for item in transaction.writes)
    checked = (item.key for item in transaction.checks if item.key not in written)
    return {**dict.fromkeys(checked), **written}


def judge_rows(transaction: data.Transaction, rows: Mapping[str, data.Row]) -> Verdict:
    """Determine the outcome of a transaction from the rows read back.

    Parameters
    ----------
    transaction : data.Transaction
        Transaction whose answer was lost.
    rows : Mapping
        Rows by key, for all keys written and checked, read after the answer was lost
        and in the order of `list_keys_to_read_back`.
    """
    operation = transaction.operation_id
    value_writes = [item for item in transaction.writes if item.value is not None]
    if any(has_operation(rows[item.key], operation) for item in value_writes):
        return Verdict.COMMITTED
    checked_versions = {item.key: item.version for item in transaction.checks}
    if not value_writes and all(
        rows[item.key].value is None and checked_versions.get(item.key, 0) > 0
        for item in transaction.writes
    ):
        # All rows to delete are absent, whoever deleted them, and a delayed copy has no
        # effect because the versions that it checks are never reused.
        return Verdict.COMMITTED
    checks_hold = all(
        rows[item.key].version == item.version for item in transaction.checks
    )
    if any(
        shows_no_write(item, rows[item.key], checked_versions[item.key])
        for item in transaction.writes
        if item.key in checked_versions
    ):
        return Verdict.PENDING if checks_hold else Verdict.REFUTED
    return Verdict.UNCERTAIN


def shows_no_write(write: data.Write, row: data.Row, checked_version: int) -> bool:
    """Return whether a row shows that a transaction has not written it.

    The row either still has the version that the transaction checks, or it has the next
    one without the operation id, because another writer wrote it.
    """
    if row.version == checked_version:
        return True
    return write.value is not None and row.version == checked_version + 1


def build_commit_result(
    verdict: Verdict,
    transaction: data.Transaction,
    rows: Mapping[str, data.Row],
    lost: errors.AnswerLost,
) -> result.Result[data.Commit, Any]:
    """Return the result of `commit` for the verdict on a lost answer."""
    checked_versions = {item.key: item.version for item in transaction.checks}
    if verdict is Verdict.COMMITTED:
        operation = transaction.operation_id
        versions = {
            item.key: find_written_version(
                item, rows[item.key], checked_versions.get(item.key, 0), operation
            )
            for item in transaction.writes
        }
        return result.Success(data.Commit(versions))
    if verdict is Verdict.REFUTED:
        changed_keys = (
            key
            for key, version in checked_versions.items()
            if rows[key].version != version
        )
        return result.Failure(errors.Conflict(tuple(changed_keys)))
    return result.Failure(lost)


def find_written_version(
    write: data.Write, row: data.Row, checked_version: int, operation: str
) -> int:
    """Return the version that a committed transaction gave to a row.

    If another writer has written the row since, the result is lower than the row's
    present version, so a check of it fails.
    """
    if write.value is None:
        return 0
    if row.value is not None and row.value.get(OPERATION_ID) == operation:
        return row.version
    return checked_version + 1
