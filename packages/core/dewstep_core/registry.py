"""Registries of named implementations, filled by decorators."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

Item = TypeVar("Item")


class Registry(Generic[Item]):
    """Implementations of one interface by name.

    Parameters
    ----------
    subject : str
        What is registered, used in error messages.
    """

    def __init__(self, subject: str):
        self.subject = subject
        self.items: dict[str, Item] = {}

    def register(self, name: str) -> Callable[[Item], Item]:
        """Return a decorator that registers its argument under `name`.

        Raises
        ------
        ValueError
            If `name` is already registered, since one module would otherwise silently
            replace the implementation of another.
        """

        def add_item(item: Item) -> Item:
            if name in self.items:
                raise ValueError(f"{self.subject} {name!r} is already registered")
            self.items[name] = item
            return item

        return add_item

    def get(self, name: str) -> Item | None:
        """Return the implementation registered under `name`, or None."""
        return self.items.get(name)

    def __iter__(self) -> Iterator[str]:
        return iter(self.items)
