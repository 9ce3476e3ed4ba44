"""The configuration file of a server: reading, validation, and comparison at a reload."""

import json
import os
from collections.abc import Callable, Mapping
from math import isfinite
from typing import Any

from ravenshelf.errors import RavenshelfError
from ravenshelf.net.datagrams import parse_address
from ravenshelf.net.endpoint_codec import EndpointListDecoder, UnreadableListError

FILE_VARIABLE = "RELAY_CONFIG"  # Environment variable that holds the path of the configuration file.
# Environment variables that supply a field missing from the file.
VARIABLE_BY_FIELD = {"name": "RELAY_NAME", "listen": "RELAY_LISTEN", "discovery": "RELAY_DISCOVERY"}
MINIMUM_SOCKETS = 64
DEFAULT_SOCKETS = 1024
PORT_LIMIT = 65536  # All port numbers are lower than this limit.
QUOTED_LENGTH = 60  # Maximum number of characters of an invalid value that an error quotes.
# A reload need not report a change of these fields. A new `discovery` takes effect at once; `known` is older
# than the list the server already has; `seed` is used only when a server starts.
FIELDS_WITHOUT_RESTART = frozenset(["discovery", "known", "seed"])

Configuration = dict[str, Any]


class ConfigurationError(RavenshelfError):
    """Error for a configuration that can't be used.

    Attributes:
        path: The field, the file or the environment variable at fault.
        problem: What was expected there and, where it is known, what was found.
    """

    def __init__(self, path: str, problem: str):
        super().__init__(f"{path}: {problem}")
        self.path = path
        self.problem = problem


def _quoted(value: object) -> str:
    return repr(str(value)[:QUOTED_LENGTH])


def _check_address(value: Any, path: str) -> None:
    try:
        host, port = parse_address(value)
        if not host or not 0 <= port < PORT_LIMIT:
            raise ValueError
    except (AttributeError, TypeError, ValueError) as error:
        raise ConfigurationError(path, f"expected host:port, not {value!r}") from error


def _object_field(configuration: Configuration, name: str) -> dict[str, Any]:
    value = configuration.get(name)
    if not isinstance(value, dict):
        raise ConfigurationError(name, f"expected an object, not {_quoted(value)}")
    return value


def _check_settings(settings: dict[str, Any]) -> None:
    for name in ("azs", "classes"):
        value = settings.get(name)
        if not isinstance(value, list) or not value:
            raise ConfigurationError(
                f"settings.{name}", f"expected a list that is not empty, not {_quoted(value)}"
            )
    if not all(
        isinstance(group, dict) and isinstance(group.get("name"), str) for group in settings["classes"]
    ):
        raise ConfigurationError(
            "settings.classes", "expected objects that each have a name, found another value"
        )


def _check_limits(configuration: Configuration) -> None:
    limits = _object_field(configuration, "limits") if "limits" in configuration else {}
    sockets = limits.get("sockets", DEFAULT_SOCKETS)
    if not isinstance(sockets, int) or sockets < MINIMUM_SOCKETS:
        raise ConfigurationError(
            "limits.sockets", f"expected a whole number from {MINIMUM_SOCKETS}, not {sockets!r}"
        )
    memory_mb = limits.get("memory_mb")
    is_number = isinstance(memory_mb, int | float) and not isinstance(memory_mb, bool)
    if memory_mb is not None and not (is_number and memory_mb > 0 and isfinite(memory_mb)):
        raise ConfigurationError("limits.memory_mb", f"expected a number above 0, not {memory_mb!r}")


def _check_seed(configuration: Configuration) -> None:
    try:
        int(str(configuration.get("seed", "0")), 16)
    except ValueError as error:
        seed = configuration.get("seed")
        raise ConfigurationError("seed", f"expected hexadecimal text, not {seed!r}") from error


def _check_peers(configuration: Configuration) -> None:
    peers = configuration.get("peers") or []
    if not isinstance(peers, list):
        raise ConfigurationError("peers", f"expected a list of addresses, not {_quoted(peers)}")
    for number, peer in enumerate(peers):
        _check_address(peer, f"peers[{number}]")
    for name in ("peer_listen", "peers_all"):
        if configuration.get(name) is not None:
            _check_address(configuration[name], name)


def check(configuration: object) -> Configuration:
    """Validate a decoded configuration file.

    Returns:
        The configuration, unchanged.

    Raises:
        ConfigurationError: A field is missing or invalid.
    """
    if not isinstance(configuration, dict):
        raise ConfigurationError("configuration", "expected an object, found another value")
    _check_address(configuration.get("listen"), "listen")
    _check_address(configuration.get("discovery"), "discovery")
    _check_settings(_object_field(configuration, "settings"))
    _check_limits(configuration)
    _check_seed(configuration)
    _check_peers(configuration)
    if configuration.get("known") is not None:
        try:
            EndpointListDecoder.check_list(configuration["known"])
        except UnreadableListError as error:
            raise ConfigurationError("known", str(error)) from error
    return configuration


def read(path: str | None, environment: Mapping[str, str] = os.environ) -> Configuration:
    """Read and validate a configuration file.

    Args:
        path: Path of the file; if None or empty, the environment variable RELAY_CONFIG holds it.
        environment: Environment variables; those of VARIABLE_BY_FIELD supply fields missing from the file.

    Raises:
        ConfigurationError: No path is given, or the file can't be read, is not JSON or is not valid.
    """
    path = path or environment.get(FILE_VARIABLE)
    if not path:
        raise ConfigurationError(
            FILE_VARIABLE, "expected the path of the configuration file, found no such variable"
        )
    try:
        with open(path, encoding="utf-8") as file:
            configuration = json.load(file)
    except OSError as error:
        raise ConfigurationError(path, str(error.strerror)) from error
    except ValueError as error:
        raise ConfigurationError(path, f"expected JSON, found invalid text: {error}") from error
    if isinstance(configuration, dict):
        for field, variable in VARIABLE_BY_FIELD.items():
            if field not in configuration and variable in environment:
                configuration[field] = environment[variable]
    return check(configuration)


def apply_reload(
    old_configuration: Configuration, new_configuration: Configuration
) -> tuple[Configuration, list[str]]:
    """Return the configuration in force after a reload.

    Only a new address of the endpoint registry takes effect. The file of another deployment, loaded by
    mistake, would point the server at that deployment's registry, so it is rejected: a file must contain all
    zones and traffic groups that the server serves.

    Returns:
        The configuration in force, and the names of changed fields that take effect after a restart, as
        "field" or "object.field".

    Raises:
        ConfigurationError: A zone or traffic group of the old configuration is missing from the new one.
    """
    _check_same_deployment(old_configuration, new_configuration, "azs", str)
    _check_same_deployment(old_configuration, new_configuration, "classes", lambda group: str(group["name"]))
    restart_fields = []
    for name in sorted((set(old_configuration) | set(new_configuration)) - FIELDS_WITHOUT_RESTART):
        old_value = old_configuration.get(name)
        new_value = new_configuration.get(name)
        if isinstance(old_value, dict) and isinstance(new_value, dict):
            keys = sorted(set(old_value) | set(new_value))
            restart_fields += [f"{name}.{key}" for key in keys if old_value.get(key) != new_value.get(key)]
        elif old_value != new_value:
            restart_fields.append(name)
    return old_configuration | {"discovery": new_configuration["discovery"]}, restart_fields


def _check_same_deployment(
    old_configuration: Configuration,
    new_configuration: Configuration,
    name: str,
    name_of: Callable[[Any], str],
) -> None:
    old_names = [name_of(entry) for entry in old_configuration["settings"][name]]
    new_names = [name_of(entry) for entry in new_configuration["settings"][name]]
    if not set(old_names) <= set(new_names):
        raise ConfigurationError(
            f"settings.{name}",
            f"expected those that this server serves, {', '.join(old_names)}, not {', '.join(new_names)}; "
            "the file is another deployment's configuration, and none of it takes effect",
        )


def summary(configuration: Configuration) -> str:
    """Return a one-line description of a valid configuration for an operator to read."""
    settings = configuration["settings"]
    restored_list = configuration.get("known") or {"targets": []}
    return (
        f"{configuration.get('name', 'a server')}: listens at {configuration['listen']}, "
        f"discovery at {configuration['discovery']} ({settings.get('discovery', 'on_request')}); "
        f"zones {len(settings['azs'])}, classes {len(settings['classes'])}, "
        f"peers {len(configuration.get('peers') or [])}, known endpoints {len(restored_list['targets'])}"
    )
