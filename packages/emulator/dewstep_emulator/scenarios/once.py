"""At most once: processes that end or pause between sending and answering.

The target answers late, so that a request has taken effect while its gate knows
nothing of it yet. Callers then send it again, with the same id, to other entry
processes, before and after the next gate has taken over.
"""

import asyncio

from dewstep_emulator import promises
from dewstep_emulator.scenarios import measures, plans, requests, staging

SERVICE = "booker"
KIND = "booking"
REQUESTS = 4
"""Requests that are between sending and answering when the gate ends: one for each
slot of the target. Others would wait at the gate, without an effect."""
ANSWER_DELAY = 0.7
"""Seconds between the effect and the answer."""
SENT_AFTER = 0.3
"""Seconds until all requests have taken effect, well within the delay."""
RESEND_SECONDS = 2.0
ROUNDS = 6


def check_pressed(stage: staging.Stage, ids: list[str]) -> None:
    """Require that most requests took effect at least once."""

    def check(calls, runs):
        effective = {run.request_id for run in runs if run.result == "end"}
        count = len(effective & set(ids))
        stage.measures["requests with an effect"] = count
        if count < len(ids) / 2:
            yield promises.NotPressed(f"{count} of {len(ids)} requests took effect")

    stage.checks.append(check)


async def lose_gates(stage: staging.Stage) -> None:
    """Kill or pause gates between the effect of requests and their answers."""
    fleet = stage.fleet
    plan = requests.find_plan(stage, KIND)
    ids: list[str] = []
    check_pressed(stage, ids)
    for number in range(ROUNDS):
        target = await measures.choose_owner(stage, SERVICE)
        gate = await measures.find_gate(stage, target)
        keys = await requests.find_keys(
            stage, SERVICE, target, REQUESTS, f"round-{number}"
        )
        chosen = [stage.caller.make_id(plan.kind) for _ in keys]
        ids += chosen
        delay = {"answer_delay": {"seconds": ANSWER_DELAY}}
        await fleet.set_faults(fleet.targets[target], delay)
        entry = stage.random.choice(measures.list_serving(stage))
        first = asyncio.ensure_future(
            requests.send_all(stage, plan, keys, chosen, entry.callers)
        )
        await asyncio.sleep(SENT_AFTER)
        paused = number == ROUNDS - 1
        if paused:
            gate.process.freeze()
        else:
            await gate.process.kill()
        await requests.send_over_and_over(stage, plan, keys, chosen, RESEND_SECONDS)
        await fleet.set_faults(fleet.targets[target], {"answer_delay": None})
        if paused:
            gate.process.resume()
        else:
            await fleet.start_entry(int(gate.name.removeprefix("entry-")))
        await first
        await requests.send_over_and_over(stage, plan, keys, chosen, 0.3)


@staging.scenario("gate-killed-before-answer-table", rate=60)
async def lose_gates_with_claims(stage: staging.Stage) -> None:
    """Lose gates between sending and answering; claims tell what ran."""
    await lose_gates(stage)


@staging.scenario("gate-killed-before-answer-memory", rate=60, plan=plans.use_memory)
async def lose_gates_with_memory(stage: staging.Stage) -> None:
    """Lose gates between sending and answering; time-ordered ids tell what may run."""
    await lose_gates(stage)
