"""Configuration changes: races, lost answers, and entry processes that lag behind."""

import asyncio
import json
from collections.abc import Collection, Iterator, Mapping
from typing import Any, NamedTuple

from dewstep_core import data
from dewstep_emulator import addresses, processes, promises, record_files
from dewstep_emulator.scenarios import measures, scenario_runs

ROUNDS = 3
OPERATOR_COUNT = 4
SERVICE = "history"
KIND = "due"
FIRST_MARKER_WEIGHT = 1000
APPLIED_EXIT_CODE = 0
LOST_RACE_EXIT_CODE = 1
REVISION_COUNT = 20
RACE_TABLE_DELAY_SECONDS = 0.3
"""The commands of one round start within about this time, so their work overlaps."""
TABLE_DELAY_SECONDS = 0.15
"""Delay of each call. A process reads configuration, gates and assignments one after
another, so the configuration it applies is 0.3 s old."""


class RevisionShared(NamedTuple):
    """The same revision was acknowledged to two operators."""

    revision: int


class RevisionReplaced(NamedTuple):
    """The table contains a different configuration than the acknowledged one."""

    revision: int
    applied: float
    shown: float


class RefusedApplied(NamedTuple):
    """A configuration came into force although its command reported a lost race."""

    marker_weight: float


class Order(NamedTuple):
    """One run of `dewstep apply` and its result."""

    marker_weight: float
    """Weight of one request kind; unique per order."""
    code: int
    revision: int
    ended: float
    """Event loop time."""


def set_marker_weight(
    configuration: data.Configuration, marker_weight: float
) -> data.Configuration:
    """Return the configuration with a weight that identifies it."""
    service = configuration.services[SERVICE]
    kinds = tuple(
        kind._replace(weight=marker_weight) if kind.name == KIND else kind
        for kind in service.kinds
    )
    services = {**configuration.services, SERVICE: service._replace(kinds=kinds)}
    return configuration._replace(services=services)


def read_marker_weight(row_value: Mapping[str, Any]) -> float:
    """Return the identifying weight in the value of a `configuration` row."""
    services = {record["name"]: record for record in row_value["records"]["service"]}
    kinds = {record["name"]: record for record in services[SERVICE]["kind"]}
    return kinds[KIND]["weight"]


async def apply_with_marker(
    scenario_run: scenario_runs.ScenarioRun,
    marker_weight: float,
    schemas: Mapping[str, int] | None = None,
    draining: Collection[str] = (),
) -> Order:
    """Run `dewstep apply` with a configuration identified by its weight."""
    fleet = scenario_run.fleet
    file = fleet.folder / f"records-{marker_weight:g}.toml"
    configuration = fleet.configuration
    if draining:
        configuration = fleet.build_configuration(configuration.revision, draining)
    record_files.write_records(
        set_marker_weight(configuration, marker_weight), file, schemas
    )
    entry = measures.list_serving_entries(scenario_run)[0].operators
    ended = await processes.run_command(
        (
            "dewstep_operator.main",
            f"--table={addresses.format_address(fleet.table_process.addresses)}",
            f"--entry={entry.host}:{entry.port}",
            "--json",
            "apply",
            str(file),
        )
    )
    revision = (
        json.loads(ended.output)["revision"] if ended.code == APPLIED_EXIT_CODE else 0
    )
    now = asyncio.get_running_loop().time()
    scenario_run.print_line(
        f"apply {marker_weight:g}: exit code {ended.code}, revision {revision}"
    )
    return Order(marker_weight, ended.code, revision, now)


def check_orders(scenario_run: scenario_runs.ScenarioRun, orders: list[Order]) -> None:
    """Compare the results of commands with the contents of the table."""
    scenario_run.violations.extend(find_broken_orders(scenario_run, orders))
    if not any(order.code == APPLIED_EXIT_CODE for order in orders):
        scenario_run.violations.append(
            promises.ConditionNotReached("no order was acknowledged")
        )


def find_broken_orders(
    scenario_run: scenario_runs.ScenarioRun, orders: list[Order]
) -> Iterator[NamedTuple]:
    """Yield a violation for each order whose result differs from the table."""
    shown = {
        content["revision"]: read_marker_weight(content)
        for (key, _), content in scenario_run.monitor.row_values.items()
        if key == "configuration"
    }
    applied = [order for order in orders if order.code == APPLIED_EXIT_CODE]
    revisions = [order.revision for order in applied]
    for order in applied:
        if revisions.count(order.revision) > 1:
            yield RevisionShared(order.revision)
        shown_weight = shown.get(order.revision, order.marker_weight)
        if shown_weight != order.marker_weight:
            yield RevisionReplaced(order.revision, order.marker_weight, shown_weight)
    for order in orders:
        if order.code == LOST_RACE_EXIT_CODE and order.marker_weight in shown.values():
            yield RefusedApplied(order.marker_weight)


async def race_in_rounds(
    scenario_run: scenario_runs.ScenarioRun, delay: float | None = None
) -> None:
    """Let operators apply different records concurrently in several rounds.

    Parameters
    ----------
    delay : float, optional
        Delay of each call to the table during a round, in seconds.
    """
    fleet = scenario_run.fleet
    orders: list[Order] = []
    for number in range(ROUNDS):
        first = FIRST_MARKER_WEIGHT + OPERATOR_COUNT * number
        await fleet.set_faults(fleet.table_process, {"delay": delay})
        round_orders = await asyncio.gather(
            *(
                apply_with_marker(scenario_run, float(first + other))
                for other in range(OPERATOR_COUNT)
            )
        )
        await fleet.set_faults(fleet.table_process, {"delay": None})
        orders += round_orders
        for order in round_orders:
            if order.code == APPLIED_EXIT_CODE:
                name = f"revision {order.revision} in force everywhere"
                scenario_run.measures[name] = await measures.wait_until_in_force(
                    scenario_run, order.revision, order.ended
                )
    scenario_run.measures["races lost"] = sum(
        order.code == LOST_RACE_EXIT_CODE for order in orders
    )
    await scenario_run.monitor.read_rows()
    check_orders(scenario_run, orders)


@scenario_runs.scenario("operators-race", forbid_unknown_outcomes=True, rate=60)
async def race_operators(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Let operators apply different records concurrently.

    The table is slow, so that one command reads the configuration before another has
    written it although they do not start at the same time.
    """
    await race_in_rounds(scenario_run, RACE_TABLE_DELAY_SECONDS)
    if not scenario_run.measures["races lost"]:
        scenario_run.violations.append(
            promises.ConditionNotReached("no operator lost a race")
        )


@scenario_runs.scenario("operators-race-answers-lost", rate=60)
async def race_with_lost_answers(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Let operators race while half of the answers to table writes are lost."""
    fleet = scenario_run.fleet
    faults = {
        "lose_answers": {"ratio": 0.5, "seed": scenario_run.random.randrange(1000)}
    }
    await fleet.set_faults(fleet.table_process, faults)
    await race_in_rounds(scenario_run)
    await fleet.set_faults(fleet.table_process, {"lose_answers": None})


@scenario_runs.scenario("entry-frozen-across-revisions", rate=60)
async def freeze_across_revisions(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Pause an entry process while three revisions come into force."""
    entry = scenario_run.fleet.entries["entry-1"]
    entry.process.freeze()
    orders = []
    for number in range(3):
        orders.append(
            await apply_with_marker(scenario_run, float(FIRST_MARKER_WEIGHT + number))
        )
        await measures.wait_until_in_force(
            scenario_run, orders[-1].revision, orders[-1].ended
        )
    if scenario_run.monitor.revisions.get(entry.name, 0) >= orders[0].revision:
        scenario_run.violations.append(
            promises.ConditionNotReached(
                f"{entry.name} applied a revision during its pause"
            )
        )
    resumed = asyncio.get_running_loop().time()
    entry.process.resume()
    scenario_run.measures[
        "in force after the pause"
    ] = await measures.wait_until_in_force(scenario_run, orders[-1].revision, resumed)
    await scenario_run.monitor.read_rows()
    check_orders(scenario_run, orders)


async def isolate_entries(
    scenario_run: scenario_runs.ScenarioRun, names: set[str]
) -> None:
    """Cut some entry processes off from the others and from the table."""
    fleet = scenario_run.fleet
    for name in fleet.entries:
        others = set(fleet.entries) - names
        await fleet.set_cut(name, others if name in names else names)
    faults = {"cut": {"entries": sorted(names), "mode": "close"}}
    await fleet.set_faults(fleet.table_process, faults)


@scenario_runs.scenario("entry-started-by-lagging-peer", rate=60)
async def start_by_lagging_peer(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Start an entry process, during an outage, whose only seed is a lagging peer."""
    fleet = scenario_run.fleet
    lagging, started = "entry-0", f"entry-{len(fleet.entries)}"
    await isolate_entries(scenario_run, {lagging, started})
    revision = fleet.configuration.revision + 1
    await fleet.apply_configuration(
        set_marker_weight(
            fleet.build_configuration(revision), float(FIRST_MARKER_WEIGHT)
        )
    )
    await asyncio.sleep(measures.IN_FORCE_LIMIT_SECONDS)
    await fleet.set_faults(fleet.table_process, {"down": "refuse"})
    fleet.seed_names = (lagging,)
    await fleet.start_entry(len(fleet.entries))
    await fleet.set_cut(started, set(fleet.entries) - {lagging, started})
    await asyncio.sleep(1.5)
    shown = scenario_run.monitor.revisions
    if not 0 < shown.get(started, 0) < revision or shown[lagging] >= revision:
        scenario_run.violations.append(
            promises.ConditionNotReached(f"revisions {shown}")
        )
    since = asyncio.get_running_loop().time()
    await fleet.end_cuts()
    scenario_run.measures[
        "in force after the cut"
    ] = await measures.wait_until_in_force(scenario_run, revision, since)
    await fleet.set_faults(fleet.table_process, {"down": ""})
    await asyncio.sleep(1.0)


@scenario_runs.scenario("schema-versions-mixed", forbid_unknown_outcomes=True, rate=60)
async def mix_schemas(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Apply records of the old and the new schema version, alternating and mixed."""
    orders = []
    mixes = (
        {"history": 1, "booker": 1, "intake": 1},
        {"history": 1},
        {},
        {"booker": 1},
    )
    for number, schemas in enumerate(mixes):
        order = await apply_with_marker(
            scenario_run, float(FIRST_MARKER_WEIGHT + number), schemas
        )
        orders.append(order)
        if order.code != APPLIED_EXIT_CODE:
            detail = f"schemas {schemas}"
            scenario_run.violations.append(promises.OrderRefused(detail, order.code))
        name = f"schemas {schemas} in force"
        scenario_run.measures[name] = await measures.wait_until_in_force(
            scenario_run, order.revision, order.ended
        )
    await scenario_run.monitor.read_rows()
    check_orders(scenario_run, orders)


@scenario_runs.scenario("revisions-in-quick-succession", rate=60)
async def apply_revisions_quickly(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Change the configuration often while entry processes pause and resume.

    The sockets of a resumed process contain answers of different ages from the table
    and from peers, and the oldest may be read last.
    """
    fleet = scenario_run.fleet
    await fleet.set_faults(fleet.table_process, {"delay": TABLE_DELAY_SECONDS})
    pausing = asyncio.ensure_future(pause_random_entries(scenario_run))
    for number in range(REVISION_COUNT):
        revision = fleet.configuration.revision + 1
        await fleet.apply_configuration(
            set_marker_weight(fleet.build_configuration(revision), float(number))
        )
    await fleet.set_faults(fleet.table_process, {"delay": None})
    pausing.cancel()
    await asyncio.gather(pausing, return_exceptions=True)
    since = asyncio.get_running_loop().time()
    for entry in fleet.entries.values():
        entry.process.resume()
    scenario_run.measures[
        "in force after the last"
    ] = await measures.wait_until_in_force(
        scenario_run, fleet.configuration.revision, since
    )


async def pause_random_entries(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Pause random entry processes, one at a time, for less than a second."""
    while True:
        name = scenario_run.random.choice(sorted(scenario_run.fleet.entries))
        process = scenario_run.fleet.entries[name].process
        process.freeze()
        await asyncio.sleep(scenario_run.random.uniform(0.1, 0.4))
        process.resume()
        await asyncio.sleep(scenario_run.random.uniform(0.0, 0.1))
