"""Formats settings and configuration records as TOML, for the processes of a fleet."""

import json
from collections.abc import Mapping
from typing import Any

from dewstep_core import data, records


def format_toml(values: Mapping[str, Any], place: str = "", header: str = "") -> str:
    """Return `values` as TOML; mappings become tables, lists of mappings table arrays.

    Parameters
    ----------
    values : Mapping
    place : str
        Dotted name of the table that contains `values`, empty for the whole document.
    header : str
        First line of the table.
    """
    lines = [header] if header else []
    nested = []
    for name, value in values.items():
        inner = f"{place}.{name}" if place else name
        if isinstance(value, Mapping):
            nested.append(format_toml(value, inner, f"[{inner}]"))
        elif isinstance(value, list) and value and isinstance(value[0], Mapping):
            nested += [format_toml(item, inner, f"[[{inner}]]") for item in value]
        else:
            # The JSON form of strings, numbers and lists is valid TOML.
            lines.append(f"{name} = {json.dumps(value)}")
    return "\n".join(lines + nested) + "\n"


def format_records(configuration: data.Configuration) -> str:
    """Return the records of a configuration as operators write them into a file."""
    return format_toml(records.encode_configuration(configuration)["records"])
