"""A gate's right to act for its target, which it holds by the row (rules G6, G8)."""

import datetime

from dewstep_core import hashing

# How often a gate reads its own row to extend the horizon. 3,000 targets cause 300
# reads/s of the table service's 2,000.
ROW_READ_INTERVAL = datetime.timedelta(seconds=10)

# Least reads within one horizon; with a horizon below the interval, a gate would
# otherwise stop serving between two reads although the table answers.
READS_PER_HORIZON = 4

# Largest part by which the phase of a target shortens an interval. Gates that started
# together would otherwise ask in step for as long as they live.
MAXIMUM_SPREAD = 0.2
PHASE_COUNT = 1_000


def compute_phase(target: str) -> float:
    """Return the phase of a target, from 0 to 1, by the hash of its name."""
    return hashing.compute_shard(target, PHASE_COUNT) / PHASE_COUNT


def spread_interval(interval: datetime.timedelta, phase: float) -> datetime.timedelta:
    """Return the interval of a gate whose target has this phase, from 0 to 1."""
    return interval * (1 - MAXIMUM_SPREAD * phase)


class Tenure:
    """A gate's right to act for a target without the table (rules G6 and G8).

    Parameters
    ----------
    term : int
        Term of this gate.
    horizon : datetime.timedelta
        Time for which it continues without a successful read of its row.
    contact : datetime.timedelta
        Sending time of the transaction or read that last showed this term.
    phase : float, optional
        From 0 to 1; gates with different phases do not read in step.
    """

    def __init__(
        self,
        term: int,
        horizon: datetime.timedelta,
        contact: datetime.timedelta,
        phase: float = 0.0,
    ):
        self.term = term
        self.horizon = horizon
        self.contact = contact
        self.phase = phase
        self.higher_term: int | None = None

    @property
    def horizon_end(self) -> datetime.timedelta:
        """Time from which nothing may be renewed or sent to an unfenced target."""
        return self.contact + self.horizon

    @property
    def row_due(self) -> datetime.timedelta:
        """Time at which the row should be read again."""
        interval = min(ROW_READ_INTERVAL, self.horizon / READS_PER_HORIZON)
        return self.contact + spread_interval(interval, self.phase)

    def receive_row(self, term: int, sent: datetime.timedelta) -> None:
        """Note the term in a row that was read or committed, asked for at `sent`."""
        if term > self.term:
            self.higher_term = max(self.higher_term or 0, term)
        elif term == self.term:
            self.contact = max(self.contact, sent)

    def receive_term(self, term: int) -> None:
        """Note a term seen elsewhere: in a peer's row or a target's answer."""
        if term > self.term:
            self.higher_term = max(self.higher_term or 0, term)

    def is_valid(self, now: datetime.timedelta) -> bool:
        """Return whether no higher term is known and the horizon is not over."""
        return self.higher_term is None and now < self.horizon_end
