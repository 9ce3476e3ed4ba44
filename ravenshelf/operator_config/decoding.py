"""Decoding of a TOML document into the tables of the operator file."""

import difflib
from collections.abc import Mapping, Sequence
from typing import Any

import msgspec

from ravenshelf.operator_config.consistency import consistency_problems
from ravenshelf.operator_config.errors import OperatorConfigurationError, Problem, shortened_repr
from ravenshelf.operator_config.keys import expected_value, key_types, table_types
from ravenshelf.operator_config.tables import OperatorConfiguration

MIN_SIMILARITY = 0.5  # Lowest similarity, from 0 to 1, of a name that an error message suggests.


def decode(document: Mapping[str, Any], file: str) -> OperatorConfiguration:
    """Return the tables of a document; a key missing from the document has its default value.

    Args:
        document: The parsed TOML document.
        file: The file's path for the problems.

    Raises:
        OperatorConfigurationError: The document has problems. The error has all problems of single keys, or
            all problems that concern several keys if each key by itself is valid.
    """
    problems: list[Problem] = []
    types_by_table = table_types()
    tables: dict[str, Any] = {}
    for name, value in document.items():
        if name not in types_by_table:
            kind = "table" if isinstance(value, dict) else "key"
            problems.append(Problem(file, name, _unknown_name(kind, name, list(types_by_table))))
        elif isinstance(value, dict):
            tables[name] = _decode_table(file, name, types_by_table[name], value, problems)
        else:
            problems.append(Problem(file, f"[{name}]", shortened_repr(value), "a table"))
    operator = OperatorConfiguration(**tables)
    if not problems:
        problems += consistency_problems(operator, file)
    if problems:
        raise OperatorConfigurationError(problems)
    return operator


def _decode_table(
    file: str, name: str, table_type: type[msgspec.Struct], table: dict[str, Any], problems: list[Problem]
) -> msgspec.Struct:
    types_by_key = key_types(table_type)
    values = {}
    for key, value in table.items():
        if key not in types_by_key:
            problems.append(Problem(file, f"[{name}] {key}", _unknown_name("key", key, list(types_by_key))))
            continue
        try:
            values[key] = msgspec.convert(value, types_by_key[key])
        except msgspec.ValidationError as error:
            position = str(error).partition(" - at `$")[2].rstrip("`")
            path = f"[{name}] {key}{position}"
            problems.append(Problem(file, path, shortened_repr(value), expected_value(types_by_key[key])))
    return table_type(**values)


def _unknown_name(kind: str, name: str, valid_names: Sequence[str]) -> str:
    similar_names = difflib.get_close_matches(name, valid_names, 1, MIN_SIMILARITY)
    hint = f"did you mean {similar_names[0]}?" if similar_names else f"known names: {', '.join(valid_names)}"
    return f"a {kind} that is not known; {hint}"
