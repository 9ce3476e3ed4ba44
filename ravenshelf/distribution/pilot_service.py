"""A pilot's part in the distribution: the tables of its service, and its proxies' sums on the way up."""

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable, Mapping
from functools import partial

from ravenshelf.distribution.decisions.aggregation import WINDOW, Aggregator
from ravenshelf.distribution.decisions.fallback import OwnerReach, Source
from ravenshelf.distribution.decisions.pilot_controller import DistributedController
from ravenshelf.distribution.decisions.planner import service_topic, table_of, zone_topic
from ravenshelf.distribution.decisions.topics import Topic
from ravenshelf.distribution.messages import EndpointSums, GroupSums, Report, TableLine
from ravenshelf.distribution.subscription_service import SubscriptionService
from ravenshelf.distribution.timers import Timers
from ravenshelf.distribution.upstreams import Clock
from ravenshelf.policy.events import DemandReport, Event, LoadReport, ProxyJoined, ProxyLeft

REPORT = "report"


class PilotDistribution:
    """Subscribes to the service's topics for the zones of the proxies that have joined, and reports each window."""

    def __init__(
        self,
        service: str,
        cluster: str,
        name: str,
        parents: Mapping[str, str],
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        chance: random.Random,
        name_of: Callable[[int], str],
        index_of: Callable[[str], int | None],
    ):
        """`parents`: host:port by name, the preferred first. `clock` goes on while the machine sleeps; `name_of` and
        `index_of` are the list's."""
        self.service, self.clock, self.name_of = service, clock, name_of
        self.controller = partial(self._make_controller, index_of=index_of)
        self.subscription = SubscriptionService(
            loop, clock, cluster, name, list(parents), parents, chance, self._changed, self._live
        )
        self.aggregator = Aggregator(f"{name}#{chance.getrandbits(48):012x}")
        self.zones: set[int] = set()
        self.proxies: dict[int, int] = {}  # zone of each joined proxy
        self._not_live: set[str] = set()
        self._reach: defaultdict[int, OwnerReach] = defaultdict(OwnerReach)  # by zone
        self._controllers: list[DistributedController] = []  # the present one
        self._timers = Timers(loop, clock, lambda _: self._report())
        self._sequence = 0

    def _make_controller(self, *words, index_of: Callable[[str], int | None]) -> DistributedController:
        made = DistributedController(*words, owners_table=self.owners_table, index_of=index_of)
        self._controllers = [made]
        return made

    def start(self) -> None:
        """Dials the first parent."""
        self.subscription.start(
            [service_topic(self.service), *(zone_topic(self.service, zone) for zone in self.zones)]
        )
        self._timers.set(REPORT, self.clock() + WINDOW)

    def stop(self) -> None:
        """Ends the connection."""
        self._timers.stop()
        self.subscription.stop()

    # --- tables ---

    def owners_table(self, _now: int, zone: int) -> tuple[Source, dict[str, TableLine]]:
        """Whose table is in use for a zone, and the owner's."""
        topic = self.subscription.topics.get(zone_topic(self.service, zone))
        return self._source(zone), table_of(topic.entries) if topic is not None else {}

    def _source(self, zone: int) -> Source:
        return self._reach[zone].source(self.clock(), self._is_reachable(zone))

    def _is_reachable(self, zone: int) -> bool:
        connected = self.subscription.client.disconnected_since is None
        return connected and zone_topic(self.service, zone) not in self._not_live

    def _changed(self, topic: Topic) -> None:
        for controller in self._controllers if topic.name != service_topic(self.service) else ():
            controller.owners_table_changed()

    def _live(self, topic: str, live: bool) -> None:
        (self._not_live.discard if live else self._not_live.add)(topic)

    # --- sums ---

    def on_event(self, event: Event, now: int) -> None:
        """Takes what the pilot's decisions are told."""
        match event:
            case ProxyJoined(proxy, zone):
                self._joined(proxy, zone)
            case ProxyLeft(proxy):
                self.proxies.pop(proxy, None)
            case LoadReport(zone, endpoint, attempts, failed, latency):
                succeeded = max(0, attempts - failed)
                sums = EndpointSums(attempts, failed, succeeded * latency)
                self._add(zone, {self.name_of(endpoint): sums}, {})
            case DemandReport(proxy, group, requests, unanswered):
                if proxy in self.proxies:
                    self._add(self.proxies[proxy], {}, {group: GroupSums(requests, unanswered)})

    def _joined(self, proxy: int, zone: int) -> None:
        self.proxies[proxy] = zone
        if zone not in self.zones:
            self.zones.add(zone)
            self.subscription.want(zone_topic(self.service, zone))

    def _add(self, zone: int, endpoints: dict[str, EndpointSums], groups: dict[int, GroupSums]) -> None:
        self._sequence += 1
        window = self.clock() // WINDOW
        self.aggregator.add(Report(self.service, zone, window, "own", self._sequence, endpoints, groups))

    def _report(self) -> None:
        now = self.clock()
        connected = self.subscription.client.disconnected_since is None
        for report in self.aggregator.flush(now // WINDOW, lambda _: connected):
            self.subscription.report(report)
        self._timers.set(REPORT, now + WINDOW)
