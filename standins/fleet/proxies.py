"""Simulated proxies: their tables, ejections and admission levels, and how they pick an endpoint."""

import random
from bisect import bisect
from collections.abc import Mapping
from dataclasses import dataclass
from itertools import accumulate

from standins.fleet.clock import SECOND
from standins.loopback import parse_words, update_table

UNLIMITED = float("inf")
NO_KNOWN_STARTS: Mapping[str, int] = {}


class SimulatedProxy:
    """A proxy with a table and ejections, which the messages of its server set.

    Attributes:
        number: The number of the proxy.
        zone: The number of its zone.
        request_rate: The requests a second that arrive at it.
        server: The server that it is connected to, or None.
        table: The weight by endpoint.
        ejected: The ejected endpoints.
        table_source: The server whose message set the table, or None.
        starts_known_to_sender: The start time by endpoint that its server knew when it sent the last message.
    """

    def __init__(self, number: int, zone: int, request_rate: float):
        self.number = number
        self.zone = zone
        self.request_rate = request_rate
        self.server = None
        self.table: dict[str, float] = {}
        self.ejected: set[str] = set()
        self.table_source = None
        self.starts_known_to_sender: Mapping[str, int] = NO_KNOWN_STARTS

    def apply_message(self, message: str) -> None:
        """Apply a message from the server."""
        for line in message.splitlines():
            words = parse_words(line)
            self.table = update_table(words, self.table, self.ejected)
            self.apply_levels(words)

    def apply_levels(self, words: dict[str, str]) -> None:
        """Ignore admission levels; request rates that follow the tables are not limited."""

    def shares(self) -> dict[str, float]:
        """Return the share of the proxy's requests that each endpoint receives."""
        usable_lines = {name: weight for name, weight in self.table.items() if name not in self.ejected}
        total = sum(usable_lines.values())
        return {name: weight / total for name, weight in usable_lines.items()} if total else {}


@dataclass(frozen=True)
class ProxyRules:
    """The behaviour that the settings define for proxies.

    Attributes:
        groups: The names of the traffic groups.
        admission_level_kind: The unit of admission levels: "fraction", "per_second" or "none".
        outlier_after_failures: The consecutive failures after which an endpoint is avoided; 0: never.
        min_avoidance_time: The shortest time that it is avoided, in microseconds.
        max_avoidance_time: The longest time that it is avoided, in microseconds.
        default_retry_mode: The retry mode without an admission level, 0 to 3.
    """

    groups: tuple[str, ...]
    admission_level_kind: str
    outlier_after_failures: int
    min_avoidance_time: int
    max_avoidance_time: int
    default_retry_mode: int


class RequestProxy(SimulatedProxy):
    """A proxy that admits requests by level, picks endpoints at random by weight, and avoids failing ones.

    Attributes:
        levels: The admission level and the retry mode by traffic group.
        tokens: The time of the last refill and the tokens left, by traffic group.
        consecutive_failures: The number of failures in a row by endpoint.
        avoided_until: The end of the avoidance by endpoint.
    """

    def __init__(self, number: int, zone: int, request_rate: float, rules: ProxyRules):
        super().__init__(number, zone, request_rate)
        self.rules = rules
        self.levels: dict[str, tuple[float, int]] = {}
        self.tokens: dict[str, tuple[int, float]] = {}
        self.consecutive_failures: dict[str, int] = {}
        self.avoided_until: dict[str, int] = {}

    def apply_levels(self, words: dict[str, str]) -> None:
        """Apply the admission levels and retry modes of a message."""
        groups = words["classes"].split("+") if "classes" in words else self.rules.groups
        if "whole" in words:
            for group in groups:
                self.levels.pop(group, None)
        if "level" in words:
            self.levels.update(dict.fromkeys(groups, (float(words["level"]), int(words["retry"]))))

    def restart(self, default_table: dict[str, float]) -> None:
        """Restart the process; of its state, only the table that it starts with is left."""
        self.table = default_table
        self.table_source = None
        self.starts_known_to_sender = NO_KNOWN_STARTS
        for state in (
            self.ejected,
            self.levels,
            self.tokens,
            self.consecutive_failures,
            self.avoided_until,
        ):
            state.clear()

    def level(self, group: str) -> float:
        """Return the admission level of a traffic group, `UNLIMITED` if it has none."""
        return self.levels.get(group, (UNLIMITED, 0))[0]

    def admits(self, group: str, now: int, random_source: random.Random) -> bool:
        """Return whether a request is admitted, and count it if the level is a rate."""
        level = self.level(group)
        if level == UNLIMITED or self.rules.admission_level_kind == "none":
            return True
        if self.rules.admission_level_kind == "fraction":
            return random_source.random() < level
        refilled_at, tokens = self.tokens.get(group, (now, 1.0))
        tokens = min(max(1.0, level), tokens + level * (now - refilled_at) / SECOND)
        is_admitted = tokens >= 1.0
        self.tokens[group] = now, tokens - is_admitted
        return is_admitted

    def retry_mode(self, group: str) -> int:
        """Return the retry mode of a traffic group."""
        return self.levels[group][1] if group in self.levels else self.rules.default_retry_mode

    def usable_lines(self, now: int) -> dict[str, float]:
        """Return the table lines of endpoints that are neither ejected nor avoided.

        If every endpoint that is not ejected is avoided, avoidance is ignored.
        """
        lines_not_ejected = {name: weight for name, weight in self.table.items() if name not in self.ejected}
        if not self.avoided_until:
            return lines_not_ejected
        self.avoided_until = {name: until for name, until in self.avoided_until.items() if until > now}
        return {
            name: weight for name, weight in lines_not_ejected.items() if name not in self.avoided_until
        } or lines_not_ejected

    def pick(self, now: int, random_source: random.Random, attempted_endpoints: set[str]) -> str | None:
        """Pick a usable endpoint that was not attempted, at random by weight; None if there is none."""
        lines = self.usable_lines(now)
        if attempted_endpoints:
            lines = {name: weight for name, weight in lines.items() if name not in attempted_endpoints}
        if not lines:
            return None
        totals = list(accumulate(lines.values()))
        return list(lines)[min(bisect(totals, random_source.random() * totals[-1]), len(totals) - 1)]

    def record_outcome(self, name: str, has_failed: bool, now: int, random_source: random.Random) -> None:
        """Record the outcome of an attempt, and avoid the endpoint after too many failures in a row."""
        if not has_failed:
            self.consecutive_failures.pop(name, None)
            return
        self.consecutive_failures[name] = self.consecutive_failures.get(name, 0) + 1
        if (
            self.rules.outlier_after_failures
            and self.consecutive_failures[name] >= self.rules.outlier_after_failures
        ):
            self.consecutive_failures[name] = 0
            self.avoided_until[name] = now + random_source.randint(
                self.rules.min_avoidance_time, self.rules.max_avoidance_time
            )
