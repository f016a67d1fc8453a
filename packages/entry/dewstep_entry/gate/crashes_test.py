import asyncio

from returns import result

from dewstep_core import data, errors
from dewstep_entry.gate import fakes_test as fakes, gate_test, lifecycle, quarantine


def test_connections_that_a_living_target_loses_count_against_no_request():
    """Guards against a quarantine of innocent requests by resets in the network."""

    async def scenario():
        world = await gate_test.GateSetup().start()
        world.budget.retries = 0
        world.server.answers["r1"] = errors.ConnectionLost("t1")
        for _ in range(4):
            lost = await world.send_request("r1")
            assert isinstance(lost.failure(), errors.ConnectionLost)
        assert not world.gate.recorder.suspects
        assert not any(key.startswith("quarantine/") for key in world.table.rows)
        await world.gate.stop()

    gate_test.run(scenario)


def test_a_crash_counts_once_for_requests_of_one_fingerprint():
    """Guards against a quarantine of a hot request by a single crash."""

    async def scenario():
        world = await gate_test.GateSetup().start()
        world.budget.retries = 0
        world.server.hold = asyncio.Event()
        world.server.answers["r1"] = world.server.answers["r2"] = errors.ConnectionLost(
            "t1"
        )
        asked = [
            world.send_request("r1", path="/hot"),
            world.send_request("r2", path="/hot"),
        ]
        await fakes.run_ready_tasks()
        world.server.listening = False
        world.server.hold.set()
        await asyncio.gather(*asked)
        (suspect,) = world.gate.recorder.suspects.entries.values()
        assert (suspect.crashes, suspect.state) == (1, quarantine.SUSPECT)
        await world.gate.stop()

    gate_test.run(scenario)


def test_a_crashing_request_is_quarantined_and_an_innocent_one_is_served():
    async def scenario():
        world = await gate_test.GateSetup().start()
        crash = asyncio.Event()

        async def exchange(request, stamp):
            world.server.runs.append((request.path, stamp.term))
            if request.path == "/bad" or not crash.is_set():
                await crash.wait()
                if world.server.boot == stamp.boot:
                    world.server.restart()
                return result.Failure(errors.ConnectionLost("t1"))
            answer = data.Answer(200, (), None, data.Body(b"", None), "")
            return result.Success(answer)

        world.channel.exchange = exchange
        world.budget.retries = 0
        bad, good = (
            world.send_request("r1", path="/bad"),
            world.send_request("r2", path="/good"),
        )
        await fakes.run_ready_tasks()
        crash.set()
        assert isinstance((await bad).failure(), errors.ConnectionLost)
        assert isinstance((await good).failure(), errors.ConnectionLost)
        await fakes.pass_time(world.clock, 300 * fakes.MS)
        assert (await world.send_request("r3", path="/good")).unwrap()
        await world.send_request("r4", path="/bad")
        await fakes.pass_time(world.clock, 300 * fakes.MS)
        # A new gate of the target, which knows only the table, refuses it too.
        successor = world.make_gate(lifecycle.Start(0 * fakes.SECOND, 0 * fakes.SECOND))
        successor.run()
        for gate in (world.gate, successor):
            refused = await gate.handle(
                fakes.make_request("r5", path="/bad"), gate_test.SHARD, 1
            )
            assert isinstance(refused.failure(), errors.Quarantined)
        states = [
            row.value["state"]
            for row in world.table.rows.values()
            if row.value and row.key.startswith("quarantine/")
        ]
        assert states == [quarantine.QUARANTINED]
        assert world.server.runs.count(("/bad", 1)) == 2
        await world.gate.stop()
        await successor.stop()

    gate_test.run(scenario)
