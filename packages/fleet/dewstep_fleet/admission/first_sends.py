"""How long ago a caller sent a request for the first time.

A caller who comes back after a refusal sends the time that is left as its deadline. The
deadlines of first sends are the same for many requests, those of later sends are not.
What is missing to the next common deadline is the time since the first send, as far as
an instance can tell. Where deadlines vary from caller to caller, none is common.
"""

import collections

GENERATION_SIZE = 500
"""Number of requests of a route after which its older deadlines are forgotten, so that
a change of the callers' deadlines is followed."""
EVALUATION_INTERVAL = 20
"""Number of requests between two evaluations, each of which looks at up to 1,000."""
MIN_REPETITIONS = 5
"""Number of equal deadlines from which on they may be common."""
MIN_SHARE = 0.05
"""Share of the requests of a route from which on a deadline is common. At most every
fifth request is a first send in the worst overload; later sends of the same millisecond
are a hundredth."""


class FirstDeadlines:
    """The deadlines of recent requests of each route."""

    def __init__(self):
        self.recent: dict[str, list[int]] = {}
        """Deadlines in ms, by route."""
        self.earlier: dict[str, list[int]] = {}
        self.common: dict[str, tuple[int, ...]] = {}
        """Common deadlines in ms in ascending order, by route."""

    def observe(self, route: str, deadline_ms: int) -> None:
        """Count the deadline of a request."""
        recent = self.recent.setdefault(route, [])
        recent.append(deadline_ms)
        if len(recent) % EVALUATION_INTERVAL:
            return
        deadlines = self.earlier.get(route, []) + recent
        least = max(MIN_REPETITIONS, MIN_SHARE * len(deadlines))
        counts = collections.Counter(deadlines)
        found = [item for item, number in counts.items() if number >= least]
        self.common[route] = tuple(sorted(found))
        if len(recent) >= GENERATION_SIZE:
            self.earlier[route] = self.recent.pop(route)

    def estimate_elapsed(self, route: str, deadline_ms: int) -> int:
        """Return the milliseconds since the first send, 0 if it is not known."""
        for common in self.common.get(route, ()):
            if common >= deadline_ms:
                return common - deadline_ms
        return 0

    def keep_routes(self, names: set[str]) -> None:
        """Discard the deadlines of routes that no longer exist."""
        for deadlines in (self.recent, self.earlier, self.common):
            for name in [item for item in deadlines if item not in names]:
                del deadlines[name]
