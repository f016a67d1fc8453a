"""Scripts of the benchmark scenarios."""

import asyncio

from dewstep_emulator import fleets
from dewstep_emulator.bench import benchmark_run, plans

STEADY_SECONDS = 10.0
BEFORE_SECONDS = 3.0
AFTER_SECONDS = 6.0


@plans.scenario("steady")
async def run_steady_load(benchmark: benchmark_run.BenchmarkRun) -> None:
    """Load the targets to half of their capacity without faults."""
    await asyncio.sleep(STEADY_SECONDS)


@plans.scenario("rush", hot_share=0.5)
async def change_hot_keys(benchmark: benchmark_run.BenchmarkRun) -> None:
    """Send half of the load to 34 hot keys per service, which change once."""
    await asyncio.sleep(STEADY_SECONDS)
    benchmark.load_tool.change_control(rotation=1)
    benchmark.add_mark("hot keys changed")
    await asyncio.sleep(2 * STEADY_SECONDS)
    benchmark.add_mark("balanced")
    await asyncio.sleep(STEADY_SECONDS)


@plans.scenario("overload", factor=1.0, peak_factor=2.0, resend=False)
async def double_full_load(benchmark: benchmark_run.BenchmarkRun) -> None:
    """Load the targets to full capacity, then to twice of it; callers do not retry."""
    await asyncio.sleep(STEADY_SECONDS)
    benchmark.load_tool.change_control(factor=2.0)
    benchmark.add_mark("load doubled")
    await asyncio.sleep(STEADY_SECONDS)
    benchmark.add_mark("load ended")


@plans.scenario("target-lost")
async def kill_target(benchmark: benchmark_run.BenchmarkRun) -> None:
    """Kill a target without restarting it."""
    await asyncio.sleep(BEFORE_SECONDS)
    target = benchmark.choose_target(benchmark.busiest_service)
    benchmark.add_required_moves(target)
    await benchmark.fleet.targets[target].kill()
    benchmark.add_mark("fault")
    await asyncio.sleep(AFTER_SECONDS)


@plans.scenario("target-slow")
async def slow_down_target(benchmark: benchmark_run.BenchmarkRun) -> None:
    """Slow a target down tenfold while it reports no load."""
    await asyncio.sleep(BEFORE_SECONDS)
    target = benchmark.choose_target(benchmark.busiest_service)
    faults = {"slow_factor": 10.0, "load": {"state": "live", "load": 0.0}}
    await benchmark.fleet.set_faults(benchmark.fleet.targets[target], faults)
    benchmark.notes["slow_target"] = target
    benchmark.add_mark("fault")
    await asyncio.sleep(2 * AFTER_SECONDS)


@plans.scenario("entry-lost")
async def kill_entry(benchmark: benchmark_run.BenchmarkRun) -> None:
    """Kill the entry process that holds the gate of a target."""
    await asyncio.sleep(BEFORE_SECONDS)
    gates = await benchmark.fleet.read_gates()
    name = gates[benchmark.choose_target(benchmark.busiest_service)]
    await benchmark.fleet.entries[name].process.kill()
    benchmark.add_mark("fault")
    await asyncio.sleep(AFTER_SECONDS)


@plans.scenario("rolling")
async def replace_entries(benchmark: benchmark_run.BenchmarkRun) -> None:
    """Stop and replace all entry processes one after another."""
    codes = []
    for number in range(benchmark.deployment.entries):
        handle = benchmark.fleet.entries[f"entry-{number}"]
        benchmark.fleet.remove_from_balancer(handle.name)
        codes.append(await handle.process.terminate(fleets.STOP_SECONDS))
        await benchmark.fleet.start_entry(number)
        benchmark.add_mark(f"{handle.name} replaced")
    benchmark.notes["exit_codes"] = codes
    await asyncio.sleep(BEFORE_SECONDS)


@plans.scenario("table-outage")
async def refuse_table_calls(benchmark: benchmark_run.BenchmarkRun) -> None:
    """Let the table service refuse all calls for `AFTER_SECONDS`."""
    await asyncio.sleep(BEFORE_SECONDS)
    fleet = benchmark.fleet
    await fleet.set_faults(fleet.table_process, {"down": "refuse"})
    benchmark.add_mark("fault")
    await asyncio.sleep(AFTER_SECONDS)
    await fleet.set_faults(fleet.table_process, {"down": ""})
    benchmark.add_mark("healed")
    await asyncio.sleep(BEFORE_SECONDS)


@plans.scenario("centre-cut-off")
async def cut_data_centre(benchmark: benchmark_run.BenchmarkRun) -> None:
    """Cut a data centre off from the others and from the platform."""
    await asyncio.sleep(BEFORE_SECONDS)
    await benchmark.fleet.cut_data_centre(benchmark.deployment.data_centres[0])
    benchmark.add_mark("fault")
    await asyncio.sleep(AFTER_SECONDS)
    await benchmark.fleet.end_cuts()
    benchmark.add_mark("healed")
    await asyncio.sleep(BEFORE_SECONDS)
