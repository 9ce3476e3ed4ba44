"""A simulated fleet in which every request is drawn and followed, and endpoints in slow start have a budget
of work."""

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
from standins.fleet.reports import DemandKey, EndpointKey, Key, LoadCounts, ReportQueue
from standins.fleet.simulation import FleetSimulation
from standins.fleet.streams import Streams
from standins.fleet.traffic import Request, Traffic, lognormal

CHANCE_DEVIATIONS = 1.0  # allowance for chance, in standard deviations: 3.2 times for 2.5 exceeds it
MIN_SPEED = 0.4
MAX_SPEED = 2.0
USUAL_ERROR = 0.1  # of the usual rate that a proxy announces


def mean_work(traffic_groups: tuple[RequestGroup, ...]) -> float:
    """Return the mean work of a request."""
    return sum(group.share * group.work_s for group in traffic_groups) / sum(
        group.share for group in traffic_groups
    )


def weighted_work(traffic_groups: tuple[RequestGroup, ...]) -> float:
    """Return the mean work of an attempt, weighted by work: the unit of chance in a sum of work."""
    squares = sum(group.share * group.work_s**2 * (1 + group.work_cv**2) for group in traffic_groups)
    return squares / sum(group.share * group.work_s for group in traffic_groups)


class RequestSimulation(FleetSimulation):
    """Draws and follows all requests, and records the work that endpoints in slow start are sent."""

    def __init__(self, parameters: Parameters, seed: int):
        self.parameters = parameters
        self.streams = Streams(seed)
        self.ledger = Ledger(
            BudgetRule(
                parameters.fall_multiple,
                parameters.overload_window,
                CHANCE_DEVIATIONS,
                weighted_work(parameters.traffic_groups),
            )
        )
        self.report_queues: dict[SimulatedServer, ReportQueue] = {}
        self.ends: Counter[str] = Counter()  # requests by result
        self.attempts: Counter[tuple[str, bool]] = Counter()  # by endpoint, and whether a retry
        endpoints = self._servers()
        rates = self._rates(sum(endpoint.capacity for endpoint in endpoints))
        super().__init__(
            parameters.settings(),
            endpoints,
            self._proxies(rates),
            parameters.servers,
            seed,
            parameters.polls_per_second,
        )
        self.home_servers = {proxy.number: proxy.server.number for proxy in self.proxies}
        self.traffic = Traffic(self.events, parameters, self.endpoints, self.streams, self)
        self.traffic.begin(self.proxies, rates)

    # --- endpoints and proxies ---

    def _servers(self) -> list[QueueingEndpoint]:
        return [
            self._server(f"s-{zone}-{n}", zone)
            for zone in range(self.parameters.zones)
            for n in range(self.parameters.endpoints)
        ]

    def _server(self, name: str, zone: int) -> QueueingEndpoint:
        parameters = self.parameters
        random_source = self.streams["servers"]
        speed = min(MAX_SPEED, max(MIN_SPEED, random_source.gauss(1.0, parameters.capacity_cv)))
        queue_limit = parameters.cores * random_source.randint(*parameters.queue_limit_per_core)
        endpoint = QueueingEndpoint(name, zone, parameters.cores * speed, parameters.cores, queue_limit)
        endpoint.listed_weight = 1.0 if parameters.weights == "none" else endpoint.capacity
        endpoint.cold_capacity_share = random_source.uniform(*parameters.cold_from)
        endpoint.warm_up_time = random_source.randint(*parameters.warm_up_time)
        return endpoint

    def _rates(self, capacity: float) -> list[float]:
        """Draw the requests a second of each proxy."""
        parameters = self.parameters
        random_source = self.streams["rates"]
        drawn = [lognormal(random_source, 1.0, parameters.load_cv) for _ in range(parameters.all_proxies())]
        total = parameters.load * capacity / mean_work(parameters.traffic_groups)
        return [total * rate / sum(drawn) for rate in drawn]

    def _proxies(self, rates: list[float]) -> list[RequestProxy]:
        parameters = self.parameters
        random_source = self.streams["usual"]
        rules = ProxyRules(
            tuple(group.name for group in parameters.traffic_groups),
            parameters.level_kind,
            parameters.outlier_after,
            *parameters.avoid_time,
            parameters.base_mode,
        )
        return [
            RequestProxy(
                number,
                number % parameters.zones,
                rate * random_source.uniform(1 - USUAL_ERROR, 1 + USUAL_ERROR),
                rules,
            )
            for number, rate in enumerate(rates)
        ]

    def make_channel(self, server: SimulatedServer) -> BoundedChannel:
        """Create a server's control channel and its report queue."""
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

    def join(self, proxy: RequestProxy) -> None:
        """Connect a proxy to a random living server, with a standing table if it has none."""
        if proxy.table_source is None and not proxy.table:
            proxy.restart(self._standing_table(proxy))
            proxy.server = self.random_source.choice(self.living_servers())
            proxy.server.receive(ProxyJoined(proxy.number, proxy.zone, proxy.request_rate, True))
        else:
            super().join(proxy)

    def _standing_table(self, proxy: RequestProxy) -> dict[str, float]:
        """Draw a table from the list, in the proxy's zone if that has enough ready endpoints."""
        ready = [endpoint for endpoint in self.endpoints.values() if endpoint.state == "ready"]
        near = [endpoint for endpoint in ready if endpoint.zone == proxy.zone]
        names = [endpoint.name for endpoint in (near if len(near) >= 3 else ready)]
        return dict.fromkeys(
            self.streams["standing"].sample(names, min(self.parameters.standing_table_size, len(names))), 1.0
        )

    # --- faults ---

    def crash(self, *names: str) -> None:
        """Kill endpoints' processes; the list changes later."""
        for name in names:
            self.endpoints[name].state = "gone"
        self.announce(self.parameters.list_notice)

    def restart(self, *names: str) -> None:
        """Restart endpoints' processes, in slow start."""
        for name in names:
            self.endpoints[name].restart(self.now)
        self.announce(self.parameters.start_notice)

    def kill_servers(self, numbers: list[int], away: tuple[int, int]) -> None:
        """Kill servers: their proxies dial others, and each restarts from its stored list."""
        killed = [self.servers[number] for number in numbers]
        for server in killed:
            server.alive = False
            self.call_later(self.streams["faults"].randint(*away), partial(self._restart_server, server))
        for proxy in self.proxies:
            if proxy.server in killed:
                proxy.server = None
                self.call_later(
                    self.streams["faults"].randint(*self.parameters.redial),
                    partial(self._dial, proxy),
                )

    def _dial(self, proxy: RequestProxy) -> None:
        if proxy.server is None and proxy.number not in self.traffic.down:
            self.join(proxy)

    def _restart_server(self, old: SimulatedServer) -> None:
        self.report_queues.pop(old, None)
        self.servers[old.number] = self.start_server(old.number, old.restored_list(), old.starts + 1)
        for proxy in self.proxies if self.parameters.rehome else ():
            if self.home_servers[proxy.number] == old.number:
                wait = self.streams["faults"].randint(*self.parameters.rehome)
                self.call_later(wait, partial(self._rehome, proxy))

    def _rehome(self, proxy: RequestProxy) -> None:
        home = self.servers[self.home_servers[proxy.number]]
        if not home.alive or proxy.server is home or proxy.number in self.traffic.down:
            return
        if proxy.server is not None:
            proxy.server.receive(ProxyLeft(proxy.number))
        proxy.server = home
        home.receive(ProxyJoined(proxy.number, proxy.zone, proxy.request_rate, False))

    def kill_proxies(self, numbers: list[int], away: tuple[int, int]) -> None:
        """Kill proxies: they restart with standing tables, and dial."""
        for number in numbers:
            proxy = self.proxies[number]
            if proxy.server is not None:
                proxy.server.receive(ProxyLeft(number))
            proxy.server = None
            self.traffic.down.add(number)
            self.call_later(self.streams["faults"].randint(*away), partial(self._restart_proxy, proxy))

    def _restart_proxy(self, proxy: RequestProxy) -> None:
        self.traffic.down.discard(proxy.number)
        proxy.restart({})
        proxy.restart(self._standing_table(proxy))
        self.call_later(
            self.streams["faults"].randint(*self.parameters.redial), lambda: self._dial_fresh(proxy)
        )

    def _dial_fresh(self, proxy: RequestProxy) -> None:
        proxy.server = self.random_source.choice(self.living_servers())
        proxy.server.receive(ProxyJoined(proxy.number, proxy.zone, proxy.request_rate, True))

    # --- results of requests ---

    def sent(self, request: Request, endpoint: QueueingEndpoint, repeated: bool) -> None:
        """Record an attempt."""
        self.attempts[endpoint.name, repeated] += 1
        if endpoint.is_warming_up(self.now):
            informed = self.informed(request.proxy, endpoint)
            self.ledger.record(endpoint, SentWork(self.now, request.work, informed, repeated))

    def informed(self, proxy: RequestProxy, endpoint: QueueingEndpoint) -> bool:
        """Return whether the proxy's last message knew of the start, or its server for the grace period."""
        if proxy.informed.get(endpoint.name) == endpoint.started:
            return True
        return proxy.server is not None and proxy.server.has_known(
            endpoint.name, endpoint.started, self.parameters.drain_grace
        )

    def attempted(self, request: Request, endpoint: QueueingEndpoint, failed: bool, latency: int) -> None:
        """Report the outcome of an attempt."""
        if request.proxy.server is not None:
            report_queue = self.report_queues[request.proxy.server]
            report_queue.count(EndpointKey(request.proxy.zone, endpoint.name), failed, latency)

    def ended(self, request: Request, admitted: bool, served: bool) -> None:
        """Report the end of a request."""
        self.ends["served" if served else "failed" if admitted else "refused"] += 1
        if request.proxy.server is not None:
            report_queue = self.report_queues[request.proxy.server]
            report_queue.count(DemandKey(request.proxy.number, request.group), admitted and not served)

    # --- load reports ---

    def _open_report_queue(self, server: SimulatedServer) -> None:
        self.report_queues[server] = ReportQueue(self.now)
        phase = self.streams["reports"].randint(1, self.parameters.report_period)
        self.call_later(phase, lambda: self._report(server))

    def _report(self, server: SimulatedServer) -> None:
        if not server.alive:
            return
        most = ceil(self.parameters.report_lines_per_second * self.parameters.report_period / SECOND)
        lines = self.report_queues[server].take(self.now, most)
        ended = self.now
        self.call_later(
            self.streams["reports"].randint(*self.parameters.report_delay),
            lambda: self._reports_arrived(server, lines, ended),
        )
        self.call_later(self.parameters.report_period, lambda: self._report(server))

    def _reports_arrived(
        self, server: SimulatedServer, lines: list[tuple[Key, LoadCounts]], ended: int
    ) -> None:
        if not server.alive:
            return
        for key, counts in lines:
            window = max(1, ended - counts.since)
            if isinstance(key, DemandKey):
                if self.proxies[key.proxy].server is server:
                    server.receive(DemandReport(key.proxy, key.group, counts.attempts, counts.failed, window))
            elif (index := server.endpoint_registry.index_by_name.get(key.endpoint)) is not None:
                latency = round(
                    counts.mean_latency() * lognormal(self.streams["noise"], 1.0, self.parameters.noise)
                )
                server.receive(
                    LoadReport(key.zone, index, counts.attempts, counts.failed, latency, window, ())
                )
