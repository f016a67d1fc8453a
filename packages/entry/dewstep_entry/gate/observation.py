"""Interface through which gates report request outcomes to the balancer."""

import datetime
from typing import Protocol

from returns import result

from dewstep_core import data
from dewstep_entry import interfaces


class Observer(Protocol):
    """Records the targets of this process and the outcomes of their requests."""

    def start(self, target: data.Target) -> None:
        """Record that the gate of `target` started in this process."""

    def restart(self, target: data.Target) -> None:
        """Record that `target` has restarted."""

    def end(self, target: data.Target) -> None:
        """Record that the gate of `target` ended in this process."""

    def record(
        self,
        target: data.Target,
        shard: int,
        key: str,
        overridden: bool,
        outcome: result.Result[data.Answer, interfaces.Failure],
        slot_time: datetime.timedelta,
    ) -> None:
        """Record the outcome of one exchange with `target`.

        Parameters
        ----------
        target : data.Target
        shard : int
        key : str
        overridden : bool
            Whether the key is overridden.
        outcome : Result
            What the exchange returned.
        slot_time : datetime.timedelta
            Time from the sending to the head of the answer.
        """

    def record_cancelled(
        self,
        target: data.Target,
        shard: int,
        key: str,
        overridden: bool,
        slot_time: datetime.timedelta,
    ) -> None:
        """Record an exchange that was cancelled after `slot_time`.

        The caller disconnected, or the deadline passed in the process that received
        the request. The target would have taken longer than `slot_time`.
        """

    def record_unserved(
        self,
        target: data.Target,
        shard: int,
        key: str,
        overridden: bool,
        time_to_deadline: datetime.timedelta,
    ) -> None:
        """Record a request that the queue refused or that expired there.

        Parameters
        ----------
        target : data.Target
        shard : int
        key : str
        overridden : bool
            Whether the key is overridden.
        time_to_deadline : datetime.timedelta
            Time from the arrival of the request to its deadline.
        """


class NullObserver:
    """An observer that records nothing."""

    def start(self, target) -> None:
        """Do nothing."""

    def restart(self, target) -> None:
        """Do nothing."""

    def end(self, target) -> None:
        """Do nothing."""

    def record(self, target, shard, key, overridden, outcome, slot_time) -> None:
        """Do nothing."""

    def record_cancelled(self, target, shard, key, overridden, slot_time) -> None:
        """Do nothing."""

    def record_unserved(self, target, shard, key, overridden, time_to_deadline) -> None:
        """Do nothing."""
