"""Detects targets that are slow or fail although they report to be healthy.

The answers of a target are compared with those of the service's other targets; its
health and load endpoints are not used. A target owns its keys exclusively, so requests
for them cannot be sent elsewhere. A target that is put aside remains their owner, but
the planner (`placement.plan_moves`) assigns it fewer shards according to its factor.
The factor falls and rises in steps. A new or restarted target starts with a low factor
that rises as its caches fill. No factor is zero, since the state of a target can only
be determined from its answers.

The gate of a target counts its answers and shares a `Summary`. Every process applies
the same rule to all summaries and so computes the same ranking. Only the targets with
the highest scores are put aside, up to a maximum share.
"""

import datetime
import statistics
from collections.abc import Mapping
from typing import NamedTuple

from dewstep_entry.policy import decay, limit

HALF_LIFE = datetime.timedelta(seconds=5)

MIN_ANSWERS = 20.0
"""Decayed count of answers below which a target is left out of the comparison."""
MIN_TARGETS = 3
"""Targets needed for a comparison; with two, either could be the outlier."""

SLOW_RATIO = 3.0
"""Ratio of mean service time to the median of the service's targets."""
FAILURE_RATIO = 3.0
"""Ratio of failure rate to the median of the service's targets."""
MIN_FAILURE_RATE = 0.05
"""A target with a lower failure rate is not an outlier, even if no other fails."""
RETURN_SCORE = 0.5
"""Score below which a target that is put aside returns; the bound for others is 1."""

MAX_PUT_ASIDE_SHARE = 0.3
"""Maximum share of a service's targets that are put aside. If more are slow or failing,
the cause lies elsewhere, and the remaining targets would be overloaded."""

STEP_FACTORS = (1.0, 0.5, 0.25, 0.1)
"""Factors of a target by its step; step 0 is normal operation."""
STEP_DOWN_INTERVAL = datetime.timedelta(seconds=5)
STEP_UP_INTERVAL = datetime.timedelta(seconds=30)
"""Minimum times between steps; a step down lowers the factor. Each step moves shards.
Steps up are slower, so that shards are not moved back and forth if a target is slow
intermittently. Their interval doubles with each relapse, a step down after a step
up."""
MAX_RELAPSES = 4
"""Relapses after which the interval no longer grows."""
RELAPSE_RESET_TIME = datetime.timedelta(minutes=10)
"""Time at step 0 after which the next step resets the count of relapses."""

COLD_FACTOR = 0.25
"""Factor of a target whose caches are empty."""
WARMUP_TIME = datetime.timedelta(seconds=30)
"""Time in which the factor of a cold target rises from `COLD_FACTOR` to 1."""


class Summary(NamedTuple):
    """Statistics that the gate of a target shares about its answers."""

    answers: float
    """Decayed count."""
    failures: float
    """Decayed count of answers that were errors, invalid or missing."""
    service_time: datetime.timedelta
    """Mean of the successful answers."""
    step: int
    """Index into `STEP_FACTORS`; a higher one means a lower factor."""
    cold: bool
    """Whether its service time is ignored because its caches are not filled yet."""


class Verdict(NamedTuple):
    """Result of the comparison for one target."""

    score: float
    """1 or more for an outlier."""
    put_aside: bool


class WatchedTarget:
    """Counts and state of one target."""

    def __init__(self, cold_since: datetime.timedelta | None):
        self.answers = 0.0
        self.failures = 0.0
        self.service_seconds = 0.0
        self.cold_since = cold_since
        self.step = 0
        self.last_step_at: datetime.timedelta | None = None
        self.last_step_was_up = False
        self.relapses = 0

    def get_step_interval(self, put_aside: bool) -> datetime.timedelta:
        """Return the minimum time between the last step and the next."""
        return STEP_DOWN_INTERVAL if put_aside else STEP_UP_INTERVAL * 2**self.relapses

    def update_step(self, put_aside: bool, now: datetime.timedelta) -> None:
        """Lower or raise the factor by one step if the interval has passed."""
        elapsed = None if self.last_step_at is None else now - self.last_step_at
        if elapsed is not None and elapsed < self.get_step_interval(put_aside):
            return
        step = min(max(self.step + (1 if put_aside else -1), 0), len(STEP_FACTORS) - 1)
        if step == self.step:
            return
        resets_relapses = elapsed is None or (
            self.step == 0 and elapsed >= RELAPSE_RESET_TIME
        )
        if resets_relapses:
            self.relapses = 0
        elif put_aside and self.last_step_was_up:
            self.relapses = min(MAX_RELAPSES, self.relapses + 1)
        self.last_step_was_up = step < self.step
        self.step, self.last_step_at = step, now


class OutlierDetector:
    """Detects outliers among the targets of a service whose gate is in this process."""

    def __init__(self):
        self.scale = decay.Scale(HALF_LIFE, datetime.timedelta())
        self.targets: dict[str, WatchedTarget] = {}

    def add_target(
        self, target: str, now: datetime.timedelta, cold: bool = True
    ) -> None:
        """Start to count the answers of a new or restarted target.

        A target that this process has taken over from another gate is not cold.
        """
        previous = self.targets.get(target)
        watched = WatchedTarget(now if cold else None)
        if previous is not None:
            watched.step, watched.last_step_at = previous.step, previous.last_step_at
            watched.last_step_was_up, watched.relapses = (
                previous.last_step_was_up,
                previous.relapses,
            )
        self.targets[target] = watched

    def remove_target(self, target: str) -> None:
        """Remove a target and its counts."""
        self.targets.pop(target, None)

    def record(
        self,
        target: str,
        outcome: str,
        service_time: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Count an answer; `outcome` is one of those in `limit.py`.

        A shed is not counted as a failure, since it is the correct answer of a full
        target.
        """
        watched = self.targets.get(target)
        if watched is None or outcome == limit.SHED:
            return
        if self.scale.needs_rescale(now):
            self.rescale(now)
        weight = self.scale.weigh(now)
        watched.answers += weight
        if outcome == limit.FAILED:
            watched.failures += weight
        else:
            watched.service_seconds += weight * service_time.total_seconds()

    def rescale(self, now: datetime.timedelta) -> None:
        """Move the start of the scale to `now` and convert all counts."""
        factor = self.scale.rescale(now)
        for watched in self.targets.values():
            watched.answers *= factor
            watched.failures *= factor
            watched.service_seconds *= factor

    def summarize(self, now: datetime.timedelta) -> dict[str, Summary]:
        """Return the summaries that other processes need to compare their targets."""
        weight = self.scale.weigh(now)
        # The small divisor avoids a division by zero without successful answers.
        return {
            name: Summary(
                watched.answers / weight,
                watched.failures / weight,
                datetime.timedelta(
                    seconds=watched.service_seconds
                    / max(watched.answers - watched.failures, 1e-12 * weight)
                ),
                watched.step,
                compute_warmup_factor(watched.cold_since, now) < 1.0,
            )
            for name, watched in self.targets.items()
        }

    def update(
        self, others: Mapping[str, Summary], now: datetime.timedelta
    ) -> dict[str, Verdict]:
        """Compare all targets and update the steps of those with their gate here.

        Parameters
        ----------
        others : mapping of str to Summary
            Summaries of the service's targets whose gates are in other processes.
        now : datetime.timedelta
            Current time.
        """
        verdicts = compute_verdicts({**others, **self.summarize(now)})
        for name, watched in self.targets.items():
            watched.update_step(verdicts[name].put_aside, now)
        return verdicts

    def get_factors(self, now: datetime.timedelta) -> dict[str, float]:
        """Return the share of its slots that each target should use."""
        return {
            name: STEP_FACTORS[watched.step]
            * compute_warmup_factor(watched.cold_since, now)
            for name, watched in self.targets.items()
        }


def compute_warmup_factor(
    cold_since: datetime.timedelta | None, now: datetime.timedelta
) -> float:
    """Return the factor of a target whose caches were empty at `cold_since`."""
    if cold_since is None:
        return 1.0
    progress = min(1.0, max(0.0, (now - cold_since) / WARMUP_TIME))
    return COLD_FACTOR + (1.0 - COLD_FACTOR) * progress


def compute_verdicts(summaries: Mapping[str, Summary]) -> dict[str, Verdict]:
    """Return the verdict on each target of a service.

    Targets are ranked by score and then by name, so that all processes with the same
    summaries put the same targets aside.
    """
    scores = compute_scores(summaries)
    ranked = sorted(scores, key=lambda name: (-scores[name], name))
    put_aside_limit = int(MAX_PUT_ASIDE_SHARE * len(summaries))
    # A small service may put one target aside if others remain to take its shards.
    if len(summaries) >= MIN_TARGETS:
        put_aside_limit = max(1, put_aside_limit)
    chosen = set()
    for name in ranked:
        put_aside_bound = RETURN_SCORE if summaries[name].step else 1.0
        if scores[name] >= put_aside_bound and len(chosen) < put_aside_limit:
            chosen.add(name)
    return {name: Verdict(scores[name], name in chosen) for name in summaries}


def compute_scores(summaries: Mapping[str, Summary]) -> dict[str, float]:
    """Return each target's score against the service's median; 1 or more is an outlier.

    The score is the larger of failure rate and service time, each divided by its bound.
    """
    compared = {
        name: summary
        for name, summary in summaries.items()
        if summary.answers >= MIN_ANSWERS
    }
    scores = dict.fromkeys(summaries, 0.0)
    if len(compared) < MIN_TARGETS:
        return scores
    median_rate = statistics.median(s.failures / s.answers for s in compared.values())
    failure_rate_bound = max(MIN_FAILURE_RATE, FAILURE_RATIO * median_rate)
    answering = [s.service_time for s in compared.values() if s.failures < s.answers]
    median_time = statistics.median(answering) if answering else datetime.timedelta()
    time_bound = max(median_time * SLOW_RATIO, datetime.timedelta.resolution)
    for name, summary in compared.items():
        scores[name] = summary.failures / summary.answers / failure_rate_bound
        if not summary.cold and summary.failures < summary.answers:
            scores[name] = max(scores[name], summary.service_time / time_bound)
    return scores
