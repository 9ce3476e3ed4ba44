"""The configuration that a server reads at its start: checked once, with errors that name the field."""

import json
import os
from collections.abc import Callable, Mapping
from typing import Any

from ravenshelf.errors import RavenshelfError
from ravenshelf.net.datagrams import address
from ravenshelf.net.endpoint_codec import EndpointListDecoder, UnreadableListError

FILE_VARIABLE = "RELAY_CONFIG"  # the environment's name for the file's path
VARIABLE_BY_FIELD = {"name": "RELAY_NAME", "listen": "RELAY_LISTEN", "discovery": "RELAY_DISCOVERY"}
LEAST_SOCKETS = 64
DEFAULT_SOCKETS = 1024
PORT_LIMIT = 65536
SHOWN_LENGTH = 60
# a reload takes the first; the list is newer than the second, and a seed begins with a start
NOT_WAITING_FOR_RESTART = frozenset(["discovery", "known", "seed"])

Configuration = dict[str, Any]


class ConfigurationError(RavenshelfError):
    """The configuration can't be used: `path` is the field or the file, `problem` what was expected."""

    def __init__(self, path: str, problem: str):
        super().__init__(f"{path}: {problem}")
        self.path = path
        self.problem = problem


def _shown(value: object) -> str:
    return repr(str(value)[:SHOWN_LENGTH])


def _check_address(value: Any, path: str) -> None:
    try:
        host, port = address(value)
        if not host or not 0 <= port < PORT_LIMIT:
            raise ValueError
    except (AttributeError, TypeError, ValueError) as error:
        raise ConfigurationError(path, f"expected host:port, not {value!r}") from error


def _object(configuration: Configuration, name: str) -> dict[str, Any]:
    value = configuration.get(name)
    if not isinstance(value, dict):
        raise ConfigurationError(name, f"expected an object, not {_shown(value)}")
    return value


def _check_settings(settings: dict[str, Any]) -> None:
    for name in ("azs", "classes"):
        value = settings.get(name)
        if not isinstance(value, list) or not value:
            raise ConfigurationError(
                f"settings.{name}", f"expected a list that is not empty, not {_shown(value)}"
            )
    if not all(isinstance(each, dict) and isinstance(each.get("name"), str) for each in settings["classes"]):
        raise ConfigurationError("settings.classes", "expected objects with a name each")


def _check_limits(configuration: Configuration) -> None:
    limits = _object(configuration, "limits") if "limits" in configuration else {}
    sockets = limits.get("sockets", DEFAULT_SOCKETS)
    if not isinstance(sockets, int) or sockets < LEAST_SOCKETS:
        raise ConfigurationError(
            "limits.sockets", f"expected a whole number from {LEAST_SOCKETS}, not {sockets!r}"
        )


def _check_seed(configuration: Configuration) -> None:
    try:
        int(str(configuration.get("seed", "0")), 16)
    except ValueError as error:
        seed = configuration.get("seed")
        raise ConfigurationError("seed", f"expected hexadecimal text, not {seed!r}") from error


def _check_peers(configuration: Configuration) -> None:
    peers = configuration.get("peers") or []
    if not isinstance(peers, list):
        raise ConfigurationError("peers", f"expected a list of addresses, not {_shown(peers)}")
    for number, peer in enumerate(peers):
        _check_address(peer, f"peers[{number}]")
    for name in ("peer_listen", "peers_all"):
        if configuration.get(name) is not None:
            _check_address(configuration[name], name)


def check(configuration: object) -> Configuration:
    """Return the configuration if it is valid; raises ConfigurationError."""
    if not isinstance(configuration, dict):
        raise ConfigurationError("configuration", "expected an object")
    _check_address(configuration.get("listen"), "listen")
    _check_address(configuration.get("discovery"), "discovery")
    _check_settings(_object(configuration, "settings"))
    _check_limits(configuration)
    _check_seed(configuration)
    _check_peers(configuration)
    if configuration.get("known") is not None:
        try:
            EndpointListDecoder.check(configuration["known"])
        except UnreadableListError as error:
            raise ConfigurationError("known", str(error)) from error
    return configuration


def read(path: str | None, environment: Mapping[str, str] = os.environ) -> Configuration:
    """Read the file at `path`, or the one that RELAY_CONFIG names; raises ConfigurationError.

    Other variables fill in what the file leaves out.
    """
    path = path or environment.get(FILE_VARIABLE)
    if not path:
        raise ConfigurationError(FILE_VARIABLE, "expected the path of the configuration, it is not set")
    try:
        with open(path, encoding="utf-8") as file:
            configuration = json.load(file)
    except OSError as error:
        raise ConfigurationError(path, str(error.strerror)) from error
    except ValueError as error:
        raise ConfigurationError(path, f"expected JSON, {error}") from error
    if isinstance(configuration, dict):
        for field, variable in VARIABLE_BY_FIELD.items():
            if field not in configuration and variable in environment:
                configuration[field] = environment[variable]
    return check(configuration)


def apply_reload(old: Configuration, new: Configuration) -> tuple[Configuration, list[str]]:
    """Return the configuration to go on with after a reload, and the fields that wait for a restart.

    Only the endpoint registry's address is taken. A file of another deployment, by mistake, would lead
    the server to another's registry: raises ConfigurationError for it.
    """
    _check_same_deployment(old, new, "azs", str)
    _check_same_deployment(old, new, "classes", lambda each: str(each["name"]))
    waiting = []
    for name in sorted((set(old) | set(new)) - NOT_WAITING_FOR_RESTART):
        former = old.get(name)
        present = new.get(name)
        if isinstance(former, dict) and isinstance(present, dict):
            parts = sorted(set(former) | set(present))
            waiting += [f"{name}.{part}" for part in parts if former.get(part) != present.get(part)]
        elif former != present:
            waiting.append(name)
    return old | {"discovery": new["discovery"]}, waiting


def _check_same_deployment(
    old: Configuration, new: Configuration, name: str, name_of: Callable[[Any], str]
) -> None:
    ours = [name_of(each) for each in old["settings"][name]]
    theirs = [name_of(each) for each in new["settings"][name]]
    if not set(ours) <= set(theirs):
        raise ConfigurationError(
            f"settings.{name}",
            f"expected those that this pilot serves, {', '.join(ours)}, not {', '.join(theirs)}; "
            "this is another deployment's configuration, nothing of it is taken",
        )


def summary(configuration: Configuration) -> str:
    """Return one line for people."""
    settings = configuration["settings"]
    known = configuration.get("known") or {"targets": []}
    return (
        f"{configuration.get('name', 'a pilot')}: listens at {configuration['listen']}, "
        f"discovery at {configuration['discovery']} ({settings.get('discovery', 'on_request')}); "
        f"zones {len(settings['azs'])}, classes {len(settings['classes'])}, "
        f"peers {len(configuration.get('peers') or [])}, known endpoints {len(known['targets'])}"
    )
