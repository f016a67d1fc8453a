"""At-most-once requests whose gate is killed or paused before the answer.

The target answers late, so that a request has taken effect before its gate gets the
answer. Callers then resend it with the same id to other entry processes, before and
after the next gate has taken over.
"""

import asyncio

from dewstep_emulator import promises
from dewstep_emulator.scenarios import (
    deployment_changes,
    measures,
    requests,
    scenario_runs,
)

SERVICE = "booker"
KIND = "booking"
REQUESTS_PER_ROUND = 4
"""One per slot of the target; further requests would queue at the gate without an
effect."""
ANSWER_DELAY_SECONDS = 0.7
"""From the effect of a request to its answer."""
EFFECT_SECONDS = 0.3
"""Time for all requests to take effect; well below `ANSWER_DELAY_SECONDS`."""
RESEND_SECONDS = 2.0
ROUNDS = 6


def check_effects(scenario_run: scenario_runs.ScenarioRun, ids: list[str]) -> None:
    """Require that at least half of the requests took effect."""

    def check(calls, runs):
        with_effect = {run.request_id for run in runs if run.result == "end"}
        count = len(with_effect & set(ids))
        scenario_run.measures["requests with an effect"] = count
        if count < len(ids) / 2:
            yield promises.ConditionNotReached(
                f"{count} of {len(ids)} requests took effect"
            )

    scenario_run.checks.append(check)


async def stop_gates_before_answers(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Kill or pause gates between the effects of requests and their answers."""
    fleet = scenario_run.fleet
    plan = requests.find_call_plan(scenario_run, KIND)
    ids: list[str] = []
    check_effects(scenario_run, ids)
    for round_number in range(ROUNDS):
        target = await measures.choose_owner(scenario_run, SERVICE)
        gate = await measures.find_gate(scenario_run, target)
        keys = await requests.find_keys(
            scenario_run, SERVICE, target, REQUESTS_PER_ROUND, f"round-{round_number}"
        )
        round_ids = [scenario_run.caller.make_request_id(plan.kind) for _ in keys]
        ids += round_ids
        delay = {"answer_delay": {"seconds": ANSWER_DELAY_SECONDS}}
        await fleet.set_faults(fleet.targets[target], delay)
        entry = scenario_run.random.choice(measures.list_serving_entries(scenario_run))
        first_calls = asyncio.ensure_future(
            requests.send_all(scenario_run, plan, keys, round_ids, entry.callers)
        )
        await asyncio.sleep(EFFECT_SECONDS)
        paused = round_number == ROUNDS - 1
        if paused:
            gate.process.freeze()
        else:
            await gate.process.kill()
        await requests.send_repeatedly(
            scenario_run, plan, keys, round_ids, RESEND_SECONDS
        )
        await fleet.set_faults(fleet.targets[target], {"answer_delay": None})
        if paused:
            gate.process.resume()
        else:
            await fleet.start_entry(int(gate.name.removeprefix("entry-")))
        await first_calls
        await requests.send_repeatedly(scenario_run, plan, keys, round_ids, 0.3)


@scenario_runs.scenario("gate-killed-before-answer-table", rate=60)
async def stop_gates_with_claims(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Stop gates before answers; claims in the table show what may have run."""
    await stop_gates_before_answers(scenario_run)


@scenario_runs.scenario(
    "gate-killed-before-answer-memory",
    rate=60,
    change_deployment=deployment_changes.deduplicate_in_memory,
)
async def stop_gates_with_memory(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Stop gates before answers; time-ordered ids show what may still run."""
    await stop_gates_before_answers(scenario_run)
