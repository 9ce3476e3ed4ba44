"""The serving side of a controller or relay: who subscribes to what, and what each subscriber is sent next.

Nothing is queued for a subscriber but the parts of one snapshot. The distributor keeps the version of each
topic that a subscriber was last sent; when its connection has capacity, it is sent the update from that
version to the present one. So a slow subscriber costs one version for each topic, receives fewer but larger
deltas, and delays nobody else.
"""

from collections import deque
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from ravenshelf.distribution.decisions.backoff import SECOND, TokenBucket
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

HEARTBEAT_INTERVAL_US = SECOND
MIN_BUDGET_WAIT_US = 10_000  # microseconds until a snapshot without budget is tried again


@dataclass(frozen=True)
class DistributorLimits:
    """Upper bounds of what a distributor serves."""

    max_subscribers: int = 64
    snapshot_bytes_per_second: float = 4_000_000.0
    snapshot_burst_bytes: float = 1_000_000.0


class EncodedMessage:
    """A message and its bytes, encoded once for all subscribers that are sent it."""

    __slots__ = ("message", "payload")

    def __init__(self, message: Message):
        self.message = message
        self.payload = encode(message)


@dataclass
class _EncodedUpdates:
    version: Version  # of the topic
    updates: dict[Version, list[EncodedMessage]] = field(default_factory=dict)  # by the subscriber's version


@dataclass
class _Subscriber:
    heartbeat_at: int
    sent: Digest = field(default_factory=Digest)  # the version of each topic that it has been sent
    dirty: dict[str, None] = field(default_factory=dict)  # topics to be examined, the oldest first
    parts: deque[EncodedMessage] = field(default_factory=deque)  # messages to send before any other
    not_live: set[str] = field(default_factory=set)  # topics reported to it as without a reachable owner


class Distributor:
    """Serves the topics of `topics`, which the caller keeps up to date, to subscribers."""

    def __init__(self, topics: Mapping[str, Topic], limits: DistributorLimits = DistributorLimits()):
        self.topics = topics
        self.limits = limits
        self.subscribers: dict[str, _Subscriber] = {}
        self.subscriptions: dict[str, dict[str, None]] = {}  # by topic: its subscribers, in order
        self.snapshot_bytes = 0  # sent in total
        self._not_live: set[str] = set()
        self._bucket = TokenBucket(limits.snapshot_bytes_per_second, limits.snapshot_burst_bytes)
        self._encoded: dict[str, _EncodedUpdates] = {}  # by topic

    # --- subscribers ---

    def add_subscriber(self, now: int, name: str) -> bool:
        """Accept a subscriber, replacing one of the same name; return False if the limit is reached."""
        self.remove_subscriber(name)
        if len(self.subscribers) >= self.limits.max_subscribers:
            return False
        self.subscribers[name] = _Subscriber(now + HEARTBEAT_INTERVAL_US)
        return True

    def remove_subscriber(self, name: str) -> list[str]:
        """Remove a subscriber whose connection has ended; return the topics that have no subscriber left."""
        subscriber = self.subscribers.pop(name, None)
        if subscriber is None:
            return []
        return [topic for topic in subscriber.sent.versions() if self._remove_subscription(name, topic)]

    def _remove_subscription(self, name: str, topic: str) -> bool:
        """Remove a subscription; return whether the topic has no subscriber left."""
        remaining = self.subscriptions.get(topic, {})
        remaining.pop(name, None)
        if not remaining:
            self.subscriptions.pop(topic, None)
        return not remaining

    def receive(self, name: str, message: Subscribe | Unsubscribe | Resync) -> list[str]:
        """Handle a subscriber's message; return the topics that got their first or lost their last
        subscriber."""
        subscriber = self.subscribers[name]
        if isinstance(message, Resync):
            return self._resync(name, subscriber, message)
        if isinstance(message, Subscribe):
            is_first = message.topic not in self.subscriptions
            self._subscribe(name, subscriber, message)
            return [message.topic] if is_first else []
        subscriber.sent.remove(message.topic)
        subscriber.dirty.pop(message.topic, None)
        return [message.topic] if self._remove_subscription(name, message.topic) else []

    def _subscribe(self, name: str, subscriber: _Subscriber, message: Subscribe) -> None:
        self.subscriptions.setdefault(message.topic, {})[name] = None
        subscriber.sent.set(message.topic, message.version)
        subscriber.not_live.discard(message.topic)
        subscriber.dirty[message.topic] = None

    def _resync(self, name: str, subscriber: _Subscriber, message: Resync) -> list[str]:
        """The subscriber's versions replace ours; topics that it does not list are unsubscribed."""
        changed = []
        for topic in subscriber.sent.versions():
            if topic not in message.versions:
                changed += self.receive(name, Unsubscribe(topic))
        for topic, version in message.versions.items():
            changed += self.receive(name, Subscribe(topic, version))
        return changed

    # --- topics ---

    def topic_changed(self, topic: str) -> Iterator[str]:
        """A topic has a new version; yield the subscribers that have something to pull."""
        for name in self.subscriptions.get(topic, ()):
            self.subscribers[name].dirty[topic] = None
            yield name

    def set_live(self, topic: str, live: bool) -> Iterator[str]:
        """Record whether a topic's owner can be reached; yield the subscribers to be notified."""
        if live == (topic not in self._not_live):
            return
        if live:
            self._not_live.discard(topic)
        else:
            self._not_live.add(topic)
        yield from self.topic_changed(topic)

    def remove_topic(self, topic: str) -> None:
        """The topic is no longer served."""
        self._encoded.pop(topic, None)
        self._not_live.discard(topic)

    # --- outgoing messages ---

    def pull(self, now: int, name: str, byte_limit: int) -> list[EncodedMessage]:
        """Return the subscriber's next messages, about `byte_limit` bytes (at least one message, if there is
        any)."""
        subscriber = self.subscribers[name]
        outgoing: list[EncodedMessage] = []
        if now >= subscriber.heartbeat_at and not subscriber.parts:
            subscriber.heartbeat_at = now + HEARTBEAT_INTERVAL_US
            outgoing.append(EncodedMessage(Heartbeat(subscriber.sent.value)))
        deferred: list[str] = []  # topics whose snapshots exceed the present budget
        pulled_bytes = 0
        while pulled_bytes < byte_limit:
            if subscriber.parts:
                part = subscriber.parts.popleft()
                outgoing.append(part)
                pulled_bytes += len(part.payload)
            elif subscriber.dirty:
                topic = next(iter(subscriber.dirty))
                del subscriber.dirty[topic]
                if not self._queue_updates(now, subscriber, topic):
                    deferred.append(topic)
            else:
                break
        for topic in deferred:
            subscriber.dirty[topic] = None
        return outgoing

    def _queue_updates(self, now: int, subscriber: _Subscriber, topic: str) -> bool:
        """Queue the updates of a topic as the subscriber's parts; return False if the budget does not allow
        it yet."""
        self._queue_liveness(subscriber, topic)
        sent_version = subscriber.sent.get(topic)
        state = self.topics.get(topic)
        if sent_version is None or state is None:
            return True
        updates = self._updates(state, sent_version)
        if not updates:
            return True
        if isinstance(updates[0].message, Snapshot):
            size = sum(len(outgoing.payload) for outgoing in updates)
            if not self._bucket.try_consume(now, size):
                return False
            self.snapshot_bytes += size
        subscriber.sent.set(topic, state.version)
        subscriber.parts.extend(updates)
        return True

    def _queue_liveness(self, subscriber: _Subscriber, topic: str) -> None:
        live = topic not in self._not_live
        if live != (topic in subscriber.not_live):
            return
        if live:
            subscriber.not_live.discard(topic)
        else:
            subscriber.not_live.add(topic)
        subscriber.parts.append(EncodedMessage(TopicLive(topic, live)))

    def _updates(self, state: Topic, held: Version) -> list[EncodedMessage]:
        """Return the updates from a held version, encoded once while the topic's present version stands."""
        encoded = self._encoded.get(state.name)
        if encoded is None or encoded.version != state.version:
            encoded = self._encoded[state.name] = _EncodedUpdates(state.version)
        if held not in encoded.updates:
            encoded.updates[held] = [EncodedMessage(message) for message in state.updates_since(held)]
        return encoded.updates[held]

    def due_at(self, now: int, name: str) -> int:
        """Return the time of the next pull for a subscriber whose connection has capacity."""
        subscriber = self.subscribers[name]
        if subscriber.parts:
            return now
        if subscriber.dirty:  # deferred until the snapshot budget allows them
            return min(
                subscriber.heartbeat_at, max(now + MIN_BUDGET_WAIT_US, self._bucket.ready_at(now, 1.0))
            )
        return subscriber.heartbeat_at
