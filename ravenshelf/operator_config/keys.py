"""Catalogue of the operator file's keys, derived from the types of its tables."""

import typing
from typing import Any

import msgspec

from ravenshelf.operator_config.errors import shortened_repr
from ravenshelf.operator_config.tables import OperatorConfiguration


def table_types() -> dict[str, type[msgspec.Struct]]:
    """Return the type of each table, by the table's name."""
    return {field.name: field.type for field in msgspec.structs.fields(OperatorConfiguration)}


def key_types(table_type: type[msgspec.Struct]) -> dict[str, Any]:
    """Return the type of each key of a table, by the key's name, with its msgspec annotation."""
    return typing.get_type_hints(table_type, include_extras=True)


def expected_value(key_type: Any) -> str:
    """Return a description of the valid values of a key.

    Args:
        key_type: The key's type as `key_types` returns it. Without a description in its annotation, the
            type's name is returned.
    """
    for annotation in getattr(key_type, "__metadata__", ()):
        if annotation.description:
            return str(annotation.description)
    return str(getattr(key_type, "__name__", key_type))


def changed_tables(
    first_operator: OperatorConfiguration, second_operator: OperatorConfiguration
) -> list[str]:
    """Return the names of the tables in which two operator files differ."""
    return [name for name in table_types() if getattr(first_operator, name) != getattr(second_operator, name)]


def rows() -> list[tuple[str, str, str, str]]:
    """Return a table row for each key: table, key, default and description of the valid values."""
    key_rows = []
    for table_name, table_type in table_types().items():
        defaults = table_type()
        for key, key_type in key_types(table_type).items():
            default = shortened_repr(getattr(defaults, key)).replace("'", '"')
            key_rows.append((table_name, key, default, expected_value(key_type)))
    return key_rows
