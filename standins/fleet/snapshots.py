"""The endpoint list of the registry at one revision."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ListEntry:
    """An endpoint as the registry lists it.

    Attributes:
        name: The name of the endpoint.
        zone: The number of its zone.
        state: "ready" or "draining".
        weight: The listed weight.
        started_at: The time of its last start in microseconds; 0: before the simulation began.
    """

    name: str
    zone: int
    state: str
    weight: float
    started_at: int


@dataclass(frozen=True)
class ListSnapshot:
    """All listed endpoints at one revision of the list."""

    revision: int
    entries: tuple[ListEntry, ...]
