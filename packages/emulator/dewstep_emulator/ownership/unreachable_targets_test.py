"""Tests of simulated coordinators that are cut off from all targets."""

import pytest

from dewstep_emulator.ownership import faults, simulation

CUT_AT, CUT_SECONDS = 10.0, 15.0
ELECTION_SECONDS = 6.0
"""Time to notice that no order is answered, and for an election."""
SEEDS = range(3)


# Guards against a coordinator that keeps a term in which it can renew no grant, and
# against two owners when it yields.
@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    "way", ["cut_off_targets", "reset_at_targets", "refuse_at_targets"]
)
def test_coordinator_without_targets_is_replaced(way, seed):
    schedule = (faults.Fault(CUT_AT, way, faults.COORDINATOR, CUT_SECONDS),)
    report = simulation.run(seed, 30.0, schedule)
    assert report.violations == ()
    elected = [event for event in report.events if event.name == "coordinating"]
    during = [
        event for event in elected if CUT_AT < event.at < CUT_AT + ELECTION_SECONDS
    ]
    # Orders pass on connections that live on, so that the coordinator may stay.
    assert during or way == "refuse_at_targets"
