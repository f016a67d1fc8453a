"""The loops that carry out what a grant's state machine plans."""

import asyncio
import datetime
from collections.abc import Callable

from returns import result

from dewstep_core import clock as clocks, data, errors, events
from dewstep_entry import interfaces
from dewstep_entry.gate import grants, rows, timing, unfenced

# Longest wait for the answer to a clock question or a grant. Two of them fit into
# the time after which a target counts as lost.
CALL_TIMEOUT = datetime.timedelta(milliseconds=200)

# Pause after a failed read of the gate's row, for a target that waits for it and for
# one that does not. The second is long so that all gates together do not overload a
# table service that comes back.
ROW_RETRY = datetime.timedelta(milliseconds=250)
IDLE_ROW_RETRY = datetime.timedelta(seconds=5)

# Longest sleep of both loops.
LONGEST_SLEEP = datetime.timedelta(milliseconds=100)

# A channel names this reason when nothing listens at the target's address.
CONNECTION_REFUSED = "refused"


def is_refused_connection(failure: interfaces.Failure) -> bool:
    """Return whether nothing listens at the target's address."""
    return (
        isinstance(failure, errors.TargetUnavailable)
        and CONNECTION_REFUSED in failure.reason
    )


class Renewal:
    """Renews the grant of one fenced target and reads its gate row.

    Parameters
    ----------
    grant : unfenced.Permission
        State machine that decides.
    target : str
        Name of the target.
    channel, table, clock
        The target's control connection, the table service and the time.
    on_restart : Callable[[str], None]
        Receives a new boot id.
    on_change : Callable[[], None]
        Called after each step, so that the gate can look for losses.
    """

    def __init__(
        self,
        grant: unfenced.Permission,
        target: str,
        channel: interfaces.TargetChannel,
        table: interfaces.TableClient,
        clock: clocks.Clock,
        on_restart: Callable[[str], None],
        on_change: Callable[[], None],
    ):
        self.grant = grant
        self.target = target
        self.channel = channel
        self.table = table
        self.clock = clock
        self.on_restart = on_restart
        self.on_change = on_change
        self.target_due = asyncio.Event()
        self.row_due = asyncio.Event()

    def wake(self) -> None:
        """Make both loops look again at what is due."""
        self.target_due.set()
        self.row_due.set()

    async def run_target_loop(self) -> None:
        """Ask for the clock and send grants until a higher term is known."""
        while True:
            now = self.clock.monotonic()
            action = self.grant.plan(now)
            self.on_change()
            match action:
                case grants.Stop():
                    return
                case grants.Wait(until=until):
                    pause = min(until - now, LONGEST_SLEEP)
                    await timing.wait_event(self.clock, self.target_due, pause)
                    self.target_due.clear()
                case grants.ReadClock():
                    await self.read_clock()
                case grants.SendGrant(grant=grant, reading=reading):
                    await self.send_grant(grant, reading)

    async def run_watch_loop(self) -> None:
        """Look for the loss of an unfenced target, which is asked nothing."""
        while True:
            await self.clock.sleep(LONGEST_SLEEP)
            self.on_change()

    async def read_clock(self) -> None:
        """Ask the target for its clock."""
        self.grant.start_call(self.clock.monotonic())
        done, outcome = await timing.wait_at_most(
            self.clock, self.channel.read_clock(), CALL_TIMEOUT
        )
        if done:
            self.receive_answer(outcome)

    async def send_grant(self, grant: data.Grant, reading: data.ClockReading) -> None:
        """Send one grant."""
        now = self.clock.monotonic()
        self.grant.start_call(now)
        self.grant.start_grant(reading, now)
        done, outcome = await timing.wait_at_most(
            self.clock, self.channel.send_grant(grant), CALL_TIMEOUT
        )
        if not done:
            return
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
        """Take over the reading in an answer, or note why there is none."""
        if isinstance(outcome, result.Failure):
            failure = outcome.failure()
            if is_refused_connection(failure):
                self.grant.receive_connection_refused()
            return
        reading = outcome.unwrap()
        if self.grant.receive_reading(reading):
            self.on_restart(reading.boot)
        if self.grant.is_row_urgent(self.clock.monotonic()):
            self.row_due.set()

    async def run_row_loop(self) -> None:
        """Read the gate row whenever the grant's rules need it."""
        while self.grant.tenure.higher_term is None:
            if not self.grant.needs_row(self.clock.monotonic()):
                await timing.wait_event(self.clock, self.row_due, LONGEST_SLEEP)
                self.row_due.clear()
                continue
            if not await self.read_row():
                await self.pause_row_loop()
            self.target_due.set()

    async def pause_row_loop(self) -> None:
        """Pause after a failed read; a new boot id ends a long pause."""
        if self.grant.is_row_urgent(self.clock.monotonic()):
            await self.clock.sleep(ROW_RETRY)
            return
        await timing.wait_event(self.clock, self.row_due, IDLE_ROW_RETRY)
        self.row_due.clear()

    async def read_row(self) -> bool:
        """Read the gate row once; return whether it shows the own term."""
        sent = self.clock.monotonic()
        outcome = await self.table.read(rows.name_gate(self.target))
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
        return term == self.grant.tenure.term
