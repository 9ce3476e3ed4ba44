"""Checks of the files and extras that an operator file requires.

A start of the process would fail on the same problems, since it reads these files and imports these modules.
"""

import importlib.util
from collections.abc import Iterator
from pathlib import Path

from ravenshelf.operator_config.errors import Problem
from ravenshelf.operator_config.tables import OperatorConfiguration


def named_file_problems(operator: OperatorConfiguration, file: str) -> list[Problem]:
    """Return the problems of the files that an operator file names, and the extras that are not installed.

    Args:
        operator: The operator file's tables.
        file: The file's path for the problems.
    """
    return [
        *_missing_extras(operator, file),
        *_users_problems(operator, file),
        *_types_problems(operator, file),
    ]


def _missing_extras(operator: OperatorConfiguration, file: str) -> Iterator[Problem]:
    required_modules = (
        ("graphite", operator.graphite.receivers, ("hdrh", "xxhash")),
        ("collectd", operator.collectd.listen, ("cryptography", "xxhash")),
        ("leadership", operator.leadership.name, ("xxhash",)),
        ("distribution", operator.distribution.name, ("xxhash",)),
    )
    for extra, is_enabled, modules in required_modules:
        missing_modules = [
            module for module in modules if is_enabled and importlib.util.find_spec(module) is None
        ]
        if missing_modules:
            expectation = f"the extra {extra} to be installed"
            yield Problem(file, f"[{extra}]", f"no module {', '.join(missing_modules)}", expectation)


def _users_problems(operator: OperatorConfiguration, file: str) -> Iterator[Problem]:
    if not operator.collectd.users:
        return
    from ravenshelf.collectd import users

    try:
        users.load(operator.collectd.users)
    except users.UsersFileError as error:
        yield Problem(file, "[collectd] users", detail=str(error))


def _types_problems(operator: OperatorConfiguration, file: str) -> Iterator[Problem]:
    types_file = operator.collectd.types
    if not types_file:
        return
    from ravenshelf.collectd import types

    try:
        types.parse(Path(types_file).read_text(encoding="utf-8"), types_file)
    except OSError as error:
        yield Problem(file, "[collectd] types", detail=f"{types_file}: {error.strerror}")
    except (types.TypesFileError, UnicodeDecodeError) as error:
        yield Problem(file, "[collectd] types", detail=str(error))
