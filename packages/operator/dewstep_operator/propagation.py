"""Waiting until all entry processes have a revision in force."""

import asyncio
import datetime
from collections.abc import Mapping

from returns import result

from dewstep_operator import (
    entries,
    failures,
    fleet,
    session as sessions,
)

POLL_INTERVAL = datetime.timedelta(milliseconds=250)


async def wait_in_force(
    session: sessions.Session, revision: int, limit: datetime.timedelta
) -> result.Result[None, failures.Failure]:
    """Wait until every known entry process has `revision` or a later one.

    Fails only with `NotFinished`, after `limit`. The revision is written by then, so a
    table that cannot be read meanwhile does not end the wait with its own failure,
    and what nobody confirms is not in force.
    """
    start = session.clock.monotonic()
    while True:
        revisions = await read_revisions(session)
        if isinstance(revisions, result.Failure):
            session.output.show_progress(failures.describe_failure(revisions.failure()))
        held = revisions.value_or({})
        behind = tuple(
            name for name, found in held.items() if found is None or found < revision
        )
        session.output.show_progress(
            f"revision {revision}: in force in {len(held) - len(behind)} of "
            f"{len(held)} entry processes"
        )
        if held and not behind:
            return result.Success(None)
        if session.clock.monotonic() - start >= limit:
            return result.Failure(failures.NotFinished(limit, behind))
        await session.clock.sleep(POLL_INTERVAL)


async def read_revisions(
    session: sessions.Session,
) -> result.Result[Mapping[str, int | None], failures.Failure]:
    """Return the revision in force in each entry process, None if not known.

    Entry processes that their peers hold for dead and that do not answer are left
    out: they serve nobody.
    """
    found = await fleet.find_entries(session)
    if isinstance(found, result.Failure):
        return found
    known = found.unwrap()
    dumps = await asyncio.gather(
        *(entries.read_dump(session.entry_client, entry) for entry in known.values())
    )
    held = {}
    for (name, entry), dump in zip(known.items(), dumps, strict=True):
        if isinstance(dump, result.Success):
            held[name] = fleet.get_revision(dump.unwrap())
        elif entry.alive is not False:
            held[name] = None
    return result.Success(held)
