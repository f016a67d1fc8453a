"""Creates the first assignment of a service.

Any entry process may do it, since the transaction requires that no row exists. Only
what the table itself has answered counts as missing: a process that starts during an
outage must not take its own ignorance for an empty table.
"""

import uuid

from returns import result

from dewstep_core import data, errors, events, placement
from dewstep_entry import interfaces
from dewstep_entry.gate import rows
from dewstep_entry.state import view


def find_missing(current: view.View) -> list[data.Service]:
    """Return the services with targets but without a known assignment."""
    configuration = current.configuration
    if configuration is None:
        return []
    served = {target.service for target in configuration.targets.values()}
    return [
        service
        for name, service in configuration.services.items()
        if name in served and name not in current.assignments
    ]


async def create_assignment(
    service: data.Service,
    targets: list[data.Target],
    table: interfaces.TableClient,
) -> result.Result[None, interfaces.Failure]:
    """Write the first assignment of a service unless there is one already."""
    owners = placement.plan_first(service, targets)
    if not owners:
        return result.Success(None)
    operation_id = str(uuid.uuid4())
    assignment = data.Assignment(service.name, 0, owners, {}, ())
    key = rows.name_assignment(service.name)
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


async def create_missing(
    holder: view.ViewHolder, table: interfaces.TableClient
) -> None:
    """Create what is missing; called after a successful read of the whole table."""
    current = holder.current
    for service in find_missing(current):
        targets = list(current.configuration.targets.values())
        outcome = await create_assignment(service, targets, table)
        if isinstance(outcome, result.Failure):
            events.warning(
                "assignment_not_created",
                service=service.name,
                failure=outcome.failure(),
            )
