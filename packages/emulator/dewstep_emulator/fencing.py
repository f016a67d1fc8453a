"""The check of grants in a fenced target, as a state machine without I/O."""

import math

from dewstep_core import data


class Fence:
    """Remembers the newest grant and decides which runs it permits.

    Times are seconds of the target's monotonic clock. All state is lost when the
    target restarts; the new boot id makes grants for the old one invalid.

    Parameters
    ----------
    boot : str
        Id of this run of the target.
    """

    def __init__(self, boot: str):
        self.boot = boot
        self.term = 0
        self.expires = -math.inf

    def accept(self, boot: str, term: int, expires: float, now: float) -> str:
        """Take a grant, or return why it is refused ("boot", "term", "expired")."""
        if boot != self.boot:
            return "boot"
        if term < self.term:
            return "term"
        if expires <= now:
            return "expired"
        # Grants of one gate can arrive out of order over several connections.
        same_term = term == self.term
        self.expires = max(self.expires, expires) if same_term else expires
        self.term = term
        return ""

    def check(self, boot: str, term: int, now: float) -> str:
        """Return "" if a run of this boot and term is permitted now, or why not."""
        if boot != self.boot:
            return "boot"
        if term != self.term or term == 0:
            return "term"
        return "expired" if self.expires <= now else ""


def parse_grant(form: object) -> data.Grant | None:
    """Return a grant from its JSON form, or None; `expires` stays in seconds."""
    if not isinstance(form, dict):
        return None
    boot, term, expires = (form.get(name) for name in data.Grant._fields)
    if not isinstance(boot, str) or type(term) is not int or term < 1:
        return None
    if isinstance(expires, bool) or not isinstance(expires, int | float):
        return None
    return data.Grant(boot, term, expires) if math.isfinite(expires) else None
