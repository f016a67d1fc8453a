"""Token buckets for the rate limits of the emulated platform services."""


class TokenBucket:
    """A token bucket, which limits the mean rate and the bursts of operations.

    Parameters
    ----------
    rate : float
        Tokens per second; 0 or less means no limit.
    burst : float
        Capacity of the bucket.
    """

    def __init__(self, rate: float, burst: float):
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.updated: float | None = None

    def take_tokens(self, amount: float, now: float) -> float:
        """Take tokens if the bucket contains enough.

        Parameters
        ----------
        amount : float
            Number of tokens. An amount above the capacity requires a full bucket and
            makes the balance negative, so that large operations are slow instead of
            impossible.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float
            0 if the tokens were taken, else the seconds until they are available.
        """
        if self.rate <= 0:
            return 0.0
        if self.updated is not None:
            self.tokens = min(
                self.burst, self.tokens + (now - self.updated) * self.rate
            )
        self.updated = now
        needed = min(amount, self.burst)
        if self.tokens < needed:
            return (needed - self.tokens) / self.rate
        self.tokens -= amount
        return 0.0
