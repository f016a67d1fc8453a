"""Loops that execute the actions planned by a grant's state machine."""

import asyncio
import datetime
from collections.abc import Callable

from returns import result

from dewstep_core import clocks, data, errors, events
from dewstep_entry import interfaces
from dewstep_entry.gate import grants, rows, timing, unfenced

# Longest wait for the answer to a clock request or a grant. Two of them fit into the
# time after which a target is treated as lost.
CALL_TIMEOUT = datetime.timedelta(milliseconds=200)

# Pause after a failed read of the gate row, if the next grant waits for the read and if
# not. The second is long so that all gates together do not overload a table service
# that has just become available again.
ROW_RETRY_PAUSE = datetime.timedelta(milliseconds=250)
IDLE_ROW_RETRY_PAUSE = datetime.timedelta(seconds=5)

# Interval at which the gate of an unfenced target checks whether it is lost.
LOSS_CHECK_INTERVAL = datetime.timedelta(milliseconds=100)

# Longest wait of a request for the grant of an idle target or a new gate. A target that
# does not answer is treated as lost earlier.
GRANT_WAIT_LIMIT = datetime.timedelta(milliseconds=500)

# Part of a channel's failure reason when nothing listens at the target's address.
CONNECTION_REFUSED = "refused"


def is_refused_connection(failure: interfaces.Failure) -> bool:
    """Return whether nothing listens at the target's address."""
    return (
        isinstance(failure, errors.TargetUnavailable)
        and CONNECTION_REFUSED in failure.reason
    )


class GrantRenewer:
    """Reads the gate row of one target and, if it is fenced, renews its grant.

    Parameters
    ----------
    grant : unfenced.Permission
        State machine that plans the calls to the target.
    target : str
        Name of the target.
    channel, table, clock
        Connection to the target, client of the table service, and clock.
    on_restart : Callable[[str], None]
        Receives a new boot id.
    on_step : Callable[[], None]
        Called after each step, so that the gate can check whether the target is lost.
    needs_grant : Callable[[], bool]
        Returns whether the gate or requests at the target need the grant.
    """

    def __init__(
        self,
        grant: unfenced.Permission,
        target: str,
        channel: interfaces.TargetChannel,
        table: interfaces.TableClient,
        clock: clocks.Clock,
        on_restart: Callable[[str], None],
        on_step: Callable[[], None],
        needs_grant: Callable[[], bool],
    ):
        self.grant = grant
        self.target = target
        self.channel = channel
        self.table = table
        self.clock = clock
        self.on_restart = on_restart
        self.on_step = on_step
        self.needs_grant = needs_grant
        self.grant_checked = asyncio.Event()
        """Set, and replaced by a new one, at each step of the target loop."""
        self.target_wakeup = asyncio.Event()
        self.row_wakeup = asyncio.Event()
        channel.on_control_close(self.receive_close)

    def wake_loops(self) -> None:
        """Make both loops check again what is due."""
        self.target_wakeup.set()
        self.row_wakeup.set()

    def receive_close(self) -> None:
        """Note that the target closed the control connection."""
        self.grant.receive_close()
        self.target_wakeup.set()

    def can_accept_requests(self) -> bool:
        """Return whether requests may be sent now, or once a grant is obtained."""
        now = self.clock.monotonic()
        return self.grant.may_send(now) or self.grant.can_obtain_grant(now)

    def note_demand(self) -> None:
        """Note that a request needs a grant, which is obtained or kept in force."""
        now = self.clock.monotonic()
        if not self.grant.is_wanted(now):
            self.target_wakeup.set()
        self.grant.note_demand(now)

    async def obtain_grant(self, deadline: datetime.timedelta) -> None:
        """Wait for the grant of a new gate or of a target without recent requests."""
        self.note_demand()
        now = self.clock.monotonic()
        end = min(deadline, now + GRANT_WAIT_LIMIT)
        while (
            now < end
            and not self.grant.has_sufficient_validity(now)
            and (self.grant.can_obtain_grant(now) or self.grant.awaits_first_grant(now))
        ):
            await timing.wait_event(self.clock, self.grant_checked, end - now)
            now = self.clock.monotonic()

    def notify_step(self) -> None:
        """Notify the gate and the waiting requests, which check the grant again."""
        self.on_step()
        self.grant_checked.set()
        self.grant_checked = asyncio.Event()

    def exclude_delay_since(self, due: datetime.timedelta) -> None:
        """Exclude the time since `due` from the target's unanswered time.

        If this process was paused or busy, answers may be waiting in the socket.
        """
        late = self.clock.monotonic() - due
        if late > datetime.timedelta():
            self.grant.exclude_local_delay(late)

    async def run_target_loop(self) -> None:
        """Read the clock and send grants until a higher term is known."""
        while True:
            now = self.clock.monotonic()
            if self.needs_grant():
                self.grant.note_demand(now)
            action = self.grant.plan_action(now)
            self.notify_step()
            match action:
                case grants.Stop():
                    return
                case grants.Wait(until=until):
                    await timing.wait_event(self.clock, self.target_wakeup, until - now)
                    self.target_wakeup.clear()
                    self.exclude_delay_since(until)
                case grants.ReadClock():
                    await self.read_clock()
                case grants.SendGrant(grant=grant, reading=reading):
                    await self.send_grant(grant, reading)

    async def run_loss_check_loop(self) -> None:
        """Check an unfenced target for loss; it gets no clock requests or grants."""
        while True:
            await self.clock.sleep(LOSS_CHECK_INTERVAL)
            self.on_step()

    async def read_clock(self) -> None:
        """Read the target's clock once."""
        now = self.clock.monotonic()
        self.grant.note_call_sent(now)
        done, outcome = await timing.wait_at_most(
            self.clock, self.channel.read_clock(), CALL_TIMEOUT
        )
        self.exclude_delay_since(now + CALL_TIMEOUT)
        if done:
            self.receive_answer(outcome)

    async def send_grant(self, grant: data.Grant, reading: data.ClockReading) -> None:
        """Send one grant and process the answer."""
        now = self.clock.monotonic()
        self.grant.note_call_sent(now)
        self.grant.note_grant_sent(reading, now)
        done, outcome = await timing.wait_at_most(
            self.clock, self.channel.send_grant(grant), CALL_TIMEOUT
        )
        self.exclude_delay_since(now + CALL_TIMEOUT)
        if not done:
            return
        if isinstance(outcome, result.Failure) and isinstance(
            outcome.failure(), errors.TargetUnavailable
        ):
            self.grant.withdraw_grant()
        if isinstance(outcome, result.Failure) and isinstance(
            outcome.failure(), errors.TargetRefused
        ):
            events.info(
                "grant_refused", target=self.target, term=grant.term, boot=grant.boot
            )
            self.grant.receive_refusal(self.clock.monotonic())
            return
        if isinstance(outcome, result.Success):
            self.grant.receive_acceptance(reading)
        self.receive_answer(outcome)

    def receive_answer(
        self, outcome: result.Result[data.ClockReading, interfaces.Failure]
    ) -> None:
        """Apply the reading in an answer, or note a refused connection."""
        if isinstance(outcome, result.Failure):
            failure = outcome.failure()
            if is_refused_connection(failure):
                self.grant.receive_connection_refused()
            return
        reading = outcome.unwrap()
        if self.grant.receive_reading(reading):
            self.on_restart(reading.boot)
        if self.grant.is_row_urgent(self.clock.monotonic()):
            self.row_wakeup.set()

    async def run_row_loop(self) -> None:
        """Read the gate row whenever it is due, until a higher term is known."""
        while self.grant.gate_authority.higher_term is None:
            now = self.clock.monotonic()
            if not self.grant.needs_row(now):
                left = self.grant.gate_authority.row_due - now
                await timing.wait_event(self.clock, self.row_wakeup, left)
                self.row_wakeup.clear()
                continue
            if not await self.read_row():
                await self.pause_row_loop()
            self.target_wakeup.set()

    async def pause_row_loop(self) -> None:
        """Pause after a failed read; a new boot id ends a long pause."""
        if self.grant.is_row_urgent(self.clock.monotonic()):
            await self.clock.sleep(ROW_RETRY_PAUSE)
            return
        await timing.wait_event(self.clock, self.row_wakeup, IDLE_ROW_RETRY_PAUSE)
        self.row_wakeup.clear()

    async def read_row(self) -> bool:
        """Read the gate row once; return whether it shows this gate's term."""
        sent = self.clock.monotonic()
        outcome = await self.table.read(rows.make_gate_key(self.target))
        if isinstance(outcome, result.Failure):
            return False
        row = outcome.unwrap()
        if row.value is None:
            return False
        decoded = rows.decode_gate(row, datetime.timedelta())
        if isinstance(decoded, result.Failure):
            events.error("row_refused", failure=decoded.failure())
            return False
        term = decoded.unwrap().row.term
        self.grant.receive_row(term, sent)
        return term == self.grant.gate_authority.term
