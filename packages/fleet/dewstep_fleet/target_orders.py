"""Orders to one process of a target.

An order names keys and a number, and is sent to an address at which the process may
have been replaced by another one. Two rules make it reach the intended process or none:

- Each order carries the target's name, and any other target rejects it.
- A number is sent over one connection only. If targets restart under their name, no
  number is sent before the term was confirmed after the connection was opened. A
  process that has started under the same name thus receives higher numbers than all
  processes before it, also if these had them from another coordinator. Without the
  store, the term counts as confirmed only while all instances follow the coordinator.

An order that another target answers shows that the intended process has ended, and its
grants with it. A restart under the same name does not show: the next process may have
accepted orders for the previous one.

An answer names no order, and a faulty target may repeat an earlier one. The answer to a
fence ends an ownership, so a fence is the first order on its connection.
"""

import asyncio
import datetime
from collections.abc import Awaitable, Callable
from typing import Any

from returns import result

from dewstep_core import clocks, errors, events
from dewstep_fleet import model, numbering, outstanding, registrations

SKIPPED = "skipped"
"""Result of a grant that was no longer due."""


class TargetOrders:
    """Sends orders to one incarnation of a target, grants one at a time.

    Parameters
    ----------
    channel : model.GrantChannel
    clock : clocks.Clock
    term : int
        Term of the coordinator, for log lines.
    may_send : callable
        Whether this instance may still act as the coordinator.
    confirm_term : callable
        Whether this instance was still the coordinator after a given time.
    choose_duration : callable
        Returns the duration of a grant that is sent now.
    """

    def __init__(
        self,
        channel: model.GrantChannel,
        clock: clocks.Clock,
        term: int,
        may_send: Callable[[], bool],
        confirm_term: Callable[[datetime.timedelta], Awaitable[bool]],
        choose_duration: Callable[[], datetime.timedelta],
    ):
        self.channel = channel
        self.clock = clock
        self.term = term
        self.may_send = may_send
        self.confirm_term = confirm_term
        self.choose_duration = choose_duration
        self.lock = asyncio.Lock()
        """Held while a grant is in progress."""
        self.connection: model.GrantConnection | None = None
        self.numbering = numbering.Numbering()
        self.outstanding = outstanding.build_ended(clock.monotonic())

    async def grant(
        self,
        target: model.Target,
        holding: model.Holding,
        handover: str,
        is_due: Callable[[], bool] = lambda: True,
        on_new_connection: bool = False,
    ) -> result.Result[str | None, Any]:
        """Grant or renew a range.

        Parameters
        ----------
        target, holding, handover
            As `model.GrantConnection.grant`; `holding` has its generation number.
        is_due : callable, optional
            Asked when earlier orders have ended, and again before the order is sent;
            the result is `SKIPPED` if the answer is false.
        on_new_connection : bool, optional
            Whether only this order may have been sent on the connection, so that the
            answer cannot be that to an earlier one.

        Returns
        -------
        Result
            `TargetUnavailable`, `TermUnconfirmed` or `NumbersUsedUp` if nothing was
            sent, or the failures of `model.GrantConnection.grant`.
        """
        async with self.lock:
            if not is_due():
                return result.Success(SKIPPED)
            if on_new_connection:
                self.close()
            opened = await self._ensure_connection(target)
            if isinstance(opened, result.Failure):
                return opened
            if not is_due():
                return result.Success(SKIPPED)
            if not self.may_send():
                return result.Failure(model.TermUnconfirmed(target.name))
            is_first = not self.numbering.is_sent(holding.generation)
            number = self.numbering.choose_number(holding.generation)
            if number is None:
                failure = model.NumbersUsedUp(target.name, holding.generation)
                return result.Failure(failure)
            numbered = holding._replace(generation=number)
            return await self._send_grant(target, numbered, handover, is_first)

    async def release(
        self, target: model.Target, holding: model.Holding
    ) -> result.Result[str, Any]:
        """End the ownership of a range; returns as `model.GrantChannel.release`."""
        number = self.numbering.get_last_number(holding.generation)
        outcome = await self.channel.release(
            target, holding._replace(generation=number)
        )
        if isinstance(outcome, result.Failure):
            self._record_failure(outcome.failure())
        return outcome

    def record_inherited(self, expiry: datetime.timedelta) -> None:
        """Assume grants of the previous coordinator; see `outstanding`."""
        self.outstanding = outstanding.record_inherited(self.outstanding, expiry)

    def exclude_inherited(self, accepted_since: datetime.timedelta) -> None:
        """Record that the target rejects orders of the previous coordinator."""
        self.outstanding = outstanding.exclude_inherited(
            self.outstanding, accepted_since
        )

    def take_over(self, previous: "TargetOrders") -> None:
        """Take over the grants of an earlier incarnation of the target.

        Its last orders may have reached this process before it was registered.
        """
        self.outstanding = outstanding.take_over(self.outstanding, previous.outstanding)
        previous.record_process_end()

    def record_process_end(self) -> None:
        """Record that the process has ended, and its grants with it."""
        self.outstanding = outstanding.build_ended(self.clock.monotonic())
        self.close()

    def close(self) -> None:
        """Close the connection for grants."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    async def _ensure_connection(
        self, target: model.Target
    ) -> result.Result[None, errors.TargetUnavailable | model.TermUnconfirmed]:
        if self.connection is not None:
            if self.connection.is_usable():
                return result.Success(None)
            self.close()
        opened = await self.channel.connect(target)
        if isinstance(opened, result.Failure):
            return opened
        connection = opened.unwrap()
        if target.life and not await self._is_term_confirmed(connection):
            return result.Failure(model.TermUnconfirmed(target.name))
        self.connection = connection
        self.numbering.begin_connection()
        events.info(
            "order_connection",
            target=target.name,
            life=target.life,
            address=registrations.format_address(target),
            connection=self.numbering.connection,
        )
        return result.Success(None)

    async def _is_term_confirmed(self, connection: model.GrantConnection) -> bool:
        """Whether the term is confirmed; otherwise, close the new connection.

        Only a confirmation from after the connection was opened counts: until then,
        another coordinator could have sent higher numbers to an earlier process.
        """
        confirmed = False
        try:
            confirmed = await self.confirm_term(self.clock.monotonic())
        finally:
            if not confirmed:
                connection.close()
        return confirmed

    async def _send_grant(
        self,
        target: model.Target,
        holding: model.Holding,
        handover: str,
        is_first: bool,
    ) -> result.Result[None, Any]:
        duration = self.choose_duration()
        began = self.clock.monotonic()
        self.outstanding = outstanding.record_sending(self.outstanding, began, duration)
        outcome = await self.connection.grant(holding, duration, handover)
        now = self.clock.monotonic()
        failure = None
        record = outstanding.record_answer
        if isinstance(outcome, result.Failure):
            failure = outcome.failure()
            record = outstanding.record_lost_answer
        self.outstanding = record(self.outstanding, now, duration)
        self._record_failure(failure)
        self._log_grant(target, holding, duration, now - began, is_first, failure)
        return outcome

    def _record_failure(self, failure: Any) -> None:
        if isinstance(failure, model.TargetReplaced):
            self.record_process_end()

    def _log_grant(
        self,
        target: model.Target,
        holding: model.Holding,
        duration: datetime.timedelta,
        lasted: datetime.timedelta,
        is_first: bool,
        failure: Any,
    ) -> None:
        """Log the first grant under a number, and any overdue grant."""
        if lasted > outstanding.ORDER_TIMEOUT + outstanding.MAX_TRANSIT:
            # The order may have been sent after the term was last checked.
            events.warning(
                "grant_overdue",
                target=target.name,
                life=target.life,
                generation=holding.generation,
                term=self.term,
                lasted=lasted,
                failure=failure,
            )
        if not is_first:
            return
        events.info(
            "grant_sent",
            service=target.service,
            target=target.name,
            life=target.life,
            address=registrations.format_address(target),
            connection=self.numbering.connection,
            first=holding.first,
            last=holding.last,
            generation=holding.generation,
            term=self.term,
            duration=duration,
            lasted=lasted,
            failure=failure,
            grants_left=self.outstanding.expiry - self.clock.monotonic(),
        )
