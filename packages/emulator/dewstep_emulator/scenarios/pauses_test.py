"""Tests of the check that runs of two gates overlapped."""

import datetime
import types

from dewstep_emulator import history, history_test
from dewstep_emulator.scenarios import pauses


def test_check_overlap_reports_pause_without_overlapping_runs():
    """Guards against a scenario that passes without any run for the term to reject."""
    scenario_run = types.SimpleNamespace(checks=[])
    pauses.check_overlap(scenario_run, "t1", 10.0, 1.6)
    (check,) = scenario_run.checks
    begin = history.parse_time(10.0)
    second = datetime.timedelta(seconds=1)
    old = history_test.build_run()._replace(
        target="t1", term=1, start=begin - 0.1 * second, finish=begin + second
    )
    new = old._replace(term=2, start=begin + 0.6 * second)
    assert not list(check([], [old, new]))
    early = old._replace(finish=begin + 0.5 * second)
    late = old._replace(finish=begin + 2 * second)
    same = new._replace(term=1)
    for runs in ([old], [early, new], [late, new], [old, same]):
        assert len(list(check([], runs))) == 1
