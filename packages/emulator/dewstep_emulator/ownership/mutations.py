"""Mutation tests of the simulation: checks that it detects a disabled mechanism.

    python -m dewstep_emulator.ownership.mutations NAME --seeds 0:100

A mutation is applied to a copy of the packages, as `dewstep_emulator.mutations` does.
Without `--seeds`, its own schedule runs and must break the expected rule; with it, the
simulation runs random schedules and any broken rule counts. With `--scheduled` as well,
its own schedule runs with all these seeds. The command exits with 0 if the mutation was
caught.
"""

import contextlib
import os
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from typing import Annotated, NamedTuple

import typer

from dewstep_emulator import command_runner, mutation_types, mutations
from dewstep_emulator.ownership import mutation_list

FLEET = "fleet"
SCHEDULES = "dewstep_emulator.ownership.schedules"
SIMULATION = "dewstep_emulator.ownership.simulation"
SUMMARY_PATTERN = re.compile(r"^\d+ seeds, (?P<failing>\d+) failing$")
"""The line that either module prints when it has run to its end."""


class MutatedPackages(NamedTuple):
    """A copy of the packages with a mutation."""

    folder: pathlib.Path
    environment: dict[str, str]
    """Environment of the processes that use the copy."""


@contextlib.contextmanager
def copy_mutated(mutation: mutation_types.Mutation) -> Iterator[MutatedPackages]:
    """Copy the packages to a temporary folder and apply a mutation to the copy."""
    with tempfile.TemporaryDirectory(prefix="dewstep-mutation-") as temporary:
        folder = pathlib.Path(temporary)
        path = mutations.copy_packages(folder)
        fleet = folder / FLEET
        ignored = shutil.ignore_patterns("__pycache__", "*.egg-info", "*_test.py")
        shutil.copytree(mutations.find_packages() / FLEET, fleet, ignore=ignored)
        for edit in mutation.edits:
            mutations.replace_text(folder / edit.file, edit)
        # Some sets of strings in the libraries are ordered by hash.
        changed = {
            "PYTHONPATH": os.pathsep.join((path, str(fleet))),
            "PYTHONHASHSEED": "0",
        }
        yield MutatedPackages(folder, {**os.environ, **changed})


def run_mutation(mutation: mutation_types.Mutation) -> mutations.Outcome:
    """Run the schedule of a mutation with the mutated packages."""
    command = [sys.executable, "-m", SCHEDULES, mutation.scenario]
    command.append(f"--seeds={mutation.seed}:{mutation.seed + 1}")
    with copy_mutated(mutation) as packages:
        ended = command_runner.run_with_time_limit(
            command,
            mutations.SCENARIO_TIMEOUT_SECONDS,
            packages.environment,
            str(packages.folder),
        )
    found = tuple(dict.fromkeys(mutations.VIOLATION_PATTERN.findall(ended.stdout)))
    return mutations.Outcome(
        mutation.name, mutation.seed, found, mutation.expected, ended.stdout
    )


def run_seeds(mutation: mutation_types.Mutation, *arguments: str) -> int:
    """Run a module with the mutated packages and print its output.

    Parameters
    ----------
    mutation : mutation_types.Mutation
    *arguments : str
        Name and arguments of the simulation's or the schedules' module.

    Returns
    -------
    int
        Number of failing seeds; 0 if the module did not run to its end.
    """
    failing = 0
    with copy_mutated(mutation) as packages:
        process = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdout=subprocess.PIPE,
            text=True,
            env=packages.environment,
            cwd=packages.folder,
        )
        with process:
            for line in process.stdout:
                typer.echo(line, nl=False)
                summary = SUMMARY_PATTERN.match(line)
                if summary is not None:
                    failing = int(summary["failing"])
    return failing


def run_and_print(mutation: mutation_types.Mutation, verbose: bool) -> bool:
    """Run the schedule of a mutation; return whether it was caught."""
    outcome = run_mutation(mutation)
    typer.echo(
        f"{mutation.name} ({mutation.scenario} seed {outcome.seed}) "
        f"{outcome.describe()}: expected "
        f"{outcome.expected}, saw {', '.join(outcome.violations) or 'no violation'}"
    )
    if verbose:
        typer.echo(outcome.output)
    return outcome.is_caught()


def main(
    name: Annotated[str, typer.Argument(help="Mutation, or 'all'.")],
    seeds: Annotated[
        str, typer.Option(help="Seeds A:B of random schedules, in place of its own.")
    ] = "",
    jobs: Annotated[int, typer.Option(help="Seeds that run at a time.")] = 1,
    duration: Annotated[float, typer.Option(help="Seconds of random faults.")] = 30.0,
    scheduled: Annotated[
        bool, typer.Option(help="Run the seeds under the mutation's own schedule.")
    ] = False,
    verbose: Annotated[bool, typer.Option(help="Print the broken rules.")] = False,
) -> None:
    """Run mutations and exit 0 if all of them were caught."""
    names = list(mutation_list.mutations) if name == "all" else [name]
    missed = 0
    for chosen in names:
        mutation = mutation_list.mutations.get(chosen)
        if mutation is None:
            known = ", ".join(mutation_list.mutations)
            raise typer.BadParameter(f"unknown mutation {chosen!r}; one of: {known}")
        if seeds:
            arguments = [SIMULATION, f"--jobs={jobs}", f"--duration={duration}"]
            if scheduled:
                arguments = [SCHEDULES, mutation.scenario]
            missed += not run_seeds(mutation, *arguments, f"--seeds={seeds}")
        else:
            missed += not run_and_print(mutation, verbose)
    raise typer.Exit(mutations.NOT_CAUGHT_EXIT_STATUS if missed else 0)


if __name__ == "__main__":
    typer.run(main)
