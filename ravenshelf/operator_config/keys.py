"""The catalogue of the operator file's keys, from the types of its tables."""

import typing
from typing import Any

import msgspec

from ravenshelf.operator_config.errors import shown
from ravenshelf.operator_config.tables import OperatorConfiguration


def table_types() -> dict[str, type[msgspec.Struct]]:
    """Return the type of each table by its name."""
    return {field.name: field.type for field in msgspec.structs.fields(OperatorConfiguration)}


def key_types(table_type: type[msgspec.Struct]) -> dict[str, Any]:
    """Return the annotated type of each key of a table."""
    return typing.get_type_hints(table_type, include_extras=True)


def expected_value(key_type: Any) -> str:
    """Return the description of the values that a key may have."""
    for annotation in getattr(key_type, "__metadata__", ()):
        if annotation.description:
            return str(annotation.description)
    return str(getattr(key_type, "__name__", key_type))


def changed_tables(previous: OperatorConfiguration, current: OperatorConfiguration) -> list[str]:
    """Return the names of the tables that differ."""
    return [name for name in table_types() if getattr(previous, name) != getattr(current, name)]


def rows() -> list[tuple[str, str, str, str]]:
    """Return table, key, default and expected value of each key, as the rows of a table."""
    found = []
    for table_name, table_type in table_types().items():
        defaults = table_type()
        for key, key_type in key_types(table_type).items():
            default = shown(getattr(defaults, key)).replace("'", '"')
            found.append((table_name, key, default, expected_value(key_type)))
    return found
