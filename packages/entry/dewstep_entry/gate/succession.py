"""Selects the process that becomes the gate of a target, and how long it waits.

Its functions perform no I/O.
"""

import datetime
from collections.abc import Collection, Mapping
from typing import NamedTuple

from dewstep_core import data, hashing, settings as setting
from dewstep_entry.gate import grants, rows
from dewstep_entry.state import view

# Reasons for which a target has no working gate.
NO_ROW = "no-row"
GATE_SUSPECTED = "gate-suspected"
"""The process that the row names does not answer."""
GATE_REPLACED = "gate-replaced"
"""The row names another incarnation of the entry process than the current one."""
GATE_UNKNOWN = "gate-unknown"
"""The view has no member with the name in the row."""
ROW_NAMES_NO_PROCESS = "vacated"
"""The earlier gate was released and no process could take over."""
ROW_NAMES_THIS_PROCESS = "named-here"
"""The row names this process, which has no gate with this term."""

# Additional delay of each further candidate in rendezvous order, so that the
# transactions of several candidates rarely conflict.
CANDIDATE_DELAY = datetime.timedelta(milliseconds=400)

# A new process receives the heartbeats of the others within this time. Until then, an
# unknown entry process is not assumed to have ended.
UNKNOWN_GATE_DELAY = datetime.timedelta(seconds=2)

# Additional delay of processes in other data centres, since those of the target's own
# data centre may only be restarting.
OTHER_DATA_CENTRE_DELAY = datetime.timedelta(milliseconds=400)

# Time for which a process must have been alive before working gates are handed over to
# it, so that a process that keeps failing gets none.
MINIMUM_RETURN_UPTIME = datetime.timedelta(seconds=10)

# Longest wait of a process named by a hand-over for the request ids that are sent to
# it. After that it starts without them.
HANDOVER_MEMORY_WAIT = datetime.timedelta(milliseconds=300)


class Vacancy(NamedTuple):
    """A target whose gate row does not name a working gate."""

    reason: str
    delay: datetime.timedelta
    """Time for which the vacancy must have lasted before this process acts."""
    in_other_data_centre: bool = False
    """Whether this process is in another data centre than the target."""


class Wait(NamedTuple):
    """Time from which no earlier gate acts, unless a grant fences it earlier."""

    until: datetime.timedelta
    reason: str


def find_vacancy(
    row: data.GateRow | None,
    members: Mapping[str, view.MemberState],
    own_member: data.Member,
    held_term: int | None,
) -> str | None:
    """Return why a target has no working gate, or None.

    Parameters
    ----------
    held_term : int or None
        Term of this process's gate of the target, if it has one.
    """
    if row is None:
        return NO_ROW
    if row.entry == own_member.entry:
        if row.incarnation != own_member.incarnation:
            return GATE_REPLACED
        return (
            ROW_NAMES_THIS_PROCESS
            if held_term is None or held_term < row.term
            else None
        )
    if not row.entry:
        return ROW_NAMES_NO_PROCESS
    state = members.get(row.entry)
    if state is None:
        return GATE_UNKNOWN
    if state.member.incarnation != row.incarnation:
        return GATE_REPLACED
    return None if state.alive else GATE_SUSPECTED


def rank_candidates(
    target: data.Target,
    members: Mapping[str, view.MemberState],
    excluded: Collection[str],
) -> tuple[str, ...]:
    """Return the live entry processes that may become the gate, best first.

    Those of other data centres are included only if none is alive in the target's own,
    because a gate must keep serving when its data centre is cut off.
    """
    live = [
        state.member
        for state in members.values()
        if state.alive and not state.stopping and state.member.entry not in excluded
    ]
    in_target_data_centre = [
        member for member in live if member.data_centre == target.data_centre
    ]
    names = (member.entry for member in in_target_data_centre or live)
    return hashing.rank_by_rendezvous(target.name, names)


def choose_preferred_process(
    target: data.Target,
    members: Mapping[str, view.MemberState],
    own_member: data.Member,
    excluded: Collection[str],
    now: datetime.timedelta,
) -> data.Member | None:
    """Return the process to which a working gate should be handed over, or None.

    This is the first candidate, so that replaced processes get gates again and gates
    return to the data centre of their target.
    """
    order = rank_candidates(target, members, excluded)
    if not order or order[0] == own_member.entry:
        return None
    state = members[order[0]]
    return state.member if now - state.last_heard >= MINIMUM_RETURN_UPTIME else None


def choose_successor(
    target: data.Target,
    members: Mapping[str, view.MemberState],
    excluded: Collection[str],
) -> data.Member | None:
    """Return the process that gets a gate at a planned stop, or None."""
    order = rank_candidates(target, members, excluded)
    return members[order[0]].member if order else None


def decide_vacancy(
    target: data.Target,
    row: data.GateRow | None,
    members: Mapping[str, view.MemberState],
    own_member: data.Member,
    held_term: int | None,
    excluded: Collection[str],
) -> Vacancy | None:
    """Return the vacancy that this process should fill, or None.

    Parameters
    ----------
    excluded : collection of str
        Entry processes that are about to stop.
    """
    reason = find_vacancy(row, members, own_member, held_term)
    if reason is None:
        return None
    if reason == ROW_NAMES_THIS_PROCESS:
        return Vacancy(reason, HANDOVER_MEMORY_WAIT)
    order = rank_candidates(target, members, excluded)
    if own_member.entry not in order:
        return None
    delay = order.index(own_member.entry) * CANDIDATE_DELAY
    if reason == GATE_UNKNOWN:
        delay += UNKNOWN_GATE_DELAY
    in_other_data_centre = own_member.data_centre != target.data_centre
    if in_other_data_centre:
        delay += OTHER_DATA_CENTRE_DELAY
    return Vacancy(reason, delay, in_other_data_centre)


def compute_horizon_end(
    start: datetime.timedelta,
    horizon: datetime.timedelta,
    settings: setting.GrantSettings,
) -> datetime.timedelta:
    """Return the time from which a gate cut off from the table at `start` cannot act.

    The other gate's clock may run slower, and the last grant that it sent within its
    horizon stays in force for the lifetime of a grant.
    """
    return grants.compute_certain_expiry(
        start + horizon * (1 + settings.drift), settings
    )


def compute_wait(
    previous: rows.GateRecord | None,
    committed: datetime.timedelta,
    settings: setting.GrantSettings,
) -> Wait:
    """Return the wait after a transaction raised the term over `previous`.

    Parameters
    ----------
    committed : datetime.timedelta
        Local time at which the answer to the transaction had arrived.
    """
    if previous is None:
        return Wait(committed, "no earlier gate")
    if previous.released and not previous.row.entry:
        until = grants.compute_certain_expiry(committed, settings)
        return Wait(until, "the earlier gate released the target")
    until = compute_horizon_end(committed, previous.horizon, settings)
    return Wait(until, "an earlier gate may act until its horizon")


def compute_named_wait(
    record: rows.GateRecord,
    seen: datetime.timedelta,
    settings: setting.GrantSettings,
) -> Wait:
    """Return the wait of a process that is already named in the gate row.

    This happens after a hand-over or after a transaction whose answer was lost.
    """
    if record.released:
        until = grants.compute_certain_expiry(seen, settings)
        return Wait(until, "the earlier gate released the target")
    until = compute_horizon_end(seen, record.horizon, settings)
    return Wait(until, "an earlier gate may act until its horizon")


def compute_recorded_horizon(
    previous: rows.GateRecord | None, horizon: datetime.timedelta
) -> datetime.timedelta:
    """Return the horizon to write over `previous`.

    It covers all earlier gates, since one of them may have a longer horizon and may not
    have been fenced.
    """
    if previous is None or (previous.released and not previous.row.entry):
        return horizon
    return max(horizon, previous.horizon)
