"""Decides whether this instance is cut off from all targets.

One target that does not answer may be slow, frozen or gone. If several fail at once and
none answers, the network between this instance and the targets is the likely cause:
connections hang or are reset, and new ones hang or are refused.

While the process itself is late, answers may wait to be read. Silence is therefore
measured in the time for which the process has run: each observation, before which the
event loop has read all input, counts for no more than the interval at which a process
that is on time makes them.
"""

import datetime
from collections.abc import Iterable

MIN_SILENCE_PERIOD = datetime.timedelta(milliseconds=500)
"""Time without an answer from any target after which an instance may be cut off."""
MAX_SILENCE_PERIOD = datetime.timedelta(seconds=2)
"""Callers of an instance that is cut off must be served after 3 s."""
SILENT_SERVICE_TIMES = 3
"""Minimum length of the silence in typical service times. An instance of a large fleet
has few requests in progress, none of which is answered within one service time."""
MIN_SILENT_TARGETS = 3
MAX_COUNTED_GAP = datetime.timedelta(milliseconds=100)
"""Longest time that an observation counts for. They are made each 50 ms."""
ANSWER_MAX_AGE = datetime.timedelta(seconds=1)
"""Maximum age of an answer that shows that targets are reachable."""
TRIAL_INTERVAL = datetime.timedelta(milliseconds=500)
"""Interval at which an instance that is cut off sends a request to a target itself."""
FAILURE_MAX_AGE = datetime.timedelta(seconds=5)
"""Age after which a failure no longer shows a cut. An instance without requests would
otherwise believe in a cut for good, and not become the coordinator. Ten trials fail
within this time while a cut lasts."""


def choose_silence_period(service_seconds: Iterable[float]) -> datetime.timedelta:
    """Return the time without any answer that shows a cut.

    Parameters
    ----------
    service_seconds : iterable of float
        Typical service time of each service in seconds.
    """
    longest = datetime.timedelta(seconds=max(service_seconds, default=0.0))
    period = max(MIN_SILENCE_PERIOD, SILENT_SERVICE_TIMES * longest)
    return min(period, MAX_SILENCE_PERIOD)


class Contact:
    """What is known of one target."""

    __slots__ = ("failed_at", "in_progress", "unanswered_since")

    def __init__(self):
        self.in_progress = 0
        self.unanswered_since: datetime.timedelta | None = None
        """Running time at which the first request was sent since the last answer."""
        self.failed_at: datetime.timedelta | None = None
        """Running time at which a connection or a request last failed since then."""


class Reachability:
    """Contact to all targets.

    Parameters
    ----------
    now : datetime.timedelta
    """

    def __init__(self, now: datetime.timedelta):
        self.contacts: dict[str, Contact] = {}
        self.silence_period = MIN_SILENCE_PERIOD
        """Time without an answer from any target that shows a cut."""
        self.running_time = datetime.timedelta()
        """Time for which the process has run, up to the last observation."""
        self.silent_since = self.running_time
        """Running time at which a target last answered."""
        self.answered_at: datetime.timedelta | None = None
        """When a target last answered."""
        self.observed_at = now
        self.next_trial_at = now

    def observe(self, now: datetime.timedelta) -> None:
        """Note that the process is running; called regularly."""
        self.running_time += min(now - self.observed_at, MAX_COUNTED_GAP)
        self.observed_at = now

    def begin_request(self, target: str) -> None:
        """Record that a request is sent to a target."""
        contact = self.contacts.setdefault(target, Contact())
        contact.in_progress += 1
        if contact.unanswered_since is None:
            contact.unanswered_since = self.running_time

    def end_request(
        self, target: str, now: datetime.timedelta, answered: bool | None
    ) -> None:
        """Record the end of a request.

        Parameters
        ----------
        target : str
        now : datetime.timedelta
        answered : bool or None
            Whether the target answered; None if the request was abandoned.
        """
        contact = self.contacts[target]
        contact.in_progress -= 1
        if answered:
            contact.unanswered_since = None
            contact.failed_at = None
            self.silent_since = self.running_time
            self.answered_at = now
        elif answered is False:
            contact.failed_at = self.running_time
        elif not contact.in_progress and contact.failed_at is None:
            contact.unanswered_since = None

    def keep_targets(self, names) -> None:
        """Forget all other targets without requests."""
        for name, contact in list(self.contacts.items()):
            if name not in names and not contact.in_progress:
                del self.contacts[name]

    def is_cut_off(self) -> bool:
        """Whether this instance is probably cut off from all targets."""
        if self.running_time - self.silent_since < self.silence_period:
            return False
        return sum(map(self._is_silent, self.contacts.values())) >= MIN_SILENT_TARGETS

    def _is_silent(self, contact: Contact) -> bool:
        """Whether a target has failed since any target answered, or lets wait."""
        if contact.failed_at is not None and contact.failed_at >= self.silent_since:
            if self.running_time - contact.failed_at < FAILURE_MAX_AGE:
                return True
        return (
            contact.in_progress > 0
            and contact.unanswered_since is not None
            and self.running_time - contact.unanswered_since >= self.silence_period
        )

    def has_recent_answer(self, now: datetime.timedelta) -> bool:
        """Whether a target has answered this instance a short time ago."""
        return self.answered_at is not None and now - self.answered_at < ANSWER_MAX_AGE

    def begin_trial(self, now: datetime.timedelta, repeatable: bool) -> bool:
        """Whether to send the next request to a target all the same.

        A request that must not run twice waits for a further interval, in which one
        that may be repeated can be the trial.
        """
        if now < self.next_trial_at + (not repeatable) * TRIAL_INTERVAL:
            return False
        self.next_trial_at = now + TRIAL_INTERVAL
        return True
