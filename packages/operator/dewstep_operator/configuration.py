"""The row `configuration`: reading it and writing its next revision.

A write is one transaction that checks the version that was read, so that of two
operators who started from the same revision one wins. The other reads the row back
and is told which revision it lost to. A lost answer is settled in the same way: the
row lists the ids of the most recent operations.
"""

import datetime
from typing import NamedTuple

from returns import result

from dewstep_core import data, errors, fields, records
from dewstep_operator import failures, rows, session as sessions

ATTEMPTS = 5
RETRY_INTERVAL = datetime.timedelta(milliseconds=200)
EMPTY = data.Configuration(0, {}, {})


class Current(NamedTuple):
    """The configuration in the table."""

    version: int
    """Version of the row in the table service; 0 if it is absent."""
    configuration: data.Configuration
    origin: records.Origin


def build_current(row: data.Row) -> Current:
    """Return the configuration in `row`."""
    if row.value is None:
        return Current(row.version, EMPTY, records.NO_ORIGIN)
    decoded = records.decode_configuration(row.value)
    if isinstance(decoded, result.Failure):
        found = "; ".join(fields.describe_problem(item) for item in decoded.failure())
        raise ValueError(found)
    return Current(row.version, decoded.unwrap(), records.decode_origin(row.value))


async def read_current(
    session: sessions.Session,
) -> result.Result[Current, failures.Failure]:
    """Return the configuration in the table, which is empty before the first one."""
    outcome = rows.settle_read(await session.table.read(records.ROW_KEY))
    return outcome.bind(lambda row: rows.decode(row, build_current))


async def write_next(
    session: sessions.Session,
    current: Current,
    configuration: data.Configuration,
    checks: tuple[data.Check, ...] = (),
) -> result.Result[int, failures.Failure]:
    """Write `configuration` as the revision after `current`.

    Parameters
    ----------
    session : Session
        Gives the table, the author and the operation id.
    current : Current
        What the configuration was derived from.
    configuration : data.Configuration
        Its revision is replaced.
    checks : tuple of data.Check
        Versions of other rows that the write depends on.

    Returns
    -------
    Result
        The revision, or `LostRace`, `Conflict` (of `checks`), a failure of the
        platform, or `AnswerLost` if the outcome is not known.
    """
    revision = current.configuration.revision + 1
    operation_id = session.make_id()
    origin = records.Origin(
        (*current.origin.operations, operation_id),
        session.author,
        session.clock.now().isoformat(timespec="seconds"),
    )
    value = records.encode_configuration(
        configuration._replace(revision=revision), origin
    )
    transaction = data.Transaction(
        operation_id,
        (data.Check(records.ROW_KEY, current.version), *checks),
        (
            data.Write(records.ROW_KEY, value),
            data.Write(records.REVISION_KEY, {"revision": value["revision"]}),
        ),
    )
    settled = await commit(session, transaction, current.version)
    return settled.map(lambda _: revision)


async def commit(
    session: sessions.Session, transaction: data.Transaction, version: int
) -> result.Result[None, failures.Failure]:
    """Send `transaction` until its outcome is known or the attempts are used up.

    Sending it again is safe: the check of the row that it writes lets it take effect
    at most once. Once an answer was lost, a later refusal says nothing about the
    first attempt, so only the row itself ends the doubt.
    """
    lost: errors.AnswerLost | None = None
    failure: failures.Failure = None
    for attempt in range(ATTEMPTS):
        if attempt:
            await session.clock.sleep(RETRY_INTERVAL * attempt)
        outcome = await session.table.commit(transaction)
        if isinstance(outcome, result.Success):
            return result.Success(None)
        failure = outcome.failure()
        if isinstance(failure, errors.AnswerLost):
            lost = failure
        if lost is not None or isinstance(failure, errors.Conflict):
            settled = await read_back(session, transaction, version, failure)
            if settled is not None:
                return settled
        elif not isinstance(failure, errors.RateExceeded):
            return outcome
    return result.Failure(lost if lost is not None else failure)


async def read_back(
    session: sessions.Session,
    transaction: data.Transaction,
    version: int,
    failure: failures.Failure,
) -> result.Result[None, failures.Failure] | None:
    """Return what the row says of `transaction`, or None if it may still commit."""
    outcome = rows.settle_read(await session.table.read(records.ROW_KEY))
    if isinstance(outcome, result.Failure):
        # The caller tries again; without any answer the outcome stays unknown.
        return None
    row = outcome.unwrap()
    origin = records.decode_origin(row.value)
    if transaction.operation_id in origin.operations:
        return result.Success(None)
    if row.version == version:
        is_conflict = isinstance(failure, errors.Conflict)
        return result.Failure(failure) if is_conflict else None
    if row.value is not None and not origin.operations:
        # The row has a form that does not tell whose operations it contains.
        return result.Failure(errors.AnswerLost("the row cannot be read back"))
    revision = (row.value or {}).get("revision", 0)
    return result.Failure(failures.LostRace(revision, origin.author, origin.time))
