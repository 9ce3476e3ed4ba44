"""Scripted days of a `RequestSimulation`: endpoints return cold while most servers or proxies are killed."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from math import ceil

from standins.fleet.clock import SECOND
from standins.fleet.parameters import Parameters, Span
from standins.fleet.request_simulation import RequestSimulation

KILLED_SHARE = 0.7
SLOWED = (2.0, 9.0)  # slowdown of a slow outlier
FAILING = (0.4, 1.0)  # share of failed attempts of a failing outlier


class Killed(Enum):
    """Which processes are killed."""

    SERVERS = "pilots"
    PROXIES = "proxies"
    NONE = "none"


class OutlierKind(Enum):
    """What is wrong with the outliers."""

    SLOW = "slow"
    FAILING = "failing"
    NONE = "none"


@dataclass(frozen=True)
class Release:
    """Times and shares of a release; times are microseconds, shares are of all endpoints."""

    killed: Killed = Killed.SERVERS
    returning: float = 0.2  # endpoints that crash and return cold
    outlier: OutlierKind = OutlierKind.SLOW
    outlier_share: float = 1 / 8
    settled_after: int = 10 * SECOND  # until the crash
    away: int = 5 * SECOND  # from the crash to the return
    killed_after: int = 0  # from the return; may be negative
    servers_away: Span = (SECOND, 4 * SECOND)
    proxies_away: Span = (SECOND // 2, 2 * SECOND)
    watched: int = 20 * SECOND  # after the return


def _watch_nothing(_world: RequestSimulation) -> None:
    pass


def play(
    parameters: Parameters,
    release: Release,
    seed: int,
    watch: Callable[[RequestSimulation], None] = _watch_nothing,
) -> RequestSimulation:
    """Play a release. `watch`: called with the simulation before it runs."""
    world = RequestSimulation(parameters, seed)
    watch(world)
    names = world.streams["script"].sample(sorted(world.endpoints), len(world.endpoints))
    returning = names[: ceil(release.returning * len(names))]
    outlier = names[len(returning) : len(returning) + ceil(release.outlier_share * len(names))]
    returns = release.settled_after + release.away
    world.call_later(release.settled_after, lambda: make_outliers(world, outlier, release.outlier))
    world.call_later(release.settled_after, lambda: world.crash(*returning))
    world.call_later(returns, lambda: world.restart(*returning))
    world.call_later(returns + release.killed_after, lambda: kill(world, release))
    world.run((returns + release.watched) / SECOND)
    return world


def make_outliers(world: RequestSimulation, names: list[str], how: OutlierKind) -> None:
    """Turn endpoints into outliers."""
    random_source = world.streams["bad"]
    for name in names:
        if how is OutlierKind.SLOW:
            world.endpoints[name].slowdown = random_source.uniform(*SLOWED)
        elif how is OutlierKind.FAILING:
            world.endpoints[name].failure_share = random_source.uniform(*FAILING)


def kill(world: RequestSimulation, release: Release) -> None:
    """Kill a share of the servers or proxies."""
    random_source = world.streams["killed"]
    if release.killed is Killed.SERVERS:
        count = min(len(world.servers) - 1, round(KILLED_SHARE * len(world.servers)))
        world.kill_servers(random_source.sample(range(len(world.servers)), count), release.servers_away)
    elif release.killed is Killed.PROXIES:
        count = round(KILLED_SHARE * len(world.proxies))
        world.kill_proxies(random_source.sample(range(len(world.proxies)), count), release.proxies_away)
