"""A subscriber that uses real sockets and keeps its topics up to date from one of its parents."""

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

TREE_UPSTREAM = "tree"  # The name of a subscriber's only upstream.
TICK_TIMER = "tick"


def _ignore_liveness(_topic: str, _is_live: bool) -> None:
    pass


class SubscriptionService:
    """Service that runs the decisions of a `SubscriptionClient` with real sockets."""

    def __init__(
        self,
        node: Node,
        random_source: random.Random,
        topic_changed: Callable[[Topic], None],
        liveness_changed: Callable[[str, bool], None] = _ignore_liveness,
    ):
        """Create a service that does not yet dial.

        Args:
            node: This process, with the parents to dial.
            random_source: Source of the jitter of dials.
            topic_changed: Called with each topic that has a new version.
            liveness_changed: Called with each topic whose owner can't be reached any more (False), or can be
                reached again (True).
        """
        self.clock = node.clock
        self.topic_changed = topic_changed
        self.liveness_changed = liveness_changed
        self.topics: dict[str, Topic] = {}
        self.client = SubscriptionClient(
            list(node.parent_addresses), self.topics, random_source, node.clock()
        )
        self.upstreams = Upstreams(node, BufferPool(), {TREE_UPSTREAM: self.client}, self)
        self._timers: Timers[str] = Timers(node.loop, node.clock, self._tick_due)

    def start(self, topics: Iterable[str]) -> None:
        """Subscribe to these topics and dial the preferred parent."""
        for topic in topics:
            self.subscribe(topic)
        self._tick()

    def subscribe(self, topic: str) -> None:
        """Subscribe to one more topic; ignored if already subscribed."""
        self._perform(self.client.subscribe(topic))

    def unsubscribe(self, topic: str) -> None:
        """Cancel a subscription and drop the topic's state."""
        self._perform(self.client.unsubscribe(topic))
        self.topics.pop(topic, None)

    def send_report(self, report: ZoneLoadReport) -> bool:
        """Send a load report to the parent.

        Returns:
            False if there is no connection, so that the caller can send the report later.
        """
        if self.client.state is not ConnectionState.CONNECTED:
            return False
        self._perform([Send(report)])
        return True

    def stop(self) -> None:
        """End the connection or the dial."""
        self._timers.stop()
        self.upstreams.stop()

    def _perform(self, actions: Iterable[Action]) -> None:
        for action in actions:
            if isinstance(action, TopicChanged):
                self.topic_changed(self.topics[action.topic])
            elif isinstance(action, LivenessChanged):
                self.liveness_changed(action.topic, action.is_live)
            else:
                self.upstreams.perform([(TREE_UPSTREAM, action)])

    def _tick(self) -> None:
        self._perform(self.client.tick(self.clock()))
        self._schedule_tick()

    def _tick_due(self, _key: str) -> None:
        self._tick()

    def _schedule_tick(self) -> None:
        self._timers.set(TICK_TIMER, self.client.due_at())

    def upstream_connected(self, _upstream: str) -> None:
        """Handle a successful dial."""
        self._perform(self.client.connection_opened(self.clock()))
        self._schedule_tick()

    def upstream_message_received(self, _upstream: str, message: Message) -> None:
        """Handle a message of the parent."""
        self._perform(self.client.receive(self.clock(), message))

    def upstream_lost(self, _upstream: str) -> None:
        """Handle the end of the connection, or the failure of the dial."""
        self._perform(self.client.connection_lost(self.clock()))
        self._schedule_tick()
