"""Tests that the simulation detects the loss of each mechanism of ownership."""

import subprocess
import sys

import pytest

from dewstep_emulator import mutation_types, mutations as scenario_mutations
from dewstep_emulator.ownership import mutation_list, mutations, schedules

NAMES = list(mutation_list.mutations)
MUTATIONS = [mutation_list.mutations.get(name) for name in NAMES]


# Guards against mutations that no longer apply after a change of the code.
@pytest.mark.parametrize("name", NAMES)
def test_replaced_texts_of_a_mutation_occur_exactly_once(name):
    mutation = mutation_list.mutations.get(name)
    assert mutation.edits
    for edit in mutation.edits:
        text = (scenario_mutations.find_packages() / edit.file).read_text()
        assert text.count(edit.old) == 1, edit


# Guards against mutations that cannot run, or that expect what no run reports.
@pytest.mark.parametrize("name", NAMES)
def test_schedule_of_a_mutation_exists(name):
    mutation = mutation_list.mutations.get(name)
    assert schedules.schedules.get(mutation.scenario) is not None
    assert mutation.expected in schedules.VIOLATION_TYPES.values()


# Guards against a simulation that does not notice the loss of a mechanism.
@pytest.mark.parametrize("name", NAMES)
def test_simulation_detects_a_mutation(name):
    outcome = mutations.run_mutation(mutation_list.mutations.get(name))
    assert outcome.is_caught(), outcome.output


# Guards against two owners in the unchanged code, and against schedules that break the
# rule also without their mutation.
@pytest.mark.parametrize(
    ("schedule", "seed"),
    sorted({(item.scenario, item.seed) for item in MUTATIONS}),
)
def test_unchanged_code_keeps_the_rules(schedule, seed):
    assert schedules.run(schedule, seed).violations == ()


# Guards against reporting a mutation that does not apply as not detected.
def test_mutation_that_does_not_apply_fails():
    edit = mutation_types.Edit("fleet/dewstep_fleet/granting.py", "no such text", "")
    mutation = mutation_types.Mutation("m", (edit,), "s", 1, "TwoOwners")
    with pytest.raises(scenario_mutations.TextNotUnique):
        mutations.run_mutation(mutation)


# Guards against a command that reports a mutation as detected without any run.
def test_command_fails_if_no_seed_breaks_a_rule():
    outcome = subprocess.run(
        [sys.executable, "-m", mutations.__name__, NAMES[0], "--seeds=0:0"],
        capture_output=True,
        text=True,
        timeout=120,
    )
    assert (outcome.returncode, outcome.stdout) == (1, "0 seeds, 0 failing\n")
