"""The state of the gates as plain values, for the state dump of the process."""

from typing import Any


def describe_gate(gate: Any) -> dict:
    """Return the state of one gate; times are relative to now, in seconds."""
    now = gate.clock.monotonic()
    authority = gate.grant.gate_authority
    return {
        "target": gate.target.name,
        "term": gate.term,
        "fenced": gate.fenced,
        "lost": gate.lost,
        "evacuating": gate.evacuating,
        "releasing": gate.releasing,
        "waiting_for_earlier_gates": gate.is_waiting(),
        "may_send": gate.renewer.can_accept_requests(),
        "horizon_left_s": (authority.horizon_end - now).total_seconds(),
        "expired_in_s": (gate.get_expired_at() - now).total_seconds(),
        "higher_term": authority.higher_term,
        "running": len(gate.runs.runs),
        "waiting": len(gate.queue.waiting),
        "ids_in_progress": len(gate.at_most_once_runner.in_progress),
        "ids_remembered": len(gate.at_most_once_runner.memory.entries),
        "bytes_remembered": gate.at_most_once_runner.memory.total_bytes,
        "suspects": len(gate.recorder.suspects.entries),
        "blocked_shards": sorted(gate.ownership.blocked_shards),
        "blocked_keys": sorted(gate.ownership.blocked_keys),
    }


def describe_gates(manager: Any) -> dict:
    """Return the state of all gates of a process."""
    return {
        "gates": {name: describe_gate(gate) for name, gate in manager.gates.items()},
        "takeovers": sorted(manager.takeovers),
        "emptying": sorted(manager.evacuation.tasks),
        "counts": dict(manager.checks.counts),
    }
