"""Configuration records: from the operators' files to the table and back.

The row `configuration` keeps the records as the operators wrote them, each with its
schema version, and the tuples of `dewstep_core.data` are derived from them. A program
that knows both versions therefore passes records of either on unchanged. A set of
records with any problem is refused as a whole.
"""

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from returns import result

from dewstep_core import data, fields, record_checks, record_schemas

ROW_KEY = "configuration"
REVISION_KEY = "revision"
"""Small row, written together with the configuration, that tells its revision, so that
the processes need not read the whole configuration to see that it is unchanged."""
OPERATION_COUNT = 32
"""Operation ids kept in the row. A writer that lost an answer reads back at once, so
its id is still among the last few."""

MAXIMUM_REVISION = 2**53
"""Larger integers are not exact in every JSON parser."""

ConfigurationResult = result.Result[data.Configuration, tuple[fields.Problem, ...]]


class Origin(NamedTuple):
    """Who wrote a revision of the configuration."""

    operations: tuple[str, ...] = ()
    """Ids of the most recent transactions, the newest last."""
    author: str = ""
    time: str = ""
    """Wall time in ISO 8601, for people."""


NO_ORIGIN = Origin()


def parse_texts(
    texts: Iterable[tuple[str, str]], revision: int = 0
) -> ConfigurationResult:
    """Return the configuration in TOML texts that are in force together.

    Parameters
    ----------
    texts : iterable of (str, str)
        Name of the file, for the problems, and its text.
    revision : int
        Revision that the configuration gets.

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
        Revision that the configuration gets.
    problems : list of Problem
        Problems found so far; any refuses the configuration.
    place : str
        Path of the records within the documents.
    """
    services: list[record_checks.Located] = []
    targets: list[record_checks.Located] = []
    for file, document in documents:
        reader = fields.Reader(document, file, place, problems)
        services += read_records(reader, "service")
        targets += read_records(reader, "target")
        reader.finish()
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


def read_records(reader: fields.Reader, name: str) -> list[record_checks.Located]:
    """Read all records of one type in a document."""
    return [read_record(item, name) for item in reader.open_tables(name)]


def read_record(reader: fields.Reader, name: str) -> record_checks.Located:
    """Read one record with the schema that it names."""
    schema = record_schemas.open_schema(reader)
    value = None
    if schema is not None:
        read = schema.read_service if name == "service" else schema.read_target
        value = read(reader)
    return record_checks.Located(reader.file, reader.place, reader.table, value)


def encode_configuration(
    configuration: data.Configuration, origin: Origin = NO_ORIGIN
) -> dict:
    """Return the JSON value of the row `configuration`.

    A record that still means what the configuration says is kept as it was written;
    any other is written anew in its own schema version where that can express it, and
    in the latest otherwise.
    """
    return {
        "revision": configuration.revision,
        "records": {
            "service": encode_records(configuration, "service"),
            "target": encode_records(configuration, "target"),
        },
        "operations": list(origin.operations[-OPERATION_COUNT:]),
        "author": origin.author,
        "time": origin.time,
    }


def encode_records(configuration: data.Configuration, name: str) -> list[dict]:
    """Return the records of one type."""
    kept = {raw["name"]: raw for raw in configuration.records.get(name, ())}
    values = getattr(configuration, f"{name}s").values()
    return [encode_record(value, kept.get(value.name), name) for value in values]


def encode_record(
    value: data.Service | data.Target, kept: Mapping | None, name: str
) -> dict:
    """Return the record of one service or target."""
    if kept is not None and parse_record(kept, name) == value:
        return dict(kept)
    version = str(kept["schema"]) if kept is not None else ""
    if name == "service":
        version = str(value.schema)
    for candidate in (version, *reversed(tuple(record_schemas.schemas))):
        build = record_schemas.schemas.get(candidate)
        if build is None:
            continue
        write = getattr(build(), f"write_{name}")
        record = write(value)
        parsed = parse_record(record, name)
        if parsed == value or is_same_but_schema(parsed, value):
            return record
    raise ValueError(f"no schema version can express {name} {value.name!r}")


def is_same_but_schema(parsed: Any, value: Any) -> bool:
    """Return whether services differ only in their schema version."""
    both = isinstance(parsed, data.Service) and isinstance(value, data.Service)
    return both and parsed._replace(schema=value.schema) == value


def parse_record(record: Mapping, name: str) -> Any:
    """Return the tuple of a single record, or None if it has a problem."""
    problems: list[fields.Problem] = []
    located = read_record(fields.Reader(record, ROW_KEY, name, problems), name)
    return None if problems else located.value


def decode_configuration(value: Any) -> ConfigurationResult:
    """Return the configuration in the JSON value of the row `configuration`."""
    problems: list[fields.Problem] = []
    reader = fields.Reader(value, ROW_KEY, "", problems)
    revision = reader.read("revision", fields.expect_integer(1, MAXIMUM_REVISION))
    read_origin(reader)
    # The table's client adds the id of the last operation to every value it writes.
    reader.known.update(("records", "operation_id"))
    reader.finish()
    records = reader.table.get("records")
    return build_configuration([(ROW_KEY, records)], revision, problems, "records")


def decode_origin(value: Any) -> Origin:
    """Return who wrote a row `configuration`; wrong parts are left empty."""
    problems: list[fields.Problem] = []
    origin = read_origin(fields.Reader(value, ROW_KEY, "", problems))
    return origin if not problems else NO_ORIGIN


def read_origin(reader: fields.Reader) -> Origin:
    """Read the fields that say who wrote the row."""
    text = fields.FieldCheck(
        "a string", lambda value: value if isinstance(value, str) else None
    )
    return Origin(
        reader.read("operations", fields.expect_list(text), ()),
        reader.read("author", text, ""),
        reader.read("time", text, ""),
    )
