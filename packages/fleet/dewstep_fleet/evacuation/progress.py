"""How far the evacuations are: which ranges are still in evacuated data centres."""

from typing import Any

from dewstep_fleet import directories, model


def list_holdings(
    directory: directories.Directory, service: str
) -> tuple[model.Holding, ...]:
    """Return the ranges of a service whose owners are in evacuated data centres.

    So are those whose owners are outside the allowed regions of the service. Those of
    owners that are leaving as well are moved like those of others that do.
    """
    targets = directory.targets
    is_evacuated = directory.evacuations.is_evacuated
    may_own = directory.regions.may_own
    return tuple(
        holding
        for holding in directory.ownerships[service].holdings
        if (target := targets.get(holding.target)) is not None
        and target.service == service
        and not target.leaving
        and (is_evacuated(target.data_centre) or not may_own(target))
    )


def count_ranges(directory: directories.Directory) -> dict[str, int]:
    """Return the number of ranges left in each evacuated data centre."""
    counts = dict.fromkeys(directory.evacuations.current, 0)
    if not counts:
        return counts
    for ownership in directory.ownerships.values():
        for holding in ownership.holdings:
            target = directory.targets.get(holding.target)
            if target is not None and target.data_centre in counts:
                counts[target.data_centre] += 1
    return counts


def describe(directory: directories.Directory) -> dict[str, dict[str, Any]]:
    """Return the state of each evacuation for operators."""
    now = directory.clock.monotonic()
    counts = count_ranges(directory)
    return {
        data_centre: {
            "seconds": (now - evacuation.since).total_seconds(),
            "row": evacuation.version,
            "row_lost": evacuation.ends_at is not None,
            "ranges": counts[data_centre],
        }
        for data_centre, evacuation in directory.evacuations.current.items()
    }
