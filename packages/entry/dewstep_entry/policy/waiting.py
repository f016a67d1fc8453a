"""Waiting requests of a target in their order of service."""

import bisect
import collections
import datetime
from typing import NamedTuple


class WaitingRequest(NamedTuple):
    """A waiting request. The queue is sorted by the fields in this order."""

    queue_deadline: datetime.timedelta
    """Deadline that determines the position in the queue; earlier than the real one
    for heavy requests."""
    negative_weight: float
    """Negated, so that the heavier of two requests with equal deadlines is first."""
    sequence: int
    """Number in the order of arrival."""
    ticket_id: str
    deadline: datetime.timedelta


class WaitingList:
    """Waiting requests, indexed by ticket, deadline and weight."""

    def __init__(self):
        self.items: list[WaitingRequest] = []
        self.by_ticket: dict[str, WaitingRequest] = {}
        self.deadlines: list[tuple[datetime.timedelta, str]] = []
        """Real deadline and ticket of each request, sorted."""
        self.weight_counts: collections.Counter[float] = collections.Counter()
        """Number of requests by negative weight."""

    def __len__(self) -> int:
        return len(self.items)

    def insert(self, item: WaitingRequest) -> None:
        """Add a request."""
        bisect.insort(self.items, item)
        bisect.insort(self.deadlines, (item.deadline, item.ticket_id))
        self.by_ticket[item.ticket_id] = item
        self.weight_counts[item.negative_weight] += 1

    def remove(self, item: WaitingRequest) -> None:
        """Remove a request."""
        del self.items[self.find_position(item)]
        pair = (item.deadline, item.ticket_id)
        del self.deadlines[bisect.bisect_left(self.deadlines, pair)]
        del self.by_ticket[item.ticket_id]
        self.weight_counts[item.negative_weight] -= 1
        if not self.weight_counts[item.negative_weight]:
            del self.weight_counts[item.negative_weight]

    def find_position(self, item: WaitingRequest) -> int:
        """Return the index of a request in the order of service."""
        return bisect.bisect_left(self.items, item)

    def find_most_urgent(self) -> WaitingRequest:
        """Return the request with the earliest real deadline."""
        return self.by_ticket[self.deadlines[0][1]]

    def is_lightest(self, item: WaitingRequest) -> bool:
        """Return whether no request has a lower weight than `item`."""
        return item.negative_weight >= max(self.weight_counts)

    def find_lightest(self) -> WaitingRequest:
        """Return the last added of the requests with the lowest weight."""
        return max(self.items, key=lambda item: (item.negative_weight, item.sequence))
