"""Creates the first assignment of a service.

Any entry process may do so, since the transaction requires that no row exists. An
assignment counts as missing only after a successful read of the table: a process that
starts during an outage must not assume that the table is empty.
"""

import uuid

from returns import result

from dewstep_core import data, errors, events, placement
from dewstep_entry import interfaces
from dewstep_entry.gate import rows
from dewstep_entry.state import view


def find_unassigned_services(current: view.View) -> list[data.Service]:
    """Return the services that have targets but no known assignment."""
    configuration = current.configuration
    if configuration is None:
        return []
    services_with_targets = {
        target.service for target in configuration.targets.values()
    }
    return [
        service
        for name, service in configuration.services.items()
        if name in services_with_targets and name not in current.assignments
    ]


async def create_assignment(
    service: data.Service,
    targets: list[data.Target],
    table: interfaces.TableClient,
) -> result.Result[None, interfaces.Failure]:
    """Write the first assignment of a service unless one exists."""
    owners = placement.plan_initial(service, targets)
    if not owners:
        return result.Success(None)
    operation_id = str(uuid.uuid4())
    assignment = data.Assignment(service.name, 0, owners, {}, ())
    key = rows.make_assignment_key(service.name)
    transaction = data.Transaction(
        operation_id,
        (data.Check(key, 0),),
        (data.Write(key, rows.encode_assignment(assignment, operation_id)),),
    )
    outcome = await table.commit(transaction)
    if isinstance(outcome, result.Success):
        events.info("assignment_created", service=service.name)
        return result.Success(None)
    if isinstance(outcome.failure(), errors.Conflict):
        return result.Success(None)
    return outcome


async def create_missing_assignments(
    holder: view.ViewHolder, table: interfaces.TableClient
) -> None:
    """Create the missing assignments, after a successful read of the whole table."""
    current = holder.current
    for service in find_unassigned_services(current):
        targets = list(current.configuration.targets.values())
        outcome = await create_assignment(service, targets, table)
        if isinstance(outcome, result.Failure):
            events.warning(
                "assignment_not_created",
                service=service.name,
                failure=outcome.failure(),
            )
