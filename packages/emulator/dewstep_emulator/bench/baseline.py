"""A fleet of bare relays in the place of the entry processes.

It has static hashing without moves, no queue and no grants. It offers what the
scripts use of `dewstep_emulator.fleet.Fleet`.
"""

import asyncio
import json

from dewstep_core import placement, settings
from dewstep_emulator import addresses, fleet as fleets, processes

RELAY_PORT = settings.Address(addresses.HOST, 0)


class RelayFleet(fleets.Fleet):
    """Relays and unfenced targets.

    The parameters are those of `Fleet`; all targets are unfenced, since nobody sends
    them grants.
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
            name: list(placement.plan_first(service, targets))
            for name, service in self.configuration.services.items()
        }

    def build_routes(self) -> dict:
        """Return the JSON form of `relay.Routes`: a relay in each target's centre."""
        centres = self.deployment.data_centres
        relays = range(self.options.entries)
        relay_of = {}
        for position, (name, (_, centre)) in enumerate(self.list_targets().items()):
            near = [
                number for number in relays if centres[number % len(centres)] == centre
            ]
            relay_of[name] = near[position % len(near)]
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
        """Start a relay, again on its port if it ran before."""
        name = f"entry-{number}"
        earlier = self.entries.get(name)
        if earlier is not None:
            self.ended.append(earlier.process)
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
        line = await self.group.start(process)
        centres = self.deployment.data_centres
        callers = settings.Address(line["host"], line["port"])
        handle = fleets.EntryHandle(
            process,
            name,
            centres[number % len(centres)],
            callers,
            RELAY_PORT,
            RELAY_PORT,
        )
        self.entries[name] = handle
        self.withdrawn.discard(name)
        return handle

    async def read_gates(self) -> dict[str, str]:
        """Return the relay that is responsible for each target."""
        routes = json.loads((self.folder / "routes.json").read_text())
        return {name: f"entry-{number}" for name, number in routes["relay_of"].items()}

    async def read_owners(self, service: str) -> list[str]:
        """Return the owners of all shards."""
        return self.compute_owners()[service]

    async def cut_data_centre(self, data_centre: str) -> None:
        """Refuse: relays have no fault injection."""
        raise NotImplementedError("relays cannot be cut off")
