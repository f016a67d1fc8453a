"""The commands for the configuration: `check`, `diff`, `apply` and `show`."""

import datetime
from collections.abc import Iterable
from typing import Any

from returns import result

from dewstep_core import data, record_changes, records
from dewstep_operator import (
    configuration as configurations,
    failures,
    output,
    propagation,
    rows,
    sessions,
)

ReportResult = result.Result[output.Report, Any]


def check_files(files: Iterable[str]) -> ReportResult:
    """Report that the records in `files` are valid, or all their problems."""
    return records.parse_files(files).map(
        lambda parsed: output.Report(
            {"services": len(parsed.services), "targets": len(parsed.targets)},
            (f"{len(parsed.services)} services, {len(parsed.targets)} targets: right",),
        )
    )


def keep_draining(
    parsed: data.Configuration, current: data.Configuration
) -> data.Configuration:
    """Return `parsed` with `draining` kept for targets whose records do not state it.

    Otherwise applying files without `draining` would end a drain, and requests would be
    sent to a target that an operator is about to stop.
    """
    names_without_draining = {
        raw["name"] for raw in parsed.records.get("target", ()) if "draining" not in raw
    }
    targets = {
        name: target._replace(draining=True)
        if name in names_without_draining
        and name in current.targets
        and current.targets[name].draining
        else target
        for name, target in parsed.targets.items()
    }
    return parsed._replace(targets=targets)


def check_shard_counts(
    before: data.Configuration, after: data.Configuration
) -> tuple[failures.ShardCountFixed, ...]:
    """Return a failure for each service whose number of shards differs."""
    return tuple(
        failures.ShardCountFixed(
            name, before.services[name].shard_count, service.shard_count
        )
        for name, service in after.services.items()
        if name in before.services
        and before.services[name].shard_count != service.shard_count
    )


async def check_removals(
    session: sessions.Session, before: data.Configuration, after: data.Configuration
) -> result.Result[tuple[data.Check, ...], Any]:
    """Return checks of the assignments in which removed targets own nothing.

    The checks prevent the commit if keys are moved to a removed target meanwhile.
    """
    removed = [
        target
        for name, target in before.targets.items()
        if name not in after.targets or after.targets[name].service != target.service
    ]
    if not removed:
        return result.Success(())
    read = await rows.read_assignments(session.table)
    if isinstance(read, result.Failure):
        return read
    assignments = read.unwrap()
    owning = []
    for target in removed:
        owned = rows.count_owned(assignments.get(target.service), target.name)
        if any(owned):
            owning.append(failures.TargetOwnsKeys(target.name, *owned))
    if owning:
        return result.Failure(tuple(owning))
    versions = {
        target.service: assignments[target.service].version
        for target in removed
        if target.service in assignments
    }
    return result.Success(
        tuple(
            data.Check(rows.ASSIGNMENT_PREFIX + service, version)
            for service, version in versions.items()
        )
    )


def report_changes(
    revision: int, changes: tuple[record_changes.Change, ...], line: str
) -> output.Report:
    """Return the report that lists `changes`."""
    table = output.Table(
        "Changes",
        ("change", "record", "name", "field", "before", "after"),
        tuple(
            (
                type(change).__name__.lower(),
                change.record,
                change.name,
                *(getattr(change, name, None) for name in ("field", "before", "after")),
            )
            for change in changes
        ),
    )
    document = {
        "revision": revision,
        "changes": [
            {"change": type(change).__name__.lower(), **change._asdict()}
            for change in changes
        ],
    }
    return output.Report(document, (line,), (table,) if changes else ())


async def show_difference(
    session: sessions.Session, files: Iterable[str]
) -> ReportResult:
    """Report what applying `files` would change."""
    parsed = records.parse_files(files)
    if isinstance(parsed, result.Failure):
        return parsed
    read = await configurations.read_current(session)
    if isinstance(read, result.Failure):
        return read
    current = read.unwrap().configuration
    wanted = keep_draining(parsed.unwrap(), current)
    changes = record_changes.compare_configurations(current, wanted)
    line = f"{len(changes)} changes against revision {current.revision}"
    return result.Success(report_changes(current.revision, changes, line))


async def apply_files(
    session: sessions.Session,
    files: Iterable[str],
    expected_revision: int | None = None,
    wait_limit: datetime.timedelta | None = None,
) -> ReportResult:
    """Replace all records of the configuration by those in `files`.

    Parameters
    ----------
    session : Session
        Session of the command.
    files : iterable of str
        Files with all records.
    expected_revision : int, optional
        Refuse unless this revision is in the table.
    wait_limit : datetime.timedelta, optional
        Maximum time to wait until all entry processes have the revision in force; by
        default the command does not wait.
    """
    parsed = records.parse_files(files)
    if isinstance(parsed, result.Failure):
        return parsed
    read = await configurations.read_current(session)
    if isinstance(read, result.Failure):
        return read
    current = read.unwrap()
    before = current.configuration
    if expected_revision is not None and before.revision != expected_revision:
        return result.Failure(
            failures.LostRace(
                before.revision, current.origin.author, current.origin.time
            )
        )
    wanted = keep_draining(parsed.unwrap(), before)
    written = await write_if_changed(session, current, wanted)
    if isinstance(written, result.Failure):
        return written
    revision = written.unwrap()
    if wait_limit is not None:
        waited = await propagation.wait_until_in_force(session, revision, wait_limit)
        if isinstance(waited, result.Failure):
            return waited
    changes = record_changes.compare_configurations(before, wanted)
    state = "unchanged" if revision == before.revision else "applied"
    line = f"revision {revision} {state}, {len(changes)} changes"
    return result.Success(report_changes(revision, changes, line))


async def write_if_changed(
    session: sessions.Session,
    current: configurations.CurrentConfiguration,
    wanted: data.Configuration,
) -> result.Result[int, Any]:
    """Write `wanted` if it differs from `current`, and return the revision in force."""
    before = current.configuration
    if records.encode_records(wanted, "service") == records.encode_records(
        before, "service"
    ) and records.encode_records(wanted, "target") == records.encode_records(
        before, "target"
    ):
        return result.Success(before.revision)
    counts = check_shard_counts(before, wanted)
    if counts:
        return result.Failure(counts)
    checks = await check_removals(session, before, wanted)
    if isinstance(checks, result.Failure):
        return checks
    return await configurations.write_next_revision(
        session, current, wanted, checks.unwrap()
    )


async def show_configuration(session: sessions.Session) -> ReportResult:
    """Report the configuration in the table with its author and records."""
    read = await configurations.read_current(session)
    if isinstance(read, result.Failure):
        return read
    current = read.unwrap()
    stored = current.configuration
    if not current.version:
        return result.Failure(failures.NoConfiguration())
    origin = current.origin
    document = records.encode_configuration(stored, origin)
    line = (
        f"revision {stored.revision}, applied by {origin.author} at {origin.time}: "
        f"{len(stored.services)} services, {len(stored.targets)} targets"
    )
    kinds = output.Table(
        "Kinds",
        ("service", "schema", "kind", "method", "path", "idempotent", "weight",
         "deadline", "deduplication"),
        tuple(
            (service.name, service.schema, kind.name, kind.method, kind.path,
             kind.idempotent, kind.weight, kind.deadline, kind.deduplication)
            for service in stored.services.values()
            for kind in service.kinds
        ),
    )  # fmt: skip
    return result.Success(output.Report(document, (line,), (kinds,)))
