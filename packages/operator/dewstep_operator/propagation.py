"""Waiting until a configuration revision is in force in all entry processes."""

import asyncio
import datetime
from collections.abc import Mapping

from returns import result

from dewstep_operator import (
    entries,
    failures,
    fleet,
    sessions,
)

POLL_INTERVAL = datetime.timedelta(milliseconds=250)


async def wait_until_in_force(
    session: sessions.Session, revision: int, limit: datetime.timedelta
) -> result.Result[None, failures.Failure]:
    """Wait until every known entry process has `revision` or a later one in force.

    The only failure is `NotFinished`, after `limit`. If the table cannot be read in the
    meantime, waiting continues, because the revision has been written already. Entry
    processes that do not confirm the revision are assumed not to have it in force.
    """
    start = session.clock.monotonic()
    while True:
        revisions = await read_revisions(session)
        if isinstance(revisions, result.Failure):
            session.output.show_progress(failures.describe_failure(revisions.failure()))
        known_revisions = revisions.value_or({})
        pending = tuple(
            name
            for name, found in known_revisions.items()
            if found is None or found < revision
        )
        session.output.show_progress(
            f"revision {revision}: in force in "
            f"{len(known_revisions) - len(pending)} of {len(known_revisions)} "
            "entry processes"
        )
        if known_revisions and not pending:
            return result.Success(None)
        if session.clock.monotonic() - start >= limit:
            return result.Failure(failures.NotFinished(limit, pending))
        await session.clock.sleep(POLL_INTERVAL)


async def read_revisions(
    session: sessions.Session,
) -> result.Result[Mapping[str, int | None], failures.Failure]:
    """Return the revision in force in each entry process, None if it is unknown.

    Entry processes that do not answer and that their peers consider dead are left out,
    because they serve no requests.
    """
    found = await fleet.find_entries(session)
    if isinstance(found, result.Failure):
        return found
    known = found.unwrap()
    dumps = await asyncio.gather(
        *(entries.read_dump(session.entry_client, entry) for entry in known.values())
    )
    known_revisions = {}
    for (name, entry), dump in zip(known.items(), dumps, strict=True):
        if isinstance(dump, result.Success):
            known_revisions[name] = fleet.get_revision(dump.unwrap())
        elif entry.alive is not False:
            known_revisions[name] = None
    return result.Success(known_revisions)
