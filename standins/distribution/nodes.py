"""Pilots, relays and controllers of a world: the decision modules, driven by the virtual network."""

import random
from collections.abc import Iterable
from typing import TYPE_CHECKING

from ravenshelf.distribution.decisions.client import LivenessChanged, SubscriptionClient, TopicChanged
from ravenshelf.distribution.decisions.distributor import DistributorLimits
from ravenshelf.distribution.decisions.relay import Effects, Relay
from ravenshelf.distribution.decisions.service_owner import ServiceOwner
from ravenshelf.distribution.decisions.topics import Topic
from ravenshelf.distribution.messages import Message, Version
from standins.distribution.node import Node
from standins.fleet.clock import SECOND

if TYPE_CHECKING:
    from standins.distribution.world import World


class PilotNode(Node):
    """A pilot, as far as it takes part in the distribution."""

    def __init__(
        self,
        world: "World",
        name: str,
        region: int,
        parents: list[str],
        wanted: Iterable[str],
        random_source: random.Random,
        starts: int,
    ):
        super().__init__(world, name, region)
        self.parents, self.random_source = parents, random_source
        self.topics: dict[str, Topic] = {}
        self.live: dict[str, bool] = {}
        self._start(wanted, starts)

    def _start(self, wanted: Iterable[str], at: int) -> None:
        client = SubscriptionClient(self.parents, self.topics, self.random_source, at)
        self.clients = {"tree": client}
        for topic in wanted:
            client.want(topic)
        self.arm()

    @property
    def client(self) -> SubscriptionClient:
        return self.clients["tree"]

    def away(self, seconds: float, forget: bool) -> None:
        """Is down for a while; `forget`: it comes back without what it held."""
        wanted = list(self.client.held_versions.versions())
        self.stop()
        if forget:
            self.topics = {}
        self.world.network.later(round(seconds * SECOND), lambda: self._back(wanted))

    def _back(self, wanted: list[str]) -> None:
        self.alive, self._timer_at = True, None
        self._start(wanted, self.now)

    def want(self, topic: str) -> None:
        self.run(lambda: self.perform(("tree", action) for action in self.client.want(topic)))

    def unwant(self, topic: str) -> None:
        self.run(lambda: self._unwant(topic))

    def _unwant(self, topic: str) -> None:
        self.perform(("tree", action) for action in self.client.unwant(topic))
        self.topics.pop(topic, None)
        self.live.pop(topic, None)

    def tick(self) -> None:
        self.perform(("tree", action) for action in self.client.tick(self.now))

    def on_connected(self, upstream: str) -> None:
        self.perform((upstream, action) for action in self.client.connected(self.now))

    def on_message(self, upstream: str, message: Message) -> None:
        for action in self.client.receive(self.now, message):
            if isinstance(action, TopicChanged):
                self.world.pilot_has(self, action.topic, self.topics[action.topic])
            elif isinstance(action, LivenessChanged):
                self.live[action.topic] = action.live
            else:
                self.perform([(upstream, action)])

    def version(self, topic: str) -> Version | None:
        """The version held of a topic; None where it is not wanted."""
        return self.client.held_versions.get(topic)


class ServingNode(Node):
    """A process that keeps nothing: when it comes back it begins anew."""

    def begin(self) -> None:
        """Makes what it decides with."""
        raise NotImplementedError

    def away(self, seconds: float, silently: bool = False) -> None:
        """Its process ends; it begins anew after so many seconds."""
        self.stop(silently)
        self.world.network.later(round(seconds * SECOND), self._back)

    def _back(self) -> None:
        self.alive, self._timer_at = True, None
        self.begin()


class RelayNode(ServingNode):
    """A relay of any level."""

    def __init__(
        self,
        world: "World",
        name: str,
        region: int,
        upstreams: dict[str, list[str]],
        random_source: random.Random,
        limits: DistributorLimits,
        owners: bool,
    ):
        super().__init__(world, name, region)
        self.upstreams, self.random_source, self.limits, self.owners = (
            upstreams,
            random_source,
            limits,
            owners,
        )
        self.begin()

    def begin(self) -> None:
        self.relay = Relay(self.name, self.upstreams, self.random_source, self.now, self.limits, self.owners)
        self.clients, self.distributor = self.relay.clients, self.relay.distributor
        self.arm()

    def due_at(self) -> int:
        return self.relay.due_at()

    def _apply(self, effects: Effects) -> None:
        self.perform(effects.actions)
        self.pump_all(effects.to_pull)

    def tick(self) -> None:
        self._apply(self.relay.tick(self.now))

    def on_connected(self, upstream: str) -> None:
        self._apply(self.relay.upstream_connected(self.now, upstream))

    def on_message(self, upstream: str, message: Message) -> None:
        self._apply(self.relay.upstream_message_received(self.now, upstream, message))

    def on_subscriber_message(self, name: str, message: Message) -> None:
        self._apply(self.relay.subscriber_message_received(self.now, name, message))

    def on_subscriber_lost(self, name: str) -> None:
        self._apply(self.relay.subscriber_lost(self.now, name))


class OwnerNode(ServingNode):
    """A controller."""

    def __init__(
        self,
        world: "World",
        name: str,
        region: int,
        others: list[str],
        random_source: random.Random,
        limits: DistributorLimits,
    ):
        super().__init__(world, name, region)
        self.others, self.random_source, self.limits, self.incarnation = others, random_source, limits, 0
        self.begin()

    def begin(self) -> None:
        self.incarnation += 1
        self.owner = ServiceOwner(
            self.name,
            self.incarnation,
            self.world.size.shards,
            self.world.content,
            self.others,
            self.random_source,
            self.now,
            self.limits,
        )
        self.clients, self.distributor = self.owner.clients, self.owner.distributor
        self.arm()

    def due_at(self) -> int | None:
        dues = [due for due in (super().due_at(), self.owner.due_at(self.now)) if due is not None]
        return min(dues, default=None)

    def soon_due_at(self) -> int | None:
        return self.owner.due_at(self.now)

    def tick(self) -> None:
        for name, client in self.clients.items():
            self.perform((name, action) for action in client.tick(self.now))
        self.publish()

    def publish(self) -> None:
        """Publishes what is due, and records it for the checks."""
        topics, to_pull = self.owner.publish(self.now)
        self.world.published(self.owner, topics)
        self.pump_all(to_pull)

    def on_connected(self, upstream: str) -> None:
        self.perform((upstream, action) for action in self.clients[upstream].connected(self.now))

    def on_message(self, upstream: str, message: Message) -> None:
        effects = self.owner.upstream_message_received(self.now, upstream, message)
        self.perform(effects.actions)
        self.pump_all(effects.to_pull)

    def on_subscriber_message(self, name: str, message: Message) -> None:
        self.owner.subscriber_message_received(self.now, name, message)

    def on_subscriber_lost(self, name: str) -> None:
        self.owner.subscriber_lost(name)
