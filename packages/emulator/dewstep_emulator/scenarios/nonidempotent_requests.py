"""At-most-once requests whose gate is killed or paused before the answer.

The target answers late, so that a request has taken effect before its gate gets the
answer. Callers then resend it with the same id to other entry processes, before and
after the next gate has taken over.
"""

import asyncio

from dewstep_emulator import promises
from dewstep_emulator.scenarios import deployment_changes, measures, requests, staging

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


def check_effects(stage: staging.Stage, ids: list[str]) -> None:
    """Require that at least half of the requests took effect."""

    def check(calls, runs):
        with_effect = {run.request_id for run in runs if run.result == "end"}
        count = len(with_effect & set(ids))
        stage.measures["requests with an effect"] = count
        if count < len(ids) / 2:
            yield promises.NotPressed(f"{count} of {len(ids)} requests took effect")

    stage.checks.append(check)


async def stop_gates_before_answers(stage: staging.Stage) -> None:
    """Kill or pause gates between the effects of requests and their answers."""
    fleet = stage.fleet
    plan = requests.find_call_plan(stage, KIND)
    ids: list[str] = []
    check_effects(stage, ids)
    for round_number in range(ROUNDS):
        target = await measures.choose_owner(stage, SERVICE)
        gate = await measures.find_gate(stage, target)
        keys = await requests.find_keys(
            stage, SERVICE, target, REQUESTS_PER_ROUND, f"round-{round_number}"
        )
        round_ids = [stage.caller.make_id(plan.kind) for _ in keys]
        ids += round_ids
        delay = {"answer_delay": {"seconds": ANSWER_DELAY_SECONDS}}
        await fleet.set_faults(fleet.targets[target], delay)
        entry = stage.random.choice(measures.list_serving_entries(stage))
        first_calls = asyncio.ensure_future(
            requests.send_all(stage, plan, keys, round_ids, entry.callers)
        )
        await asyncio.sleep(EFFECT_SECONDS)
        paused = round_number == ROUNDS - 1
        if paused:
            gate.process.freeze()
        else:
            await gate.process.kill()
        await requests.send_repeatedly(stage, plan, keys, round_ids, RESEND_SECONDS)
        await fleet.set_faults(fleet.targets[target], {"answer_delay": None})
        if paused:
            gate.process.resume()
        else:
            await fleet.start_entry(int(gate.name.removeprefix("entry-")))
        await first_calls
        await requests.send_repeatedly(stage, plan, keys, round_ids, 0.3)


@staging.scenario("gate-killed-before-answer-table", rate=60)
async def stop_gates_with_claims(stage: staging.Stage) -> None:
    """Stop gates before answers; claims in the table show what may have run."""
    await stop_gates_before_answers(stage)


@staging.scenario(
    "gate-killed-before-answer-memory",
    rate=60,
    change_deployment=deployment_changes.deduplicate_in_memory,
)
async def stop_gates_with_memory(stage: staging.Stage) -> None:
    """Stop gates before answers; time-ordered ids show what may still run."""
    await stop_gates_before_answers(stage)
