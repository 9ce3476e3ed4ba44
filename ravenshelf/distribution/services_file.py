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

from ravenshelf.distribution.decisions.service_decisions import ServiceConfiguration
from ravenshelf.distribution.messages import EndpointEntry
from ravenshelf.errors import RavenshelfError

FORBIDDEN_IN_NAMES = frozenset("@/")


class ServicesFileError(RavenshelfError):
    """The file `path` can't be used; `detail` names the problem and its place."""

    def __init__(self, path: Path, detail: str):
        super().__init__(f"{path}: {detail}")
        self.path = path
        self.detail = detail


class _Endpoint(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    zone: Annotated[int, msgspec.Meta(ge=0)]
    weight: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    ready: bool = True
    started: Annotated[int, msgspec.Meta(ge=0)] = 0


class _Service(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    endpoints: dict[str, _Endpoint] = {}
    settings: dict[str, str] = {}


def read(path: Path, zones: int) -> dict[str, ServiceConfiguration]:
    """Return the services of a file by name; raises ServicesFileError. `zones`: the number of configured
    zones."""
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
        services = msgspec.convert(document, dict[str, _Service])
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ServicesFileError(path, str(error)) from error
    for name, service in services.items():
        _check(path, name, service, zones)
    return {name: _service(service) for name, service in services.items()}


def _check(path: Path, name: str, service: _Service, zones: int) -> None:
    if not name or FORBIDDEN_IN_NAMES & set(name):
        raise ServicesFileError(path, f"[{name}]: expected a name without @ and /")
    for uid, endpoint in service.endpoints.items():
        if endpoint.zone >= zones:
            raise ServicesFileError(
                path, f"[{name}.endpoints] {uid}: found zone {endpoint.zone}, expected one below {zones}"
            )


def _service(service: _Service) -> ServiceConfiguration:
    endpoints = {
        uid: EndpointEntry(endpoint.zone, endpoint.ready, endpoint.weight, endpoint.started)
        for uid, endpoint in service.endpoints.items()
    }
    return ServiceConfiguration(endpoints, service.settings)
