"""Token buckets for the rate limits of the platform's stand-ins."""


class TokenBucket:
    """Admits work at a mean rate with bounded bursts.

    Parameters
    ----------
    rate : float
        Tokens per second; 0 or less means no limit.
    burst : float
        Most tokens that accumulate.
    """

    def __init__(self, rate: float, burst: float):
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.updated: float | None = None

    def take_tokens(self, amount: float, now: float) -> float:
        """Take tokens if there are enough.

        Parameters
        ----------
        amount : float
            Tokens needed. An amount above the burst needs a full bucket and leaves
            it in debt, so that large work is slow instead of impossible.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float
            0 if the tokens were taken, else the seconds until they are there.
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
