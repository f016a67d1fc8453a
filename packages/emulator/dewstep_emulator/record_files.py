"""Writes a configuration in the format of the operators' record files.

Unlike `toml_text.format_records`, it can write the older schema version of a service.
"""

import json
import pathlib
from collections.abc import Mapping
from typing import Any

from dewstep_core import data, records


def format_inline(value: Any) -> str:
    """Return a value as TOML on one line."""
    if isinstance(value, Mapping):
        members = (f"{name} = {format_inline(item)}" for name, item in value.items())
        return "{" + ", ".join(members) + "}"
    if isinstance(value, list | tuple):
        return "[" + ", ".join(map(format_inline, value)) + "]"
    return json.dumps(value)


def format_records(
    configuration: data.Configuration, schemas: Mapping[str, int] | None = None
) -> str:
    """Return the records of a configuration as TOML.

    Parameters
    ----------
    schemas : Mapping, optional
        Schema version of a service and its targets, by the name of the service.
    """
    schemas = schemas or {}
    services = {
        name: service._replace(schema=schemas.get(name, service.schema))
        for name, service in configuration.services.items()
    }
    changed = configuration._replace(services=services, records={})
    value = records.encode_configuration(changed)["records"]
    for target in value["target"]:
        target["schema"] = schemas.get(target["service"], target["schema"])
    lines = []
    for name, items in value.items():
        lines += [f"{name} = [", *(f"  {format_inline(item)}," for item in items), "]"]
    return "\n".join(lines) + "\n"


def write_records(
    configuration: data.Configuration,
    file: pathlib.Path,
    schemas: Mapping[str, int] | None = None,
) -> None:
    """Write the records of a configuration to a file."""
    file.write_text(format_records(configuration, schemas))
