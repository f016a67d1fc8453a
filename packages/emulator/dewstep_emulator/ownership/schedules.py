"""Named schedules of faults, and a command that runs one of them.

    python -m dewstep_emulator.ownership.schedules NAME --seeds 1:2

A report has the form of a scenario's, so that `dewstep_emulator.mutations` reads it.
The last line has the form of the simulation's.
"""

from typing import Annotated, NamedTuple

import typer

from dewstep_core import registry
from dewstep_emulator.ownership import checks, faults, simulation

MAX_SHOWN = 5
VIOLATION_TYPES = {
    checks.TWO_OWNERS: "TwoOwners",
    checks.STALE_GENERATION: "NumberReused",
    simulation.NOT_RECOVERED: "NotRecovered",
}
"""Types of violations by their kinds; other kinds are types themselves."""
BROKEN_EXIT_STATUS = 1


class Schedule(NamedTuple):
    """Faults of a run, and how long it lasts at least."""

    duration: float
    """Seconds."""
    faults: tuple[faults.Fault, ...]


schedules: registry.Registry[Schedule] = registry.Registry("schedule")


def register_schedule(name: str, duration: float, *scheduled: faults.Fault) -> None:
    """Register a schedule."""
    schedules.register(name)(Schedule(duration, scheduled))


register_schedule(
    "target-restarted-under-another-name",
    5.0,
    faults.Fault(2.8, "crash_target", "t03", 0.2),
)
register_schedule(
    "targets-leave-while-orders-are-late",
    9.0,
    faults.Fault(3.0, "order_faults", "", 8.0),
    *(faults.Fault(3.5 + n / 10, "leave", f"t{n:02}", 6.0) for n in range(1, 5)),
)
register_schedule(
    "coordinator-killed-with-targets-cut-off-from-others",
    9.0,
    faults.Fault(3.0, "cut_off_some_targets", "", 9.0),
    faults.Fault(3.1, "kill", faults.COORDINATOR, 8.0),
)
register_schedule(
    "coordinator-killed-after-an-outage-with-targets-cut-off",
    17.0,
    faults.Fault(4.0, "store_outage", "", 5.0),
    faults.Fault(8.8, "cut_off_some_targets", "", 14.0),
    faults.Fault(8.9, "kill", faults.COORDINATOR, 8.0),
)
register_schedule(
    "coordinator-and-its-targets-cut-off-from-others",
    12.0,
    faults.Fault(3.9, "cut_off_some_targets", "", 8.0),
    faults.Fault(4.0, "cut_off_peers", faults.COORDINATOR, 8.0),
    faults.Fault(4.0, "cut_off_store", faults.COORDINATOR, 8.0),
)
# The instances cannot reach each other when the store returns, so that the coordinator
# remains.
register_schedule(
    "targets-lost-after-their-last-long-grant",
    17.0,
    faults.Fault(2.9, "slow_clocks", "", 20.0),
    faults.Fault(3.0, "store_outage", "", 4.5),
    *(faults.Fault(6.4, "cut_off_target", f"t{n:02}", 13.0) for n in range(1, 9)),
    *(faults.Fault(6.45, "reset_target", f"t{n:02}", 0.1) for n in range(1, 9)),
    *(faults.Fault(6.5, "cut_off_peers", f"n{n}", 3.0) for n in range(1, 7)),
)
register_schedule(
    "targets-exchange-hosts-before-a-restore",
    5.0,
    faults.Fault(2.6, "exchange_hosts", "t04", 0.2),
    faults.Fault(2.8, "exchange_hosts", "t03", 0.1),
    faults.Fault(2.8, "exchange_hosts", "t02", 0.2),
    faults.Fault(3.3, "exchange_hosts", "t01", 0.1),
    faults.Fault(4.2, "restore", "", 0.1),
)
register_schedule(
    "targets-leave-after-a-change-of-the-coordinator",
    8.0,
    faults.Fault(4.0, "cut_off_peers", faults.COORDINATOR, 5.0),
    faults.Fault(4.0, "cut_off_store", faults.COORDINATOR, 5.0),
    *(faults.Fault(5.3 + n * 0.13, "leave", f"t{n:02}", 6.0) for n in range(1, 12)),
)
register_schedule(
    "minority-reaches-the-store",
    22.0,
    faults.Fault(3.9, "cut_off_some_targets", "", 18.0),
    faults.Fault(4.0, "split", faults.COORDINATOR, 18.0),
)
register_schedule(
    "outdated-reads-with-coordinator-cut-off-from-peers",
    14.0,
    faults.Fault(4.0, "outdated_reads", "6", 12.0),
    faults.Fault(4.9, "cut_off_some_targets", "", 12.0),
    faults.Fault(5.0, "cut_off_peers", faults.COORDINATOR, 12.0),
)
register_schedule(
    "restored-and-restarted",
    8.0,
    faults.Fault(8.0, "restore_and_restart", "", 1.2),
)
register_schedule(
    "restored-to-before-the-start-without-a-target",
    8.0,
    faults.Fault(8.0, "restore_to_before_start", "t01", 4.5),
)


def run(name: str, seed: int) -> simulation.Report:
    """Run the fleet of a seed under a schedule."""
    schedule = schedules.get(name)
    return simulation.run(seed, schedule.duration, schedule.faults)


def print_report(
    name: str, seed: int, violations: tuple[simulation.Violation, ...]
) -> None:
    """Print the broken rules of a run."""
    for violation in violations[:MAX_SHOWN]:
        kind = VIOLATION_TYPES.get(violation.kind, violation.kind)
        typer.echo(f"  violation: {kind}(at={violation.at:.3f}, {violation.detail})")
    verdict = "broken" if violations else "kept"
    typer.echo(f"{name} seed={seed} promises {verdict}: {len(violations)} violations")


def main(name: str, seeds: Annotated[str, typer.Option()] = "1:2") -> None:
    """Run a schedule with seeds A to B - 1; exit with 1 if a rule was broken."""
    if schedules.get(name) is None:
        known = ", ".join(schedules)
        raise typer.BadParameter(f"unknown schedule {name!r}; one of: {known}")
    first, last = map(int, seeds.split(":"))
    failing = 0
    for seed in range(first, last):
        violations = run(name, seed).violations
        print_report(name, seed, violations)
        failing += bool(violations)
    typer.echo(f"{last - first} seeds, {failing} failing")
    raise typer.Exit(BROKEN_EXIT_STATUS if failing else 0)


if __name__ == "__main__":
    typer.run(main)
