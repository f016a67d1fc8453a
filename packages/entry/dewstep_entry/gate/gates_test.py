import asyncio
import datetime

import pytest

from dewstep_core import clocks, data, errors, hashing
from dewstep_entry.gate import (
    fakes_test as fakes,
    gates,
    lifecycle,
    observation,
    quarantine,
    rows,
)
from dewstep_entry.state import view

MS, SECOND = fakes.MS, fakes.SECOND
SHARD = hashing.compute_shard("k1", 8)


class GateSetup:
    """One gate of target t1 with its table and target."""

    def __init__(self, term=1, fenced=True, earlier_gates_end=None, slots=2):
        self.clock = clocks.ManualClock()
        self.table = fakes.Table()
        self.server = fakes.TargetServer(self.clock)
        self.channel = fakes.Channel(self.server, fenced)
        self.target = fakes.make_target(fenced=fenced, slots=slots)
        self.view_holder = view.ViewHolder()
        self.assign(1, "t1")
        self.notification_queue = asyncio.Queue()
        self.budget = fakes.FixedRetryBudget()
        row = data.GateRow("t1", "e1", "i1", "127.0.0.1", 1, term, 1)
        self.record = rows.GateRecord(row, 100 * SECOND, False, "op")
        self.table.put("gate/t1", rows.encode_gate(self.record))
        self.gate = self.make_gate(
            lifecycle.Start(
                datetime.timedelta(),
                earlier_gates_end or datetime.timedelta(),
                None,
                True,
            )
        )

    def make_gate(self, start):
        return gates.Gate(
            self.target,
            self.record,
            fakes.SERVICE,
            self.clock,
            self.table,
            self.channel,
            fakes.SETTINGS,
            fakes.FifoAdmission(self.target.slots),
            view_holder=self.view_holder,
            notification_queue=self.notification_queue,
            budget=self.budget,
            start=start,
        )

    def assign(self, version, owner, overrides=()):
        assignment = data.Assignment("s", version, (owner,) * 8, dict(overrides), ())
        self.view_holder.offer_assignment(assignment)

    async def start(self):
        self.gate.run()
        await fakes.run_ready_tasks()
        return self

    def send_request(self, request_id="r1", **fields):
        request = fakes.make_request(request_id, **fields)
        return asyncio.ensure_future(self.gate.handle(request, SHARD, 1))


def run_scenario(scenario):
    asyncio.run(asyncio.wait_for(scenario(), 20))


def test_requests_run_only_after_a_grant_on_a_confirmed_boot_id():
    async def scenario():
        setup = await GateSetup().start()
        outcome = await setup.send_request()
        assert outcome.unwrap().body.start == b"done"
        assert setup.server.runs == [("r1", 1)]
        # After a new boot id, no grant is sent before the gate row was read.
        setup.table.down = True
        await fakes.pass_time(setup.clock, 12 * SECOND, 50 * MS)
        setup.server.restart()
        await fakes.pass_time(setup.clock, 300 * MS)
        outcome = await setup.send_request("r2")
        assert isinstance(outcome.failure(), errors.TargetUnavailable)
        assert setup.server.term == 0
        setup.table.down = False
        await fakes.pass_time(setup.clock, 600 * MS)
        assert (await setup.send_request("r3")).unwrap()
        await setup.gate.stop()

    run_scenario(scenario)


@pytest.mark.parametrize("kind", ["book", "note"])
def test_resends_join_the_run_or_get_the_remembered_answer(kind):
    async def scenario():
        setup = await GateSetup().start()
        request_id = "01942068-0b00-7000-8000-000000000001"
        setup.server.hold = asyncio.Event()
        first, second = (setup.send_request(request_id, kind=kind) for _ in range(2))
        await fakes.run_ready_tasks()
        # The run continues although its first caller was cancelled.
        first.cancel()
        other = setup.send_request(
            request_id, kind=kind, key="k1", body=data.Body(b"x", None)
        )
        assert isinstance((await other).failure(), errors.RequestIdReused)
        setup.server.hold.set()
        assert (await second).unwrap().body.start == b"done"
        assert (
            await setup.send_request(request_id, kind=kind)
        ).unwrap().body.start == b"done"
        assert len(setup.server.runs) == 1
        assert setup.table.get(f"claim/s/{request_id}").version == (kind == "book")
        await setup.gate.stop()

    run_scenario(scenario)


def test_long_answers_are_streamed_and_hold_their_slot_until_the_body_is_closed():
    async def chunks():
        for _ in range(4):
            yield b"x" * 30_000

    async def scenario():
        setup = await GateSetup(slots=1).start()
        setup.server.answers = {"r1": chunks(), "r2": chunks()}
        answer = (await setup.send_request("r1", kind="book")).unwrap()
        assert len(answer.body.start) == 90_000
        again = await setup.send_request("r1", kind="book")
        assert isinstance(again.failure(), errors.AlreadyClaimed)
        waiting = setup.send_request("r2")
        await fakes.run_ready_tasks()
        assert not waiting.done()
        await answer.body.rest.aclose()
        # Closing a body that was never read must free the slot too.
        await (await waiting).unwrap().body.rest.aclose()
        assert setup.gate.queue.admitted == set()
        await setup.gate.stop()

    run_scenario(scenario)


def test_a_claim_is_deleted_only_if_the_request_certainly_did_not_run():
    async def scenario():
        setup = await GateSetup().start()
        setup.server.answers["r1"] = errors.TargetRefused("t1", "shed")
        setup.server.answers["r2"] = errors.ConnectionLost("t1")
        assert isinstance(
            (await setup.send_request("r1", kind="book")).failure(),
            errors.TargetRefused,
        )
        assert setup.table.get("claim/s/r1").value is None
        lost = await setup.send_request("r2", kind="book")
        assert isinstance(lost.failure(), errors.ConnectionLost)
        assert setup.table.get("claim/s/r2").value is not None
        again = await setup.send_request("r2", kind="book")
        assert isinstance(again.failure(), errors.AlreadyClaimed)
        assert [name for name, _ in setup.server.runs] == ["r1", "r2"]
        setup.table.down = True
        refused = await setup.send_request("r3", kind="book")
        assert isinstance(refused.failure(), errors.ClaimUnavailable)
        await setup.gate.stop()

    run_scenario(scenario)


def test_an_idempotent_request_is_sent_again_within_the_budget_only():
    async def scenario():
        setup = await GateSetup().start()
        setup.budget.retries = 1
        setup.server.answers["r1"] = errors.AnswerInvalid("t1", "")
        pending = setup.send_request()
        await fakes.pass_time(setup.clock, 50 * MS)
        assert isinstance((await pending).failure(), errors.AnswerInvalid)
        assert len(setup.server.runs) == 2
        # After a first attempt that may have run, "not run" would be wrong.
        setup.budget.retries = 1
        setup.server.answers["r2"] = errors.AnswerInvalid("t1", "")
        pending = setup.send_request("r2")
        await fakes.run_ready_tasks()
        setup.server.answers["r2"] = errors.TargetRefused("t1", "shed")
        await fakes.pass_time(setup.clock, 50 * MS)
        assert isinstance((await pending).failure(), errors.AnswerInvalid)
        assert len(setup.server.runs) == 4
        await setup.gate.stop()

    run_scenario(scenario)


def test_a_shed_right_after_an_aborted_request_is_retried():
    """Guards against failing a request because the target still counts an aborted one.

    The target sheds the request until it has detected the closed connection.
    """

    async def scenario():
        setup = await GateSetup(slots=1).start()
        setup.server.hold = asyncio.Event()
        leaving = setup.send_request("r1")
        await fakes.run_ready_tasks()
        leaving.cancel()
        setup.server.hold = None
        setup.server.answers["r2"] = errors.TargetRefused("t1", "shed")
        pending = setup.send_request("r2")
        await fakes.run_ready_tasks()
        del setup.server.answers["r2"]
        await fakes.pass_time(setup.clock, 50 * MS)
        assert (await pending).unwrap().body.start == b"done"
        # Without a recent aborted exchange, a shed is not retried.
        setup.server.answers["r3"] = errors.TargetRefused("t1", "shed")
        pending = setup.send_request("r3")
        await fakes.pass_time(setup.clock, 50 * MS)
        assert isinstance((await pending).failure(), errors.TargetRefused)
        assert [name for name, _ in setup.server.runs] == ["r1", "r2", "r2", "r3"]
        await setup.gate.stop()

    run_scenario(scenario)


def test_drain_waits_for_runs_and_refuses_new_requests():
    async def scenario():
        setup = await GateSetup(slots=1).start()
        setup.server.hold = asyncio.Event()
        running, queued = setup.send_request("r1"), setup.send_request("r2")
        await fakes.run_ready_tasks()
        draining = asyncio.ensure_future(setup.gate.drain_shards({SHARD}))
        assert isinstance((await queued).failure(), errors.ShardMoving)
        assert isinstance(
            (await setup.send_request("r3")).failure(), errors.ShardMoving
        )
        assert not draining.done()
        setup.server.hold.set()
        assert (await running).unwrap()
        await draining
        violation = setup.gate.ownership.explain_unsendable("k1", SHARD)
        assert isinstance(violation, errors.InvariantBroken)
        setup.gate.resume_shards({SHARD})
        assert (await setup.send_request("r4")).unwrap()
        assert setup.server.maximum_running == 1
        await setup.gate.stop()

    run_scenario(scenario)


def test_a_lost_target_is_reported_with_the_certain_expiry_of_its_grant():
    async def scenario():
        setup = await GateSetup().start()
        await fakes.pass_time(setup.clock, 2 * SECOND)
        assert (await setup.send_request("r0")).unwrap()
        setup.server.reachable = False
        frozen_at = setup.clock.monotonic()
        # The next renewal is due after 150 ms, and 400 ms later the target is lost.
        await fakes.pass_time(setup.clock, 560 * MS)
        # The target is lost, but its grant may still be in force.
        assert setup.gate.lost and not setup.gate.begin_evacuation()
        await fakes.pass_time(setup.clock, 90 * MS)
        lost = setup.notification_queue.get_nowait()
        assert frozen_at < lost.expired_at <= frozen_at + 616 * MS
        # At that time the grant has expired by the target's clock too.
        assert setup.server.expires <= lost.expired_at + setup.server.offset
        refused = await setup.send_request()
        assert isinstance(refused.failure(), errors.TargetUnavailable)
        assert setup.gate.begin_evacuation()
        # A target that answers again gets no grant before the evacuation has ended.
        setup.server.reachable = True
        await fakes.pass_time(setup.clock, SECOND)
        assert setup.server.expires <= setup.clock.monotonic() + setup.server.offset
        setup.gate.end_evacuation()
        await fakes.pass_time(setup.clock, 500 * MS)
        assert (await setup.send_request("r2")).unwrap()
        await setup.gate.stop()

    run_scenario(scenario)


def test_a_higher_term_at_the_target_or_in_the_view_ends_the_gate():
    async def scenario():
        setup = await GateSetup().start()
        setup.server.term = 2
        await fakes.pass_time(setup.clock, 400 * MS)
        assert setup.notification_queue.get_nowait().higher_term == 2
        assert isinstance((await setup.send_request()).failure(), errors.NotTheGate)
        other = await GateSetup().start()
        other.view_holder.offer_gate(other.record.row._replace(entry="e2", term=3))
        assert (await other.send_request()).failure() == errors.NotTheGate("t1", 3)
        assert setup.server.runs == other.server.runs == []

    run_scenario(scenario)


def test_an_unfenced_target_is_not_used_before_earlier_gates_end():
    async def scenario():
        setup = await GateSetup(
            term=2, fenced=False, earlier_gates_end=5 * SECOND
        ).start()
        early = await setup.send_request(kind="look")
        assert isinstance(early.failure(), errors.TargetUnavailable)
        await fakes.pass_time(setup.clock, 5 * SECOND, 100 * MS)
        assert (await setup.send_request("r2")).unwrap()
        # The horizon counts from the last read of the gate row.
        setup.table.down = True
        await fakes.pass_time(setup.clock, 101 * SECOND, SECOND)
        late = await setup.send_request("r3", deadline=500 * SECOND)
        assert isinstance(late.failure(), errors.TargetUnavailable)
        await setup.gate.stop()

    run_scenario(scenario)


def test_a_suspect_runs_alone():
    async def scenario():
        setup = await GateSetup(slots=3).start()
        suspect = fakes.make_request("r1", path="/suspect")
        setup.gate.recorder.suspects.receive_crash(
            [quarantine.compute_fingerprint(suspect)], alone=False
        )
        setup.server.hold = asyncio.Event()
        tasks = [
            setup.send_request("r0"),
            setup.send_request("r1", path="/suspect"),
            setup.send_request("r2"),
        ]
        await fakes.run_ready_tasks()
        assert [name for name, _ in setup.server.runs] == ["r0"]
        setup.server.hold.set()
        await asyncio.gather(*tasks)
        assert [name for name, _ in setup.server.runs] == ["r0", "r1", "r2"]
        assert setup.server.maximum_running == 1
        await setup.gate.stop()

    run_scenario(scenario)


def test_ids_of_an_arrived_shard_that_may_have_run_elsewhere_are_refused():
    async def scenario():
        setup = await GateSetup().start()
        setup.assign(2, "t2")
        assert isinstance((await setup.send_request()).failure(), errors.NotTheOwner)
        setup.assign(3, "t1")
        old = "01942068-0b00-7000-8000-000000000001"
        outcome = await setup.send_request(old, kind="note")
        assert isinstance(outcome.failure(), errors.AlreadyClaimed)
        assert setup.server.runs == []
        await setup.gate.stop()

    run_scenario(scenario)


def test_release_returns_request_ids_and_whether_earlier_gates_may_act():
    async def scenario():
        setup = await GateSetup().start()
        await setup.send_request("r1", kind="book")
        release = await setup.gate.release()
        assert release.earlier_gates_ended
        assert [name for name, _ in release.memory.entries] == ["r1"]
        assert isinstance((await setup.send_request("r2")).failure(), errors.NotTheGate)
        assert setup.channel.closed
        # A gate that never reached its target has not fenced earlier gates.
        other = GateSetup(term=2, earlier_gates_end=50 * SECOND)
        other.server.listening = False
        await other.start()
        assert not (await other.gate.release()).earlier_gates_ended

    run_scenario(scenario)


class RecordingObserver(observation.NullObserver):
    """An observer that keeps the reports on single requests."""

    def __init__(self):
        self.seen = []

    def record_cancelled(self, target, shard, key, overridden, slot_time):
        self.seen.append(("cancelled", shard, key, slot_time))

    def record_unserved(self, target, shard, key, overridden, time_to_deadline):
        self.seen.append(("unserved", shard, key, time_to_deadline))


def test_cancelled_and_refused_requests_are_reported_to_the_observer():
    # Guards against load reports that omit requests refused by a full queue or
    # cancelled while they ran.
    async def scenario():
        setup = await GateSetup().start()
        recorder = setup.gate.sender.observer = RecordingObserver()
        setup.server.hold = asyncio.Event()
        running = setup.send_request("r1")
        await fakes.run_ready_tasks()
        await fakes.pass_time(setup.clock, 100 * MS)
        running.cancel()
        await fakes.run_ready_tasks()
        assert recorder.seen == [("cancelled", SHARD, "k1", 100 * MS)]
        full = fakes.Refused(errors.QueueFull("t1", SECOND))
        setup.gate.queue.admission.offer = lambda *arguments: full
        left = 30 * SECOND - setup.clock.monotonic()
        assert (await setup.send_request("r2")).failure() == full.failure
        assert recorder.seen[1:] == [("unserved", SHARD, "k1", left)]

    run_scenario(scenario)
