"""Simulated proxies: their tables, ejections and admission levels, and how they pick a line."""

import random
from bisect import bisect
from collections.abc import Mapping
from dataclasses import dataclass
from itertools import accumulate

from standins.fleet.clock import SECOND
from standins.loopback import parse_words, update_table

UNLIMITED = float("inf")
NOT_KNOWN: Mapping[str, int] = {}


class SimulatedProxy:
    """Holds a table and ejections as its server's messages set them."""

    def __init__(self, number: int, zone: int, request_rate: float):
        self.number = number
        self.zone = zone
        self.request_rate = request_rate
        self.server = None
        self.table: dict[str, float] = {}
        self.ejected: set[str] = set()
        self.table_source = None  # the server whose message set the table
        self.informed: Mapping[str, int] = (
            NOT_KNOWN  # starts that its server knew when it sent the last message
        )

    def apply_message(self, message: str) -> None:
        """Apply a message of its server."""
        for line in message.splitlines():
            words = parse_words(line)
            self.table = update_table(words, self.table, self.ejected)
            self.apply_levels(words)

    def apply_levels(self, said: dict[str, str]) -> None:
        """Ignored: rates that follow the tables know no admission levels."""

    def shares(self) -> dict[str, float]:
        """Return the share of its requests that each endpoint receives."""
        held_lines = {name: weight for name, weight in self.table.items() if name not in self.ejected}
        total = sum(held_lines.values())
        return {name: weight / total for name, weight in held_lines.items()} if total else {}


@dataclass(frozen=True)
class ProxyRules:
    """What the settings define for proxies."""

    groups: tuple[str, ...]
    level_kind: str  # "fraction", "per_second" or "none"
    outlier_after: int  # failures in a row until an endpoint is avoided; 0: never
    min_avoid_time: int
    max_avoid_time: int
    base_mode: int  # retry mode without an admission level: 0 to 3


class RequestProxy(SimulatedProxy):
    """Admits requests by its levels, picks a line at random by weight and avoids endpoints that fail."""

    def __init__(self, number: int, zone: int, request_rate: float, rules: ProxyRules):
        super().__init__(number, zone, request_rate)
        self.rules = rules
        self.levels: dict[str, tuple[float, int]] = {}  # by group: level and retry mode
        self.tokens: dict[str, tuple[int, float]] = {}  # by group: time of the last count, and tokens
        self.failed_in_row: dict[str, int] = {}
        self.avoided: dict[str, int] = {}  # by endpoint: until when

    def apply_levels(self, said: dict[str, str]) -> None:
        """Apply the admission levels and retry modes of a message."""
        groups = said["classes"].split("+") if "classes" in said else self.rules.groups
        if "whole" in said:
            for group in groups:
                self.levels.pop(group, None)
        if "level" in said:
            self.levels.update(dict.fromkeys(groups, (float(said["level"]), int(said["retry"]))))

    def restart(self, standing_table_size: dict[str, float]) -> None:
        """Restart the process: it holds its standing table only."""
        self.table = standing_table_size
        self.table_source = None
        self.informed = NOT_KNOWN
        for kept in (self.ejected, self.levels, self.tokens, self.failed_in_row, self.avoided):
            kept.clear()

    def level(self, group: str) -> float:
        """Return the admission level of a traffic group."""
        return self.levels.get(group, (UNLIMITED, 0))[0]

    def admits(self, group: str, now: int, random_source: random.Random) -> bool:
        """Decide whether to admit a request."""
        level = self.level(group)
        if level == UNLIMITED or self.rules.level_kind == "none":
            return True
        if self.rules.level_kind == "fraction":
            return random_source.random() < level
        at, tokens = self.tokens.get(group, (now, 1.0))
        tokens = min(max(1.0, level), tokens + level * (now - at) / SECOND)
        admitted = tokens >= 1.0
        self.tokens[group] = now, tokens - admitted
        return admitted

    def retry_mode(self, group: str) -> int:
        """Return the retry mode of a traffic group."""
        return self.levels[group][1] if group in self.levels else self.rules.base_mode

    def usable_lines(self, now: int) -> dict[str, float]:
        """Return the lines that are not ejected or avoided; all that are not ejected if it avoids every one
        of them."""
        held_lines = {name: weight for name, weight in self.table.items() if name not in self.ejected}
        if not self.avoided:
            return held_lines
        self.avoided = {name: until for name, until in self.avoided.items() if until > now}
        return {name: weight for name, weight in held_lines.items() if name not in self.avoided} or held_lines

    def pick(self, now: int, random_source: random.Random, attempted: set[str]) -> str | None:
        """Pick a line at random by weight; None if none is left."""
        lines = self.usable_lines(now)
        if attempted:
            lines = {name: weight for name, weight in lines.items() if name not in attempted}
        if not lines:
            return None
        totals = list(accumulate(lines.values()))
        return list(lines)[min(bisect(totals, random_source.random() * totals[-1]), len(totals) - 1)]

    def record_outcome(self, name: str, failed: bool, now: int, random_source: random.Random) -> None:
        """Count the outcome of an attempt towards avoidance."""
        if not failed:
            self.failed_in_row.pop(name, None)
            return
        self.failed_in_row[name] = self.failed_in_row.get(name, 0) + 1
        if self.rules.outlier_after and self.failed_in_row[name] >= self.rules.outlier_after:
            self.failed_in_row[name] = 0
            self.avoided[name] = now + random_source.randint(
                self.rules.min_avoid_time, self.rules.max_avoid_time
            )
