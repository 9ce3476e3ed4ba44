"""The parameters of a request simulation.

The defaults are the middle of the ranges of a deployment that runs the program.
"""

from dataclasses import dataclass, replace

from ravenshelf.settings import Settings, decode_settings

MILLISECOND = 1000  # one millisecond in microseconds
SECOND = 1_000_000  # one second in microseconds
UniformRange = tuple[int, int]  # the least and the greatest value of a uniform draw


@dataclass(frozen=True)
class RequestGroup:
    """A traffic group of the proxies.

    Attributes:
        name: The name of the traffic group.
        share: Its share of all requests.
        mean_work_s: The mean work of a request, in seconds on one core.
        work_cv: The coefficient of variation of the work.
        latency_objective: The latency objective in microseconds.
        deadline: The deadline in microseconds.
        idempotency: A value of the setting `idempotency`.
        priority_weight: The priority weight.
    """

    name: str
    share: float
    mean_work_s: float
    work_cv: float
    latency_objective: int
    deadline: int
    idempotency: str
    priority_weight: float


VIEW = RequestGroup("view", 0.65, 0.25, 0.65, 1_500 * MILLISECOND, 4 * SECOND, "pure", 1.0)
POST = RequestGroup("post", 0.35, 0.10, 0.6, 600 * MILLISECOND, 2 * SECOND, "token", 5.0)


@dataclass(frozen=True)
class Parameters:
    """Sizes, network, clients and rules of a simulation.

    The values for network, channel, endpoint list, load reports, avoidance, clients, rules and capacities
    follow the ranges that the operators of a deployment with two zones state for it: the middle of a small
    range, and a range where they state a wide one. Queue limits follow its slots and its queue for each core.
    Sizes follow fleets of 1 to 50 proxies for each server, up to 320 at full size.

    Attributes:
        servers: The number of control-plane servers.
        zones: The number of zones.
        endpoints_per_zone: The number of endpoints of each zone.
        proxies_per_server: The number of proxies for each server.
        load: The work of all requests, relative to the capacity of all endpoints.
        load_cv: The coefficient of variation of the request rates among proxies; 0.8 to 1.5 in the
            deployment.
        capacity_cv: The coefficient of variation of the endpoints' speeds; 0.15 to 0.35 in the deployment.
        weight_kind: The precision of the listed weights: "none" or "rough".
        traffic_groups: The traffic groups of the requests.
        cores: The number of cores of each endpoint.
        queue_limit_per_core: The range of the queue limits for each core: slots (1.5 to 5) plus queue (5 to
            23).
        cold_capacity_share_range: The range of the cold capacity shares of the endpoints.
        warm_up_time: The range of the endpoints' slow starts, in microseconds.
        pick_method: How proxies pick endpoints; a value of the setting `pick`.
        outlier_after_failures: The consecutive failures after which a proxy avoids an endpoint; 0: never.
        avoidance_time: The range of the time for which a proxy avoids an endpoint, in microseconds.
        default_table_size: The number of endpoints in the table that a proxy starts with.
        default_retry_mode: The retry mode of proxies without an admission level.
        retryable_timeout: The timeout of an attempt that may be retried, in latency objectives.
        admission_level_kind: The unit of admission levels: "fraction", "per_second" or "none".
        client_repeats: The number of times that a client repeats a request; 0 to 1.5 in the deployment.
        client_repeat_probability: The share of failed requests that a client repeats; 0.4 to 1 in the
            deployment.
        client_backoff: The range of the time until a client repeats a request, in microseconds.
        lines_per_second: The rate of the control channel.
        message_overhead: The lines that each message counts for in addition to its own.
        channel_delay: The range of the delivery times of messages, in microseconds.
        report_period: The time between two reports to a server, in microseconds.
        report_delay: The range of the delivery times of reports, in microseconds.
        report_lines_per_second: The rate of the reports to a server.
        latency_noise_cv: The coefficient of variation of the noise on reported latencies.
        list_notice_delay: The range of the time until a server learns of endpoints that are gone, in
            microseconds.
        start_notice_delay: The range of the time until a server learns of endpoints that have started, in
            microseconds.
        reconnect_delay: The range of the time until a disconnected proxy reconnects, in microseconds.
        home_return_delay: The range of the time until a proxy returns to its first server after that has
            restarted, in microseconds; None: never.
        polls_per_second: The rate of polls that the endpoint registry can answer.
        overload_multiple: The work that an endpoint in slow start may be sent, relative to its present
            capacity.
        overload_window: The window over which that work is counted, in microseconds.
        drain_grace: The time after which a server that knows of a start is responsible for what its proxies
            send, in microseconds.
    """

    servers: int = 5
    zones: int = 2
    endpoints_per_zone: int = 7
    proxies_per_server: int = 33
    load: float = 0.8
    load_cv: float = 1.0
    capacity_cv: float = 0.3
    weight_kind: str = "none"
    traffic_groups: tuple[RequestGroup, ...] = (VIEW, POST)

    cores: int = 2
    queue_limit_per_core: tuple[int, int] = (7, 26)
    cold_capacity_share_range: tuple[float, float] = (0.17, 0.48)
    warm_up_time: UniformRange = (6 * SECOND, 18 * SECOND)

    pick_method: str = "random"
    outlier_after_failures: int = 5
    avoidance_time: UniformRange = (2_500 * MILLISECOND, 6_400 * MILLISECOND)
    default_table_size: int = 10
    default_retry_mode: int = 0
    retryable_timeout: float = 1.0
    admission_level_kind: str = "fraction"
    client_repeats: int = 1
    client_repeat_probability: float = 0.7
    client_backoff: UniformRange = (25 * MILLISECOND, 200 * MILLISECOND)

    lines_per_second: float = 2500.0
    message_overhead: int = 3
    channel_delay: UniformRange = (110 * MILLISECOND, 430 * MILLISECOND)
    report_period: int = 2 * SECOND
    report_delay: UniformRange = (510 * MILLISECOND, 1300 * MILLISECOND)
    report_lines_per_second: int = 500
    latency_noise_cv: float = 0.15
    list_notice_delay: UniformRange = (740 * MILLISECOND, 3_800 * MILLISECOND)
    start_notice_delay: UniformRange = (650 * MILLISECOND, 2_400 * MILLISECOND)
    reconnect_delay: UniformRange = (460 * MILLISECOND, 2_400 * MILLISECOND)
    home_return_delay: UniformRange | None = (3 * SECOND, 12 * SECOND)
    polls_per_second: float = 30.0

    overload_multiple: float = 2.5
    overload_window: int = 3 * SECOND
    drain_grace: int = 1_500 * MILLISECOND

    def with_changes(self, **changes) -> "Parameters":
        """Return a copy with the given fields replaced."""
        return replace(self, **changes)

    def proxy_count(self) -> int:
        """Return the number of proxies across all servers."""
        return self.servers * self.proxies_per_server

    def settings(self) -> Settings:
        """Return the settings of the servers of a fleet with these parameters."""
        return decode_settings(
            {
                "azs": [f"z{n}" for n in range(self.zones)],
                "balancers": self.servers,
                "discovery": "on_request",
                "weights": self.weight_kind,
                "classes": [self._class_settings(group) for group in self.traffic_groups],
                "family-info": self._service_settings(),
                "telemetry": {"how": "probe", "columns": ["cpu", "active", "avg_ms"]},
                "rules": {
                    "cold-share": self.cold_capacity_share_range[0],
                    "fall-multiple": self.overload_multiple,
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
            "proxy-count": self.proxy_count(),
            "by-zone": False,
            "level-kind": self.admission_level_kind,
            "late-most-ms": 1.6 * self.channel_delay[1] / MILLISECOND,
            "messages-most": 0,
            "counted-over-ms": 10_000.0,
            "outlier-after": self.outlier_after_failures,
            "pick": self.pick_method,
            "default-size": self.default_table_size,
            "base-mode": self.default_retry_mode,
            "first-wait": self.retryable_timeout,
            "hears-per-s": self.report_lines_per_second,
        }
