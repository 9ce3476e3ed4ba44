"""A fleet in which every request is drawn and followed, and cold endpoints have a budget of work."""

from collections import Counter
from math import ceil

from ravenshelf.policy.events import DemandReport, LoadReport, ProxyJoined, ProxyLeft
from standins.fleet.budget import BudgetRule, SentWork
from standins.fleet.channels import BoundedChannel
from standins.fleet.clock import SECOND
from standins.fleet.ledger import Ledger
from standins.fleet.parameters import Parameters, RequestClass
from standins.fleet.pilots import Pilot
from standins.fleet.proxies import ProxyRules, RequestProxy
from standins.fleet.reports import EndpointKey, Intake, Key, Tally, UsageKey
from standins.fleet.servers import QueueServer
from standins.fleet.simulation import Simulation
from standins.fleet.streams import Streams
from standins.fleet.traffic import Request, Traffic, lognormal

CHANCE_DEVIATIONS = 1.0  # the budget's slack for chance, in standard deviations: 3.2 times for 2.5 is over it
SPEED_LEAST, SPEED_MOST = 0.4, 2.0
USUAL_ERROR = 0.1  # of what a proxy says that it usually receives


def mean_work(classes: tuple[RequestClass, ...]) -> float:
    return sum(group.share * group.work_s for group in classes) / sum(group.share for group in classes)


def weighted_work(classes: tuple[RequestClass, ...]) -> float:
    """Mean work of a try, weighted by work: the unit of chance in a sum of work."""
    squares = sum(group.share * group.work_s**2 * (1 + group.work_cv**2) for group in classes)
    return squares / sum(group.share * group.work_s for group in classes)


class RequestWorld(Simulation):
    def __init__(self, parameters: Parameters, seed: int):
        self.parameters, self.streams = parameters, Streams(seed)
        self.ledger = Ledger(
            BudgetRule(
                parameters.fall_multiple,
                parameters.overload_for,
                CHANCE_DEVIATIONS,
                weighted_work(parameters.classes),
            )
        )
        self.intakes: dict[Pilot, Intake] = {}
        self.ends = Counter()  # requests by what came of them
        self.tries: Counter[tuple[str, bool]] = Counter()  # by endpoint, and whether repeated
        servers = self._servers()
        rates = self._rates(sum(server.capacity for server in servers))
        super().__init__(
            parameters.settings(),
            servers,
            self._proxies(rates),
            parameters.pilots,
            seed,
            parameters.calls_a_second,
        )
        self.homes = {proxy.number: proxy.pilot.number for proxy in self.proxies}
        self.traffic = Traffic(self.events, parameters, self.servers, self.streams, self)
        self.traffic.begin(self.proxies, rates)

    # --- what it is made of ---

    def _servers(self) -> list[QueueServer]:
        return [
            self._server(f"s-{zone}-{n}", zone)
            for zone in range(self.parameters.zones)
            for n in range(self.parameters.servers)
        ]

    def _server(self, name: str, zone: int) -> QueueServer:
        parameters, chance = self.parameters, self.streams["servers"]
        speed = min(SPEED_MOST, max(SPEED_LEAST, chance.gauss(1.0, parameters.capacity_cv)))
        places = parameters.cores * chance.randint(*parameters.places_per_core)
        server = QueueServer(name, zone, parameters.cores * speed, parameters.cores, places)
        server.listed_weight = 1.0 if parameters.weights == "none" else server.capacity
        server.cold_share = chance.uniform(*parameters.cold_from)
        server.warm_after = chance.randint(*parameters.warm_after)
        return server

    def _rates(self, capacity: float) -> list[float]:
        """Requests a second of each proxy."""
        parameters, chance = self.parameters, self.streams["rates"]
        drawn = [lognormal(chance, 1.0, parameters.load_cv) for _ in range(parameters.all_proxies())]
        total = parameters.load * capacity / mean_work(parameters.classes)
        return [total * rate / sum(drawn) for rate in drawn]

    def _proxies(self, rates: list[float]) -> list[RequestProxy]:
        parameters, chance = self.parameters, self.streams["usual"]
        rules = ProxyRules(
            tuple(group.name for group in parameters.classes),
            parameters.level_kind,
            parameters.outlier_after,
            *parameters.shun,
            parameters.base_mode,
        )
        return [
            RequestProxy(
                number,
                number % parameters.zones,
                rate * chance.uniform(1 - USUAL_ERROR, 1 + USUAL_ERROR),
                rules,
            )
            for number, rate in enumerate(rates)
        ]

    def make_channel(self, pilot: Pilot) -> BoundedChannel:
        parameters = self.parameters
        self._open_intake(pilot)
        return BoundedChannel(
            self.events,
            pilot,
            parameters.lines_per_s,
            parameters.envelope,
            parameters.channel_delay,
            self.streams["channel"],
        )

    def join(self, proxy: RequestProxy) -> None:
        if proxy.table_from is None and not proxy.table:
            proxy.restart(self._standing_table(proxy))
            proxy.pilot = self.chance.choice(self.living())
            proxy.pilot.hear(ProxyJoined(proxy.number, proxy.zone, proxy.flows, True))
        else:
            super().join(proxy)

    def _standing_table(self, proxy: RequestProxy) -> dict[str, float]:
        """Drawn evenly from the list, in the proxy's zone where three are there."""
        ready = [server for server in self.servers.values() if server.state == "ready"]
        near = [server for server in ready if server.zone == proxy.zone]
        names = [server.name for server in (near if len(near) >= 3 else ready)]
        return dict.fromkeys(
            self.streams["standing"].sample(names, min(self.parameters.standing, len(names))), 1.0
        )

    # --- faults ---

    def crash(self, *names: str) -> None:
        """Processes die at once; the list says so later."""
        for name in names:
            self.servers[name].state = "gone"
        self.announce(self.parameters.list_notice)

    def restart(self, *names: str) -> None:
        """Processes start again, cold."""
        for name in names:
            self.servers[name].restart(self.now)
        self.announce(self.parameters.start_notice)

    def kill_pilots(self, numbers: list[int], away: tuple[int, int]) -> None:
        """They die at once, and their proxies dial others; each starts again from its old list, empty of the rest."""
        killed = [self.pilots[number] for number in numbers]
        for pilot in killed:
            pilot.alive = False
            self.later(self.streams["faults"].randint(*away), lambda pilot=pilot: self._start_again(pilot))
        for proxy in self.proxies:
            if proxy.pilot in killed:
                proxy.pilot = None
                self.later(
                    self.streams["faults"].randint(*self.parameters.redial),
                    lambda proxy=proxy: self._dial(proxy),
                )

    def _dial(self, proxy: RequestProxy) -> None:
        if proxy.pilot is None and proxy.number not in self.traffic.down:
            self.join(proxy)

    def _start_again(self, old: Pilot) -> None:
        self.intakes.pop(old, None)
        self.pilots[old.number] = self.start_pilot(old.number, old.restored_list(), old.starts + 1)
        for proxy in self.proxies if self.parameters.rehome else ():
            if self.homes[proxy.number] == old.number:
                wait = self.streams["faults"].randint(*self.parameters.rehome)
                self.later(wait, lambda proxy=proxy: self._go_home(proxy))

    def _go_home(self, proxy: RequestProxy) -> None:
        home = self.pilots[self.homes[proxy.number]]
        if not home.alive or proxy.pilot is home or proxy.number in self.traffic.down:
            return
        if proxy.pilot is not None:
            proxy.pilot.hear(ProxyLeft(proxy.number))
        proxy.pilot = home
        home.hear(ProxyJoined(proxy.number, proxy.zone, proxy.flows, False))

    def kill_proxies(self, numbers: list[int], away: tuple[int, int]) -> None:
        """They start again with standing tables, and dial."""
        for number in numbers:
            proxy = self.proxies[number]
            if proxy.pilot is not None:
                proxy.pilot.hear(ProxyLeft(number))
            proxy.pilot = None
            self.traffic.down.add(number)
            self.later(self.streams["faults"].randint(*away), lambda proxy=proxy: self._proxy_up(proxy))

    def _proxy_up(self, proxy: RequestProxy) -> None:
        self.traffic.down.discard(proxy.number)
        proxy.restart({})
        proxy.restart(self._standing_table(proxy))
        self.later(self.streams["faults"].randint(*self.parameters.redial), lambda: self._dial_fresh(proxy))

    def _dial_fresh(self, proxy: RequestProxy) -> None:
        proxy.pilot = self.chance.choice(self.living())
        proxy.pilot.hear(ProxyJoined(proxy.number, proxy.zone, proxy.flows, True))

    # --- what requests tell ---

    def sent(self, request: Request, server: QueueServer, repeated: bool) -> None:
        self.tries[server.name, repeated] += 1
        if server.is_cold(self.now):
            informed = self.informed(request.proxy, server)
            self.ledger.record(server, SentWork(self.now, request.work, informed, repeated))

    def informed(self, proxy: RequestProxy, server: QueueServer) -> bool:
        """Whether its last message was sent knowing of the start, or its pilot has known of it for the grace."""
        if proxy.informed.get(server.name) == server.started:
            return True
        return proxy.pilot is not None and proxy.pilot.has_known(
            server.name, server.started, self.parameters.drain_grace
        )

    def tried(self, request: Request, server: QueueServer, failed: bool, latency: int) -> None:
        if request.proxy.pilot is not None:
            intake = self.intakes[request.proxy.pilot]
            intake.count(EndpointKey(request.proxy.zone, server.name), failed, latency)

    def ended(self, request: Request, admitted: bool, served: bool) -> None:
        self.ends["served" if served else "failed" if admitted else "refused"] += 1
        if request.proxy.pilot is not None:
            intake = self.intakes[request.proxy.pilot]
            intake.count(UsageKey(request.proxy.number, request.group), admitted and not served)

    # --- late sums ---

    def _open_intake(self, pilot: Pilot) -> None:
        self.intakes[pilot] = Intake(self.now)
        phase = self.streams["reports"].randint(1, self.parameters.report_period)
        self.later(phase, lambda: self._report(pilot))

    def _report(self, pilot: Pilot) -> None:
        if not pilot.alive:
            return
        most = ceil(self.parameters.intake_per_s * self.parameters.report_period / SECOND)
        lines = self.intakes[pilot].take(self.now, most)
        ended = self.now
        self.later(
            self.streams["reports"].randint(*self.parameters.report_delay),
            lambda: self._heard(pilot, lines, ended),
        )
        self.later(self.parameters.report_period, lambda: self._report(pilot))

    def _heard(self, pilot: Pilot, lines: list[tuple[Key, Tally]], ended: int) -> None:
        if not pilot.alive:
            return
        for key, tally in lines:
            window = max(1, ended - tally.since)
            if isinstance(key, UsageKey):
                if self.proxies[key.proxy].pilot is pilot:
                    pilot.hear(DemandReport(key.proxy, key.group, tally.tries, tally.failed, window))
            elif (index := pilot.listing.index_by_name.get(key.endpoint)) is not None:
                latency = round(
                    tally.mean_latency() * lognormal(self.streams["noise"], 1.0, self.parameters.noise)
                )
                pilot.hear(LoadReport(key.zone, index, tally.tries, tally.failed, latency, window, ()))
