"""What the pilot hears, orders and plays into figures, an interval at a time.

A tap of the pilot's: told of the same news and orders as the decisions, it keeps sums and distributions of the
interval and judges nothing. Times are microseconds; `points` is a generator, so that a large fleet's figures are
made in slices of background work. No I/O: what the system says of the process is passed in.
"""

from collections import defaultdict
from collections.abc import Callable, Iterator, Mapping
from math import exp

from hdrh.histogram import HdrHistogram

from ravenshelf.graphite import figures
from ravenshelf.graphite.figures import DETAIL, ESSENTIAL, USEFUL, Figure
from ravenshelf.graphite.formats import word
from ravenshelf.policy.events import (
    BatchAcknowledged,
    DemandReport,
    EndpointsListed,
    EndpointState,
    Event,
    ListKind,
    LoadReport,
    ProxyJoined,
    ProxyLeft,
)
from ravenshelf.settings import Settings

SECOND = 1_000_000
LONGEST = 600 * SECOND  # of a distribution's values; two digits: 1% and some KB each
SLICE = 64  # endpoints or zones to a slice of background work
Point = tuple[str, float]
SPREADS = (
    figures.DRAINS_TOOK,
    figures.SUMS_AGE,
    figures.SUMS_GAP,
    figures.MARKS,
    figures.ROUND_TOOK,
    figures.ROUND_LATE,
)


class Interval:
    """What was counted since the last figures."""

    def __init__(self, began: int, spreads: dict[Figure, HdrHistogram]):
        self.began, self.spreads = began, spreads
        self.group: dict[tuple[int, int], list[float]] = {}  # (zone, group): came, dropped, blocked
        self.zone: dict[int, list[float]] = {}  # of endpoints: tries, failed, delivered x latency
        self.within: dict[int, list[float]] = {}  # of proxies: delivered, then within budget by group
        self.endpoint: dict[int, float] = {}
        self.sums = self.drains = 0


class Drains:
    """From the list's change to the answer of the last proxy that was told."""

    def __init__(self):
        self.open: dict[
            int, list
        ] = {}  # endpoint: began, marks awaited {(proxy, mark)}, whether any was told

    def began(self, endpoint: int, now: int) -> bool:
        if endpoint in self.open:
            return False
        self.open[endpoint] = [now, set(), False]
        return True

    def told(self, endpoint: int, proxy: int, mark: int) -> None:
        if endpoint in self.open:
            self.open[endpoint][1].add((proxy, mark))
            self.open[endpoint][2] = True

    def answered(self, proxy: int, mark: int | None) -> list[int]:
        """When each drain began that is over with this answer (None: the proxy has left)."""
        over = []
        for endpoint, (began, awaited, told) in list(self.open.items()):
            if mark is None:
                awaited -= {pair for pair in awaited if pair[0] == proxy}
            else:
                awaited.discard((proxy, mark))
            if told and not awaited:
                del self.open[endpoint]
                if mark is not None:
                    over.append(began)
        return over

    def ended(self, endpoint: int) -> None:
        """It is back before all had answered: no drain any more."""
        self.open.pop(endpoint, None)


class MetricsCollector:
    def __init__(self, settings: Settings, prefix: str, now: int):
        self.groups = settings.traffic_groups
        self.zones = [word(zone) for zone in settings.zones]
        self.names = [word(group.name) for group in self.groups]
        self.budgets = [group.latency_objective_us or 10 * SECOND for group in self.groups]
        self.fraction = settings.service.admission_level_kind == "fraction"
        self.most_waiting = settings.service.queue_limit_lines or 0
        self.prefix = prefix
        self.place: dict[int, tuple[int, EndpointState]] = {}  # endpoint: zone, state
        self.proxies: dict[int, int] = {}  # proxy: zone
        self.last_sum: dict[int, int] = {}  # zone: when its last sum came
        self.level_of: Callable[[int, int], float | None] = lambda proxy, group: None
        self.name_of: Callable[[int], str] = str
        self.drains, self.spare = Drains(), {}
        self.now = Interval(now, self._spreads())

    def _spreads(self) -> dict[Figure, HdrHistogram]:
        """Distributions are kept and emptied: two sets are in use by turns."""
        spare, self.spare = self.spare, {}
        return spare or {one: HdrHistogram(1, LONGEST, 2) for one in SPREADS}

    def _took(self, one: Figure, micros: float) -> None:
        self.now.spreads[one].record_value(min(LONGEST, max(1, int(micros))))

    # --- told by the pilot ---

    def heard(self, event: Event, now: int) -> None:
        match event:
            case EndpointsListed():
                self._listed(now, event)
            case ProxyJoined(proxy, zone):
                self.proxies[proxy] = zone
            case ProxyLeft(proxy):
                self.proxies.pop(proxy, None)
                self.drains.answered(proxy, None)
            case LoadReport():
                self._heard(now, event)
            case DemandReport():
                self._asked(now, event)
            case BatchAcknowledged():
                self._applied(now, event)

    def _listed(self, now: int, event: EndpointsListed) -> None:
        seen = set()
        for entry in event.entries:
            self._placed(now, entry.endpoint, entry.zone, entry.state)
            seen.add(entry.endpoint)
        if event.kind is not ListKind.UPDATE:
            for index, (zone, _) in list(self.place.items()):
                if index not in seen:
                    self._placed(now, index, zone, EndpointState.GONE)

    def _placed(self, now: int, index: int, zone: int, state: EndpointState) -> None:
        had = self.place.get(index)
        if state is EndpointState.READY:
            self.drains.ended(index)
        elif had is not None and had[1] is EndpointState.READY and self.drains.began(index, now):
            self.now.drains += 1
        if state is EndpointState.GONE:
            self.place.pop(index, None)
        else:
            self.place[index] = (zone, state)

    def _sum(self, now: int, zone: int, window: int) -> None:
        self.now.sums += 1
        self._took(figures.SUMS_AGE, window / 2)
        if zone in self.last_sum:
            self._took(figures.SUMS_GAP, now - self.last_sum[zone])
        self.last_sum[zone] = now

    def _heard(self, now: int, event: LoadReport) -> None:
        zone, endpoint, mean = event.zone, event.endpoint, event.mean_latency
        tries, failed = event.attempts, event.failed
        self._sum(now, zone, event.window)
        delivered = tries - failed
        here = self.now.zone.setdefault(self.place.get(endpoint, (zone,))[0], [0.0, 0.0, 0.0])
        here[0], here[1], here[2] = here[0] + tries, here[1] + failed, here[2] + delivered * mean
        self.now.endpoint[endpoint] = self.now.endpoint.get(endpoint, 0.0) + tries
        within = self.now.within.setdefault(zone, [0.0] * (1 + len(self.groups)))
        within[0] += delivered
        for g, budget in enumerate(self.budgets if delivered and mean else (), 1):
            within[g] += delivered * (1 - exp(-budget / mean))

    def _asked(self, now: int, event: DemandReport) -> None:
        proxy, group, window = event.proxy, event.group, event.window
        flows, unanswered = event.requests, event.unanswered
        zone = self.proxies.get(proxy, 0)
        self._sum(now, zone, window)
        level, blocked = self.level_of(proxy, group), 0.0
        if level is not None:
            let_in = flows * min(1.0, level) if self.fraction else level * window / SECOND
            blocked = max(0.0, flows - let_in)
        had = self.now.group.setdefault((zone, group), [0.0, 0.0, 0.0])
        had[0], had[1], had[2] = had[0] + flows, had[1] + unanswered, had[2] + blocked

    def _applied(self, now: int, event: BatchAcknowledged) -> None:
        self._took(figures.MARKS, event.elapsed)
        for began in self.drains.answered(event.proxy, event.marker):
            self._took(figures.DRAINS_TOOK, now - began)

    def sent(self, proxy: int, parts: list, mark: int | None) -> None:
        if mark is not None and self.drains.open:
            for part in parts:
                for endpoint in part.out:
                    self.drains.told(endpoint, proxy, mark)

    def played(self, late: int, took: int) -> None:
        self._took(figures.ROUND_LATE, late)
        self._took(figures.ROUND_TOOK, took)

    # --- the figures ---

    def points(
        self, now: int, controller, counts: Mapping[str, float], take: Callable[[int, list[Point]], None]
    ) -> Iterator[None]:
        """Closes the interval at once, then makes its figures in slices; `take(importance, points)` gets them.

        `counts` holds what others have counted, by a figure's path and, behind a bar, its receiver."""
        was, self.now = self.now, Interval(now, self._spreads())
        seconds = max(1e-3, (now - was.began) / SECOND)
        out: dict[int, list[Point]] = defaultdict(list)

        def put(one: Figure, number: float, **holes: str) -> None:
            if number == number and abs(number) != float("inf"):
                out[one.importance].append((f"{self.prefix}.{one.path.format(**holes)}", number))

        self._groups(was, seconds, put)
        for path, number in counts.items():
            put(figures.CATALOGUE[path.partition("|")[0]], number, receiver=path.partition("|")[2])
        put(figures.DRAINS_BEGUN, was.drains)
        put(figures.DRAINS_OPEN, len(self.drains.open))
        put(figures.SUMS, was.sums / seconds)
        states = [state for _, state in self.place.values()]
        for state in (EndpointState.READY, EndpointState.DRAINING):
            put(figures.STATES, states.count(state), state=state.value)
        yield
        self._spread(was, out)
        yield
        if controller is not None:
            yield from self._beliefs(now, controller, put)
        for zone, (tries, failed, took) in was.zone.items():
            if zone < len(self.zones):
                put(figures.ZONE_TRIES, tries / seconds, zone=self.zones[zone])
                put(figures.ZONE_MISSED, failed / tries if tries else 0.0, zone=self.zones[zone])
                if tries > failed:
                    put(figures.ZONE_LATENCY, took / (tries - failed) / 1000, zone=self.zones[zone])
        for n, (endpoint, tries) in enumerate(was.endpoint.items()):
            put(figures.ENDPOINT_TRIES, tries / seconds, endpoint=word(self.name_of(endpoint)))
            if n % SLICE == SLICE - 1:
                yield
        for importance in (ESSENTIAL, USEFUL, DETAIL):
            if out[importance]:
                take(importance, out[importance])

    def _groups(self, was: Interval, seconds: float, put: Callable) -> None:
        for g, name in enumerate(self.names):
            came = dropped = blocked = within = 0.0
            for (zone, group), (flows, unanswered, turned_away) in was.group.items():
                if group != g:
                    continue
                came, dropped, blocked = came + flows, dropped + unanswered, blocked + turned_away
                sums = was.within.get(zone)
                part = sums[1 + g] / sums[0] if sums and sums[0] else 0.0
                within += max(0.0, flows - unanswered - turned_away) * part
            put(figures.DEMAND, came / seconds, group=name)
            put(figures.DROPPED, dropped / seconds, group=name)
            put(figures.BLOCKED, blocked / seconds, group=name)
            put(figures.DELIVERED, max(0.0, came - dropped - blocked) / seconds, group=name)
            put(figures.WITHIN_BUDGET, within / seconds, group=name)
            put(figures.UTILITY, within * self.groups[g].priority_weight / seconds, group=name)

    def _spread(self, was: Interval, out: dict) -> None:
        """Quantiles of what came in this interval; where nothing came there is no point, not a 0."""
        for one, spread in was.spreads.items():
            if spread.get_total_count():
                for label, quantile in figures.QUANTILES:
                    micros = spread.get_value_at_percentile(quantile)
                    out[one.importance].append((f"{self.prefix}.{one.path}.{label}", micros / 1000))
                spread.reset()
        self.spare = was.spreads

    def _beliefs(self, now: int, controller, put: Callable) -> Iterator[None]:
        channel = controller.channel
        waiting = max(0.0, channel.queued_lines - channel.pace * max(0, now - channel.now) / SECOND)
        put(figures.QUEUE, waiting)
        put(figures.QUEUE_PART, waiting / self.most_waiting if self.most_waiting else 0.0)
        put(figures.PACE, channel.pace)
        put(figures.JOINED, len(controller.proxies))
        put(figures.BOUND, sum(p.table is not None for p in list(controller.proxies.values())))
        own, _ = controller.demands()
        yield
        health: dict[int, list[float]] = defaultdict(list)
        strengths = controller.strengths()
        yield
        for n, endpoint in enumerate(controller.usable()):
            health[endpoint.zone].append(endpoint.fade(now))
            if endpoint.index in self.place:
                name = word(self.name_of(endpoint.index))
                put(figures.ENDPOINT_FADE, health[endpoint.zone][-1], endpoint=name)
                put(figures.ENDPOINT_WEIGHT, strengths[endpoint.zone].get(endpoint.index, 0.0), endpoint=name)
            if n % SLICE == SLICE - 1:
                yield
        for zone, name in enumerate(self.zones):
            put(figures.ZONE_DEMAND, own[zone], zone=name)
            if health[zone]:
                put(figures.HEALTH, sum(health[zone]) / len(health[zone]), zone=name)
            for to, part in enumerate(controller.share[zone]):
                if to != zone:
                    put(figures.SPILL, part, zone=name, to=self.zones[to])
