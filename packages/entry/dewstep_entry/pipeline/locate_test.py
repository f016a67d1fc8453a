from dewstep_core import data, errors
from dewstep_entry.pipeline import locate
from dewstep_entry.state import view

GATE = data.GateRow("t1", "e1", "i1", "127.0.0.1", 1, 3, 3)


def test_failure_names_the_missing_row():
    holder = view.ViewHolder()
    missing = locate.locate(holder.current, "history", "k").failure()
    assert isinstance(missing, errors.NotReady)
    holder.offer_assignment(data.Assignment("history", 7, ("t1",), {}, ()))
    missing = locate.locate(holder.current, "history", "k").failure()
    assert missing == errors.GateUnknown("t1")
    holder.offer_gate(GATE)
    found = locate.locate(holder.current, "history", "k").unwrap()
    assert found == locate.Location(0, "t1", 7, GATE)
