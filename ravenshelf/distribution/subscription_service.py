"""A subscriber on sockets: keeps the topics that are wanted up to date from one of its parents."""

import asyncio
import random
from collections.abc import Callable, Iterable, Mapping, Sequence

from ravenshelf.distribution.decisions.client import (
    Action,
    LivenessChanged,
    Send,
    State,
    SubscriptionClient,
    TopicChanged,
)
from ravenshelf.distribution.decisions.topics import Topic
from ravenshelf.distribution.messages import Message, Report
from ravenshelf.distribution.timers import Timers
from ravenshelf.distribution.upstreams import Clock, Upstreams
from ravenshelf.state.buffers import BufferPool

TREE = "tree"


class SubscriptionService:
    """Runs a `SubscriptionClient` on sockets."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        cluster: str,
        name: str,
        parents: Sequence[str],
        addresses: Mapping[str, str],
        chance: random.Random,
        changed: Callable[[Topic], None],
        live: Callable[[str, bool], None] = lambda topic, live: None,
    ):
        """`changed` is told of each topic that has a new version, `live` of each whose owner is lost or found."""
        self.clock, self.changed, self.live = clock, changed, live
        self.topics: dict[str, Topic] = {}
        self.client = SubscriptionClient(parents, self.topics, chance, clock())
        self.upstreams = Upstreams(loop, BufferPool(), cluster, name, {TREE: self.client}, addresses, self)
        self._timers = Timers(loop, clock, lambda _: self._tick())

    def start(self, topics: Iterable[str]) -> None:
        """Wants these topics and dials."""
        for topic in topics:
            self.want(topic)
        self._tick()

    def want(self, topic: str) -> None:
        """Subscribes to one more topic."""
        self._perform(self.client.want(topic))

    def unwant(self, topic: str) -> None:
        """Subscribes to a topic no more, and forgets it."""
        self._perform(self.client.unwant(topic))
        self.topics.pop(topic, None)

    def report(self, report: Report) -> bool:
        """Sends sums up; False where there is no connection now: the caller adds them to the next."""
        if self.client.state is not State.CONNECTED:
            return False
        self._perform([Send(report)])
        return True

    def stop(self) -> None:
        """Ends the connection."""
        self._timers.stop()
        self.upstreams.stop()

    def _perform(self, actions: Iterable[Action]) -> None:
        for action in actions:
            if isinstance(action, TopicChanged):
                self.changed(self.topics[action.topic])
            elif isinstance(action, LivenessChanged):
                self.live(action.topic, action.live)
            else:
                self.upstreams.perform([(TREE, action)])

    def _tick(self) -> None:
        self._perform(self.client.tick(self.clock()))
        self._timers.set("tick", self.client.due_at())

    def upstream_connected(self, upstream: str) -> None:
        """A dial has come off."""
        self._perform(self.client.connected(self.clock()))
        self._timers.set("tick", self.client.due_at())

    def upstream_said(self, upstream: str, message: Message) -> None:
        """A parent says something."""
        self._perform(self.client.receive(self.clock(), message))

    def upstream_lost(self, upstream: str) -> None:
        """A connection has ended, or a dial has failed."""
        self._perform(self.client.lost(self.clock()))
        self._timers.set("tick", self.client.due_at())
