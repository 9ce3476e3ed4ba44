"""Participation of a control-plane server in the distribution.

The server receives the tables of its service, and reports the load of its proxies.
"""

import random
from collections import defaultdict
from collections.abc import Callable
from typing import Any

from ravenshelf.distribution.decisions.aggregation import REPORT_WINDOW_US, Aggregator
from ravenshelf.distribution.decisions.distributed_controller import DistributedController
from ravenshelf.distribution.decisions.fallback import OwnerReachability, TableSource
from ravenshelf.distribution.decisions.planner import read_table, service_topic, zone_topic
from ravenshelf.distribution.decisions.relay import INCARNATION_BITS
from ravenshelf.distribution.decisions.topics import Topic
from ravenshelf.distribution.messages import EndpointLoad, GroupDemand, TableLine, ZoneLoadReport
from ravenshelf.distribution.node import Node
from ravenshelf.distribution.subscription_service import SubscriptionService
from ravenshelf.distribution.timers import Timers
from ravenshelf.policy.events import DemandReport, Event, LoadReport, ProxyJoined, ProxyLeft

REPORT_TIMER = "report"
LOCAL_REPORTER = "own"  # The reporter of the loads that this server adds to its own aggregator.


class ServerDistribution:
    """Subscriber of the service's topics for the zones of the joined proxies, and reporter of their load.

    The load is reported at the end of each window.
    """

    def __init__(
        self,
        node: Node,
        service: str,
        random_source: random.Random,
        name_of: Callable[[int], str],
        index_of: Callable[[str], int | None],
    ):
        """Create a subscriber that does not yet dial.

        Args:
            node: This process, with the parents to dial.
            service: Name of the server's service.
            random_source: Source of jitter, and of the random part of the reporter's name.
            name_of: Returns the name of a listed endpoint by its index.
            index_of: Returns the index of a listed endpoint by its name, or None.
        """
        self.service = service
        self.clock = node.clock
        self.name_of = name_of
        self.index_of = index_of
        self.subscription = SubscriptionService(
            node, random_source, self._topic_changed, self._liveness_changed
        )
        self.aggregator = Aggregator(f"{node.name}#{random_source.getrandbits(INCARNATION_BITS):012x}")
        self.zones: set[int] = set()
        self.proxies: dict[int, int] = {}  # The zone of each joined proxy, by proxy number.
        self._unreachable_topics: set[str] = set()
        # The key is the proxy zone, because liveness is reported for each zone's topic.
        self._reachability: defaultdict[int, OwnerReachability] = defaultdict(OwnerReachability)
        self._controller: DistributedController | None = None
        self._timers: Timers[str] = Timers(node.loop, node.clock, self._report_due)
        self._sequence = 0

    def make_controller(self, *arguments: Any) -> DistributedController:
        """Return a controller that uses the owner's tables, with the arguments of `Controller`."""
        controller = DistributedController(*arguments, owner_table=self.owner_table, index_of=self.index_of)
        self._controller = controller
        return controller

    def start(self) -> None:
        """Subscribe to the topics of the zones of joined proxies, and dial the preferred parent."""
        topics = [service_topic(self.service)]
        topics.extend(zone_topic(self.service, zone) for zone in self.zones)
        self.subscription.start(topics)
        self._timers.set(REPORT_TIMER, self.clock() + REPORT_WINDOW_US)

    def stop(self) -> None:
        """End the connection and the load reports."""
        self._timers.stop()
        self.subscription.stop()

    def owner_table(self, _now: int, zone: int) -> tuple[TableSource, dict[str, TableLine]]:
        """Return the origin of the table to use for a zone, and the table last received from the owner."""
        topic = self.subscription.topics.get(zone_topic(self.service, zone))
        return self._table_source(zone), read_table(topic.entries) if topic is not None else {}

    def _table_source(self, zone: int) -> TableSource:
        return self._reachability[zone].table_source(self.clock(), self._is_reachable(zone))

    def _is_connected(self) -> bool:
        return self.subscription.client.disconnected_since is None

    def _is_reachable(self, zone: int) -> bool:
        return self._is_connected() and zone_topic(self.service, zone) not in self._unreachable_topics

    def _topic_changed(self, topic: Topic) -> None:
        if self._controller is not None and topic.name != service_topic(self.service):
            self._controller.owner_table_changed()

    def _liveness_changed(self, topic: str, is_live: bool) -> None:
        if is_live:
            self._unreachable_topics.discard(topic)
        else:
            self._unreachable_topics.add(topic)

    def on_event(self, event: Event, _now: int) -> None:
        """Record the proxies and the load in an event of the server's controller."""
        match event:
            case ProxyJoined(proxy, zone):
                self._proxy_joined(proxy, zone)
            case ProxyLeft(proxy):
                self.proxies.pop(proxy, None)
            case LoadReport(zone, endpoint, attempts, failures, mean_latency):
                successes = max(0, attempts - failures)
                load = EndpointLoad(attempts, failures, successes * mean_latency)
                self._add_load(zone, {self.name_of(endpoint): load}, {})
            case DemandReport(proxy, group, requests, unanswered):
                if proxy in self.proxies:
                    self._add_load(self.proxies[proxy], {}, {group: GroupDemand(requests, unanswered)})

    def _proxy_joined(self, proxy: int, zone: int) -> None:
        self.proxies[proxy] = zone
        if zone not in self.zones:
            self.zones.add(zone)
            self.subscription.subscribe(zone_topic(self.service, zone))

    def _add_load(
        self, zone: int, endpoints: dict[str, EndpointLoad], groups: dict[int, GroupDemand]
    ) -> None:
        self._sequence += 1
        window = self.clock() // REPORT_WINDOW_US
        self.aggregator.add(
            ZoneLoadReport(self.service, zone, window, LOCAL_REPORTER, self._sequence, endpoints, groups)
        )

    def _report_due(self, _key: str) -> None:
        now = self.clock()
        is_connected = self._is_connected()
        for report in self.aggregator.flush(now // REPORT_WINDOW_US, lambda _: is_connected):
            self.subscription.send_report(report)
        self._timers.set(REPORT_TIMER, now + REPORT_WINDOW_US)
