"""The types of mutations and the registry of all mutations."""

from typing import NamedTuple

from dewstep_core import registry


class Edit(NamedTuple):
    """A replacement of a text that occurs exactly once in its file."""

    file: str
    """Path relative to the folder of the packages."""
    old: str
    new: str


class Mutation(NamedTuple):
    """The removal of one mechanism, and the violation that it must cause."""

    name: str
    edits: tuple[Edit, ...]
    scenario: str
    seed: int
    expected: str
    """Type of the expected violation."""


mutations: registry.Registry[Mutation] = registry.Registry("mutation")

GATE = "entry/dewstep_entry/gate/"
TARGETS = "entry/dewstep_entry/targets/"
STATE = "entry/dewstep_entry/state/"
EMULATOR = "emulator/dewstep_emulator/"


def register_mutation(
    name: str, scenario: str, expected: str, *edits: Edit, seed: int = 1
) -> None:
    """Register a mutation."""
    mutations.register(name)(Mutation(name, edits, scenario, seed, expected))
