"""Decisions of a controller or relay about its subscribers: subscriptions, and the next messages of each.

Nothing is queued for a subscriber except the messages of one topic, such as the parts of a snapshot. For each
topic the distributor keeps the version that the subscriber was sent last; when the subscriber's connection
has capacity, the subscriber is sent the update from that version to the present one. A slow subscriber
therefore takes the memory of one version for each topic, receives fewer but larger deltas, and does not delay
other subscribers.
"""

from collections import deque
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from ravenshelf.distribution.decisions.backoff import TokenBucket
from ravenshelf.distribution.decisions.digests import Digest
from ravenshelf.distribution.decisions.topics import Topic
from ravenshelf.distribution.messages import (
    Heartbeat,
    Message,
    Resync,
    Snapshot,
    Subscribe,
    TopicLive,
    Unsubscribe,
    Version,
    encode,
)
from ravenshelf.time_units import SECOND

HEARTBEAT_INTERVAL_US = SECOND
# A snapshot that exceeds the budget is tried again after this time at the earliest.
MIN_BUDGET_WAIT_US = 10_000


@dataclass(frozen=True)
class DistributorLimits:
    """Upper bounds of the subscribers and of the rate of snapshots."""

    max_subscribers: int = 64
    snapshot_bytes_per_second: float = 4_000_000.0
    snapshot_burst_bytes: float = 1_000_000.0


class EncodedMessage:
    """A message and its bytes, which are encoded once for all subscribers of the message."""

    __slots__ = ("message", "payload")

    def __init__(self, message: Message):
        self.message = message
        self.payload = encode(message)


@dataclass
class _EncodedUpdates:
    """Encoded updates of a topic to `version`; the key is the version that a subscriber has at present."""

    version: Version
    updates: dict[Version, list[EncodedMessage]] = field(default_factory=dict)


@dataclass
class _Subscriber:
    """State of one subscriber.

    `sent_versions` has the version of each topic that the subscriber was sent last, or said that it holds.
    `dirty_topics` are the topics that may have updates for the subscriber, the earliest change first.
    `queued_messages` are sent before all others. `unreachable_topics` are the topics that were reported to
    the subscriber as not live.
    """

    heartbeat_at: int
    sent_versions: Digest = field(default_factory=Digest)
    dirty_topics: dict[str, None] = field(default_factory=dict)
    queued_messages: deque[EncodedMessage] = field(default_factory=deque)
    unreachable_topics: set[str] = field(default_factory=set)


class Distributor:
    """Server of a set of topics to their subscribers. Times are in microseconds.

    `topics` is shared with the caller, who keeps it up to date and reports each change.
    """

    def __init__(self, topics: Mapping[str, Topic], limits: DistributorLimits = DistributorLimits()):
        self.topics = topics
        self.limits = limits
        self.subscribers: dict[str, _Subscriber] = {}
        self.subscriptions: dict[str, dict[str, None]] = {}  # Subscribers by topic, in order of subscription.
        self.snapshot_bytes = 0  # Bytes of all snapshots since the start.
        self._unreachable_topics: set[str] = set()
        self._bucket = TokenBucket(limits.snapshot_bytes_per_second, limits.snapshot_burst_bytes)
        self._encoded_updates: dict[str, _EncodedUpdates] = {}

    def add_subscriber(self, now: int, name: str) -> bool:
        """Accept a subscriber in place of an earlier one of the same name.

        Returns:
            False if the limit of subscribers is reached.
        """
        self.remove_subscriber(name)
        if len(self.subscribers) >= self.limits.max_subscribers:
            return False
        self.subscribers[name] = _Subscriber(now + HEARTBEAT_INTERVAL_US)
        return True

    def remove_subscriber(self, name: str) -> list[str]:
        """Remove a subscriber whose connection has ended; an unknown name is ignored.

        Returns:
            The topics that no longer have a subscriber.
        """
        subscriber = self.subscribers.pop(name, None)
        if subscriber is None:
            return []
        return [
            topic for topic in subscriber.sent_versions.versions() if self._remove_subscription(name, topic)
        ]

    def _remove_subscription(self, name: str, topic: str) -> bool:
        """Remove a subscription; return whether the topic no longer has a subscriber."""
        remaining_subscribers = self.subscriptions.get(topic, {})
        remaining_subscribers.pop(name, None)
        if not remaining_subscribers:
            self.subscriptions.pop(topic, None)
        return not remaining_subscribers

    def receive(self, name: str, message: Subscribe | Unsubscribe | Resync) -> list[str]:
        """Change the subscriptions of a subscriber as its message requests.

        Args:
            name: Name of a subscriber that was added.
            message: The subscriber's message.

        Returns:
            The topics that got their first subscriber or lost their last one.
        """
        subscriber = self.subscribers[name]
        if isinstance(message, Resync):
            return self._resync(name, subscriber, message)
        if isinstance(message, Subscribe):
            is_first = message.topic not in self.subscriptions
            self._subscribe(name, subscriber, message)
            return [message.topic] if is_first else []
        subscriber.sent_versions.remove(message.topic)
        subscriber.dirty_topics.pop(message.topic, None)
        return [message.topic] if self._remove_subscription(name, message.topic) else []

    def _subscribe(self, name: str, subscriber: _Subscriber, message: Subscribe) -> None:
        self.subscriptions.setdefault(message.topic, {})[name] = None
        subscriber.sent_versions.set(message.topic, message.version)
        subscriber.unreachable_topics.discard(message.topic)
        subscriber.dirty_topics[message.topic] = None

    def _resync(self, name: str, subscriber: _Subscriber, message: Resync) -> list[str]:
        """Replace the recorded versions by the subscriber's, and unsubscribe topics that it does not list."""
        changed_topics = []
        for topic in subscriber.sent_versions.versions():
            if topic not in message.versions:
                changed_topics += self.receive(name, Unsubscribe(topic))
        for topic, version in message.versions.items():
            changed_topics += self.receive(name, Subscribe(topic, version))
        return changed_topics

    def topic_changed(self, topic: str) -> Iterator[str]:
        """Record that a topic has a new version; yield the subscribers that `pull` now has messages for."""
        for name in self.subscriptions.get(topic, ()):
            self.subscribers[name].dirty_topics[topic] = None
            yield name

    def set_live(self, topic: str, is_live: bool) -> Iterator[str]:
        """Record whether a topic's owner can be reached.

        Yields:
            If that has changed, the subscribers that `pull` now has messages for.
        """
        if is_live == (topic not in self._unreachable_topics):
            return
        if is_live:
            self._unreachable_topics.discard(topic)
        else:
            self._unreachable_topics.add(topic)
        yield from self.topic_changed(topic)

    def remove_topic(self, topic: str) -> None:
        """Remove the encoded updates and the liveness of a topic that is no longer served."""
        self._encoded_updates.pop(topic, None)
        self._unreachable_topics.discard(topic)

    def pull(self, now: int, name: str, byte_limit: int) -> list[EncodedMessage]:
        """Return the next messages of a subscriber whose connection has capacity.

        Args:
            now: The present time.
            name: Name of the subscriber.
            byte_limit: No more messages are returned once their payloads reach this number of bytes, so the
                last one may exceed it.
        """
        subscriber = self.subscribers[name]
        messages: list[EncodedMessage] = []
        if now >= subscriber.heartbeat_at and not subscriber.queued_messages:
            subscriber.heartbeat_at = now + HEARTBEAT_INTERVAL_US
            messages.append(EncodedMessage(Heartbeat(subscriber.sent_versions.value)))
        deferred_topics: list[str] = []  # The snapshots of these topics exceed the present budget.
        pulled_bytes = 0
        while pulled_bytes < byte_limit:
            if subscriber.queued_messages:
                message = subscriber.queued_messages.popleft()
                messages.append(message)
                pulled_bytes += len(message.payload)
            elif subscriber.dirty_topics:
                topic = next(iter(subscriber.dirty_topics))
                del subscriber.dirty_topics[topic]
                if not self._queue_updates(now, subscriber, topic):
                    deferred_topics.append(topic)
            else:
                break
        for topic in deferred_topics:
            subscriber.dirty_topics[topic] = None
        return messages

    def _queue_updates(self, now: int, subscriber: _Subscriber, topic: str) -> bool:
        """Queue the updates of a topic for a subscriber; return False if the budget does not allow it yet."""
        self._queue_liveness(subscriber, topic)
        sent_version = subscriber.sent_versions.get(topic)
        state = self.topics.get(topic)
        if sent_version is None or state is None:
            return True
        updates = self._updates(state, sent_version)
        if not updates:
            return True
        if isinstance(updates[0].message, Snapshot):
            size = sum(len(update.payload) for update in updates)
            if not self._bucket.try_consume(now, size):
                return False
            self.snapshot_bytes += size
        subscriber.sent_versions.set(topic, state.version)
        subscriber.queued_messages.extend(updates)
        return True

    def _queue_liveness(self, subscriber: _Subscriber, topic: str) -> None:
        is_live = topic not in self._unreachable_topics
        if is_live != (topic in subscriber.unreachable_topics):
            return
        if is_live:
            subscriber.unreachable_topics.discard(topic)
        else:
            subscriber.unreachable_topics.add(topic)
        subscriber.queued_messages.append(EncodedMessage(TopicLive(topic, is_live)))

    def _updates(self, state: Topic, held_version: Version) -> list[EncodedMessage]:
        """Return the updates from a held version, encoded once for each present version of the topic."""
        encoded_updates = self._encoded_updates.get(state.name)
        if encoded_updates is None or encoded_updates.version != state.version:
            encoded_updates = self._encoded_updates[state.name] = _EncodedUpdates(state.version)
        if held_version not in encoded_updates.updates:
            encoded_updates.updates[held_version] = [
                EncodedMessage(message) for message in state.updates_since(held_version)
            ]
        return encoded_updates.updates[held_version]

    def due_at(self, now: int, name: str) -> int:
        """Return the time of the next pull for a subscriber whose connection has capacity."""
        subscriber = self.subscribers[name]
        if subscriber.queued_messages:
            return now
        # Topics that are still dirty were deferred until the snapshot budget allows them.
        if subscriber.dirty_topics:
            return min(
                subscriber.heartbeat_at, max(now + MIN_BUDGET_WAIT_US, self._bucket.ready_at(now, 1.0))
            )
        return subscriber.heartbeat_at
