import asyncio

from hypothesis import settings, stateful, strategies as st

from dewstep_core import data
from dewstep_entry.gate import crashes, fakes_test as fakes, quarantine, rows


class Crashes(stateful.RuleBasedStateMachine):
    """A request that crashes its target and three that do not, at two gates."""

    def __init__(self):
        super().__init__()
        self.table = fakes.Table()
        self.gates = [self.make_gate(), self.make_gate()]
        self.crashes_alone = 0

    def make_gate(self):
        return crashes.CrashRecorder("s", self.table, lambda: "op")

    @stateful.rule(index=st.integers(0, 1))
    def replace_gate(self, index):
        self.gates[index] = self.make_gate()

    @stateful.rule(
        index=st.integers(0, 1), others=st.sets(st.sampled_from(["a", "b", "c"]))
    )
    def run(self, index, others):
        recorder = self.gates[index]
        # A gate reads the rows before it serves an arrived shard.
        asyncio.run(recorder.refresh())
        state = recorder.suspects.get_state("bad")
        if state == quarantine.QUARANTINED:
            return
        if state == quarantine.SUSPECT:
            others = set()
        others = {
            other for other in others if recorder.suspects.get_state(other) is None
        }
        self.crashes_alone += not others
        asyncio.run(recorder.receive_crash(["bad", *others], alone=not others))

    @stateful.rule(index=st.integers(0, 1), name=st.sampled_from(["a", "b", "c"]))
    def run_other_request_alone(self, index, name):
        recorder = self.gates[index]
        asyncio.run(recorder.refresh())
        assert recorder.suspects.get_state(name) != quarantine.QUARANTINED
        asyncio.run(recorder.receive_success(name))
        assert recorder.suspects.get_state(name) is None

    @stateful.invariant()
    def crashes_alone_at_most_twice(self):
        assert self.crashes_alone <= 2


Crashes.TestCase.settings = settings(max_examples=100, deadline=None)
TestCrashes = Crashes.TestCase


def test_crashes_at_two_gates_at_once_are_added():
    async def scenario():
        table = fakes.Table()
        first, second = (
            crashes.CrashRecorder("s", table, lambda: "op") for _ in range(2)
        )
        await first.receive_crash(["bad"], alone=True)
        # The second gate has not read the row of the first.
        await second.receive_crash(["bad"], alone=True)
        assert second.suspects.get_state("bad") == quarantine.QUARANTINED
        assert table.get("quarantine/s/bad").value["crashes"] == 2
        await first.refresh()
        assert first.suspects.get_state("bad") == quarantine.QUARANTINED
        # An operator releases the request by deleting the row.
        table.put("quarantine/s/bad", None)
        await first.refresh()
        assert first.suspects.get_state("bad") is None

    asyncio.run(scenario())


def test_a_gate_counts_crashes_while_the_table_is_down():
    async def scenario():
        table = fakes.Table()
        table.down = True
        recorder = crashes.CrashRecorder("s", table, lambda: "op")
        await recorder.receive_crash(["bad"], alone=True)
        assert recorder.suspects.get_state("bad") == quarantine.SUSPECT
        await recorder.receive_crash(["bad"], alone=True)
        assert recorder.suspects.get_state("bad") == quarantine.QUARANTINED

    asyncio.run(scenario())


def test_a_read_that_began_before_a_write_does_not_remove_it():
    suspects = quarantine.SuspectTable()
    written = suspects.get_row_versions()
    (record,) = suspects.receive_crash(["bad"], alone=False)
    suspects.note_row_written(record, 1)
    suspects.receive_rows([], written)
    assert suspects.get_state("bad") == quarantine.SUSPECT


def test_suspects_are_dropped_before_quarantined_requests():
    suspects = quarantine.SuspectTable(limit=2)
    quarantined = rows.QuarantineRecord("q", 2, quarantine.QUARANTINED, 1)
    suspects.receive_rows([quarantined], {})
    suspects.receive_crash(["a", "b"], alone=False)
    assert list(suspects.entries) == ["q", "b"]


def test_fingerprints_differ_in_each_part_and_not_in_the_request_id():
    request = fakes.make_request("r1")
    fingerprint = quarantine.compute_fingerprint(request)
    assert (
        quarantine.compute_fingerprint(request._replace(request_id="r2")) == fingerprint
    )
    others = [
        request._replace(key="k2"),
        request._replace(path="/k1/x"),
        request._replace(method="PUT"),
        request._replace(body=data.Body(b"1", None)),
        # The same bytes, divided differently between the fields.
        request._replace(key="k", method="1GET"),
    ]
    assert len({fingerprint, *map(quarantine.compute_fingerprint, others)}) == 6
