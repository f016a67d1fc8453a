import asyncio
import datetime

import pytest

from dewstep_core import clock as clocks, data, errors, hashing
from dewstep_entry.gate import (
    fakes_test as fakes,
    gate as gates,
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

    def __init__(self, term=1, fenced=True, old_gates_end=None, slots=2):
        self.clock = clocks.ManualClock()
        self.table = fakes.Table()
        self.server = fakes.TargetServer(self.clock)
        self.channel = fakes.Channel(self.server, fenced)
        self.target = fakes.make_target(fenced=fenced, slots=slots)
        self.holder = view.ViewHolder()
        self.assign(1, "t1")
        self.notification_queue = asyncio.Queue()
        self.budget = fakes.FixedRetryBudget()
        row = data.GateRow("t1", "e1", "i1", "127.0.0.1", 1, term, 1)
        self.record = rows.GateRecord(row, 100 * SECOND, False, "op")
        self.table.put("gate/t1", rows.encode_gate(self.record))
        self.gate = self.make_gate(
            lifecycle.Start(
                datetime.timedelta(), old_gates_end or datetime.timedelta(), None, True
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
            holder=self.holder,
            notification_queue=self.notification_queue,
            budget=self.budget,
            start=start,
        )

    def assign(self, version, owner, overrides=()):
        assignment = data.Assignment("s", version, (owner,) * 8, dict(overrides), ())
        self.holder.offer_assignment(assignment)

    async def start(self):
        self.gate.run()
        await fakes.run_ready_tasks()
        return self

    def send_request(self, request_id="r1", **fields):
        request = fakes.make_request(request_id, **fields)
        return asyncio.ensure_future(self.gate.handle(request, SHARD, 1))


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario(), 20))


def test_requests_run_only_after_a_grant_on_a_confirmed_boot_id():
    async def scenario():
        world = await GateSetup().start()
        outcome = await world.send_request()
        assert outcome.unwrap().body.start == b"done"
        assert world.server.runs == [("r1", 1)]
        # Rule G7: without the table, a restarted target gets no grant.
        world.table.down = True
        await fakes.pass_time(world.clock, 12 * SECOND, 50 * MS)
        world.server.restart()
        await fakes.pass_time(world.clock, 300 * MS)
        outcome = await world.send_request("r2")
        assert isinstance(outcome.failure(), errors.TargetUnavailable)
        assert world.server.term == 0
        world.table.down = False
        await fakes.pass_time(world.clock, 600 * MS)
        assert (await world.send_request("r3")).unwrap()
        await world.gate.stop()

    run(scenario)


@pytest.mark.parametrize("kind", ["book", "note"])
def test_resends_join_the_run_or_get_the_remembered_answer(kind):
    async def scenario():
        world = await GateSetup().start()
        request_id = "01942068-0b00-7000-8000-000000000001"
        world.server.hold = asyncio.Event()
        first, second = (world.send_request(request_id, kind=kind) for _ in range(2))
        await fakes.run_ready_tasks()
        # The run goes on although its first caller left.
        first.cancel()
        other = world.send_request(
            request_id, kind=kind, key="k1", body=data.Body(b"x", None)
        )
        assert isinstance((await other).failure(), errors.RequestIdReused)
        world.server.hold.set()
        assert (await second).unwrap().body.start == b"done"
        assert (
            await world.send_request(request_id, kind=kind)
        ).unwrap().body.start == b"done"
        assert len(world.server.runs) == 1
        assert world.table.get(f"claim/s/{request_id}").version == (kind == "book")
        await world.gate.stop()

    run(scenario)


def test_long_answers_are_streamed_and_hold_their_slot_until_the_body_is_closed():
    async def chunks():
        for _ in range(4):
            yield b"x" * 30_000

    async def scenario():
        world = await GateSetup(slots=1).start()
        world.server.answers = {"r1": chunks(), "r2": chunks()}
        answer = (await world.send_request("r1", kind="book")).unwrap()
        assert len(answer.body.start) == 90_000
        again = await world.send_request("r1", kind="book")
        assert isinstance(again.failure(), errors.AlreadyClaimed)
        waiting = world.send_request("r2")
        await fakes.run_ready_tasks()
        assert not waiting.done()
        await answer.body.rest.aclose()
        # Closed without a first step: the slot must be freed all the same.
        await (await waiting).unwrap().body.rest.aclose()
        assert world.gate.queue.held == set()
        await world.gate.stop()

    run(scenario)


def test_a_claim_is_deleted_only_if_the_request_certainly_did_not_run():
    async def scenario():
        world = await GateSetup().start()
        world.server.answers["r1"] = errors.TargetRefused("t1", "shed")
        world.server.answers["r2"] = errors.ConnectionLost("t1")
        assert isinstance(
            (await world.send_request("r1", kind="book")).failure(),
            errors.TargetRefused,
        )
        assert world.table.get("claim/s/r1").value is None
        lost = await world.send_request("r2", kind="book")
        assert isinstance(lost.failure(), errors.ConnectionLost)
        assert world.table.get("claim/s/r2").value is not None
        again = await world.send_request("r2", kind="book")
        assert isinstance(again.failure(), errors.AlreadyClaimed)
        assert [name for name, _ in world.server.runs] == ["r1", "r2"]
        world.table.down = True
        refused = await world.send_request("r3", kind="book")
        assert isinstance(refused.failure(), errors.ClaimUnavailable)
        await world.gate.stop()

    run(scenario)


def test_an_idempotent_request_is_sent_again_within_the_budget_only():
    async def scenario():
        world = await GateSetup().start()
        world.budget.retries = 1
        world.server.answers["r1"] = errors.AnswerInvalid("t1", "")
        asking = world.send_request()
        await fakes.pass_time(world.clock, 50 * MS)
        assert isinstance((await asking).failure(), errors.AnswerInvalid)
        assert len(world.server.runs) == 2
        # After a first attempt that may have run, "not run" would be untrue.
        world.budget.retries = 1
        world.server.answers["r2"] = errors.AnswerInvalid("t1", "")
        asking = world.send_request("r2")
        await fakes.run_ready_tasks()
        world.server.answers["r2"] = errors.TargetRefused("t1", "shed")
        await fakes.pass_time(world.clock, 50 * MS)
        assert isinstance((await asking).failure(), errors.AnswerInvalid)
        assert len(world.server.runs) == 4
        await world.gate.stop()

    run(scenario)


def test_a_shed_right_after_a_caller_left_is_no_refusal_for_the_next_caller():
    """Guards against refusing a request for a slot that the target frees next."""

    async def scenario():
        world = await GateSetup(slots=1).start()
        world.server.hold = asyncio.Event()
        leaving = world.send_request("r1")
        await fakes.run_ready_tasks()
        leaving.cancel()
        world.server.hold = None
        world.server.answers["r2"] = errors.TargetRefused("t1", "shed")
        asking = world.send_request("r2")
        await fakes.run_ready_tasks()
        del world.server.answers["r2"]
        await fakes.pass_time(world.clock, 50 * MS)
        assert (await asking).unwrap().body.start == b"done"
        # Without a broken-off exchange the target means what it says.
        world.server.answers["r3"] = errors.TargetRefused("t1", "shed")
        asking = world.send_request("r3")
        await fakes.pass_time(world.clock, 50 * MS)
        assert isinstance((await asking).failure(), errors.TargetRefused)
        assert [name for name, _ in world.server.runs] == ["r1", "r2", "r2", "r3"]
        await world.gate.stop()

    run(scenario)


def test_drain_waits_for_runs_and_refuses_new_requests():
    async def scenario():
        world = await GateSetup(slots=1).start()
        world.server.hold = asyncio.Event()
        running, queued = world.send_request("r1"), world.send_request("r2")
        await fakes.run_ready_tasks()
        draining = asyncio.ensure_future(world.gate.drain_shards({SHARD}))
        assert isinstance((await queued).failure(), errors.ShardMoving)
        assert isinstance(
            (await world.send_request("r3")).failure(), errors.ShardMoving
        )
        assert not draining.done()
        world.server.hold.set()
        assert (await running).unwrap()
        await draining
        broken = world.gate.ownership.explain_unsendable("k1", SHARD)
        assert isinstance(broken, errors.InvariantBroken)
        world.gate.resume_shards({SHARD})
        assert (await world.send_request("r4")).unwrap()
        assert world.server.maximum_running == 1
        await world.gate.stop()

    run(scenario)


def test_a_lost_target_is_reported_with_the_certain_expiry_of_its_grant():
    async def scenario():
        world = await GateSetup().start()
        await fakes.pass_time(world.clock, 2 * SECOND)
        assert (await world.send_request("r0")).unwrap()
        world.server.reachable = False
        frozen_at = world.clock.monotonic()
        # The next renewal is due after 150 ms, and 400 ms later the target is lost.
        await fakes.pass_time(world.clock, 560 * MS)
        # Known to be lost, but its grant may still be in force.
        assert world.gate.lost and not world.gate.begin_evacuation()
        await fakes.pass_time(world.clock, 90 * MS)
        lost = world.notification_queue.get_nowait()
        assert frozen_at < lost.expired_at <= frozen_at + 616 * MS
        # The target's own check at that time: the grant is over.
        assert world.server.expires <= lost.expired_at + world.server.offset
        refused = await world.send_request()
        assert isinstance(refused.failure(), errors.TargetUnavailable)
        assert world.gate.begin_evacuation()
        # A target that returns during the move gets no grant until it is settled.
        world.server.reachable = True
        await fakes.pass_time(world.clock, SECOND)
        assert world.server.expires <= world.clock.monotonic() + world.server.offset
        world.gate.end_evacuation()
        await fakes.pass_time(world.clock, 500 * MS)
        assert (await world.send_request("r2")).unwrap()
        await world.gate.stop()

    run(scenario)


def test_a_higher_term_at_the_target_or_in_the_view_ends_the_gate():
    async def scenario():
        world = await GateSetup().start()
        world.server.term = 2
        await fakes.pass_time(world.clock, 400 * MS)
        assert world.notification_queue.get_nowait().higher_term == 2
        assert isinstance((await world.send_request()).failure(), errors.NotTheGate)
        other = await GateSetup().start()
        other.holder.offer_gate(other.record.row._replace(entry="e2", term=3))
        assert (await other.send_request()).failure() == errors.NotTheGate("t1", 3)
        assert world.server.runs == other.server.runs == []

    run(scenario)


def test_an_unfenced_target_is_not_used_before_earlier_gates_end():
    async def scenario():
        world = await GateSetup(term=2, fenced=False, old_gates_end=5 * SECOND).start()
        early = await world.send_request(kind="look")
        assert isinstance(early.failure(), errors.TargetUnavailable)
        await fakes.pass_time(world.clock, 5 * SECOND, 100 * MS)
        assert (await world.send_request("r2")).unwrap()
        # The horizon counts from the last read of the gate row.
        world.table.down = True
        await fakes.pass_time(world.clock, 101 * SECOND, SECOND)
        late = await world.send_request("r3", deadline=500 * SECOND)
        assert isinstance(late.failure(), errors.TargetUnavailable)
        await world.gate.stop()

    run(scenario)


def test_a_suspect_runs_alone():
    async def scenario():
        world = await GateSetup(slots=3).start()
        suspect = fakes.make_request("r1", path="/suspect")
        world.gate.recorder.suspects.receive_crash(
            [quarantine.compute_fingerprint(suspect)], alone=False
        )
        world.server.hold = asyncio.Event()
        tasks = [
            world.send_request("r0"),
            world.send_request("r1", path="/suspect"),
            world.send_request("r2"),
        ]
        await fakes.run_ready_tasks()
        assert [name for name, _ in world.server.runs] == ["r0"]
        world.server.hold.set()
        await asyncio.gather(*tasks)
        assert [name for name, _ in world.server.runs] == ["r0", "r1", "r2"]
        assert world.server.maximum_running == 1
        await world.gate.stop()

    run(scenario)


def test_ids_of_an_arrived_shard_that_may_have_run_elsewhere_are_refused():
    async def scenario():
        world = await GateSetup().start()
        world.assign(2, "t2")
        assert isinstance((await world.send_request()).failure(), errors.NotTheOwner)
        world.assign(3, "t1")
        old = "01942068-0b00-7000-8000-000000000001"
        outcome = await world.send_request(old, kind="note")
        assert isinstance(outcome.failure(), errors.AlreadyClaimed)
        assert world.server.runs == []
        await world.gate.stop()

    run(scenario)


def test_release_hands_over_ids_and_says_whether_earlier_gates_may_act():
    async def scenario():
        world = await GateSetup().start()
        await world.send_request("r1", kind="book")
        release = await world.gate.release()
        assert release.clean
        assert [name for name, _ in release.memory.entries] == ["r1"]
        assert isinstance((await world.send_request("r2")).failure(), errors.NotTheGate)
        assert world.channel.closed
        # A gate that never reached its target has fenced nobody.
        other = GateSetup(term=2, old_gates_end=50 * SECOND)
        other.server.listening = False
        await other.start()
        assert not (await other.gate.release()).clean

    run(scenario)


class RecordingObserver(observation.NullObserver):
    """An observer that keeps what a gate says of single requests."""

    def __init__(self):
        self.seen = []

    def record_cancelled(self, target, shard, key, single, held):
        self.seen.append(("cancelled", shard, key, held))

    def record_unserved(self, target, shard, key, single, patience):
        self.seen.append(("unserved", shard, key, patience))


def test_the_observer_hears_of_cancelled_and_of_refused_requests():
    # Guards against load reports without the requests that a full target refused,
    # or that the receiving process gave up while they ran.
    async def scenario():
        world = await GateSetup().start()
        notes = world.gate.sender.observer = RecordingObserver()
        world.server.hold = asyncio.Event()
        running = world.send_request("r1")
        await fakes.run_ready_tasks()
        await fakes.pass_time(world.clock, 100 * MS)
        running.cancel()
        await fakes.run_ready_tasks()
        assert notes.seen == [("cancelled", SHARD, "k1", 100 * MS)]
        full = fakes.Refused(errors.QueueFull("t1", SECOND))
        world.gate.queue.admission.offer = lambda *arguments: full
        left = 30 * SECOND - world.clock.monotonic()
        assert (await world.send_request("r2")).failure() == full.failure
        assert notes.seen[1:] == [("unserved", SHARD, "k1", left)]

    run(scenario)
