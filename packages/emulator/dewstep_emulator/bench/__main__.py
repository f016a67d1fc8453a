"""The command ``python -m dewstep_emulator.bench``."""

import json
import pathlib
import tempfile
from typing import Annotated

import typer
import uvloop

from dewstep_emulator import deployments
from dewstep_emulator.bench import plans, report as reports, running, scripts  # noqa: F401

application = typer.Typer(add_completion=False, no_args_is_help=True)


def list_names() -> list[str]:
    """Return the names of all benchmarks."""
    return [
        f"{user}-{kind}" for user in deployments.deployments for kind in plans.scenarios
    ]


@application.command()
def run(
    name: Annotated[str, typer.Argument(help="Benchmark; 'list' prints the names.")],
    seed: Annotated[int, typer.Option(help="Decides keys, arrivals and faults.")] = 1,
    json_file: Annotated[
        pathlib.Path | None, typer.Option("--json", help="Gets the report.")
    ] = None,
    capacity: Annotated[
        float, typer.Option(help="Requests/s at which all targets are busy.")
    ] = plans.CAPACITY,
    folder: Annotated[
        pathlib.Path | None, typer.Option(help="Keeps logs and settings there.")
    ] = None,
) -> None:
    """Run a benchmark, print its measures and write them as JSON."""
    if name == "list":
        typer.echo("\n".join(list_names()))
        return
    if name not in list_names():
        raise typer.BadParameter(f"one of: {', '.join(list_names())}")
    with tempfile.TemporaryDirectory(prefix="dewstep-bench-") as temporary:
        place = folder or pathlib.Path(temporary)
        report = uvloop.run(running.run(name, seed, place, capacity, typer.echo))
    reports.print_report(report)
    if json_file is not None:
        json_file.parent.mkdir(parents=True, exist_ok=True)
        json_file.write_text(json.dumps(report, indent=1))


@application.command()
def compare(before: pathlib.Path, after: pathlib.Path) -> None:
    """Compare two reports; exit 1 if the second is worse beyond the bounds."""
    first, second = (json.loads(path.read_text()) for path in (before, after))
    if first["name"] != second["name"]:
        raise typer.BadParameter(f"{first['name']} is not {second['name']}")
    worse = reports.compare(first, second)
    for item in worse:
        typer.echo(f"{item.path}: {item.before:.4g} before, {item.after:.4g} after")
    typer.echo(f"{len(worse)} measures beyond their bounds")
    raise typer.Exit(1 if worse else 0)


if __name__ == "__main__":
    application()
