"""Sends a request to one target and evaluates the outcome."""

import asyncio
import datetime
import functools
from typing import Any, NamedTuple

import h11
from returns import result

from dewstep_core import clocks, data, errors, events
from dewstep_entry import bodies, header_rules
from dewstep_entry.targets import answering
from dewstep_fleet import (
    coordination,
    crash_checks,
    directories,
    limit_states,
    load_counts,
    model,
    planned_stops,
    reachability,
    relaying,
    request_plans,
    selection,
    target_pools,
    target_search,
)
from dewstep_fleet.regions import places

DEADLINE_MARGIN = datetime.timedelta(milliseconds=10)
"""Subtracted from a target's deadline, for the answer's way back to the caller."""
UNREACHABLE_PERIOD = datetime.timedelta(milliseconds=1000)
"""Time for which an unreachable target is avoided."""
REPLACED_PERIOD = datetime.timedelta(seconds=5)
"""Time for which a target is avoided whose address now belongs to another target; its
registration expires soon."""
UNSENT_FAILURES = (
    errors.TargetUnavailable
    | errors.TargetPaused
    | errors.TargetLeaving
    | errors.TargetLimited
    | errors.DeadlineUnreachable
    | errors.QueueFull
    | errors.RegionUnavailable
    | errors.Stopping
)
"""Failures of requests that were not sent."""
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses from which callers conclude that a request has not run."""


class Outcome(NamedTuple):
    """Result of one attempt."""

    answer: data.Answer | None
    failure: Any
    """None on success."""
    target: str
    """"" if there was no attempt."""


class Attempts:
    """Makes attempts and records what they show of the targets.

    Parameters
    ----------
    directory : directories.Directory
    loads : load_counts.Loads
    participant : coordination.FleetParticipant
    search : target_search.TargetSearch
    pools : target_pools.TargetPools
    stop : planned_stops.PlannedStop
    reach : reachability.Reachability
    crashes : crash_checks.CrashChecks
    header_names : model.HeaderNames
    answer_rules : answering.AnswerRules
    clock : clocks.Clock
    """

    def __init__(
        self,
        directory: directories.Directory,
        loads: load_counts.Loads,
        participant: coordination.FleetParticipant,
        search: target_search.TargetSearch,
        pools: target_pools.TargetPools,
        stop: planned_stops.PlannedStop,
        reach: reachability.Reachability,
        crashes: crash_checks.CrashChecks,
        header_names: model.HeaderNames,
        answer_rules: answering.AnswerRules,
        clock: clocks.Clock,
    ):
        self.directory = directory
        self.loads = loads
        self.participant = participant
        self.search = search
        self.pools = pools
        self.stop = stop
        self.reachability = reach
        self.crashes = crashes
        self.header_names = header_names
        self.answer_rules = answer_rules
        self.clock = clock

    async def make(
        self,
        plan: request_plans.PlannedRequest,
        choice: selection.Choice,
        permit: limit_states.Permit | None = None,
    ) -> Outcome:
        """Send the request to one target and return the outcome."""
        target = choice.target
        pool = self.pools.get(plan.service, target)
        self.pools.expect_load(plan.service, target, choice.estimate.running)
        began = self.clock.monotonic()
        measured = True
        success = False
        answered: bool | None = None
        self.loads.begin_request(target.name)
        self.reachability.begin_request(target.name)
        try:
            head = self.build_head(plan, target, began)
            request_id = header_rules.encode_value(plan.request.request_id)
            send_result = await pool.send(
                head,
                self.stop.guard_body(plan),
                plan.due_at,
                request_id,
                functools.partial(self.find_send_refusal, plan, choice, permit),
            )
            success = (
                isinstance(send_result, result.Success)
                and send_result.unwrap().status < 500
            )
            answered = has_answered(send_result)
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            send_result = result.Failure(errors.MalformedRequest(str(error)))
            success = True
        except asyncio.CancelledError:
            # The caller disconnected, which is no failure of the target.
            success = True
            measured = False
            raise
        finally:
            now = self.clock.monotonic()
            self.reachability.end_request(target.name, now, answered)
            elapsed = (now - began).total_seconds()
            self.loads.end_request(
                plan.service.name,
                target.name,
                now.total_seconds(),
                elapsed,
                success,
                measured,
                plan.route.name,
            )
        return self.evaluate(plan, choice, send_result, began, elapsed)

    def find_send_refusal(
        self,
        plan: request_plans.PlannedRequest,
        choice: selection.Choice,
        permit: limit_states.Permit | None,
    ) -> (
        errors.DeadlineUnreachable
        | errors.RegionUnavailable
        | errors.Stopping
        | errors.TargetLeaving
        | errors.TargetLimited
        | None
    ):
        """Return the failure of a request that waited for a connection, or None.

        A stop, the departure of the target or an evacuation may have begun, the limit
        become known, the regions changed, or the time for an answer ended, since it was
        admitted.
        """
        time_left = plan.due_at - self.clock.monotonic()
        if time_left <= DEADLINE_MARGIN:
            # Sent now, it could only end as overdue, which leaves its outcome open.
            return errors.DeadlineUnreachable(choice.target.name, datetime.timedelta())
        stopping = self.stop.find_refusal(plan, choice)
        if stopping is not None:
            return stopping
        if self.search.has_departed(choice.target) or (
            plan.key is None
            and self.directory.evacuations.is_evacuated(choice.target.data_centre)
        ):
            return errors.TargetLeaving(choice.target.name)
        outside = self.directory.regions.refuse_target(
            plan.request, plan.route, choice.target
        )
        if outside is not None:
            return outside
        return self.participant.limits.confirm(choice.target, permit)

    def evaluate(
        self,
        plan: request_plans.PlannedRequest,
        choice: selection.Choice,
        send_result,
        sent_at: datetime.timedelta,
        elapsed: float,
    ) -> Outcome:
        """Return the outcome of an attempt, and log it with the state used for it."""
        target, running = choice.target, choice.estimate.running
        self.directory.regions.log_attempt(plan.request, plan.route, target)
        if isinstance(send_result, result.Success):
            answer = send_result.unwrap()
            if answer.status < 500 and answer.status not in NOT_RUN_STATUSES:
                if self.answer_rules.limit not in dict(answer.headers):
                    self.participant.limits.record_unnamed(target, sent_at)
                answer = self.observe_completion(plan, answer)
                events.info(
                    "answered",
                    request_id=plan.request.request_id,
                    status=answer.status,
                    service=plan.service.name,
                    target=target.name,
                    key=plan.key,
                    elapsed_ms=round(elapsed * 1000),
                    running=running,
                    owners=self.search.get_owner_version(plan),
                    leaving_for=self.directory.get_time_since_departure(target),
                    evacuated_for=self.directory.get_time_since_evacuation(target),
                )
                return Outcome(answer, None, target.name)
            failure = errors.AnswerInvalid(target.name, f"status {answer.status}")
            # Without the header that says that it did not run, the request may have
            # run. A status from which callers conclude otherwise must not be passed on.
            claims_not_run = answer.status in NOT_RUN_STATUSES
            answer_kept: data.Answer | None = None if claims_not_run else answer
        else:
            failure = send_result.failure()
            answer_kept = None
        events.info(
            "attempt_failed",
            request_id=plan.request.request_id,
            service=plan.service.name,
            target=target.name,
            key=plan.key,
            elapsed_ms=round(elapsed * 1000),
            running=running,
            owners=self.search.get_owner_version(plan),
            leaving_for=self.directory.get_time_since_departure(target),
            evacuated_for=self.directory.get_time_since_evacuation(target),
            failure=failure,
        )
        replaced = (
            isinstance(failure, errors.TargetRefused)
            and failure.reason == answering.REPLACED
        )
        registered = self.directory.targets.get(target.name)
        restarted = registered is not None and registered.life != target.life
        unavailable = replaced or isinstance(failure, errors.TargetUnavailable)
        if unavailable and not restarted:
            until = self.clock.monotonic() + (
                REPLACED_PERIOD if replaced else UNREACHABLE_PERIOD
            )
            self.loads.avoid_until(target.name, until.total_seconds())
        if isinstance(failure, errors.ConnectionLost):
            self.crashes.check(plan, target, sent_at)
        return Outcome(answer_kept, failure, target.name)

    def observe_completion(
        self, plan: request_plans.PlannedRequest, answer: data.Answer
    ) -> data.Answer:
        """Clear a request of suspicions once its answer is complete."""
        rest = answer.body.rest
        if rest is None:
            self.participant.record_completion(plan.fingerprint)
            return answer
        observed = bodies.observe_end(
            rest, lambda: self.participant.record_completion(plan.fingerprint)
        )
        return answer._replace(body=answer.body._replace(rest=observed))

    def build_head(
        self,
        plan: request_plans.PlannedRequest,
        target: model.Target | None,
        now: datetime.timedelta,
    ) -> h11.Request:
        """Return the request head to send to the target, or to another instance."""
        request, header_names = plan.request, self.header_names
        dropped = header_rules.HOP_BY_HOP_HEADERS | {
            header_names.deadline,
            header_names.target,
            relaying.ATTEMPTS_HEADER,
            places.REGIONS_HEADER,
        }
        headers = list(header_rules.drop_headers(request.headers, dropped))
        if request.body_length is None:
            if request.body.rest is None:
                length = len(request.body.start)
                headers.append((b"content-length", b"%d" % length))
            else:
                headers.append((b"transfer-encoding", b"chunked"))
        elif request.body_length or request.method not in ("GET", "HEAD"):
            headers.append((b"content-length", b"%d" % request.body_length))
        time_left = (plan.due_at - now - DEADLINE_MARGIN) / datetime.timedelta(
            milliseconds=1
        )
        headers.append((header_names.deadline, b"%d" % max(1, time_left)))
        if target is not None:
            name = header_rules.encode_value(target.name)
            headers.append((header_names.target, name))
        return h11.Request(
            method=request.method.encode("latin-1"),
            target=request.path.encode("latin-1"),
            headers=headers,
        )


def has_answered(send_result: result.Result[data.Answer, Any]) -> bool | None:
    """Whether the target answered a request; None if it was not asked to."""
    if isinstance(send_result, result.Success):
        return True
    failure = send_result.failure()
    if isinstance(failure, errors.TargetRefused | errors.AnswerInvalid):
        return True
    if isinstance(failure, errors.TargetUnavailable):
        return False
    if isinstance(failure, UNSENT_FAILURES):
        return None
    return False
