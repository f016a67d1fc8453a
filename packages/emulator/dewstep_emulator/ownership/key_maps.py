"""Values for each key of the key space, stored for runs of keys with equal values."""

import bisect
from collections.abc import Callable, Iterator
from typing import Generic, NamedTuple, TypeVar

from dewstep_fleet import model

Value = TypeVar("Value")


class Run(NamedTuple, Generic[Value]):
    """Adjacent keys, both ends included, with the same value."""

    first: int
    last: int
    value: Value


class KeyMap(Generic[Value]):
    """A value for each key.

    A change of a range takes time in proportion to the number of different runs in it.

    Parameters
    ----------
    value : Value
        Value of all keys at first; it is compared by equality and never changed.
    """

    def __init__(self, value: Value):
        self.starts = [0]
        self.values = [value]

    def list_runs(
        self, first: int = 0, last: int = model.KEY_SPACE_SIZE - 1
    ) -> Iterator[Run[Value]]:
        """Return the runs in a range, cut at its ends."""
        position = bisect.bisect_right(self.starts, first) - 1
        while position < len(self.starts) and self.starts[position] <= last:
            yield Run(
                max(first, self.starts[position]),
                min(last, self._get_last(position)),
                self.values[position],
            )
            position += 1

    def change(self, first: int, last: int, change: Callable[[Value], Value]) -> None:
        """Replace each value in a range by that which `change` returns for it."""
        position = bisect.bisect_right(self.starts, first) - 1
        if self.starts[position] == first and self._get_last(position) == last:
            value = change(self.values[position])
            before = self.values[max(position - 1, 0) : position]
            after = self.values[position + 1 : position + 2]
            if value not in before and value not in after:
                self.values[position] = value
                return
        low = self._split(first)
        high = self._split(last + 1)
        starts: list[int] = []
        values: list[Value] = []
        # The neighbours are included, because they may now have equal values.
        for position in range(max(low - 1, 0), min(high + 1, len(self.starts))):
            value = self.values[position]
            if low <= position < high:
                value = change(value)
            if not values or values[-1] != value:
                starts.append(self.starts[position])
                values.append(value)
        changed = slice(max(low - 1, 0), min(high + 1, len(self.starts)))
        self.starts[changed] = starts
        self.values[changed] = values

    def _get_last(self, position: int) -> int:
        """Return the last key of a run."""
        if position + 1 < len(self.starts):
            return self.starts[position + 1] - 1
        return model.KEY_SPACE_SIZE - 1

    def _split(self, key: int) -> int:
        """Let a run begin at a key; return its position."""
        position = bisect.bisect_left(self.starts, key)
        is_start = position < len(self.starts) and self.starts[position] == key
        if not is_start and key < model.KEY_SPACE_SIZE:
            self.starts.insert(position, key)
            self.values.insert(position, self.values[position - 1])
        return position
