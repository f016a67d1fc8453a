"""The command `python -m dewstep_emulator.scenarios`."""

import pathlib
import tempfile
from typing import Annotated

import typer

from dewstep_emulator import processes
from dewstep_emulator.scenarios import catalogue, scenario_runs

MAX_VIOLATIONS_SHOWN = 20


def main(
    name: Annotated[str, typer.Argument(help="Scenario, or 'all'.")],
    seed: Annotated[int, typer.Option(help="Decides keys, faults and times.")] = 1,
    folder: Annotated[
        pathlib.Path | None,
        typer.Option(help="Keeps logs and settings there."),
    ] = None,
    seconds: Annotated[
        float, typer.Option(help="Duration of scenarios without a fixed one.")
    ] = 20.0,
) -> None:
    """Run a scenario and exit 0 if no promise was broken."""
    names = list(catalogue.scenarios) if name == "all" else [name]
    failed = False
    for scenario_name in names:
        if catalogue.scenarios.get(scenario_name) is None:
            known = ", ".join(catalogue.scenarios)
            raise typer.BadParameter(
                f"unknown scenario {scenario_name!r}; one of: {known}"
            )
        with tempfile.TemporaryDirectory(prefix="dewstep-") as temporary:
            log_folder = (folder or pathlib.Path(temporary)) / scenario_name
            report = processes.run(
                scenario_runs.run_scenario(
                    scenario_name, seed, log_folder, typer.echo, seconds
                )
            )
        print_report(report)
        failed = failed or not report.is_clean()
    raise typer.Exit(1 if failed else 0)


def format_counts(summary) -> str:
    """Format the counts of a summary as one line."""
    return " ".join(f"{name}={value}" for name, value in summary._asdict().items())


def print_report(report: scenario_runs.Report) -> None:
    """Print a report with one line per violation, up to `MAX_VIOLATIONS_SHOWN`."""
    verdict = "kept" if report.is_clean() else "BROKEN"
    counts = format_counts(report.summary)
    typer.echo(f"{report.name} seed={report.seed} promises {verdict}: {counts}")
    for kind, summary in report.kinds.items():
        typer.echo(f"  kind {kind}: {format_counts(summary)}")
    for name, value in report.measures.items():
        typer.echo(f"  {name}: {value:.3f}")
    for problem in report.problems:
        typer.echo(f"  problem: {problem}")
    for violation in report.violations[:MAX_VIOLATIONS_SHOWN]:
        typer.echo(f"  violation: {violation}")
    if len(report.violations) > MAX_VIOLATIONS_SHOWN:
        typer.echo(f"  {len(report.violations)} violations in all")


if __name__ == "__main__":
    typer.run(main)
