"""Services that controllers decide: a TOML file of endpoints and settings, the same at all controllers.

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

FORBIDDEN_NAME_CHARACTERS = frozenset("@/")


class ServicesFileError(RavenshelfError):
    """Error in the services file `path`, which is not used; `detail` says what is wrong and where."""

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
    """Return the configurations of the services in a file, by service name.

    Args:
        path: The file.
        zones: The number of configured zones.

    Raises:
        ServicesFileError: The file can't be read, or its content is not valid.
    """
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
        services = msgspec.convert(document, dict[str, _Service])
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ServicesFileError(path, str(error)) from error
    for name, service in services.items():
        _validate(path, name, service, zones)
    return {name: _configuration(service) for name, service in services.items()}


def _validate(path: Path, name: str, service: _Service, zones: int) -> None:
    if not name or FORBIDDEN_NAME_CHARACTERS & set(name):
        raise ServicesFileError(path, f"[{name}]: expected a name without @ and /")
    for endpoint_name, endpoint in service.endpoints.items():
        if endpoint.zone >= zones:
            raise ServicesFileError(
                path,
                f"[{name}.endpoints] {endpoint_name}: found zone {endpoint.zone}, expected one below {zones}",
            )


def _configuration(service: _Service) -> ServiceConfiguration:
    endpoints = {
        endpoint_name: EndpointEntry(endpoint.zone, endpoint.ready, endpoint.weight, endpoint.started)
        for endpoint_name, endpoint in service.endpoints.items()
    }
    return ServiceConfiguration(endpoints, service.settings)
