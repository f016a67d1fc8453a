"""Tests of what participants of a fleet tell one another of cold targets."""

import asyncio

from dewstep_emulator import testing
from dewstep_fleet import (
    builders,
    coordination_targets_test,
    frames,
    model,
)

SECOND = builders.SECOND


def build_participant():
    """Return a participant with a target of a service with a limit for cold ones."""
    participant = coordination_targets_test.build_participant()
    table = builders.build_table(builders.build_route(), warm_up=(3 * SECOND, 7.3))
    participant.directory.routes = table
    participant.limits.warm_up.set_bounds(model.WarmUpBounds(1.5, 8.0))
    row = builders.build_target_row(builders.build_target("a"), 900)
    participant.directory.apply_rows([row])
    return participant


# Guards against a restart that only the instances know whose connections were refused,
# and against ranges that a restarted target cannot serve.
@testing.run_in_event_loop
async def test_restart_reaches_the_coordinator_and_the_plan():
    first, second, third = (build_participant() for _ in range(3))
    first.limits.warm_up.record_failure(first.directory.targets["a"], True)
    second.heartbeats.receive_report("n2", first.own_reports.build())
    assert second.limits.find_cold_rate("a") == 7.3
    third.limits.warm_up.apply_observations(second.heartbeats.build(False).cold)
    assert third.limits.find_cold_rate("a") == 7.3
    assert second.granter.rebalancer.get_demand("history").limits == {}
    cold = builders.build_target("a", life=2, warm_up_left=2 * SECOND)
    second.directory.apply_rows([builders.build_target_row(cold, 901)])
    assert second.granter.rebalancer.get_demand("history").limits == {"a": 7.3}
    await asyncio.sleep(0)


# Guards against a coordinator that issues any number of permits because it does not
# know of a restart.
@testing.run_in_event_loop
async def test_question_tells_the_coordinator_of_a_cold_target():
    participant = build_participant()
    wanted = [frames.PermitRequest("a", 0, 50, 7.3)]
    (first,) = participant.permit_questions.issue(wanted)
    assert first.cold and first.count == 0 and first.wait_ms > 0
    bucket = participant.permit_questions.cold_issuer.buckets["a"]
    participant.permit_questions.cold_issuer.buckets["a"] = bucket._replace(
        filled_at=bucket.filled_at - SECOND
    )
    (second,) = participant.permit_questions.issue(wanted)
    assert 0 < second.count <= 2
    await asyncio.sleep(0)
