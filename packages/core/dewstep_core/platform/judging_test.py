"""Property test of `table.judge_rows` with random orders of events.

The events are the arrival of a copy of the transaction whose answer was lost, and
writes of other clients to its rows.
"""

import hypothesis
from hypothesis import strategies

from dewstep_core import data
from dewstep_core.platform import table
from dewstep_emulator import table_service

OPERATION = "op"
EVENTS = ("copy", "other-row", "other-gate", "delete-row")


class Model:
    """A table to which copies of one transaction and other writes are applied."""

    def __init__(self, deletes_row):
        self.table = table_service.Table()
        for _ in range(3):
            self.write("row", {"operation_id": "first"})
        self.write("gate", {"term": 1})
        value = None if deletes_row else {"x": 1}
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
            self.write("row", table.add_operation_id(write.value, OPERATION))
            self.effects += 1

    def read(self, key):
        found = self.table.read(key)
        return data.Row(**found) if found else data.Row(key, 0, None)


@hypothesis.settings(max_examples=400, derandomize=True, deadline=None)
@hypothesis.given(
    strategies.booleans(),
    *(strategies.lists(strategies.sampled_from(EVENTS), max_size=4) for _ in range(3)),
)
def test_verdict_is_correct_for_any_events_before_between_and_after_the_reads(
    deletes_row, before, between, after
):
    """Guards against a write that is applied twice, or whose outcome is misreported."""
    model = Model(deletes_row)
    for event in before:
        model.apply(event)
    checked_key, written_key = table.list_keys_to_read_back(model.transaction)
    rows = {checked_key: model.read(checked_key)}
    for event in between:
        model.apply(event)
    rows[written_key] = model.read(written_key)
    verdict = table.judge_rows(model.transaction, rows)
    effects = model.effects
    for event in after:
        model.apply(event)
    assert model.effects <= 1
    if verdict is table.Verdict.REFUTED:
        assert model.effects == 0
    if verdict is table.Verdict.COMMITTED and not deletes_row:
        assert effects == 1
    if verdict is table.Verdict.COMMITTED and deletes_row:
        # The row was absent when it was read, and later copies have no effect.
        assert model.effects == effects
