"""The services that controllers decide: a TOML file of endpoints and settings, the same at all controllers.

[checkout.endpoints]
"s-17" = { zone = 0, weight = 4.0, ready = true, started = 0 }
[checkout.settings]
limit = "30"
"""

import tomllib
from pathlib import Path
from typing import Annotated

import msgspec

from ravenshelf.distribution.decisions.deciding import Service
from ravenshelf.distribution.messages import EndpointEntry

NOT_IN_A_NAME = set("@/")


class ServicesFileError(Exception):
    """The file can't be used; its text names what is wrong and where."""


class _Endpoint(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    zone: Annotated[int, msgspec.Meta(ge=0)]
    weight: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    ready: bool = True
    started: Annotated[int, msgspec.Meta(ge=0)] = 0


class _Service(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    endpoints: dict[str, _Endpoint] = {}
    settings: dict[str, str] = {}


def read(path: Path, zones: int) -> dict[str, Service]:
    """The services of a file, by name. `zones`: how many there are, by the configuration."""
    try:
        said = msgspec.convert(tomllib.loads(path.read_text(encoding="utf-8")), dict[str, _Service])
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ServicesFileError(f"{path}: {error}") from None
    for name, service in said.items():
        _check(path, name, service, zones)
    return {name: _service(service) for name, service in said.items()}


def _check(path: Path, name: str, service: _Service, zones: int) -> None:
    if not name or NOT_IN_A_NAME & set(name):
        raise ServicesFileError(f"{path}: [{name}]: expected a name without @ and /")
    for uid, endpoint in service.endpoints.items():
        if endpoint.zone >= zones:
            raise ServicesFileError(
                f"{path}: [{name}.endpoints] {uid}: found zone {endpoint.zone}, expected one below {zones}"
            )


def _service(service: _Service) -> Service:
    endpoints = {
        uid: EndpointEntry(one.zone, one.ready, one.weight, one.started)
        for uid, one in service.endpoints.items()
    }
    return Service(endpoints, service.settings)
