"""How soon an endpoint with a busy neighbour loses weight: by late sums alone, and with collectd's signal beside.

Simulated: the decisions themselves, called through their interface, in a world whose time this program sets. One of
twelve endpoints shares its machine with a job that begins at a known time. From then on the machine reads as busy,
while what the job slows is at first little and grows as it takes over the caches and cores; sums of it come late.
"""

import argparse
import random

from benchmarks.measuring import close, quantile
from ravenshelf.policy.controller import Controller
from ravenshelf.policy.events import (
    DemandReport,
    EndpointsListed,
    EndpointState,
    HostLoadSampled,
    ListedEndpoint,
    ListKind,
    LoadReport,
    ProxyJoined,
)
from ravenshelf.settings import SECOND, ServiceSettings, Settings, TrafficGroup

ENDPOINTS, PROXIES, BEGINS, ENDS = 12, 24, 60, 120
HURT = 0  # the endpoint with the neighbour
GROWS = 12.0  # seconds in which the slowing grows to its full
SLOWED = 2.0  # latency at the full, times the usual
SUMS_EVERY, SUMS_LATE = 5, 2  # seconds
READ_EVERY, READ_LATE = 5, 0.5  # of collectd
LOST = 0.85  # of its weight before


class Tables:
    """Keeps the tables that were ordered."""

    def __init__(self):
        self.tables, self.bound = {}, {}

    def set_weight(self, table, endpoint, weight):
        self.tables.setdefault(table, {})[endpoint] = weight

    def clear_table(self, table):
        self.tables[table] = {}

    def bind_proxy(self, proxy, table, groups=0):
        self.bound[proxy] = table

    def share(self, endpoint: int) -> float:
        lines = [self.tables[t] for t in self.bound.values()]
        return sum(line.get(endpoint, 0) / sum(line.values()) for line in lines if line) / max(1, len(lines))

    def __getattr__(self, name):
        return lambda *values: None


def settings() -> Settings:
    return Settings(
        zones=("a",),
        traffic_groups=(TrafficGroup("read", latency_objective_us=SECOND),),
        discovery="pushed",
        service=ServiceSettings(
            lines_per_second=2000.0,
            message_overhead_lines=3.0,
            queue_limit_lines=2000,
            proxy_count=PROXIES,
            proxies_join_by_zone=True,
        ),
    )


def play(seed: int, signal: bool, lying: bool = False) -> dict:
    """One day: when the hurt endpoint's share fell to LOST of what it was, its least, and the least that any other had."""
    chance, kept = random.Random(seed), Tables()
    pilot, now = Controller(settings(), seed), 1000 * SECOND
    start = now
    pilot.run_cycle(
        now,
        [
            EndpointsListed(
                ListKind.RESTORED,
                tuple(ListedEndpoint(i, 0, 0, 0, EndpointState.READY, 4.0, 0) for i in range(ENDPOINTS)),
            ),
            *(ProxyJoined(p, 0, 20.0, True) for p in range(PROXIES)),
        ],
        kept,
    )
    waiting, before, fell, least = [], None, None, 1.0
    for quarter in range(4 * ENDS):
        second = quarter / 4
        hurt = min(1.0, max(0.0, (second - BEGINS) / GROWS))
        if quarter % (4 * SUMS_EVERY) == 0:
            for e in range(ENDPOINTS):
                slow = 1 + (SLOWED - 1) * hurt if e == HURT and not lying else 1.0
                mean = 80_000 * slow * chance.uniform(0.93, 1.07)
                waiting.append(
                    (second + SUMS_LATE, LoadReport(0, e, 100, 0, round(mean), SUMS_EVERY * SECOND, ()))
                )
            waiting += [
                (second + SUMS_LATE, DemandReport(p, 0, 100, 0, SUMS_EVERY * SECOND)) for p in range(PROXIES)
            ]
        if signal and quarter % (4 * READ_EVERY) == 0:
            for e in range(ENDPOINTS):
                busy = 0.95 if e == HURT and second > BEGINS else chance.uniform(0.35, 0.5)
                waiting.append(
                    (
                        second + READ_LATE,
                        HostLoadSampled(e, busy, round((READ_LATE + READ_EVERY / 2) * SECOND)),
                    )
                )
        news = [what for at, what in waiting if at <= second]
        waiting = [(at, what) for at, what in waiting if at > second]
        now = start + quarter * SECOND // 4
        pilot.run_cycle(now, news, kept)
        share = kept.share(HURT)
        if second == BEGINS - 1:
            before = share
        if before and second >= BEGINS:
            least = min(least, share / before)
            if fell is None and share <= LOST * before:
                fell = second - BEGINS
    return {"fell_after": fell if fell is not None else ENDS - BEGINS, "least": least}


def main(short: bool) -> None:
    days = 10 if short else 60
    runs = {
        name: [play(seed, **how) for seed in range(days)]
        for name, how in {
            "sums": {"signal": False},
            "both": {"signal": True},
            "lying": {"signal": True, "lying": True},
        }.items()
    }
    figures = {
        name: {
            "fell_after_s_p50": quantile([r["fell_after"] for r in found], 0.5),
            "fell_after_s_max": max(r["fell_after"] for r in found),
            "least_part_of_weight": round(min(r["least"] for r in found), 3),
        }
        for name, found in runs.items()
    }
    gain = figures["sums"]["fell_after_s_p50"] - figures["both"]["fell_after_s_p50"]
    figures |= {"days": days, "sooner_s": gain, "simulated": True}
    close(
        "neighbour",
        figures,
        "sooner by 3 s or more; where the signal lies, no less than 0.4 of the weight",
        gain >= 3 and figures["lying"]["least_part_of_weight"] >= 0.4,
    )


if __name__ == "__main__":
    options = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    options.add_argument("--short", action="store_true")
    main(options.parse_args().short)
