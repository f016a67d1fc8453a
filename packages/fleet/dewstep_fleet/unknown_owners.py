"""Ends the ownerships that a restored store does not know of.

A store that is restored from a copy of before the first election does not show whether
there have been coordinators: a fleet that starts for the first time reads the same
rows. In both cases, each registered target is ordered to release all keys, which no
target refuses. A target that never had any loses nothing.
"""

import asyncio
import datetime

from returns import result

from dewstep_core import clocks, events
from dewstep_fleet import directories, grant_states, model, terms


class UnknownOwners:
    """Releases all keys of a service at its targets.

    Parameters
    ----------
    directory : directories.Directory
    states : grant_states.GrantStates
    clock : clocks.Clock
    """

    def __init__(
        self,
        directory: directories.Directory,
        states: grant_states.GrantStates,
        clock: clocks.Clock,
    ):
        self.directory = directory
        self.grant_states = states
        self.clock = clock

    async def release_all(self, service: str, until: datetime.timedelta) -> bool:
        """Let all registered targets of a service release all keys.

        Parameters
        ----------
        service : str
        until : datetime.timedelta
            When to give up.

        Returns
        -------
        bool
            Whether each of them has answered that it runs no more requests, or was
            found to have ended.
        """
        released: set[tuple[str, int]] = set()
        while True:
            remaining = [
                target
                for target in self.directory.targets_by_service.get(service, ())
                if (target.name, target.life) not in released
            ]
            if not remaining:
                events.info("all_keys_released", service=service, targets=len(released))
                return True
            if self.clock.monotonic() >= until:
                return False
            outcomes = await asyncio.gather(*map(self.release, remaining))
            for target, ended in zip(remaining, outcomes, strict=True):
                if ended:
                    released.add((target.name, target.life))
            if not all(outcomes):
                await self.clock.sleep(terms.RETRY_PAUSE)

    async def release(self, target: model.Target) -> bool:
        """Let a target release all keys; return whether it can hold none any more."""
        holding = model.Holding(
            0,
            model.KEY_SPACE_SIZE - 1,
            target.name,
            target.life,
            self.directory.era_floor,
        )
        outcome = await self.grant_states.get_for(target).orders.release(
            target, holding
        )
        if isinstance(outcome, result.Success):
            return True
        failure = outcome.failure()
        events.warning(
            "release_failed",
            target=target.name,
            first=holding.first,
            last=holding.last,
            failure=failure,
        )
        return isinstance(failure, model.TargetReplaced)
