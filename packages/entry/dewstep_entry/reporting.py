"""Collects the counters, gauges and state dump of an entry process."""

from collections.abc import Iterator
from typing import Any

from dewstep_core import events
from dewstep_entry import dump, metrics

ADMISSION_COUNTS = ("admitted", "refused", "evicted", "expired")
OVERDUE_INTERVALS = 2
"""Heartbeat intervals without a message after which a heartbeat counts as missed."""


def read_totals(process: Any) -> dict[str, float]:
    """Return all sums since the start of the process, by name."""
    totals: dict[str, float] = dict(process.metrics.counts)
    for name, count in events.event_log.counts.items():
        totals[f"events.{name}"] = count
    broken = process.gates.checks.list_broken()
    for name, count in process.gates.checks.counts.items():
        totals[f"{'invariants' if name in broken else 'gates'}.{name}"] = count
    totals["retries.routing"] = process.router.tries_again
    budgets = process.retry_budgets.describe().values()
    totals["retries.sent"] = sum(budget.retries for budget in budgets)
    totals["retries.refused"] = sum(budget.refused for budget in budgets)
    totals["moves.balancer"] = process.balancer.completed_moves
    for target, queue in process.observer.admissions.items():
        state, prefix = queue.describe(), f"targets.{metrics.escape_name(target)}"
        for name in ADMISSION_COUNTS:
            totals[f"{prefix}.{name}"] = getattr(state, name)
    return totals


def read_gauges(process: Any) -> dict[str, float]:
    """Return the gauges, by name."""
    current = process.holder.current
    alive = sum(state.alive for state in current.members.values())
    now = process.clock.monotonic()
    age = dump.get_age_seconds(current.table_contact, now)
    gauges = {
        "callers": len(process.listener.connections),
        "requests.in_progress": process.router.in_progress,
        "requests.waiting": process.router.waiting,
        "gates": len(process.gates.gates),
        "gates.lost": sum(gate.lost for gate in process.gates.gates.values()),
        "members.alive": alive,
        "members.suspected": len(current.members) - alive,
        "heartbeats.missed": count_overdue_peers(process, now),
        "revision": current.configuration.revision if current.configuration else 0,
    }
    if age is not None:
        gauges["table.contact_age_s"] = age
    for name in process.gates.gates:
        gauges.update(read_target_gauges(process, name, now))
    return gauges


def count_overdue_peers(process: Any, now: Any) -> int:
    """Return the number of monitored processes whose heartbeat is overdue."""
    limit = OVERDUE_INTERVALS * process.process_settings.peers.heartbeat_interval
    peers = process.members.peers
    return sum(
        now - peers[entry].last_heard > limit
        for entry in process.members.find_monitored()
    )


def read_target_gauges(process: Any, name: str, now: Any) -> dict[str, float]:
    """Return the gauges of one target whose gate is in this process."""
    observer, gate = process.observer, process.gates.gates[name]
    gauges = {
        "running": len(gate.runs.runs),
        "waiting": len(gate.queue.waiting),
        "hot_keys": len(gate.ownership.list_owned().keys),
        "put_aside": get_outlier_step(process, gate),
    }
    if name in observer.admissions:
        state = observer.admissions[name].describe()
        gauges.update(limit=state.limit, slots=state.slots)
    if name in observer.loads:
        hottest = observer.loads[name].keys.summarize(now, limit=1).keys
        gauges["hottest_key_load"] = hottest[0].rate if hottest else 0.0
    prefix = f"targets.{metrics.escape_name(name)}"
    return {f"{prefix}.{gauge}": value for gauge, value in gauges.items()}


def get_outlier_step(process: Any, gate: Any) -> int:
    """Return the number of steps by which a target is avoided as an outlier."""
    detector = process.observer.outliers.get(gate.service.name)
    watched_target = (
        detector.targets.get(gate.target.name) if detector is not None else None
    )
    return watched_target.step if watched_target is not None else 0


def describe_process(process: Any) -> dump.Dump:
    """Return the state dump of a process."""
    now = process.clock.monotonic()
    gates = {
        name: describe_gate(process, gate, now)
        for name, gate in sorted(process.gates.gates.items())
    }
    may_send = {name: gate["may_send"] for name, gate in gates.items()}
    unserved = dump.list_unserved(
        process.holder.current, process.own_member.entry, may_send
    )
    failure = process.reader.last_failure
    return dump.Dump(
        version=dump.DUMP_VERSION,
        ready=not unserved,
        unserved=unserved,
        stopping=process.stopping,
        uptime_s=(now - process.started).total_seconds(),
        table_failure="" if failure is None else repr(failure),
        callers=len(process.listener.connections),
        in_progress=process.router.in_progress,
        waiting=process.router.waiting,
        tries_again=process.router.tries_again,
        gates=gates,
        takeovers=sorted(process.gates.takeovers),
        emptying=sorted(process.gates.evacuation.tasks),
        peers=list(describe_peers(process, now)),
        counts=read_totals(process),
        broken_invariants=process.gates.checks.list_broken(),
        last_errors=describe_errors(),
        **dump.describe_view(process.holder.current, process.own_member, now),
    )


def describe_gate(process: Any, gate: Any, now: Any) -> dump.GateDump:
    """Return the state of a gate, with admission and outlier state of its target."""
    owned = gate.ownership.list_owned()
    described = {
        **gate.describe(),
        "owned_shards": sorted(owned.shards),
        "owned_keys": sorted(owned.keys),
        "put_aside_steps": get_outlier_step(process, gate),
        "admission": None,
    }
    queue = process.observer.admissions.get(gate.target.name)
    if queue is not None:
        state = queue.describe()
        counts = {name: getattr(state, name) for name in ADMISSION_COUNTS}
        hold_end = state.held_until
        described["admission"] = dump.AdmissionDump(
            slots=state.slots,
            limit=state.limit,
            in_progress=state.in_progress,
            waiting=state.waiting,
            service_time_s=state.service_time.total_seconds(),
            service_deviation_s=state.service_deviation.total_seconds(),
            held_for_s=None if hold_end is None else (hold_end - now).total_seconds(),
            **counts,
        )
    return described


def describe_peers(process: Any, now: Any) -> Iterator[dump.PeerDump]:
    """Yield the state of each peer."""
    monitored = process.members.find_monitored()
    linked = {link.member.entry for link in process.network.links.values()}
    for entry, peer in sorted(process.members.peers.items()):
        yield dump.PeerDump(
            entry=entry,
            last_heard_s=(now - peer.last_heard).total_seconds(),
            suspected_for_s=dump.get_age_seconds(peer.suspected, now),
            monitored=entry in monitored,
            linked=entry in linked,
        )


def describe_errors() -> list[dump.ErrorDump]:
    """Return the last logged warnings and errors, newest first."""
    return [
        dump.ErrorDump(age_s=age, line=line)
        for age, line in events.event_log.list_recent()
    ]
