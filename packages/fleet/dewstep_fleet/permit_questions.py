"""Questions for permits of requests to targets with a limit, and their answers.

A member asks the coordinator, which asks nobody and issues its own permits by the same
rule.
"""

import asyncio
import datetime
import math
from collections.abc import Callable, Iterable

from dewstep_core import clocks
from dewstep_fleet import (
    frames,
    links,
    membership,
    permits,
    request_limits,
    roles,
)
from dewstep_fleet.warm_up import allowances

SETTLING_TIME = datetime.timedelta(milliseconds=1150)
"""Time for which the coordinator before may still issue permits, which are then valid:
the age of reports by which it counts its followers, and the validity of permits."""


class PermitQuestions:
    """The questions of this instance, and as the coordinator those of the members.

    Parameters
    ----------
    role : roles.Role
    own_membership : membership.Membership
    limits : request_limits.RequestLimits
    clock : clocks.Clock
    get_permit_part : callable
        Returns the part of each limit that this coordinator may use.
    """

    def __init__(
        self,
        role: roles.Role,
        own_membership: membership.Membership,
        limits: request_limits.RequestLimits,
        clock: clocks.Clock,
        get_permit_part: Callable[[], float],
    ):
        self.role = role
        self.membership = own_membership
        self.limits = limits
        self.clock = clock
        self.get_permit_part = get_permit_part
        self.last_question_at = -request_limits.MAX_QUESTION_INTERVAL
        self.question_scheduled = False
        self.reset()

    def reset(self) -> None:
        """Discard the permits of an earlier term."""
        self.issuer = permits.PermitIssuer()
        self.cold_issuer = permits.PermitIssuer()
        """Issues the permits for cold targets."""
        self.settled_at = self.clock.monotonic() + SETTLING_TIME

    def schedule(self) -> None:
        """Schedule a question for permits, unless one is scheduled."""
        if self.question_scheduled:
            return
        self.question_scheduled = True
        next_at = self.last_question_at + self.limits.get_question_interval()
        wait_s = (next_at - self.clock.monotonic()).total_seconds()
        asyncio.get_running_loop().call_later(max(wait_s, 0.0), self._send)

    def _send(self) -> None:
        self.question_scheduled = False
        question = self.limits.build_question()
        if question is None:
            return
        self.last_question_at = self.clock.monotonic()
        link = self.membership.coordinator_link
        if self.role.coordinating:
            issued = self.issue(question.wanted)
            self.limits.apply_answer(question.asked_ms, issued)
        elif link is not None:
            link.send(
                self.role.build_frame(
                    "need",
                    limits=self.limits.list_all(),
                    wanted=question.wanted,
                    asked_ms=question.asked_ms,
                )
            )

    def answer(self, link: links.Link, frame: frames.Frame) -> None:
        """Answer the question of a member."""
        self.limits.apply_observations(frame.limits, first_hand=False)
        issued = self.issue(frame.wanted)
        link.send(
            self.role.build_frame("permits", permits=issued, asked_ms=frame.asked_ms)
        )

    def issue(
        self, wanted: Iterable[frames.PermitRequest]
    ) -> tuple[frames.Permits, ...]:
        """Return the permits that an instance gets."""
        now = self.clock.monotonic()
        rates = self.limits.list_rates()
        part = self.get_permit_part()
        issued = []
        for item in wanted:
            cold_rate = min(
                self.limits.find_cold_rate(item.target), item.cold_rate or math.inf
            )
            cold = not math.isinf(cold_rate)
            if cold:
                issue = self._issue_cold(item, cold_rate, part, now)
            else:
                rate = rates.get(item.target, math.inf) * part
                issue = self.issuer.issue(item.target, item.life, rate, item.count, now)
            wait_ms = frames.round_up(issue.wait)
            issued.append(frames.Permits(item.target, issue.count, wait_ms, cold))
        return tuple(issued)

    def _issue_cold(
        self,
        item: frames.PermitRequest,
        rate: float,
        part: float,
        now: datetime.timedelta,
    ) -> permits.Issue:
        """Issue permits for a cold target, all incarnations of it together."""
        if now < self.settled_at:
            part = min(part, allowances.OTHER_PART)
        return self.cold_issuer.issue(
            item.target, 0, rate * part, item.count, now, allowances.BURST
        )

    def receive_answer(self, link: links.Link, frame: frames.Frame) -> None:
        """Apply the answer of the coordinator."""
        if link is self.membership.coordinator_link and self.role.is_current(
            link, frame
        ):
            self.limits.apply_answer(frame.asked_ms, frame.permits)
