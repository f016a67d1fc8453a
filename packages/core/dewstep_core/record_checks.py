"""Consistency checks across configuration records.

The checks accept records with invalid fields, which are None, so that all problems of
the files are reported at once. Checks that depend on an invalid field are skipped.
"""

from collections.abc import Callable, Hashable, Iterable, Mapping, Sequence
from typing import Any, NamedTuple

from dewstep_core import data, errors, fields


class LocatedRecord(NamedTuple):
    """A record with its location.

    `place` is the path of the record within `file`, such as "service[0]".
    """

    file: str
    place: str
    raw: Mapping
    """The record as written in the file, before parsing."""
    value: Any
    """A `data.Service` or `data.Target`, or None if its schema version is unknown."""


def check_records(
    services: Sequence[LocatedRecord], targets: Sequence[LocatedRecord]
) -> tuple[fields.Problem, ...]:
    """Return the problems in the relations between records.

    Parameters
    ----------
    services, targets : sequence of LocatedRecord
        All records of the configuration.
    """
    services = [item for item in services if item.value is not None]
    known_targets = [item for item in targets if item.value is not None]
    return (
        *check_unique(services, "name", "service", lambda item: item.value.name),
        *check_unique(known_targets, "name", "target", lambda item: item.value.name),
        *check_target_services(services, known_targets),
        *check_unique(
            list_kinds(services),
            "path",
            "kind with this method",
            lambda item: (item.value.method, item.value.path),
        ),
        *(problem for item in services for problem in check_kinds(item)),
    )


def list_kinds(services: Iterable[LocatedRecord]) -> list[LocatedRecord]:
    """Return the kinds of all services with their locations."""
    return [
        LocatedRecord(item.file, f"{item.place}.kind[{index}]", {}, kind)
        for item in services
        for index, kind in enumerate(item.value.kinds)
    ]


def check_unique(
    items: Iterable[LocatedRecord],
    field: str,
    subject: str,
    identify: Callable[[LocatedRecord], Hashable],
) -> Iterable[fields.Problem]:
    """Yield a problem for each item with the same identity as an earlier item."""
    first_items: dict[Hashable, LocatedRecord] = {}
    for item in items:
        identity = identify(item)
        if identity is None or (isinstance(identity, tuple) and None in identity):
            continue
        earlier = first_items.setdefault(identity, item)
        if earlier is not item:
            yield errors.FieldWrong(
                item.file,
                f"{item.place}.{field}",
                f"a {field} that no other {subject} has",
                f"{getattr(item.value, field)!r}, which is already used in "
                f"{earlier.file}: {earlier.place}",
            )


def check_target_services(
    services: Iterable[LocatedRecord], targets: Iterable[LocatedRecord]
) -> Iterable[fields.Problem]:
    """Yield a problem for each target whose service has no record."""
    names = {item.value.name for item in services}
    if None in names:
        # The targets may refer to the service whose name is invalid.
        return
    for item in targets:
        service = item.value.service
        if service is not None and service not in names:
            yield errors.FieldWrong(
                item.file,
                f"{item.place}.service",
                "the name of a service in the records",
                repr(service),
            )


def check_kinds(item: LocatedRecord) -> Iterable[fields.Problem]:
    """Yield the problems in the kinds of one service."""
    service: data.Service = item.value
    key_in_path = service.key_part is not None and service.key_part.source == "path"
    names = set()
    for index, kind in enumerate(service.kinds):
        place = f"{item.place}.kind[{index}]"
        if kind.name is not None and kind.name in names:
            yield errors.FieldWrong(
                item.file,
                f"{place}.name",
                "a name that no other kind of the service has",
                repr(kind.name),
            )
        names.add(kind.name)
        if kind.idempotent is False and kind.deduplication == "none":
            yield errors.FieldWrong(
                item.file,
                f"{place}.deduplication",
                '"table" or "memory" because the kind is not idempotent',
                '"none"',
            )
        if key_in_path and kind.path is not None and "{key}" not in kind.path:
            yield errors.FieldWrong(
                item.file,
                f"{place}.path",
                'a path with a segment "{key}" because the key is in the path',
                repr(kind.path),
            )
