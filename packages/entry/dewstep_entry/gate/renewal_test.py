"""Tests of the grant of an idle target and of the detection of losses."""

import asyncio
import datetime

import pytest

from dewstep_core import data, errors
from dewstep_entry.gate import (
    authority,
    fakes_test as fakes,
    gates_test,
    grants,
    notifications,
    renewal,
)

MS, SECOND = fakes.MS, fakes.SECOND


async def make_idle_setup() -> gates_test.GateSetup:
    """Return a gate whose target has had no request for 3 s.

    Its last clock reading is 300 ms old, too old for a grant.
    """
    setup = await gates_test.GateSetup().start()
    await fakes.pass_time(setup.clock, 3 * SECOND)
    setup.channel.calls.clear()
    while not setup.channel.calls:
        await fakes.pass_time(setup.clock, 10 * MS)
    await fakes.pass_time(setup.clock, 300 * MS)
    assert setup.channel.calls == ["clock"]
    setup.channel.calls.clear()
    return setup


def test_the_clock_of_an_idle_target_is_read_once_a_second_without_a_grant():
    """Guards against renewals of grants for targets without requests."""

    async def scenario():
        setup = await make_idle_setup()
        await fakes.pass_time(setup.clock, 10 * SECOND)
        assert set(setup.channel.calls) == {"clock"}
        assert 9 <= len(setup.channel.calls) <= 13
        now = setup.clock.monotonic()
        assert not setup.gate.grant.may_send(now)
        assert setup.server.expires < now + setup.server.offset
        # The target can receive shards, and the gate reports that it may send.
        assert setup.gate.may_receive_shards()
        assert setup.gate.describe()["may_send"]
        await setup.gate.stop()

    gates_test.run_scenario(scenario)


def test_the_first_request_for_an_idle_target_waits_for_its_grant():
    """Guards against refusing the request without a grant or waiting for a timer."""

    async def scenario():
        setup = await make_idle_setup()
        before = setup.clock.monotonic()
        answers = [setup.send_request(f"r{number}") for number in range(2)]
        await fakes.run_ready_tasks()
        assert [(await answer).unwrap().status for answer in answers] == [200, 200]
        assert setup.clock.monotonic() == before
        assert setup.channel.calls == ["clock", "grant"]
        assert setup.budget.retries == 100
        await setup.gate.stop()

    gates_test.run_scenario(scenario)


@pytest.mark.parametrize("confirmed", [False, True])
def test_a_request_for_a_new_gate_waits_for_its_first_grant(confirmed):
    """Guards against refusing an upload, which is sent only once, after a takeover."""

    async def scenario():
        setup = gates_test.GateSetup(earlier_gates_end=100 * SECOND)
        setup.table.down = True
        await setup.start()
        answer = setup.send_request()
        await fakes.pass_time(setup.clock, 100 * MS)
        assert not answer.done()
        setup.table.down = not confirmed
        await fakes.pass_time(setup.clock, 450 * MS)
        assert answer.done()
        if confirmed:
            assert (await answer).unwrap().status == 200
        else:
            assert isinstance((await answer).failure(), errors.TargetUnavailable)
            # Later requests do not wait any more.
            late = setup.send_request("r2")
            await fakes.run_ready_tasks()
            assert isinstance(late.result().failure(), errors.TargetUnavailable)
        assert setup.server.runs == ([("r1", 1)] if confirmed else [])
        await setup.gate.stop()

    gates_test.run_scenario(scenario)


def test_the_grant_is_renewed_while_a_long_request_runs():
    """Guards against aborted runs, as the target checks the grant before the effect."""

    async def scenario():
        setup = await make_idle_setup()
        setup.server.hold = held = asyncio.Event()
        answer = setup.send_request()
        for _ in range(50):
            await fakes.pass_time(setup.clock, 100 * MS)
            shown = setup.clock.monotonic() + setup.server.offset
            assert setup.server.expires - shown > 300 * MS
        held.set()
        assert (await answer).unwrap()
        await setup.gate.stop()

    gates_test.run_scenario(scenario)


def test_a_request_for_an_unresponsive_idle_target_is_refused_once_it_is_lost():
    """Guards against requests that wait for a grant until their deadlines."""

    async def scenario():
        setup = await make_idle_setup()
        setup.server.reachable = False
        answer = setup.send_request()
        await fakes.pass_time(setup.clock, 450 * MS)
        assert setup.gate.lost
        # Its grant has expired, so its shards may move at once.
        assert setup.gate.begin_evacuation()
        await fakes.pass_time(setup.clock, 50 * MS)
        failure = (await answer).failure()
        assert isinstance(failure, errors.TargetUnavailable)
        assert setup.server.runs == []
        await setup.gate.stop()

    gates_test.run_scenario(scenario)


def test_an_idle_target_is_lost_only_after_unanswered_calls():
    """Guards against counting the time from the last answer, up to 1 s too early."""

    async def scenario():
        setup = await make_idle_setup()
        while not setup.channel.calls:
            await fakes.pass_time(setup.clock, 10 * MS)
        setup.server.reachable = False
        await fakes.pass_time(setup.clock, 900 * MS)
        assert not setup.gate.lost
        await fakes.pass_time(setup.clock, 550 * MS)
        assert setup.gate.lost
        await setup.gate.stop()

    gates_test.run_scenario(scenario)


def test_an_idle_target_that_closes_its_control_connection_is_checked_at_once():
    """Guards against detecting an ended target only at the next clock request."""

    async def scenario():
        setup = await make_idle_setup()
        setup.server.listening = False
        setup.channel.report_close()
        await fakes.run_ready_tasks()
        assert setup.gate.lost
        await setup.gate.stop()

    gates_test.run_scenario(scenario)


@pytest.mark.parametrize("refused", [False, True])
def test_only_a_grant_that_may_have_arrived_delays_the_evacuation(refused):
    """Guards against waiting for the expiry of a grant that was never sent."""

    async def scenario():
        setup = await gates_test.GateSetup().start()
        assert (await setup.send_request()).unwrap()
        await fakes.pass_time(setup.clock, 200 * MS)
        before = setup.gate.get_expired_at()
        if refused:
            setup.server.listening = False
        else:
            setup.server.reachable = False
        setup.channel.calls.clear()
        await fakes.pass_time(setup.clock, 700 * MS)
        assert setup.gate.lost
        assert setup.channel.calls[0] == "grant"
        expired_at = setup.gate.get_expired_at()
        assert expired_at == before if refused else expired_at > before
        assert setup.server.expires - setup.server.offset < before
        await setup.gate.stop()

    gates_test.run_scenario(scenario)


def test_a_target_that_closes_after_each_answer_causes_no_busy_loop():
    """Guards against a busy loop of closed connections and clock requests."""

    async def scenario():
        setup = await make_idle_setup()
        for _ in range(100):
            setup.channel.report_close()
            await fakes.pass_time(setup.clock, 10 * MS)
        assert len(setup.channel.calls) <= 7
        await setup.gate.stop()

    gates_test.run_scenario(scenario)


@pytest.mark.parametrize("idle", [False, True])
def test_a_paused_process_does_not_report_its_targets_lost(idle):
    """Guards against losses reported because this process could not read answers."""

    async def scenario():
        setup = await make_idle_setup()
        if not idle:
            assert (await setup.send_request()).unwrap()
        for _ in range(8):
            # One step of the clock: no task runs in between, as in a paused process.
            setup.clock.advance(2 * SECOND)
            await fakes.run_ready_tasks()
            await fakes.pass_time(setup.clock, 130 * MS)
        reports = [
            setup.notification_queue.get_nowait()
            for _ in range(setup.notification_queue.qsize())
        ]
        assert not any(isinstance(item, notifications.TargetLost) for item in reports)
        assert (await setup.send_request("r2")).unwrap()
        await setup.gate.stop()

    gates_test.run_scenario(scenario)


def test_an_answer_that_arrived_during_a_pause_is_used():
    """Guards against the loss of a target whose answer waits in the socket."""

    async def scenario():
        setup = await make_idle_setup()
        setup.server.reachable = False
        while not setup.channel.calls:
            await fakes.pass_time(setup.clock, 10 * MS)
        # The process is paused during the call for longer than its timeout.
        setup.clock.advance(2 * SECOND)
        setup.server.reachable = True
        await fakes.run_ready_tasks()
        await fakes.pass_time(setup.clock, 100 * MS)
        assert not setup.gate.lost and setup.notification_queue.empty()
        # Pauses do not hide a real loss: unanswered time counts while it runs.
        setup.server.reachable = False
        setup.gate.renewer.note_demand()
        for _ in range(3):
            setup.clock.advance(SECOND)
            await fakes.pass_time(setup.clock, 200 * MS)
        assert setup.gate.lost
        await setup.gate.stop()

    gates_test.run_scenario(scenario)


def test_a_gate_of_an_idle_target_that_the_row_shows_superseded_refuses():
    """Guards against serving until the next check of the view, once a second."""

    async def scenario():
        setup = await make_idle_setup()
        row = data.GateRow("t1", "e2", "i2", "127.0.0.1", 1, 2, 2)
        setup.view_holder.offer_gate(row)
        failure = (await setup.send_request()).failure()
        assert failure == errors.NotTheGate("t1", 2)
        assert setup.server.runs == []
        await setup.gate.stop()

    gates_test.run_scenario(scenario)


def test_gates_that_started_together_use_different_intervals():
    """Guards against bursts of clock requests and row reads of all gates."""
    early, late = (
        authority.GateAuthority(1, 99 * SECOND, 0 * MS, phase) for phase in (1, 0)
    )
    assert early.row_due == 8 * SECOND and late.row_due == 10 * SECOND
    checks = []
    for gate_authority in (early, late):
        grant = grants.FencedGrant(gate_authority, fakes.GRANTS, 0 * MS, 0 * MS)
        grant.clear_earlier_gates_end()
        grant.note_call_sent(5 * SECOND)
        grant.receive_reading(
            data.ClockReading("b", 9 * SECOND, 1, 5 * SECOND, 5 * SECOND)
        )
        checks.append(grant.plan_action(5 * SECOND).until)
    assert authority.compute_phase("t1") != authority.compute_phase("t2")
    assert checks == [5 * SECOND + 800 * MS, 6 * SECOND]


def test_is_refused_connection():
    refused = errors.TargetUnavailable("t1", "connection refused")
    assert renewal.is_refused_connection(refused)
    assert not renewal.is_refused_connection(errors.TargetUnavailable("t1", "slow"))
    assert renewal.CALL_TIMEOUT * 2 <= datetime.timedelta(milliseconds=400)
