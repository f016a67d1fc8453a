"""The reports of the members to the coordinator, and what follows from them.

The last report of each member tells whether it lives, what it reaches, and how many of
its requests are in progress at each target.
"""

import datetime
from collections.abc import Collection, Mapping
from typing import NamedTuple

from dewstep_fleet import frames, model

REPORT_MAX_AGE = datetime.timedelta(milliseconds=1000)
"""Maximum age of the last report of a member that counts as live."""
DEPUTY_COUNT = 2
"""Number of instances besides the coordinator that follow the configuration and the
targets in the store. The store may reject one in three instances at the same time, and
a change must be in force within 2 s, which is less than a coordinator change takes."""


class Report(NamedTuple):
    """A member's last report to the coordinator."""

    received_at: datetime.timedelta
    reaches_store: bool
    store_healthy: bool
    loads: tuple[frames.Load, ...]
    heartbeat_ms: int
    """When the heartbeat was sent that the member has acknowledged."""
    reaches_targets: bool
    accepts_compact: bool = False


def build_report(frame: frames.Frame, now: datetime.timedelta) -> Report:
    """Return the report in a message that is received now."""
    return Report(
        now,
        frame.contact,
        frame.heard,
        frame.loads,
        frame.heartbeat_ms,
        frame.reaches_targets,
        frame.accepts_compact,
    )


def list_recent(
    reports: Mapping[str, Report], now: datetime.timedelta
) -> dict[str, Report]:
    """Return the reports that have just been received, by node."""
    oldest = now - REPORT_MAX_AGE
    return {
        node: report for node, report in reports.items() if report.received_at >= oldest
    }


def list_informed(
    reports: Mapping[str, Report], announcing_since: int, now: datetime.timedelta
) -> set[str]:
    """Return the nodes that acknowledged a recent heartbeat since an announcement."""
    oldest = frames.to_milliseconds(now - REPORT_MAX_AGE)
    oldest = max(oldest, announcing_since)
    return {node for node, report in reports.items() if report.heartbeat_ms >= oldest}


def choose_deputies(
    reports: Mapping[str, Report],
    nodes: Collection[str],
    members: Mapping[str, model.Member],
    data_centre: str,
) -> list[str]:
    """Return the nodes that should follow the store as deputies.

    Prefers those that reach the store, then those in data centres other than the
    coordinator's.
    """

    def rank(node: str) -> tuple[bool, bool, str]:
        report = reports.get(node)
        same_data_centre = node in members and members[node].data_centre == data_centre
        return report is None or not report.store_healthy, same_data_centre, node

    return sorted(nodes, key=rank)[:DEPUTY_COUNT]


def sum_loads(
    reports: Mapping[str, Report],
    slowness: Mapping[str, float],
    admitted_fractions: Mapping[str, float],
) -> tuple[frames.Total, ...]:
    """Return the requests in progress at each target, and its slowness."""
    running: dict[str, int] = {}
    for report in reports.values():
        for load in report.loads:
            running[load.target] = running.get(load.target, 0) + load.running
    return tuple(
        frames.Total(
            frames.hash_target_name(target),
            count,
            slowness.get(target, 1.0),
            admitted_fractions.get(target, 1.0),
        )
        for target, count in running.items()
        if count
    )
