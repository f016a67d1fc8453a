"""Sends admitted requests to a target: lock, claim, checks and attempts."""

import asyncio
import datetime
from typing import Protocol

from returns import result

from dewstep_core import clocks, data, errors, events
from dewstep_entry import interfaces
from dewstep_entry.gate import (
    crashes,
    deduplication,
    invariants,
    locks,
    observation,
    ownership,
    quarantine,
    renewal,
    runs,
    timing,
    unfenced,
)

# Maximum number of attempts of one request by this gate, and the pause before the
# second one, which doubles for each further attempt.
ATTEMPT_LIMIT = 3
FIRST_RETRY_PAUSE = datetime.timedelta(milliseconds=10)

# Longest wait for the rows of a crash before its requests are answered, so that a gate
# that gets a resend can read them.
CRASH_WRITE_TIMEOUT = datetime.timedelta(milliseconds=500)

# Longest time to check whether a target that broke a connection has ended.
CRASH_CONFIRM_TIMEOUT = datetime.timedelta(milliseconds=500)

# Reasons of a target's refusal: no grant is in force there for the request's term, or
# all its slots are in use.
REFUSED_AS_FENCED = "fenced"
REFUSED_AS_SHED = "shed"

# Time after an aborted exchange in which a refusal for lack of a slot is retried: the
# gate frees the slot before the target has detected that the connection was closed.
ABORT_SHED_WINDOW = datetime.timedelta(milliseconds=20)


class RetryBudget(Protocol):
    """Limit of the additional load by retries."""

    def add_first_attempt(self) -> None:
        """Count a request that is sent for the first time."""

    def take_token(self) -> bool:
        """Take a token for a retry; return whether there was one."""


def is_certainly_not_run(failure: interfaces.Failure) -> bool:
    """Return whether a failure implies that the request did not run."""
    rule = errors.answer_rules.get(type(failure).__name__)
    return rule is not None and rule.outcome != errors.UNKNOWN


class Sender:
    """Sends admitted requests to one target."""

    def __init__(
        self,
        target: data.Target,
        grant: unfenced.Permission,
        channel: interfaces.TargetChannel,
        clock: clocks.Clock,
        budget: RetryBudget,
        recorder: crashes.CrashRecorder,
        run_table: runs.RunTable,
        checks: invariants.Invariants,
        renewer: renewal.GrantRenewer,
        target_ownership: ownership.Ownership,
        observer: observation.Observer,
    ):
        self.target = target
        self.grant = grant
        self.channel = channel
        self.clock = clock
        self.budget = budget
        self.recorder = recorder
        self.runs = run_table
        self.checks = checks
        self.renewer = renewer
        self.target_ownership = target_ownership
        self.observer = observer
        self.target_lock = locks.SharedExclusiveLock(clock)
        self.last_abort: datetime.timedelta | None = None
        """Time of the last exchange that this gate ended before an answer arrived."""

    async def send(
        self, run: runs.Run, idempotent: bool, method: deduplication.Method
    ) -> result.Result[data.Answer, interfaces.Failure]:
        """Claim and send a request that holds a slot; the target lock stays held."""
        failure = await self.prepare(run)
        if failure is not None:
            return result.Failure(failure)
        claimed = await method.claim(run.request)
        if isinstance(claimed, result.Failure):
            return claimed
        self.budget.add_first_attempt()
        outcome = await self.attempt_repeatedly(run, idempotent)
        if isinstance(outcome, result.Failure) and not run.may_have_run:
            await method.abandon(claimed.unwrap(), run.request)
        return outcome

    async def attempt_repeatedly(
        self, run: runs.Run, idempotent: bool
    ) -> result.Result[data.Answer, interfaces.Failure]:
        """Send a request, with retries where that is safe and within the budget.

        Returns the failure of the first attempt that may have run, even if later
        attempts certainly did not run.
        """
        first_uncertain_failure = None
        pause = FIRST_RETRY_PAUSE
        for attempt in range(1, ATTEMPT_LIMIT + 1):
            outcome = await self.attempt(run)
            if isinstance(outcome, result.Success):
                return outcome
            failure = outcome.failure()
            if not is_certainly_not_run(failure):
                first_uncertain_failure = first_uncertain_failure or failure
            if attempt == ATTEMPT_LIMIT or not self.may_retry(
                run, failure, idempotent, pause
            ):
                break
            await self.clock.sleep(pause)
            pause *= 2
        return result.Failure(first_uncertain_failure or failure)

    def may_retry(
        self,
        run: runs.Run,
        failure: interfaces.Failure,
        idempotent: bool,
        pause: datetime.timedelta,
    ) -> bool:
        """Return whether a failed request may be retried; takes a token if so."""
        if isinstance(failure, errors.TargetRefused):
            shed = failure.reason == REFUSED_AS_SHED and self.has_recent_abort()
            retryable = failure.reason == REFUSED_AS_FENCED or shed
        else:
            retryable = isinstance(
                failure,
                errors.TargetUnavailable | errors.ConnectionLost | errors.AnswerInvalid,
            )
        safe = idempotent or is_certainly_not_run(failure)
        body_resendable = run.request.body.rest is None or not run.body_used
        in_time = self.clock.monotonic() + pause < run.request.deadline
        return (
            retryable
            and safe
            and body_resendable
            and in_time
            and self.budget.take_token()
        )

    def has_recent_abort(self) -> bool:
        """Return whether the target may still use a slot for an aborted exchange."""
        if self.last_abort is None:
            return False
        return self.clock.monotonic() - self.last_abort <= ABORT_SHED_WINDOW

    async def prepare(self, run: runs.Run) -> interfaces.Failure | None:
        """Wait for a grant and the target lock; return why not to send, or None."""
        await self.renewer.obtain_grant(run.request.deadline)
        return await self.acquire_target_lock(run) or self.explain_refusal(run)

    async def acquire_target_lock(self, run: runs.Run) -> interfaces.Failure | None:
        """Lock the target for a request, exclusively if it is a crash suspect."""
        while True:
            state = None
            if self.recorder.suspects:
                state = self.recorder.suspects.get_state(run.fingerprint)
            if state == quarantine.QUARANTINED:
                return errors.Quarantined(run.fingerprint)
            exclusive = state == quarantine.SUSPECT
            if run.exclusive is exclusive or (run.exclusive and not exclusive):
                return None
            self.release_target_lock(run)
            if not await self.target_lock.acquire(exclusive, run.request.deadline):
                return errors.DeadlineUnreachable(
                    self.target.name, datetime.timedelta()
                )
            run.exclusive = exclusive

    def release_target_lock(self, run: runs.Run) -> None:
        """Release the target lock if the run holds it."""
        if run.exclusive is not None:
            exclusive, run.exclusive = run.exclusive, None
            self.target_lock.release(exclusive)

    async def attempt(
        self, run: runs.Run
    ) -> result.Result[data.Answer, interfaces.Failure]:
        """Send the request once."""
        failure = await self.prepare(run)
        if failure is not None:
            return result.Failure(failure)
        # No await is allowed between the checks above and the exchange.
        stamp = self.grant.make_stamp(
            self.target_ownership.get_epoch(), run.request.deadline
        )
        may_have_run_before = run.may_have_run
        run.at_target = run.may_have_run = run.body_used = True
        run.crash_counted = False
        run.boot = stamp.boot
        started = self.clock.monotonic()
        request_place = (self.target, run.shard, run.request.key, run.has_override)
        try:
            outcome = await self.channel.exchange(run.request, stamp)
        except asyncio.CancelledError:
            elapsed = self.clock.monotonic() - started
            self.last_abort = self.clock.monotonic()
            self.observer.record_cancelled(*request_place, elapsed)
            raise
        finally:
            run.at_target = False
        elapsed = self.clock.monotonic() - started
        self.observer.record(*request_place, outcome, elapsed)
        if isinstance(outcome, result.Success):
            run.at_target = True
            self.note_reached(run, True)
            return outcome
        failure = outcome.failure()
        if isinstance(failure, errors.DeadlineExceeded):
            self.last_abort = self.clock.monotonic()
        if is_certainly_not_run(failure):
            run.may_have_run = may_have_run_before
        await self.receive_failure(run, failure)
        return outcome

    def explain_refusal(self, run: runs.Run) -> interfaces.Failure | None:
        """Return why nothing may be sent for this run now, or None."""
        now = self.clock.monotonic()
        authority = self.grant.gate_authority
        if authority.higher_term is not None:
            return errors.NotTheGate(self.target.name, authority.higher_term)
        moved = self.target_ownership.explain_unsendable(run.request.key, run.shard)
        if moved is not None:
            return moved
        if self.target_ownership.has_departed(now):
            return errors.TargetLeaving(self.target.name)
        if now >= run.request.deadline:
            return errors.DeadlineUnreachable(self.target.name, datetime.timedelta())
        if not self.grant.may_send(now):
            reason = "no unexpired grant"
            if not self.target.fenced:
                reason = "an earlier gate may still send, or the horizon is over"
            return errors.TargetUnavailable(self.target.name, reason)
        return self.checks.check(
            now < self.grant.compute_send_limit(),
            invariants.UNEXPIRED_GRANT,
            target=self.target.name,
            term=authority.term,
        )

    async def receive_failure(self, run: runs.Run, failure: interfaces.Failure) -> None:
        """Update the grant, the view of the target and the suspects after a failure."""
        reached = isinstance(failure, errors.TargetRefused | errors.AnswerInvalid)
        self.note_reached(run, reached)
        if (
            isinstance(failure, errors.TargetRefused)
            and failure.reason == REFUSED_AS_FENCED
        ):
            self.checks.counts["target-refused-fenced"] += 1
            if self.target.fenced:
                self.grant.receive_refusal(self.clock.monotonic())
            self.renewer.wake_loops()
        elif isinstance(failure, errors.TargetUnavailable):
            self.renewer.wake_loops()
        elif isinstance(failure, errors.ConnectionLost):
            await self.receive_crash(run)

    def note_reached(self, run: runs.Run, reached: bool) -> None:
        """Record for an unfenced target whether an exchange reached it."""
        if not self.target.fenced:
            self.grant.receive_outcome(
                reached, run.request.deadline, self.clock.monotonic()
            )

    async def receive_crash(self, run: runs.Run) -> None:
        """Count a crash of the target for all requests in progress there.

        Only the first broken connection is counted. The others result from the same
        crash.
        """
        if run.crash_counted:
            return
        affected = [
            run,
            *(other for other in self.runs.list_at_target() if other is not run),
        ]
        for other in affected:
            other.crash_counted = True
        self.renewer.wake_loops()
        events.warning(
            "target_broke_connections", target=self.target.name, requests=len(affected)
        )
        ended = await self.has_ended(run.boot)
        if ended is False:
            return
        # Several requests can have the same fingerprint; the crash counts once for it.
        fingerprints = list(dict.fromkeys(other.fingerprint for other in affected))
        alone = len(affected) == 1 and ended is True
        writing = asyncio.ensure_future(
            self.recorder.receive_crash(fingerprints, alone)
        )
        await timing.wait_at_most(
            self.clock, asyncio.shield(writing), CRASH_WRITE_TIMEOUT
        )

    async def has_ended(self, boot: str) -> bool | None:
        """Return whether the target process with id `boot` has ended; None if unknown.

        The network can reset connections while the target keeps running. An unfenced
        target has no boot id, so every broken connection counts as a crash.
        """
        if not self.target.fenced:
            return True
        limit = self.clock.monotonic() + CRASH_CONFIRM_TIMEOUT
        while self.clock.monotonic() < limit:
            done, outcome = await timing.wait_at_most(
                self.clock, self.channel.read_clock(), renewal.CALL_TIMEOUT
            )
            if done and isinstance(outcome, result.Success):
                return outcome.unwrap().boot != boot
            if done and renewal.is_refused_connection(outcome.failure()):
                return True
            await self.clock.sleep(FIRST_RETRY_PAUSE)
        return None

    def report_unserved(
        self, request: data.Request, shard: int, time_left: datetime.timedelta
    ) -> None:
        """Report a request that got no slot before its deadline."""
        single = self.target_ownership.has_override(request.key)
        self.observer.record_unserved(
            self.target, shard, request.key, single, time_left
        )

    async def receive_success(self, run: runs.Run) -> None:
        """Clear a suspect after a complete answer."""
        if self.recorder.suspects and run.fingerprint in self.recorder.suspects.entries:
            await self.recorder.receive_success(run.fingerprint)
