import datetime

import pytest
from returns import result

from dewstep_core import data
from dewstep_entry.gate import rows

HORIZON = datetime.timedelta(hours=4)
GATE = {"entry": "e1", "incarnation": "i", "host": "::1", "port": 7000, "term": 3}
ASSIGNMENT = {"owners": ["t1"], "overrides": {"7": "t1"}, "operations": ["op"]}
QUARANTINE = {"crashes": 1, "state": "open"}


def decode_gate(row):
    return rows.decode_gate(row, HORIZON)


@pytest.mark.parametrize(
    ("decode", "value", "change"),
    [
        (decode_gate, GATE, {"port": 99_999}),
        (decode_gate, GATE, {"port": float("inf")}),
        (decode_gate, GATE, {"term": 10**400}),
        (decode_gate, GATE, {"horizon_ms": 10**30}),
        (decode_gate, GATE, {"horizon_ms": -1}),
        (decode_gate, GATE, {"host": "a..b"}),
        (decode_gate, GATE, {"entry": "\ud800"}),
        (decode_gate, GATE, {"port": "x" * 5_000}),
        (rows.decode_assignment, ASSIGNMENT, {"owners": ["\ud800"]}),
        (rows.decode_assignment, ASSIGNMENT, {"overrides": {"\ud800": "t1"}}),
        (rows.decode_assignment, ASSIGNMENT, {"operations": "x" * 5_000 + "\ud800"}),
        (rows.decode_quarantine, QUARANTINE, {"crashes": float("inf")}),
        (rows.decode_quarantine, QUARANTINE, {"crashes": 10**400}),
        (rows.decode_quarantine, QUARANTINE, {"state": "x" * 5_000}),
    ],
)
def test_row_with_a_value_out_of_range_is_refused(decode, value, change):
    # Guards against an exception that ends the reading of all rows.
    valid = data.Row("gate/history/f", 5, value)
    assert isinstance(decode(valid), result.Success)
    outcome = decode(valid._replace(value={**value, **change}))
    assert len(str(outcome.failure())) < 300
