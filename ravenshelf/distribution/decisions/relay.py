"""A relay: one upstream subscription for each topic that any of its subscribers wants, served to all of them.

A relay next to the service owners has an upstream for each controller, and routes each topic to the one that
claims its service with the latest epoch. All other relays have one upstream: the level of relays above.
"""

import random
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from ravenshelf.distribution.decisions.aggregation import REPORT_WINDOW, Aggregator
from ravenshelf.distribution.decisions.backoff import SECOND
from ravenshelf.distribution.decisions.claims import claims_topic, read_claims, service_of
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

TOPIC_LINGER = 10 * SECOND  # a topic is cached for so long after its last subscriber has gone
UPSTREAM_LOST_AFTER = 5 * SECOND  # an upstream that is disconnected for so long reaches no owner any more
INCARNATION_BITS = 48  # random part of the reporter's name


@dataclass
class Effects:
    """Effects of a decision: actions for upstreams by name, and subscribers that have something to pull."""

    actions: list[tuple[str, Action]] = field(default_factory=list)
    to_pull: list[str] = field(default_factory=list)


class Relay:
    """Connects upstreams, reached by `clients`, with subscribers, served by `distributor`."""

    def __init__(
        self,
        name: str,
        upstreams: Mapping[str, Sequence[str]],
        random_source: random.Random,
        now: int,
        limits: DistributorLimits = DistributorLimits(),
        upstreams_are_owners: bool = False,
    ):
        """`upstreams`: for each its parents, the preferred first. `upstreams_are_owners`: each upstream is a
        controller and has its name."""
        self.topics: dict[str, Topic] = {}
        self.clients = {
            upstream: SubscriptionClient(parents, self.topics, random_source, now)
            for upstream, parents in upstreams.items()
        }
        self.distributor = Distributor(self.topics, limits)
        self.ownership = OwnershipView()
        self._upstreams_are_owners = upstreams_are_owners
        self._routes: dict[str, str | None] = {}  # by topic: the upstream that it is subscribed from
        self._expiring_topics: dict[str, int] = {}  # without subscribers, and until when they are cached
        self._not_live: set[str] = set()  # topics, as reported by upstreams
        self._lost_upstreams: set[str] = set()
        self.aggregator = Aggregator(f"{name}#{random_source.getrandbits(INCARNATION_BITS):012x}")
        self._window = now // REPORT_WINDOW
        if upstreams_are_owners:
            for owner, client in self.clients.items():
                client.want(claims_topic(owner))

    # --- subscribers ---

    def subscriber_message_received(
        self, now: int, name: str, message: Subscribe | Unsubscribe | Resync
    ) -> Effects:
        """Handle a subscriber's message."""
        return self._subscriptions_changed(now, self.distributor.receive(name, message))

    def subscriber_lost(self, now: int, name: str) -> Effects:
        """A subscriber's connection has ended."""
        return self._subscriptions_changed(now, self.distributor.remove_subscriber(name))

    def _subscriptions_changed(self, now: int, topics: Iterable[str]) -> Effects:
        effects = Effects()
        for topic in topics:
            if topic not in self.distributor.subscriptions:
                self._expiring_topics[topic] = now + TOPIC_LINGER
                continue
            self._expiring_topics.pop(topic, None)
            if topic not in self._routes:
                self._route(topic, effects)
            effects.to_pull += self.distributor.set_live(topic, self._is_live(topic))
        return effects

    def _route(self, topic: str, effects: Effects) -> None:
        """Subscribe to the topic from the upstream of its present owner, and unsubscribe from the previous
        one."""
        previous = self._routes.get(topic)
        upstream = self._upstream_of(service_of(topic))
        self._routes[topic] = upstream
        if previous is not None and previous != upstream:
            effects.actions += [(previous, action) for action in self.clients[previous].unwant(topic)]
        if upstream is not None and previous != upstream:
            effects.actions += [(upstream, action) for action in self.clients[upstream].want(topic)]

    def _upstream_of(self, service: str) -> str | None:
        if not self._upstreams_are_owners:
            return next(iter(self.clients))
        claim = self.ownership.claim(service)
        return claim.owner if claim is not None and claim.owner in self.clients else None

    # --- load reports ---

    def load_report_received(self, report: ZoneLoadReport) -> None:
        """Record a subscriber's load report; it leaves with those of the others at the end of the window."""
        self.aggregator.add(report)

    def _forward_reports(self, now: int, effects: Effects) -> None:
        self._window = now // REPORT_WINDOW
        for report in self.aggregator.flush(self._window, self._is_connected):
            upstream = self._upstream_of(report.service)
            assert upstream is not None, "reports are flushed only for connected upstreams"
            effects.actions.append((upstream, Send(report)))

    def _is_connected(self, service: str) -> bool:
        upstream = self._upstream_of(service)
        return upstream is not None and self.clients[upstream].state is ConnectionState.CONNECTED

    # --- upstreams ---

    def upstream_message_received(self, now: int, upstream: str, message: Message) -> Effects:
        """Handle a message of an upstream."""
        effects = Effects()
        for action in self.clients[upstream].receive(now, message):
            if isinstance(action, TopicChanged):
                if self._upstreams_are_owners and action.topic == claims_topic(upstream):
                    self._claims_changed(upstream, effects)
                effects.to_pull += self.distributor.topic_changed(action.topic)
            elif isinstance(action, LivenessChanged):
                self._liveness_changed(action, effects)
            else:
                effects.actions.append((upstream, action))
        return effects

    def _liveness_changed(self, change: LivenessChanged, effects: Effects) -> None:
        if change.live:
            self._not_live.discard(change.topic)
        else:
            self._not_live.add(change.topic)
        effects.to_pull += self.distributor.set_live(change.topic, self._is_live(change.topic))

    def _claims_changed(self, upstream: str, effects: Effects) -> None:
        claims = dict(read_claims(upstream, self.topics[claims_topic(upstream)].entries))
        migrated = self.ownership.update_all(upstream, claims)
        for topic in [topic for topic in self._routes if service_of(topic) in migrated]:
            self._route(topic, effects)
            effects.to_pull += self.distributor.set_live(topic, self._is_live(topic))

    def upstream_connected(self, now: int, upstream: str) -> Effects:
        """The dial has succeeded. What the previous parent reported of owners does not hold for this one."""
        effects = Effects([(upstream, action) for action in self.clients[upstream].connected(now)])
        self._not_live.difference_update([topic for topic, name in self._routes.items() if name == upstream])
        self._lost_upstreams.discard(upstream)
        self._refresh_liveness(upstream, effects)
        return effects

    def _is_live(self, topic: str) -> bool:
        upstream = self._routes.get(topic)
        return upstream is not None and upstream not in self._lost_upstreams and topic not in self._not_live

    def _refresh_liveness(self, upstream: str, effects: Effects) -> None:
        for topic in [topic for topic, name in self._routes.items() if name == upstream]:
            effects.to_pull += self.distributor.set_live(topic, self._is_live(topic))

    # --- time ---

    def due_at(self) -> int:
        """Return the time at which `tick` may have something to do."""
        end_of_window = (self._window + 1) * REPORT_WINDOW
        deadlines = [client.due_at() for client in self.clients.values()]
        deadlines.append(end_of_window)
        deadlines.extend(self._expiring_topics.values())
        deadlines.extend(
            client.disconnected_since + UPSTREAM_LOST_AFTER
            for name, client in self.clients.items()
            if client.disconnected_since is not None and name not in self._lost_upstreams
        )
        return min(deadlines)

    def tick(self, now: int) -> Effects:
        """Dial, detect lost upstreams, drop topics that nobody wants, and forward reports, as far as each is
        due."""
        effects = Effects()
        for name, client in self.clients.items():
            effects.actions += [(name, action) for action in client.tick(now)]
            since = client.disconnected_since
            is_lost = since is not None and now - since >= UPSTREAM_LOST_AFTER
            if is_lost and name not in self._lost_upstreams:
                self._lost_upstreams.add(name)
                self._refresh_liveness(name, effects)
        for topic in [topic for topic, until in self._expiring_topics.items() if until <= now]:
            self._drop_topic(topic, effects)
        if now // REPORT_WINDOW != self._window:
            self._forward_reports(now, effects)
        return effects

    def _drop_topic(self, topic: str, effects: Effects) -> None:
        del self._expiring_topics[topic]
        upstream = self._routes.pop(topic, None)
        if upstream is not None:
            effects.actions += [(upstream, action) for action in self.clients[upstream].unwant(topic)]
        self.topics.pop(topic, None)
        self._not_live.discard(topic)
        self.distributor.remove_topic(topic)
