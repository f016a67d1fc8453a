"""Parsing and encoding of configuration records in TOML files and in the table.

The row `configuration` contains the records as operators wrote them, each with its
schema version. The tuples of `dewstep_core.data` are derived from them. A program that
supports both versions therefore preserves records of either. A set of records with any
problem is refused as a whole.
"""

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from returns import result

from dewstep_core import data, fields, record_checks, record_schemas

ROW_KEY = "configuration"
REVISION_KEY = "revision"
"""Small row with the revision, written in the same transaction as the configuration.
Processes read it to detect a change without reading the whole configuration."""
MAXIMUM_OPERATION_IDS = 32
"""Number of operation ids kept in the row. A writer whose answer was lost reads the row
back at once, so its id is still among the most recent ones."""

MAXIMUM_REVISION = 2**53
"""JSON parsers that use double precision do not represent larger integers exactly."""

ConfigurationResult = result.Result[data.Configuration, tuple[fields.Problem, ...]]


class Origin(NamedTuple):
    """Who wrote a revision of the configuration."""

    operations: tuple[str, ...] = ()
    """Ids of the most recent transactions, the newest last."""
    author: str = ""
    time: str = ""
    """Wall time in ISO 8601, for display only."""


NO_ORIGIN = Origin()


def parse_texts(
    texts: Iterable[tuple[str, str]], revision: int = 0
) -> ConfigurationResult:
    """Return the configuration that several TOML texts define together.

    Parameters
    ----------
    texts : iterable of (str, str)
        Name of the file, used in problems, and its text.
    revision : int
        Revision of the returned configuration.

    Returns
    -------
    Result
        The configuration, or all problems of all files.
    """
    problems: list[fields.Problem] = []
    documents = []
    for file, text in texts:
        parsed = fields.parse_toml(file, text)
        if isinstance(parsed, result.Success):
            documents.append((file, parsed.unwrap()))
        else:
            problems.extend(parsed.failure())
    return build_configuration(documents, revision, problems)


def parse_files(files: Iterable[str], revision: int = 0) -> ConfigurationResult:
    """Return the configuration in TOML files, or all problems of all files."""
    problems: list[fields.Problem] = []
    documents = []
    for file in files:
        parsed = fields.read_text(file).bind(
            lambda text, file=file: fields.parse_toml(file, text)
        )
        if isinstance(parsed, result.Success):
            documents.append((file, parsed.unwrap()))
        else:
            problems.extend(parsed.failure())
    return build_configuration(documents, revision, problems)


def build_configuration(
    documents: Iterable[tuple[str, Any]],
    revision: int,
    problems: list[fields.Problem],
    place: str = "",
) -> ConfigurationResult:
    """Return the configuration in parsed documents.

    Parameters
    ----------
    documents : iterable of (str, Any)
        Name and content of each document.
    revision : int
        Revision of the returned configuration.
    problems : list of Problem
        Problems found so far. The configuration is refused if there are any.
    place : str
        Path of the records within the documents.
    """
    services: list[record_checks.LocatedRecord] = []
    targets: list[record_checks.LocatedRecord] = []
    for file, document in documents:
        reader = fields.Reader(document, file, place, problems)
        services += read_records(reader, "service")
        targets += read_records(reader, "target")
        reader.report_unknown_fields()
    problems.extend(record_checks.check_records(services, targets))
    if problems:
        return result.Failure(tuple(problems))
    return result.Success(
        data.Configuration(
            revision,
            {item.value.name: item.value for item in services},
            {item.value.name: item.value for item in targets},
            {
                "service": tuple(item.raw for item in services),
                "target": tuple(item.raw for item in targets),
            },
        )
    )


def read_records(
    reader: fields.Reader, record_type: str
) -> list[record_checks.LocatedRecord]:
    """Read all records of one type in a document."""
    return [read_record(item, record_type) for item in reader.open_tables(record_type)]


def read_record(reader: fields.Reader, record_type: str) -> record_checks.LocatedRecord:
    """Read one record using the schema version that it names."""
    schema = record_schemas.find_schema(reader)
    value = None
    if schema is not None:
        read = schema.read_service if record_type == "service" else schema.read_target
        value = read(reader)
    return record_checks.LocatedRecord(reader.file, reader.place, reader.table, value)


def encode_configuration(
    configuration: data.Configuration, origin: Origin = NO_ORIGIN
) -> dict:
    """Return the JSON value of the row `configuration`.

    A record whose parsed form is unchanged is kept as written. A changed or new record
    is encoded in its own schema version if that can express it, otherwise in the
    latest one that can.
    """
    return {
        "revision": configuration.revision,
        "records": {
            "service": encode_records(configuration, "service"),
            "target": encode_records(configuration, "target"),
        },
        "operations": list(origin.operations[-MAXIMUM_OPERATION_IDS:]),
        "author": origin.author,
        "time": origin.time,
    }


def encode_records(configuration: data.Configuration, record_type: str) -> list[dict]:
    """Return the records of one type."""
    stored = {raw["name"]: raw for raw in configuration.records.get(record_type, ())}
    values = getattr(configuration, f"{record_type}s").values()
    return [
        encode_record(value, stored.get(value.name), record_type) for value in values
    ]


def encode_record(
    value: data.Service | data.Target, stored: Mapping | None, record_type: str
) -> dict:
    """Return the record of one service or target."""
    if stored is not None and parse_record(stored, record_type) == value:
        return dict(stored)
    version = str(stored["schema"]) if stored is not None else ""
    if record_type == "service":
        version = str(value.schema)
    for candidate in (version, *reversed(tuple(record_schemas.schemas))):
        build = record_schemas.schemas.get(candidate)
        if build is None:
            continue
        write = getattr(build(), f"write_{record_type}")
        record = write(value)
        parsed = parse_record(record, record_type)
        if parsed == value or differs_only_in_schema(parsed, value):
            return record
    raise ValueError(f"no schema version can express {record_type} {value.name!r}")


def differs_only_in_schema(parsed: Any, value: Any) -> bool:
    """Return whether both are services that differ at most in the schema version."""
    are_services = isinstance(parsed, data.Service) and isinstance(value, data.Service)
    return are_services and parsed._replace(schema=value.schema) == value


def parse_record(record: Mapping, record_type: str) -> Any:
    """Return the tuple for a single record, or None if the record has a problem."""
    problems: list[fields.Problem] = []
    located = read_record(
        fields.Reader(record, ROW_KEY, record_type, problems), record_type
    )
    return None if problems else located.value


def decode_configuration(value: Any) -> ConfigurationResult:
    """Decode the JSON value of the row `configuration`."""
    problems: list[fields.Problem] = []
    reader = fields.Reader(value, ROW_KEY, "", problems)
    revision = reader.read("revision", fields.expect_integer(1, MAXIMUM_REVISION))
    read_origin(reader)
    # The table client adds "operation_id" to every value that it writes.
    reader.known_fields.update(("records", "operation_id"))
    reader.report_unknown_fields()
    records = reader.table.get("records")
    return build_configuration([(ROW_KEY, records)], revision, problems, "records")


def decode_origin(value: Any) -> Origin:
    """Return who wrote a row `configuration`, or `NO_ORIGIN` if a field is invalid."""
    problems: list[fields.Problem] = []
    origin = read_origin(fields.Reader(value, ROW_KEY, "", problems))
    return origin if not problems else NO_ORIGIN


def read_origin(reader: fields.Reader) -> Origin:
    """Read the fields that identify who wrote the row."""
    text_check = fields.FieldCheck(
        "a string", lambda value: value if isinstance(value, str) else None
    )
    return Origin(
        reader.read("operations", fields.expect_list(text_check), ()),
        reader.read("author", text_check, ""),
        reader.read("time", text_check, ""),
    )
