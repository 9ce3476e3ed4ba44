"""Reads an operator file: TOML into the tables, and every complaint about it with its place.

All that is wrong is told at once, each as `FILE: [TABLE] KEY: found X, expected Y`."""

import difflib
import importlib.util
import tomllib
import typing
from pathlib import Path

import msgspec

from ravenshelf.errors import RavenshelfError
from ravenshelf.operator_config.tables import Operator


class OperatorConfigurationError(RavenshelfError):
    """The operator file can't be used; a line for each thing that is wrong."""


def expected(kind) -> str:
    for meta in getattr(kind, "__metadata__", ()):
        if meta.description:
            return meta.description
    return str(getattr(kind, "__name__", kind))


def _nearest(name: str, known: list[str]) -> str:
    near = difflib.get_close_matches(name, known, 1, 0.5)
    return f"; did you mean {near[0]}?" if near else f"; known here: {', '.join(known)}"


def _shown(value) -> str:
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."


def tables() -> dict[str, type]:
    return {one.name: one.type for one in msgspec.structs.fields(Operator)}


def keys(table: type) -> dict[str, typing.Any]:
    return typing.get_type_hints(table, include_extras=True)


def _table(file: str, name: str, kind: type, value, wrong: list[str]):
    if not isinstance(value, dict):
        wrong.append(f"{file}: [{name}]: found {_shown(value)}, expected a table")
        return None
    known, taken = keys(kind), {}
    for key, found in value.items():
        if key not in known:
            wrong.append(f"{file}: [{name}] {key}: found a key that is not known{_nearest(key, list(known))}")
            continue
        try:
            taken[key] = msgspec.convert(found, known[key])
        except msgspec.ValidationError as why:
            place = str(why).partition(" - at `$")[2].rstrip("`")
            wrong.append(
                f"{file}: [{name}] {key}{place}: found {_shown(found)}, expected {expected(known[key])}"
            )
    return kind(**taken)


def _address(text: str) -> bool:
    host, colon, port = text.rpartition(":")
    return bool(host and colon and port.isdigit() and 0 <= int(port) < 65536)


def _together(file: str, operator: Operator, wrong: list[str]) -> None:
    """What single keys can't show."""
    graphite, collectd, background = operator.graphite, operator.collectd, operator.background
    for n, receiver in enumerate(graphite.receivers):
        if not _address(receiver) or receiver.endswith(":0"):
            wrong.append(f"{file}: [graphite] receivers[{n}]: found {_shown(receiver)}, expected host:port")
        if receiver in graphite.receivers[:n]:
            wrong.append(
                f"{file}: [graphite] receivers[{n}]: found {_shown(receiver)} again, expected each once"
            )
    if graphite.spool_mb and not graphite.spool_dir:
        wrong.append(
            f"{file}: [graphite] spool_dir: found nothing, expected a folder, since spool_mb is given"
        )
    if graphite.spool_dir and not graphite.spool_mb:
        wrong.append(f"{file}: [graphite] spool_mb: found 0, expected a bound, since spool_dir is given")
    if collectd.listen and not _address(collectd.listen):
        wrong.append(f"{file}: [collectd] listen: found {_shown(collectd.listen)}, expected host:port")
    if collectd.security != "none" and not collectd.users:
        wrong.append(
            f"{file}: [collectd] users: found nothing, expected a file, since security is "
            f'"{collectd.security}"'
        )
    _leadership(file, operator, wrong)
    _distribution(file, operator, wrong)
    if background.turn_ms > background.a_second_ms:
        wrong.append(
            f"{file}: [background] turn_ms: found {background.turn_ms:g}, expected at most a_second_ms "
            f"({background.a_second_ms:g})"
        )


def _leadership(file: str, operator: Operator, wrong: list[str]) -> None:
    table = operator.leadership
    if not table.name:
        return
    from ravenshelf.leadership.decisions import TERM_STRIDE

    if table.name not in table.members:
        wrong.append(
            f"{file}: [leadership] name: found {_shown(table.name)}, expected one of members: "
            f"{', '.join(sorted(table.members))}"
        )
    for name, place in table.members.items():
        if not _address(place):
            wrong.append(f"{file}: [leadership] members.{name}: found {_shown(place)}, expected host:port")
    if len(table.members) > TERM_STRIDE or len(set(table.members.values())) < len(table.members):
        wrong.append(
            f"{file}: [leadership] members: found {_shown(table.members)}, expected up to {TERM_STRIDE}, each at an address "
            "of its own"
        )
    if not table.cluster:
        wrong.append(f"{file}: [leadership] cluster: found nothing, expected a name that all members share")
    if not operator.store.folder:
        wrong.append(f"{file}: [store] folder: found nothing, expected a folder, since [leadership] is on")
    given = [key for key in ("certificate", "key", "authority") if getattr(table, key)]
    if given and len(given) < 3:
        wrong.append(
            f"{file}: [leadership]: found {', '.join(given)} alone, expected certificate, key and authority "
            "together"
        )


def _distribution(file: str, operator: Operator, wrong: list[str]) -> None:
    table = operator.distribution
    if not table.name:
        return
    if not table.cluster:
        wrong.append(
            f"{file}: [distribution] cluster: found nothing, expected a name that all relays and controllers share"
        )
    if bool(table.service) == bool(table.listen):
        wrong.append(
            f"{file}: [distribution]: found {'both' if table.service else 'neither'} service and listen, expected "
            "service for a pilot or listen for a relay"
        )
    if "@" in table.service or "/" in table.service:
        wrong.append(
            f"{file}: [distribution] service: found {_shown(table.service)}, expected a name without @ and /"
        )
    if table.listen and not _address(table.listen):
        wrong.append(f"{file}: [distribution] listen: found {_shown(table.listen)}, expected host:port")
    if table.services:
        _controller(file, operator, wrong)
    elif not table.parents:
        wrong.append(
            f'{file}: [distribution] parents: found none, expected one or more of name = "host:port"'
        )
    for name, place in table.parents.items():
        if not _address(place) or place.endswith(":0"):
            wrong.append(f"{file}: [distribution] parents.{name}: found {_shown(place)}, expected host:port")
        if name == table.name:
            wrong.append(f"{file}: [distribution] parents.{name}: found this relay itself, expected others")


def _controller(file: str, operator: Operator, wrong: list[str]) -> None:
    table, leadership = operator.distribution, operator.leadership
    if not table.listen:
        wrong.append(
            f"{file}: [distribution] listen: found nothing, expected host:port, since services is given"
        )
    if leadership.name != table.name:
        wrong.append(
            f"{file}: [distribution] name: found {_shown(table.name)}, expected the name of [leadership], since services is given"
        )
    others = sorted(set(leadership.members) - {leadership.name})
    if sorted(table.parents) != others:
        wrong.append(
            f"{file}: [distribution] parents: found {_shown(sorted(table.parents))}, expected the other members: "
            f"{', '.join(others)}"
        )


def check(said: dict, file: str) -> Operator:
    """The tables of what a TOML file says; raises OperatorConfigurationError."""
    wrong, known, taken = [], tables(), {}
    for name, value in said.items():
        if name not in known:
            what = "table" if isinstance(value, dict) else "key"
            wrong.append(f"{file}: {name}: found a {what} that is not known{_nearest(name, list(known))}")
        elif (table := _table(file, name, known[name], value, wrong)) is not None:
            taken[name] = table
    operator = Operator(**taken)
    if not wrong:
        _together(file, operator, wrong)
    if wrong:
        raise OperatorConfigurationError("\n".join(wrong))
    return operator


def read(path: str | Path) -> Operator:
    file = str(path)
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as why:
        raise OperatorConfigurationError(f"{file}: {why.strerror}") from None
    except UnicodeDecodeError:
        raise OperatorConfigurationError(f"{file}: expected UTF-8") from None
    try:
        said = tomllib.loads(text)
    except tomllib.TOMLDecodeError as why:
        raise OperatorConfigurationError(f"{file}: expected TOML, {why}") from None
    operator = check(said, file)
    _files(file, operator)
    return operator


def _files(file: str, operator: Operator) -> None:
    """The files that it names are read as a start would read them."""
    wrong = []
    for name, on, modules in (
        ("graphite", operator.graphite.receivers, ("hdrh", "xxhash")),
        ("collectd", operator.collectd.listen, ("cryptography", "xxhash")),
        ("leadership", operator.leadership.name, ("xxhash",)),
        ("distribution", operator.distribution.name, ("xxhash",)),
    ):
        lacks = [module for module in modules if on and importlib.util.find_spec(module) is None]
        if lacks:
            wrong.append(
                f"{file}: [{name}]: found no {', '.join(lacks)}, expected the extra {name} to be installed"
            )
    if operator.collectd.users:
        from ravenshelf.collectd import users

        try:
            users.load(operator.collectd.users)
        except users.UsersFileError as why:
            wrong.append(f"{file}: [collectd] users: {why}")
    if operator.collectd.types:
        from ravenshelf.collectd import types

        try:
            types.parse(Path(operator.collectd.types).read_text(encoding="utf-8"), operator.collectd.types)
        except OSError as why:
            wrong.append(f"{file}: [collectd] types: {operator.collectd.types}: {why.strerror}")
        except (types.TypesFileError, UnicodeDecodeError) as why:
            wrong.append(f"{file}: [collectd] types: {why}")
    if wrong:
        raise OperatorConfigurationError("\n".join(wrong))


def summary(operator: Operator) -> str:
    graphite, collectd = operator.graphite, operator.collectd
    sends = (
        f"figures every {graphite.every_s} s to {', '.join(graphite.receivers)} ({graphite.protocol}, "
        f"{graphite.route})"
        if graphite.receivers
        else "no figures"
    )
    hears = f"collectd at {collectd.listen} ({collectd.security})" if collectd.listen else "no collectd"
    return f"operator file: log as {operator.log.format}; {sends}; {hears}"


def changed(old: Operator, new: Operator) -> list[str]:
    """The tables that differ."""
    return [name for name in tables() if getattr(old, name) != getattr(new, name)]


def rows() -> list[tuple[str, str, str, str]]:
    """table, key, default, expected; for the command line and the operators' page."""
    out = []
    for name, kind in tables().items():
        default = kind()
        for key, hint in keys(kind).items():
            out.append((name, key, _shown(getattr(default, key)).replace("'", '"'), expected(hint)))
    return out
