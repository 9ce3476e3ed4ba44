"""A subscriber on sockets: keeps its topics up to date from one of its parents."""

import random
from collections.abc import Callable, Iterable

from ravenshelf.distribution.decisions.client import (
    Action,
    ConnectionState,
    LivenessChanged,
    Send,
    SubscriptionClient,
    TopicChanged,
)
from ravenshelf.distribution.decisions.topics import Topic
from ravenshelf.distribution.messages import Message, ZoneLoadReport
from ravenshelf.distribution.node import Node
from ravenshelf.distribution.timers import Timers
from ravenshelf.distribution.upstreams import Upstreams
from ravenshelf.state.buffers import BufferPool

TREE = "tree"  # name of the only upstream
TICK = "tick"


def _ignore_liveness(_topic: str, _live: bool) -> None:
    pass


class SubscriptionService:
    """Runs a `SubscriptionClient` on sockets."""

    def __init__(
        self,
        node: Node,
        random_source: random.Random,
        topic_changed: Callable[[Topic], None],
        liveness_changed: Callable[[str, bool], None] = _ignore_liveness,
    ):
        """`topic_changed`: called with each topic that has a new version; `liveness_changed`: with each topic
        whose owner is lost or can be reached again."""
        self.clock = node.clock
        self.topic_changed = topic_changed
        self.liveness_changed = liveness_changed
        self.topics: dict[str, Topic] = {}
        self.client = SubscriptionClient(
            list(node.parent_addresses), self.topics, random_source, node.clock()
        )
        self.upstreams = Upstreams(node, BufferPool(), {TREE: self.client}, self)
        self._timers: Timers[str] = Timers(node.loop, node.clock, self._tick_due)

    def start(self, topics: Iterable[str]) -> None:
        """Subscribe to these topics and dial."""
        for topic in topics:
            self.subscribe(topic)
        self._tick()

    def subscribe(self, topic: str) -> None:
        """Subscribe to one more topic."""
        self._perform(self.client.subscribe(topic))

    def unsubscribe(self, topic: str) -> None:
        """Cancel a subscription and drop the topic's state."""
        self._perform(self.client.unsubscribe(topic))
        self.topics.pop(topic, None)

    def send_report(self, report: ZoneLoadReport) -> bool:
        """Send a load report; return False without a connection, so that it can be sent later."""
        if self.client.state is not ConnectionState.CONNECTED:
            return False
        self._perform([Send(report)])
        return True

    def stop(self) -> None:
        """End the connection."""
        self._timers.stop()
        self.upstreams.stop()

    def _perform(self, actions: Iterable[Action]) -> None:
        for action in actions:
            if isinstance(action, TopicChanged):
                self.topic_changed(self.topics[action.topic])
            elif isinstance(action, LivenessChanged):
                self.liveness_changed(action.topic, action.is_live)
            else:
                self.upstreams.perform([(TREE, action)])

    def _tick(self) -> None:
        self._perform(self.client.tick(self.clock()))
        self._schedule_tick()

    def _tick_due(self, _key: str) -> None:
        self._tick()

    def _schedule_tick(self) -> None:
        self._timers.set(TICK, self.client.due_at())

    def upstream_connected(self, _upstream: str) -> None:
        """The dial has succeeded."""
        self._perform(self.client.connection_opened(self.clock()))
        self._schedule_tick()

    def upstream_message_received(self, _upstream: str, message: Message) -> None:
        """The parent has sent a message."""
        self._perform(self.client.receive(self.clock(), message))

    def upstream_lost(self, _upstream: str) -> None:
        """The connection has ended, or the dial has failed."""
        self._perform(self.client.connection_lost(self.clock()))
        self._schedule_tick()
