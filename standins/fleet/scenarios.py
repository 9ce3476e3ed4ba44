"""Scripted runs of a `RequestSimulation`: endpoints restart while most servers or proxies are killed."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from math import ceil

from standins.fleet.clock import SECOND
from standins.fleet.parameters import Parameters, UniformRange
from standins.fleet.request_simulation import RequestSimulation

KILLED_SHARE = 0.7  # share of the servers or proxies that are killed
OUTLIER_SLOWDOWN = (2.0, 9.0)
OUTLIER_FAILURE_SHARE = (0.4, 1.0)


class KillTarget(Enum):
    """The kind of processes that are killed."""

    SERVERS = "servers"
    PROXIES = "proxies"
    NONE = "none"


class OutlierKind(Enum):
    """The fault of the outliers."""

    SLOW = "slow"
    FAILING = "failing"
    NONE = "none"


@dataclass(frozen=True)
class Release:
    """A release, in which some endpoints crash and restart while servers or proxies are killed.

    Times are in microseconds, and shares are relative to all endpoints.

    Attributes:
        kill_target: The kind of processes that are killed.
        restarted_share: The share of endpoints that crash and restart cold.
        outlier_kind: The fault of the outliers.
        outlier_share: The share of endpoints that are outliers.
        crash_at: The time of the crash after the beginning of the run.
        endpoint_downtime: The time from the crash to the restart of the endpoints.
        kill_delay: The time from the restart of the endpoints to the kill; may be negative.
        server_downtime: The range of the downtimes of killed servers.
        proxy_downtime: The range of the downtimes of killed proxies.
        observation_time: The time from the restart of the endpoints to the end of the run.
    """

    kill_target: KillTarget = KillTarget.SERVERS
    restarted_share: float = 0.2
    outlier_kind: OutlierKind = OutlierKind.SLOW
    outlier_share: float = 1 / 8
    crash_at: int = 10 * SECOND
    endpoint_downtime: int = 5 * SECOND
    kill_delay: int = 0
    server_downtime: UniformRange = (SECOND, 4 * SECOND)
    proxy_downtime: UniformRange = (SECOND // 2, 2 * SECOND)
    observation_time: int = 20 * SECOND


def _prepare_nothing(_simulation: RequestSimulation) -> None:
    pass


def run_release(
    parameters: Parameters,
    release: Release,
    seed: int,
    prepare: Callable[[RequestSimulation], None] = _prepare_nothing,
) -> RequestSimulation:
    """Run a release and return the simulation at its end.

    Args:
        parameters: The parameters of the simulation.
        release: The release.
        seed: The seed of all random draws.
        prepare: Is called with the simulation before it runs.
    """
    simulation = RequestSimulation(parameters, seed)
    prepare(simulation)
    names = simulation.streams["script"].sample(sorted(simulation.endpoints), len(simulation.endpoints))
    restarted_endpoints = names[: ceil(release.restarted_share * len(names))]
    outliers = names[
        len(restarted_endpoints) : len(restarted_endpoints) + ceil(release.outlier_share * len(names))
    ]
    restart_at = release.crash_at + release.endpoint_downtime
    simulation.call_later(release.crash_at, lambda: make_outliers(simulation, outliers, release.outlier_kind))
    simulation.call_later(release.crash_at, lambda: simulation.crash_endpoints(*restarted_endpoints))
    simulation.call_later(restart_at, lambda: simulation.restart_endpoints(*restarted_endpoints))
    simulation.call_later(restart_at + release.kill_delay, lambda: kill_processes(simulation, release))
    simulation.run((restart_at + release.observation_time) / SECOND)
    return simulation


def make_outliers(simulation: RequestSimulation, names: list[str], kind: OutlierKind) -> None:
    """Turn endpoints into outliers with random severity."""
    random_source = simulation.streams["bad"]
    for name in names:
        if kind is OutlierKind.SLOW:
            simulation.endpoints[name].slowdown = random_source.uniform(*OUTLIER_SLOWDOWN)
        elif kind is OutlierKind.FAILING:
            simulation.endpoints[name].failure_share = random_source.uniform(*OUTLIER_FAILURE_SHARE)


def kill_processes(simulation: RequestSimulation, release: Release) -> None:
    """Kill a random share of the servers or proxies; at least one server is left."""
    random_source = simulation.streams["killed"]
    if release.kill_target is KillTarget.SERVERS:
        count = min(len(simulation.servers) - 1, round(KILLED_SHARE * len(simulation.servers)))
        simulation.kill_servers(
            random_source.sample(range(len(simulation.servers)), count), release.server_downtime
        )
    elif release.kill_target is KillTarget.PROXIES:
        count = round(KILLED_SHARE * len(simulation.proxies))
        simulation.kill_proxies(
            random_source.sample(range(len(simulation.proxies)), count), release.proxy_downtime
        )
