"""Proxies: what they hold of tables, withdrawals and levels, and how they pick a line."""

import random
from bisect import bisect
from collections.abc import Mapping
from dataclasses import dataclass
from itertools import accumulate

from standins.fleet.clock import SECOND
from standins.world import obeyed

UNLIMITED = float("inf")
NOT_KNOWN: Mapping[str, int] = {}


class Proxy:
    """Holds a table and withdrawals as its pilot's messages say."""

    def __init__(self, number: int, zone: int, flows: float):
        self.number, self.zone, self.flows, self.pilot = number, zone, flows, None
        self.table: dict[str, float] = {}
        self.out: set[str] = set()
        self.table_from = None  # the pilot whose message the table came in
        self.informed: Mapping[str, int] = (
            NOT_KNOWN  # starts known to the pilot when it sent the last message
        )

    def obey(self, message: str) -> None:
        for line in message.splitlines():
            said = dict(word.partition("=")[::2] for word in line.split()[1:])
            self.table = obeyed(said, self.table, self.out)
            self.obey_levels(said)

    def obey_levels(self, said: dict[str, str]) -> None:
        """Flows that follow the tables know no levels."""

    def shares(self) -> dict[str, float]:
        held = {name: weight for name, weight in self.table.items() if name not in self.out}
        total = sum(held.values())
        return {name: weight / total for name, weight in held.items()} if total else {}


@dataclass(frozen=True)
class ProxyRules:
    """What the settings say of proxies."""

    groups: tuple[str, ...]
    level_kind: str  # "fraction", "per_second" or "none"
    outlier_after: int  # tries in a row that fail at an endpoint until it is shunned; 0: never
    shun_least: int
    shun_most: int
    base_mode: int  # how to try again where no level says it: 0 to 3


class RequestProxy(Proxy):
    """Lets requests in by its levels, picks a line at random by weight and shuns endpoints that fail it."""

    def __init__(self, number: int, zone: int, flows: float, rules: ProxyRules):
        super().__init__(number, zone, flows)
        self.rules = rules
        self.levels: dict[str, tuple[float, int]] = {}  # by group: level, and how to try again
        self.tokens: dict[str, tuple[int, float]] = {}  # by group: when last counted, and how many
        self.failed_in_row: dict[str, int] = {}
        self.shunned: dict[str, int] = {}  # endpoint: until when

    def obey_levels(self, said: dict[str, str]) -> None:
        groups = said["classes"].split("+") if "classes" in said else self.rules.groups
        if "whole" in said:
            for group in groups:
                self.levels.pop(group, None)
        if "level" in said:
            self.levels.update(dict.fromkeys(groups, (float(said["level"]), int(said["retry"]))))

    def restart(self, standing: dict[str, float]) -> None:
        """Its process begins anew and holds its standing table alone."""
        self.table, self.table_from, self.informed = standing, None, NOT_KNOWN
        for kept in (self.out, self.levels, self.tokens, self.failed_in_row, self.shunned):
            kept.clear()

    def level(self, group: str) -> float:
        return self.levels.get(group, (UNLIMITED, 0))[0]

    def lets_in(self, group: str, now: int, chance: random.Random) -> bool:
        level = self.level(group)
        if level == UNLIMITED or self.rules.level_kind == "none":
            return True
        if self.rules.level_kind == "fraction":
            return chance.random() < level
        at, tokens = self.tokens.get(group, (now, 1.0))
        tokens = min(max(1.0, level), tokens + level * (now - at) / SECOND)
        admitted = tokens >= 1.0
        self.tokens[group] = now, tokens - admitted
        return admitted

    def retry_mode(self, group: str) -> int:
        return self.levels[group][1] if group in self.levels else self.rules.base_mode

    def usable(self, now: int) -> dict[str, float]:
        """Lines that are not withdrawn or shunned; all that are not withdrawn where it shuns every one of them."""
        held = {name: weight for name, weight in self.table.items() if name not in self.out}
        if not self.shunned:
            return held
        self.shunned = {name: until for name, until in self.shunned.items() if until > now}
        return {name: weight for name, weight in held.items() if name not in self.shunned} or held

    def pick(self, now: int, chance: random.Random, tried: set[str]) -> str | None:
        lines = self.usable(now)
        if tried:
            lines = {name: weight for name, weight in lines.items() if name not in tried}
        if not lines:
            return None
        sums = list(accumulate(lines.values()))
        return list(lines)[min(bisect(sums, chance.random() * sums[-1]), len(sums) - 1)]

    def note(self, name: str, failed: bool, now: int, chance: random.Random) -> None:
        """Counts the outcome of a try towards shunning."""
        if not failed:
            self.failed_in_row.pop(name, None)
            return
        self.failed_in_row[name] = self.failed_in_row.get(name, 0) + 1
        if self.rules.outlier_after and self.failed_in_row[name] >= self.rules.outlier_after:
            self.failed_in_row[name] = 0
            self.shunned[name] = now + chance.randint(self.rules.shun_least, self.rules.shun_most)
