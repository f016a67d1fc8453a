"""Comparison of two configurations."""

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from dewstep_core import data


class Added(NamedTuple):
    """A record that exists only in the later configuration."""

    record: str
    """"service", "kind" or "target"."""
    name: str
    """Name of the record; for a kind, "service/kind"."""


class Removed(NamedTuple):
    """A record that exists only in the earlier configuration."""

    record: str
    name: str


class Changed(NamedTuple):
    """A field whose value differs."""

    record: str
    name: str
    field: str
    before: Any
    after: Any


Change = Added | Removed | Changed


def compare_configurations(
    before: data.Configuration, after: data.Configuration
) -> tuple[Change, ...]:
    """Return the changes from `before` to `after`: services, kinds, then targets."""
    return (
        *compare_records("service", before.services, after.services),
        *compare_records("kind", list_kinds(before), list_kinds(after)),
        *compare_records("target", before.targets, after.targets),
    )


def list_kinds(configuration: data.Configuration) -> dict[str, data.RequestKind]:
    """Return the kinds of all services, by "service/kind"."""
    return {
        f"{service.name}/{kind.name}": kind
        for service in configuration.services.values()
        for kind in service.kinds
    }


def compare_records(
    record: str, before: Mapping[str, Any], after: Mapping[str, Any]
) -> Iterable[Change]:
    """Yield the changes of one type of record, ordered by name."""
    for name in sorted(before.keys() | after.keys()):
        if name not in before:
            yield Added(record, name)
        elif name not in after:
            yield Removed(record, name)
        else:
            yield from compare_fields(record, name, before[name], after[name])


def compare_fields(
    record: str, name: str, before: Any, after: Any
) -> Iterable[Changed]:
    """Yield the changed fields; `kinds` is skipped, since kinds are records as well."""
    for field in before._fields:
        old, new = getattr(before, field), getattr(after, field)
        if field != "kinds" and old != new:
            yield Changed(record, name, field, old, new)
