"""Tests of the named schedules."""

import pytest
import typer

from dewstep_emulator import mutations as scenario_mutations
from dewstep_emulator.ownership import checks, faults, schedules, simulation


# Guards against schedules that contain unknown faults or subjects.
@pytest.mark.parametrize("name", list(schedules.schedules))
def test_schedule_contains_known_faults(name):
    subjects = {faults.COORDINATOR, *simulation.list_nodes()}
    subjects |= {*simulation.list_targets(), ""}
    for fault in schedules.schedules.get(name).faults:
        kind = faults.kinds.get(fault.kind)
        assert kind is not None
        assert fault.subject in subjects or fault.kind == "outdated_reads"


# Guards against reports that the mutation tests cannot read.
def test_report_is_read_by_the_mutation_tests(capsys):
    violations = (
        simulation.Violation(1.0, checks.TWO_OWNERS, "first"),
        simulation.Violation(2.0, "not_served", "second"),
    )
    schedules.print_report("name-of-schedule", 1, violations)
    printed = capsys.readouterr().out
    found = scenario_mutations.VIOLATION_PATTERN.findall(printed)
    assert found == ["TwoOwners", "not_served"]
    assert scenario_mutations.REPORT_PATTERN.search(printed)


# Guards against a misspelt name that is taken for a run without violations.
def test_unknown_schedule_is_refused():
    with pytest.raises(typer.BadParameter, match="unknown schedule 'x'"):
        schedules.main("x")


# Guards against a change of all random schedules by kinds for named ones.
def test_random_schedules_contain_no_fault_for_named_schedules_only():
    for seed in range(200):
        for fault in simulation.draw_faults(seed, 60.0):
            assert faults.kinds.get(fault.kind).drawn


# Guards against two owners while a target's clock is slow and the coordinator's fast.
# The time assumed for a grant allows for the first only.
def test_fast_clock_of_the_coordinator_gives_no_second_owner():
    report = schedules.run("targets-lost-after-their-last-long-grant", 3)
    assert report.violations == ()
