"""Exploration of how a lost answer is judged, over orders of events."""

import hypothesis
from hypothesis import strategies

from dewstep_core import data
from dewstep_core.platform import table
from dewstep_emulator import table_service

OPERATION = "op"
EVENTS = ("copy", "other-row", "other-gate", "delete-row")


class Model:
    """A table, and copies of one transaction that arrive at any time."""

    def __init__(self, deletes):
        self.table = table_service.Table()
        for _ in range(3):
            self.write("row", {"operation_id": "first"})
        self.write("gate", {"term": 1})
        value = None if deletes else {"x": 1}
        self.transaction = data.Transaction(
            OPERATION,
            (data.Check("row", 3), data.Check("gate", 1)),
            (data.Write("row", value),),
        )
        self.effects = 0

    def write(self, key, value):
        self.table.write([{"key": key, "value": value}])

    def apply(self, event):
        if event == "other-row":
            self.write("row", {"operation_id": "other"})
        elif event == "other-gate":
            self.write("gate", {"term": 2})
        elif event == "delete-row":
            self.write("row", None)
        elif not self.table.find_conflicts(
            [check._asdict() for check in self.transaction.checks]
        ):
            write = self.transaction.writes[0]
            self.write("row", table.add_operation(write.value, OPERATION))
            self.effects += 1

    def read(self, key):
        found = self.table.read(key)
        return data.Row(**found) if found else data.Row(key, 0, None)


@hypothesis.settings(max_examples=400, derandomize=True, deadline=None)
@hypothesis.given(
    strategies.booleans(),
    *(strategies.lists(strategies.sampled_from(EVENTS), max_size=4) for _ in range(3)),
)
def test_verdict_is_true_whatever_happens_before_between_and_after_the_reads(
    deletes, before, between, after
):
    """Guards against a write that counts twice, or is reported but did not happen."""
    model = Model(deletes)
    for event in before:
        model.apply(event)
    first, last = table.order_read_back(model.transaction)
    rows = {first: model.read(first)}
    for event in between:
        model.apply(event)
    rows[last] = model.read(last)
    verdict = table.judge_rows(model.transaction, rows)
    effects = model.effects
    for event in after:
        model.apply(event)
    assert model.effects <= 1
    if verdict is table.Verdict.REFUTED:
        assert model.effects == 0
    if verdict is table.Verdict.COMMITTED and not deletes:
        assert effects == 1
    if verdict is table.Verdict.COMMITTED and deletes:
        # The row was gone at the read, and the transaction can do no more to it.
        assert model.effects == effects
