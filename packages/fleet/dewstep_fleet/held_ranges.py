"""Which ranges a target may hold: those that it owns and that are not being moved.

A range that is being moved is not renewed, so that its ownership can end. All instances
are told which ranges are being moved, and queue requests for them.
"""

from collections.abc import Callable, Iterable

from dewstep_fleet import directories, model, ranges

Span = tuple[int, int]
"""First and last key of a range."""


def list_spans(holdings: Iterable[model.Holding]) -> tuple[Span, ...]:
    """Return the first and last keys of ranges."""
    return tuple((item.first, item.last) for item in holdings)


def have_common_keys(spans: Iterable[Span], others: Iterable[Span]) -> bool:
    """Whether some key is in both groups of ranges."""
    others = tuple(others)
    return any(
        first <= other_last and other_first <= last
        for first, last in spans
        for other_first, other_last in others
    )


def exclude_spans(
    holdings: tuple[model.Holding, ...], spans: Iterable[Span]
) -> tuple[model.Holding, ...]:
    """Return the parts of `holdings` that are outside of all `spans`.

    Most of hundreds of spans are nowhere near the few ranges of one target.
    """
    if not holdings:
        return holdings
    lowest = min(item.first for item in holdings)
    highest = max(item.last for item in holdings)
    for first, last in spans:
        if last >= lowest and first <= highest:
            holdings = ranges.exclude_range(holdings, first, last)
    return holdings


class HeldRanges:
    """The ranges that targets may hold, and those that are being moved.

    Parameters
    ----------
    directory : directories.Directory
        Knows the owners; is told which ranges are being moved.
    notify_moves_changed : callable
        Called without arguments after a move has started or ended.
    """

    def __init__(
        self,
        directory: directories.Directory,
        notify_moves_changed: Callable[[], None],
    ):
        self.directory = directory
        self.notify_moves_changed = notify_moves_changed
        self.reset()

    def reset(self) -> None:
        """Discard the state of an earlier term."""
        self.moving: dict[str, list[Span]] = {}
        """First and last keys of the ranges that are being moved, by service."""

    def list_owned(self, service: str, target: str) -> tuple[model.Holding, ...]:
        """Return all ranges of a target."""
        holdings = self.directory.ownerships[service].holdings
        return tuple(item for item in holdings if item.target == target)

    def exclude_moving(
        self, service: str, holdings: tuple[model.Holding, ...]
    ) -> tuple[model.Holding, ...]:
        """Return the parts of `holdings` that are not being moved."""
        return exclude_spans(holdings, self.moving.get(service, ()))

    def is_held(self, service: str, holding: model.Holding) -> bool:
        """Whether a range is still owned by its target and not being moved."""
        found = self.directory.ownerships[service].find(holding.first)
        return found is not None and holding in self.exclude_moving(service, (found,))

    def has_moving(self, service: str, spans: Iterable[Span]) -> bool:
        """Whether a key of some ranges is being moved."""
        return have_common_keys(spans, self.moving.get(service, ()))

    def mark_moving(self, service: str, spans: Iterable[Span]) -> None:
        """Announce to all instances that ranges are being moved."""
        self.moving.setdefault(service, []).extend(spans)
        self._publish_moving()

    def unmark_moving(self, service: str, spans: Iterable[Span]) -> None:
        """Announce to all instances that ranges are not being moved any more."""
        for span in spans:
            self.moving[service].remove(span)
        self._publish_moving()

    def _publish_moving(self) -> None:
        self.directory.moving = {
            service: tuple(spans) for service, spans in self.moving.items() if spans
        }
        self.directory.notify_waiters()
        self.notify_moves_changed()
