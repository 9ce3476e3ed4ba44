"""What a pilot is told at its start: read once and checked, with a complaint that names the field."""

import json
import os
from collections.abc import Mapping
from typing import Any

from ravenshelf.errors import RavenshelfError
from ravenshelf.net.datagrams import address
from ravenshelf.net.endpoint_codec import EndpointListDecoder, UnreadableListError


class ConfigurationError(RavenshelfError):
    """The configuration can't be used; the text names the field and what was expected."""


def _address(said: dict, name: str) -> None:
    value = said.get(name)
    try:
        host, port = address(value)
        if not host or not 0 <= port < 65536:
            raise ValueError
    except (AttributeError, TypeError, ValueError):
        raise ConfigurationError(f"{name}: expected host:port, not {value!r}") from None


def _map(said: dict, name: str) -> dict:
    if not isinstance(said.get(name), dict):
        raise ConfigurationError(f"{name}: expected an object, not {str(said.get(name))[:60]!r}")
    return said[name]


def _names(settings: dict, name: str) -> None:
    value = settings.get(name)
    if not isinstance(value, list) or not value:
        raise ConfigurationError(
            f"settings.{name}: expected a list that is not empty, not {str(value)[:60]!r}"
        )


def check(said: Any) -> dict:
    if not isinstance(said, dict):
        raise ConfigurationError("configuration: expected an object")
    _address(said, "listen")
    _address(said, "discovery")
    settings = _map(said, "settings")
    _names(settings, "azs")
    _names(settings, "classes")
    if not all(isinstance(c, dict) and isinstance(c.get("name"), str) for c in settings["classes"]):
        raise ConfigurationError("settings.classes: expected objects with a name each")
    limits = _map(said, "limits") if "limits" in said else {}
    sockets = limits.get("sockets", 1024)
    if not isinstance(sockets, int) or sockets < 64:
        raise ConfigurationError(f"limits.sockets: expected a whole number from 64, not {sockets!r}")
    try:
        int(str(said.get("seed", "0")), 16)
    except ValueError:
        raise ConfigurationError(f"seed: expected hexadecimal text, not {said.get('seed')!r}") from None
    peers = said.get("peers") or []
    if not isinstance(peers, list):
        raise ConfigurationError(f"peers: expected a list of addresses, not {str(peers)[:60]!r}")
    for n, peer in enumerate(peers):
        _address({f"peers[{n}]": peer}, f"peers[{n}]")
    for name in ("peer_listen", "peers_all"):
        if said.get(name) is not None:
            _address(said, name)
    if said.get("known") is not None:
        try:
            EndpointListDecoder.check(said["known"])
        except UnreadableListError as why:
            raise ConfigurationError(f"known: {why}") from None
    return said


def read(path: str | None, environment: Mapping[str, str] = os.environ) -> dict:
    """The file at `path`, or the one that RELAY_CONFIG names; other variables fill in what it leaves out."""
    path = path or environment.get("RELAY_CONFIG")
    if not path:
        raise ConfigurationError("RELAY_CONFIG: expected the path of the configuration, it is not set")
    try:
        with open(path, encoding="utf-8") as file:
            said = json.load(file)
    except OSError as why:
        raise ConfigurationError(f"{path}: {why.strerror}") from None
    except ValueError as why:
        raise ConfigurationError(f"{path}: expected JSON, {why}") from None
    if isinstance(said, dict):
        for name in ("name", "listen", "discovery"):
            if name not in said and f"RELAY_{name.upper()}" in environment:
                said[name] = environment[f"RELAY_{name.upper()}"]
    return check(said)


def renewed(old: dict, new: dict) -> tuple[dict, list[str]]:
    """The configuration that a reload makes of both, and what of the new one waits for a restart.

    A file of another deployment, by mistake, would lead the pilot to another's discovery: it is refused. Otherwise
    only discovery's address is taken: what is known of the list is newer than `known`, a seed begins with a start."""
    for name, of in (("azs", str), ("classes", lambda each: str(each["name"]))):
        ours, theirs = ([of(each) for each in said["settings"][name]] for said in (old, new))
        if not set(ours) <= set(theirs):
            raise ConfigurationError(
                f"settings.{name}: expected those that this pilot serves, {', '.join(ours)}, not {', '.join(theirs)}; "
                "this is another deployment's configuration, nothing of it is taken"
            )
    waiting = []
    for name in sorted((set(old) | set(new)) - {"discovery", "known", "seed"}):
        had, has = old.get(name), new.get(name)
        if isinstance(had, dict) and isinstance(has, dict):
            waiting += [
                f"{name}.{part}" for part in sorted(set(had) | set(has)) if had.get(part) != has.get(part)
            ]
        elif had != has:
            waiting.append(name)
    return old | {"discovery": new["discovery"]}, waiting


def summary(said: dict) -> str:
    settings = said["settings"]
    known = said.get("known") or {"targets": []}
    return (
        f"{said.get('name', 'a pilot')}: listens at {said['listen']}, discovery at {said['discovery']} "
        f"({settings.get('discovery', 'on_request')}); zones {len(settings['azs'])}, classes "
        f"{len(settings['classes'])}, peers {len(said.get('peers') or [])}, known endpoints "
        f"{len(known['targets'])}"
    )
