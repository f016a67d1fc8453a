"""Hands a gate over to another entry process."""

import datetime
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from returns import result

from dewstep_core import clocks, data, errors, events, settings
from dewstep_entry import interfaces
from dewstep_entry.gate import (
    at_most_once,
    gates,
    lifecycle,
    rows,
    succession,
    takeover,
)

# Pause before a transaction that did not reach the table service is repeated.
HANDOVER_RETRY_PAUSE = datetime.timedelta(milliseconds=200)

# Written to the gate row if no other process can take over; the row then names none.
NO_SUCCESSOR = data.Member("", "", "", "", 0)


class Handover(NamedTuple):
    """Message to the successor, sent after the gate row names it."""

    record: rows.GateRecord
    memory: at_most_once.HandoverMemory


SendHandover = Callable[[str, Handover], Awaitable[None]]
"""Sends a message to an entry process; logs errors itself."""


async def hand_over(
    gate: gates.Gate,
    writer: takeover.GateRowWriter,
    find_successor: Callable[[data.Target], data.Member | None],
    send: SendHandover,
    clock: clocks.Clock,
) -> result.Result[rows.GateRecord, interfaces.Failure]:
    """Finish the requests of a gate and write its successor to the gate row.

    Repeats the transaction while the table service is unreachable, because a successor
    for an unfenced target would otherwise wait until the horizon has passed. The caller
    limits the time by cancelling this coroutine.
    """
    release = await gate.release()
    horizon = gate.service.outage_horizon
    if not release.earlier_gates_ended:
        horizon = max(horizon, gate.record.horizon)
    while True:
        successor = find_successor(gate.target) or NO_SUCCESSOR
        written = await writer.write(
            gate.target.name,
            gate.record,
            successor,
            horizon,
            release.earlier_gates_ended,
        )
        if isinstance(written, result.Success):
            break
        if isinstance(written.failure(), errors.Conflict):
            return written
        await clock.sleep(HANDOVER_RETRY_PAUSE)
    record = written.unwrap().record
    events.info(
        "gate_released",
        target=gate.target.name,
        successor=successor.entry,
        term=record.row.term,
        clean=release.earlier_gates_ended,
    )
    if successor.entry:
        await send(successor.entry, Handover(record, release.memory))
    return result.Success(record)


def make_initial_state(
    message: Handover, now: datetime.timedelta, grant_settings: settings.GrantSettings
) -> lifecycle.Start:
    """Return the initial state of the successor.

    The message may have been delayed while this process was paused and replaced, so it
    does not count as contact with the table: the gate reads its row before it acts.
    """
    wait = succession.compute_named_wait(message.record, now, grant_settings)
    return lifecycle.Start(now - message.record.horizon, wait.until, message.memory)
