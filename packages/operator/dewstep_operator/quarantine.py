"""The commands `quarantine list` and `quarantine release`."""

from returns import result

from dewstep_core import data
from dewstep_operator import failures, listings, output, rows, sessions


async def list_quarantined(
    session: sessions.Session, service: str | None
) -> result.Result[output.Report, failures.Failure]:
    """List the quarantined requests of one service or of all."""
    prefix = rows.QUARANTINE_PREFIX + (f"{service}/" if service else "")
    read = await rows.read_rows(session.table, prefix, rows.decode_quarantine)
    columns = ("service", "fingerprint", "crashes", "state")
    return read.map(
        lambda items: listings.build_report(
            "Quarantined requests", columns, [tuple(item)[:4] for item in items]
        )
    )


async def release(
    session: sessions.Session, service: str, fingerprint: str
) -> result.Result[output.Report, failures.Failure]:
    """Delete the row of a quarantined request, so that the request may run again."""
    key = f"{rows.QUARANTINE_PREFIX}{service}/{fingerprint}"
    read = await rows.read_row(session.table, key, rows.decode_quarantine)
    if isinstance(read, result.Failure):
        return read
    item = read.unwrap()
    if item is None:
        return result.Failure(
            failures.NameUnknown(f"quarantined request of {service}", fingerprint)
        )
    transaction = data.Transaction(
        session.make_operation_id(),
        (data.Check(key, item.version),),
        (data.Write(key, None),),
    )
    outcome = await session.table.commit(transaction)
    return outcome.map(
        lambda _: output.Report(
            item,
            (f"request {fingerprint} of service {service} is released",),
        )
    )
