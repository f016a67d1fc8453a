"""Schema versions of configuration records.

Both versions are supported and are parsed into the same tuples. Version 1 states the
key part as a string and durations as whole milliseconds. Version 2 states the key part
as a table and durations with a unit, and adds `deduplication` and `outage_horizon`.
Target records are the same in both versions.

Each read function reads one record through a `fields.Reader`. An invalid field becomes
None in the tuple, so that the checks across records can still use the other fields.
"""

import datetime
import re
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from dewstep_core import data, durations, errors, fields, registry

DEFAULT_OUTAGE_HORIZON = datetime.timedelta(hours=4)
DEFAULT_SHARD_COUNT = 1_024
DEFAULT_MAXIMUM_KEY_BYTES = 256
DEFAULT_MAXIMUM_BODY_BYTES = 65_536
DEFAULT_WEIGHT = 1.0

MAXIMUM_SCHEMA_VERSION = 1_000_000
"""Larger numbers are refused before they are converted to a string, because Python
raises ValueError for integers with thousands of digits."""

MAXIMUM_SHARD_COUNT = 65_536
MAXIMUM_KEY_BYTES = 4_096
MAXIMUM_BODY_BYTES = 1 << 30
MAXIMUM_SLOTS = 100_000
"""Limit of both `slots` and `connections` of a target."""
MAXIMUM_WEIGHT = 1e6
MINIMUM_DEADLINE = datetime.timedelta(milliseconds=1)
MAXIMUM_DEADLINE = datetime.timedelta(hours=24)
MINIMUM_OUTAGE_HORIZON = datetime.timedelta(seconds=1)
MAXIMUM_OUTAGE_HORIZON = datetime.timedelta(hours=48)

KEY_SOURCES = ("path", "header", "query")
DEDUPLICATION_METHODS = ("none", "table", "memory")
PATH_KEY_NAME = "key"

TOKEN = r"[!#$%&'*+.^_`|~0-9A-Za-z-]{1,64}"
"""A token of RFC 9110, section 5.6.2: the form of header names and methods."""

TOKEN_PATTERN = re.compile(TOKEN, re.ASCII)
METHOD_PATTERN = re.compile(r"[A-Z]{1,32}", re.ASCII)
KEY_TEXT_PATTERN = re.compile(rf"path|(?:header|query):{TOKEN}", re.ASCII)
PATH_PATTERN = re.compile(
    r"/|(?!.*\{key\}.*\{key\})(?:/(?:\{key\}|[A-Za-z0-9._~!$&'()*+,;=:@%-]+))+",
    re.ASCII,
)
"""A path of RFC 3986, section 3.3, with `{key}` as at most one of its segments."""


class Schema(NamedTuple):
    """Functions that read and write the records of one schema version."""

    read_service: Callable[[fields.Reader], data.Service]
    read_target: Callable[[fields.Reader], data.Target]
    write_service: Callable[[data.Service], dict]
    write_target: Callable[[data.Target], dict]


schemas: registry.Registry[Callable[[], Schema]] = registry.Registry("schema version")


def find_schema(reader: fields.Reader) -> Schema | None:
    """Return the schema that a record names, or add a problem and return None."""
    reader.known_fields.add("schema")
    if not reader.is_table:
        return None
    versions = " or ".join(schemas)
    if "schema" not in reader.table:
        reader.add_problem("schema", versions, fields.MISSING)
        return None
    version = reader.table["schema"]
    is_integer = isinstance(version, int) and not isinstance(version, bool)
    in_bounds = is_integer and 0 < version <= MAXIMUM_SCHEMA_VERSION
    build = schemas.get(str(version)) if in_bounds else None
    if build is None:
        reader.problems.append(
            errors.SchemaUnknown(
                reader.file, reader.locate("schema"), fields.quote(version)
            )
        )
        return None
    return build()


def get_default_deduplication(idempotent: bool | None) -> str:
    """Return the deduplication method of a kind that does not specify one."""
    return "none" if idempotent else "table"


class KindFields(NamedTuple):
    """Fields of a kind whose format depends on the schema version."""

    deadline: datetime.timedelta | None
    deduplication: str | None


def read_kind(
    reader: fields.Reader,
    read_fields: Callable[[fields.Reader, bool | None], KindFields],
) -> data.RequestKind:
    """Read one `[[service.kind]]` table."""
    name = reader.read("name", fields.expect_name())
    method = reader.read(
        "method", fields.expect_text(METHOD_PATTERN, 'an HTTP method such as "GET"')
    )
    path = reader.read(
        "path",
        fields.expect_text(
            PATH_PATTERN,
            'a path such as "/history/{key}/due" with "{key}" at most once, '
            "as a whole segment",
        ),
    )
    idempotent = reader.read("idempotent", fields.expect_boolean())
    weight = reader.read(
        "weight", fields.expect_number(0, MAXIMUM_WEIGHT), DEFAULT_WEIGHT
    )
    body_bytes = reader.read(
        "maximum_body_bytes",
        fields.expect_integer(0, MAXIMUM_BODY_BYTES),
        DEFAULT_MAXIMUM_BODY_BYTES,
    )
    version_fields = read_fields(reader, idempotent)
    reader.report_unknown_fields()
    return data.RequestKind(
        name,
        method,
        path,
        idempotent,
        weight,
        version_fields.deadline,
        body_bytes,
        version_fields.deduplication,
    )


def read_service(
    reader: fields.Reader,
    schema: int,
    key_part: data.KeyPart | None,
    horizon: datetime.timedelta | None,
    read_kind_fields: Callable[[fields.Reader, bool | None], KindFields],
) -> data.Service:
    """Read the fields of a service that all versions share."""
    name = reader.read("name", fields.expect_name())
    key_bytes = reader.read(
        "maximum_key_bytes",
        fields.expect_integer(1, MAXIMUM_KEY_BYTES),
        DEFAULT_MAXIMUM_KEY_BYTES,
    )
    shard_count = reader.read(
        "shard_count",
        fields.expect_integer(1, MAXIMUM_SHARD_COUNT),
        DEFAULT_SHARD_COUNT,
    )
    kinds = tuple(
        read_kind(kind, read_kind_fields) for kind in reader.open_tables("kind")
    )
    if not reader.table.get("kind"):
        reader.add_problem("kind", "at least one [[service.kind]]", fields.MISSING)
    reader.report_unknown_fields()
    return data.Service(name, schema, key_part, key_bytes, shard_count, horizon, kinds)


def read_target(reader: fields.Reader) -> data.Target:
    """Read a `[[target]]` table."""
    target = data.Target(
        name=reader.read("name", fields.expect_name()),
        service=reader.read("service", fields.expect_name()),
        data_centre=reader.read("data_centre", fields.expect_name()),
        host=reader.read("host", fields.expect_host()),
        port=reader.read("port", fields.expect_integer(1, 65_535)),
        slots=reader.read("slots", fields.expect_integer(1, MAXIMUM_SLOTS)),
        connections=reader.read("connections", fields.expect_integer(1, MAXIMUM_SLOTS)),
        fenced=reader.read("fenced", fields.expect_boolean()),
        draining=reader.read("draining", fields.expect_boolean(), False),
    )
    reader.report_unknown_fields()
    return target


def write_target(target: data.Target, schema: int) -> dict:
    """Return the record of `target`."""
    return {"schema": schema, **target._asdict()}


def write_service(
    service: data.Service, version_fields: Mapping, kinds: list[dict]
) -> dict:
    """Return the record of `service`, with the fields specific to its version."""
    return {
        "schema": service.schema,
        "name": service.name,
        "maximum_key_bytes": service.maximum_key_bytes,
        "shard_count": service.shard_count,
        **version_fields,
        "kind": kinds,
    }


def write_kind(kind: data.RequestKind, version_fields: Mapping) -> dict:
    """Return the record of `kind`, with the fields specific to its version."""
    shared = kind._asdict()
    del shared["deadline"], shared["deduplication"]
    return {**shared, **version_fields}


# Version 1.


def read_key_text(value: Any) -> data.KeyPart | None:
    """Parse the string that states the key part in version 1."""
    if not isinstance(value, str) or not KEY_TEXT_PATTERN.fullmatch(value):
        return None
    source, _, name = value.partition(":")
    return data.KeyPart(source, name or PATH_KEY_NAME)


def read_kind_fields_1(reader: fields.Reader, idempotent: bool | None) -> KindFields:
    """Read the deadline of a version 1 kind."""
    check = fields.expect_milliseconds(MINIMUM_DEADLINE, MAXIMUM_DEADLINE)
    return KindFields(
        reader.read("deadline_ms", check), get_default_deduplication(idempotent)
    )


def read_service_1(reader: fields.Reader) -> data.Service:
    """Read a version 1 service."""
    check = fields.FieldCheck('"path", "header:Name" or "query:name"', read_key_text)
    key_part = reader.read("key", check)
    return read_service(reader, 1, key_part, DEFAULT_OUTAGE_HORIZON, read_kind_fields_1)


def write_service_1(service: data.Service) -> dict:
    """Return the version 1 record, without the fields that version 2 added."""
    source, name = service.key_part
    millisecond = datetime.timedelta(milliseconds=1)
    return write_service(
        service,
        {"key": source if source == "path" else f"{source}:{name}"},
        [
            write_kind(kind, {"deadline_ms": kind.deadline // millisecond})
            for kind in service.kinds
        ],
    )


@schemas.register("1")
def build_schema_1() -> Schema:
    """Return the functions for version 1."""
    return Schema(
        read_service_1,
        read_target,
        write_service_1,
        lambda target: write_target(target, 1),
    )


# Version 2.


def read_key_table(reader: fields.Reader) -> data.KeyPart:
    """Read the `key` table of a version 2 service."""
    source = reader.read("source", fields.expect_choice(*KEY_SOURCES))
    if source == "path":
        check, default = fields.expect_choice(PATH_KEY_NAME), PATH_KEY_NAME
    else:
        check = fields.expect_text(TOKEN_PATTERN, "the name of a header or parameter")
        default = fields.REQUIRED
    name = reader.read("name", check, default)
    reader.report_unknown_fields()
    return data.KeyPart(source, name)


def read_kind_fields_2(reader: fields.Reader, idempotent: bool | None) -> KindFields:
    """Read the deadline and the deduplication method of a version 2 kind."""
    return KindFields(
        reader.read(
            "deadline", fields.expect_duration(MINIMUM_DEADLINE, MAXIMUM_DEADLINE)
        ),
        reader.read(
            "deduplication",
            fields.expect_choice(*DEDUPLICATION_METHODS),
            get_default_deduplication(idempotent),
        ),
    )


def read_service_2(reader: fields.Reader) -> data.Service:
    """Read a version 2 service."""
    key_part = read_key_table(reader.open_table("key"))
    horizon = reader.read(
        "outage_horizon",
        fields.expect_duration(MINIMUM_OUTAGE_HORIZON, MAXIMUM_OUTAGE_HORIZON),
        DEFAULT_OUTAGE_HORIZON,
    )
    return read_service(reader, 2, key_part, horizon, read_kind_fields_2)


def write_service_2(service: data.Service) -> dict:
    """Return the version 2 record."""
    return write_service(
        service._replace(schema=2),
        {
            "key": service.key_part._asdict(),
            "outage_horizon": durations.format_duration(service.outage_horizon),
        },
        [
            write_kind(
                kind,
                {
                    "deadline": durations.format_duration(kind.deadline),
                    "deduplication": kind.deduplication,
                },
            )
            for kind in service.kinds
        ],
    )


@schemas.register("2")
def build_schema_2() -> Schema:
    """Return the functions for version 2."""
    return Schema(
        read_service_2,
        read_target,
        write_service_2,
        lambda target: write_target(target, 2),
    )
