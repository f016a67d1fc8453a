"""Reading of the row `configuration` and writing of its next revision.

A write is a transaction that checks the version of the row that was read. If two
operators start from the same revision, only one transaction commits. The other
operator's command reads the row back and reports the revision that was written first.
If an answer is lost, the row is read back as well: it lists the ids of the most recent
operations.
"""

import datetime
from typing import NamedTuple

from returns import result

from dewstep_core import data, errors, fields, records
from dewstep_operator import failures, rows, sessions

MAXIMUM_COMMIT_ATTEMPTS = 5
RETRY_DELAY_STEP = datetime.timedelta(milliseconds=200)
"""Amount by which the delay before a retry increases with each attempt."""
EMPTY_CONFIGURATION = data.Configuration(0, {}, {})


class CurrentConfiguration(NamedTuple):
    """The configuration in the table."""

    version: int
    """Version of the row in the table service; 0 if it is absent."""
    configuration: data.Configuration
    origin: records.Origin


def decode_current(row: data.Row) -> CurrentConfiguration:
    """Decode the configuration in `row`.

    Raises
    ------
    ValueError
        If the configuration has a problem.
    """
    if row.value is None:
        return CurrentConfiguration(row.version, EMPTY_CONFIGURATION, records.NO_ORIGIN)
    decoded = records.decode_configuration(row.value)
    if isinstance(decoded, result.Failure):
        problems = "; ".join(
            fields.describe_problem(item) for item in decoded.failure()
        )
        raise ValueError(problems)
    return CurrentConfiguration(
        row.version, decoded.unwrap(), records.decode_origin(row.value)
    )


async def read_current(
    session: sessions.Session,
) -> result.Result[CurrentConfiguration, failures.Failure]:
    """Return the configuration in the table, or an empty one if none was applied."""
    outcome = rows.convert_lost_read(await session.table.read(records.ROW_KEY))
    return outcome.bind(lambda row: rows.decode_row(row, decode_current))


async def write_next_revision(
    session: sessions.Session,
    current: CurrentConfiguration,
    configuration: data.Configuration,
    checks: tuple[data.Check, ...] = (),
) -> result.Result[int, failures.Failure]:
    """Write `configuration` as the revision after `current`.

    Parameters
    ----------
    session : Session
        Provides the table, the author and the operation id.
    current : CurrentConfiguration
        The configuration from which the new one was derived.
    configuration : data.Configuration
        New configuration; its revision is replaced.
    checks : tuple of data.Check
        Versions of other rows that the write depends on.

    Returns
    -------
    Result
        The revision, or `LostRace`, `Conflict` (of `checks`), a failure of the
        platform, or `AnswerLost` if the outcome is unknown.
    """
    revision = current.configuration.revision + 1
    operation_id = session.make_operation_id()
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
    """Send `transaction` until its outcome is known or the maximum of attempts is made.

    The transaction can be sent again, since it checks the version of the row that it
    writes and so takes effect at most once. After an answer was lost, a refusal of a
    later attempt does not determine the outcome of the earlier one; only the row does.
    """
    lost: errors.AnswerLost | None = None
    failure: failures.Failure = None
    for attempt in range(MAXIMUM_COMMIT_ATTEMPTS):
        if attempt:
            await session.clock.sleep(RETRY_DELAY_STEP * attempt)
        outcome = await session.table.commit(transaction)
        if isinstance(outcome, result.Success):
            return result.Success(None)
        failure = outcome.failure()
        if isinstance(failure, errors.AnswerLost):
            lost = failure
        if lost is not None or isinstance(failure, errors.Conflict):
            settled = await determine_commit_outcome(
                session, transaction, version, failure
            )
            if settled is not None:
                return settled
        elif not isinstance(failure, errors.RateExceeded):
            return outcome
    return result.Failure(lost if lost is not None else failure)


async def determine_commit_outcome(
    session: sessions.Session,
    transaction: data.Transaction,
    version: int,
    failure: failures.Failure,
) -> result.Result[None, failures.Failure] | None:
    """Return the outcome according to the row, or None if it is still undetermined."""
    outcome = rows.convert_lost_read(await session.table.read(records.ROW_KEY))
    if isinstance(outcome, result.Failure):
        # `commit` retries. If no read succeeds, the outcome remains unknown.
        return None
    row = outcome.unwrap()
    origin = records.decode_origin(row.value)
    if transaction.operation_id in origin.operations:
        return result.Success(None)
    if row.version == version:
        is_conflict = isinstance(failure, errors.Conflict)
        return result.Failure(failure) if is_conflict else None
    if row.value is not None and not origin.operations:
        # The format of the row is invalid, so the operations are unknown.
        return result.Failure(
            errors.AnswerLost(f"row {records.ROW_KEY} lists no operations")
        )
    revision = (row.value or {}).get("revision", 0)
    return result.Failure(failures.LostRace(revision, origin.author, origin.time))
