"""How soon an endpoint with a busy neighbour loses weight: by load reports alone, and with host loads too.
loads.

Simulated: the controller is called through its interface, in a world whose time this program sets. One of
twelve endpoints shares its host with a job that starts at a known time. From then on the host reads as busy,
while the latency grows slowly as the job takes over caches and cores; load reports of it come late.
"""

import argparse
import random
from collections.abc import Iterator

from benchmarks.measuring import close, quantile
from ravenshelf.policy.controller import Controller
from ravenshelf.policy.events import (
    DemandReport,
    EndpointsListed,
    EndpointState,
    Event,
    HostLoadSampled,
    ListedEndpoint,
    ListKind,
    LoadReport,
    ProxyJoined,
)
from ravenshelf.settings import SECOND, ServiceSettings, Settings, TrafficGroup

ENDPOINTS = 12
PROXIES = 24
JOB_STARTS_S = 60
DAY_ENDS_S = 120
SLOWED_ENDPOINT = 0
SLOWDOWN_GROWS_S = 12.0  # until it is complete
SLOWDOWN = 2.0  # latency when it is complete, over the usual one
USUAL_LATENCY_US = 80_000
REPORT_INTERVAL_S = 5
REPORT_DELAY_S = 2
HOST_LOAD_INTERVAL_S = 5
HOST_LOAD_DELAY_S = 0.5
LOST_SHARE = 0.85  # of the weight before, at or below which the endpoint counts as avoided
STEPS_PER_S = 4
MIN_GAIN_S = 3
MIN_SHARE_WITH_FALSE_LOADS = 0.4


class TableRecorder:
    """Records the tables that the controller writes; other commands are ignored."""

    def __init__(self) -> None:
        self.tables: dict[int, dict[int, float]] = {}
        self.bound: dict[int, int] = {}

    def set_weight(self, table: int, endpoint: int, weight: float) -> None:
        """Record a line."""
        self.tables.setdefault(table, {})[endpoint] = weight

    def clear_table(self, table: int) -> None:
        """Remove the lines of a table."""
        self.tables[table] = {}

    def bind_proxy(self, proxy: int, table: int, groups: int = 0) -> None:
        """Record which table a proxy uses."""
        del groups
        self.bound[proxy] = table

    def share(self, endpoint: int) -> float:
        """Return the endpoint's mean share of the weights over all proxies."""
        used = [self.tables[table] for table in self.bound.values()]
        shares = [lines.get(endpoint, 0) / sum(lines.values()) for lines in used if lines]
        return sum(shares) / max(1, len(used))

    def __getattr__(self, name: str) -> object:
        return _ignore


def _ignore(*values: object) -> None:
    del values


def settings() -> Settings:
    """Return one zone and one traffic group."""
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


def first_events() -> list[Event]:
    """Return the endpoint list and the proxies that join."""
    listed = tuple(ListedEndpoint(index, 0, 0, 0, EndpointState.READY, 4.0, 0) for index in range(ENDPOINTS))
    joined = [ProxyJoined(proxy, 0, 20.0, True) for proxy in range(PROXIES)]
    return [EndpointsListed(ListKind.RESTORED, listed), *joined]


def load_reports(second: float, random_source: random.Random, slows_down: bool) -> Iterator[Event]:
    """Yield the reports of one window."""
    progress = min(1.0, max(0.0, (second - JOB_STARTS_S) / SLOWDOWN_GROWS_S))
    window = REPORT_INTERVAL_S * SECOND
    for endpoint in range(ENDPOINTS):
        is_slowed = endpoint == SLOWED_ENDPOINT and slows_down
        slowdown = 1 + (SLOWDOWN - 1) * progress if is_slowed else 1.0
        mean_latency = USUAL_LATENCY_US * slowdown * random_source.uniform(0.93, 1.07)
        yield LoadReport(0, endpoint, 100, 0, round(mean_latency), window, ())
    for proxy in range(PROXIES):
        yield DemandReport(proxy, 0, 100, 0, window)


def host_loads(second: float, random_source: random.Random) -> Iterator[Event]:
    """Yield the host loads of one interval."""
    age = round((HOST_LOAD_DELAY_S + HOST_LOAD_INTERVAL_S / 2) * SECOND)
    for endpoint in range(ENDPOINTS):
        has_neighbour = endpoint == SLOWED_ENDPOINT and second > JOB_STARTS_S
        busy = 0.95 if has_neighbour else random_source.uniform(0.35, 0.5)
        yield HostLoadSampled(endpoint, busy, age)


def play(seed: int, with_host_loads: bool, slows_down: bool = True) -> dict[str, float]:
    """Play one day; without `slows_down` the host reads as busy and nothing is slower.

    Returns seconds from the job's start until the endpoint's share fell to LOST_SHARE of the one before
    ("fell_after"), and the least share over the one before ("least").
    """
    random_source = random.Random(seed)
    recorder = TableRecorder()
    controller = Controller(settings(), seed)
    start = 1000 * SECOND
    controller.run_cycle(start, first_events(), recorder)
    on_the_way: list[tuple[float, Event]] = []
    share_before: float | None = None
    fell_after: float | None = None
    least = 1.0
    for step in range(STEPS_PER_S * DAY_ENDS_S):
        second = step / STEPS_PER_S
        if step % (STEPS_PER_S * REPORT_INTERVAL_S) == 0:
            arrives_at = second + REPORT_DELAY_S
            on_the_way += [(arrives_at, event) for event in load_reports(second, random_source, slows_down)]
        if with_host_loads and step % (STEPS_PER_S * HOST_LOAD_INTERVAL_S) == 0:
            arrives_at = second + HOST_LOAD_DELAY_S
            on_the_way += [(arrives_at, event) for event in host_loads(second, random_source)]
        arrived = [event for arrives_at, event in on_the_way if arrives_at <= second]
        on_the_way = [(arrives_at, event) for arrives_at, event in on_the_way if arrives_at > second]
        controller.run_cycle(start + step * SECOND // STEPS_PER_S, arrived, recorder)
        share = recorder.share(SLOWED_ENDPOINT)
        if second == JOB_STARTS_S - 1:
            share_before = share
        if share_before and second >= JOB_STARTS_S:
            least = min(least, share / share_before)
            if fell_after is None and share <= LOST_SHARE * share_before:
                fell_after = second - JOB_STARTS_S
    return {"fell_after": DAY_ENDS_S - JOB_STARTS_S if fell_after is None else fell_after, "least": least}


def summary(days: list[dict[str, float]]) -> dict[str, float]:
    """Return the figures of several days."""
    fell_after = [day["fell_after"] for day in days]
    return {
        "fell_after_s_p50": quantile(fell_after, 0.5),
        "fell_after_s_max": max(fell_after),
        "least_part_of_weight": round(min(day["least"] for day in days), 3),
    }


def main(short: bool) -> None:
    """Play all variants and print the closing line."""
    days = 10 if short else 60
    reports = summary([play(seed, with_host_loads=False) for seed in range(days)])
    both = summary([play(seed, with_host_loads=True) for seed in range(days)])
    false_loads = summary([play(seed, with_host_loads=True, slows_down=False) for seed in range(days)])
    gain = reports["fell_after_s_p50"] - both["fell_after_s_p50"]
    close(
        "neighbour",
        {
            "sums": reports,
            "both": both,
            "lying": false_loads,
            "days": days,
            "sooner_s": gain,
            "simulated": True,
        },
        "sooner by 3 s or more; where the signal lies, no less than 0.4 of the weight",
        gain >= MIN_GAIN_S and false_loads["least_part_of_weight"] >= MIN_SHARE_WITH_FALSE_LOADS,
    )


if __name__ == "__main__":
    options = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    options.add_argument("--short", action="store_true")
    main(options.parse_args().short)
