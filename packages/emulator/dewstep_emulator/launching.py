"""Options of a fleet, and the arguments and settings of its processes."""

import pathlib
from collections.abc import Mapping
from typing import Any, NamedTuple

from dewstep_emulator import addresses, deployments


class FleetOptions(NamedTuple):
    """Options of a fleet in addition to its deployment."""

    entries: int
    """Number of entry processes."""
    seed: int = 0
    unfenced: frozenset[str] = frozenset()
    """Targets that do not check grants."""
    crash_marker: str = ""
    """Text in a key or body that crashes a target; none if empty."""
    writes_per_second: float = 400
    reads_per_second: float = 2_000
    distribution: str = "exponential"
    """Distribution of the targets' service times."""
    entry_command: tuple[str, ...] = ("dewstep_entry.main",)
    """Arguments of `python -m`; "{name}" is replaced by the name of the process."""
    entry_settings: Mapping[str, Any] = {}
    """Additional settings of each entry process, by their TOML names."""


def list_table_arguments(options: FleetOptions) -> tuple[str, ...]:
    """Return the arguments of the table service."""
    return (
        "dewstep_emulator.table_service",
        f"--writes-per-second={options.writes_per_second}",
        f"--reads-per-second={options.reads_per_second}",
    )


def list_target_arguments(
    deployment: deployments.Deployment,
    options: FleetOptions,
    name: str,
    port: int,
    log: pathlib.Path,
) -> tuple[str, ...]:
    """Return the arguments of a target that logs its runs to `log`."""
    service, _ = deployments.name_targets(deployment)[name]
    plan = next(item for item in deployment.services if item.service.name == service)
    return (
        "dewstep_emulator.target",
        f"--name={name}",
        f"--service={service}",
        f"--port={port}",
        f"--slots={deployment.slots}",
        f"--connections={deployment.connections}",
        f"--service-time-ms={plan.service_time.total_seconds() * 1000}",
        f"--distribution={options.distribution}",
        f"--seed={options.seed}",
        "--fenced" if name not in options.unfenced else "--no-fenced",
        f"--log={log}",
    )


def build_entry_settings(
    name: str,
    data_centre: str,
    peer_port: int,
    seeds: list[str],
    table: str,
    instance_list: str,
) -> dict[str, Any]:
    """Return the settings of an entry process by their TOML names."""
    values = {
        "entry": name,
        "data_centre": data_centre,
        "caller_address": f"{addresses.HOST}:{addresses.find_free_port()}",
        "peer_address": f"{addresses.HOST}:{peer_port}",
        "operator_address": f"{addresses.HOST}:{addresses.find_free_port()}",
        "table_addresses": [table],
        "instance_list_address": instance_list,
        "fault_injection": True,
    }
    return {**values, "seeds": seeds} if seeds else values
