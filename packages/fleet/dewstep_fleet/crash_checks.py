"""Finds out which requests may have crashed a target.

A network fault may look like a crash, so one is counted only once the target refuses
connections and its registration has ended as well.
"""

import asyncio
import datetime
from typing import NamedTuple

from dewstep_core import clocks, events, tasks
from dewstep_fleet import (
    coordination,
    crash_counts,
    directories,
    model,
    request_plans,
    target_pools,
)

CRASH_CONFIRMATION_PERIOD = datetime.timedelta(seconds=6)
"""Time within which the registration of a crashed target expires: three of its
heartbeats, doubled for a slow store."""


class CrashSuspicion(NamedTuple):
    """A request that may have crashed a target."""

    fingerprint: bytes
    loss: crash_counts.Loss


class CrashChecks:
    """The suspicions of this instance.

    Parameters
    ----------
    directory : directories.Directory
    participant : coordination.FleetParticipant
        Counts the crashes of all instances.
    clock : clocks.Clock
    background_tasks : tasks.TaskOwner
    """

    def __init__(
        self,
        directory: directories.Directory,
        participant: coordination.FleetParticipant,
        clock: clocks.Clock,
        background_tasks: tasks.TaskOwner,
    ):
        self.directory = directory
        self.participant = participant
        self.clock = clock
        self.background_tasks = background_tasks
        self.suspicions: dict[str, set[CrashSuspicion]] = {}
        """Requests that may have crashed a target, by target."""

    def check(
        self,
        plan: request_plans.PlannedRequest,
        target: model.Target,
        sent_at: datetime.timedelta,
    ) -> None:
        """Suspect a crash if the target refuses connections after a lost connection.

        A network fault may look the same, so the crash is counted only once the
        target's registration has ended as well.
        """
        registered = self.directory.targets.get(target.name)
        lost_at = self.clock.monotonic()

        async def connect() -> None:
            try:
                async with asyncio.timeout(
                    target_pools.CONNECT_TIMEOUT.total_seconds()
                ):
                    _, writer = await asyncio.open_connection(target.host, target.port)
                writer.close()
            except ConnectionRefusedError:
                events.info(
                    "crash_suspected",
                    request_id=plan.request.request_id,
                    fingerprint=plan.fingerprint.hex(),
                    target=target.name,
                )
                loss = crash_counts.Loss(target.name, target.life, sent_at, lost_at)
                suspicion = CrashSuspicion(plan.fingerprint, loss)
                self.suspicions.setdefault(target.name, set()).add(suspicion)
            except OSError as error:
                # Without an answer, it is unknown whether the target crashed.
                events.info(
                    "crash_unclear", target=target.name, error=type(error).__name__
                )

        if registered is not None:
            self.background_tasks.spawn(connect())

    def confirm(self) -> None:
        """Count the suspected crashes of targets that are gone or have restarted."""
        now = self.clock.monotonic()
        for name, suspicions in list(self.suspicions.items()):
            recent = {
                item
                for item in suspicions
                if now - item.loss.lost_at <= CRASH_CONFIRMATION_PERIOD
            }
            registered = self.directory.targets.get(name)
            ended = {
                item
                for item in recent
                if registered is None or registered.life != item.loss.life
            }
            for item in ended:
                self.participant.record_crash(*item)
            if ended or not recent:
                del self.suspicions[name]
            else:
                self.suspicions[name] = recent
