"""The command `declare-dead`, by which an operator declares a target dead.

Without a declaration, the keys of a lost target are moved only after the horizon of its
gate, the time for which a gate may act without contact with the table service. If the
target or its old gate still runs, a declaration can cause requests to run on two
targets. The command therefore shows what is known about both, and the operator has to
confirm the name of the target. The row states the term of the gate for which it was
written, and the transaction checks the gate row, so that a declaration never applies to
a later gate.
"""

from collections.abc import Mapping
from typing import NamedTuple

from returns import result

from dewstep_core import data
from dewstep_operator import (
    entries,
    failures,
    fleet,
    output,
    rows,
    sessions,
)

GATE_STATE_FIELDS = (
    "lost",
    "running",
    "waiting",
    "may_send",
    "waiting_for_earlier_gates",
    "horizon_left_s",
    "expired_in_s",
)
"""Fields of a gate in the state dump that are relevant for the decision."""


class Evidence(NamedTuple):
    """What is known about a target and its gate."""

    target: data.Target
    gate: rows.GateEntry | None
    entry: entries.Entry | None
    state: Mapping | None
    """State of the target in the dump of its gate, or None if there is no answer."""
    owned: rows.Owned


async def collect_evidence(
    session: sessions.Session, name: str
) -> result.Result[Evidence, failures.Failure]:
    """Collect the evidence on a target from the table and the entry processes."""
    read = await fleet.read_fleet(session)
    if isinstance(read, result.Failure):
        return read
    fleet_state = read.unwrap()
    target = fleet_state.configuration.targets.get(name)
    if target is None:
        return result.Failure(failures.NameUnknown("target", name))
    gate = fleet_state.gates.get(name)
    entry = state = None
    if gate is not None:
        entry = (await fleet.find_known_entries(session, fleet_state.gates)).get(
            gate.row.entry
        )
        read_state = await fleet.read_gate_state(session, fleet_state.gates, name)
        state = read_state.value_or(None)
    owned = rows.count_owned(fleet_state.assignments.get(target.service), name)
    return result.Success(Evidence(target, gate, entry, state, owned))


def describe_evidence(evidence: Evidence) -> tuple[str, ...]:
    """Return the evidence and the consequence of a declaration, one sentence a line."""
    target, gate, entry = evidence.target, evidence.gate, evidence.entry
    lines = [
        f"target {target.name} of service {target.service} in {target.data_centre} "
        f"owns {evidence.owned.shards} shards and {evidence.owned.keys} single keys"
    ]
    if gate is None:
        lines.append("it has no gate")
    else:
        liveness_texts = {
            True: "receive its heartbeats",
            False: "do not receive its heartbeats",
            None: "were not asked",
        }
        liveness = liveness_texts[entry.alive if entry else None]
        lines.append(
            f"its gate is {gate.row.entry} at term {gate.row.term}; "
            f"its peers {liveness}"
        )
        if evidence.state is None:
            lines.append("the gate does not answer, so the target's state is not known")
        else:
            shown = ", ".join(
                f"{name}={evidence.state[name]}"
                for name in GATE_STATE_FIELDS
                if name in evidence.state
            )
            lines.append(f"the gate reports for the target: {shown}")
    lines.append(
        "consequence: its keys go to other targets without waiting for the horizon; "
        "if the target or its gate still runs, a request may run twice and a key may "
        "have two owners"
    )
    return tuple(lines)


async def declare_dead(
    session: sessions.Session, name: str, entered_name: str | None
) -> result.Result[output.Report, failures.Failure]:
    """Write the declaration after the operator has confirmed it.

    Parameters
    ----------
    session : Session
        Session of the command.
    name : str
        Name of the target.
    entered_name : str or None
        Name of the target as entered for confirmation; None prompts the operator.
    """
    collected = await collect_evidence(session, name)
    if isinstance(collected, result.Failure):
        return collected
    evidence = collected.unwrap()
    for line in describe_evidence(evidence):
        session.output.show_progress(line)
    if entered_name is None:
        entered_name = session.ask("type the name of the target to declare it dead")
    if entered_name != name:
        return result.Failure(failures.NotConfirmed(name, entered_name))
    return await write_declaration(session, evidence)


async def write_declaration(
    session: sessions.Session, evidence: Evidence
) -> result.Result[output.Report, failures.Failure]:
    """Write the row `declared-dead/<target>`, replacing an older declaration."""
    name, gate = evidence.target.name, evidence.gate
    key = rows.DECLARED_DEAD_PREFIX + name
    read = rows.convert_lost_read(await session.table.read(key))
    if isinstance(read, result.Failure):
        return read
    term, gate_version = (gate.row.term, gate.row.version) if gate else (0, 0)
    value = {
        "operator": session.author,
        "time": session.clock.now().isoformat(timespec="seconds"),
        "term": term,
        "entry": gate.row.entry if gate else "",
        "incarnation": gate.row.incarnation if gate else "",
    }
    transaction = data.Transaction(
        session.make_operation_id(),
        (
            data.Check(key, read.unwrap().version),
            data.Check(rows.GATE_PREFIX + name, gate_version),
        ),
        (data.Write(key, value),),
    )
    outcome = await session.table.commit(transaction)
    return outcome.map(
        lambda _: output.Report(
            {"target": name, **value},
            (f"target {name} is declared dead for term {term} of its gate",),
        )
    )
