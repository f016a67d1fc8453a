"""The grant of one fenced target as a state machine that performs no I/O.

A grant permits requests of one term at one boot id until an expiry in the target's
clock. Its rules:

- A grant builds on a recent clock reading of the target.
- After a new boot id, the gate row is read before the next grant is sent.
- No grant is sent once the horizon since the last read of the gate row has passed,
  while a higher term is known, or while the target is treated as lost.
- Earlier gates are fenced once the target has accepted a grant of this term.

Times are readings of this process's monotonic clock, except `Grant.expires` and
`GrantStamp.deadline`, which are in the target's clock. The two are related only through
`ClockReading`: the target's clock showed `clock` at some time between `sent` and
`received`. A bound that must not be too late is computed from `sent`, a bound that
must not be too early from `received`.
"""

import datetime
from typing import NamedTuple

from dewstep_core import data, settings
from dewstep_entry.gate import authority

ZERO = datetime.timedelta()

# A grant based on an older reading would leave too little time for requests. The
# answer to a grant is the reading for the next one, so a renewal takes one exchange.
MAXIMUM_READING_AGE = datetime.timedelta(milliseconds=250)

# A target that leaves calls unanswered for this long is treated as lost. This plus the
# renewal interval is shorter than the lifetime of a grant, so that detection adds
# nothing to the wait for the expiry.
LOSS_TIMEOUT = datetime.timedelta(milliseconds=400)

# After this time without requests the grant is no longer renewed, to save the traffic
# of renewals. The next request then waits for a clock reading and a grant.
IDLE_TIMEOUT = datetime.timedelta(seconds=1)

# Longest time between two clock readings of a target without requests. They detect a
# loss, as do the end of the control connection and the first request.
IDLE_CLOCK_READ_INTERVAL = datetime.timedelta(seconds=1)

# Time after the start of a gate in which requests wait for its first grant. Later ones
# are refused, so that another gate may get them.
FIRST_GRANT_TIMEOUT = datetime.timedelta(milliseconds=500)

# A grant with less time left is renewed before a request is sent, since the target
# would abort a request that starts just before the expiry.
MINIMUM_REMAINING_VALIDITY = datetime.timedelta(milliseconds=100)

# Part of the renewal interval after which a refused or unanswered grant is repeated.
# It prevents a busy loop with a target that refuses every grant.
REPEAT_INTERVAL_FRACTION = 0.2


class ReadClock(NamedTuple):
    """Read the target's clock and boot id."""


class SendGrant(NamedTuple):
    """Send `grant`, which builds on `reading`."""

    grant: data.Grant
    reading: data.ClockReading


class Wait(NamedTuple):
    """Nothing is due before `until`."""

    until: datetime.timedelta


class Stop(NamedTuple):
    """Another gate has a higher term; send nothing more."""

    higher_term: int


Action = ReadClock | SendGrant | Wait | Stop


def compute_certain_expiry(
    received: datetime.timedelta, grant_settings: settings.GrantSettings
) -> datetime.timedelta:
    """Return the local time from which a grant on this reading has expired.

    It allows for the largest clock drift and the safety margin.
    """
    return (
        received
        + grant_settings.lifetime * (1 + grant_settings.drift)
        + grant_settings.margin
    )


class FencedGrant:
    """Grant of a fenced target.

    Parameters
    ----------
    gate_authority : authority.GateAuthority
        Term and horizon of the gate.
    grant_settings : dewstep_core.settings.GrantSettings
        Lifetime, interval and margins.
    now : datetime.timedelta
        Start of the gate.
    earlier_gates_end : datetime.timedelta
        Time from which no earlier gate sends or renews. It applies until the target
        has accepted a grant of this term, which fences earlier gates.
    """

    def __init__(
        self,
        gate_authority: authority.GateAuthority,
        grant_settings: settings.GrantSettings,
        now: datetime.timedelta,
        earlier_gates_end: datetime.timedelta,
    ):
        self.gate_authority = gate_authority
        self.grant_settings = grant_settings
        self.reading: data.ClockReading | None = None
        self.boot_received_at: datetime.timedelta | None = None
        self.confirmed_boot: str | None = None
        self.send_until = ZERO
        self.own_expired_at = ZERO
        self.earlier_grants_expired_at = ZERO
        self.earlier_gates_end: datetime.timedelta | None = earlier_gates_end
        self.started = now
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

    def plan_action(self, now: datetime.timedelta) -> Action:
        """Return what to send to the target next."""
        if self.gate_authority.higher_term is not None:
            return Stop(self.gate_authority.higher_term)
        wanted = self.is_wanted(now)
        if wanted and self.is_reading_usable(now) and self.may_renew(now):
            due = self.compute_grant_due(now)
            if now < due:
                return Wait(due)
            expires = self.reading.clock + self.grant_settings.lifetime
            grant = data.Grant(self.reading.boot, self.gate_authority.term, expires)
            return SendGrant(grant, self.reading)
        if self.last_call is None or self.clock_read_due:
            return ReadClock()
        may_be_lost = self.unanswered_since is not None or self.closed_by_target
        check_often = wanted or may_be_lost
        interval = self.grant_settings.interval
        if not check_often:
            interval = authority.spread_interval(
                IDLE_CLOCK_READ_INTERVAL, self.gate_authority.phase
            )
        due = self.last_call + interval
        return ReadClock() if now >= due else Wait(due)

    def is_wanted(self, now: datetime.timedelta) -> bool:
        """Return whether a grant should be in force.

        Until the first one is accepted, earlier gates are not fenced, so the gate
        tries without requests too.
        """
        return (
            self.earlier_gates_end is not None or now < self.last_demand + IDLE_TIMEOUT
        )

    def compute_grant_due(self, now: datetime.timedelta) -> datetime.timedelta:
        """Return when the next grant is due."""
        if self.last_grant is None:
            return now
        if now < self.send_until:
            return self.last_grant + self.grant_settings.interval
        return self.last_grant + self.grant_settings.interval * REPEAT_INTERVAL_FRACTION

    def is_reading_usable(self, now: datetime.timedelta) -> bool:
        """Return whether the latest reading is recent enough for a grant.

        A reading that was requested before a refusal may show the state that led to
        the refusal, and is not used.
        """
        return (
            self.reading is not None
            and self.reading.sent >= self.refused_at
            and now - self.reading.received <= MAXIMUM_READING_AGE
        )

    def may_renew(self, now: datetime.timedelta) -> bool:
        """Return whether a grant may be sent.

        Not while the target is treated as lost, after the horizon, or with a higher
        term. A new boot id also requires a read of the gate row that was sent after the
        boot id was first received.
        """
        return (
            self.renewing
            and self.gate_authority.is_valid(now)
            and self.reading is not None
            and self.reading.boot == self.confirmed_boot
        )

    def may_send(self, now: datetime.timedelta) -> bool:
        """Return whether a request may be sent now."""
        return (
            self.gate_authority.higher_term is None
            and self.renewing
            and now < self.send_until
        )

    def has_sufficient_validity(self, now: datetime.timedelta) -> bool:
        """Return whether a request may be sent now without a renewal before it."""
        return self.may_send(now + MINIMUM_REMAINING_VALIDITY)

    def can_obtain_grant(self, now: datetime.timedelta) -> bool:
        """Return whether a clock reading and a grant suffice to send requests."""
        return self.earlier_gates_end is None and self.may_renew(now)

    def awaits_first_grant(self, now: datetime.timedelta) -> bool:
        """Return whether the gate has just started and has no accepted grant yet."""
        return (
            self.earlier_gates_end is not None
            and now < self.started + FIRST_GRANT_TIMEOUT
            and self.renewing
            and self.gate_authority.is_valid(now)
        )

    def compute_send_limit(self) -> datetime.timedelta:
        """Return the certain expiry of the last grant sent, to check `may_send`."""
        return self.own_expired_at

    def needs_row(self, now: datetime.timedelta) -> bool:
        """Return whether the gate row should be read now.

        Reads extend the horizon and confirm a new boot id.
        """
        return self.is_row_urgent(now) or now >= self.gate_authority.row_due

    def is_row_urgent(self, now: datetime.timedelta) -> bool:
        """Return whether the next grant has to wait for a read of the gate row."""
        return self.reading is not None and self.reading.boot != self.confirmed_boot

    def is_lost(self, now: datetime.timedelta) -> bool:
        """Return whether the target is treated as lost.

        The time counts from the first unanswered call, since a target without calls
        has nothing to answer.
        """
        if self.refused_connection:
            return True
        since = self.unanswered_since
        return since is not None and now >= since + LOSS_TIMEOUT

    def compute_expired_at(self) -> datetime.timedelta:
        """Return the time when all grants of this and earlier gates have expired."""
        if self.earlier_gates_end is None:
            return self.own_expired_at
        return max(self.own_expired_at, self.earlier_gates_end)

    def make_stamp(self, epoch: int, deadline: datetime.timedelta) -> data.GrantStamp:
        """Return the stamp of a request with the local `deadline`.

        The target's clock shows at least `clock` + (t - `received`) at local time
        t, so the stamped deadline is never later than the caller's.
        """
        return data.GrantStamp(
            self.gate_authority.term,
            epoch,
            self.reading.boot,
            self.reading.clock + (deadline - self.reading.received),
        )

    def clear_earlier_gates_end(self) -> None:
        """Stop waiting for earlier gates, which an operator declared dead."""
        self.earlier_gates_end = None

    # Events.

    def note_demand(self, now: datetime.timedelta) -> None:
        """Note that a request for the target is waiting or in progress."""
        self.last_demand = now

    def note_call_sent(self, now: datetime.timedelta) -> None:
        """Note that a clock request or a grant is being sent."""
        self.last_call = now
        self.clock_read_due = False
        self.closed_by_target = False
        if self.unanswered_since is None:
            self.unanswered_since = now

    def exclude_local_delay(self, late: datetime.timedelta) -> None:
        """Exclude time in which this process could not read answers."""
        if self.unanswered_since is not None:
            self.unanswered_since += late

    def note_grant_sent(
        self, reading: data.ClockReading, now: datetime.timedelta
    ) -> None:
        """Note that a grant on `reading` is being sent; it may never arrive."""
        self.last_grant = now
        self.earlier_grants_expired_at = self.own_expired_at
        self.own_expired_at = max(
            self.own_expired_at,
            compute_certain_expiry(reading.received, self.grant_settings),
        )

    def withdraw_grant(self) -> None:
        """Note that the last grant noted as sent was certainly not sent."""
        self.own_expired_at = self.earlier_grants_expired_at

    def receive_reading(self, reading: data.ClockReading) -> bool:
        """Apply a reading; return whether it shows a new boot id.

        A reading that was delivered late is ignored if the target may have restarted
        since: it is used only if it was requested after the current one had arrived,
        or shows the same boot id and is newer.
        """
        self.gate_authority.receive_term(reading.term)
        previous_reading = self.reading
        if previous_reading is not None:
            if (
                reading.boot != previous_reading.boot
                and reading.sent < previous_reading.received
            ):
                return False
            if (
                reading.boot == previous_reading.boot
                and reading.sent < previous_reading.sent
            ):
                return False
        self.unanswered_since = None
        self.refused_connection = False
        self.reading = reading
        if previous_reading is not None and reading.boot == previous_reading.boot:
            return False
        self.boot_received_at = reading.received
        self.confirmed_boot = None
        self.send_until = ZERO
        return previous_reading is not None

    def receive_acceptance(self, base: data.ClockReading) -> None:
        """Note that the target accepted the grant that built on `base`.

        Earlier gates are now fenced: the target refuses their term under this boot
        id, and under a later one they must read the gate row first, which shows the
        higher term.
        """
        self.earlier_gates_end = None
        if not self.renewing or base.sent < self.refused_at:
            return
        if self.reading is None or self.reading.boot != base.boot:
            return
        lifetime = self.grant_settings.lifetime * (1 - self.grant_settings.drift)
        self.send_until = max(
            self.send_until, base.sent + lifetime - self.grant_settings.margin
        )

    def receive_refusal(self, now: datetime.timedelta) -> None:
        """Note that the target refused a grant or a request as not permitted.

        The next reading shows the reason (higher term, new boot id, or expiry) and is
        due at once. Nothing is sent until a grant on it is accepted.
        """
        self.send_until = ZERO
        self.refused_at = now
        self.clock_read_due = True

    def receive_close(self) -> None:
        """Note that the target closed the control connection.

        The target may have ended, so its clock is read as soon as the interval of
        calls allows. The interval prevents a busy loop with a target that closes the
        connection after each answer.
        """
        self.closed_by_target = True

    def receive_connection_refused(self) -> None:
        """Note that nothing listens at the target's address."""
        self.refused_connection = True

    def receive_row(self, term: int, sent: datetime.timedelta) -> None:
        """Note a successful read of the gate's row that was sent at `sent`."""
        self.gate_authority.receive_row(term, sent)
        if term != self.gate_authority.term or self.reading is None:
            return
        if sent >= self.boot_received_at:
            self.confirmed_boot = self.reading.boot

    def clear_loss(self) -> None:
        """Do nothing: clock readings show whether the target answers again."""

    def suspend(self) -> None:
        """Stop renewals and sending, because the target is treated as lost."""
        self.renewing = False
        self.send_until = ZERO

    def resume(self) -> None:
        """Allow renewals again, because the target answered before it was evacuated."""
        self.renewing = True
