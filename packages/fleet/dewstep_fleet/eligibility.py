"""Which targets can be given keys, and how many requests each of them can serve."""

import datetime
import math
from collections.abc import Iterable

from dewstep_fleet import demands, directories, grant_states, model, permits, planning


def list_available(
    directory: directories.Directory,
    states: grant_states.GrantStates,
    service: str,
    now: datetime.timedelta,
) -> tuple[model.Target, ...]:
    """Return the targets of a service that can own keys."""
    return tuple(
        target
        for target in directory.targets_by_service.get(service, ())
        if not states.get_for(target).renewal.is_avoided(now)
        and not directory.is_withdrawn(target)
    )


def compute_capacities(
    available: Iterable[model.Target], demand: demands.Demand
) -> dict[str, planning.Capacity]:
    """Return the capacity of each target."""
    return {
        target.name: planning.Capacity(
            target.name,
            min(
                target.slots / demand.service_seconds[target.name],
                max(demand.limits.get(target.name, math.inf), permits.MIN_RATE),
            ),
        )
        for target in available
    }
