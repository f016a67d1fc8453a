"""Checks of grants in a fenced target, as a state machine without I/O."""

import math

from dewstep_core import data


class Fence:
    """Stores the newest grant and decides which runs it permits.

    Times are seconds of the target's monotonic clock. A restart of the target loses
    all state, and its new boot id invalidates the earlier grants.

    Parameters
    ----------
    boot : str
        Id of this start of the target.
    """

    def __init__(self, boot: str):
        self.boot = boot
        self.term = 0
        self.expires = -math.inf

    def accept(self, boot: str, term: int, expires: float, now: float) -> str:
        """Store a grant and return "", or return why it is refused.

        The reasons are "boot", "term" and "expired".
        """
        if boot != self.boot:
            return "boot"
        if term < self.term:
            return "term"
        if expires <= now:
            return "expired"
        # Grants of one gate can arrive out of order on different connections.
        same_term = term == self.term
        self.expires = max(self.expires, expires) if same_term else expires
        self.term = term
        return ""

    def check(self, boot: str, term: int, now: float) -> str:
        """Return "" if a run with this boot and term is permitted now, else why not."""
        if boot != self.boot:
            return "boot"
        if term != self.term or term == 0:
            return "term"
        return "expired" if self.expires <= now else ""


def parse_grant(form: object) -> data.Grant | None:
    """Parse the JSON form of a grant, with `expires` in seconds; None if malformed."""
    if not isinstance(form, dict):
        return None
    boot, term, expires = (form.get(name) for name in data.Grant._fields)
    if not isinstance(boot, str) or type(term) is not int or term < 1:
        return None
    if isinstance(expires, bool) or not isinstance(expires, int | float):
        return None
    return data.Grant(boot, term, expires) if math.isfinite(expires) else None
