"""A relay: one subscription upstream for each topic that any of its subscribers wants, served on to all of them.

A relay next to the owners has an upstream for each controller, and leads each topic to the one that claims its service under
the latest epoch. All others have one upstream: the level of relays above.
"""

import random
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from ravenshelf.distribution.decisions.aggregation import WINDOW, Aggregator
from ravenshelf.distribution.decisions.backoff import SECOND
from ravenshelf.distribution.decisions.claims import claims_topic, read_claims, service_of
from ravenshelf.distribution.decisions.client import (
    Action,
    LivenessChanged,
    Send,
    State,
    SubscriptionClient,
    TopicChanged,
)
from ravenshelf.distribution.decisions.distributor import Distributor, DistributorLimits
from ravenshelf.distribution.decisions.ownership import OwnershipView
from ravenshelf.distribution.decisions.topics import Topic
from ravenshelf.distribution.messages import Message, Report, Resync, Subscribe, Unsubscribe

LINGER = 10 * SECOND  # a topic is kept for so long after its last subscriber has gone
ORPHANED_AFTER = 5 * SECOND  # an upstream that is gone for so long reaches no owner any more


@dataclass
class Effects:
    """What follows from a call: actions for upstreams by name, and subscribers that have something to pull."""

    actions: list[tuple[str, Action]] = field(default_factory=list)
    to_pull: list[str] = field(default_factory=list)


class Relay:
    """Between upstreams, reached by `clients`, and subscribers, served by `distributor`."""

    def __init__(
        self,
        name: str,
        upstreams: Mapping[str, Sequence[str]],
        chance: random.Random,
        now: int,
        limits: DistributorLimits = DistributorLimits(),
        owners: bool = False,
    ):
        """`name`: its own. `upstreams`: for each its parents, the preferred first. `owners`: they are controllers, named
        as they are."""
        self.topics: dict[str, Topic] = {}
        self.clients = {
            name: SubscriptionClient(parents, self.topics, chance, now) for name, parents in upstreams.items()
        }
        self.distributor = Distributor(self.topics, limits)
        self.ownership = OwnershipView()
        self._owners = owners
        self._routes: dict[str, str | None] = {}  # topic: the upstream that it is wanted from
        self._unwanted: dict[str, int] = {}  # topics without subscribers, and until when they are kept
        self._not_live: set[str] = set()  # topics, as upstreams say
        self._orphaned: set[str] = set()  # upstreams that are out of reach
        self.aggregator = Aggregator(f"{name}#{chance.getrandbits(48):012x}")
        self._window = now // WINDOW
        for name in self.clients if owners else ():
            self.clients[name].want(claims_topic(name))

    # --- subscribers ---

    def subscriber_said(self, now: int, name: str, message: Subscribe | Unsubscribe | Resync) -> Effects:
        """Takes a subscriber's message."""
        return self._interest_changed(now, self.distributor.receive(name, message))

    def subscriber_lost(self, now: int, name: str) -> Effects:
        """A subscriber's connection has ended."""
        return self._interest_changed(now, self.distributor.lost(name))

    def _interest_changed(self, now: int, topics: Iterable[str]) -> Effects:
        effects = Effects()
        for topic in topics:
            if topic not in self.distributor.interested:
                self._unwanted[topic] = now + LINGER
                continue
            self._unwanted.pop(topic, None)
            if topic not in self._routes:
                self._lead(topic, effects)
            effects.to_pull += self.distributor.set_live(topic, self._is_live(topic))
        return effects

    def _lead(self, topic: str, effects: Effects) -> None:
        """Wants the topic from the upstream that it now belongs to, and no more from the one before."""
        before, upstream = self._routes.get(topic), self._upstream_of(topic)
        self._routes[topic] = upstream
        if before is not None and before != upstream:
            effects.actions += [(before, action) for action in self.clients[before].unwant(topic)]
        if upstream is not None and before != upstream:
            effects.actions += [(upstream, action) for action in self.clients[upstream].want(topic)]

    def _upstream_of(self, topic: str) -> str | None:
        if not self._owners:
            return next(iter(self.clients))
        claim = self.ownership.claim(service_of(topic))
        return claim.owner if claim is not None and claim.owner in self.clients else None

    # --- sums on the way up ---

    def subscriber_reported(self, report: Report) -> None:
        """A subscriber's sums; they leave with those of the others at the end of the window."""
        self.aggregator.add(report)

    def _pass_reports_on(self, now: int, effects: Effects) -> None:
        self._window = now // WINDOW
        for report in self.aggregator.flush(self._window, self._is_connected):
            effects.actions.append((self._upstream_of(report.service + "@"), Send(report)))

    def _is_connected(self, service: str) -> bool:
        upstream = self._upstream_of(service + "@")
        return upstream is not None and self.clients[upstream].state is State.CONNECTED

    # --- upstreams ---

    def upstream_said(self, now: int, upstream: str, message: Message) -> Effects:
        """Takes a message of an upstream."""
        effects = Effects()
        for action in self.clients[upstream].receive(now, message):
            if isinstance(action, TopicChanged):
                if self._owners and action.topic == claims_topic(upstream):
                    self._hear_claims(upstream, effects)
                effects.to_pull += self.distributor.changed(action.topic)
            elif isinstance(action, LivenessChanged):
                (self._not_live.discard if action.live else self._not_live.add)(action.topic)
                effects.to_pull += self.distributor.set_live(action.topic, self._is_live(action.topic))
            else:
                effects.actions.append((upstream, action))
        return effects

    def _hear_claims(self, upstream: str, effects: Effects) -> None:
        claims = dict(read_claims(upstream, self.topics[claims_topic(upstream)].entries))
        moved = self.ownership.hear_all(upstream, claims)
        for topic in [topic for topic in self._routes if service_of(topic) in moved]:
            self._lead(topic, effects)
            effects.to_pull += self.distributor.set_live(topic, self._is_live(topic))

    def upstream_connected(self, now: int, upstream: str) -> Effects:
        """The dial has come off. What the parent before said of owners says nothing of what this one reaches."""
        effects = Effects([(upstream, action) for action in self.clients[upstream].connected(now)])
        self._not_live.difference_update([topic for topic, name in self._routes.items() if name == upstream])
        self._orphaned.discard(upstream)
        self._tell_liveness(upstream, effects)
        return effects

    def _is_live(self, topic: str) -> bool:
        upstream = self._routes.get(topic)
        return upstream is not None and upstream not in self._orphaned and topic not in self._not_live

    def _tell_liveness(self, upstream: str, effects: Effects) -> None:
        for topic in [topic for topic, name in self._routes.items() if name == upstream]:
            effects.to_pull += self.distributor.set_live(topic, self._is_live(topic))

    # --- time ---

    def due_at(self) -> int:
        """When `tick` may have something to do."""
        clients = min(client.due_at() for client in self.clients.values())
        return min(
            [
                clients,
                (self._window + 1) * WINDOW,
                *self._unwanted.values(),
                *(
                    client.disconnected_since + ORPHANED_AFTER
                    for name, client in self.clients.items()
                    if client.disconnected_since is not None and name not in self._orphaned
                ),
            ]
        )

    def tick(self, now: int) -> Effects:
        """Dials where that is due, notices lost owners, forgets topics that nobody wants."""
        effects = Effects()
        for name, client in self.clients.items():
            effects.actions += [(name, action) for action in client.tick(now)]
            since = client.disconnected_since
            if since is not None and now - since >= ORPHANED_AFTER and name not in self._orphaned:
                self._orphaned.add(name)
                self._tell_liveness(name, effects)
        for topic in [topic for topic, until in self._unwanted.items() if until <= now]:
            self._forget(topic, effects)
        if now // WINDOW != self._window:
            self._pass_reports_on(now, effects)
        return effects

    def _forget(self, topic: str, effects: Effects) -> None:
        del self._unwanted[topic]
        upstream = self._routes.pop(topic, None)
        if upstream is not None:
            effects.actions += [(upstream, action) for action in self.clients[upstream].unwant(topic)]
        self.topics.pop(topic, None)
        self._not_live.discard(topic)
        self.distributor.forget(topic)
