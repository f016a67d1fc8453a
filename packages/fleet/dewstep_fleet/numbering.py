"""Chooses the number of each grant so that no two processes receive the same one.

A connection reaches one process for its whole life, but a new connection to the same
address may reach another one, which started there meanwhile. A number is therefore sent
over one connection only. A generation number is followed by `RESERVED_NUMBERS` numbers
that belong to it too, one for each further connection over which the range is granted;
they need no transaction and are available while the store is not.
"""

from collections.abc import Set

RESERVED_NUMBERS = 999
"""Numbers after each generation number that no other range gets."""


class Numbering:
    """Numbers of the grants that are sent to one incarnation of a target."""

    def __init__(self):
        self.connection = 0
        """Number of connections so far; identifies the current one."""
        self.sent: dict[int, tuple[int, int]] = {}
        """Connection and number of the last grant, by generation number."""

    def begin_connection(self) -> None:
        """Record that the next grants are sent over a new connection."""
        self.connection += 1

    def is_sent(self, generation: int) -> bool:
        """Whether a grant was sent under `generation` over the current connection."""
        connection, _ = self.sent.get(generation, (0, 0))
        return connection == self.connection

    def choose_number(self, generation: int) -> int | None:
        """Return the number of a grant that is sent over the current connection.

        Returns None if the numbers that belong to `generation` are used up, so that the
        range needs a new generation number.
        """
        connection, number = self.sent.get(generation, (self.connection, generation))
        if connection != self.connection:
            number += 1
        if number > generation + RESERVED_NUMBERS:
            return None
        self.sent[generation] = self.connection, number
        return number

    def get_last_number(self, generation: int) -> int:
        """Return the number of the last grant that was sent under `generation`."""
        _, number = self.sent.get(generation, (self.connection, generation))
        return number

    def keep(self, generations: Set[int]) -> None:
        """Forget all other generation numbers, which will not be sent again."""
        self.sent = {
            generation: sent
            for generation, sent in self.sent.items()
            if generation in generations
        }
