"""Simulated servers, relays and service owners: the decision modules, driven by the simulated network."""

import random
from collections.abc import Iterable

from ravenshelf.distribution.decisions.client import LivenessChanged, SubscriptionClient, TopicChanged
from ravenshelf.distribution.decisions.distributor import DistributorLimits
from ravenshelf.distribution.decisions.relay import NodeActions, Relay
from ravenshelf.distribution.decisions.service_owner import ServiceOwner
from ravenshelf.distribution.decisions.topics import Topic
from ravenshelf.distribution.messages import Message, Version
from standins.distribution.interfaces import Distribution
from standins.distribution.node import Node
from standins.fleet.clock import SECOND

TREE = "tree"  # name of a server's only upstream


class ServerNode(Node):
    """A control-plane server, as far as it takes part in the distribution."""

    def __init__(
        self,
        world: Distribution,
        name: str,
        region: int,
        parents: list[str],
        subscribed_topics: Iterable[str],
        random_source: random.Random,
        started_at: int,
    ):
        super().__init__(world, name, region)
        self.parents, self.random_source = parents, random_source
        self.topics: dict[str, Topic] = {}
        self.topic_liveness: dict[str, bool] = {}
        self._start(subscribed_topics, started_at)

    def _start(self, subscribed_topics: Iterable[str], at: int) -> None:
        client = SubscriptionClient(self.parents, self.topics, self.random_source, at)
        self.clients = {TREE: client}
        for topic in subscribed_topics:
            client.subscribe(topic)
        self.schedule_timer()

    @property
    def client(self) -> SubscriptionClient:
        """The only client."""
        return self.clients[TREE]

    def stop_for(self, seconds: float, loses_topics: bool) -> None:
        """Stop for a while; `forget`: restart without the topics that were held."""
        subscribed_topics = list(self.client.held_versions.versions())
        self.stop()
        if loses_topics:
            self.topics = {}
        self.world.network.call_later(round(seconds * SECOND), lambda: self._restart(subscribed_topics))

    def _restart(self, subscribed_topics: list[str]) -> None:
        self.alive, self._timer_at = True, None
        self._start(subscribed_topics, self.now)

    def subscribe(self, topic: str) -> None:
        """Subscribe to a topic."""
        self.run(lambda: self.perform((TREE, action) for action in self.client.subscribe(topic)))

    def unsubscribe(self, topic: str) -> None:
        """Cancel a subscription and drop the topic."""
        self.run(lambda: self._unsubscribe(topic))

    def _unsubscribe(self, topic: str) -> None:
        self.perform((TREE, action) for action in self.client.unsubscribe(topic))
        self.topics.pop(topic, None)
        self.topic_liveness.pop(topic, None)

    def tick(self) -> None:
        """Do what is due."""
        self.perform((TREE, action) for action in self.client.tick(self.now))

    def on_connected(self, upstream: str) -> None:
        """A dial has succeeded."""
        self.perform((upstream, action) for action in self.client.connection_opened(self.now))

    def on_message(self, upstream: str, message: Message) -> None:
        """An upstream has sent a message."""
        for action in self.client.receive(self.now, message):
            if isinstance(action, TopicChanged):
                self.world.update_applied(self, action.topic, self.topics[action.topic])
            elif isinstance(action, LivenessChanged):
                self.topic_liveness[action.topic] = action.is_live
            else:
                self.perform([(upstream, action)])

    def version(self, topic: str) -> Version | None:
        """Return the version held of a topic; None if it is not subscribed."""
        return self.client.held_versions.get(topic)


class ServingNode(Node):
    """A process without stored state: after a restart it begins anew."""

    def create_decision_object(self) -> None:
        """Create the decision object."""
        raise NotImplementedError

    def stop_for(self, seconds: float, silently: bool = False) -> None:
        """Stop, and restart after so many seconds."""
        self.stop(silently)
        self.world.network.call_later(round(seconds * SECOND), self._restart)

    def _restart(self) -> None:
        self.alive, self._timer_at = True, None
        self.create_decision_object()


class RelayNode(ServingNode):
    """A relay of any level."""

    def __init__(
        self,
        world: Distribution,
        name: str,
        region: int,
        upstreams: dict[str, list[str]],
        random_source: random.Random,
        limits: DistributorLimits,
        owners: bool,
    ):
        super().__init__(world, name, region)
        self.upstreams = upstreams
        self.random_source = random_source
        self.limits = limits
        self.upstreams_are_owners = owners
        self.create_decision_object()

    def create_decision_object(self) -> None:
        """Create the decision object."""
        self.relay = Relay(
            self.name, self.upstreams, self.random_source, self.now, self.limits, self.upstreams_are_owners
        )
        self.clients, self.distributor = self.relay.clients, self.relay.distributor
        self.schedule_timer()

    def due_at(self) -> int:
        """Return the time at which `tick` has something to do."""
        return self.relay.due_at()

    def _apply(self, actions: NodeActions) -> None:
        self.perform(actions.upstream_actions)
        self.send_all_pending(actions.pending_subscribers)

    def tick(self) -> None:
        """Do what is due."""
        self._apply(self.relay.tick(self.now))

    def on_connected(self, upstream: str) -> None:
        """A dial has succeeded."""
        self._apply(self.relay.upstream_connected(self.now, upstream))

    def on_message(self, upstream: str, message: Message) -> None:
        """An upstream has sent a message."""
        self._apply(self.relay.upstream_message_received(self.now, upstream, message))

    def on_subscriber_message(self, name: str, message: Message) -> None:
        """A subscriber has changed its subscriptions."""
        self._apply(self.relay.subscriber_message_received(self.now, name, message))

    def on_subscriber_lost(self, name: str) -> None:
        """A subscriber's connection has ended."""
        self._apply(self.relay.subscriber_lost(self.now, name))


class OwnerNode(ServingNode):
    """A controller that owns services."""

    def __init__(
        self,
        world: Distribution,
        name: str,
        region: int,
        others: list[str],
        random_source: random.Random,
        limits: DistributorLimits,
        shards: int,
    ):
        super().__init__(world, name, region)
        self.others = others
        self.random_source = random_source
        self.limits = limits
        self.shards = shards
        self.incarnation = 0
        self.create_decision_object()

    def create_decision_object(self) -> None:
        """Create the decision object."""
        self.incarnation += 1
        self.owner = ServiceOwner(
            self.name,
            self.incarnation,
            self.shards,
            self.world.content,
            self.others,
            self.random_source,
            self.now,
            self.limits,
        )
        self.clients, self.distributor = self.owner.clients, self.owner.distributor
        self.schedule_timer()

    def due_at(self) -> int | None:
        """Return the time at which `tick` has something to do."""
        deadlines = [due for due in (super().due_at(), self.owner.due_at(self.now)) if due is not None]
        return min(deadlines, default=None)

    def soon_due_at(self) -> int | None:
        """Return the time of the next publication."""
        return self.owner.due_at(self.now)

    def tick(self) -> None:
        """Do what is due."""
        for name, client in self.clients.items():
            self.perform((name, action) for action in client.tick(self.now))
        self.publish()

    def publish(self) -> None:
        """Publish what is due, and record it for the checks."""
        topics, pending_subscribers = self.owner.publish(self.now)
        self.world.record_publications(self.owner, topics)
        self.send_all_pending(pending_subscribers)

    def on_connected(self, upstream: str) -> None:
        """A dial has succeeded."""
        self.perform((upstream, action) for action in self.clients[upstream].connection_opened(self.now))

    def on_message(self, upstream: str, message: Message) -> None:
        """An upstream has sent a message."""
        actions = self.owner.upstream_message_received(self.now, upstream, message)
        self.perform(actions.upstream_actions)
        self.send_all_pending(actions.pending_subscribers)

    def on_subscriber_message(self, name: str, message: Message) -> None:
        """A subscriber has changed its subscriptions."""
        self.owner.subscriber_message_received(self.now, name, message)

    def on_subscriber_lost(self, name: str) -> None:
        """A subscriber's connection has ended."""
        self.owner.subscriber_lost(name)
