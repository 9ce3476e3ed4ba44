"""A relay: subscribes upstream to each topic that has subscribers, and serves the topic to all of them.

A relay next to the service owners has an upstream for each controller, and routes each topic to the
controller that claims its service with the latest epoch. All other relays have one upstream: the level of
relays above.
"""

import random
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from ravenshelf.distribution.decisions.aggregation import REPORT_WINDOW_US, Aggregator
from ravenshelf.distribution.decisions.claims import claims_topic, read_claims, service_of_topic
from ravenshelf.distribution.decisions.client import (
    Action,
    ConnectionState,
    LivenessChanged,
    Send,
    SubscriptionClient,
    TopicChanged,
)
from ravenshelf.distribution.decisions.distributor import Distributor, DistributorLimits
from ravenshelf.distribution.decisions.ownership import OwnershipView
from ravenshelf.distribution.decisions.topics import Topic
from ravenshelf.distribution.messages import Message, Resync, Subscribe, Unsubscribe, ZoneLoadReport
from ravenshelf.time_units import SECOND

TOPIC_LINGER_US = 10 * SECOND  # A topic is cached for this time after its last subscriber has left.
# Owners behind an upstream are reported as unreachable once it has been disconnected for this time.
UPSTREAM_LOSS_TIMEOUT_US = 5 * SECOND
INCARNATION_BITS = 48  # Size of the random part of a reporter's name.


@dataclass
class NodeActions:
    """Actions that follow from a decision of a relay or a service owner.

    `upstream_actions` are to be performed in order, each for the named upstream. `pending_subscribers` are
    the names of subscribers that the distributor now has messages for.
    """

    upstream_actions: list[tuple[str, Action]] = field(default_factory=list)
    pending_subscribers: list[str] = field(default_factory=list)


class Relay:
    """Decisions of a relay, without I/O. Times are in microseconds.

    Upstreams are reached by `clients`; subscribers are served by `distributor`.
    """

    def __init__(
        self,
        name: str,
        upstreams: Mapping[str, Sequence[str]],
        random_source: random.Random,
        now: int,
        limits: DistributorLimits = DistributorLimits(),
        upstreams_are_owners: bool = False,
    ):
        """Create a relay without topics; the first tick dials the upstreams.

        Args:
            name: Name of the relay, unique in the cluster.
            upstreams: The parents of each upstream, the preferred one first.
            random_source: Source of jitter, and of the random part of the reporter's name.
            now: The present time.
            limits: Limits of the subscribers.
            upstreams_are_owners: Whether each upstream is a controller and has its name.
        """
        self.topics: dict[str, Topic] = {}
        self.clients = {
            upstream: SubscriptionClient(parents, self.topics, random_source, now)
            for upstream, parents in upstreams.items()
        }
        self.distributor = Distributor(self.topics, limits)
        self.ownership = OwnershipView()
        self._upstreams_are_owners = upstreams_are_owners
        # The upstream of each topic; None while the topic's service has no owner.
        self._routes: dict[str, str | None] = {}
        # The end of the cache time in microseconds, by topic without subscribers.
        self._expiring_topics: dict[str, int] = {}
        self._unreachable_topics: set[str] = set()  # Topics that their upstream has reported as not live.
        self._lost_upstreams: set[str] = set()
        self.aggregator = Aggregator(f"{name}#{random_source.getrandbits(INCARNATION_BITS):012x}")
        self._window = now // REPORT_WINDOW_US
        if upstreams_are_owners:
            for owner, client in self.clients.items():
                client.subscribe(claims_topic(owner))

    def subscriber_message_received(
        self, now: int, name: str, message: Subscribe | Unsubscribe | Resync
    ) -> NodeActions:
        """Handle a message of a subscriber that changes its subscriptions."""
        return self._subscriptions_changed(now, self.distributor.receive(name, message))

    def subscriber_lost(self, now: int, name: str) -> NodeActions:
        """Handle the end of a subscriber's connection."""
        return self._subscriptions_changed(now, self.distributor.remove_subscriber(name))

    def _subscriptions_changed(self, now: int, topics: Iterable[str]) -> NodeActions:
        actions = NodeActions()
        for topic in topics:
            if topic not in self.distributor.subscriptions:
                self._expiring_topics[topic] = now + TOPIC_LINGER_US
                continue
            self._expiring_topics.pop(topic, None)
            if topic not in self._routes:
                self._route(topic, actions)
            actions.pending_subscribers += self.distributor.set_live(topic, self._is_live(topic))
        return actions

    def _route(self, topic: str, actions: NodeActions) -> None:
        """Subscribe to a topic from its present owner's upstream, and unsubscribe from the previous one."""
        previous_upstream = self._routes.get(topic)
        upstream = self._upstream_of(service_of_topic(topic))
        self._routes[topic] = upstream
        if previous_upstream is not None and previous_upstream != upstream:
            actions.upstream_actions += [
                (previous_upstream, action) for action in self.clients[previous_upstream].unsubscribe(topic)
            ]
        if upstream is not None and previous_upstream != upstream:
            actions.upstream_actions += [
                (upstream, action) for action in self.clients[upstream].subscribe(topic)
            ]

    def _upstream_of(self, service: str) -> str | None:
        if not self._upstreams_are_owners:
            return next(iter(self.clients))
        claim = self.ownership.claim(service)
        return claim.owner if claim is not None and claim.owner in self.clients else None

    def load_report_received(self, report: ZoneLoadReport) -> None:
        """Record a subscriber's load report; the sum of all reports is forwarded at the end of the window."""
        self.aggregator.add(report)

    def _forward_reports(self, now: int, actions: NodeActions) -> None:
        self._window = now // REPORT_WINDOW_US
        for report in self.aggregator.flush(self._window, self._is_connected):
            upstream = self._upstream_of(report.service)
            assert upstream is not None, "reports are flushed only for connected upstreams"
            actions.upstream_actions.append((upstream, Send(report)))

    def _is_connected(self, service: str) -> bool:
        upstream = self._upstream_of(service)
        return upstream is not None and self.clients[upstream].state is ConnectionState.CONNECTED

    def upstream_message_received(self, now: int, upstream: str, message: Message) -> NodeActions:
        """Handle a message of an upstream's connected parent."""
        actions = NodeActions()
        for action in self.clients[upstream].receive(now, message):
            if isinstance(action, TopicChanged):
                if self._upstreams_are_owners and action.topic == claims_topic(upstream):
                    self._claims_changed(upstream, actions)
                actions.pending_subscribers += self.distributor.topic_changed(action.topic)
            elif isinstance(action, LivenessChanged):
                self._liveness_changed(action, actions)
            else:
                actions.upstream_actions.append((upstream, action))
        return actions

    def _liveness_changed(self, change: LivenessChanged, actions: NodeActions) -> None:
        if change.is_live:
            self._unreachable_topics.discard(change.topic)
        else:
            self._unreachable_topics.add(change.topic)
        actions.pending_subscribers += self.distributor.set_live(change.topic, self._is_live(change.topic))

    def _claims_changed(self, upstream: str, actions: NodeActions) -> None:
        claims = dict(read_claims(upstream, self.topics[claims_topic(upstream)].entries))
        changed_services = self.ownership.replace_claims(upstream, claims)
        for topic in [topic for topic in self._routes if service_of_topic(topic) in changed_services]:
            self._route(topic, actions)
            actions.pending_subscribers += self.distributor.set_live(topic, self._is_live(topic))

    def upstream_connected(self, now: int, upstream: str) -> NodeActions:
        """Handle a successful dial.

        The liveness of topics that the previous parent reported is discarded, as it need not hold for the
        new parent.
        """
        actions = NodeActions(
            [(upstream, action) for action in self.clients[upstream].connection_opened(now)]
        )
        self._unreachable_topics.difference_update(
            [topic for topic, name in self._routes.items() if name == upstream]
        )
        self._lost_upstreams.discard(upstream)
        self._refresh_liveness(upstream, actions)
        return actions

    def _is_live(self, topic: str) -> bool:
        upstream = self._routes.get(topic)
        return (
            upstream is not None
            and upstream not in self._lost_upstreams
            and topic not in self._unreachable_topics
        )

    def _refresh_liveness(self, upstream: str, actions: NodeActions) -> None:
        for topic in [topic for topic, name in self._routes.items() if name == upstream]:
            actions.pending_subscribers += self.distributor.set_live(topic, self._is_live(topic))

    def due_at(self) -> int:
        """Return the time from which `tick` may have something to do."""
        end_of_window = (self._window + 1) * REPORT_WINDOW_US
        deadlines = [client.due_at() for client in self.clients.values()]
        deadlines.append(end_of_window)
        deadlines.extend(self._expiring_topics.values())
        deadlines.extend(
            client.disconnected_since + UPSTREAM_LOSS_TIMEOUT_US
            for name, client in self.clients.items()
            if client.disconnected_since is not None and name not in self._lost_upstreams
        )
        return min(deadlines)

    def tick(self, now: int) -> NodeActions:
        """Dial, detect lost upstreams, drop topics without subscribers and forward reports, each when due."""
        actions = NodeActions()
        for name, client in self.clients.items():
            actions.upstream_actions += [(name, action) for action in client.tick(now)]
            since = client.disconnected_since
            is_lost = since is not None and now - since >= UPSTREAM_LOSS_TIMEOUT_US
            if is_lost and name not in self._lost_upstreams:
                self._lost_upstreams.add(name)
                self._refresh_liveness(name, actions)
        for topic in [topic for topic, expires_at in self._expiring_topics.items() if expires_at <= now]:
            self._drop_topic(topic, actions)
        if now // REPORT_WINDOW_US != self._window:
            self._forward_reports(now, actions)
        return actions

    def _drop_topic(self, topic: str, actions: NodeActions) -> None:
        del self._expiring_topics[topic]
        upstream = self._routes.pop(topic, None)
        if upstream is not None:
            actions.upstream_actions += [
                (upstream, action) for action in self.clients[upstream].unsubscribe(topic)
            ]
        self.topics.pop(topic, None)
        self._unreachable_topics.discard(topic)
        self.distributor.remove_topic(topic)
