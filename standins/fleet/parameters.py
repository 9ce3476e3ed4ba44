"""Parameters of a request simulation. Defaults are the middle of the ranges of a deployment that runs the
program."""

from dataclasses import dataclass, replace

from ravenshelf.settings import Settings, decode_settings

MILLISECOND = 1000
SECOND = 1_000_000
Span = tuple[int, int]  # minimum and maximum of a uniform draw


@dataclass(frozen=True)
class RequestGroup:
    """A traffic group of the proxies. Times are microseconds, work is in seconds on one core."""

    name: str
    share: float
    work_s: float  # mean
    work_cv: float
    latency_objective: int
    deadline: int
    idempotency: str  # in the settings' words
    priority_weight: float


VIEW = RequestGroup("view", 0.65, 0.25, 0.65, 1_500 * MILLISECOND, 4 * SECOND, "pure", 1.0)
POST = RequestGroup("post", 0.35, 0.10, 0.6, 600 * MILLISECOND, 2 * SECOND, "token", 5.0)


@dataclass(frozen=True)
class Parameters:
    """Sizes, network, clients and rules of a simulation. Times are microseconds.

    Network, channel, endpoint list, load reports, avoidance, clients, rules and capacities rest on the ranges
    that the operators of a deployment with two zones state for it (small ones in the middle, spreads where a
    range is given); queue limits on its slots and queue for each core; sizes on fleets of 1 to 50 proxies a
    server, up to 320 at full size.
    """

    servers: int = 5
    zones: int = 2
    endpoints: int = 7  # of each zone
    proxies: int = 33  # of each server
    load: float = 0.8  # work of all requests over all capacity
    load_cv: float = 1.0  # of rates among proxies: 0.8 to 1.5 in the deployment
    capacity_cv: float = 0.3  # of endpoints' speeds: 0.15 to 0.35
    weights: str = "none"  # precision of listed weights: "none" or "rough"
    traffic_groups: tuple[RequestGroup, ...] = (VIEW, POST)

    cores: int = 2
    queue_limit_per_core: tuple[int, int] = (7, 26)  # slots (1.5 to 5) plus queue (5 to 23)
    cold_from: tuple[float, float] = (0.17, 0.48)
    warm_up_time: Span = (6 * SECOND, 18 * SECOND)

    pick: str = "random"
    outlier_after: int = 5
    avoid_time: Span = (2_500 * MILLISECOND, 6_400 * MILLISECOND)
    standing_table_size: int = 10  # endpoints
    base_mode: int = 0  # retry mode of proxies without an admission level
    first_wait: float = 1.0  # timeout of an attempt that may be retried, in latency objectives
    level_kind: str = "fraction"
    client_repeats: int = 1  # a client repeats a request so often (0 to 1.5)
    client_comes_again: float = 0.7  # share of failed requests that it repeats (0.4 to 1)
    client_backoff: Span = (25 * MILLISECOND, 200 * MILLISECOND)

    lines_per_second: float = 2500.0
    message_overhead: int = 3
    channel_delay: Span = (110 * MILLISECOND, 430 * MILLISECOND)
    report_period: int = 2 * SECOND
    report_delay: Span = (510 * MILLISECOND, 1300 * MILLISECOND)
    report_lines_per_second: int = 500
    noise: float = 0.15  # of reported latencies
    list_notice: Span = (740 * MILLISECOND, 3_800 * MILLISECOND)
    start_notice: Span = (650 * MILLISECOND, 2_400 * MILLISECOND)
    redial: Span = (460 * MILLISECOND, 2_400 * MILLISECOND)
    rehome: Span | None = (3 * SECOND, 12 * SECOND)  # until a proxy returns to its first server; None: never
    polls_per_second: float = 30.0

    fall_multiple: float = 2.5
    overload_window: int = 3 * SECOND
    drain_grace: int = 1_500 * MILLISECOND

    def with_changes(self, **changes) -> "Parameters":
        """Return a copy with changed fields."""
        return replace(self, **changes)

    def all_proxies(self) -> int:
        """Return the number of proxies of all servers."""
        return self.servers * self.proxies

    def settings(self) -> Settings:
        """Return the settings of the servers of such a fleet."""
        return decode_settings(
            {
                "azs": [f"z{n}" for n in range(self.zones)],
                "balancers": self.servers,
                "discovery": "on_request",
                "weights": self.weights,
                "classes": [self._class_settings(group) for group in self.traffic_groups],
                "family-info": self._service_settings(),
                "telemetry": {"how": "probe", "columns": ["cpu", "active", "avg_ms"]},
                "rules": {
                    "cold-share": self.cold_from[0],
                    "fall-multiple": self.fall_multiple,
                    "overload-for-ms": self.overload_window / MILLISECOND,
                    "drain-grace-ms": self.drain_grace / MILLISECOND,
                    "warm-after-ms": self.warm_up_time[1] / MILLISECOND,
                },
            }
        )

    @staticmethod
    def _class_settings(group: RequestGroup) -> dict:
        return {
            "name": group.name,
            "importance": group.priority_weight,
            "objective-ms": group.latency_objective / MILLISECOND,
            "deadline-ms": group.deadline / MILLISECOND,
            "idempotency": group.idempotency,
        }

    def _service_settings(self) -> dict:
        return {
            "lines-per-s": self.lines_per_second,
            "most-waiting": round(1.5 * self.lines_per_second),
            "envelope": self.message_overhead,
            "proxy-count": self.all_proxies(),
            "by-zone": False,
            "level-kind": self.level_kind,
            "late-most-ms": 1.6 * self.channel_delay[1] / MILLISECOND,
            "messages-most": 0,
            "counted-over-ms": 10_000.0,
            "outlier-after": self.outlier_after,
            "pick": self.pick,
            "default-size": self.standing_table_size,
            "base-mode": self.base_mode,
            "first-wait": self.first_wait,
            "hears-per-s": self.report_lines_per_second,
        }
