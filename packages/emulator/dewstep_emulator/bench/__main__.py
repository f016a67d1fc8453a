"""The command ``python -m dewstep_emulator.bench``."""

import json
import pathlib
import tempfile
from typing import Annotated

import typer

from dewstep_emulator import deployments, processes
from dewstep_emulator.bench import (
    overhead,
    plans,
    profiling,
    reporting,
    running,
    scripts,  # noqa: F401
    sizes,
)

application = typer.Typer(add_completion=False, no_args_is_help=True)


def list_names() -> list[str]:
    """Return the names of all benchmarks."""
    deployment_names = deployments.deployments
    names = [
        f"{deployment_name}-{scenario_name}"
        for deployment_name in deployment_names
        for scenario_name in plans.scenarios
    ]
    return [*names, overhead.NAME, sizes.NAME]


@application.command()
def run(
    name: Annotated[str, typer.Argument(help="Benchmark; 'list' prints the names.")],
    seed: Annotated[int, typer.Option(help="Decides keys, arrivals and faults.")] = 1,
    json_file: Annotated[
        pathlib.Path | None, typer.Option("--json", help="Gets the report.")
    ] = None,
    capacity: Annotated[
        float, typer.Option(help="Requests/s at which all targets are busy.")
    ] = plans.CAPACITY_PER_SECOND,
    relays: Annotated[
        bool, typer.Option(help="Bare relays with static hashing and no queue.")
    ] = False,
    rate: Annotated[
        float | None,
        typer.Option(help="Of 'overhead'; by default half load."),
    ] = None,
    rounds: Annotated[int, typer.Option(help="Of 'overhead'.")] = 5,
    folder: Annotated[
        pathlib.Path | None,
        typer.Option(help="Keeps logs and settings there."),
    ] = None,
) -> None:
    """Run a benchmark, print its measures and write them as JSON."""
    if name == "list":
        typer.echo("\n".join(list_names()))
        return
    if name not in list_names():
        raise typer.BadParameter(
            f"unknown benchmark {name!r}; one of: {', '.join(list_names())}"
        )
    with tempfile.TemporaryDirectory(prefix="dewstep-bench-") as temporary:
        log_folder = folder or pathlib.Path(temporary)
        if name == overhead.NAME:
            benchmark_task = overhead.run(
                seed, log_folder, rounds, rate=rate, print_line=typer.echo
            )
        elif name == sizes.NAME:
            benchmark_task = sizes.run(seed, log_folder, typer.echo)
        else:
            benchmark_task = running.run(
                name, seed, log_folder, capacity, typer.echo, relays
            )
        report = processes.run(benchmark_task)
    reporting.print_report(report)
    if json_file is not None:
        json_file.parent.mkdir(parents=True, exist_ok=True)
        json_file.write_text(json.dumps(report, indent=1))


@application.command()
def compare(before: pathlib.Path, after: pathlib.Path) -> None:
    """Compare two reports; exit 1 if the second is worse beyond the bounds."""
    earlier, later = (json.loads(path.read_text()) for path in (before, after))
    if earlier["name"] != later["name"]:
        raise typer.BadParameter(
            f"reports of two benchmarks: {earlier['name']} and {later['name']}"
        )
    regressions = reporting.compare_reports(earlier, later)
    for item in regressions:
        typer.echo(f"{item.path}: {item.before:.4g} before, {item.after:.4g} after")
    typer.echo(f"{len(regressions)} measures beyond their bounds")
    raise typer.Exit(1 if regressions else 0)


@application.command()
def profile(
    seed: Annotated[int, typer.Option(help="Seed of keys and arrivals.")] = 1,
    rate: Annotated[float, typer.Option(help="Requests/s.")] = 400.0,
    seconds: Annotated[float, typer.Option(help="Duration of the load.")] = 8.0,
) -> None:
    """Profile a receiving process and a gate under load."""
    with tempfile.TemporaryDirectory(prefix="dewstep-bench-") as temporary:
        log_folder = pathlib.Path(temporary)
        processes.run(profiling.run(seed, log_folder, rate, seconds, typer.echo))


if __name__ == "__main__":
    application()
