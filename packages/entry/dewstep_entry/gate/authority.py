"""The term of a gate and the time for which it may act without the table service."""

import datetime

from dewstep_core import hashing

# Longest interval at which a gate reads its row to extend the horizon. 3,000 targets
# cause 300 reads/s of the 2,000 reads/s that the table service allows.
ROW_READ_INTERVAL = datetime.timedelta(seconds=10)

# Minimum number of reads within one horizon. With a horizon shorter than the interval,
# a gate would otherwise stop serving between two reads although the table answers.
READS_PER_HORIZON = 4

# Largest fraction by which the phase of a target shortens an interval. Gates that
# started together would otherwise send their requests at the same times.
MAXIMUM_INTERVAL_REDUCTION = 0.2
PHASE_COUNT = 1_000


def compute_phase(target: str) -> float:
    """Return the phase of a target, from 0 to 1, from the hash of its name."""
    return hashing.compute_shard(target, PHASE_COUNT) / PHASE_COUNT


def spread_interval(interval: datetime.timedelta, phase: float) -> datetime.timedelta:
    """Return the interval shortened according to the phase, which is from 0 to 1."""
    return interval * (1 - MAXIMUM_INTERVAL_REDUCTION * phase)


class GateAuthority:
    """Term and horizon of one gate.

    The gate may renew grants, or send to an unfenced target, until the horizon has
    passed since its row was last read, and only while no higher term is known.

    Parameters
    ----------
    term : int
        Term of this gate.
    horizon : datetime.timedelta
        Time for which the gate continues without a successful read of its row.
    contact : datetime.timedelta
        Sending time of the transaction or read that last showed this term.
    phase : float, optional
        From 0 to 1; gates with different phases read at different intervals.
    """

    def __init__(
        self,
        term: int,
        horizon: datetime.timedelta,
        term_confirmed_at: datetime.timedelta,
        phase: float = 0.0,
    ):
        self.term = term
        self.horizon = horizon
        self.term_confirmed_at = term_confirmed_at
        self.phase = phase
        self.higher_term: int | None = None

    @property
    def horizon_end(self) -> datetime.timedelta:
        """Time from which nothing may be renewed or sent to an unfenced target."""
        return self.term_confirmed_at + self.horizon

    @property
    def row_due(self) -> datetime.timedelta:
        """Time at which the row should be read again."""
        interval = min(ROW_READ_INTERVAL, self.horizon / READS_PER_HORIZON)
        return self.term_confirmed_at + spread_interval(interval, self.phase)

    def receive_row(self, term: int, sent: datetime.timedelta) -> None:
        """Apply the term of a gate row that was read or committed at `sent`."""
        if term > self.term:
            self.higher_term = max(self.higher_term or 0, term)
        elif term == self.term:
            self.term_confirmed_at = max(self.term_confirmed_at, sent)

    def receive_term(self, term: int) -> None:
        """Apply a term from a peer or from a target's answer."""
        if term > self.term:
            self.higher_term = max(self.higher_term or 0, term)

    def is_valid(self, now: datetime.timedelta) -> bool:
        """Return whether no higher term is known and the horizon has not passed."""
        return self.higher_term is None and now < self.horizon_end
