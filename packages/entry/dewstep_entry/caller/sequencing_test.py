"""Tests of the order of the requests on a caller's connection."""

import pytest
from hypothesis import settings, stateful, strategies

from dewstep_entry.caller import sequencing


def build(*parallel, started=0):
    return sequencing.Sequence(parallel, started)


# Guards against requests that run although one in front of them may not be repeated.
@pytest.mark.parametrize(
    "sequence, room, closing, startable",
    [
        (build(), 9, False, 0),
        (build(False), 0, True, 1),
        (build(True, True, True), 9, False, 3),
        (build(True, True, True), 1, False, 2),
        (build(True, True, True, started=1), 2, False, 2),
        (build(True, True, True, started=1), 9, True, 0),
        (build(True, False, True, started=1), 9, False, 0),
        (build(False, True, started=1), 9, False, 0),
        (build(False, True), 9, False, 1),
    ],
)
def test_requests_that_may_start(sequence, room, closing, startable):
    assert sequencing.count_startable(sequence, room, closing) == startable


class Connections(stateful.RuleBasedStateMachine):
    """A caller that sends ahead, and a connection that may close at any time."""

    def __init__(self):
        super().__init__()
        self.sequence = sequencing.Sequence()
        self.requests = []
        self.running = []
        self.answered = []
        self.number = 0
        self.closing = False
        self.closed = False

    @stateful.precondition(lambda self: not self.closed)
    @stateful.rule(parallel=strategies.booleans())
    def read(self, parallel):
        if sequencing.can_read(self.sequence):
            self.requests.append((self.number, parallel))
            self.number += 1
            self.sequence = sequencing.add(self.sequence, parallel)

    @stateful.precondition(lambda self: not self.closed)
    @stateful.rule(room=strategies.integers(0, 3))
    def start(self, room):
        count = sequencing.count_startable(self.sequence, room, self.closing)
        first = self.sequence.started
        self.running += [item for item, _ in self.requests[first : first + count]]
        self.sequence = sequencing.start(self.sequence, count)

    @stateful.rule()
    def stop(self):
        self.closing = True

    @stateful.precondition(lambda self: self.sequence.started and not self.closed)
    @stateful.rule()
    def answer(self):
        self.closed = self.closing and sequencing.may_close(self.sequence)
        number, _ = self.requests.pop(0)
        self.running.remove(number)
        self.answered.append(number)
        self.sequence = sequencing.remove_first(self.sequence)

    @stateful.invariant()
    def answers_are_in_order(self):
        assert self.answered == list(range(len(self.answered)))

    @stateful.invariant()
    def nothing_that_was_read_is_behind_a_close(self):
        assert not (self.closed and (self.requests or self.running))

    @stateful.invariant()
    def requests_that_may_not_be_repeated_run_alone(self):
        alone = {number for number, parallel in self.requests if not parallel}
        assert len(self.running) <= 1 or not alone & set(self.running)

    @stateful.invariant()
    def requests_are_bounded(self):
        assert len(self.requests) <= 1 + sequencing.MAX_REQUESTS_BEHIND


TestConnections = Connections.TestCase
TestConnections.settings = settings(max_examples=300, stateful_step_count=40)
