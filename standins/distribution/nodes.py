"""Simulated servers, relays and service owners, which drive the decision modules on the simulated network."""

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
    """Control-plane server, reduced to its subscriptions."""

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

    def _start(self, subscribed_topics: Iterable[str], started_at: int) -> None:
        client = SubscriptionClient(self.parents, self.topics, self.random_source, started_at)
        self.clients = {TREE: client}
        for topic in subscribed_topics:
            client.subscribe(topic)
        self.schedule_timer()

    @property
    def client(self) -> SubscriptionClient:
        """Return the client of the only upstream."""
        return self.clients[TREE]

    def stop_for(self, seconds: float, loses_topics: bool) -> None:
        """Stop, and restart with the same subscriptions.

        Args:
            seconds: Time until the restart.
            loses_topics: Whether the server restarts without the topics that it held.
        """
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
        """Perform all actions that are due."""
        self.perform((TREE, action) for action in self.client.tick(self.now))

    def on_connected(self, upstream: str) -> None:
        """Handle the success of a dial."""
        self.perform((upstream, action) for action in self.client.connection_opened(self.now))

    def on_message(self, upstream: str, message: Message) -> None:
        """Handle a message from an upstream."""
        for action in self.client.receive(self.now, message):
            if isinstance(action, TopicChanged):
                self.world.update_applied(self, action.topic, self.topics[action.topic])
            elif isinstance(action, LivenessChanged):
                self.topic_liveness[action.topic] = action.is_live
            else:
                self.perform([(upstream, action)])

    def version(self, topic: str) -> Version | None:
        """Return the version of a topic that the server holds, None if it has not subscribed to it."""
        return self.client.held_versions.get(topic)


class ServingNode(Node):
    """Process that serves subscribers and stores no state, so that a restart loses all of it."""

    def create_decision_object(self) -> None:
        """Create the decision object, and connect the process to its clients and distributor."""
        raise NotImplementedError

    def stop_for(self, seconds: float, silently: bool = False) -> None:
        """Stop, and restart without state.

        Args:
            seconds: Time until the restart.
            silently: Whether the machine fails, so that no other process is notified.
        """
        self.stop(silently)
        self.world.network.call_later(round(seconds * SECOND), self._restart)

    def _restart(self) -> None:
        self.alive, self._timer_at = True, None
        self.create_decision_object()


class RelayNode(ServingNode):
    """Relay of any level."""

    def __init__(
        self,
        world: Distribution,
        name: str,
        region: int,
        upstreams: dict[str, list[str]],
        random_source: random.Random,
        limits: DistributorLimits,
        has_owner_upstreams: bool,
    ):
        super().__init__(world, name, region)
        self.upstreams = upstreams
        self.random_source = random_source
        self.limits = limits
        self.upstreams_are_owners = has_owner_upstreams
        self.create_decision_object()

    def create_decision_object(self) -> None:
        """Create the relay."""
        self.relay = Relay(
            self.name, self.upstreams, self.random_source, self.now, self.limits, self.upstreams_are_owners
        )
        self.clients, self.distributor = self.relay.clients, self.relay.distributor
        self.schedule_timer()

    def due_at(self) -> int:
        """Return the next time at which `tick` has something to do."""
        return self.relay.due_at()

    def _apply(self, actions: NodeActions) -> None:
        self.perform(actions.upstream_actions)
        self.send_all_pending(actions.pending_subscribers)

    def tick(self) -> None:
        """Perform all actions that are due."""
        self._apply(self.relay.tick(self.now))

    def on_connected(self, upstream: str) -> None:
        """Handle the success of a dial."""
        self._apply(self.relay.upstream_connected(self.now, upstream))

    def on_message(self, upstream: str, message: Message) -> None:
        """Handle a message from an upstream."""
        self._apply(self.relay.upstream_message_received(self.now, upstream, message))

    def on_subscriber_message(self, name: str, message: Message) -> None:
        """Handle a message from a subscriber, which changes its subscriptions."""
        self._apply(self.relay.subscriber_message_received(self.now, name, message))

    def on_subscriber_lost(self, name: str) -> None:
        """Handle the end of a subscriber's connection."""
        self._apply(self.relay.subscriber_lost(self.now, name))


class OwnerNode(ServingNode):
    """Controller that owns services."""

    def __init__(
        self,
        world: Distribution,
        name: str,
        region: int,
        peers: list[str],
        random_source: random.Random,
        limits: DistributorLimits,
        shards: int,
    ):
        super().__init__(world, name, region)
        self.peers = peers
        self.random_source = random_source
        self.limits = limits
        self.shards = shards
        self.incarnation = 0
        self.create_decision_object()

    def create_decision_object(self) -> None:
        """Create the service owner, in a new incarnation."""
        self.incarnation += 1
        self.owner = ServiceOwner(
            self.name,
            self.incarnation,
            self.shards,
            self.world.content,
            self.peers,
            self.random_source,
            self.now,
            self.limits,
        )
        self.clients, self.distributor = self.owner.clients, self.owner.distributor
        self.schedule_timer()

    def due_at(self) -> int | None:
        """Return the next time at which `tick` has something to do."""
        deadlines = [
            due_time for due_time in (super().due_at(), self.owner.due_at(self.now)) if due_time is not None
        ]
        return min(deadlines, default=None)

    def early_due_at(self) -> int | None:
        """Return the time of the next publication."""
        return self.owner.due_at(self.now)

    def tick(self) -> None:
        """Perform all actions that are due."""
        for name, client in self.clients.items():
            self.perform((name, action) for action in client.tick(self.now))
        self.publish()

    def publish(self) -> None:
        """Publish the topics that are due, and record them for the checks."""
        topics, pending_subscribers = self.owner.publish(self.now)
        self.world.record_publications(self.owner, topics)
        self.send_all_pending(pending_subscribers)

    def on_connected(self, upstream: str) -> None:
        """Handle the success of a dial."""
        self.perform((upstream, action) for action in self.clients[upstream].connection_opened(self.now))

    def on_message(self, upstream: str, message: Message) -> None:
        """Handle a message from an upstream."""
        actions = self.owner.upstream_message_received(self.now, upstream, message)
        self.perform(actions.upstream_actions)
        self.send_all_pending(actions.pending_subscribers)

    def on_subscriber_message(self, name: str, message: Message) -> None:
        """Handle a message from a subscriber, which changes its subscriptions."""
        self.owner.subscriber_message_received(self.now, name, message)

    def on_subscriber_lost(self, name: str) -> None:
        """Handle the end of a subscriber's connection."""
        self.owner.subscriber_lost(name)
