"""The implied limits of cold targets, and this instance's permits for them."""

import datetime
from collections.abc import Callable, Iterable

from dewstep_core import clocks
from dewstep_fleet import frames, limit_states, model
from dewstep_fleet.warm_up import tracking


class ColdLimits:
    """The limits of all cold targets.

    A limit is the same for all incarnations of a target, since the next one may be
    reached before it is known.

    Parameters
    ----------
    clock : clocks.Clock
    warm_up : tracking.WarmUp
    get_named_rate : callable
        Returns the requests/s that a target accepts by its own answers; infinite if it
        has named no limit.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        warm_up: tracking.WarmUp,
        get_named_rate: Callable[[str], float],
    ):
        self.clock = clock
        self.warm_up = warm_up
        self.get_named_rate = get_named_rate
        self.limits: dict[str, limit_states.TargetLimit] = {}

    def find(self, target: str) -> limit_states.TargetLimit | None:
        """Return the implied limit of a target, or None if it is warm."""
        allowance = self.warm_up.find_allowance(target)
        if allowance is None:
            ended = self.limits.pop(target, None)
            if ended is not None:
                limit_states.resolve_waiters(ended)
            return None
        limit = self.limits.get(target)
        if limit is None:
            now = self.clock.monotonic()
            limit = limit_states.TargetLimit(0, allowance.rate, now)
            self.limits[target] = limit
        limit.allowance = allowance
        limit.rate = min(allowance.rate, self.get_named_rate(target))
        return limit

    def forget_ended(self) -> None:
        """Forget the limits of targets that have become warm."""
        self.warm_up.tick()
        for name in list(self.limits):
            self.find(name)

    def list_unpermitted(
        self, targets: Iterable[model.Target], now: datetime.timedelta
    ) -> list[limit_states.TargetLimit]:
        """Return the limits of the cold targets for which there is no permit."""
        found = [self.find(target.name) for target in targets]
        return [
            limit
            for limit in found
            if limit is not None and not limit_states.has_permit(limit, now)
        ]

    def find_issued(self, item: frames.Permits) -> limit_states.TargetLimit | None:
        """Return the limit for which permits were issued, or None if none is known.

        Permits that the coordinator issues without knowing that the target is cold
        would exceed the bound, so that this instance uses its share instead.
        """
        limit = self.limits.get(item.target)
        if limit is None:
            return None
        limit.unserved = not item.cold
        if limit.unserved:
            limit_states.refuse_waiters(limit)
            return None
        return limit
