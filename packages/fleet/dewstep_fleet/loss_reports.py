"""Crashes and departures of targets, of which the instances tell one another.

A member sends what it has observed with its next report. The coordinator sends the
counts of crashes, and the departures, to all members with its next heartbeat.
"""

import datetime

from dewstep_core import clocks, events
from dewstep_fleet import crash_counts, directories, frames, roles


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
        self.unsent_crashes: dict[tuple, frames.Crash] = {}
        """Crashes for the next heartbeat or report, by request and target."""
        self.unsent_departures: list[frames.Departure] = []
        """Departures of targets for the next heartbeat or report."""

    def take_unsent(
        self,
    ) -> tuple[tuple[frames.Crash, ...], tuple[frames.Departure, ...]]:
        """Return the crashes and departures that have not been sent, as sent."""
        crashes = tuple(self.unsent_crashes.values())
        self.unsent_crashes = {}
        departures, self.unsent_departures = tuple(self.unsent_departures), []
        return crashes, departures

    def record_completion(self, fingerprint: bytes) -> None:
        """Clear a request that a target has completed of all suspicions."""
        if self.crash_counts.clear(fingerprint):
            events.info("crash_cleared", fingerprint=fingerprint.hex())
            self._add_unsent_crash(frames.Crash(fingerprint, 0))

    def count_crash(self, crash: frames.Crash) -> None:
        """Count a crash that this instance or a member has observed."""
        if not crash.count:
            self.record_completion(crash.fingerprint)
            return
        now = self.clock.monotonic()
        counted = self.crash_counts.add(
            crash.fingerprint, crash.target, crash.life, now
        )
        count = self.crash_counts.get(crash.fingerprint)
        if counted:
            events.info(
                "crash_counted",
                fingerprint=crash.fingerprint.hex(),
                target=crash.target,
                life=crash.life,
                count=count,
            )
        if not self.role.coordinating:
            self._add_unsent_crash(crash)
        elif counted:
            self._add_unsent_crash(frames.Crash(crash.fingerprint, count))

    def _add_unsent_crash(self, crash: frames.Crash) -> None:
        """Send a crash with the next heartbeat or report."""
        row = crash.fingerprint, crash.target, crash.life
        self.unsent_crashes[row] = crash

    def record_departure(self, target: str, life: int) -> None:
        """Record that a target is leaving, and tell the other instances."""
        if self.directory.record_departure(target, life):
            self.unsent_departures.append(frames.Departure(target, life))

    def receive_report(self, frame: frames.Frame) -> None:
        """Record what a member has observed."""
        for crash in frame.crashes:
            self.count_crash(crash)
        for departure in frame.departures:
            self.record_departure(*departure)

    def receive_heartbeat(self, frame: frames.Frame, now: datetime.timedelta) -> None:
        """Take over the counts and departures that the coordinator sends."""
        for crash in frame.crashes:
            self.crash_counts.apply(crash.fingerprint, crash.count, now)
        for departure in frame.departures:
            self.directory.record_departure(*departure)
