"""The grant of one target as a pure state machine (rules G2, G3, G6, G7, G8).

Times are readings of this process's monotonic clock, except `Grant.expires` and
`Stamp.deadline`, which are in the target's clock. The two are related only through
`ClockReading`: the target's clock showed `clock` at some moment between `sent` and
`received`. A bound that must not be too late counts from `sent`, a bound that must
not be too early counts from `received`.
"""

import datetime
from typing import NamedTuple

from dewstep_core import data, settings as setting
from dewstep_entry.gate import tenure

ZERO = datetime.timedelta()

# A grant that builds on an older reading would leave too little time for requests.
# The answer to one grant is the reading for the next, so that each renewal costs
# one exchange instead of two.
MAXIMUM_READING_AGE = datetime.timedelta(milliseconds=250)

# A target that leaves calls unanswered for this long counts as lost. Together with the
# interval of renewals it lies below the lifetime of a grant, so that the detection adds
# nothing to the wait for its expiry.
LOST_AFTER = datetime.timedelta(milliseconds=400)

# Without requests for this long, the grant is left to lapse, since a renewal every
# 150 ms costs 1.9 KB/s. The next request then waits for a clock reading and a grant.
IDLE_AFTER = datetime.timedelta(seconds=1)

# Most time between two questions to a target without requests. A loss is then noticed
# by the end of the control connection, by the first request, or by these questions.
IDLE_CLOCK_READ_INTERVAL = datetime.timedelta(seconds=1)

# A grant with less time left is renewed before a request is sent, since a run that
# begins just before the expiry would be aborted.
MINIMUM_REMAINING_VALIDITY = datetime.timedelta(milliseconds=100)

# Part of the renewal interval after which a refused or unanswered grant is repeated.
# It keeps a target that refuses every grant from being asked without pause.
REPEAT_FRACTION = 0.2


class ReadClock(NamedTuple):
    """Ask the target for its clock and boot id."""


class SendGrant(NamedTuple):
    """Send `grant`, which builds on `reading`."""

    grant: data.Grant
    reading: data.ClockReading


class Wait(NamedTuple):
    """Nothing is due before `until`."""

    until: datetime.timedelta


class Stop(NamedTuple):
    """Another gate has a higher term; send nothing any more."""

    higher_term: int


Action = ReadClock | SendGrant | Wait | Stop


def compute_certain_expiry(
    received: datetime.timedelta, settings: setting.GrantSettings
) -> datetime.timedelta:
    """Return the time from which a grant on this reading has certainly expired."""
    return received + settings.lifetime * (1 + settings.drift) + settings.margin


class FencedGrant:
    """Grant of a fenced target.

    Parameters
    ----------
    gate_tenure : tenure.Tenure
        Term and horizon of the gate.
    settings : dewstep_core.settings.GrantSettings
        Lifetime, interval and margins.
    now : datetime.timedelta
        Start of the gate.
    old_gates_end : datetime.timedelta
        Time at which no earlier gate renews any more. It matters until the target
        has accepted a grant of this term, which fences earlier gates.
    """

    def __init__(
        self,
        gate_tenure: tenure.Tenure,
        settings: setting.GrantSettings,
        now: datetime.timedelta,
        old_gates_end: datetime.timedelta,
    ):
        self.gate_tenure = gate_tenure
        self.settings = settings
        self.reading: data.ClockReading | None = None
        self.boot_read_at: datetime.timedelta | None = None
        self.confirmed_boot: str | None = None
        self.send_until = ZERO
        self.own_expired_at = ZERO
        self.old_gates_end: datetime.timedelta | None = old_gates_end
        self.last_demand = now
        self.unanswered_since: datetime.timedelta | None = None
        self.last_call: datetime.timedelta | None = None
        self.last_grant: datetime.timedelta | None = None
        self.refused_at = ZERO
        self.clock_read_due = False
        self.closed_by_target = False
        self.refused_connection = False
        self.renewing = True

    # Decisions.

    def plan(self, now: datetime.timedelta) -> Action:
        """Return what to send to the target next."""
        if self.gate_tenure.higher_term is not None:
            return Stop(self.gate_tenure.higher_term)
        wanted = self.is_wanted(now)
        if wanted and self.is_reading_usable(now) and self.may_renew(now):
            due = self.compute_grant_due(now)
            if now < due:
                return Wait(due)
            expires = self.reading.clock + self.settings.lifetime
            grant = data.Grant(self.reading.boot, self.gate_tenure.term, expires)
            return SendGrant(grant, self.reading)
        if self.last_call is None or self.clock_read_due:
            return ReadClock()
        doubtful = self.unanswered_since is not None or self.closed_by_target
        soon = wanted or doubtful
        interval = self.settings.interval
        if not soon:
            interval = tenure.spread_interval(
                IDLE_CLOCK_READ_INTERVAL, self.gate_tenure.phase
            )
        due = self.last_call + interval
        return ReadClock() if now >= due else Wait(due)

    def is_wanted(self, now: datetime.timedelta) -> bool:
        """Return whether a grant should be in force.

        Until the first one is accepted, earlier gates are not fenced (rule G5).
        """
        return self.old_gates_end is not None or now < self.last_demand + IDLE_AFTER

    def compute_grant_due(self, now: datetime.timedelta) -> datetime.timedelta:
        """Return when the next grant is due."""
        if self.last_grant is None:
            return now
        if now < self.send_until:
            return self.last_grant + self.settings.interval
        return self.last_grant + self.settings.interval * REPEAT_FRACTION

    def is_reading_usable(self, now: datetime.timedelta) -> bool:
        """Return whether a grant may build on the latest reading (rule G2)."""
        return (
            self.reading is not None
            and self.reading.sent >= self.refused_at
            and now - self.reading.received <= MAXIMUM_READING_AGE
        )

    def may_renew(self, now: datetime.timedelta) -> bool:
        """Return whether a grant may be sent at all (rules G4, G6, G7)."""
        return (
            self.renewing
            and self.gate_tenure.is_valid(now)
            and self.reading is not None
            and self.reading.boot == self.confirmed_boot
        )

    def may_send(self, now: datetime.timedelta) -> bool:
        """Return whether a request may be sent now."""
        return (
            self.gate_tenure.higher_term is None
            and self.renewing
            and now < self.send_until
        )

    def has_time(self, now: datetime.timedelta) -> bool:
        """Return whether a request may be sent now without a renewal before it."""
        return self.may_send(now + MINIMUM_REMAINING_VALIDITY)

    def can_obtain(self, now: datetime.timedelta) -> bool:
        """Return whether a clock reading and a grant are all that is missing."""
        return self.old_gates_end is None and self.may_renew(now)

    def compute_send_limit(self) -> datetime.timedelta:
        """Return the end of the last grant sent, for the check of `may_send`."""
        return self.own_expired_at

    def needs_row(self, now: datetime.timedelta) -> bool:
        """Return whether the gate's row should be read now (rules G6, G7)."""
        return self.is_row_urgent(now) or now >= self.gate_tenure.row_due

    def is_row_urgent(self, now: datetime.timedelta) -> bool:
        """Return whether the target gets no grant before the row is read."""
        return self.reading is not None and self.reading.boot != self.confirmed_boot

    def is_lost(self, now: datetime.timedelta) -> bool:
        """Return whether the target counts as lost.

        The time counts from the first unanswered call: a target that was asked
        nothing has not been silent.
        """
        if self.refused_connection:
            return True
        since = self.unanswered_since
        return since is not None and now >= since + LOST_AFTER

    def compute_expired_at(self) -> datetime.timedelta:
        """Return from when no grant of this or an earlier gate is in force."""
        if self.old_gates_end is None:
            return self.own_expired_at
        return max(self.own_expired_at, self.old_gates_end)

    def make_stamp(self, epoch: int, deadline: datetime.timedelta) -> data.Stamp:
        """Return the stamp of a request with the local `deadline`.

        The target's clock shows at least `clock` + (t - `received`) at local time
        t, so the stamped deadline is never later than the caller's.
        """
        return data.Stamp(
            self.gate_tenure.term,
            epoch,
            self.reading.boot,
            self.reading.clock + (deadline - self.reading.received),
        )

    def clear_old_gates_end(self) -> None:
        """Note an operator's declaration that no earlier gate is left."""
        self.old_gates_end = None

    # Events.

    def note_demand(self, now: datetime.timedelta) -> None:
        """Note that a request for the target is there or in progress."""
        self.last_demand = now

    def note_call_sent(self, now: datetime.timedelta) -> None:
        """Note that a clock question or a grant is being sent."""
        self.last_call = now
        self.clock_read_due = False
        self.closed_by_target = False
        if self.unanswered_since is None:
            self.unanswered_since = now

    def discount_local_delay(self, late: datetime.timedelta) -> None:
        """Leave out a time in which this process could not read answers."""
        if self.unanswered_since is not None:
            self.unanswered_since += late

    def note_grant_sent(
        self, reading: data.ClockReading, now: datetime.timedelta
    ) -> None:
        """Note that a grant on `reading` is being sent, whether or not it arrives."""
        self.last_grant = now
        self.own_expired_at = max(
            self.own_expired_at, compute_certain_expiry(reading.received, self.settings)
        )

    def receive_reading(self, reading: data.ClockReading) -> bool:
        """Take over a reading; return whether it shows a new boot id.

        A reading that was delivered late is ignored if the target may have been
        restarted since: it counts only if it was asked for after the current one
        had arrived, or shows the same boot id and is newer.
        """
        self.gate_tenure.receive_term(reading.term)
        held = self.reading
        if held is not None:
            if reading.boot != held.boot and reading.sent < held.received:
                return False
            if reading.boot == held.boot and reading.sent < held.sent:
                return False
        self.unanswered_since = None
        self.refused_connection = False
        self.reading = reading
        if held is not None and reading.boot == held.boot:
            return False
        self.boot_read_at = reading.received
        self.confirmed_boot = None
        self.send_until = ZERO
        return held is not None

    def receive_acceptance(self, base: data.ClockReading) -> None:
        """Note that the target accepted the grant that built on `base`.

        From now on earlier gates are fenced: this boot id refuses their term, and
        for a later one they must first read the row (rule G7).
        """
        self.old_gates_end = None
        if not self.renewing or base.sent < self.refused_at:
            return
        if self.reading is None or self.reading.boot != base.boot:
            return
        lifetime = self.settings.lifetime * (1 - self.settings.drift)
        self.send_until = max(
            self.send_until, base.sent + lifetime - self.settings.margin
        )

    def receive_refusal(self, now: datetime.timedelta) -> None:
        """Note that the target refused a grant or a request as not permitted.

        The reason (higher term, new boot id, or expiry) shows in the next reading,
        which is due at once; until a grant on it is accepted, nothing is sent.
        """
        self.send_until = ZERO
        self.refused_at = now
        self.clock_read_due = True

    def receive_close(self) -> None:
        """Note that the target closed the control connection.

        It may have ended, so that it is asked as soon as the interval of calls allows;
        a target that closes after each answer is not asked without pause.
        """
        self.closed_by_target = True

    def receive_connection_refused(self) -> None:
        """Note that nothing listens at the target's address."""
        self.refused_connection = True

    def receive_row(self, term: int, sent: datetime.timedelta) -> None:
        """Note a successful read of the gate's row that was sent at `sent`."""
        self.gate_tenure.receive_row(term, sent)
        if term != self.gate_tenure.term or self.reading is None:
            return
        if sent >= self.boot_read_at:
            self.confirmed_boot = self.reading.boot

    def clear_loss(self) -> None:
        """Do nothing: clock readings show whether the target is back."""

    def suspend(self) -> None:
        """Stop renewals: the target is being given up (rule G4)."""
        self.renewing = False
        self.send_until = ZERO

    def resume(self) -> None:
        """Allow renewals again: the target was not given up."""
        self.renewing = True
