"""Registries that decorators fill, for behaviour that varies by name."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

Item = TypeVar("Item")


class Registry(Generic[Item]):
    """A table of named implementations of one behaviour.

    Parameters
    ----------
    subject : str
        What the entries are, for error messages.
    """

    def __init__(self, subject: str):
        self.subject = subject
        self.items: dict[str, Item] = {}

    def register(self, name: str) -> Callable[[Item], Item]:
        """Return a decorator that enters its argument under `name`.

        Raises
        ------
        ValueError
            If `name` is taken; two modules would otherwise silently compete.
        """

        def enter(item: Item) -> Item:
            if name in self.items:
                raise ValueError(f"{self.subject} {name!r} is registered twice")
            self.items[name] = item
            return item

        return enter

    def get(self, name: str) -> Item | None:
        """Return the entry under `name`, or None."""
        return self.items.get(name)

    def __iter__(self) -> Iterator[str]:
        return iter(self.items)
