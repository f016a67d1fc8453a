"""Limits of the requests per second that targets accept from all instances together.

A target names its limit in its answers. From then on, each request to it needs a
permit. An instance asks the coordinator for permits when its requests need them, so
that the permits go where the demand is. A permit must be used within `PERMIT_VALIDITY`
of the question, which makes permits void that a slow link delivers late.

An instance whose questions remain unanswered uses an equal part of each limit instead.
Permits of this part expire like the others, so that instances do not accumulate one
each for a burst.

A cold target has an implied limit (`dewstep_fleet.warm_up`), whose permits are valid
for a shorter time. If it names a limit, too, the lower one applies.

Of two observations of a target's limit, the later one counts. A limit ends with an
answer that names none, to a request that was sent when the limit was known.
"""

import asyncio
import collections
import datetime
import math
import random
from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

from returns import result

from dewstep_core import clocks, errors, events
from dewstep_fleet import frames, limit_states, model, permits
from dewstep_fleet.warm_up import allowances, cold_limits, tracking

PERMIT_VALIDITY = datetime.timedelta(seconds=1)
MAX_PERMIT_WAIT = datetime.timedelta(milliseconds=100)
"""Maximum wait of a request for the coordinator's answer, which takes a few ms between
data centres."""
QUESTION_INTERVAL_PER_INSTANCE = datetime.timedelta(milliseconds=2)
"""Increases the time between questions, which limits them to 500/s in all."""
MAX_QUESTION_INTERVAL = datetime.timedelta(milliseconds=300)
ISOLATION_TIME = datetime.timedelta(seconds=1)
"""Without an answer for this long, an instance uses its part of each limit. A lost
coordinator is usually replaced by then."""
REPORT_PERIOD = datetime.timedelta(seconds=2)
"""Time for which an instance reports an observation."""
ENDED_LIMIT_PERIOD = datetime.timedelta(seconds=10)
"""Time for which the end of a limit is remembered, so that no delayed message revives
it."""
REMOVED_TARGET_PERIOD = datetime.timedelta(seconds=30)
"""Time for which the limit of a target without a registration is remembered; a
registration may be missing for a moment."""
NOTHING = datetime.timedelta()
MILLISECOND = datetime.timedelta(milliseconds=1)


class Question(NamedTuple):
    """A request for permits."""

    asked_ms: int
    """When it was asked, in ms of this instance's monotonic clock."""
    wanted: tuple[frames.PermitRequest, ...]


class RequestLimits:
    """The limits of all targets, and this instance's permits.

    Parameters
    ----------
    clock : clocks.Clock
    generator : random.Random
    ask : callable
        Called when a question should be sent, which `build_question` returns.
    count_members : callable
        Returns the number of instances that may send requests.
    warm_up : tracking.WarmUp, optional
        Knows the cold targets.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        generator: random.Random,
        ask: Callable[[], None],
        count_members: Callable[[], int],
        warm_up: tracking.WarmUp | None = None,
    ):
        self.clock = clock
        self.warm_up = warm_up if warm_up is not None else tracking.WarmUp(clock)
        self.random = generator
        self.ask = ask
        self.count_members = count_members
        self.limits: dict[str, limit_states.TargetLimit] = {}
        """The last known limits by target."""
        self.cold = cold_limits.ColdLimits(clock, self.warm_up, self.get_named_rate)
        self.question: Question | None = None
        """The last question, until it is answered."""
        self.unanswered_since: datetime.timedelta | None = None
        """When the first question was asked since the last answer."""
        self.counts = collections.Counter()
        """Numbers of permits used and refused so far."""

    # Observations.

    def find(self, target: model.Target) -> limit_states.TargetLimit | None:
        """Return the limit of a target, or None if it has none."""
        cold = self.cold.find(target.name)
        if cold is not None:
            return cold
        limit = self.limits.get(target.name)
        if limit is None or limit.life != target.life or math.isinf(limit.rate):
            return None
        return limit

    def get_named_rate(self, target: str) -> float:
        """Return the requests/s that a target has named; infinite if there are none."""
        limit = self.limits.get(target)
        return math.inf if limit is None else limit.rate

    def find_cold_rate(self, target: str) -> float:
        """Return the requests/s of a cold target, or infinity if it is warm."""
        limit = self.cold.find(target)
        return math.inf if limit is None else limit.rate

    def list_capacity_rates(self) -> dict[str, float]:
        """Return the requests/s that targets with a limit or after a start can take."""
        rates = self.list_rates()
        for name, rate in self.warm_up.list_restarted().items():
            rates[name] = min(rate, rates.get(name, rate))
        return rates

    def list_rates(self) -> dict[str, float]:
        """Return the requests/s of all targets that name a limit."""
        return {
            name: limit.rate
            for name, limit in self.limits.items()
            if not math.isinf(limit.rate)
        }

    def record_named(self, target: model.Target, rate: float) -> None:
        """Record a limit that an answer names."""
        self._observe(target.name, target.life, rate, self.clock.monotonic())
        limit = self.limits[target.name]
        limit.reported_until = limit.observed_at + REPORT_PERIOD

    def record_unnamed(self, target: model.Target, sent_at: datetime.timedelta) -> None:
        """Record that the answer to a request sent at `sent_at` names no limit."""
        limit = self.find(target)
        if limit is None or sent_at <= limit.observed_at:
            return
        self.record_named(target, math.inf)

    def list_own(self) -> tuple[frames.Limit, ...]:
        """Return the recent observations of this instance."""
        now = self.clock.monotonic()
        return tuple(
            limit_states.build_observation(name, limit, now)
            for name, limit in self.limits.items()
            if limit.reported_until > now
        )

    def list_all(self) -> tuple[frames.Limit, ...]:
        """Return the last observations of all instances."""
        now = self.clock.monotonic()
        return tuple(
            limit_states.build_observation(name, limit, now)
            for name, limit in self.limits.items()
        )

    def apply_observations(
        self, observations: Iterable[frames.Limit], first_hand: bool
    ) -> None:
        """Apply the observations that are later than those known.

        Parameters
        ----------
        observations : iterable of frames.Limit
        first_hand : bool
            Whether the sender made the observations itself. The time of a known limit
            is otherwise not renewed, since it grows each time that it is passed on.
        """
        now = self.clock.monotonic()
        for item in observations:
            known = self.limits.get(item.target)
            repeated = known is not None and item.rate == known.rate
            if repeated and item.life == known.life and not first_hand:
                continue
            observed_at = now - item.age_ms * MILLISECOND
            self._observe(item.target, item.life, item.rate, observed_at)

    def _observe(
        self, target: str, life: int, rate: float, observed_at: datetime.timedelta
    ) -> None:
        known = self.limits.get(target)
        if known is None or known.life != life:
            if known is not None and observed_at < known.observed_at:
                return
            previous = math.inf
            if known is not None:
                limit_states.refuse_waiters(known)
            known = self.limits[target] = limit_states.TargetLimit(
                life, rate, observed_at
            )
        elif observed_at < known.observed_at:
            return
        else:
            previous, known.rate = known.rate, rate
            known.observed_at = observed_at
        if rate == previous:
            return
        if math.isinf(rate):
            events.info("limit_ended", target=target, limit=previous)
            limit_states.resolve_waiters(known)
        else:
            known_rate = None if math.isinf(previous) else previous
            events.info("limit_named", target=target, limit=rate, known=known_rate)

    def forget_ended(self, targets: Mapping[str, model.Target]) -> None:
        """Forget the limits that have ended, and those of targets that are gone."""
        now = self.clock.monotonic()
        self.cold.forget_ended()
        for name, limit in list(self.limits.items()):
            period = None
            if math.isinf(limit.rate):
                period = ENDED_LIMIT_PERIOD
            elif name not in targets:
                period = REMOVED_TARGET_PERIOD
            replaced = name in targets and targets[name].life != limit.life
            if replaced or (period is not None and now - limit.observed_at > period):
                limit_states.refuse_waiters(limit)
                del self.limits[name]

    # Permits.

    async def acquire(
        self, target: model.Target, time_left: datetime.timedelta
    ) -> result.Result[limit_states.Permit | None, Any]:
        """Return a permit for a request to a target, or None if it needs none.

        Fails with `errors.TargetLimited` if there is no permit.
        """
        limit = self.find(target)
        if limit is None:
            return result.Success(None)
        permit = self._take(target, limit)
        now = self.clock.monotonic()
        if permit is None and (self.is_isolated(now) or limit.unserved):
            limit.wanted += 1
            self.ask()
        elif permit is None and limit.refused_until <= now:
            limit.wanted += 1
            max_wait = min(MAX_PERMIT_WAIT + self.get_question_interval(), time_left)
            if await self._await_permit(limit, max_wait):
                if self.find(target) is None:
                    return result.Success(None)
                permit = self._take(target, limit)
        self._count(limit, permit)
        if permit is None:
            return result.Failure(self.build_refusal(target, limit))
        return result.Success(permit)

    def confirm(
        self, target: model.Target, permit: limit_states.Permit | None
    ) -> errors.TargetLimited | None:
        """Check the permit of a request right before it is sent.

        The limit may have become known since the request was admitted. The permit for
        a cold target may have expired while the request waited for a connection, and
        that for a target that has become cold since is not one for a cold target.
        Returns the failure of the request if it needs another permit and there is none.
        """
        limit = self.find(target)
        if limit is None or (permit is not None and limit.allowance is None):
            return None
        now = self.clock.monotonic()
        if permit is not None and permit.cold and permit.valid_until > now:
            return None
        taken = self._take(target, limit)
        self._count(limit, taken)
        if taken is None:
            limit.wanted += 1
            return self.build_refusal(target, limit)
        return None

    def _count(
        self, limit: limit_states.TargetLimit, permit: limit_states.Permit | None
    ) -> None:
        name = "permits_refused" if permit is None else "permits_used"
        self.counts[name] += 1
        self.counts[f"cold_{name}"] += limit.allowance is not None

    def give_back(self, permit: limit_states.Permit | None) -> None:
        """Keep the permit of a request that was not sent for another one."""
        if permit is None:
            return
        limits = self.cold.limits if permit.cold else self.limits
        if permit.target in limits:
            limits[permit.target].permits.append(permit.valid_until)
            self.counts["permits_used"] -= 1
            self.counts["cold_permits_used"] -= permit.cold

    def build_refusal(
        self, target: model.Target, limit: limit_states.TargetLimit
    ) -> errors.TargetLimited:
        """Return the failure of a request without a permit."""
        wait = max(limit.refused_until - self.clock.monotonic(), NOTHING)
        return errors.TargetLimited(target.name, limit.rate, wait)

    def find_refusals(
        self, targets: Iterable[model.Target]
    ) -> list[errors.TargetLimited]:
        """Return the failure of a request to each target that has a limit."""
        if not self.limits and not self.warm_up.states:
            return []
        known = [(target, self.find(target)) for target in targets]
        return [
            self.build_refusal(target, limit)
            for target, limit in known
            if limit is not None and not target.leaving
        ]

    def find_exhausted(self) -> frozenset[str]:
        """Return the targets for which there is no permit at the moment."""
        if not self.limits and not self.cold.limits:
            return frozenset()
        now = self.clock.monotonic()
        return frozenset(
            name
            for name, limit in {**self.limits, **self.cold.limits}.items()
            if limit.refused_until > now and not limit_states.has_permit(limit, now)
        )

    def has_cold_permit(self, target: str) -> bool:
        """Whether there is a permit for a cold target."""
        limit = self.cold.find(target)
        now = self.clock.monotonic()
        return limit is not None and limit_states.has_permit(limit, now)

    def request_permits(self, targets: Iterable[model.Target]) -> None:
        """Ask for a permit of each cold target, for the requests that come next."""
        now = self.clock.monotonic()
        for limit in self.cold.list_unpermitted(targets, now):
            if limit.refused_until <= now and not limit.wanted:
                limit.wanted = 1
                self.ask()

    def _take(
        self, target: model.Target, limit: limit_states.TargetLimit
    ) -> limit_states.Permit | None:
        """Return an unused permit, or one of this instance's part if it is isolated."""
        now = self.clock.monotonic()
        if limit_states.has_permit(limit, now):
            valid_until = limit.permits.popleft()
            cold = limit.allowance is not None
            return limit_states.Permit(target.name, valid_until, cold)
        if self.is_isolated(now) or limit.unserved:
            return self._take_share(target, limit, now)
        return None

    def _take_share(
        self,
        target: model.Target,
        limit: limit_states.TargetLimit,
        now: datetime.timedelta,
    ) -> limit_states.Permit | None:
        rate, validity = limit.rate, PERMIT_VALIDITY
        if limit.allowance is not None:
            rate = min(rate, limit.allowance.share_rate)
            validity = allowances.SHARE_VALIDITY
        period = datetime.timedelta(
            seconds=max(1, self.count_members()) / max(rate, permits.MIN_RATE)
        )
        if limit.next_share_at is None:
            limit.next_share_at = now + period * self.random.random()
        overdue = now - validity - limit.next_share_at
        if overdue > NOTHING:
            limit.next_share_at += period * math.ceil(overdue / period)
        if limit.next_share_at > now:
            limit.refused_until = min(limit.next_share_at, now + permits.MAX_WAIT)
            return None
        limit.next_share_at += period
        cold = limit.allowance is not None
        return limit_states.Permit(target.name, now + validity, cold)

    async def _await_permit(
        self, limit: limit_states.TargetLimit, max_wait: datetime.timedelta
    ) -> bool:
        """Return whether a permit has become available."""
        loop = asyncio.get_running_loop()
        waiter = loop.create_future()
        limit.waiters.append(waiter)
        timer = loop.call_later(
            max(max_wait.total_seconds(), 0.0),
            limit_states.resolve_waiter,
            waiter,
            False,
        )
        self.ask()
        try:
            return await waiter
        finally:
            timer.cancel()
            if waiter in limit.waiters:
                limit.waiters.remove(waiter)

    # Questions.

    def is_isolated(self, now: datetime.timedelta) -> bool:
        """Whether no coordinator answers this instance's questions."""
        since = self.unanswered_since
        return since is not None and now - since > ISOLATION_TIME

    def get_question_interval(self) -> datetime.timedelta:
        """Return the minimum time between two questions."""
        interval = QUESTION_INTERVAL_PER_INSTANCE * self.count_members()
        return min(interval, MAX_QUESTION_INTERVAL)

    def build_question(self) -> Question | None:
        """Return the question to send, or None if there is none or one is open."""
        now = self.clock.monotonic()
        if self.question is not None and now < self._get_expiry(self.question):
            # Its answer leads to the next question.
            return None
        wanted = []
        for name, limit in self.limits.items():
            if limit.wanted and not math.isinf(limit.rate):
                wanted.append(frames.PermitRequest(name, limit.life, limit.wanted))
            limit.wanted = 0
        for name, limit in self.cold.limits.items():
            if limit.wanted:
                wanted.append(
                    frames.PermitRequest(name, limit.life, limit.wanted, limit.rate)
                )
            limit.wanted = 0
        if not wanted:
            return None
        self.question = Question(now // MILLISECOND, tuple(wanted))
        if self.unanswered_since is None:
            self.unanswered_since = now
        return self.question

    def _get_expiry(self, question: Question) -> datetime.timedelta:
        """Return when a question without an answer no longer prevents the next one."""
        return question.asked_ms * MILLISECOND + MAX_PERMIT_WAIT

    def apply_answer(self, asked_ms: int, issued: Iterable[frames.Permits]) -> None:
        """Apply the coordinator's answer to the question asked at `asked_ms`."""
        now = self.clock.monotonic()
        self.unanswered_since = None
        if self.question is not None and self.question.asked_ms <= asked_ms:
            self.question = None
        asked_at = asked_ms * MILLISECOND
        for item in issued:
            if item.target in self.cold.limits:
                limit = self.cold.find_issued(item)
            else:
                limit = self.limits.get(item.target)
            if limit is None:
                continue
            validity = allowances.PERMIT_VALIDITY if item.cold else PERMIT_VALIDITY
            valid_until = asked_at + validity
            limit.next_share_at = None
            if valid_until > now:
                limit.permits.extend([valid_until] * item.count)
            if item.wait_ms:
                limit.refused_until = now + item.wait_ms * MILLISECOND
            limit_states.resolve_waiters(limit, len(limit.permits))
            if item.wait_ms:
                limit_states.refuse_waiters(limit)
        known = (*self.limits.values(), *self.cold.limits.values())
        if any(limit.waiters and limit.wanted for limit in known):
            self.ask()
