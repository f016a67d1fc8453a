"""Crashes and departures of targets, of which the instances tell one another.

A member sends what it has observed with its next report. The coordinator sends the
counts of crashes, and the departures, to all members with its next heartbeat, and to a
member that links later with the rows that it lacks.
"""

import datetime

from dewstep_core import clocks, events
from dewstep_fleet import crash_counts, directories, frames, registrations, roles


class LossReports:
    """What this instance knows of crashes, and what it has not yet sent.

    Parameters
    ----------
    role : roles.Role
    directory : directories.Directory
    clock : clocks.Clock
    """

    def __init__(
        self, role: roles.Role, directory: directories.Directory, clock: clocks.Clock
    ):
        self.role = role
        self.directory = directory
        self.clock = clock
        self.crash_counts = crash_counts.CrashCounts()
        self.unsent_losses: dict[tuple[bytes, str, int], crash_counts.Loss] = {}
        """Losses for the next report, by request, target and incarnation."""
        self.unsent_counts: dict[bytes, int] = {}
        """Changed counts of losses for the next heartbeat, by request; 0 also for the
        next report."""
        self.unsent_departures: list[frames.Departure] = []
        """Departures of targets for the next heartbeat or report."""

    def take_unsent(
        self,
    ) -> tuple[tuple[frames.Crash, ...], tuple[frames.Departure, ...]]:
        """Return the crashes and departures that have not been sent, as sent."""
        departures, self.unsent_departures = tuple(self.unsent_departures), []
        return self._take_crashes(), departures

    def _take_crashes(self) -> tuple[frames.Crash, ...]:
        """Return the counts or the losses that have not been sent, as sent.

        A coordinator sends counts, a member the losses that it has seen itself, and
        which requests have been completed.
        """
        now = self.clock.monotonic()
        counts, self.unsent_counts = self.unsent_counts, {}
        losses, self.unsent_losses = self.unsent_losses, {}
        if self.role.coordinating:
            return tuple(frames.Crash(*item) for item in counts.items())
        reports = [
            frames.Crash(
                fingerprint,
                1,
                loss.target,
                loss.life,
                frames.to_milliseconds(now - loss.sent_at),
                frames.to_milliseconds(now - loss.lost_at),
            )
            for (fingerprint, _, _), loss in losses.items()
        ]
        # A request that was completed after its losses were seen is cleared of them.
        cleared = [frames.Crash(item, 0) for item, count in counts.items() if not count]
        return (*reports, *cleared)

    def list_known(
        self,
    ) -> tuple[tuple[frames.Crash, ...], tuple[frames.Departure, ...]]:
        """Return all counts and departures, for a member that has just linked."""
        counts = self.crash_counts.list_counts(self.clock.monotonic())
        announced = self.directory.registrations.list_announced()
        return (
            tuple(frames.Crash(*item) for item in counts),
            tuple(frames.Departure(*item) for item in announced),
        )

    def receive_known(self, frame: frames.Frame, now: datetime.timedelta) -> None:
        """Take over the counts and departures of before this instance linked."""
        for crash in frame.crashes:
            self.crash_counts.apply(crash.fingerprint, crash.count, now)
        for departure in frame.departures:
            age = registrations.UNKNOWN_DEPARTURE_AGE
            self.directory.record_departure(*departure, age)

    def record_crash(self, fingerprint: bytes, loss: crash_counts.Loss) -> None:
        """Record the loss of a target while a request was in progress there."""
        self.unsent_losses[fingerprint, loss.target, loss.life] = loss
        self._count(fingerprint, loss)

    def record_completion(self, fingerprint: bytes) -> None:
        """Clear a request that a target has completed of all suspicions."""
        if self.crash_counts.clear(fingerprint, self.clock.monotonic()):
            events.info("crash_cleared", fingerprint=fingerprint.hex())
            self.unsent_counts[fingerprint] = 0

    def _receive_crash(self, crash: frames.Crash) -> None:
        """Count a loss that a member reports, or clear a request."""
        if not crash.count:
            self.record_completion(crash.fingerprint)
            return
        now = self.clock.monotonic()
        loss = crash_counts.Loss(
            crash.target,
            crash.life,
            now - datetime.timedelta(milliseconds=crash.sent_age_ms),
            now - datetime.timedelta(milliseconds=crash.lost_age_ms),
        )
        self._count(crash.fingerprint, loss)

    def _count(self, fingerprint: bytes, loss: crash_counts.Loss) -> None:
        now = self.clock.monotonic()
        if not self.crash_counts.add(fingerprint, loss, now):
            return
        count = self.crash_counts.get(fingerprint, now)
        events.info(
            "crash_counted",
            fingerprint=fingerprint.hex(),
            target=loss.target,
            life=loss.life,
            count=count,
        )
        if self.role.coordinating:
            self.unsent_counts[fingerprint] = count

    def record_departure(self, target: str, life: int) -> None:
        """Record that a target is leaving, and tell the other instances."""
        if self.directory.record_departure(target, life):
            self.unsent_departures.append(frames.Departure(target, life))

    def receive_report(self, frame: frames.Frame) -> None:
        """Record what a member has observed."""
        for crash in frame.crashes:
            self._receive_crash(crash)
        for departure in frame.departures:
            self.record_departure(*departure)

    def receive_heartbeat(self, frame: frames.Frame, now: datetime.timedelta) -> None:
        """Take over the counts and departures that the coordinator sends."""
        for crash in frame.crashes:
            self.crash_counts.apply(crash.fingerprint, crash.count, now)
        for departure in frame.departures:
            self.directory.record_departure(*departure)
