"""Subscribing side of a server, relay or replica.

It decides which parent to dial, what to request from it, and how to recover from lost messages.
"""

import random
from collections.abc import MutableMapping, Sequence
from dataclasses import dataclass
from enum import Enum

from ravenshelf.distribution.decisions.backoff import Backoff
from ravenshelf.distribution.decisions.digests import Digest
from ravenshelf.distribution.decisions.topics import Topic, UpdateOutcome
from ravenshelf.distribution.messages import (
    Delta,
    Heartbeat,
    Message,
    Resync,
    Snapshot,
    Subscribe,
    TopicLive,
    Unsubscribe,
)
from ravenshelf.time_units import SECOND

SILENCE_TIMEOUT_US = 3 * SECOND  # A parent that sends nothing for this time is regarded as lost.
DIAL_TIMEOUT_US = 3 * SECOND
# The client requests a resync after this number of heartbeats in a row with another digest. A single mismatch
# is no error: the heartbeat may have crossed a subscription in transit.
MAX_DIGEST_MISMATCHES = 2
# The time after which the preferred parent is tried again is drawn from this range.
PREFERRED_PARENT_RETRY_RANGE_US = (60 * SECOND, 180 * SECOND)


class ConnectionState(Enum):
    """State of the connection to a parent."""

    WAITING = "waiting"
    DIALLING = "dialling"
    CONNECTED = "connected"


@dataclass(frozen=True)
class Dial:
    """Action: connect to this parent, then call `connection_opened` or `connection_lost`."""

    parent: str


@dataclass(frozen=True)
class Disconnect:
    """Action: close the connection or cancel the dial, without calling `connection_lost` for it."""


@dataclass(frozen=True)
class Send:
    """Action: send this message on the connection."""

    message: Message


@dataclass(frozen=True)
class TopicChanged:
    """Notification that a topic has a new version."""

    topic: str


@dataclass(frozen=True)
class LivenessChanged:
    """Notification whether the parent can reach a topic's owner."""

    topic: str
    is_live: bool


Action = Dial | Disconnect | Send | TopicChanged | LivenessChanged


class SubscriptionClient:
    """Client that keeps topics up to date from one of several parents.

    The caller performs the returned actions in order. Times are in microseconds.
    """

    def __init__(
        self,
        parents: Sequence[str],
        topics: MutableMapping[str, Topic],
        random_source: random.Random,
        started: int = 0,
    ):
        """Create a client that dials the preferred parent at its first tick.

        Args:
            parents: Names of the parents, the preferred one first.
            topics: Topics by name, shared with the caller.
            random_source: Source of the jitter of dials.
            started: Time of the first dial.

        Raises:
            ValueError: No parents are given.
        """
        if not parents:
            raise ValueError("parents of a subscription client: expected one or more, found none")
        self.parents = list(parents)
        self.topics = topics
        self.random_source = random_source
        self.state = ConnectionState.WAITING
        self.parent_index = 0
        self.held_versions = Digest()  # The versions of the subscribed topics; other topics are not recorded.
        self.backoff = Backoff(random_source)
        self.outcome_counts: dict[UpdateOutcome, int] = dict.fromkeys(UpdateOutcome, 0)
        self.resyncs = 0
        self.disconnected_since: int | None = started
        # Deadline of the present state: the next dial, the end of a dial under way, or the end of the time in
        # which a connected parent must send something.
        self._deadline = started
        self._retry_preferred_at: int | None = None
        self._resync_requested: set[str] = set()
        self._digest_mismatches = 0

    @property
    def parent(self) -> str:
        """Name of the parent that is connected, being dialled, or dialled next."""
        return self.parents[self.parent_index]

    def subscribe(self, topic: str) -> list[Action]:
        """Subscribe to the updates of a topic that follow the local version, unless already subscribed."""
        if topic in self.held_versions:
            return []
        state = self.topics.setdefault(topic, Topic(topic))
        self.held_versions.set(topic, state.version)
        return self._send(Subscribe(topic, state.version))

    def unsubscribe(self, topic: str) -> list[Action]:
        """Cancel a subscription; the topic's state stays in `topics`."""
        if topic not in self.held_versions:
            return []
        self.held_versions.remove(topic)
        self._resync_requested.discard(topic)
        return self._send(Unsubscribe(topic))

    def _send(self, message: Message) -> list[Action]:
        return [Send(message)] if self.state is ConnectionState.CONNECTED else []

    def connection_opened(self, now: int) -> list[Action]:
        """Handle a successful dial: subscribe to all topics, with the versions that are held."""
        self.state = ConnectionState.CONNECTED
        self.disconnected_since = None
        self._deadline = now + SILENCE_TIMEOUT_US
        is_preferred = self.parent_index == 0
        self._retry_preferred_at = (
            None if is_preferred else now + self.random_source.randint(*PREFERRED_PARENT_RETRY_RANGE_US)
        )
        self._resync_requested.clear()
        self._digest_mismatches = 0
        return [Send(Subscribe(topic, version)) for topic, version in self.held_versions.versions().items()]

    def connection_lost(self, now: int) -> list[Action]:
        """Handle the end of a connection or the failure of a dial: dial the next parent after a backoff."""
        if self.state is ConnectionState.CONNECTED:
            self.disconnected_since = now
        for topic in self.held_versions.versions():
            self.topics[topic].discard_partial_snapshot()
        self.state = ConnectionState.WAITING
        self.parent_index = (self.parent_index + 1) % len(self.parents)
        self._deadline = now + self.backoff.next_delay()
        return []

    def due_at(self) -> int:
        """Return the time from which `tick` has actions to return."""
        if self.state is ConnectionState.CONNECTED and self._retry_preferred_at is not None:
            return min(self._deadline, self._retry_preferred_at)
        return self._deadline

    def tick(self, now: int) -> list[Action]:
        """Dial a parent, or leave a parent or a dial that has timed out, as far as it is due.

        A connection to another parent than the preferred one is ended after a time that is drawn from
        PREFERRED_PARENT_RETRY_RANGE_US, and the preferred parent is dialled.
        """
        if now < self.due_at():
            return []
        if self.state is ConnectionState.WAITING:
            self.state = ConnectionState.DIALLING
            self._deadline = now + DIAL_TIMEOUT_US
            return [Dial(self.parent)]
        is_returning = self.state is ConnectionState.CONNECTED and now < self._deadline
        self.connection_lost(now)
        if is_returning:
            self.parent_index = 0
            self._deadline = now
        return [Disconnect(), *self.tick(now)]

    def receive(self, now: int, message: Message) -> list[Action]:
        """Handle a message of the connected parent."""
        self._deadline = now + SILENCE_TIMEOUT_US
        if isinstance(message, Snapshot | Delta):
            return self._apply_update(message)
        if isinstance(message, Heartbeat):
            # The backoff is not reset earlier, as a parent that ends connections at once is not available.
            self.backoff.reset()
            return self._check_digest(message)
        if isinstance(message, TopicLive):
            return [LivenessChanged(message.topic, message.is_live)]
        return []

    def _apply_update(self, message: Snapshot | Delta) -> list[Action]:
        topic = message.topic
        if topic not in self.held_versions:
            return []
        outcome = self.topics[topic].receive(message)
        self.outcome_counts[outcome] += 1
        if outcome is UpdateOutcome.APPLIED:
            self.held_versions.set(topic, self.topics[topic].version)
            self._resync_requested.discard(topic)
            return [TopicChanged(topic)]
        if outcome is UpdateOutcome.GAP and topic not in self._resync_requested:
            self._resync_requested.add(topic)
            self.resyncs += 1
            return [Send(Subscribe(topic, self.topics[topic].version))]
        return []

    def _check_digest(self, heartbeat: Heartbeat) -> list[Action]:
        """Request a resync after MAX_DIGEST_MISMATCHES heartbeats in a row with another digest.

        Such heartbeats show that messages were lost, and that no later message revealed the loss.
        """
        if heartbeat.digest == self.held_versions.value:
            self._digest_mismatches = 0
            return []
        self._digest_mismatches += 1
        if self._digest_mismatches < MAX_DIGEST_MISMATCHES:
            return []
        self._digest_mismatches = 0
        self.resyncs += 1
        return [Send(Resync(self.held_versions.versions()))]
