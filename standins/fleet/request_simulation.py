"""A simulated fleet in which every request is drawn and its attempts are followed.

The work sent to endpoints in slow start is checked against a budget.
"""

from collections import Counter
from functools import partial
from math import ceil

from ravenshelf.policy.events import DemandReport, LoadReport, ProxyJoined, ProxyLeft
from standins.fleet.budget import BudgetRule, SentWork
from standins.fleet.channels import BoundedChannel
from standins.fleet.clock import SECOND
from standins.fleet.control_plane import SimulatedServer
from standins.fleet.endpoints import QueueingEndpoint
from standins.fleet.ledger import Ledger
from standins.fleet.parameters import Parameters, RequestGroup
from standins.fleet.proxies import ProxyRules, RequestProxy
from standins.fleet.reports import DemandKey, EndpointKey, LoadCounts, ReportKey, ReportQueue
from standins.fleet.simulation import FleetSimulation
from standins.fleet.streams import RandomStreams
from standins.fleet.traffic import Request, Traffic, lognormal

# The allowance for random variation in the budget, in standard deviations. With this allowance, 3.2 times
# the present capacity still exceeds a budget of 2.5 times.
ALLOWED_DEVIATIONS = 1.0
MIN_SPEED = 0.4  # the least speed of an endpoint, relative to the mean
MAX_SPEED = 2.0  # the greatest speed of an endpoint, relative to the mean
NOMINAL_RATE_ERROR = 0.1  # the greatest relative error of the nominal rate that a proxy announces


def mean_work(traffic_groups: tuple[RequestGroup, ...]) -> float:
    """Return the mean work of a request in seconds."""
    return sum(group.share * group.mean_work_s for group in traffic_groups) / sum(
        group.share for group in traffic_groups
    )


def work_weighted_mean_work(traffic_groups: tuple[RequestGroup, ...]) -> float:
    """Return the mean work of an attempt in seconds, averaged with the work as weight.

    The variance of a sum of work is the expected sum times this value.
    """
    squares = sum(group.share * group.mean_work_s**2 * (1 + group.work_cv**2) for group in traffic_groups)
    return squares / sum(group.share * group.mean_work_s for group in traffic_groups)


class RequestSimulation(FleetSimulation):
    """Draws and follows all requests, and records the work that endpoints in slow start are sent.

    Attributes:
        report_queues: The pending reports by server.
        request_results: The number of requests by result: "served", "failed" or "refused".
        attempts: The number of attempts by endpoint, and by whether they were retries.
        home_servers: The number of the first server by proxy number.
    """

    def __init__(self, parameters: Parameters, seed: int):
        self.parameters = parameters
        self.streams = RandomStreams(seed)
        self.ledger = Ledger(
            BudgetRule(
                parameters.overload_multiple,
                parameters.overload_window,
                ALLOWED_DEVIATIONS,
                work_weighted_mean_work(parameters.traffic_groups),
            )
        )
        self.report_queues: dict[SimulatedServer, ReportQueue] = {}
        self.request_results: Counter[str] = Counter()
        self.attempts: Counter[tuple[str, bool]] = Counter()
        endpoints = self._create_endpoints()
        rates = self._draw_rates(sum(endpoint.capacity for endpoint in endpoints))
        super().__init__(
            parameters.settings(),
            endpoints,
            self._create_proxies(rates),
            parameters.servers,
            seed,
            parameters.polls_per_second,
        )
        self.home_servers = {proxy.number: proxy.server.number for proxy in self.proxies}
        self.traffic = Traffic(self.events, parameters, self.endpoints, self.streams, self)
        self.traffic.start(self.proxies, rates)

    # Endpoints and proxies

    def _create_endpoints(self) -> list[QueueingEndpoint]:
        return [
            self._create_endpoint(f"s-{zone}-{n}", zone)
            for zone in range(self.parameters.zones)
            for n in range(self.parameters.endpoints_per_zone)
        ]

    def _create_endpoint(self, name: str, zone: int) -> QueueingEndpoint:
        parameters = self.parameters
        random_source = self.streams["servers"]
        speed = min(MAX_SPEED, max(MIN_SPEED, random_source.gauss(1.0, parameters.capacity_cv)))
        queue_limit = parameters.cores * random_source.randint(*parameters.queue_limit_per_core)
        endpoint = QueueingEndpoint(name, zone, parameters.cores * speed, parameters.cores, queue_limit)
        endpoint.listed_weight = 1.0 if parameters.weight_kind == "none" else endpoint.capacity
        endpoint.cold_capacity_share = random_source.uniform(*parameters.cold_capacity_share_range)
        endpoint.warm_up_time = random_source.randint(*parameters.warm_up_time)
        return endpoint

    def _draw_rates(self, capacity: float) -> list[float]:
        """Return the requests a second of each proxy, drawn for a fleet of this capacity."""
        parameters = self.parameters
        random_source = self.streams["rates"]
        relative_rates = [
            lognormal(random_source, 1.0, parameters.load_cv) for _ in range(parameters.proxy_count())
        ]
        total = parameters.load * capacity / mean_work(parameters.traffic_groups)
        return [total * rate / sum(relative_rates) for rate in relative_rates]

    def _create_proxies(self, rates: list[float]) -> list[RequestProxy]:
        parameters = self.parameters
        random_source = self.streams["usual"]
        rules = ProxyRules(
            tuple(group.name for group in parameters.traffic_groups),
            parameters.admission_level_kind,
            parameters.outlier_after_failures,
            *parameters.avoidance_time,
            parameters.default_retry_mode,
        )
        return [
            RequestProxy(
                number,
                number % parameters.zones,
                rate * random_source.uniform(1 - NOMINAL_RATE_ERROR, 1 + NOMINAL_RATE_ERROR),
                rules,
            )
            for number, rate in enumerate(rates)
        ]

    def make_channel(self, server: SimulatedServer) -> BoundedChannel:
        """Create the control channel and the report queue of a server."""
        parameters = self.parameters
        self._open_report_queue(server)
        return BoundedChannel(
            self.events,
            server,
            parameters.lines_per_second,
            parameters.message_overhead,
            parameters.channel_delay,
            self.streams["channel"],
        )

    def connect_proxy(self, proxy: RequestProxy) -> None:
        """Connect a proxy to a random running server, with a default table if it has no table."""
        if proxy.table_source is None and not proxy.table:
            proxy.restart(self._draw_default_table(proxy))
            proxy.server = self.random_source.choice(self.running_servers())
            proxy.server.receive(ProxyJoined(proxy.number, proxy.zone, proxy.request_rate, True))
        else:
            super().connect_proxy(proxy)

    def _draw_default_table(self, proxy: RequestProxy) -> dict[str, float]:
        """Draw a table of ready endpoints, from the proxy's zone if that has at least three."""
        ready_endpoints = [endpoint for endpoint in self.endpoints.values() if endpoint.state == "ready"]
        local_endpoints = [endpoint for endpoint in ready_endpoints if endpoint.zone == proxy.zone]
        names = [
            endpoint.name for endpoint in (local_endpoints if len(local_endpoints) >= 3 else ready_endpoints)
        ]
        return dict.fromkeys(
            self.streams["standing"].sample(names, min(self.parameters.default_table_size, len(names))), 1.0
        )

    # Faults

    def crash_endpoints(self, *names: str) -> None:
        """Kill the processes of endpoints; the servers learn of it later."""
        for name in names:
            self.endpoints[name].state = "gone"
        self.publish_list(self.parameters.list_notice_delay)

    def restart_endpoints(self, *names: str) -> None:
        """Restart the processes of endpoints, in slow start."""
        for name in names:
            self.endpoints[name].restart(self.now)
        self.publish_list(self.parameters.start_notice_delay)

    def kill_servers(self, numbers: list[int], downtime: tuple[int, int]) -> None:
        """Kill servers.

        Their proxies connect to others, and each server restarts with its stored list after a random downtime
        in this range of microseconds.
        """
        killed_servers = [self.servers[number] for number in numbers]
        for server in killed_servers:
            server.is_alive = False
            self.call_later(self.streams["faults"].randint(*downtime), partial(self._restart_server, server))
        for proxy in self.proxies:
            if proxy.server in killed_servers:
                proxy.server = None
                self.call_later(
                    self.streams["faults"].randint(*self.parameters.reconnect_delay),
                    partial(self._reconnect, proxy),
                )

    def _reconnect(self, proxy: RequestProxy) -> None:
        if proxy.server is None and proxy.number not in self.traffic.stopped_proxies:
            self.connect_proxy(proxy)

    def _restart_server(self, previous: SimulatedServer) -> None:
        self.report_queues.pop(previous, None)
        self.servers[previous.number] = self.start_server(
            previous.number, previous.stored_list(), previous.previous_starts + 1
        )
        for proxy in self.proxies if self.parameters.home_return_delay else ():
            if self.home_servers[proxy.number] == previous.number:
                delay = self.streams["faults"].randint(*self.parameters.home_return_delay)
                self.call_later(delay, partial(self._return_home, proxy))

    def _return_home(self, proxy: RequestProxy) -> None:
        home_server = self.servers[self.home_servers[proxy.number]]
        if (
            not home_server.is_alive
            or proxy.server is home_server
            or proxy.number in self.traffic.stopped_proxies
        ):
            return
        if proxy.server is not None:
            proxy.server.receive(ProxyLeft(proxy.number))
        proxy.server = home_server
        home_server.receive(ProxyJoined(proxy.number, proxy.zone, proxy.request_rate, False))

    def kill_proxies(self, numbers: list[int], downtime: tuple[int, int]) -> None:
        """Kill proxies.

        Each restarts with a default table after a random downtime in this range of microseconds, and connects
        to a server.
        """
        for number in numbers:
            proxy = self.proxies[number]
            if proxy.server is not None:
                proxy.server.receive(ProxyLeft(number))
            proxy.server = None
            self.traffic.stopped_proxies.add(number)
            self.call_later(self.streams["faults"].randint(*downtime), partial(self._restart_proxy, proxy))

    def _restart_proxy(self, proxy: RequestProxy) -> None:
        self.traffic.stopped_proxies.discard(proxy.number)
        proxy.restart({})
        proxy.restart(self._draw_default_table(proxy))
        self.call_later(
            self.streams["faults"].randint(*self.parameters.reconnect_delay),
            lambda: self._connect_restarted(proxy),
        )

    def _connect_restarted(self, proxy: RequestProxy) -> None:
        proxy.server = self.random_source.choice(self.running_servers())
        proxy.server.receive(ProxyJoined(proxy.number, proxy.zone, proxy.request_rate, True))

    # Results of requests

    def attempt_sent(self, request: Request, endpoint: QueueingEndpoint, is_retry: bool) -> None:
        """Record an attempt."""
        self.attempts[endpoint.name, is_retry] += 1
        if endpoint.is_warming_up(self.now):
            is_informed = self.is_informed(request.proxy, endpoint)
            self.ledger.record(endpoint, SentWork(self.now, request.work, is_informed, is_retry))

    def is_informed(self, proxy: RequestProxy, endpoint: QueueingEndpoint) -> bool:
        """Return whether a proxy counts as informed of the latest start of an endpoint.

        It does if the sender of the last message to it knew of the start, or if its server has known of the
        start for the grace period.
        """
        if proxy.starts_known_to_sender.get(endpoint.name) == endpoint.started_at:
            return True
        return proxy.server is not None and proxy.server.has_known_start_for(
            endpoint.name, endpoint.started_at, self.parameters.drain_grace
        )

    def attempt_ended(
        self, request: Request, endpoint: QueueingEndpoint, has_failed: bool, latency: int
    ) -> None:
        """Count the outcome of an attempt in a load report."""
        if request.proxy.server is not None:
            report_queue = self.report_queues[request.proxy.server]
            report_queue.count(EndpointKey(request.proxy.zone, endpoint.name), has_failed, latency)

    def request_ended(self, request: Request, is_admitted: bool, is_served: bool) -> None:
        """Record the result of a request, and count it in a demand report."""
        self.request_results["served" if is_served else "failed" if is_admitted else "refused"] += 1
        if request.proxy.server is not None:
            report_queue = self.report_queues[request.proxy.server]
            report_queue.count(DemandKey(request.proxy.number, request.group), is_admitted and not is_served)

    # Load reports

    def _open_report_queue(self, server: SimulatedServer) -> None:
        self.report_queues[server] = ReportQueue(self.now)
        phase = self.streams["reports"].randint(1, self.parameters.report_period)
        self.call_later(phase, lambda: self._report(server))

    def _report(self, server: SimulatedServer) -> None:
        if not server.is_alive:
            return
        max_reports = ceil(self.parameters.report_lines_per_second * self.parameters.report_period / SECOND)
        reports = self.report_queues[server].end_period(self.now, max_reports)
        period_end = self.now
        self.call_later(
            self.streams["reports"].randint(*self.parameters.report_delay),
            lambda: self._reports_arrived(server, reports, period_end),
        )
        self.call_later(self.parameters.report_period, lambda: self._report(server))

    def _reports_arrived(
        self, server: SimulatedServer, reports: list[tuple[ReportKey, LoadCounts]], period_end: int
    ) -> None:
        if not server.is_alive:
            return
        for key, counts in reports:
            window = max(1, period_end - counts.since)
            if isinstance(key, DemandKey):
                if self.proxies[key.proxy].server is server:
                    server.receive(
                        DemandReport(key.proxy, key.group, counts.attempts, counts.failures, window)
                    )
            elif (index := server.endpoint_registry.index_by_name.get(key.endpoint)) is not None:
                latency = round(
                    counts.mean_latency()
                    * lognormal(self.streams["noise"], 1.0, self.parameters.latency_noise_cv)
                )
                server.receive(
                    LoadReport(key.zone, index, counts.attempts, counts.failures, latency, window, ())
                )
