"""The list of endpoints as discovery had it at one time."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ListEntry:
    name: str
    zone: int
    state: str
    weight: float
    started: int


@dataclass(frozen=True)
class ListSnapshot:
    rev: int
    entries: tuple[ListEntry, ...]
