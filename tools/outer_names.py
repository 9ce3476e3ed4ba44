"""List the names that other programs, operators or stored data depend on.

    python -m tools.outer_names            # print the names found in the code, "kind: name" a line
    python -m tools.outer_names --write    # write them to tests/data/outer_names.txt

Refactoring must keep these names letter for letter. `tests/architecture/test_outer_names.py` compares the
file with the code.
"""

import argparse
import ast
import re
import sys
from collections.abc import Iterator
from enum import Enum
from pathlib import Path

import msgspec
import typer.main

from ravenshelf import log_events
from ravenshelf.collectd.protocol import RejectionReason
from ravenshelf.commands.application import app
from ravenshelf.distribution import messages as distribution_messages
from ravenshelf.distribution import services_file
from ravenshelf.graphite import metrics
from ravenshelf.leadership.decisions import claims
from ravenshelf.net import connection_end
from ravenshelf.operator_config import tables
from ravenshelf.process import configuration

ROOT = Path(__file__).resolve().parent.parent
NAMES_FILE = ROOT / "tests" / "data" / "outer_names.txt"
WORD = re.compile(r"-{0,2}[A-Za-z_*][\w.\-/:%*]*")

# modules whose one-word texts are names of a protocol, a file format or an operator's interface
MODULES_BY_KIND = {
    "client and peer messages": (
        "ravenshelf/net/stream_codec.py",
        "ravenshelf/net/http.py",
        "ravenshelf/net/datagrams.py",
        "ravenshelf/process/acceptor.py",
        "ravenshelf/process/relay.py",
    ),
    "endpoint registry": (
        "ravenshelf/net/endpoint_codec.py",
        "ravenshelf/process/list_updates.py",
        "ravenshelf/process/registry_client.py",
    ),
    "simulator": (
        "ravenshelf/simulator/decode.py",
        "ravenshelf/simulator/encode.py",
        "ravenshelf/simulator/host.py",
    ),
    "messages between members": (
        "ravenshelf/leadership/link.py",
        "ravenshelf/leadership/message_codec.py",
        "ravenshelf/leadership/peer_connections.py",
        "ravenshelf/distribution/connection.py",
    ),
    "administration": (
        "ravenshelf/leadership/admin.py",
        "ravenshelf/leadership/status.py",
        "ravenshelf/commands/controllers.py",
        "ravenshelf/commands/distribution.py",
        "ravenshelf/commands/store.py",
    ),
    "settings": ("ravenshelf/settings.py",),
    "serve options": ("ravenshelf/process/serving.py",),
    "configuration file": ("ravenshelf/process/configuration.py",),
    "stored data": (
        "ravenshelf/graphite/spool.py",
        "ravenshelf/leadership/persistence.py",
        "ravenshelf/leadership/record.py",
        "ravenshelf/store/journal.py",
        "ravenshelf/store/segment_format.py",
        "ravenshelf/store/segments.py",
        "ravenshelf/distribution/decisions/topics.py",
    ),
    "collectd": (
        "ravenshelf/collectd/protocol.py",
        "ravenshelf/collectd/types.py",
        "ravenshelf/collectd/decisions/series.py",
    ),
}
# enumerations whose member names or values appear in counters, commands or status output
ENUMERATIONS = (connection_end.ConnectionEnd, claims.LeaseState, RejectionReason)
# Modules whose structures are decoded from files by field name.
STRUCTURE_MODULES = (tables, services_file)
ENTRY_TYPES = (  # types that are printed as JSON objects under their field names
    distribution_messages.EndpointEntry,
    distribution_messages.TableLine,
    distribution_messages.AdmissionLevel,
    distribution_messages.Setting,
)


def is_docstring(node: ast.AST) -> bool:
    """Return whether a statement consists of a string alone."""
    return isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant)


def string_constants(node: ast.AST) -> Iterator[ast.Constant]:
    """Yield the constants of a syntax tree except docstrings, annotations and `__slots__`."""
    if isinstance(node, ast.Constant):
        yield node
    if is_docstring(node):
        return
    if isinstance(node, ast.Assign) and any(
        isinstance(target, ast.Name) and target.id in ("__slots__", "__all__") for target in node.targets
    ):
        return
    for field, value in ast.iter_fields(node):
        if field in ("annotation", "returns"):
            continue
        for child in value if isinstance(value, list) else [value]:
            if isinstance(child, ast.AST):
                yield from string_constants(child)


def texts_of_module(path: Path) -> Iterator[str]:
    """Yield the one-word texts of a module, and the one-word parts of its formatted texts."""
    tree = ast.parse(path.read_text(encoding="utf-8"))
    for constant in string_constants(tree):
        value = constant.value
        text = value.decode("latin-1") if isinstance(value, bytes) else value
        if isinstance(text, str) and WORD.fullmatch(text.strip()):
            yield text.strip()


def counter_names() -> Iterator[str]:
    """Yield the names, or the constant parts of the names, of all counters."""
    for path in sorted((ROOT / "ravenshelf").rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.Subscript) and "counters" in ast.unparse(node.value):
                key: ast.AST = node.slice
            elif (
                isinstance(node, ast.Call)
                and isinstance(node.func, ast.Attribute)
                and node.func.attr in ("add", "record_maximum")
                and "counters" in ast.unparse(node.func.value)
            ):
                key = node.args[0]
            else:
                continue
            yield from (
                constant.value.strip("_")
                for constant in string_constants(key)
                if isinstance(constant.value, str) and WORD.fullmatch(constant.value.strip("_"))
            )


def names_of_command(command: object, path: str) -> Iterator[str]:
    """Yield the names of a command, its options and arguments, and of the commands below it."""
    yield path
    for parameter in getattr(command, "params", []):
        yield from (f"{path} {option}" for option in [*parameter.opts, *parameter.secondary_opts])
    for name, below in getattr(command, "commands", {}).items():
        yield from names_of_command(below, f"{path} {name}")


def structure_fields() -> Iterator[str]:
    """Yield the fields of structures that are read or printed under their own names."""
    for module in STRUCTURE_MODULES:
        for value in vars(module).values():
            if isinstance(value, type) and issubclass(value, msgspec.Struct) and value is not msgspec.Struct:
                yield from (f"{field.encode_name}" for field in msgspec.structs.fields(value))
    for entry_type in ENTRY_TYPES:
        yield from (field.encode_name for field in msgspec.structs.fields(entry_type))


def enumeration_names(enumeration: type[Enum]) -> Iterator[str]:
    """Yield the names of an enumeration's members, and those values that are one word."""
    for member in enumeration:
        yield member.name
        if isinstance(member.value, str) and WORD.fullmatch(member.value):
            yield member.value


def outer_names() -> set[tuple[str, str]]:
    """Return every outer name found in the code, with its kind."""
    found = {
        (kind, name)
        for kind, modules in MODULES_BY_KIND.items()
        for module in modules
        for name in texts_of_module(ROOT / module)
    }
    found |= {("counters", name) for name in counter_names()}
    found |= {("enumerations", name) for each in ENUMERATIONS for name in enumeration_names(each)}
    found |= {("keys of files", name) for name in structure_fields()}
    found |= {("commands", name) for name in names_of_command(typer.main.get_command(app), "ravenshelf")}
    found |= {("environment", configuration.FILE_VARIABLE)}
    found |= {("environment", name) for name in configuration.VARIABLE_BY_FIELD.values()}
    for name, event in log_events.CATALOGUE.items():
        found |= {("log events", name)} | {("log events", f"{name} {field}") for field in event.fields}
    for path, metric in metrics.CATALOGUE.items():
        found |= {("metrics", path), ("metrics", metric.unit)}
    found |= {("metrics", name) for name, _ in metrics.QUANTILES}
    found |= {("metrics", name) for name in metrics.IMPORTANCES}
    return found


def lines(names: set[tuple[str, str]]) -> list[str]:
    """Return the names as sorted lines, "kind: name"."""
    return sorted(f"{kind}: {name}" for kind, name in names)


def main(arguments: list[str]) -> int:
    """Print or write the names; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--write", action="store_true")
    options = parser.parse_args(arguments)
    text = "\n".join(lines(outer_names())) + "\n"
    if options.write:
        NAMES_FILE.parent.mkdir(exist_ok=True)
        NAMES_FILE.write_text(text, encoding="utf-8")
    else:
        print(text, end="")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
