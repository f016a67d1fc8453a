"""Handing a target over to another entry process at a planned stop."""

import datetime
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from returns import result

from dewstep_core import clock as clocks, data, errors, events, settings as setting
from dewstep_entry import interfaces
from dewstep_entry.gate import (
    at_most_once,
    gate as gates,
    lifecycle,
    rows,
    succession,
    takeover,
)

RETRY_PAUSE = datetime.timedelta(milliseconds=200)

# A gate row with this member names no process: the target was released while no
# successor lived.
NO_MEMBER = data.Member("", "", "", "", 0)


class Handover(NamedTuple):
    """Message to the successor after the row names it."""

    record: rows.GateRecord
    memory: at_most_once.HandoverMemory


SendHandover = Callable[[str, Handover], Awaitable[None]]
"""Sends a message to an entry process; errors are the sender's to log."""


async def hand_over(
    gate: gates.Gate,
    writer: takeover.GateRowWriter,
    find_successor: Callable[[data.Target], data.Member | None],
    send: SendHandover,
    clock: clocks.Clock,
) -> result.Result[rows.GateRecord, interfaces.Failure]:
    """Finish the requests of a gate and name its successor in the row.

    Repeats the transaction while the table is out of reach, because a successor of
    an unfenced target would otherwise wait for the horizon. The caller cancels this
    when its time is over.
    """
    release = await gate.release()
    horizon = gate.service.outage_horizon
    if not release.clean:
        horizon = max(horizon, gate.record.horizon)
    while True:
        successor = find_successor(gate.target) or NO_MEMBER
        written = await writer.write(
            gate.target.name, gate.record, successor, horizon, release.clean
        )
        if isinstance(written, result.Success):
            break
        if isinstance(written.failure(), errors.Conflict):
            return written
        await clock.sleep(RETRY_PAUSE)
    record = written.unwrap().record
    events.info(
        "gate_released",
        target=gate.target.name,
        successor=successor.entry,
        term=record.row.term,
        clean=release.clean,
    )
    if successor.entry:
        await send(successor.entry, Handover(record, release.memory))
    return result.Success(record)


def make_start(
    message: Handover, now: datetime.timedelta, settings: setting.GrantSettings
) -> lifecycle.Start:
    """Return how the successor starts when the message arrives.

    The message may have been delayed while this process was paused and replaced, so
    it counts as no contact: the gate reads its row before it acts.
    """
    wait = succession.compute_named_wait(message.record, now, settings)
    return lifecycle.Start(now - message.record.horizon, wait.until, message.memory)
