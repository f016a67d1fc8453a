"""Runs a complete deployment on one machine: platform, targets and entry processes."""

import asyncio
import datetime
import pathlib
import uuid
from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import Any, NamedTuple

from returns import result

from dewstep_core import data, records, settings
from dewstep_core.http import client
from dewstep_core.platform import table
from dewstep_emulator import (
    addresses,
    deployments,
    history,
    launching,
    processes,
    toml_text,
)

STOP_SECONDS = 25.0
"""Longest time that a process takes to end after SIGTERM."""
POLL_INTERVAL_SECONDS = 0.05
TABLE_READ_SECONDS = 10.0
"""Longest time for which a read of the table is repeated. The time-out of one read is
that of the product, which a scenario on a busy machine may exceed."""


class NotReadyError(Exception):
    """The entry processes did not serve all keys in time.

    Its argument is what each process reported as unserved, None if it did not answer.
    """


class EntryHandle(NamedTuple):
    """An entry process and its ports."""

    process: processes.Process
    name: str
    data_centre: str
    callers: settings.Address
    operators: settings.Address
    peers: settings.Address


class Fleet:
    """The processes of one deployment.

    Parameters
    ----------
    deployment : deployments.Deployment
    options : launching.FleetOptions
    folder : pathlib.Path
        Folder for settings files, process logs and the targets' run logs.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        options: launching.FleetOptions,
        folder: pathlib.Path,
    ):
        self.deployment = deployment
        self.options = options
        self.folder = folder
        self.group = processes.ProcessGroup()
        self.table_process: processes.Process | None = None
        self.list_process: processes.Process | None = None
        self.targets: dict[str, processes.Process] = {}
        self.entries: dict[str, EntryHandle] = {}
        self.removed_from_balancer: set[str] = set()
        self.peer_ports: dict[str, int] = {}
        self.ended: list[processes.Process] = []
        self.table: table.TableClient | None = None
        self.configuration: data.Configuration | None = None
        self.departures: list[history.Departure] = []
        self.seed_names: tuple[str, ...] = ()
        """Entry processes that a new one uses as seeds; all if this is empty."""

    # Start and stop.

    async def start(self) -> None:
        """Start all processes and wait until the entry processes serve all keys."""
        self.folder.mkdir(parents=True, exist_ok=True)
        for file in self.folder.glob("*.runs"):
            # An earlier fleet with the same seed used the same request ids.
            file.unlink()
        await self.start_platform()
        await asyncio.gather(*(self.start_target(name) for name in self.list_targets()))
        await self.apply_configuration(self.build_configuration(1))
        for number in range(self.options.entries):
            self.peer_ports[f"entry-{number}"] = addresses.find_free_port()
        await asyncio.gather(
            *(self.start_entry(number) for number in range(self.options.entries))
        )
        await self.wait_ready()

    async def start_platform(self) -> None:
        """Start the table service and the instance list."""
        self.table_process = processes.Process(
            "table",
            launching.list_table_arguments(self.options),
            self.folder,
        )
        self.list_process = processes.Process(
            "instances", ("dewstep_emulator.instance_list",), self.folder
        )
        await asyncio.gather(
            self.group.start(self.table_process), self.group.start(self.list_process)
        )
        self.table = table.TableClient(
            (addresses.get_address(self.table_process.addresses),), "operator", "none"
        )

    def list_targets(self) -> dict[str, tuple[str, str]]:
        """Return service and data centre of each target."""
        return deployments.name_targets(self.deployment)

    async def start_target(self, name: str, port: int = 0) -> None:
        """Start a target on `port`, or on a free port if `port` is 0."""
        port = port or addresses.find_free_port()
        log = self.folder / f"{name}.{len(self.ended)}.runs"
        arguments = launching.list_target_arguments(
            self.deployment, self.options, name, port, log
        )
        process = processes.Process(name, arguments, self.folder)
        await self.group.start(process)
        self.targets[name] = process
        if self.options.crash_marker:
            await self.set_faults(process, {"crash": self.options.crash_marker})

    async def restart_target(self, name: str) -> None:
        """Kill a target and start it again on its port."""
        process = self.targets[name]
        port = process.addresses["port"]
        await process.kill()
        self.ended.append(process)
        await self.start_target(name, port)

    async def start_entry(self, number: int) -> EntryHandle:
        """Start an entry process; it replaces an earlier one of the same number."""
        centres = self.deployment.data_centres
        data_centre = centres[number % len(centres)]
        name = f"entry-{number}"
        earlier = self.entries.get(name)
        if earlier is not None:
            self.ended.append(earlier.process)
        if earlier is not None or name not in self.peer_ports:
            self.peer_ports[name] = addresses.find_free_port()
        file = self.folder / f"{name}.toml"
        seeds = [
            f"{addresses.HOST}:{port}"
            for other, port in self.peer_ports.items()
            if other != name and other in (self.seed_names or self.peer_ports)
        ]
        values = launching.build_entry_settings(
            name,
            data_centre,
            self.peer_ports[name],
            seeds,
            addresses.format_address(self.table_process.addresses),
            addresses.format_address(self.list_process.addresses),
        )
        file.write_text(
            toml_text.format_toml({**values, **self.options.entry_settings})
        )
        command = [part.format(name=name) for part in self.options.entry_command]
        process = processes.Process(name, (*command, f"--settings={file}"), self.folder)
        line = await self.group.start(process)
        handle = EntryHandle(
            process,
            name,
            data_centre,
            settings.Address(addresses.HOST, line["caller_port"]),
            settings.Address(addresses.HOST, line["operator_port"]),
            settings.Address(addresses.HOST, line["peer_port"]),
        )
        self.entries[name] = handle
        self.removed_from_balancer.discard(name)
        return handle

    def remove_from_balancer(self, name: str) -> None:
        """Send no more requests to an entry process, as before a planned stop."""
        self.removed_from_balancer.add(name)

    def list_balanced_addresses(self) -> list[settings.Address]:
        """Return the addresses of the entry processes that receive requests."""
        return [
            entry.callers
            for name, entry in self.entries.items()
            if name not in self.removed_from_balancer and entry.process.is_running()
        ]

    async def stop(self) -> dict[str, int | None]:
        """Stop all processes; return the exit codes of the entry processes."""
        codes = {}
        for name, entry in self.entries.items():
            if entry.process.is_running():
                codes[name] = await entry.process.terminate(STOP_SECONDS)
        others = [*self.targets.values(), self.table_process, self.list_process]
        await asyncio.gather(
            *(item.terminate(STOP_SECONDS) for item in others if item is not None)
        )
        if self.table is not None:
            await self.table.close()
        return codes

    async def kill_all(self) -> None:
        """Kill all processes, including those that are being started."""
        await self.group.kill()

    # Configuration.

    def build_configuration(
        self, revision: int, draining: Iterable[str] = ()
    ) -> data.Configuration:
        """Return the configuration for the running targets."""
        target_addresses = {
            name: addresses.get_address(process.addresses)
            for name, process in self.targets.items()
        }
        built = deployments.build_configuration(
            self.deployment, target_addresses, revision, self.options.unfenced
        )
        targets = {
            name: target._replace(draining=name in set(draining))
            for name, target in built.targets.items()
        }
        return built._replace(targets=targets)

    async def apply_configuration(self, configuration: data.Configuration) -> None:
        """Write a configuration to the table, as the operators' command does."""
        value = records.encode_configuration(configuration)
        revision = {"revision": configuration.revision}
        await self.write_row(
            records.ROW_KEY, value, data.Write(records.REVISION_KEY, revision)
        )
        self.configuration = configuration

    async def drain_target(self, name: str) -> None:
        """Mark a target as draining, as the operators' command does."""
        revision = self.configuration.revision + 1
        draining = {
            target.name
            for target in self.configuration.targets.values()
            if target.draining
        }
        await self.apply_configuration(
            self.build_configuration(revision, draining | {name})
        )
        now = asyncio.get_running_loop().time()
        self.departures.append(history.Departure(name, history.parse_time(now)))

    async def declare_dead(self, target: str) -> None:
        """Declare a target dead, as the operators' command does."""
        gate = (await self.table.read(f"gate/{target}")).unwrap()
        value = {
            "operator": "test",
            "time": datetime.datetime.now(datetime.UTC).isoformat(),
            "term": gate.value["term"],
        }
        await self.write_row(f"declared-dead/{target}", value)

    async def write_row(
        self, key: str, value: Mapping[str, Any], *other_writes: data.Write
    ) -> None:
        """Replace a row and write other rows in the same transaction."""
        row = (await self.table.read(key)).unwrap()
        transaction = data.Transaction(
            str(uuid.uuid4()),
            (data.Check(key, row.version),),
            (data.Write(key, value), *other_writes),
        )
        (await self.table.commit(transaction)).unwrap()

    # Faults.

    async def set_faults(
        self, process: processes.Process, faults: Mapping[str, Any]
    ) -> None:
        """Change the injected faults of an emulated service."""
        address = settings.Address(addresses.HOST, process.addresses["control_port"])
        await addresses.post_json(address, "/faults", faults)

    async def set_cut(self, entry: str, names: Iterable[str]) -> None:
        """Cut the peer links of an entry process to data centres or entry processes."""
        operators = self.entries[entry].operators
        await addresses.post_json(operators, "/faults/cut", {"names": sorted(names)})

    async def cut_data_centre(self, data_centre: str) -> None:
        """Partition a data centre from the other ones and from the platform."""
        for entry in self.entries.values():
            if not entry.process.is_running():
                continue
            others = set(self.deployment.data_centres) - {data_centre}
            names = others if entry.data_centre == data_centre else {data_centre}
            await self.set_cut(entry.name, names)
        cut = {"cut": {"data_centres": [data_centre], "mode": "hold"}}
        for process in (self.table_process, self.list_process):
            await self.set_faults(process, cut)
        for name, (_, centre) in self.list_targets().items():
            unreachable_centres = [data_centre]
            if centre == data_centre:
                unreachable_centres = sorted(
                    set(self.deployment.data_centres) - {data_centre}
                )
            entries = [
                entry.name
                for entry in self.entries.values()
                if entry.data_centre in unreachable_centres
            ]
            await self.set_faults(self.targets[name], {"cut": {"entries": entries}})

    async def end_cuts(self) -> None:
        """End all partitions."""
        for entry in self.entries.values():
            if entry.process.is_running():
                await self.set_cut(entry.name, ())
        for process in (self.table_process, self.list_process, *self.targets.values()):
            if process.is_running():
                await self.set_faults(process, {"cut": None})

    # Observation.

    async def read_dump(self, entry: str) -> dict[str, Any] | None:
        """Return the state dump of an entry process, or None if it does not answer."""
        caller = client.Client(
            self.entries[entry].operators, addresses.CALL_TIMEOUT_SECONDS
        )
        answer = await caller.call("GET", "/dump")
        await caller.close()
        response = answer.value_or(None)
        return response.read_json() if response is not None else None

    async def read_gates(self) -> dict[str, str]:
        """Return the name of each target's gate according to the table."""
        rows = await read_until_answered(lambda: self.table.read_prefix("gate/"))
        return {row.key.removeprefix("gate/"): row.value["entry"] for row in rows}

    async def read_owners(self, service: str) -> list[str]:
        """Return the owners of all shards according to the table."""
        row = await read_until_answered(
            lambda: self.table.read(f"assignment/{service}")
        )
        return list(row.value["owners"]) if row.value else []

    async def wait_ready(self, limit: float = 20.0) -> None:
        """Wait until each running entry process reports that it serves all keys.

        Raises
        ------
        NotReadyError
            If that takes longer than `limit` seconds.
        """
        unserved = {}
        try:
            async with asyncio.timeout(limit):
                for name, entry in self.entries.items():
                    while entry.process.is_running():
                        dump = await self.read_dump(name)
                        unserved[name] = None if dump is None else dump["unserved"]
                        if unserved[name] == []:
                            break
                        await asyncio.sleep(POLL_INTERVAL_SECONDS)
        except TimeoutError as error:
            raise NotReadyError(unserved) from error

    def read_runs(self) -> tuple[history.Run, ...]:
        """Return the runs in the run logs of all targets."""
        lines: list[str] = []
        for file in sorted(self.folder.glob("*.runs")):
            lines += file.read_text(errors="replace").splitlines()
        return history.read_runs(lines)

    def list_slots(self) -> dict[str, int]:
        """Return the number of slots of each target."""
        return dict.fromkeys(self.targets, self.deployment.slots)


async def read_until_answered(
    read: Callable[[], Awaitable[result.Result]], limit: float = TABLE_READ_SECONDS
) -> Any:
    """Read the table again until it answers; return the content.

    Raises
    ------
    returns.primitives.exceptions.UnwrapFailedError
        If no read that began within `limit` seconds was answered.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + limit
    outcome = await read()
    while isinstance(outcome, result.Failure) and loop.time() < end:
        await asyncio.sleep(POLL_INTERVAL_SECONDS)
        outcome = await read()
    return outcome.unwrap()
