"""The waiting requests of a target, in their order of service."""

import bisect
import collections
import datetime
from typing import NamedTuple


class Waiting(NamedTuple):
    """A waiting request; the order of the fields is the order of service."""

    due: datetime.timedelta
    """Deadline that gives the place in the queue; earlier than the real one for heavy
    requests."""
    lightness: float
    """Negative weight, so that the heavier of two equal deadlines goes first."""
    sequence: int
    ticket_id: str
    deadline: datetime.timedelta


class WaitingList:
    """Waiting requests, with a look at them by ticket, deadline and weight."""

    def __init__(self):
        self.items: list[Waiting] = []
        self.by_ticket: dict[str, Waiting] = {}
        self.deadlines: list[tuple[datetime.timedelta, str]] = []
        self.weights: collections.Counter[float] = collections.Counter()
        """Number of requests by lightness."""

    def __len__(self) -> int:
        return len(self.items)

    def insert(self, item: Waiting) -> None:
        """Enter a request."""
        bisect.insort(self.items, item)
        bisect.insort(self.deadlines, (item.deadline, item.ticket_id))
        self.by_ticket[item.ticket_id] = item
        self.weights[item.lightness] += 1

    def remove(self, item: Waiting) -> None:
        """Take a request out."""
        del self.items[self.find_place(item)]
        pair = (item.deadline, item.ticket_id)
        del self.deadlines[bisect.bisect_left(self.deadlines, pair)]
        del self.by_ticket[item.ticket_id]
        self.weights[item.lightness] -= 1
        if not self.weights[item.lightness]:
            del self.weights[item.lightness]

    def find_place(self, item: Waiting) -> int:
        """Return the index of a request in the order of service."""
        return bisect.bisect_left(self.items, item)

    def find_earliest(self) -> Waiting:
        """Return the request with the earliest real deadline."""
        return self.by_ticket[self.deadlines[0][1]]

    def is_lightest(self, item: Waiting) -> bool:
        """Return whether no request weighs less than `item`."""
        return item.lightness >= max(self.weights)

    def find_lightest(self) -> Waiting:
        """Return the latest of the requests with the least weight."""
        return max(self.items, key=lambda item: (item.lightness, item.sequence))
