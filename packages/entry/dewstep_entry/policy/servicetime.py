"""Running estimate of one target's service time.

Mean and mean deviation are exponential averages, as TCP keeps them for its round trip
(V. Jacobson, "Congestion avoidance and control", SIGCOMM 1988; RFC 6298).
"""

import datetime

FIRST_ESTIMATE = datetime.timedelta(milliseconds=20)
"""Estimate of the mean until the first answer."""

# Weights of a new sample. A weight of 1/16 gives the mean of exponential service times
# a standard deviation of 18%, which makes a full queue refuse requests needlessly;
# 1/64 halves that and still follows a target of 200 answers/s within a second. The
# baseline moves slowly, so that a slow period of some hundred answers stands out
# against it while a permanent change is eventually accepted.
MEAN_GAIN = 1 / 64
BASELINE_GAIN = 1 / 512

# Mean deviations added to the mean when planning a request. Without them, long
# services finish after their deadline when the queue is full; with more, requests with
# a short deadline are refused although they could be served.
PLANNED_DEVIATIONS = 1.5

MIN_BASELINE_SAMPLES = 64
"""Answers before the target can count as slow; the mean of fewer is not reliable."""
SLOW_RATIO = 2.0
"""Ratio of mean to baseline above which the target counts as slow."""


class Estimate:
    """Mean, deviation and long-run baseline of the service time.

    Parameters
    ----------
    initial : datetime.timedelta
        Estimate of the mean until the first answer.
    """

    def __init__(self, initial: datetime.timedelta = FIRST_ESTIMATE):
        self.mean = initial
        self.deviation = initial / 2
        self.baseline = initial
        self.samples = 0

    def add_sample(self, sample: datetime.timedelta) -> bool:
        """Add a measured service time and return whether the target is slow."""
        self.samples += 1
        if self.samples == 1:
            self.mean = self.baseline = sample
            self.deviation = sample / 2
            return False
        error = sample - self.mean
        # The first answers have equal weights, so that none dominates the mean.
        gain = max(MEAN_GAIN, 1 / self.samples)
        self.mean += error * gain
        self.deviation += (abs(error) - self.deviation) * gain
        if self.samples <= MIN_BASELINE_SAMPLES:
            self.baseline = self.mean
            return False
        self.baseline += (sample - self.baseline) * BASELINE_GAIN
        # A slow first answer of a target with cold caches must not keep the baseline
        # high.
        self.baseline = min(self.baseline, self.mean)
        return self.mean > SLOW_RATIO * self.baseline

    def compute_planned_time(self) -> datetime.timedelta:
        """Return the time to plan for one request."""
        return self.mean + self.deviation * PLANNED_DEVIATIONS
