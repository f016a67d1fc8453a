import datetime

from dewstep_core import data
from dewstep_emulator import builders
from dewstep_entry.gate import answers, at_most_once, handover, rows, transfer
from dewstep_entry.peers import messages

NOW = datetime.timedelta(seconds=100)
LATER = datetime.timedelta(seconds=7000)
FLOOR_TIME = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
RECORD = rows.GateRecord(
    data.GateRow("t1", "e2", "i2", "127.0.0.1", 7002, 4, 4),
    datetime.timedelta(hours=4),
    True,
    "op",
)


def build_entry(body=b"x", age=10):
    answer = builders.build_answer()._replace(body=data.Body(body, None))
    identity = answers.Identity("book", "k", b"\x01\xff")
    return answers.Entry(identity, answer, NOW - datetime.timedelta(seconds=age))


def build_handover(*entries):
    memory = at_most_once.HandoverMemory(
        entries, FLOOR_TIME, ((3, FLOOR_TIME),), (("k", FLOOR_TIME),)
    )
    return handover.Handover(RECORD, memory)


def test_a_hand_over_keeps_the_row_request_ids_answers_and_floors():
    old, new = ("r1", build_entry(age=20)), ("r2", build_entry(age=5))
    value = transfer.encode_handover(build_handover(old, new), NOW)
    found = transfer.decode_handover(value, LATER).unwrap()
    assert found.record == RECORD
    assert found.memory.shard_floors == ((3, FLOOR_TIME),)
    # Ages are kept, since monotonic clocks of two processes are unrelated.
    shift = LATER - NOW
    expected = [(i, e._replace(finished=e.finished + shift)) for i, e in (old, new)]
    assert list(found.memory.entries) == expected


def test_request_ids_are_kept_if_their_answers_do_not_fit():
    # Without its id, a request could run again at the successor.
    size = transfer.MAXIMUM_ANSWER_BYTES // 2
    entries = [(f"r{n}", build_entry(b"x" * size, age=n)) for n in range(4)]
    value = transfer.encode_handover(build_handover(*entries), NOW)
    found = transfer.decode_handover(value, NOW).unwrap().memory.entries
    assert {request_id for request_id, _ in found} == {"r0", "r1", "r2", "r3"}
    kept = [request_id for request_id, entry in found if entry.answer is not None]
    assert kept == ["r0"]


def test_other_and_invalid_messages_are_not_decoded():
    assert transfer.decode_handover(messages.Fetch("gates", ""), NOW) is None
    damaged = messages.Value(transfer.HANDOVER, "t1", 4, b"{}")
    assert transfer.decode_handover(damaged, NOW).failure()
