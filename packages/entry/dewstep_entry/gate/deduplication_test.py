import asyncio
import datetime
import uuid

from hypothesis import settings, stateful, strategies as st
from returns import result

from dewstep_core import clocks, data, errors
from dewstep_entry.gate import answers, at_most_once, deduplication, fakes_test as fakes

MS, SECOND = fakes.MS, fakes.SECOND
SKEW = 500 * MS


def make_context(table=None, clock=None, term=1, gate_version=1):
    return deduplication.Context(
        "s",
        f"e{term}",
        term,
        data.Check("gate/t1", gate_version),
        table or fakes.Table(),
        clock or clocks.ManualClock(),
        SKEW,
        lambda: str(uuid.uuid4()),
    )


def make_id(time, tail=1):
    milliseconds = int(time.timestamp() * 1_000)
    return str(uuid.UUID(int=milliseconds << 80 | 7 << 76 | 2 << 62 | tail))


class DelayedTable(fakes.Table):
    """Table in which a transaction without an answer may take effect later."""

    def __init__(self):
        super().__init__()
        self.delayed = []

    async def commit(self, transaction):
        fault = self.faults[0] if self.faults else ""
        if fault == "late":
            self.faults.pop(0)
            self.delayed.append(transaction)
            return result.Failure(errors.AnswerLost("late"))
        return await super().commit(transaction)


class Claims(stateful.RuleBasedStateMachine):
    """Successive gates, one request id, and a table that loses answers."""

    def __init__(self):
        super().__init__()
        self.table = DelayedTable()
        self.table.put("gate/t1", {"term": 1})
        self.gates = [deduplication.TableDeduplication(make_context(self.table))]
        self.request = fakes.make_request("r1", kind="book")
        self.runs = 0

    @stateful.precondition(lambda self: self.table.delayed)
    @stateful.rule()
    def deliver_delayed(self):
        self.table.faults = []
        asyncio.run(self.table.commit(self.table.delayed.pop(0)))

    @stateful.rule()
    def change_gate(self):
        self.table.put("gate/t1", {"term": len(self.gates) + 1})
        term = len(self.gates) + 1
        context = make_context(self.table, term=term, gate_version=term)
        self.gates.append(deduplication.TableDeduplication(context))

    @stateful.rule(
        index=st.integers(0, 1),
        ran=st.booleans(),
        faults=st.lists(
            st.sampled_from(["", "late", "lost-before", "lost-after"]), max_size=3
        ),
    )
    def send(self, index, ran, faults):
        self.table.faults = faults
        method = self.gates[-1 - index % len(self.gates)]
        claimed = asyncio.run(method.claim(self.request))
        if isinstance(claimed, result.Failure):
            return
        # A superseded gate cannot claim.
        assert method is self.gates[-1]
        if ran:
            self.runs += 1
        else:
            asyncio.run(method.abandon(claimed.unwrap(), self.request))

    @stateful.invariant()
    def runs_at_most_once(self):
        assert self.runs <= 1


Claims.TestCase.settings = settings(max_examples=300, deadline=None)
TestClaims = Claims.TestCase


class TimeOrderedIds(stateful.RuleBasedStateMachine):
    """Successive gates and callers whose clocks differ by up to one skew."""

    def __init__(self):
        super().__init__()
        self.clock = clocks.ManualClock()
        self.ids = []
        self.runs = {}
        self.gate = None
        self.take_over(0)

    def make_gate(self, offset):
        clock = clocks.ManualClock(self.clock.start + offset * MS)
        clock.elapsed = self.clock.elapsed
        method = deduplication.MemoryDeduplication(make_context(clock=clock))
        limits = answers.MemoryLimits(entries=1)
        return clock, method, at_most_once.AtMostOnceRunner(clock, method, limits)

    @stateful.rule(offset=st.sampled_from([-250, 0, 250]))
    def take_over(self, offset):
        first = self.gate is None
        self.gate = self.make_gate(offset)
        if not first:
            self.gate[1].raise_floor_for_new_gate()

    @stateful.rule(offset=st.sampled_from([-250, 0, 250]))
    def hand_over(self, offset):
        memory = self.gate[2].export()
        self.gate = self.make_gate(offset)
        self.gate[2].load(memory)

    @stateful.rule(duration=st.sampled_from([1, 100, 600, 2_000]))
    def pass_time(self, duration):
        self.clock.advance(duration * MS)
        self.gate[0].advance(duration * MS)

    @stateful.rule(offset=st.integers(-260, 260))
    def make_new_id(self, offset):
        time = self.clock.now() + offset * MS
        self.ids.append(make_id(time, len(self.ids)))

    @stateful.precondition(lambda self: self.ids)
    @stateful.rule(index=st.integers(0, 3), lost=st.booleans())
    def send(self, index, lost):
        request_id = self.ids[-1 - index % len(self.ids)]
        request = fakes.make_request(request_id, kind="note")

        async def run(execution):
            execution.may_have_run = True
            self.runs[request_id] = self.runs.get(request_id, 0) + 1
            if lost:
                return result.Failure(errors.ConnectionLost("t1"))
            body = data.Body(b"x", None)
            return result.Success(data.Answer(200, (), None, body, ""))

        _, method, runner = self.gate
        asyncio.run(runner.handle(request, 0, method, run))

    @stateful.invariant()
    def runs_at_most_once(self):
        assert all(count == 1 for count in self.runs.values())


TimeOrderedIds.TestCase.settings = settings(max_examples=200, deadline=None)
TestTimeOrderedIds = TimeOrderedIds.TestCase


def test_an_evicted_id_is_not_run_again():
    machine = TimeOrderedIds()
    for offset in (0, 5):
        machine.make_new_id(offset)
    for index in (1, 0, 1):
        machine.send(index, False)
        machine.runs_at_most_once()


def test_floor_covers_a_caller_and_an_old_gate_whose_clocks_are_both_ahead():
    # The old gate's clock is one skew ahead of the new one's, and the id is one skew
    # ahead of that.
    clock = clocks.ManualClock()
    old_clock = clocks.ManualClock(clock.start + SKEW)
    request = fakes.make_request(make_id(old_clock.now() + SKEW), kind="note")
    old = deduplication.MemoryDeduplication(make_context(clock=old_clock))
    assert old.check(request, 0) is None
    new = deduplication.MemoryDeduplication(make_context(clock=clock))
    new.raise_floor_for_new_gate()
    clock.advance(600 * MS)
    assert isinstance(new.check(request, 0), errors.AlreadyClaimed)
    clock.advance(SECOND)
    later = request._replace(request_id=make_id(clock.now()))
    assert new.check(later, 0) is None


def test_ids_that_are_not_time_ordered_or_too_far_ahead_are_refused():
    context = make_context()
    method = deduplication.MemoryDeduplication(context)
    plain = fakes.make_request(str(uuid.UUID(int=4 << 76)))
    assert isinstance(method.check(plain, 0), errors.RequestIdUnusable)
    words = fakes.make_request("booking-7")
    assert isinstance(method.check(words, 0), errors.RequestIdUnusable)
    ahead = fakes.make_request(make_id(context.clock.now() + SKEW + 2 * MS))
    assert isinstance(method.check(ahead, 0), errors.RequestIdAhead)


def test_old_floors_of_shards_are_merged_and_still_hold():
    clock = clocks.ManualClock()
    method = deduplication.MemoryDeduplication(make_context(clock=clock))
    method.set_arrival_floors({3}, {"k9"})
    old = fakes.make_request(make_id(clock.now()))
    assert method.check(old, 0) is None
    assert isinstance(method.check(old, 3), errors.AlreadyClaimed)
    clock.advance(5 * 60 * SECOND)
    method.set_arrival_floors({4}, set())
    assert set(method.shard_floors) == {4} and not method.key_floors
    assert isinstance(method.check(old, 3), errors.AlreadyClaimed)


def test_memory_is_bounded_by_number_bytes_and_age():
    limits = answers.MemoryLimits(3, 1_000, datetime.timedelta(minutes=1))
    memory = answers.AnswerMemory(limits)
    identity = answers.compute_identity(fakes.make_request())

    def put(name, size, now=0):
        body = data.Body(b"x" * size, None)
        answer = data.Answer(200, (), None, body, "")
        evicted = memory.put(name, identity, answer, now * SECOND)
        return [item.request_id for item in evicted]

    assert [put(name, 1) for name in "abc"] == [[], [], []]
    assert put("d", 1) == ["a"]
    assert put("e", 999) == ["b", "c"]
    assert put("f", 1, 61) == ["d", "e"]
    assert memory.total_bytes == 1
    # Of an answer that is too long, only the id is kept.
    assert put("g", answers.MAXIMUM_KEPT_BODY_BYTES + 1, 61) == []
    assert memory.get("g").answer is None
