import datetime

from hypothesis import settings, stateful, strategies as st

from dewstep_core import data
from dewstep_entry.gate import (
    fakes_test as fakes,
    grants,
    succession,
    tenure,
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
        gate_tenure = tenure.Tenure(term, HORIZON, local)
        end = local
        if waits:
            end = succession.compute_horizon_end(local, HORIZON, fakes.GRANTS)
        self.grant = grants.FencedGrant(gate_tenure, fakes.GRANTS, local, end)
        self.moved = False

    def read(self, now):
        return self.start + now * self.rate


class GrantProtocol(stateful.RuleBasedStateMachine):
    """Gates, a target and messages that arrive in any order, late or never.

    A gate that is paused simply makes no step; what it had sent may still arrive.
    """

    def __init__(self):
        super().__init__()
        self.now = datetime.timedelta()
        self.boot, self.term, self.expires = "b0", 0, datetime.timedelta()
        self.boots = 0
        self.offset = 1_000 * SECOND
        self.row_term = 1
        self.messages = []
        self.holders = [SimulatedGate(1, 1.0, 50 * SECOND, self.now, False)]

    def target_clock(self):
        return self.now * 1.004 + self.offset

    @stateful.rule(duration=st.integers(1, 700))
    def pass_time(self, duration):
        self.now += duration * MS

    @stateful.rule(index=st.integers(0, 2), demanded=st.booleans())
    def step(self, index, demanded):
        holder = self.holders[index % len(self.holders)]
        local = holder.read(self.now)
        if demanded:
            holder.grant.note_demand(local)
        match holder.grant.plan(local):
            case grants.ReadClock():
                holder.grant.note_call_sent(local)
                self.messages.append(("ask", holder, local, None))
            case grants.SendGrant(grant=grant, reading=reading):
                holder.grant.note_call_sent(local)
                holder.grant.note_grant_sent(reading, local)
                self.messages.append(("grant", holder, local, (grant, reading)))
        if holder.grant.needs_row(local):
            self.messages.append(("read", holder, local, None))

    @stateful.precondition(lambda self: self.messages)
    @stateful.rule(index=st.integers(0, 9), lost=st.booleans())
    def deliver(self, index, lost):
        kind, holder, sent, content = self.messages.pop(index % len(self.messages))
        if not lost:
            getattr(self, f"deliver_{kind}")(holder, sent, content)

    @stateful.rule()
    def deliver_all(self):
        """Deliver questions and their answers at once, as in quiet times."""
        for _ in range(2):
            waiting, self.messages = self.messages, []
            for kind, holder, sent, content in waiting:
                getattr(self, f"deliver_{kind}")(holder, sent, content)

    def deliver_ask(self, holder, sent, content):
        shown = (self.boot, self.target_clock(), self.term)
        self.messages.append(("reading", holder, sent, (shown, None)))

    def deliver_grant(self, holder, sent, content):
        grant, base = content
        if grant.boot != self.boot or grant.term < self.term:
            self.messages.append(("refusal", holder, sent, None))
        elif grant.expires > self.target_clock():
            # As docs/platform.md says, of grants of one term the latest expiry counts;
            # a grant that arrives late does not shorten the one in force.
            same_term = grant.term == self.term
            latest = max(self.expires, grant.expires)
            self.expires = latest if same_term else grant.expires
            self.term = grant.term
            shown = (self.boot, self.target_clock(), self.term)
            self.messages.append(("reading", holder, sent, (shown, base)))

    def deliver_reading(self, holder, sent, content):
        shown, base = content
        local = holder.read(self.now)
        if base is not None:
            holder.grant.receive_acceptance(base)
        holder.grant.receive_reading(data.ClockReading(*shown, sent, local))

    def deliver_refusal(self, holder, sent, content):
        holder.grant.receive_refusal(holder.read(self.now))

    def deliver_read(self, holder, sent, content):
        self.messages.append(("row", holder, sent, self.row_term))

    def deliver_row(self, holder, sent, term):
        holder.grant.receive_row(term, sent)

    @stateful.rule()
    def restart_target(self):
        self.boots += 1
        self.boot, self.term = f"b{self.boots}", 0
        self.expires = datetime.timedelta()
        self.offset += 500 * SECOND

    @stateful.precondition(lambda self: len(self.holders) < 3)
    @stateful.rule()
    def raise_term(self):
        self.row_term += 1
        rate = (1.0, 1.009, 1.002)[len(self.holders)]
        start = 7 * SECOND * self.row_term
        self.holders.append(SimulatedGate(self.row_term, rate, start, self.now, True))

    @stateful.rule(index=st.integers(0, 2))
    def move_if_lost(self, index):
        holder = self.holders[index % len(self.holders)]
        local = holder.read(self.now)
        if holder.grant.renewing:
            if holder.grant.is_lost(local):
                holder.grant.suspend()
        elif not holder.moved:
            if holder.grant.is_lost(local):
                # The commit checks the gate row, so only the newest term moves.
                current = holder.grant.gate_tenure.term == self.row_term
                expired = local >= holder.grant.compute_expired_at()
                holder.moved = current and expired
            else:
                holder.grant.resume()

    @stateful.rule(index=st.integers(0, 2))
    def refuse_connection(self, index):
        """Let a gate see a refusal, also while the target goes on running."""
        holder = self.holders[index % len(self.holders)]
        holder.grant.receive_connection_refused()
        self.move_if_lost(index % len(self.holders))

    @stateful.rule(
        modes=st.tuples(*[st.sampled_from(MODES)] * 3),
        rounds=st.sampled_from([2, 5, 15, 80]),
        demand=st.sampled_from(["always", "never", "at times"]),
    )
    def run_partly(self, modes, rounds, demand):
        """Let the gates work, each as well as its mode allows."""
        held, self.messages = self.messages, []
        for number in range(rounds):
            # Every 30 rounds are 1.5 s, so that grants lapse in between.
            demanded = demand == "always" or (demand == "at times" and number % 30 == 0)
            for index, mode in enumerate(modes[: len(self.holders)]):
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
        for holder in self.holders:
            if holder.moved:
                granted = self.target_clock() < self.expires
                assert not granted or self.term > holder.grant.gate_tenure.term

    @stateful.invariant()
    def a_fenced_gate_stays_fenced(self):
        fenced = [
            holder.grant.gate_tenure.term
            for holder in self.holders[1:]
            if holder.grant.old_gates_end is None
        ]
        if self.target_clock() < self.expires:
            assert self.term >= max(fenced, default=0)

    @stateful.invariant()
    def requests_are_sent_only_under_a_grant_that_the_target_holds(self):
        for holder in self.holders:
            grant = holder.grant
            if grant.may_send(holder.read(self.now)) and (
                grant.reading.boot == self.boot and self.term <= grant.gate_tenure.term
            ):
                assert self.term == grant.gate_tenure.term
                assert self.target_clock() < self.expires


GrantProtocol.TestCase.settings = settings(
    max_examples=400, stateful_step_count=20, deadline=None
)
TestGrantProtocol = GrantProtocol.TestCase


def make_grant(now=datetime.timedelta()):
    gate_tenure = tenure.Tenure(1, HORIZON, now)
    return grants.FencedGrant(gate_tenure, fakes.GRANTS, now, now)


def make_reading(boot="b", clock=9 * SECOND, term=0, sent=0, received=1):
    return data.ClockReading(boot, clock, term, sent * MS, received * MS)


def test_a_grant_counts_from_the_reading_and_is_renewed_every_interval():
    grant = make_grant()
    assert grant.plan(0 * MS) == grants.ReadClock()
    grant.note_call_sent(0 * MS)
    grant.receive_reading(make_reading())
    grant.receive_row(1, 1 * MS)
    action = grant.plan(2 * MS)
    assert action.grant == data.Grant("b", 1, 9 * SECOND + 600 * MS)
    grant.note_grant_sent(action.reading, 2 * MS)
    grant.receive_acceptance(action.reading)
    assert grant.compute_expired_at() == 617 * MS
    # From the sending of the question, less the drift and the margin.
    assert grant.may_send(583 * MS) and not grant.may_send(584 * MS)
    assert grant.plan(3 * MS) == grants.Wait(152 * MS)
    assert isinstance(grant.plan(152 * MS), grants.SendGrant)
    assert grant.plan(300 * MS) == grants.ReadClock()


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
    grant.gate_tenure.contact = 0 * MS
    assert not grant.may_renew(late)
    grant.receive_row(1, late)
    assert grant.may_renew(late)


def test_an_unfenced_target_is_lost_after_failed_exchanges_only():
    gate_tenure = tenure.Tenure(1, HORIZON, 0 * MS)
    grant = unfenced.UnfencedGrant(gate_tenure, fakes.GRANTS, 0 * MS, 0 * MS)
    grant.receive_outcome(False, 9 * SECOND, 100 * MS)
    # A single slow request must not move the shards of a quiet target.
    assert not grant.is_lost(9 * SECOND)
    grant.receive_outcome(False, 8 * SECOND, 499 * MS)
    assert not grant.is_lost(500 * MS)
    grant.receive_outcome(False, 8 * SECOND, 500 * MS)
    assert grant.is_lost(500 * MS)
    # Nothing but its deadline bounds the request whose connection broke.
    assert grant.compute_expired_at() == 9 * SECOND
    grant.receive_outcome(True, 9 * SECOND, 510 * MS)
    assert not grant.is_lost(520 * MS)
