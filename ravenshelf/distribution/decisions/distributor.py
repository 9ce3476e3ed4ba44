"""The serving side of a controller or relay: who subscribes to what, and what each is sent next.

Nothing is queued for a subscriber but the parts of one snapshot. What is kept is the version that it was last sent of each
topic; when its connection has room it is sent what brings that version up to the present one. So a slow subscriber costs
a number a topic, receives fewer but larger deltas, and holds up nobody else.
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

HEARTBEAT_EVERY = SECOND


@dataclass(frozen=True)
class DistributorLimits:
    """What a distributor gives at the most."""

    subscribers: int = 64
    snapshot_bytes_per_second: float = 4_000_000.0
    snapshot_burst_bytes: float = 1_000_000.0


class Outgoing:
    """A message and its bytes, made once for all who are sent it."""

    __slots__ = ("message", "payload")

    def __init__(self, message: Message):
        self.message, self.payload = message, encode(message)


@dataclass
class _Encoded:
    version: Version
    updates: dict[Version, list[Outgoing]] = field(
        default_factory=dict
    )  # by the version that a subscriber holds


@dataclass
class _Subscriber:
    heartbeat_at: int
    sent: Digest = field(default_factory=Digest)  # the version of each topic that it has been sent
    dirty: dict[str, None] = field(default_factory=dict)  # topics to be looked at, the oldest first
    parts: deque[Outgoing] = field(default_factory=deque)  # rest of a snapshot that has begun
    not_live: set[str] = field(default_factory=set)  # topics it was told have no owner


class Distributor:
    """Serves the topics of `topics`, which its owner keeps up to date, to subscribers."""

    def __init__(self, topics: Mapping[str, Topic], limits: DistributorLimits = DistributorLimits()):
        self.topics, self.limits = topics, limits
        self.subscribers: dict[str, _Subscriber] = {}
        self.interested: dict[str, dict[str, None]] = {}  # topic: its subscribers
        self.snapshot_bytes = 0  # ever sent
        self._not_live: set[str] = set()
        self._bucket = TokenBucket(limits.snapshot_bytes_per_second, limits.snapshot_burst_bytes)
        self._encoded: dict[str, _Encoded] = {}  # by topic

    # --- subscribers come and go ---

    def accept(self, now: int, name: str) -> bool:
        """A subscriber connects; False where there is no room for it. One of the same name is replaced."""
        self.lost(name)
        if len(self.subscribers) >= self.limits.subscribers:
            return False
        self.subscribers[name] = _Subscriber(now + HEARTBEAT_EVERY)
        return True

    def lost(self, name: str) -> list[str]:
        """Its connection has ended; gives the topics that nobody is interested in any more."""
        subscriber = self.subscribers.pop(name, None)
        if subscriber is None:
            return []
        return [topic for topic in subscriber.sent.versions() if self._no_longer(name, topic)]

    def _no_longer(self, name: str, topic: str) -> bool:
        others = self.interested.get(topic, {})
        others.pop(name, None)
        if not others:
            self.interested.pop(topic, None)
        return not others

    def receive(self, name: str, message: Subscribe | Unsubscribe | Resync) -> list[str]:
        """Takes what a subscriber says; gives the topics of which the first interest came or the last went."""
        subscriber = self.subscribers[name]
        if isinstance(message, Resync):
            return self._resync(name, subscriber, message)
        if isinstance(message, Subscribe):
            first = message.topic not in self.interested
            self._subscribe(name, subscriber, message)
            return [message.topic] if first else []
        subscriber.sent.remove(message.topic)
        subscriber.dirty.pop(message.topic, None)
        return [message.topic] if self._no_longer(name, message.topic) else []

    def _subscribe(self, name: str, subscriber: _Subscriber, message: Subscribe) -> None:
        self.interested.setdefault(message.topic, {})[name] = None
        subscriber.sent.set(message.topic, message.version)
        subscriber.not_live.discard(message.topic)
        subscriber.dirty[message.topic] = None

    def _resync(self, name: str, subscriber: _Subscriber, message: Resync) -> list[str]:
        """Its versions hold, not ours; what it does not name it does not want."""
        changed = []
        for topic in subscriber.sent.versions():
            if topic not in message.versions:
                changed += self.receive(name, Unsubscribe(topic))
        for topic, version in message.versions.items():
            changed += self.receive(name, Subscribe(topic, version))
        return changed

    # --- topics change ---

    def changed(self, topic: str) -> Iterator[str]:
        """A topic has a new version; gives the subscribers that have something to pull now."""
        for name in self.interested.get(topic, ()):
            self.subscribers[name].dirty[topic] = None
            yield name

    def set_live(self, topic: str, live: bool) -> Iterator[str]:
        """Whether a topic's owner can be reached; gives the subscribers to be told."""
        if live == (topic not in self._not_live):
            return
        (self._not_live.discard if live else self._not_live.add)(topic)
        yield from self.changed(topic)

    # --- what is sent ---

    def pull(self, now: int, name: str, room: int) -> list[Outgoing]:
        """What the subscriber is sent next, some `room` bytes of it (at least one message, if there is any)."""
        subscriber, out, taken = self.subscribers[name], [], 0
        if now >= subscriber.heartbeat_at and not subscriber.parts:
            subscriber.heartbeat_at = now + HEARTBEAT_EVERY
            out.append(Outgoing(Heartbeat(subscriber.sent.value)))
        waiting: list[str] = []  # snapshots for which the budget has no bytes now
        while taken < room:
            if subscriber.parts:
                outgoing = subscriber.parts.popleft()
                out.append(outgoing)
                taken += len(outgoing.payload)
            elif subscriber.dirty:
                topic = next(iter(subscriber.dirty))
                del subscriber.dirty[topic]
                if not self._begin(now, subscriber, topic):
                    waiting.append(topic)
            else:
                break
        for topic in waiting:
            subscriber.dirty[topic] = None
        return out

    def _begin(self, now: int, subscriber: _Subscriber, topic: str) -> bool:
        """Puts what a topic needs into the subscriber's parts; False where the budget does not allow it yet."""
        live = topic not in self._not_live
        if live == (topic in subscriber.not_live):
            (subscriber.not_live.discard if live else subscriber.not_live.add)(topic)
            subscriber.parts.append(Outgoing(TopicLive(topic, live)))
        held, state = subscriber.sent.get(topic), self.topics.get(topic)
        if held is None or state is None:
            return True
        updates = self._updates(state, held)
        if not updates:
            return True
        if isinstance(updates[0].message, Snapshot):
            size = sum(len(outgoing.payload) for outgoing in updates)
            if not self._bucket.take(now, size):
                return False
            self.snapshot_bytes += size
        subscriber.sent.set(topic, state.version)
        subscriber.parts.extend(updates)
        return True

    def _updates(self, state: Topic, held: Version) -> list[Outgoing]:
        """The topic's messages for those who hold a version, encoded once while the present version stands."""
        encoded = self._encoded.get(state.name)
        if encoded is None or encoded.version != state.version:
            encoded = self._encoded[state.name] = _Encoded(state.version)
        if held not in encoded.updates:
            encoded.updates[held] = [Outgoing(message) for message in state.updates_since(held)]
        return encoded.updates[held]

    # --- time ---

    def due_at(self, now: int, name: str) -> int:
        """When to pull next for a subscriber whose connection has room."""
        subscriber = self.subscribers[name]
        if subscriber.parts:
            return now
        if subscriber.dirty:  # they wait for the budget
            return min(subscriber.heartbeat_at, max(now + 10_000, self._bucket.ready_at(now, 1.0)))
        return subscriber.heartbeat_at

    def forget(self, topic: str) -> None:
        """The topic is not kept any more."""
        self._encoded.pop(topic, None)
        self._not_live.discard(topic)
