"""Tests of coordinators that do not reach the targets."""

import asyncio

import pytest

from dewstep_emulator import testing
from dewstep_fleet import (
    builders,
    coordination_test,
    frames,
    granting_test,
)


def build_participant():
    """Return a participant that has not been started."""
    instance = coordination_test.RunningInstance(coordination_test.Harness(), "n1")
    return instance.participant


def report(participant, node, reaches_targets):
    """Let a participant receive a report."""
    frame = frames.Frame(
        "report", 1, node, f"{node}-1", reaches_targets=reaches_targets
    )
    participant.heartbeats.receive_report(node, frame)


# Guards against a coordinator that keeps a term in which it can renew no grant, and
# against elections that no instance could win when all targets are gone.
@pytest.mark.parametrize(
    ("reached_by_coordinator", "reached_by_others", "expected"),
    [(True, True, False), (False, True, True), (False, False, False)],
)
@testing.run_in_event_loop
async def test_coordinator_yields_if_only_others_reach_the_targets(
    reached_by_coordinator, reached_by_others, expected
):
    participant = build_participant()
    participant.granter.reaches_targets = lambda: reached_by_coordinator
    report(participant, "n1", False)
    report(participant, "n2", False)
    report(participant, "n3", reached_by_others)
    assert participant.followers.should_yield() == expected
    await asyncio.sleep(0)


# Guards against a coordinator that yields while targets answer its orders, because its
# few requests have failed.
@testing.run_in_event_loop
async def test_coordinator_keeps_its_term_while_targets_answer_orders():
    participant = build_participant()
    participant.reachability.is_cut_off = lambda now: True
    participant.granter.reaches_targets = lambda: True
    report(participant, "n2", True)
    assert not participant.followers.should_yield()
    await asyncio.sleep(0)


# Guards against a judgement from the orders to one or two targets.
@pytest.mark.parametrize(
    ("targets", "failing", "expected"),
    [("ab", "ab", True), ("abc", "ab", True), ("abc", "abc", False)],
)
def test_coordinator_judges_by_its_orders(targets, failing, expected):
    harnesses = []

    async def scenario():
        harness = granting_test.build_harness(harnesses, *targets)
        granter = harness.elect("n1")
        await harness.run(granting_test.SETTLING_TIME)
        assert granter.reaches_targets()
        harness.targets.down |= set(failing)
        await harness.run(builders.SECOND)
        assert granter.reaches_targets() == expected

    asyncio.run(scenario())
