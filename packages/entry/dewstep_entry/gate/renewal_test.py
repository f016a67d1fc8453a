"""Tests of the grant of an idle target and of what counts as silence."""

import asyncio
import datetime

import pytest

from dewstep_core import data, errors
from dewstep_entry.gate import (
    fakes_test as fakes,
    gate_test,
    grants,
    notifications,
    renewal,
    tenure,
)

MS, SECOND = fakes.MS, fakes.SECOND


async def start_idle() -> gate_test.GateSetup:
    """Return a world whose target has had no request for 3 s.

    Its last question was answered 300 ms ago, too long for a grant to build on.
    """
    world = await gate_test.GateSetup().start()
    await fakes.pass_time(world.clock, 3 * SECOND)
    world.channel.calls.clear()
    while not world.channel.calls:
        await fakes.pass_time(world.clock, 10 * MS)
    await fakes.pass_time(world.clock, 300 * MS)
    assert world.channel.calls == ["clock"]
    world.channel.calls.clear()
    return world


def test_an_idle_target_is_asked_once_a_second_and_holds_no_grant():
    """Guards against 6.7 renewals a second for targets without requests."""

    async def scenario():
        world = await start_idle()
        await fakes.pass_time(world.clock, 10 * SECOND)
        assert set(world.channel.calls) == {"clock"}
        assert 9 <= len(world.channel.calls) <= 13
        now = world.clock.monotonic()
        assert not world.gate.grant.may_send(now)
        assert world.server.expires < now + world.server.offset
        # It can be given shards, and the process is ready.
        assert world.gate.may_receive_shards()
        assert world.gate.describe()["may_send"]
        await world.gate.stop()

    gate_test.run(scenario)


def test_the_first_request_for_an_idle_target_waits_for_its_grant():
    """Guards against a refusal for want of a grant, and against a wait by timer."""

    async def scenario():
        world = await start_idle()
        before = world.clock.monotonic()
        answers = [world.send_request(f"r{number}") for number in range(2)]
        await fakes.run_ready_tasks()
        assert [(await answer).unwrap().status for answer in answers] == [200, 200]
        assert world.clock.monotonic() == before
        assert world.channel.calls == ["clock", "grant"]
        assert world.budget.retries == 100
        await world.gate.stop()

    gate_test.run(scenario)


def test_the_grant_goes_on_while_a_long_request_runs():
    """Guards against aborted runs: the target checks the grant before the effect."""

    async def scenario():
        world = await start_idle()
        world.server.hold = held = asyncio.Event()
        answer = world.send_request()
        for _ in range(50):
            await fakes.pass_time(world.clock, 100 * MS)
            shown = world.clock.monotonic() + world.server.offset
            assert world.server.expires - shown > 300 * MS
        held.set()
        assert (await answer).unwrap()
        await world.gate.stop()

    gate_test.run(scenario)


def test_a_request_for_a_silent_idle_target_is_refused_within_the_time_of_a_loss():
    """Guards against requests that wait for the grant until their deadlines."""

    async def scenario():
        world = await start_idle()
        world.server.reachable = False
        answer = world.send_request()
        await fakes.pass_time(world.clock, 450 * MS)
        assert world.gate.lost
        # Its grant lapsed long ago, so that its shards may move at once.
        assert world.gate.begin_evacuation()
        await fakes.pass_time(world.clock, 50 * MS)
        failure = (await answer).failure()
        assert isinstance(failure, errors.TargetUnavailable)
        assert world.server.runs == []
        await world.gate.stop()

    gate_test.run(scenario)


def test_a_silent_idle_target_is_lost_only_after_questions_that_it_left_open():
    """Guards against silence counted from the last answer, which is up to 1 s old."""

    async def scenario():
        world = await start_idle()
        while not world.channel.calls:
            await fakes.pass_time(world.clock, 10 * MS)
        world.server.reachable = False
        await fakes.pass_time(world.clock, 900 * MS)
        assert not world.gate.lost
        await fakes.pass_time(world.clock, 550 * MS)
        assert world.gate.lost
        await world.gate.stop()

    gate_test.run(scenario)


def test_an_idle_target_that_closes_its_control_connection_is_asked_at_once():
    """Guards against an ended target that is noticed only at the next question."""

    async def scenario():
        world = await start_idle()
        world.server.listening = False
        world.channel.report_close()
        await fakes.run_ready_tasks()
        assert world.gate.lost
        await world.gate.stop()

    gate_test.run(scenario)


def test_a_target_that_closes_after_each_answer_is_not_asked_without_pause():
    """Guards against a busy loop between closes and questions."""

    async def scenario():
        world = await start_idle()
        for _ in range(100):
            world.channel.report_close()
            await fakes.pass_time(world.clock, 10 * MS)
        assert len(world.channel.calls) <= 7
        await world.gate.stop()

    gate_test.run(scenario)


@pytest.mark.parametrize("idle", [False, True])
def test_a_process_that_was_paused_does_not_call_its_targets_lost(idle):
    """Guards against losses concluded from answers that nobody could read."""

    async def scenario():
        world = await start_idle()
        if not idle:
            assert (await world.send_request()).unwrap()
        for _ in range(8):
            # One step of the clock: no task runs in between, as in a paused process.
            world.clock.advance(2 * SECOND)
            await fakes.run_ready_tasks()
            await fakes.pass_time(world.clock, 130 * MS)
        reports = [
            world.notification_queue.get_nowait()
            for _ in range(world.notification_queue.qsize())
        ]
        assert not any(isinstance(item, notifications.TargetLost) for item in reports)
        assert (await world.send_request("r2")).unwrap()
        await world.gate.stop()

    gate_test.run(scenario)


def test_an_answer_that_a_pause_kept_from_being_read_is_not_missed():
    """Guards against the loss of a target whose answer waits in the socket."""

    async def scenario():
        world = await start_idle()
        world.server.reachable = False
        while not world.channel.calls:
            await fakes.pass_time(world.clock, 10 * MS)
        # The process is paused during the call, whose limit passes unnoticed.
        world.clock.advance(2 * SECOND)
        world.server.reachable = True
        await fakes.run_ready_tasks()
        await fakes.pass_time(world.clock, 100 * MS)
        assert not world.gate.lost and world.notification_queue.empty()
        # Pauses do not hide a real loss: silence counts while the process runs.
        world.server.reachable = False
        world.gate.renewer.note_demand()
        for _ in range(3):
            world.clock.advance(SECOND)
            await fakes.pass_time(world.clock, 200 * MS)
        assert world.gate.lost
        await world.gate.stop()

    gate_test.run(scenario)


def test_a_superseded_gate_of_an_idle_target_is_told_by_the_row():
    """Guards against a loop that looks at the view only once a second."""

    async def scenario():
        world = await start_idle()
        row = data.GateRow("t1", "e2", "i2", "127.0.0.1", 1, 2, 2)
        world.holder.offer_gate(row)
        failure = (await world.send_request()).failure()
        assert failure == errors.NotTheGate("t1", 2)
        assert world.server.runs == []
        await world.gate.stop()

    gate_test.run(scenario)


def test_gates_that_started_together_do_not_ask_in_step():
    """Guards against bursts of questions and row reads of a whole fleet."""
    early, late = (tenure.Tenure(1, 99 * SECOND, 0 * MS, phase) for phase in (1, 0))
    assert early.row_due == 8 * SECOND and late.row_due == 10 * SECOND
    checks = []
    for gate_tenure in (early, late):
        grant = grants.FencedGrant(gate_tenure, fakes.GRANTS, 0 * MS, 0 * MS)
        grant.clear_old_gates_end()
        grant.note_call_sent(5 * SECOND)
        grant.receive_reading(
            data.ClockReading("b", 9 * SECOND, 1, 5 * SECOND, 5 * SECOND)
        )
        checks.append(grant.plan(5 * SECOND).until)
    assert tenure.compute_phase("t1") != tenure.compute_phase("t2")
    assert checks == [5 * SECOND + 800 * MS, 6 * SECOND]


def test_is_refused_connection():
    refused = errors.TargetUnavailable("t1", "connection refused")
    assert renewal.is_refused_connection(refused)
    assert not renewal.is_refused_connection(errors.TargetUnavailable("t1", "slow"))
    assert renewal.CALL_TIMEOUT * 2 <= datetime.timedelta(milliseconds=400)
