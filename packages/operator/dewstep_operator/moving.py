"""The command `move`, which moves a shard or a single key to another target.

Only the gate of the present owner can move a shard or key, so the order is sent to the
operator port of that entry process. If the answer is lost, the assignment row shows
whether the move took effect.
"""

from typing import NamedTuple

from returns import result

from dewstep_core import data, owners
from dewstep_operator import (
    entries,
    failures,
    fleet,
    output,
    rows,
    sessions,
)

ORDER_PATH = "/orders/move"


class Subject(NamedTuple):
    """A shard or a key to move; exactly one of `shard` and `key` must be set."""

    service: str
    shard: int | None
    key: str | None


def get_owner(assignment: data.Assignment, subject: Subject) -> str | None:
    """Return the owner of `subject`, or None for a shard that does not exist."""
    if subject.key is not None:
        return owners.find_owner(assignment, subject.key)[0]
    if not 0 <= subject.shard < len(assignment.owners):
        return None
    return assignment.owners[subject.shard]


def check_order(
    fleet_state: fleet.Fleet, subject: Subject, target: str
) -> result.Result[str, failures.Failure]:
    """Return the present owner, or the reason why the order is invalid."""
    if (subject.shard is None) == (subject.key is None):
        return result.Failure(
            failures.ArgumentWrong("--shard, --key", "exactly one of the two")
        )
    if subject.service not in fleet_state.configuration.services:
        return result.Failure(failures.NameUnknown("service", subject.service))
    record = fleet_state.configuration.targets.get(target)
    if record is None or record.service != subject.service:
        kind = f"target of service {subject.service}"
        return result.Failure(failures.NameUnknown(kind, target))
    if record.draining:
        return result.Failure(failures.TargetDraining(target))
    assignment = fleet_state.assignments.get(subject.service)
    if assignment is None:
        return result.Failure(failures.NoAssignment(subject.service))
    owner = get_owner(assignment, subject)
    if owner is None:
        limit = len(assignment.owners) - 1
        return result.Failure(
            failures.ArgumentWrong("--shard", f"a number from 0 to {limit}")
        )
    return result.Success(owner)


async def move(
    session: sessions.Session, subject: Subject, target: str
) -> result.Result[output.Report, failures.Failure]:
    """Order the gate of the present owner to move `subject` to `target`."""
    read = await fleet.read_fleet(session)
    if isinstance(read, result.Failure):
        return read
    fleet_state = read.unwrap()
    checked = check_order(fleet_state, subject, target)
    if isinstance(checked, result.Failure):
        return checked
    owner = checked.unwrap()
    if owner == target:
        return result.Success(report_move(subject, owner, target, {}))
    found = await fleet.find_gate_entry(session, fleet_state.gates, owner)
    if isinstance(found, result.Failure):
        return found
    entry: entries.Entry = found.unwrap()
    if entry.operator_address is None:
        return result.Failure(failures.EntryAddressUnknown(entry.name))
    name = "shard" if subject.key is None else "key"
    order = {
        "service": subject.service,
        name: getattr(subject, name),
        "target": target,
    }
    session.output.show_progress(
        f"{entry.name} moves {name} {order[name]} from {owner} to {target}"
    )
    answer = await session.entry_client.post(entry.operator_address, ORDER_PATH, order)
    if isinstance(answer, result.Success):
        return result.Success(report_move(subject, owner, target, answer.unwrap()))
    return await determine_order_outcome(
        session, subject, owner, target, answer.failure()
    )


async def determine_order_outcome(
    session: sessions.Session,
    subject: Subject,
    owner: str,
    target: str,
    failure: failures.Failure,
) -> result.Result[output.Report, failures.Failure]:
    """Return the outcome of an order whose call failed.

    If the answer was lost and the assignment names the target as the owner, the move
    has taken effect. Otherwise the outcome remains unknown, because the gate may still
    carry out the order.
    """
    if not isinstance(failure, failures.EntryAnswerLost):
        return result.Failure(failure)
    read = await rows.read_assignments(session.table)
    assignment = read.value_or({}).get(subject.service)
    if assignment is not None and get_owner(assignment, subject) == target:
        return result.Success(report_move(subject, owner, target, {}))
    return result.Failure(failure)


def report_move(
    subject: Subject, before: str, after: str, answer: object
) -> output.Report:
    """Return the report of a completed move."""
    subject_text = (
        f"shard {subject.shard}" if subject.key is None else f"key {subject.key!r}"
    )
    line = f"{subject_text} of service {subject.service} belongs to {after}"
    if before != after:
        line += f", previously to {before}"
    document = {**subject._asdict(), "before": before, "after": after, "answer": answer}
    return output.Report(document, (line,))
