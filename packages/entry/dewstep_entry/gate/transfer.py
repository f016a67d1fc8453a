"""Encodes and decodes the hand-over of a gate as a message between entry processes.

Monotonic times of one process have no meaning in another, so request ids are sent with
their ages. If the answers are too large for one frame, the oldest are omitted. Their
request ids are kept, so that such a request does not run again.
"""

import base64
import datetime
import json
from typing import Any

from returns import result

from dewstep_core import data, errors
from dewstep_entry.gate import answers, at_most_once, handover, rows
from dewstep_entry.peers import messages

HANDOVER = "handover"
MAXIMUM_ANSWER_BYTES = 2_000_000
"""Maximum bytes of stored answers in one message, below the size limit of a frame."""
SECOND = datetime.timedelta(seconds=1)


def encode_bytes(value: bytes) -> str:
    """Return bytes as JSON text."""
    return base64.b64encode(value).decode("ascii")


def encode_answer(answer: data.Answer) -> dict[str, Any]:
    """Return a stored answer as a JSON value."""
    return {
        "status": answer.status,
        "headers": [
            [encode_bytes(name), encode_bytes(value)] for name, value in answer.headers
        ],
        "body_length": answer.body_length,
        "body": encode_bytes(answer.body.start),
        "failure": answer.failure,
    }


def decode_answer(value: dict[str, Any] | None) -> data.Answer | None:
    """Return the answer in the result of `encode_answer`."""
    if value is None:
        return None
    headers = tuple(
        (base64.b64decode(name), base64.b64decode(content))
        for name, content in value["headers"]
    )
    body = data.Body(base64.b64decode(value["body"]), None)
    return data.Answer(
        value["status"], headers, value["body_length"], body, value["failure"]
    )


def encode_entries(
    entries: tuple[tuple[str, answers.Entry], ...], now: datetime.timedelta
) -> list[list[Any]]:
    """Return request ids, newest first, with answers up to the size limit."""
    remaining_bytes = MAXIMUM_ANSWER_BYTES
    encoded = []
    newest_first = sorted(entries, key=lambda item: item[1].finished, reverse=True)
    for request_id, entry in newest_first:
        answer = entry.answer
        # 500 bytes allow for the status and the headers.
        size = 0 if answer is None else len(answer.body.start) + 500
        kept = answer is not None and size <= remaining_bytes
        remaining_bytes -= size if kept else 0
        encoded.append(
            [
                request_id,
                entry.identity.kind,
                entry.identity.key,
                encode_bytes(entry.identity.body_digest),
                (now - entry.finished) / SECOND,
                encode_answer(answer) if kept else None,
            ]
        )
    return encoded


def encode_handover(
    message: handover.Handover, now: datetime.timedelta
) -> messages.Value:
    """Return a hand-over as a message."""
    record, memory = message
    payload = {
        "row": record.row._asdict(),
        "horizon_s": record.horizon / SECOND,
        "released": record.released,
        "operation_id": record.operation_id,
        "operator_address": record.operator_address,
        "entries": encode_entries(memory.entries, now),
        "floor": memory.floor.isoformat(),
        "shard_floors": [[s, time.isoformat()] for s, time in memory.shard_floors],
        "key_floors": [[key, time.isoformat()] for key, time in memory.key_floors],
    }
    encoded = json.dumps(payload, separators=(",", ":")).encode()
    return messages.Value(HANDOVER, record.row.target, record.row.term, encoded)


def decode_handover(
    message: Any, now: datetime.timedelta
) -> result.Result[handover.Handover, errors.RowInvalid] | None:
    """Return the hand-over in a message, or None if it is another message."""
    if not isinstance(message, messages.Value) or message.what != HANDOVER:
        return None
    try:
        return result.Success(read_handover(json.loads(message.payload), now))
    except (KeyError, TypeError, ValueError) as error:
        return result.Failure(errors.RowInvalid(message.name, repr(error)))


def read_handover(value: dict[str, Any], now: datetime.timedelta) -> handover.Handover:
    """Return the hand-over in a decoded payload.

    Raises
    ------
    KeyError, TypeError, ValueError
        If the payload does not have the expected form.
    """
    record = rows.GateRecord(
        data.GateRow(**value["row"]),
        value["horizon_s"] * SECOND,
        value["released"],
        value["operation_id"],
        value.get("operator_address", ""),
    )
    read_time = datetime.datetime.fromisoformat
    entries = tuple(
        (
            request_id,
            answers.Entry(
                answers.Identity(kind, key, base64.b64decode(digest)),
                decode_answer(answer),
                now - age * SECOND,
            ),
        )
        # The store evicts its first entry first, so the oldest must come first.
        for request_id, kind, key, digest, age, answer in reversed(value["entries"])
    )
    memory = at_most_once.HandoverMemory(
        entries,
        read_time(value["floor"]),
        tuple((shard, read_time(time)) for shard, time in value["shard_floors"]),
        tuple((key, read_time(time)) for key, time in value["key_floors"]),
    )
    return handover.Handover(record, memory)
