"""Named faults under load, for proofs by history checking.

A scenario is a script of faults that runs while callers send requests. It is found by
its name in a registry. All choices come from the seed; what remains different from
run to run is the timing of processes.
"""

import asyncio
import datetime
import pathlib
import random
import tempfile
from collections.abc import Awaitable, Callable, Mapping
from typing import Annotated, Any, NamedTuple

import typer
import uvloop
from returns import result

from dewstep_core import clock as clocks, hashing, registry
from dewstep_core.http import client
from dewstep_emulator import deployments, fleet as fleets, history, load

RESTORED_LIMIT = 1.0
"""Seconds within which a key is served again after a loss."""
PROBE_INTERVAL = 0.02
PROBE_SECONDS = 8.0
SETTLE_SECONDS = 2.0
"""Load that goes on after the last fault has ended."""


class Stage(NamedTuple):
    """What a scenario works on."""

    fleet: fleets.Fleet
    random: random.Random
    say: Callable[[str], None]
    measures: dict[str, float]
    problems: list[str]
    """What went wrong beside the promises that the history checker knows."""


Script = Callable[[Stage], Awaitable[None]]


class Scenario(NamedTuple):
    """A script and the fleet that it needs."""

    name: str
    script: Script
    rate: float
    entries: int
    scale: float
    planned: bool
    """Whether it holds planned stops only, so that no connection may break."""
    options: Mapping[str, Any]
    """More `FleetOptions`."""


class Report(NamedTuple):
    """What one run of a scenario showed."""

    name: str
    seed: int
    summary: history.Summary
    violations: tuple
    problems: tuple[str, ...]
    measures: Mapping[str, float]
    exit_codes: Mapping[str, int | None]

    def is_clean(self) -> bool:
        """Return whether no promise was broken."""
        return not self.violations and not self.problems


scenarios: registry.Registry[Scenario] = registry.Registry("scenario")


def scenario(
    name: str,
    rate: float = 150.0,
    entries: int = 6,
    scale: float = 0.15,
    planned: bool = False,
    **options: Any,
) -> Callable[[Script], Script]:
    """Register the decorated script."""

    def enter(script: Script) -> Script:
        scenarios.register(name)(
            Scenario(name, script, rate, entries, scale, planned, options)
        )
        return script

    return enter


async def run_scenario(
    name: str,
    seed: int,
    folder: pathlib.Path,
    say: Callable[[str], None] = lambda text: None,
) -> Report:
    """Run a scenario under load and check its history."""
    chosen = scenarios.get(name)
    options = fleets.FleetOptions(chosen.entries, seed, **chosen.options)
    fleet = fleets.Fleet(deployments.plan_tsagaan(chosen.scale), options, folder)
    stage = Stage(fleet, random.Random(seed), say, {}, [])
    try:
        await fleet.start()
        caller = load.Caller(fleet.list_callers, clocks.SystemClock(), seed)
        mix = load.Mix(
            deployments.plan_calls(fleet.deployment),
            chosen.rate,
            datetime.timedelta(hours=1),
            keys=100,
            skew=0.8,
            resend=True,
        )
        running = asyncio.ensure_future(caller.run(mix))
        await asyncio.sleep(1.0)
        await chosen.script(stage)
        await asyncio.sleep(SETTLE_SECONDS)
        caller.stop()
        await running
        await caller.close()
        await check_invariants(stage)
        codes = await fleet.stop()
    finally:
        await fleet.kill_all()
    return build_report(chosen, seed, stage, caller, codes)


def build_report(
    chosen: Scenario,
    seed: int,
    stage: Stage,
    caller: load.Caller,
    codes: Mapping[str, int | None],
) -> Report:
    """Return the report of a finished run."""
    runs = stage.fleet.read_runs()
    violations = history.check_history(
        caller.calls, runs, stage.fleet.list_slots(), stage.fleet.departures
    )
    if chosen.planned:
        violations += tuple(history.find_cut_off(caller.calls))
        violations += tuple(history.find_unknown(caller.calls))
    for name, code in codes.items():
        if code != 0:
            stage.problems.append(f"{name} ended with exit code {code}")
    return Report(
        chosen.name,
        seed,
        history.summarize(caller.calls, runs),
        violations,
        tuple(stage.problems),
        stage.measures,
        codes,
    )


async def check_invariants(stage: Stage) -> None:
    """Note the invariants that the entry processes found broken in themselves."""
    for name, entry in stage.fleet.entries.items():
        if not entry.process.is_running():
            continue
        dump = await stage.fleet.read_dump(name)
        for invariant, count in (dump or {}).get("broken_invariants", {}).items():
            stage.problems.append(f"{name}: invariant {invariant} broken {count}×")


# Measures.


async def find_key(stage: Stage, service: str, target: str) -> str:
    """Return a key of `service` that `target` owns."""
    owners = await stage.fleet.read_owners(service)
    for number in range(10_000):
        key = f"probe-{service}-{number}"
        if owners[hashing.compute_shard(key, len(owners))] == target:
            return key
    raise LookupError(f"{target} owns no shard of {service}")


async def probe(stage: Stage, key: str, since: float) -> float:
    """Return the seconds from `since` until a look-up of `key` is answered.

    A look-up is sent every `PROBE_INTERVAL` to a random live entry process, without
    waiting for the earlier ones.
    """
    loop = asyncio.get_running_loop()
    restored: asyncio.Future[float] = loop.create_future()

    async def send() -> None:
        entries = [
            entry
            for entry in stage.fleet.entries.values()
            if entry.process.is_running() and not entry.process.frozen
        ]
        chosen = stage.random.choice(entries)
        caller = client.Client(chosen.callers, 5.0)
        answer = await caller.call("GET", f"/history/{key}/due")
        await caller.close()
        good = isinstance(answer, result.Success) and answer.unwrap().status == 200
        if good and not restored.done():
            restored.set_result(loop.time() - since)

    tasks = set()
    while not restored.done() and loop.time() - since < PROBE_SECONDS:
        tasks.add(asyncio.ensure_future(send()))
        await asyncio.sleep(PROBE_INTERVAL)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return restored.result() if restored.done() else PROBE_SECONDS


async def measure_restoration(
    stage: Stage, name: str, target: str, break_it: Callable[[], Awaitable[None]]
) -> None:
    """Break something and note how long a key of `target` stays unserved."""
    key = await find_key(stage, "history", target)
    since = asyncio.get_running_loop().time()
    await break_it()
    took = await probe(stage, key, since)
    stage.measures[name] = took
    stage.say(f"{name}: a key of {target} was served again after {took:.3f} s")
    if took > RESTORED_LIMIT:
        stage.problems.append(f"{name}: {took:.3f} s until a key was served again")


def choose_target(stage: Stage, service: str) -> str:
    """Return a target of `service` that runs."""
    names = [
        name
        for name, process in stage.fleet.targets.items()
        if name.startswith(f"{service}-") and process.is_running()
    ]
    return stage.random.choice(sorted(names))


async def find_gate(stage: Stage, target: str) -> fleets.EntryHandle:
    """Return the entry process that is the gate of `target`."""
    gates = await stage.fleet.read_gates()
    return stage.fleet.entries[gates[target]]


# Scenarios of single faults.


@scenario("no-fault", planned=True)
async def run_undisturbed(stage: Stage) -> None:
    """Let requests run without any fault."""
    await asyncio.sleep(3.0)


@scenario("target-killed")
async def kill_target(stage: Stage) -> None:
    """Kill a target and start it again later."""
    target = choose_target(stage, "history")
    process = stage.fleet.targets[target]
    await measure_restoration(stage, "target killed", target, process.kill)
    await asyncio.sleep(1.0)
    await stage.fleet.restart_target(target)


@scenario("target-frozen")
async def freeze_target(stage: Stage) -> None:
    """Freeze targets that later return as though nothing had happened."""
    for service in ("history", "booker"):
        target = choose_target(stage, service)
        process = stage.fleet.targets[target]

        async def freeze(process=process) -> None:
            process.freeze()

        if service == "history":
            await measure_restoration(stage, "target frozen", target, freeze)
        else:
            await freeze()
        await asyncio.sleep(2.0)
        process.resume()
        await asyncio.sleep(1.0)


@scenario("gate-killed")
async def kill_gate(stage: Stage) -> None:
    """Kill the entry process that is the gate of a target."""
    for service in ("history", "booker"):
        target = choose_target(stage, service)
        entry = await find_gate(stage, target)
        if service == "history":
            await measure_restoration(stage, "gate killed", target, entry.process.kill)
        else:
            await entry.process.kill()
        await asyncio.sleep(1.5)


@scenario("gate-frozen")
async def freeze_gate(stage: Stage) -> None:
    """Pause a gate for longer than any grant and let it go on."""
    target = choose_target(stage, "history")
    entry = await find_gate(stage, target)

    async def freeze() -> None:
        entry.process.freeze()

    await measure_restoration(stage, "gate frozen", target, freeze)
    await asyncio.sleep(2.0)
    entry.process.resume()
    await asyncio.sleep(1.0)


@scenario("table-down")
async def take_table_down(stage: Stage) -> None:
    """Refuse all calls to the table; lose a target and restart one meanwhile."""
    fleet = stage.fleet
    await fleet.set_faults(fleet.table_process, {"down": "refuse"})
    await asyncio.sleep(2.0)
    await fleet.targets[choose_target(stage, "history")].kill()
    await fleet.restart_target(choose_target(stage, "history"))
    await asyncio.sleep(3.0)
    await fleet.set_faults(fleet.table_process, {"down": ""})
    await asyncio.sleep(3.0)


@scenario("table-slow")
async def slow_table(stage: Stage) -> None:
    """Let each call to the table take most of its client's timeout."""
    fleet = stage.fleet
    await fleet.set_faults(fleet.table_process, {"delay": 0.3})
    await fleet.targets[choose_target(stage, "booker")].kill()
    await asyncio.sleep(4.0)
    await fleet.set_faults(fleet.table_process, {"delay": None})
    await asyncio.sleep(1.0)


@scenario("answers-lost")
async def lose_answers(stage: Stage) -> None:
    """Lose the answers of a third of the writes while owners change."""
    fleet = stage.fleet
    faults = {"lose_answers": {"ratio": 0.33, "seed": stage.random.randrange(1000)}}
    await fleet.set_faults(fleet.table_process, faults)
    await asyncio.sleep(1.0)
    await fleet.targets[choose_target(stage, "booker")].kill()
    await asyncio.sleep(2.0)
    entry = await find_gate(stage, choose_target(stage, "booker"))
    await entry.process.kill()
    await asyncio.sleep(3.0)
    await fleet.set_faults(fleet.table_process, {"lose_answers": None})


@scenario("data-centre-cut-off")
async def cut_data_centre(stage: Stage) -> None:
    """Separate a data centre from the others and from the platform."""
    fleet = stage.fleet
    await fleet.cut_data_centre(fleet.deployment.data_centres[0])
    await asyncio.sleep(5.0)
    await fleet.heal()
    await asyncio.sleep(2.0)


@scenario("target-drained", planned=True)
async def drain_target(stage: Stage) -> None:
    """Drain targets, which then get no new work and finish what runs."""
    for service in ("history", "booker"):
        await stage.fleet.drain(choose_target(stage, service))
        await asyncio.sleep(3.0)


@scenario("entries-replaced", planned=True, entries=6)
async def replace_entries(stage: Stage) -> None:
    """Stop entry processes as planned and replace them one after the other."""
    fleet = stage.fleet
    for number in range(3):
        handle = fleet.entries[f"entry-{number}"]
        stage.fleet.remove_from_balancer(handle.name)
        code = await handle.process.terminate(fleets.STOP_SECONDS)
        if code != 0:
            stage.problems.append(f"{handle.name} stopped with exit code {code}")
        await fleet.start_entry(number)
        await asyncio.sleep(1.0)


# Scenarios of faults together.


@scenario("gate-and-target-killed")
async def kill_gate_and_target(stage: Stage) -> None:
    """Lose a target and its gate together, then declare the target dead."""
    target = choose_target(stage, "history")
    entry = await find_gate(stage, target)
    await entry.process.kill()
    await stage.fleet.targets[target].kill()
    await asyncio.sleep(2.0)
    key = await find_key(stage, "history", target)
    await stage.fleet.declare_dead(target)
    took = await probe(stage, key, asyncio.get_running_loop().time())
    stage.measures["served after declaration"] = took
    if took >= PROBE_SECONDS:
        stage.problems.append("the keys of a target declared dead stay unserved")


@scenario("two-gates-killed")
async def kill_gates_twice(stage: Stage) -> None:
    """Kill a gate and then its successor."""
    target = choose_target(stage, "history")
    for _ in range(2):
        entry = await find_gate(stage, target)
        await measure_restoration(
            stage, f"{entry.name} killed", target, entry.process.kill
        )


@scenario("late-and-wrong-answers")
async def spoil_answers(stage: Stage) -> None:
    """Let targets answer late, twice, in part, or more than they announced."""
    fleet = stage.fleet
    faults = (
        {"answer_delay": {"seconds": 5.0, "ratio": 0.05}},
        {"answer_twice": {"ratio": 0.1}},
        {"answer_cut": {"ratio": 0.1}},
        {"answer_long": {"ratio": 0.1}},
    )
    for name, process in fleet.targets.items():
        await fleet.set_faults(process, stage.random.choice(faults))
        stage.say(f"{name} spoils answers")
    await asyncio.sleep(5.0)
    for process in fleet.targets.values():
        await fleet.set_faults(
            process,
            {
                "answer_delay": None,
                "answer_twice": None,
                "answer_cut": None,
                "answer_long": None,
            },
        )
    await asyncio.sleep(1.0)


def main(
    name: Annotated[str, typer.Argument(help="Scenario, or 'all'.")],
    seed: Annotated[int, typer.Option(help="Decides keys, faults and times.")] = 1,
    folder: Annotated[
        pathlib.Path | None, typer.Option(help="Keeps logs and settings there.")
    ] = None,
) -> None:
    """Run a scenario and exit 0 if no promise was broken."""
    names = list(scenarios) if name == "all" else [name]
    failed = False
    for chosen in names:
        if scenarios.get(chosen) is None:
            raise typer.BadParameter(f"one of: {', '.join(scenarios)}")
        with tempfile.TemporaryDirectory(prefix="dewstep-") as temporary:
            place = (folder or pathlib.Path(temporary)) / chosen
            report = uvloop.run(run_scenario(chosen, seed, place, typer.echo))
        print_report(report)
        failed = failed or not report.is_clean()
    raise typer.Exit(1 if failed else 0)


def print_report(report: Report) -> None:
    """Print a report, one line for each violation."""
    counts = " ".join(
        f"{name}={value}" for name, value in report.summary._asdict().items()
    )
    verdict = "kept" if report.is_clean() else "BROKEN"
    typer.echo(f"{report.name} seed={report.seed} promises {verdict}: {counts}")
    for name, value in report.measures.items():
        typer.echo(f"  {name}: {value:.3f} s")
    for problem in (*report.violations[:20], *report.problems):
        typer.echo(f"  {problem}")


if __name__ == "__main__":
    typer.run(main)
