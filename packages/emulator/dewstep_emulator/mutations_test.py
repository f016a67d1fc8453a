"""Tests that the mutations apply to the current code, without running them."""

import pytest

from dewstep_emulator import mutation_list, mutation_types, mutations
from dewstep_emulator.scenarios import catalogue


@pytest.mark.parametrize("name", list(mutation_list.mutations))
def test_replaced_texts_of_a_mutation_occur_exactly_once(name, tmp_path):
    """Guards against mutations that no longer apply after a change of the code."""
    mutation = mutation_list.mutations.get(name)
    assert catalogue.scenarios.get(mutation.scenario) is not None
    for edit in mutation.edits:
        text = (mutations.find_packages() / edit.file).read_text()
        assert text.count(edit.old) == 1, edit


def test_replacing_a_missing_or_repeated_text_fails(tmp_path):
    """Guards against reporting a mutation that was not applied as not caught."""
    file = tmp_path / "module.py"
    file.write_text("a = 1\nb = 1\n")
    for old in ("c = 1", " = 1"):
        with pytest.raises(mutations.TextNotUnique):
            mutations.replace_text(file, mutation_types.Edit("module.py", old, ""))
    mutations.replace_text(file, mutation_types.Edit("module.py", "a = 1", "a = 2"))
    assert file.read_text() == "a = 2\nb = 1\n"


def test_scenario_without_report_is_distinguished_from_one_without_violations():
    """Guards against reporting NOT CAUGHT if the scenario failed on a busy machine."""
    outcome = mutations.Outcome("m", 1, (), "TwoOwners", "Traceback")
    assert outcome.describe() == "NOT RUN TO ITS END"
    ended = outcome._replace(output="no-fault seed=1 promises kept: sent=1")
    assert ended.describe() == "NOT CAUGHT"
    assert ended._replace(violations=("TwoOwners",)).describe() == "caught"
