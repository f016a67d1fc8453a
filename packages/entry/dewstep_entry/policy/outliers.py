"""Targets that are slow or fail although they claim to be well.

A target is judged by the answers seen from it against the service's other targets; its
health and load endpoints play no part. A target owns its keys exclusively, so that it
can't be bypassed: one that is put aside stays the owner, and its factor tells the
planner (`placement.plan_moves`) to leave it fewer shards. The factor falls in steps
and returns in steps; a new or returned target starts with a low factor that rises as
its caches fill. No factor is zero, so that answers go on to show its state.

The process that is the gate of a target counts its answers and shares a `Summary`.
Every process judges from all summaries by the same rule and so comes to the same
ranking; only the targets of the worst ranks are put aside, up to a ceiling.
"""

import datetime
import statistics
from collections.abc import Mapping
from typing import NamedTuple

from dewstep_entry.policy import decay, limit

HALF_LIFE = datetime.timedelta(seconds=5)

LEAST_ANSWERS = 20.0
"""Answers, decayed, before a target is judged or compared with."""
LEAST_TARGETS = 3
"""Targets that a comparison needs; of two it is open which one is bad."""

SLOW_RATIO = 3.0
"""Mean service time over the median of the service's targets."""
FAILURE_RATIO = 3.0
LEAST_FAILURE_RATE = 0.05
"""A lower failure rate is never an outlier, even if all others have none."""
RETURN_BADNESS = 0.5
"""A target that is put aside returns below this part of the bounds above."""

CEILING = 0.3
"""Greatest part of a service's targets that is put aside. If more are bad, the cause
lies elsewhere, and fewer targets would have to carry the whole load."""

STEPS = (1.0, 0.5, 0.25, 0.1)
"""Factors of a target by the number of steps that it is put aside."""
STEP_DOWN = datetime.timedelta(seconds=5)
STEP_UP = datetime.timedelta(seconds=30)
"""Least times between steps. Back is slower: each step moves shards, and a target
that is bad on and off must not move them to and fro. The wait doubles with each
relapse, that is a step down after a step up, and is as at first after a long calm."""
RELAPSE_LIMIT = 4
CALM = datetime.timedelta(minutes=10)

COLD_FACTOR = 0.25
COLD_TIME = datetime.timedelta(seconds=30)
"""A cold target's factor rises from `COLD_FACTOR` to 1 in this time."""


class Summary(NamedTuple):
    """What the gate of a target shares of its answers."""

    answers: float
    """Decayed count."""
    failures: float
    """Decayed count of answers that were errors, invalid or missing."""
    service_time: datetime.timedelta
    """Mean of the successful answers."""
    step: int
    """Index into `STEPS`."""
    cold: bool
    """Whether its service time is excused, as its caches are not filled yet."""


class Verdict(NamedTuple):
    """Judgement of one target."""

    badness: float
    """1 or more for an outlier."""
    put_aside: bool


class Watched:
    """Counts and state of one target."""

    def __init__(self, cold_since: datetime.timedelta | None):
        self.answers = 0.0
        self.failures = 0.0
        self.seconds = 0.0
        self.cold_since = cold_since
        self.step = 0
        self.stepped: datetime.timedelta | None = None
        self.rising = False
        self.relapses = 0

    def choose_wait(self, put_aside: bool) -> datetime.timedelta:
        """Return the least time between the last step and the next."""
        return STEP_DOWN if put_aside else STEP_UP * 2**self.relapses

    def take_step(self, put_aside: bool, now: datetime.timedelta) -> None:
        """Move one step down or up, if it is due."""
        since = None if self.stepped is None else now - self.stepped
        if since is not None and since < self.choose_wait(put_aside):
            return
        step = min(max(self.step + (1 if put_aside else -1), 0), len(STEPS) - 1)
        if step == self.step:
            return
        calm = since is None or (self.step == 0 and since >= CALM)
        if calm:
            self.relapses = 0
        elif put_aside and self.rising:
            self.relapses = min(RELAPSE_LIMIT, self.relapses + 1)
        self.rising = step < self.step
        self.step, self.stepped = step, now


class Outliers:
    """Watches the targets of one service whose gate is in this process."""

    def __init__(self):
        self.scale = decay.Scale(HALF_LIFE, datetime.timedelta())
        self.targets: dict[str, Watched] = {}

    def add_target(
        self, target: str, now: datetime.timedelta, cold: bool = True
    ) -> None:
        """Watch a target from now on, or again after it restarted.

        A target that this process only took over from another gate is not cold.
        """
        known = self.targets.get(target)
        watched = Watched(now if cold else None)
        if known is not None:
            watched.step, watched.stepped = known.step, known.stepped
            watched.rising, watched.relapses = known.rising, known.relapses
        self.targets[target] = watched

    def remove_target(self, target: str) -> None:
        """Forget a target."""
        self.targets.pop(target, None)

    def record(
        self,
        target: str,
        outcome: str,
        service_time: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Count an answer; `outcome` is one of those in `limit.py`.

        A shed is no failure: it is the right answer of a target that is full.
        """
        watched = self.targets.get(target)
        if watched is None or outcome == limit.SHED:
            return
        if self.scale.is_spent(now):
            self.rescale(now)
        weight = self.scale.weigh(now)
        watched.answers += weight
        if outcome == limit.FAILED:
            watched.failures += weight
        else:
            watched.seconds += weight * service_time.total_seconds()

    def rescale(self, now: datetime.timedelta) -> None:
        """Bring all counts to a new start of the scale."""
        factor = self.scale.rescale(now)
        for watched in self.targets.values():
            watched.answers *= factor
            watched.failures *= factor
            watched.seconds *= factor

    def summarize(self, now: datetime.timedelta) -> dict[str, Summary]:
        """Return what other processes need to judge their targets."""
        weight = self.scale.weigh(now)
        return {
            name: Summary(
                watched.answers / weight,
                watched.failures / weight,
                datetime.timedelta(
                    seconds=watched.seconds
                    / max(watched.answers - watched.failures, 1e-12 * weight)
                ),
                watched.step,
                compute_ramp(watched.cold_since, now) < 1.0,
            )
            for name, watched in self.targets.items()
        }

    def update(
        self, others: Mapping[str, Summary], now: datetime.timedelta
    ) -> dict[str, Verdict]:
        """Judge all targets and take the steps that are due for the own ones.

        Parameters
        ----------
        others : mapping of str to Summary
            Summaries of the service's targets that other processes watch.
        now : datetime.timedelta
            Current time.
        """
        verdicts = judge({**others, **self.summarize(now)})
        for name, watched in self.targets.items():
            watched.take_step(verdicts[name].put_aside, now)
        return verdicts

    def get_factors(self, now: datetime.timedelta) -> dict[str, float]:
        """Return the part of its slots that each own target should use."""
        return {
            name: STEPS[watched.step] * compute_ramp(watched.cold_since, now)
            for name, watched in self.targets.items()
        }


def compute_ramp(
    cold_since: datetime.timedelta | None, now: datetime.timedelta
) -> float:
    """Return the factor of a target that has been cold since then."""
    if cold_since is None:
        return 1.0
    progress = min(1.0, max(0.0, (now - cold_since) / COLD_TIME))
    return COLD_FACTOR + (1.0 - COLD_FACTOR) * progress


def judge(summaries: Mapping[str, Summary]) -> dict[str, Verdict]:
    """Return the verdict on each target of a service.

    The ranking is by badness and then by name, so that all processes that have the
    same summaries put the same targets aside.
    """
    badness = measure_badness(summaries)
    ranked = sorted(badness, key=lambda name: (-badness[name], name))
    places = int(CEILING * len(summaries))
    # A small service may still put one aside, if others remain to take over.
    if len(summaries) >= LEAST_TARGETS:
        places = max(1, places)
    chosen = set()
    for name in ranked:
        bound = RETURN_BADNESS if summaries[name].step else 1.0
        if badness[name] >= bound and len(chosen) < places:
            chosen.add(name)
    return {name: Verdict(badness[name], name in chosen) for name in summaries}


def measure_badness(summaries: Mapping[str, Summary]) -> dict[str, float]:
    """Return how bad each target is against the service's median; 1 is the bound."""
    known = {
        name: summary
        for name, summary in summaries.items()
        if summary.answers >= LEAST_ANSWERS
    }
    badness = dict.fromkeys(summaries, 0.0)
    if len(known) < LEAST_TARGETS:
        return badness
    usual_rate = statistics.median(s.failures / s.answers for s in known.values())
    rate_bound = max(LEAST_FAILURE_RATE, FAILURE_RATIO * usual_rate)
    answering = [s.service_time for s in known.values() if s.failures < s.answers]
    usual = statistics.median(answering) if answering else datetime.timedelta()
    bound = max(usual * SLOW_RATIO, datetime.timedelta.resolution)
    for name, summary in known.items():
        badness[name] = summary.failures / summary.answers / rate_bound
        if not summary.cold and summary.failures < summary.answers:
            badness[name] = max(badness[name], summary.service_time / bound)
    return badness
