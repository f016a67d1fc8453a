"""A baseline deployment with plain relays instead of entry processes.

Relays use static hashing and have no moves, queues or grants. `RelayFleet` implements
the parts of `dewstep_emulator.fleets.Fleet` that the benchmark scripts use.
"""

import asyncio
import json

from dewstep_core import placement, settings
from dewstep_emulator import addresses, fleets, processes

UNUSED_ADDRESS = settings.Address(addresses.HOST, 0)


class RelayFleet(fleets.Fleet):
    """Relays and unfenced targets.

    The parameters are those of `Fleet`. All targets are unfenced, since relays send no
    grants.
    """

    async def start(self) -> None:
        """Start targets and relays."""
        self.folder.mkdir(parents=True, exist_ok=True)
        for file in self.folder.glob("*.runs"):
            file.unlink()
        names = self.list_targets()
        self.options = self.options._replace(unfenced=frozenset(names))
        await asyncio.gather(*(self.start_target(name) for name in names))
        self.configuration = self.build_configuration(1)
        for number in range(self.options.entries):
            self.peer_ports[f"entry-{number}"] = addresses.find_free_port()
        (self.folder / "routes.json").write_text(json.dumps(self.build_routes()))
        await asyncio.gather(
            *(self.start_entry(number) for number in range(self.options.entries))
        )

    def compute_owners(self) -> dict[str, list[str]]:
        """Return the owners of all shards of all services."""
        targets = self.configuration.targets.values()
        return {
            name: list(placement.plan_initial(service, targets))
            for name, service in self.configuration.services.items()
        }

    def build_routes(self) -> dict:
        """Return `relay.Routes` as a JSON value, with one relay per target."""
        centre_names = self.deployment.data_centres
        relays = range(self.options.entries)
        relay_of = {}
        for position, (name, (_, target_centre)) in enumerate(
            self.list_targets().items()
        ):
            local_relays = [
                number
                for number in relays
                if centre_names[number % len(centre_names)] == target_centre
            ]
            relay_of[name] = local_relays[position % len(local_relays)]
        return {
            "relays": [(addresses.HOST, port) for port in self.peer_ports.values()],
            "targets": {
                name: (target.host, target.port)
                for name, target in self.configuration.targets.items()
            },
            "owners": self.compute_owners(),
            "relay_of": relay_of,
        }

    async def start_entry(self, number: int) -> fleets.EntryHandle:
        """Start a relay; a restarted relay reuses its port."""
        name = f"entry-{number}"
        previous = self.entries.get(name)
        if previous is not None:
            self.ended.append(previous.process)
        process = processes.Process(
            name.replace("entry", "relay"),
            (
                "dewstep_emulator.relay",
                f"--routes={self.folder / 'routes.json'}",
                f"--number={number}",
                f"--port={self.peer_ports[name]}",
            ),
            self.folder,
        )
        announced = await self.group.start(process)
        centre_names = self.deployment.data_centres
        callers = settings.Address(announced["host"], announced["port"])
        handle = fleets.EntryHandle(
            process,
            name,
            centre_names[number % len(centre_names)],
            callers,
            UNUSED_ADDRESS,
            UNUSED_ADDRESS,
        )
        self.entries[name] = handle
        self.removed_from_balancer.discard(name)
        return handle

    async def read_gates(self) -> dict[str, str]:
        """Return the relay that is responsible for each target."""
        routes = json.loads((self.folder / "routes.json").read_text())
        return {name: f"entry-{number}" for name, number in routes["relay_of"].items()}

    async def read_owners(self, service: str) -> list[str]:
        """Return the owners of all shards."""
        return self.compute_owners()[service]

    async def cut_data_centre(self, data_centre: str) -> None:
        """Raise an error, since relays have no fault injection."""
        raise NotImplementedError("relays do not support cutting off a data centre")
