"""Configuration changes: races, lost answers, processes that lag behind."""

import asyncio
import json
from collections.abc import Collection, Iterator, Mapping
from typing import Any, NamedTuple

from dewstep_core import data
from dewstep_emulator import addresses, processes, promises, record_files
from dewstep_emulator.scenarios import measures, staging

ROUNDS = 3
OPERATORS = 4
SERVICE = "history"
KIND = "due"
FIRST_MARK = 1000
APPLIED = 0
LOST_RACE = 1
QUICK_REVISIONS = 20
RACE_DELAY = 0.3
"""Seconds; the commands of one round start within about that time."""
TABLE_DELAY = 0.15
"""Seconds for each call. A process reads configuration, gates and assignments one
after the other, and so offers a configuration that is 0.3 s old to its view."""


class RevisionShared(NamedTuple):
    """Two operators got the same revision acknowledged."""

    revision: int


class RevisionReplaced(NamedTuple):
    """The table shows something else under an acknowledged revision."""

    revision: int
    applied: float
    shown: float


class RefusedApplied(NamedTuple):
    """What an operator was told to have lost the race came into force."""

    mark: float


class Order(NamedTuple):
    """One run of `dewstep apply` and how it ended."""

    mark: float
    """Weight of one kind, different in each order."""
    code: int
    revision: int
    ended: float
    """Event loop's time."""


def mark(configuration: data.Configuration, value: float) -> data.Configuration:
    """Return a configuration that can be told from others."""
    service = configuration.services[SERVICE]
    kinds = tuple(
        kind._replace(weight=value) if kind.name == KIND else kind
        for kind in service.kinds
    )
    services = {**configuration.services, SERVICE: service._replace(kinds=kinds)}
    return configuration._replace(services=services)


def read_mark(value: Mapping[str, Any]) -> float:
    """Return the mark in a row `configuration`."""
    services = {record["name"]: record for record in value["records"]["service"]}
    kinds = {record["name"]: record for record in services[SERVICE]["kind"]}
    return kinds[KIND]["weight"]


async def apply_marked(
    stage: staging.Stage,
    value: float,
    schemas: Mapping[str, int] | None = None,
    draining: Collection[str] = (),
) -> Order:
    """Run `dewstep apply` with a marked configuration."""
    fleet = stage.fleet
    file = fleet.folder / f"records-{value:g}.toml"
    configuration = fleet.configuration
    if draining:
        configuration = fleet.build_configuration(configuration.revision, draining)
    record_files.write_records(mark(configuration, value), file, schemas)
    entry = measures.list_serving(stage)[0].operators
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
    revision = json.loads(ended.output)["revision"] if ended.code == APPLIED else 0
    now = asyncio.get_running_loop().time()
    stage.say(f"apply {value:g}: exit code {ended.code}, revision {revision}")
    return Order(value, ended.code, revision, now)


def check_orders(stage: staging.Stage, orders: list[Order]) -> None:
    """Compare what operators were told with what the table showed."""
    stage.violations.extend(find_broken_orders(stage, orders))
    if not any(order.code == APPLIED for order in orders):
        stage.violations.append(promises.NotPressed("no order was acknowledged"))


def find_broken_orders(
    stage: staging.Stage, orders: list[Order]
) -> Iterator[NamedTuple]:
    """Yield the orders that ended otherwise than operators were told."""
    shown = {
        content["revision"]: read_mark(content)
        for (key, _), content in stage.watcher.contents.items()
        if key == "configuration"
    }
    applied = [order for order in orders if order.code == APPLIED]
    revisions = [order.revision for order in applied]
    for order in applied:
        if revisions.count(order.revision) > 1:
            yield RevisionShared(order.revision)
        found = shown.get(order.revision, order.mark)
        if found != order.mark:
            yield RevisionReplaced(order.revision, order.mark, found)
    for order in orders:
        if order.code == LOST_RACE and order.mark in shown.values():
            yield RefusedApplied(order.mark)


async def race(stage: staging.Stage, delay: float | None = None) -> None:
    """Let operators apply different records at one time, several times.

    Parameters
    ----------
    delay : float, optional
        Seconds for each call to the table while the operators work.
    """
    fleet = stage.fleet
    orders: list[Order] = []
    for number in range(ROUNDS):
        first = FIRST_MARK + OPERATORS * number
        await fleet.set_faults(fleet.table_process, {"delay": delay})
        found = await asyncio.gather(
            *(apply_marked(stage, float(first + other)) for other in range(OPERATORS))
        )
        await fleet.set_faults(fleet.table_process, {"delay": None})
        orders += found
        for order in found:
            if order.code == APPLIED:
                name = f"revision {order.revision} in force everywhere"
                stage.measures[name] = await measures.wait_in_force(
                    stage, order.revision, order.ended
                )
    stage.measures["races lost"] = sum(order.code == LOST_RACE for order in orders)
    await stage.watcher.read_rows()
    check_orders(stage, orders)


@staging.scenario("operators-race", planned=True, rate=60)
async def race_operators(stage: staging.Stage) -> None:
    """Let operators race with each other.

    The table is slow, so that one reads the configuration before another has written
    it although their commands do not start at the same moment.
    """
    await race(stage, RACE_DELAY)
    if not stage.measures["races lost"]:
        stage.violations.append(promises.NotPressed("no operator lost a race"))


@staging.scenario("operators-race-answers-lost", rate=60)
async def race_with_lost_answers(stage: staging.Stage) -> None:
    """Let operators race while the table loses half of its answers to writes."""
    fleet = stage.fleet
    faults = {"lose_answers": {"ratio": 0.5, "seed": stage.random.randrange(1000)}}
    await fleet.set_faults(fleet.table_process, faults)
    await race(stage)
    await fleet.set_faults(fleet.table_process, {"lose_answers": None})


@staging.scenario("entry-frozen-across-revisions", rate=60)
async def freeze_across_revisions(stage: staging.Stage) -> None:
    """Freeze an entry process while three revisions come into force."""
    entry = stage.fleet.entries["entry-1"]
    entry.process.freeze()
    orders = []
    for number in range(3):
        orders.append(await apply_marked(stage, float(FIRST_MARK + number)))
        await measures.wait_in_force(stage, orders[-1].revision, orders[-1].ended)
    if stage.watcher.revisions.get(entry.name, 0) >= orders[0].revision:
        stage.violations.append(promises.NotPressed("the process was not behind"))
    resumed = asyncio.get_running_loop().time()
    entry.process.resume()
    stage.measures["in force after the pause"] = await measures.wait_in_force(
        stage, orders[-1].revision, resumed
    )
    await stage.watcher.read_rows()
    check_orders(stage, orders)


async def cut_off(stage: staging.Stage, names: set[str]) -> None:
    """Separate some entry processes from the other ones and from the table."""
    fleet = stage.fleet
    for name in fleet.entries:
        others = set(fleet.entries) - names
        await fleet.set_cut(name, others if name in names else names)
    faults = {"cut": {"entries": sorted(names), "mode": "close"}}
    await fleet.set_faults(fleet.table_process, faults)


@staging.scenario("entry-started-by-lagging-peer", rate=60)
async def start_by_lagging_peer(stage: staging.Stage) -> None:
    """Start an entry process in an outage that at first knows a lagging peer only."""
    fleet = stage.fleet
    lagging, started = "entry-0", f"entry-{len(fleet.entries)}"
    await cut_off(stage, {lagging, started})
    revision = fleet.configuration.revision + 1
    await fleet.apply(mark(fleet.build_configuration(revision), float(FIRST_MARK)))
    await asyncio.sleep(measures.IN_FORCE_LIMIT)
    await fleet.set_faults(fleet.table_process, {"down": "refuse"})
    fleet.seed_names = (lagging,)
    await fleet.start_entry(len(fleet.entries))
    await fleet.set_cut(started, set(fleet.entries) - {lagging, started})
    await asyncio.sleep(1.5)
    shown = stage.watcher.revisions
    if not 0 < shown.get(started, 0) < revision or shown[lagging] >= revision:
        stage.violations.append(promises.NotPressed(f"revisions {shown}"))
    since = asyncio.get_running_loop().time()
    await fleet.heal()
    stage.measures["in force after the cut"] = await measures.wait_in_force(
        stage, revision, since
    )
    await fleet.set_faults(fleet.table_process, {"down": ""})
    await asyncio.sleep(1.0)


@staging.scenario("schema-versions-mixed", planned=True, rate=60)
async def mix_schemas(stage: staging.Stage) -> None:
    """Apply records of the old and new schema version by turns and side by side."""
    orders = []
    mixes = (
        {"history": 1, "booker": 1, "intake": 1},
        {"history": 1},
        {},
        {"booker": 1},
    )
    for number, schemas in enumerate(mixes):
        order = await apply_marked(stage, float(FIRST_MARK + number), schemas)
        orders.append(order)
        if order.code != APPLIED:
            detail = f"schemas {schemas}"
            stage.violations.append(promises.OrderRefused(detail, order.code))
        name = f"schemas {schemas} in force"
        stage.measures[name] = await measures.wait_in_force(
            stage, order.revision, order.ended
        )
    await stage.watcher.read_rows()
    check_orders(stage, orders)


@staging.scenario("revisions-in-quick-succession", rate=60)
async def change_quickly(stage: staging.Stage) -> None:
    """Change the configuration often while entry processes pause and go on.

    A process that goes on finds answers of several ages in its sockets, from the
    table and from peers, and may read the oldest last.
    """
    fleet = stage.fleet
    await fleet.set_faults(fleet.table_process, {"delay": TABLE_DELAY})
    pausing = asyncio.ensure_future(pause_at_random(stage))
    for number in range(QUICK_REVISIONS):
        revision = fleet.configuration.revision + 1
        await fleet.apply(mark(fleet.build_configuration(revision), float(number)))
    await fleet.set_faults(fleet.table_process, {"delay": None})
    pausing.cancel()
    await asyncio.gather(pausing, return_exceptions=True)
    since = asyncio.get_running_loop().time()
    for entry in fleet.entries.values():
        entry.process.resume()
    stage.measures["in force after the last"] = await measures.wait_in_force(
        stage, fleet.configuration.revision, since
    )


async def pause_at_random(stage: staging.Stage) -> None:
    """Pause one entry process after another for a part of a second."""
    while True:
        name = stage.random.choice(sorted(stage.fleet.entries))
        process = stage.fleet.entries[name].process
        process.freeze()
        await asyncio.sleep(stage.random.uniform(0.1, 0.4))
        process.resume()
        await asyncio.sleep(stage.random.uniform(0.0, 0.1))
