import asyncio

from returns import result

from dewstep_core import data, errors
from dewstep_entry.gate import fakes_test as fakes, gates_test, lifecycle, quarantine


def test_reset_connections_of_a_running_target_are_not_counted_as_crashes():
    """Guards against quarantining requests because the network resets connections."""

    async def scenario():
        setup = await gates_test.GateSetup().start()
        setup.budget.retries = 0
        setup.server.answers["r1"] = errors.ConnectionLost("t1")
        for _ in range(4):
            lost = await setup.send_request("r1")
            assert isinstance(lost.failure(), errors.ConnectionLost)
        assert not setup.gate.recorder.suspects
        assert not any(key.startswith("quarantine/") for key in setup.table.rows)
        await setup.gate.stop()

    gates_test.run_scenario(scenario)


def test_a_crash_counts_once_for_requests_of_one_fingerprint():
    """Guards against quarantining requests with one fingerprint after one crash."""

    async def scenario():
        setup = await gates_test.GateSetup().start()
        setup.budget.retries = 0
        setup.server.hold = asyncio.Event()
        setup.server.answers["r1"] = setup.server.answers["r2"] = errors.ConnectionLost(
            "t1"
        )
        pending = [
            setup.send_request("r1", path="/hot"),
            setup.send_request("r2", path="/hot"),
        ]
        await fakes.run_ready_tasks()
        setup.server.listening = False
        setup.server.hold.set()
        await asyncio.gather(*pending)
        (suspect,) = setup.gate.recorder.suspects.entries.values()
        assert (suspect.crashes, suspect.state) == (1, quarantine.SUSPECT)
        await setup.gate.stop()

    gates_test.run_scenario(scenario)


def test_a_crashing_request_is_quarantined_and_another_one_is_served():
    async def scenario():
        setup = await gates_test.GateSetup().start()
        crash = asyncio.Event()

        async def exchange(request, stamp):
            setup.server.runs.append((request.path, stamp.term))
            if request.path == "/bad" or not crash.is_set():
                await crash.wait()
                if setup.server.boot == stamp.boot:
                    setup.server.restart()
                return result.Failure(errors.ConnectionLost("t1"))
            answer = data.Answer(200, (), None, data.Body(b"", None), "")
            return result.Success(answer)

        setup.channel.exchange = exchange
        setup.budget.retries = 0
        bad, good = (
            setup.send_request("r1", path="/bad"),
            setup.send_request("r2", path="/good"),
        )
        await fakes.run_ready_tasks()
        crash.set()
        assert isinstance((await bad).failure(), errors.ConnectionLost)
        assert isinstance((await good).failure(), errors.ConnectionLost)
        await fakes.pass_time(setup.clock, 300 * fakes.MS)
        assert (await setup.send_request("r3", path="/good")).unwrap()
        await setup.send_request("r4", path="/bad")
        await fakes.pass_time(setup.clock, 300 * fakes.MS)
        # A new gate of the target, which reads the table, refuses it too.
        successor = setup.make_gate(lifecycle.Start(0 * fakes.SECOND, 0 * fakes.SECOND))
        successor.run()
        for gate in (setup.gate, successor):
            refused = await gate.handle(
                fakes.make_request("r5", path="/bad"), gates_test.SHARD, 1
            )
            assert isinstance(refused.failure(), errors.Quarantined)
        states = [
            row.value["state"]
            for row in setup.table.rows.values()
            if row.value and row.key.startswith("quarantine/")
        ]
        assert states == [quarantine.QUARANTINED]
        assert setup.server.runs.count(("/bad", 1)) == 2
        await setup.gate.stop()
        await successor.stop()

    gates_test.run_scenario(scenario)
