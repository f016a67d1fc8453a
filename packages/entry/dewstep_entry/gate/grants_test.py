import datetime

from hypothesis import settings, stateful, strategies as st

from dewstep_core import data
from dewstep_entry.gate import (
    authority,
    fakes_test as fakes,
    grants,
    succession,
    unfenced,
)

MS, SECOND = fakes.MS, fakes.SECOND
HORIZON = 3 * SECOND
MODES = ["works", "paused", "no table", "no target"]


class SimulatedGate:
    """A gate whose clock runs at its own rate."""

    def __init__(self, term, rate, start, now, waits):
        self.rate, self.start = rate, start
        local = self.read(now)
        gate_authority = authority.GateAuthority(term, HORIZON, local)
        end = local
        if waits:
            end = succession.compute_horizon_end(local, HORIZON, fakes.GRANTS)
        self.grant = grants.FencedGrant(gate_authority, fakes.GRANTS, local, end)
        self.moved = False

    def read(self, now):
        return self.start + now * self.rate


class GrantProtocol(stateful.RuleBasedStateMachine):
    """Gates, a target and messages that arrive in any order, late or never.

    A paused gate makes no step, but messages that it sent before may still arrive.
    """

    def __init__(self):
        super().__init__()
        self.now = datetime.timedelta()
        self.boot, self.term, self.expires = "b0", 0, datetime.timedelta()
        self.boots = 0
        self.offset = 1_000 * SECOND
        self.row_term = 1
        self.messages = []
        self.gates = [SimulatedGate(1, 1.0, 50 * SECOND, self.now, False)]

    def target_clock(self):
        return self.now * 1.004 + self.offset

    @stateful.rule(duration=st.integers(1, 700))
    def pass_time(self, duration):
        self.now += duration * MS

    @stateful.rule(index=st.integers(0, 2), demanded=st.booleans())
    def step(self, index, demanded):
        gate = self.gates[index % len(self.gates)]
        local = gate.read(self.now)
        if demanded:
            gate.grant.note_demand(local)
        match gate.grant.plan_action(local):
            case grants.ReadClock():
                gate.grant.note_call_sent(local)
                self.messages.append(("ask", gate, local, None))
            case grants.SendGrant(grant=grant, reading=reading):
                gate.grant.note_call_sent(local)
                gate.grant.note_grant_sent(reading, local)
                self.messages.append(("grant", gate, local, (grant, reading)))
        if gate.grant.needs_row(local):
            self.messages.append(("read", gate, local, None))

    @stateful.precondition(lambda self: self.messages)
    @stateful.rule(index=st.integers(0, 9), lost=st.booleans())
    def deliver(self, index, lost):
        kind, gate, sent, content = self.messages.pop(index % len(self.messages))
        if not lost:
            getattr(self, f"deliver_{kind}")(gate, sent, content)

    @stateful.rule()
    def deliver_all(self):
        """Deliver all requests and their answers without delay."""
        for _ in range(2):
            waiting, self.messages = self.messages, []
            for kind, gate, sent, content in waiting:
                getattr(self, f"deliver_{kind}")(gate, sent, content)

    def deliver_ask(self, gate, sent, content):
        shown = (self.boot, self.target_clock(), self.term)
        self.messages.append(("reading", gate, sent, (shown, None)))

    def deliver_grant(self, gate, sent, content):
        grant, base = content
        if grant.boot != self.boot or grant.term < self.term:
            self.messages.append(("refusal", gate, sent, None))
        elif grant.expires > self.target_clock():
            # Of grants of one term, the latest expiry is in force; a delayed grant
            # does not shorten it (docs/platform.md).
            same_term = grant.term == self.term
            latest = max(self.expires, grant.expires)
            self.expires = latest if same_term else grant.expires
            self.term = grant.term
            shown = (self.boot, self.target_clock(), self.term)
            self.messages.append(("reading", gate, sent, (shown, base)))

    def deliver_reading(self, gate, sent, content):
        shown, base = content
        local = gate.read(self.now)
        if base is not None:
            gate.grant.receive_acceptance(base)
        gate.grant.receive_reading(data.ClockReading(*shown, sent, local))

    def deliver_refusal(self, gate, sent, content):
        gate.grant.receive_refusal(gate.read(self.now))

    def deliver_read(self, gate, sent, content):
        self.messages.append(("row", gate, sent, self.row_term))

    def deliver_row(self, gate, sent, term):
        gate.grant.receive_row(term, sent)

    @stateful.rule()
    def restart_target(self):
        self.boots += 1
        self.boot, self.term = f"b{self.boots}", 0
        self.expires = datetime.timedelta()
        self.offset += 500 * SECOND

    @stateful.precondition(lambda self: len(self.gates) < 3)
    @stateful.rule()
    def raise_term(self):
        self.row_term += 1
        rate = (1.0, 1.009, 1.002)[len(self.gates)]
        start = 7 * SECOND * self.row_term
        self.gates.append(SimulatedGate(self.row_term, rate, start, self.now, True))

    @stateful.rule(index=st.integers(0, 2))
    def move_if_lost(self, index):
        gate = self.gates[index % len(self.gates)]
        local = gate.read(self.now)
        if gate.grant.renewing:
            if gate.grant.is_lost(local):
                gate.grant.suspend()
        elif not gate.moved:
            if gate.grant.is_lost(local):
                # The commit checks the gate row, so only the newest term moves.
                current = gate.grant.gate_authority.term == self.row_term
                expired = local >= gate.grant.compute_expired_at()
                gate.moved = current and expired
            else:
                gate.grant.resume()

    @stateful.rule(index=st.integers(0, 2))
    def refuse_connection(self, index):
        """Refuse a gate's connection, also while the target keeps running."""
        gate = self.gates[index % len(self.gates)]
        gate.grant.receive_connection_refused()
        self.move_if_lost(index % len(self.gates))

    @stateful.rule(
        modes=st.tuples(*[st.sampled_from(MODES)] * 3),
        rounds=st.sampled_from([2, 5, 15, 80]),
        demand=st.sampled_from(["always", "never", "at times"]),
    )
    def run_with_faults(self, modes, rounds, demand):
        """Run the gates for some rounds, each with the faults of its mode."""
        held, self.messages = self.messages, []
        for number in range(rounds):
            # Every 30 rounds are 1.5 s, so that grants lapse in between.
            demanded = demand == "always" or (demand == "at times" and number % 30 == 0)
            for index, mode in enumerate(modes[: len(self.gates)]):
                if mode == "paused":
                    continue
                self.step(index, demanded)
                lost = {"no table": ("read",), "no target": ("ask", "grant")}
                self.messages = [
                    message
                    for message in self.messages
                    if message[0] not in lost.get(mode, ())
                ]
                self.deliver_all()
                self.move_if_lost(index)
            self.now += 50 * MS
            self.check_all()
        self.messages = held + self.messages

    def check_all(self):
        self.moved_shards_run_nowhere_else()
        self.a_fenced_gate_stays_fenced()
        self.requests_are_sent_only_under_a_grant_that_the_target_holds()

    @stateful.invariant()
    def moved_shards_run_nowhere_else(self):
        for gate in self.gates:
            if gate.moved:
                granted = self.target_clock() < self.expires
                assert not granted or self.term > gate.grant.gate_authority.term

    @stateful.invariant()
    def a_fenced_gate_stays_fenced(self):
        fenced = [
            gate.grant.gate_authority.term
            for gate in self.gates[1:]
            if gate.grant.earlier_gates_end is None
        ]
        if self.target_clock() < self.expires:
            assert self.term >= max(fenced, default=0)

    @stateful.invariant()
    def requests_are_sent_only_under_a_grant_that_the_target_holds(self):
        for gate in self.gates:
            grant = gate.grant
            if grant.may_send(gate.read(self.now)) and (
                grant.reading.boot == self.boot
                and self.term <= grant.gate_authority.term
            ):
                assert self.term == grant.gate_authority.term
                assert self.target_clock() < self.expires


GrantProtocol.TestCase.settings = settings(
    max_examples=400, stateful_step_count=20, deadline=None
)
TestGrantProtocol = GrantProtocol.TestCase


def make_grant(now=datetime.timedelta()):
    gate_authority = authority.GateAuthority(1, HORIZON, now)
    return grants.FencedGrant(gate_authority, fakes.GRANTS, now, now)


def make_reading(boot="b", clock=9 * SECOND, term=0, sent=0, received=1):
    return data.ClockReading(boot, clock, term, sent * MS, received * MS)


def test_a_grant_counts_from_the_reading_and_is_renewed_every_interval():
    grant = make_grant()
    assert grant.plan_action(0 * MS) == grants.ReadClock()
    grant.note_call_sent(0 * MS)
    grant.receive_reading(make_reading())
    grant.receive_row(1, 1 * MS)
    action = grant.plan_action(2 * MS)
    assert action.grant == data.Grant("b", 1, 9 * SECOND + 600 * MS)
    grant.note_grant_sent(action.reading, 2 * MS)
    grant.receive_acceptance(action.reading)
    assert grant.compute_expired_at() == 617 * MS
    # The lifetime counts from the sending of the clock request, less drift and margin.
    assert grant.may_send(583 * MS) and not grant.may_send(584 * MS)
    assert grant.plan_action(3 * MS) == grants.Wait(152 * MS)
    assert isinstance(grant.plan_action(152 * MS), grants.SendGrant)
    assert grant.plan_action(300 * MS) == grants.ReadClock()


def test_a_late_answer_of_an_earlier_boot_does_not_undo_a_restart():
    grant = make_grant()
    first = make_reading("b1", sent=0, received=1)
    grant.receive_reading(first)
    grant.receive_acceptance(first)
    assert grant.may_send(4 * MS)
    assert grant.receive_reading(make_reading("b2", sent=5, received=6))
    assert not grant.receive_reading(make_reading("b1", sent=4, received=9))
    assert grant.reading.boot == "b2"
    assert not grant.may_send(9 * MS)


def test_a_row_that_was_asked_for_before_a_restart_does_not_confirm_the_boot_id():
    grant = make_grant()
    grant.receive_reading(make_reading("b1"))
    grant.receive_reading(make_reading("b2", sent=5, received=6))
    grant.receive_row(1, 4 * MS)
    assert not grant.may_renew(7 * MS)
    grant.receive_row(1, 6 * MS)
    assert grant.may_renew(7 * MS)


def test_no_grant_after_the_horizon_until_the_row_is_read_again():
    grant = make_grant()
    late = HORIZON + 1 * MS
    grant.receive_reading(make_reading(sent=2_990, received=2_991))
    grant.receive_row(1, 2_992 * MS)
    grant.gate_authority.term_confirmed_at = 0 * MS
    assert not grant.may_renew(late)
    grant.receive_row(1, late)
    assert grant.may_renew(late)


def test_an_unfenced_target_is_lost_after_failed_exchanges_only():
    gate_authority = authority.GateAuthority(1, HORIZON, 0 * MS)
    grant = unfenced.UnfencedGrant(gate_authority, fakes.GRANTS, 0 * MS, 0 * MS)
    grant.receive_outcome(False, 9 * SECOND, 100 * MS)
    # A single slow request must not move the shards of a target with little traffic.
    assert not grant.is_lost(9 * SECOND)
    grant.receive_outcome(False, 8 * SECOND, 499 * MS)
    assert not grant.is_lost(500 * MS)
    grant.receive_outcome(False, 8 * SECOND, 500 * MS)
    assert grant.is_lost(500 * MS)
    # A request whose connection broke may run until its deadline.
    assert grant.compute_expired_at() == 9 * SECOND
    grant.receive_outcome(True, 9 * SECOND, 510 * MS)
    assert not grant.is_lost(520 * MS)
