"""The command `drain`, which has the keys of a target moved to other targets."""

import datetime

from returns import result

from dewstep_core import data
from dewstep_operator import (
    configuration as configurations,
    failures,
    fleet,
    output,
    rows,
    sessions,
)

POLL_INTERVAL = datetime.timedelta(milliseconds=500)


async def drain_target(
    session: sessions.Session,
    name: str,
    undo: bool = False,
    wait_limit: datetime.timedelta = datetime.timedelta(),
) -> result.Result[output.Report, failures.Failure]:
    """Set or clear `draining` of a target, and wait until a draining target is empty.

    Parameters
    ----------
    session : Session
        Session of the command.
    name : str
        Name of the target.
    undo : bool
        Clear `draining`, without waiting.
    wait_limit : datetime.timedelta
        Maximum time to wait; the command does not wait if it is zero.
    """
    read = await configurations.read_current(session)
    if isinstance(read, result.Failure):
        return read
    current = read.unwrap()
    target = current.configuration.targets.get(name)
    if target is None:
        return result.Failure(failures.NameUnknown("target", name))
    written = await set_draining(session, current, target, not undo)
    if isinstance(written, result.Failure):
        return written
    revision = written.unwrap()
    document = {"target": name, "draining": not undo, "revision": revision}
    state = "takes new work again" if undo else "is draining"
    line = f"target {name} {state} as of revision {revision}"
    if undo or not wait_limit:
        return result.Success(output.Report(document, (line,)))
    waited = await wait_until_empty(session, target, wait_limit)
    return waited.map(
        lambda _: output.Report(
            {**document, "empty": True},
            (line, f"target {name} owns nothing and runs nothing"),
        )
    )


async def set_draining(
    session: sessions.Session,
    current: configurations.CurrentConfiguration,
    target: data.Target,
    draining: bool,
) -> result.Result[int, failures.Failure]:
    """Set `draining` of a target if it differs, and return the revision in force."""
    configuration = current.configuration
    if target.draining == draining:
        return result.Success(configuration.revision)
    changed = target._replace(draining=draining)
    targets = {**configuration.targets, target.name: changed}
    return await configurations.write_next_revision(
        session, current, configuration._replace(targets=targets)
    )


async def wait_until_empty(
    session: sessions.Session, target: data.Target, limit: datetime.timedelta
) -> result.Result[None, failures.Failure]:
    """Wait until `target` owns no keys and, according to its gate, runs no requests."""
    start = session.clock.monotonic()
    while True:
        read = await fleet.read_fleet(session)
        if isinstance(read, result.Success):
            is_empty, text = await describe_remaining(session, read.unwrap(), target)
        else:
            # The drain is in force even if its progress cannot be read.
            is_empty, text = False, failures.describe_failure(read.failure())
        session.output.show_progress(f"target {target.name}: {text}")
        if is_empty:
            return result.Success(None)
        if session.clock.monotonic() - start >= limit:
            return result.Failure(failures.NotFinished(limit, (text,)))
        await session.clock.sleep(POLL_INTERVAL)


async def describe_remaining(
    session: sessions.Session, fleet_state: fleet.Fleet, target: data.Target
) -> tuple[bool, str]:
    """Return whether `target` is empty, and a text on what it still owns and runs."""
    owned = rows.count_owned(fleet_state.assignments.get(target.service), target.name)
    running = await read_running(session, fleet_state, target.name)
    text = (
        f"{owned.shards} shards, {owned.keys} single keys, "
        f"{'an unknown number of' if running is None else running} requests running"
    )
    return not any(owned) and running == 0, text


async def read_running(
    session: sessions.Session, fleet_state: fleet.Fleet, target: str
) -> int | None:
    """Return how many requests run on `target`, or None if that is unknown.

    Without a gate row, no request can have been sent to the target.
    """
    if target not in fleet_state.gates:
        return 0
    state = await fleet.read_gate_state(session, fleet_state.gates, target)
    return (
        None
        if isinstance(state, result.Failure)
        else fleet.get_running_count(state.unwrap())
    )
