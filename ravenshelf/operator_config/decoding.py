"""Decodes a TOML document into the tables of the operator file; all that is wrong is raised at once."""

import difflib
from collections.abc import Mapping, Sequence
from typing import Any

import msgspec

from ravenshelf.operator_config.consistency import consistency_problems
from ravenshelf.operator_config.errors import OperatorConfigurationError, Problem, shown
from ravenshelf.operator_config.keys import expected_value, key_types, table_types
from ravenshelf.operator_config.tables import OperatorConfiguration

MIN_SIMILARITY = 0.5


def decode(document: Mapping[str, Any], file: str) -> OperatorConfiguration:
    """Return the tables of a document; raises OperatorConfigurationError, whose problems name `file`."""
    problems: list[Problem] = []
    known = table_types()
    tables: dict[str, Any] = {}
    for name, value in document.items():
        if name not in known:
            kind = "table" if isinstance(value, dict) else "key"
            problems.append(Problem(file, name, _unknown(kind, name, list(known))))
        elif isinstance(value, dict):
            tables[name] = _decode_table(file, name, known[name], value, problems)
        else:
            problems.append(Problem(file, f"[{name}]", shown(value), "a table"))
    operator = OperatorConfiguration(**tables)
    if not problems:
        problems += consistency_problems(operator, file)
    if problems:
        raise OperatorConfigurationError(problems)
    return operator


def _decode_table(
    file: str, name: str, table_type: type[msgspec.Struct], value: dict[str, Any], problems: list[Problem]
) -> msgspec.Struct:
    known = key_types(table_type)
    decoded = {}
    for key, found in value.items():
        if key not in known:
            problems.append(Problem(file, f"[{name}] {key}", _unknown("key", key, list(known))))
            continue
        try:
            decoded[key] = msgspec.convert(found, known[key])
        except msgspec.ValidationError as error:
            position = str(error).partition(" - at `$")[2].rstrip("`")
            path = f"[{name}] {key}{position}"
            problems.append(Problem(file, path, shown(found), expected_value(known[key])))
    return table_type(**decoded)


def _unknown(kind: str, name: str, known: Sequence[str]) -> str:
    similar = difflib.get_close_matches(name, known, 1, MIN_SIMILARITY)
    hint = f"did you mean {similar[0]}?" if similar else f"known here: {', '.join(known)}"
    return f"a {kind} that is not known; {hint}"
