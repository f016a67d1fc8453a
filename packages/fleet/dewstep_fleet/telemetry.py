"""Counters, latency histograms and the state dump of an instance."""

from typing import Any

import prometheus_client
from returns import result

from dewstep_core import clocks, data, events
from dewstep_fleet import crash_counts, directories, dispatch, model
from dewstep_fleet.admission import return_order
from dewstep_fleet.evacuation import progress

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST
UNKNOWN = -1.0
"""Value of a gauge that is not known yet."""
LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0)
"""Finest around the usual target latencies, which lie between 0.4 and 1.5 s."""


class Telemetry:
    """Metrics of an instance and its requests."""

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self.answers = prometheus_client.Counter(
            "dewstep_answers",
            "Answers to callers.",
            ("status", "failure"),
            registry=self.registry,
        )
        self.refusals = prometheus_client.Counter(
            "dewstep_refusals",
            "Requests refused before routing, by the port that they arrived at.",
            ("port", "status", "failure"),
            registry=self.registry,
        )
        self.answer_seconds = prometheus_client.Histogram(
            "dewstep_answer_seconds",
            "Time from the head of a request to its answer.",
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self.gauges = prometheus_client.Gauge(
            "dewstep_state",
            "State of this instance.",
            ("name",),
            registry=self.registry,
        )
        self.events = prometheus_client.Gauge(
            "dewstep_events", "Log events so far.", ("event",), registry=self.registry
        )

    def count_refusal(self, port: str, status: int, failure: str) -> None:
        """Count a request that was refused before routing.

        Those of callers are answers, too; the others are answers between instances.
        """
        self.refusals.labels(port, str(status), failure).inc()
        if port == "callers":
            self.answers.labels(str(status), failure).inc()

    def render(self, process) -> bytes:
        """Return all metrics as text."""
        for name, value in describe_numbers(process).items():
            self.gauges.labels(name).set(value)
        for name, count in events.event_log.counts.items():
            self.events.labels(name).set(count)
        return prometheus_client.generate_latest(self.registry)


class AnswerMeter:
    """Request handler that counts the answers of another one.

    Parameters
    ----------
    handler : dispatch.Dispatcher
    clock : clocks.Clock
    telemetry : Telemetry
    """

    def __init__(
        self, handler: dispatch.Dispatcher, clock: clocks.Clock, telemetry: Telemetry
    ):
        self.handler = handler
        self.clock = clock
        self.telemetry = telemetry

    async def handle(
        self, request: model.IncomingRequest
    ) -> result.Result[data.Answer, Any]:
        """Return the answer to a request, and count it."""
        outcome = await self.handler.handle(request)
        answer = outcome.unwrap()
        elapsed = (self.clock.monotonic() - request.arrived_at).total_seconds()
        self.telemetry.answers.labels(str(answer.status), answer.failure).inc()
        self.telemetry.answer_seconds.observe(elapsed)
        return outcome


def describe_numbers(process) -> dict[str, float]:
    """Return the numeric state of an instance."""
    participant = process.participant
    now = process.clock.monotonic()
    age = participant.configuration_checks.get_age()
    return {
        "coordinating": float(participant.coordinating),
        "term": participant.term,
        "live_instances": participant.live_instances,
        "requests_in_progress": process.dispatcher.in_progress,
        "caller_connections": len(process.listener.connections),
        "target_connections": sum(
            len(pool.open_connections)
            for pool in process.dispatcher.pools.by_target.values()
        ),
        "new_connections_reset_unused": process.dispatcher.pools.count_resets("unused"),
        "new_connections_reset_used": process.dispatcher.pools.count_resets("used"),
        "targets": len(process.directory.targets),
        "leaving_owners": count_leaving_owners(process.directory),
        "evacuated_data_centres": len(process.directory.evacuations.current),
        "evacuated_ranges": sum(progress.count_ranges(process.directory).values()),
        "ranges": sum(
            len(item.holdings) for item in process.directory.ownerships.values()
        ),
        "cut_off": float(process.dispatcher.is_cut_off()),
        "requests_passed_on": sum(process.dispatcher.relay.in_progress.values()),
        "requests_of_others": process.relay_receiver.in_progress,
        "targets_with_limit": len(participant.limits.list_rates()),
        "configuration_age_seconds": UNKNOWN if age is None else age.total_seconds(),
        "coordinator_delay_seconds": participant.membership.delay.total_seconds(),
        **count_bytes(process),
        "unsent_link_bytes": participant.member_links.count_unsent_bytes(),
        "suspected_requests": participant.crash_counts.count_suspects(1, now),
        "quarantined_requests": participant.crash_counts.count_suspects(
            crash_counts.MAX_LOSSES_BEFORE_QUARANTINE, now
        ),
        **{
            f"refused_{kind.value}_callers": process.dispatcher.search.refused_by_kind[
                kind.value
            ]
            for kind in return_order.Kind
        },
        "trial_requests": process.dispatcher.loads.trial_count,
        "permits_used": participant.limits.counts["permits_used"],
        "permits_refused": participant.limits.counts["permits_refused"],
        "cold_targets": len(participant.limits.warm_up.list_cold()),
        "cold_permits_used": participant.limits.counts["cold_permits_used"],
        "cold_permits_refused": participant.limits.counts["cold_permits_refused"],
    }


def count_bytes(process) -> dict[str, int]:
    """Return the bytes sent and received so far, by purpose.

    Those of links include the length before each frame.
    """
    sent = process.participant.member_links.sent_bytes
    pools, relay = process.dispatcher.pools, process.dispatcher.relay
    named = sent["beat"], sent["report"], sent["rows"]
    return {
        "heartbeat_bytes_sent": named[0],
        "report_bytes_sent": named[1],
        "news_bytes_sent": named[2],
        "other_link_bytes_sent": sent.total() - sum(named),
        "passed_on_bytes_sent": relay.traffic.sent,
        "passed_on_bytes_received": relay.traffic.received,
        "target_bytes_sent_near": pools.near.sent,
        "target_bytes_sent_far": pools.far.sent,
        "target_bytes_received_near": pools.near.received,
        "target_bytes_received_far": pools.far.received,
    }


def count_leaving_owners(directory: directories.Directory) -> int:
    """Return the number of leaving or unregistered targets that still own keys."""
    owners = {
        holding.target
        for ownership in directory.ownerships.values()
        for holding in ownership.holdings
        if holding.target
    }
    registered = {
        target.name for target in directory.targets.values() if not target.leaving
    }
    return len(owners - registered)


def describe_state(process) -> dict[str, Any]:
    """Return the state dump of an instance for operators."""
    directory = process.directory
    now = process.clock.monotonic().total_seconds()
    targets = {}
    for name, target in directory.targets.items():
        estimate = process.loads.estimate(target.service, name, now)
        registered = target._asdict()
        # "cold" has the time left.
        del registered["warm_up_left"]
        targets[name] = {**registered, **estimate._asdict()}
    routes = directory.routes
    return {
        "schema": 1,
        "node": process.instance.member._asdict(),
        "numbers": describe_numbers(process),
        "coordinator": directory.leadership._asdict(),
        "configuration": routes.version if routes is not None else None,
        "members": [item._asdict() for item in directory.members.values()],
        "targets": targets,
        "owners": {
            service: [item._asdict() for item in ownership.holdings]
            for service, ownership in directory.ownerships.items()
        },
        "moving": directory.moving,
        "evacuations": progress.describe(directory),
        "regions": directory.regions.describe(routes),
        "limits": process.participant.limits.list_rates(),
        "cold": process.participant.limits.warm_up.describe(),
    }
