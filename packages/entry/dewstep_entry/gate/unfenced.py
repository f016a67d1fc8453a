"""Permission to send to an unfenced target, as a state machine that performs no I/O.

An unfenced target checks no grants. Its gate may send until its horizon has passed, and
from the time at which no earlier gate may send.
"""

import datetime

from dewstep_core import data, settings
from dewstep_entry.gate import authority, grants

ZERO = datetime.timedelta()


class UnfencedGrant:
    """Permission to send to an unfenced target.

    The interface of `grants.FencedGrant`, without calls to the target.
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
        self.earlier_gates_end = earlier_gates_end
        self.latest_failed_deadline = ZERO
        self.failing_since: datetime.timedelta | None = None
        self.last_failure = ZERO
        self.renewing = True

    def may_send(self, now: datetime.timedelta) -> bool:
        """Return whether a request may be sent now."""
        return (
            self.renewing
            and self.gate_authority.is_valid(now)
            and now >= self.earlier_gates_end
        )

    def is_wanted(self, now: datetime.timedelta) -> bool:
        """Return True: the permission does not lapse without requests."""
        return True

    def note_demand(self, now: datetime.timedelta) -> None:
        """Do nothing, since there is no grant to renew."""

    def has_sufficient_validity(self, now: datetime.timedelta) -> bool:
        """Return True, since no grant has to be obtained before a request is sent."""
        return True

    def can_obtain_grant(self, now: datetime.timedelta) -> bool:
        """Return False, since no call to the target gives permission."""
        return False

    def awaits_first_grant(self, now: datetime.timedelta) -> bool:
        """Return False, since an unfenced target gets no grants."""
        return False

    def compute_send_limit(self) -> datetime.timedelta:
        """Return the end of the horizon, to check `may_send`."""
        return self.gate_authority.horizon_end

    def needs_row(self, now: datetime.timedelta) -> bool:
        """Return whether the gate row should be read now."""
        return now >= self.gate_authority.row_due

    def is_row_urgent(self, now: datetime.timedelta) -> bool:
        """Return whether sending has to wait for a read of the gate row."""
        return now >= self.gate_authority.horizon_end

    def receive_row(self, term: int, sent: datetime.timedelta) -> None:
        """Note a successful read of the gate's row that was sent at `sent`."""
        self.gate_authority.receive_row(term, sent)

    def receive_outcome(
        self, reached: bool, deadline: datetime.timedelta, now: datetime.timedelta
    ) -> None:
        """Note whether an exchange reached the target.

        A request whose connection broke may continue until its deadline.
        """
        if reached:
            self.failing_since = None
            return
        self.last_failure = now
        self.latest_failed_deadline = max(self.latest_failed_deadline, deadline)
        if self.failing_since is None:
            self.failing_since = now

    def is_lost(self, now: datetime.timedelta) -> bool:
        """Return whether exchanges have failed for long enough.

        One failure is not enough, however old it is: it may be a single slow request at
        a target with little traffic.
        """
        return (
            self.failing_since is not None
            and self.last_failure >= self.failing_since + grants.LOSS_TIMEOUT
        )

    def compute_expired_at(self) -> datetime.timedelta:
        """Return the time from which no request of any gate is expected to run."""
        return max(self.latest_failed_deadline, self.earlier_gates_end)

    def clear_earlier_gates_end(self) -> None:
        """Stop waiting for earlier gates, which an operator declared dead."""
        self.earlier_gates_end = ZERO

    def make_stamp(self, epoch: int, deadline: datetime.timedelta) -> data.GrantStamp:
        """Return a stamp without boot id and deadline, which are unknown here."""
        return data.GrantStamp(self.gate_authority.term, epoch, "", ZERO)

    def clear_loss(self) -> None:
        """Allow requests again, since only they show whether the target answers."""
        self.failing_since = None

    def suspend(self) -> None:
        """Stop sending, because the target is treated as lost."""
        self.renewing = False

    def resume(self) -> None:
        """Allow sending again."""
        self.renewing = True
        self.failing_since = None


Permission = grants.FencedGrant | UnfencedGrant
