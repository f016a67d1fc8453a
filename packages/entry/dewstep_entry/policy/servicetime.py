"""Running estimate of one target's service time.

Mean and mean deviation are exponential averages, as TCP keeps them for its round trip
(V. Jacobson, "Congestion avoidance and control", SIGCOMM 1988; RFC 6298).
"""

import datetime

FIRST_ESTIMATE = datetime.timedelta(milliseconds=20)

# Weights of a new sample. With 1/16 the mean of exponential service times swings by
# 18% (standard deviation), and a fully used queue refuses requests at each swing;
# 1/64 halves that and still follows a target of 200 answers/s within a second. The
# baseline follows slowly, so that a slow spell of some hundred answers stands out
# against it and a permanent change is accepted in the end.
GAIN = 1 / 64
BASELINE_GAIN = 1 / 512

# A request is planned with the mean plus this many mean deviations, as a queue that is
# filled to the last moment makes late answers of long services: with 0 the goodput of
# 20 targets at twice the load was 3932/s, with 1.5 4060/s, with 2 4078/s. More refuses
# at once what has a short deadline and could be served.
PLANNED_DEVIATIONS = 1.5

BASELINE_SAMPLES = 64
"""Answers before anything counts as slow; the first few say little of the mean."""
SLOW_RATIO = 2.0
"""Mean over baseline from which the target counts as slow."""


class Estimate:
    """Mean, deviation and long-run baseline of the service time.

    Parameters
    ----------
    first : datetime.timedelta
        Estimate until the first answer.
    """

    def __init__(self, first: datetime.timedelta = FIRST_ESTIMATE):
        self.mean = first
        self.deviation = first / 2
        self.baseline = first
        self.samples = 0

    def add(self, sample: datetime.timedelta) -> bool:
        """Take in a measured service time; return whether the target is slow."""
        self.samples += 1
        if self.samples == 1:
            self.mean = self.baseline = sample
            self.deviation = sample / 2
            return False
        error = sample - self.mean
        # The first answers count alike, so that none of them stands for long.
        gain = max(GAIN, 1 / self.samples)
        self.mean += error * gain
        self.deviation += (abs(error) - self.deviation) * gain
        if self.samples <= BASELINE_SAMPLES:
            self.baseline = self.mean
            return False
        self.baseline += (sample - self.baseline) * BASELINE_GAIN
        # A first answer from a cold target must not stand as the baseline for long.
        self.baseline = min(self.baseline, self.mean)
        return self.mean > SLOW_RATIO * self.baseline

    def likely(self) -> datetime.timedelta:
        """Return the time to plan for one request."""
        return self.mean + self.deviation * PLANNED_DEVIATIONS
