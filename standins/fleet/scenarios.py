"""Scripted days of a `RequestWorld`: endpoints return cold while most pilots or proxies are killed."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from math import ceil

from standins.fleet.clock import SECOND
from standins.fleet.parameters import Parameters, Span
from standins.fleet.request_world import RequestWorld

KILLED_SHARE = 0.7
SLOWED = (2.0, 9.0)  # times as slow, of a bad endpoint that is slow
FAILING = (0.4, 1.0)  # share of tries that fail, of one that fails


class Killed(Enum):
    PILOTS = "pilots"
    PROXIES = "proxies"
    NONE = "none"


class Bad(Enum):
    """What is wrong with the bad endpoints."""

    SLOW = "slow"
    FAILING = "failing"
    NONE = "none"


@dataclass(frozen=True)
class Release:
    """When what happens; shares are of all endpoints."""

    killed: Killed = Killed.PILOTS
    returning: float = 0.2  # endpoints that crash and return cold
    bad: Bad = Bad.SLOW
    bad_share: float = 1 / 8
    settled_after: int = 10 * SECOND  # until the crash
    away: int = 5 * SECOND  # from the crash to the return
    killed_after: int = 0  # from the return; may be negative
    pilots_away: Span = (SECOND, 4 * SECOND)
    proxies_away: Span = (SECOND // 2, 2 * SECOND)
    watched: int = 20 * SECOND  # after the return


def play(
    parameters: Parameters,
    release: Release,
    seed: int,
    watch: Callable[[RequestWorld], None] = lambda world: None,
) -> RequestWorld:
    """Plays a release. `watch` is given the world before it runs."""
    world = RequestWorld(parameters, seed)
    watch(world)
    names = world.streams["script"].sample(sorted(world.servers), len(world.servers))
    returning = names[: ceil(release.returning * len(names))]
    bad = names[len(returning) : len(returning) + ceil(release.bad_share * len(names))]
    returns = release.settled_after + release.away
    world.later(release.settled_after, lambda: spoil(world, bad, release.bad))
    world.later(release.settled_after, lambda: world.crash(*returning))
    world.later(returns, lambda: world.restart(*returning))
    world.later(returns + release.killed_after, lambda: kill(world, release))
    world.run((returns + release.watched) / SECOND)
    return world


def spoil(world: RequestWorld, names: list[str], how: Bad) -> None:
    chance = world.streams["bad"]
    for name in names:
        if how is Bad.SLOW:
            world.servers[name].slowed = chance.uniform(*SLOWED)
        elif how is Bad.FAILING:
            world.servers[name].failing = chance.uniform(*FAILING)


def kill(world: RequestWorld, release: Release) -> None:
    chance = world.streams["killed"]
    if release.killed is Killed.PILOTS:
        count = min(len(world.pilots) - 1, round(KILLED_SHARE * len(world.pilots)))
        world.kill_pilots(chance.sample(range(len(world.pilots)), count), release.pilots_away)
    elif release.killed is Killed.PROXIES:
        count = round(KILLED_SHARE * len(world.proxies))
        world.kill_proxies(chance.sample(range(len(world.proxies)), count), release.proxies_away)
