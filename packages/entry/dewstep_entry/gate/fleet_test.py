"""Several processes with their gates around one table, for tests."""

import asyncio

from dewstep_core import clocks, data, hashing
from dewstep_entry.gate import dependencies, fakes_test as fakes, manager, rows
from dewstep_entry.state import view

MS, SECOND = fakes.MS, fakes.SECOND
SHARD = hashing.compute_shard("k1", 8)


def plan_round_robin(assignment, lost, candidates):
    return tuple(
        candidates[shard % len(candidates)] if owner == lost else owner
        for shard, owner in enumerate(assignment.owners)
    )


class Fleet:
    """Entry processes around one table, with targets t1 and t2, all shards at t1."""

    def __init__(self, fenced=True):
        self.clock = clocks.ManualClock()
        self.table = fakes.Table()
        targets = {n: fakes.make_target(n, fenced=fenced) for n in ("t1", "t2")}
        self.configuration = data.Configuration(1, {"s": fakes.SERVICE}, targets)
        assignment = data.Assignment("s", 0, ("t1",) * 8, {}, ())
        self.table.put("assignment/s", rows.encode_assignment(assignment, "op0"))
        self.servers = {name: fakes.TargetServer(self.clock) for name in targets}
        self.fenced = fenced
        self.processes = {}
        self.sent = []

    def add(self, entry, incarnation="i1", data_centre="dc1"):
        own_member = data.Member(entry, incarnation, data_centre, "127.0.0.1", 1)
        view_holder = view.ViewHolder()
        view_holder.offer_configuration(self.configuration)
        connections = dependencies.Dependencies(
            lambda target: fakes.Channel(self.servers[target.name], self.fenced),
            lambda target: fakes.FifoAdmission(target.slots),
            lambda target: fakes.FixedRetryBudget(),
            plan_round_robin,
            self.send,
        )
        added = manager.GateManager(
            own_member,
            view_holder,
            self.table,
            self.clock,
            fakes.SETTINGS._replace(entry=entry),
            connections,
        )
        self.processes[entry] = added
        for process in self.processes.values():
            for other in self.processes.values():
                self.set_member_alive(process, other.own_member, True)
        return added

    def set_member_alive(self, process, member, alive):
        state = view.MemberState(member, self.clock.monotonic(), alive)
        process.view_holder.set_member(state)

    async def send(self, entry, message):
        self.sent.append(message)
        await self.processes[entry].receive_handover(message)

    async def pass_time(self, duration, step=10 * MS):
        """Advance time; every 50 ms, all processes read the rows and check targets."""
        end = self.clock.monotonic() + duration
        while self.clock.monotonic() < end:
            for process in self.processes.values():
                for name in ("t1", "t2"):
                    row = self.table.get(f"gate/{name}")
                    if row.value is not None and not self.table.down:
                        record = rows.decode_gate(row, SECOND).unwrap()
                        process.view_holder.offer_gate(record.row)
                process.check_targets()
            await fakes.pass_time(self.clock, max(step, 50 * MS), step)

    def read_owners(self):
        return self.table.get("assignment/s").value["owners"]

    def pause_process(self, entry):
        """Pause a process and let the others suspect it."""
        paused = self.processes.pop(entry)
        for process in self.processes.values():
            self.set_member_alive(process, paused.own_member, False)
        return paused

    async def send_request(self, process, request_id="r1", **fields):
        fields = {"deadline": self.clock.monotonic() + 9 * SECOND, **fields}
        return await process.handle(fakes.make_request(request_id, **fields))


def run_scenario(scenario):
    asyncio.run(asyncio.wait_for(scenario(), 30))
