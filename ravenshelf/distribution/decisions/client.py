"""The subscribing side of a pilot, relay or replica: which parent to dial, what to ask for, what to do on a gap."""

import random
from collections.abc import MutableMapping, Sequence
from dataclasses import dataclass
from enum import Enum

from ravenshelf.distribution.decisions.backoff import SECOND, Backoff
from ravenshelf.distribution.decisions.digests import Digest
from ravenshelf.distribution.decisions.topics import Outcome, Topic
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

SILENCE = 3 * SECOND  # without a heartbeat for so long the parent counts as lost
DIAL_TIMEOUT = 3 * SECOND
DIFFERENCES_MOST = 2  # heartbeats in a row with another digest; one may have crossed a subscription
REHOME_AFTER = (60 * SECOND, 180 * SECOND)  # from connecting to another parent until the preferred is tried


class State(Enum):
    """Of the connection to a parent."""

    WAITING = "waiting"
    DIALLING = "dialling"
    CONNECTED = "connected"


@dataclass(frozen=True)
class Dial:
    """Connect to this parent, then call `connected` or `lost`."""

    parent: str


@dataclass(frozen=True)
class HangUp:
    """Close the connection, or give up the dial; `lost` has been counted already."""


@dataclass(frozen=True)
class Send:
    """Send this on the connection."""

    message: Message


@dataclass(frozen=True)
class TopicChanged:
    """A topic has a new version."""

    topic: str


@dataclass(frozen=True)
class LivenessChanged:
    """The parent says whether a topic's owner can be reached."""

    topic: str
    live: bool


Action = Dial | HangUp | Send | TopicChanged | LivenessChanged


class SubscriptionClient:
    """Keeps `topics` up to date from one of several parents, the preferred one first."""

    def __init__(
        self,
        parents: Sequence[str],
        topics: MutableMapping[str, Topic],
        chance: random.Random,
        started: int = 0,
    ):
        if not parents:
            raise ValueError("expected at least one parent")
        self.parents, self.topics, self.chance = list(parents), topics, chance
        self.state, self.place = State.WAITING, 0
        self.held = Digest()  # the topics that are wanted, and the versions held
        self.backoff = Backoff(chance)
        self.outcomes: dict[Outcome, int] = dict.fromkeys(Outcome, 0)
        self.resyncs = 0
        self.disconnected_since: int | None = started
        self._act_at = started  # when to dial, give up a dial, or count the parent as silent
        self._rehome_at: int | None = None
        self._asked_again: set[str] = set()
        self._differences = 0

    @property
    def parent(self) -> str:
        """The parent that is connected or dialled, or dialled next."""
        return self.parents[self.place]

    # --- what is wanted ---

    def want(self, topic: str) -> list[Action]:
        """Subscribes to a topic."""
        if topic in self.held:
            return []
        state = self.topics.setdefault(topic, Topic(topic))
        self.held.set(topic, state.version)
        return self._send(Subscribe(topic, state.version))

    def unwant(self, topic: str) -> list[Action]:
        """Subscribes to a topic no more. Its state stays with the caller."""
        if topic not in self.held:
            return []
        self.held.remove(topic)
        self._asked_again.discard(topic)
        return self._send(Unsubscribe(topic))

    def _send(self, message: Message) -> list[Action]:
        return [Send(message)] if self.state is State.CONNECTED else []

    # --- the connection ---

    def connected(self, now: int) -> list[Action]:
        """The dial has come off: tells all that is wanted, with the versions held."""
        self.state, self.disconnected_since = State.CONNECTED, None
        self._act_at = now + SILENCE
        self._rehome_at = now + self.chance.randint(*REHOME_AFTER) if self.place else None
        self._asked_again.clear()
        self._differences = 0
        return [Send(Subscribe(topic, version)) for topic, version in self.held.versions().items()]

    def lost(self, now: int) -> list[Action]:
        """The connection has ended, or the dial has failed: the next parent is dialled after a while."""
        if self.state is State.CONNECTED:
            self.disconnected_since = now
        for topic in self.held.versions():
            self.topics[topic].drop_partial()
        self.state = State.WAITING
        self.place = (self.place + 1) % len(self.parents)
        self._act_at = now + self.backoff.wait()
        return []

    def due_at(self) -> int:
        """When `tick` has something to do."""
        if self.state is State.CONNECTED and self._rehome_at is not None:
            return min(self._act_at, self._rehome_at)
        return self._act_at

    def tick(self, now: int) -> list[Action]:
        """Dials, or gives up what has been silent for too long."""
        if now < self.due_at():
            return []
        if self.state is State.WAITING:
            self.state, self._act_at = State.DIALLING, now + DIAL_TIMEOUT
            return [Dial(self.parent)]
        rehoming = self.state is State.CONNECTED and now < self._act_at
        self.lost(now)
        if rehoming:
            self.place, self._act_at = 0, now
        return [HangUp(), *self.tick(now)]

    # --- what the parent says ---

    def receive(self, now: int, message: Message) -> list[Action]:
        """Takes a message of the connected parent."""
        self._act_at = now + SILENCE
        if isinstance(message, Snapshot | Delta):
            return self._take(message)
        if isinstance(message, Heartbeat):
            self.backoff.reset()  # a parent that ends connections at once is no parent yet
            return self._compare(message)
        if isinstance(message, TopicLive):
            return [LivenessChanged(message.topic, message.live)]
        return []

    def _take(self, message: Snapshot | Delta) -> list[Action]:
        topic = message.topic
        if topic not in self.held:
            return []
        outcome = self.topics[topic].receive(message)
        self.outcomes[outcome] += 1
        if outcome is Outcome.APPLIED:
            self.held.set(topic, self.topics[topic].version)
            self._asked_again.discard(topic)
            return [TopicChanged(topic)]
        if outcome is Outcome.GAP and topic not in self._asked_again:
            self._asked_again.add(topic)
            self.resyncs += 1
            return [Send(Subscribe(topic, self.topics[topic].version))]
        return []

    def _compare(self, heartbeat: Heartbeat) -> list[Action]:
        """Finds what was lost though nothing came after it."""
        if heartbeat.digest == self.held.value:
            self._differences = 0
            return []
        self._differences += 1
        if self._differences < DIFFERENCES_MOST:
            return []
        self._differences = 0
        self.resyncs += 1
        return [Send(Resync(self.held.versions()))]
