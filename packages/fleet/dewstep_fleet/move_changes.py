"""Which moves of key ranges have begun and ended since the last news.

The coordinator tells its members which ranges are being moved. With hundreds of moves,
the whole list in each message takes more bytes than all other news, so members that
know the list receive only what has changed.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from dewstep_fleet import frames

Moving = Mapping[str, tuple[tuple[int, int], ...]]
"""First and last keys of the ranges that are being moved, by service."""


class MoveChanges(NamedTuple):
    """Moves that have begun and ended."""

    begun: tuple[frames.Span, ...] = ()
    ended: tuple[frames.Span, ...] = ()


def list_spans(moving: Moving) -> tuple[frames.Span, ...]:
    """Return all ranges that are being moved."""
    return tuple(
        frames.Span(service, first, last)
        for service, spans in moving.items()
        for first, last in spans
    )


def group_spans(spans: Iterable[frames.Span]) -> Moving:
    """Return the ranges by service."""
    moving: dict[str, tuple[tuple[int, int], ...]] = {}
    for span in spans:
        known = moving.get(span.service, ())
        moving[span.service] = (*known, (span.first, span.last))
    return moving


def compare(announced: Iterable[frames.Span], moving: Moving) -> MoveChanges:
    """Return what has changed since moves were announced."""
    announced, current = set(announced), set(list_spans(moving))
    return MoveChanges(
        tuple(sorted(current - announced)), tuple(sorted(announced - current))
    )


def apply(moving: Moving, changes: MoveChanges) -> Moving:
    """Return the moves after a change; applying one again has no effect."""
    if not changes.begun and not changes.ended:
        return moving
    changed = dict(moving)
    for service in {span.service for span in (*changes.begun, *changes.ended)}:
        spans = set(moving.get(service, ()))
        spans -= list_keys(service, changes.ended)
        spans |= list_keys(service, changes.begun)
        changed[service] = tuple(sorted(spans))
        if not spans:
            del changed[service]
    return changed


def list_keys(service: str, spans: Iterable[frames.Span]) -> set[tuple[int, int]]:
    """Return the first and last keys of the ranges of a service."""
    return {(span.first, span.last) for span in spans if span.service == service}
