import asyncio
import datetime
import time

from dewstep_core import clocks, data, errors, hashing, settings
from dewstep_entry import process
from dewstep_entry.gate import fakes_test as fakes, lifecycle, rows
from dewstep_entry.peers import link

STOP_LIMIT = datetime.timedelta(seconds=0.6)


class BusyListener:
    connections = frozenset({"caller"})
    aborted = False

    async def stop(self):
        await asyncio.Event().wait()

    def refuse_unread(self, failure):
        pass

    def abort(self):
        self.aborted = True


def build_process(timer, entry="e1", port=1, **fields):
    address = settings.Address("127.0.0.1", port)
    return process.EntryProcess(
        settings.Settings(entry, "dc", address, address, address, (address,), **fields),
        timer,
    )


async def start_gate(entry_process, service):
    """Start a gate for the only target of a service; return the gate and the target."""
    assignment = data.Assignment(service, 1, (service,) * 8, {}, ())

    async def read_assignment(name):
        return assignment

    server = fakes.TargetServer(entry_process.clock)
    entry_process.holder.offer_assignment(assignment)
    entry_process.gates.assignments.read_until_answered = read_assignment
    entry_process.gates.gate_dependencies = (
        entry_process.gates.gate_dependencies._replace(
            make_channel=lambda target: fakes.Channel(server)
        )
    )
    row = data.GateRow(service, "e1", "i1", "127.0.0.1", 1, 1, 1)
    record = rows.GateRecord(row, 100 * fakes.SECOND, False, "op")
    entry_process.gates.table.put(f"gate/{service}", rows.encode_gate(record))
    await entry_process.gates.start_gate(
        fakes.make_target(service, service=service),
        fakes.SERVICE._replace(name=service),
        record,
        lifecycle.Start(datetime.timedelta(), datetime.timedelta(), None, True),
    )
    await fakes.pass_time(entry_process.clock, 200 * fakes.MS)
    return entry_process.gates.gates[service], server


async def send_request(gate, request_id):
    request = fakes.make_request(request_id, service=gate.service.name)
    call = gate.handle(request, hashing.compute_shard(request.key, 8), 1)
    task = asyncio.ensure_future(call)
    await fakes.pass_time(gate.clock, 100 * fakes.MS)
    return await task


def test_failing_service_does_not_use_the_retry_budget_of_others():
    # With one retry budget for all gates of a process, a service that fails completely
    # would use up the retries of healthy services.
    async def fail():
        entry_process = build_process(clocks.ManualClock())
        entry_process.gates.table = fakes.Table()
        failing, failing_target = await start_gate(entry_process, "failing")
        healthy, healthy_target = await start_gate(entry_process, "healthy")
        invalid = errors.AnswerInvalid("t1", "cut off")
        for number in range(30):
            assert (await send_request(healthy, f"r{number}")).unwrap()
        for number in range(8):
            failing_target.answers[f"r{number}"] = invalid
            assert (await send_request(failing, f"r{number}")).failure() == invalid
        healthy_target.answers["late"] = invalid
        assert (await send_request(healthy, "late")).failure() == invalid
        return [len(target.runs) for target in (failing_target, healthy_target)]

    assert asyncio.run(asyncio.wait_for(fail(), 20)) == [8, 30 + 3]


def test_stop_that_aborts_work_ends_within_its_limit():
    # Guards against applying the limit to gates and callers one after the other.
    async def hold_gates():
        await asyncio.sleep(STOP_LIMIT.total_seconds())
        return ("t1",)

    async def stop():
        entry_process = build_process(clocks.SystemClock(), stop_limit=STOP_LIMIT)
        entry_process.gates.stop = hold_gates
        entry_process.listener = BusyListener()
        started = time.monotonic()
        unfinished = await entry_process.stop()
        return unfinished, time.monotonic() - started, entry_process.listener.aborted

    unfinished, duration, aborted = asyncio.run(stop())
    assert unfinished == ("gate of t1", "1 connections of callers")
    assert aborted
    assert duration < (STOP_LIMIT + process.PEER_NOTICE_TIME).total_seconds() + 0.4


def test_close_of_an_earlier_process_does_not_make_its_successor_suspect():
    # Guards against taking gates from a restarted process when a connection to its
    # predecessor ends late.
    async def reset():
        entry_process = build_process(clocks.ManualClock())
        earlier = data.Member("e2", "i1", "dc", "127.0.0.1", 7002)
        current = earlier._replace(incarnation="i2")
        for member in (earlier, current):
            entry_process.handle_connection_change(member, link.ConnectionChange.UP)
        for change in (link.ConnectionChange.RESET, link.ConnectionChange.REFUSED):
            entry_process.handle_connection_change(earlier, change)
        alive_before = entry_process.holder.current.members["e2"].alive
        entry_process.handle_connection_change(current, link.ConnectionChange.RESET)
        return alive_before, entry_process.holder.current.members["e2"].alive

    assert asyncio.run(reset()) == (True, False)


async def start_networks():
    """Return two processes whose networks are started."""
    started = [build_process(clocks.SystemClock(), entry, 0) for entry in ("e1", "e2")]
    for entry_process in started:
        await entry_process.network.start()
    return started


async def wait_until_alive(entry_process, peer, alive=True):
    """Wait until a process regards a peer as alive, or as suspect; return whether."""
    for _ in range(200):
        state = entry_process.holder.current.members.get(peer)
        if state is not None and state.alive is alive:
            return True
        await asyncio.sleep(0.01)
    return False


def test_process_that_is_suspected_does_not_suspect_in_return():
    # Guards against mutual suspicions, which end the requests at processes that run.
    async def suspect():
        first, second = await start_networks()
        for sender, receiver in ((first, second), (second, first)):
            heartbeat = sender.exchange.build_heartbeat()
            sender.network.send(receiver.network.member, heartbeat)
        assert await wait_until_alive(first, "e2")
        assert await wait_until_alive(second, "e1")
        first.exchange.suspect_refused(second.network.member)
        assert not first.holder.current.members["e2"].alive
        # The suspect answers, which refutes the suspicion.
        refuted = await wait_until_alive(first, "e2")
        suspected = second.exchange.members.peers["e1"].suspected
        for entry_process in (first, second):
            await entry_process.network.stop()
        return refuted, suspected

    assert asyncio.run(suspect()) == (True, None)


def test_process_that_ended_is_suspected_though_only_it_had_connected():
    # Guards against waiting for the silence of a process that refuses connections.
    async def end():
        first, second = await start_networks()
        heartbeat = second.exchange.build_heartbeat()
        second.network.send(first.network.member, heartbeat)
        assert await wait_until_alive(first, "e2")
        assert not first.network.links
        await second.network.stop()
        suspected = await wait_until_alive(first, "e2", False)
        await first.network.stop()
        return suspected

    assert asyncio.run(end())
