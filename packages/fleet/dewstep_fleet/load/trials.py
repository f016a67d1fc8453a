"""Trial requests that find out whether a learned time still holds.

A learned time that refuses all requests is never corrected, as only answers do that. So
a time of which too little is known, or that no answer has confirmed of late, does not
refuse all requests: some are sent as trials. Each answer allows further ones; without
answers they become rare.
"""

from typing import NamedTuple

VALUE_MAX_AGE_S = 1.0
"""Time in seconds for which a learned time refuses requests without a new answer."""
TRIALS_WITHOUT_ANSWER = 5
"""Trials sent before the first answer, as many as are needed to know a time."""
MIN_PAUSE_S = 1.0
"""Pause after these trials, which doubles with each further one."""
MAX_PAUSE_S = 8.0


class State(NamedTuple):
    """Trials of one subject since its last answer."""

    left: int = TRIALS_WITHOUT_ANSWER
    """Trials that may be sent without a pause."""
    pause: float = MIN_PAUSE_S
    """Seconds from the last trial to the next one."""
    next_at: float = 0.0
    """Monotonic seconds from which on the next trial may be sent."""


class Trials:
    """Counts the trials of each subject, a route or a target."""

    def __init__(self):
        self.states: dict[str, State] = {}

    def take(self, subject: str, now: float) -> bool:
        """Whether a trial may be sent now; counts it if so.

        Parameters
        ----------
        subject : str
        now : float
            Monotonic seconds.
        """
        state = self.states.get(subject, State())
        if state.left:
            state = state._replace(left=state.left - 1, next_at=now + state.pause)
        elif now >= state.next_at:
            pause = min(2 * state.pause, MAX_PAUSE_S)
            state = State(0, pause, now + pause)
        else:
            return False
        self.states[subject] = state
        return True

    def forget(self, subject: str) -> None:
        """Forget the trials of a subject that has answered or no longer exists."""
        self.states.pop(subject, None)
