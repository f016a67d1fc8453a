"""Mutation tests of the scenarios: checks that they detect a disabled mechanism.

Usage: ``python -m dewstep_emulator.mutations NAME`` (or `all`). A mutation is applied
to a copy of the packages in a temporary folder, and its scenario runs with the copy
first on the module path. The command exits with 0 if the scenario reports a violation
of the expected type.
"""

import os
import pathlib
import re
import shutil
import sys
import tempfile
from typing import Annotated, NamedTuple

import typer

from dewstep_emulator import command_runner, mutation_list, mutation_types

PACKAGES = ("core", "entry", "operator", "emulator")
SCENARIO_TIMEOUT_SECONDS = 180
"""Longest time that a scenario runs before it gets SIGTERM."""
VIOLATION_PATTERN = re.compile(r"^  violation: (\w+)\(", re.MULTILINE)
REPORT_PATTERN = re.compile(r"^[\w-]+ seed=\d+ promises ", re.MULTILINE)
"""The line that a scenario prints when it has run to its end."""
NOT_CAUGHT_EXIT_STATUS = 1


class TextNotUnique(Exception):
    """The text to replace does not occur exactly once in its file."""


class Outcome(NamedTuple):
    """The result of a scenario with a mutation."""

    name: str
    seed: int
    violations: tuple[str, ...]
    """Types of the reported violations, without repetitions."""
    expected: str
    output: str

    def is_caught(self) -> bool:
        """Return whether the expected violation was reported."""
        return self.expected in self.violations

    def describe(self) -> str:
        """Return the verdict for the printed report."""
        if self.is_caught():
            return "caught"
        # Without its report line, the scenario failed for another reason, so that
        # nothing follows about the mutation.
        return (
            "NOT CAUGHT" if REPORT_PATTERN.search(self.output) else "NOT RUN TO ITS END"
        )


def find_packages() -> pathlib.Path:
    """Return the folder that contains the packages."""
    return pathlib.Path(__file__).resolve().parents[2]


def replace_text(file: pathlib.Path, edit: mutation_types.Edit) -> None:
    """Replace the text of an edit in its file.

    Raises
    ------
    TextNotUnique
        If it does not occur exactly once, because the mutation is out of date.
    """
    text = file.read_text()
    count = text.count(edit.old)
    if count != 1:
        raise TextNotUnique(
            f"{edit.file}: expected one occurrence, found {count}: {edit.old!r}"
        )
    file.write_text(text.replace(edit.old, edit.new))


def copy_packages(folder: pathlib.Path) -> str:
    """Copy the packages into a folder; return the value of PYTHONPATH."""
    ignored = shutil.ignore_patterns("__pycache__", "*.egg-info", "*_test.py")
    for name in PACKAGES:
        shutil.copytree(find_packages() / name, folder / name, ignore=ignored)
    return os.pathsep.join(str(folder / name) for name in PACKAGES)


def run_mutation(mutation: mutation_types.Mutation, seed: int | None = None) -> Outcome:
    """Run the scenario of a mutation with the mutated packages."""
    seed = mutation.seed if seed is None else seed
    with tempfile.TemporaryDirectory(prefix="dewstep-mutation-") as temporary:
        folder = pathlib.Path(temporary)
        path = copy_packages(folder)
        for edit in mutation.edits:
            replace_text(folder / edit.file, edit)
        command = [sys.executable, "-m", "dewstep_emulator.scenarios"]
        command += [mutation.scenario, f"--seed={seed}"]
        environment = {**os.environ, "PYTHONPATH": path}
        ended = command_runner.run_with_time_limit(
            command, SCENARIO_TIMEOUT_SECONDS, environment, temporary
        )
    violations = tuple(dict.fromkeys(VIOLATION_PATTERN.findall(ended.stdout)))
    return Outcome(mutation.name, seed, violations, mutation.expected, ended.stdout)


def main(
    name: Annotated[str, typer.Argument(help="Mutation, or 'all'.")],
    seed: Annotated[
        int | None, typer.Option(help="Instead of the mutation's own.")
    ] = None,
    verbose: Annotated[bool, typer.Option(help="Print the scenario's output.")] = False,
) -> None:
    """Run mutations and exit 0 if all of them were caught."""
    names = list(mutation_list.mutations) if name == "all" else [name]
    missed = 0
    for chosen in names:
        mutation = mutation_list.mutations.get(chosen)
        if mutation is None:
            known = ", ".join(mutation_list.mutations)
            raise typer.BadParameter(f"unknown mutation {chosen!r}; one of: {known}")
        outcome = run_mutation(mutation, seed)
        typer.echo(
            f"{chosen} ({mutation.scenario} seed {outcome.seed}) "
            f"{outcome.describe()}: expected "
            f"{outcome.expected}, saw {', '.join(outcome.violations) or 'no violation'}"
        )
        if verbose:
            typer.echo(outcome.output)
        missed += not outcome.is_caught()
    raise typer.Exit(NOT_CAUGHT_EXIT_STATUS if missed else 0)


if __name__ == "__main__":
    typer.run(main)
