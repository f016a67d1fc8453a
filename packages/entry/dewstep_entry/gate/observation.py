"""What the gates tell the parts of the process that judge and balance targets."""

import datetime
from typing import Protocol

from returns import result

from dewstep_core import data
from dewstep_entry import interfaces


class Observer(Protocol):
    """Takes note of targets and of the outcomes of their requests."""

    def start(self, target: data.Target) -> None:
        """Note that the gate of `target` is now here."""

    def restart(self, target: data.Target) -> None:
        """Note that `target` has restarted."""

    def end(self, target: data.Target) -> None:
        """Note that the gate of `target` is no longer here."""

    def record(
        self,
        target: data.Target,
        shard: int,
        key: str,
        single: bool,
        outcome: result.Result[data.Answer, interfaces.Failure],
        held: datetime.timedelta,
    ) -> None:
        """Note the outcome of one exchange with `target`.

        Parameters
        ----------
        target : data.Target
        shard : int
        key : str
        single : bool
            Whether the key is overridden.
        outcome : Result
            What the exchange returned.
        held : datetime.timedelta
            From the sending to the head of the answer.
        """

    def record_cancelled(
        self,
        target: data.Target,
        shard: int,
        key: str,
        single: bool,
        held: datetime.timedelta,
    ) -> None:
        """Note an exchange that was given up after `held`.

        The caller went away, or the process that received the request let its
        deadline pass. The target would have taken longer than `held`.
        """

    def record_unserved(
        self,
        target: data.Target,
        shard: int,
        key: str,
        single: bool,
        patience: datetime.timedelta,
    ) -> None:
        """Note a request that the queue refused or that expired there.

        Parameters
        ----------
        target : data.Target
        shard : int
        key : str
        single : bool
            Whether the key is overridden.
        patience : datetime.timedelta
            From the arrival of the request to its deadline.
        """


class NullObserver:
    """An observer that takes note of nothing."""

    def start(self, target) -> None:
        """Ignore it."""

    def restart(self, target) -> None:
        """Ignore it."""

    def end(self, target) -> None:
        """Ignore it."""

    def record(self, target, shard, key, single, outcome, held) -> None:
        """Ignore it."""

    def record_cancelled(self, target, shard, key, single, held) -> None:
        """Ignore it."""

    def record_unserved(self, target, shard, key, single, patience) -> None:
        """Ignore it."""
