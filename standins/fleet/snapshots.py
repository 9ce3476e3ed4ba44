"""The endpoint list as the registry had it at one time."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ListEntry:
    """A listed endpoint."""

    name: str
    zone: int
    state: str
    weight: float
    started: int


@dataclass(frozen=True)
class ListSnapshot:
    """All listed endpoints at a revision."""

    revision: int
    entries: tuple[ListEntry, ...]
