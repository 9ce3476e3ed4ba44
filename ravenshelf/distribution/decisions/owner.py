"""A controller: publishes the topics of the services that it owns, and holds those that it may have to take over."""

import random
from collections.abc import Callable, Mapping, Sequence

from ravenshelf.distribution.decisions.claims import (
    claims_topic,
    published_topic,
    published_topics,
    read_published,
    service_claim,
    service_of,
)
from ravenshelf.distribution.decisions.client import Action, SubscriptionClient, TopicChanged
from ravenshelf.distribution.decisions.distributor import Distributor, DistributorLimits
from ravenshelf.distribution.decisions.ownership import Tenure, shard_of_service
from ravenshelf.distribution.decisions.publication import Publication
from ravenshelf.distribution.decisions.relay import Effects
from ravenshelf.distribution.decisions.topics import Topic
from ravenshelf.distribution.messages import Entry, Message, Resync, Subscribe, Unsubscribe

Content = Callable[
    [str], Mapping[str, Entry] | None
]  # what a topic of an owned service says; None: not known yet


class Owner:
    """One of the controllers. `content` gives the state of a topic, from the service's planner or configuration."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        shards: int,
        content: Content,
        others: Sequence[str],
        chance: random.Random,
        now: int,
        limits: DistributorLimits = DistributorLimits(),
    ):
        """`incarnation` rises with each start of this controller: it is the epoch of its claims. `others` are the other
        controllers, of which it follows shards as a replica."""
        self.name, self.shards, self.content = name, shards, content
        self.topics: dict[str, Topic] = {}
        self.distributor = Distributor(self.topics, limits)
        self.publications: dict[str, Publication] = {}
        self.tenures: dict[str, Tenure] = {}  # by service
        self.followed: dict[int, str] = {}  # shards it is a replica of, and the owner that it follows
        self.clients = {other: SubscriptionClient([other], self.topics, chance, now) for other in others}
        self._due: dict[str, int] = {}  # topics with something pending, and since when it may leave
        self._epochs: dict[int, int] = {}  # of the shards that are owned
        self._publish_as(claims_topic(name), incarnation)
        self._note_due(claims_topic(name))

    # --- services come and go ---

    def acquire(self, now: int, service: str, tenure: Tenure) -> None:
        """The lease of the service's shard was granted: its topics go on from what this controller held as a replica."""
        shard = shard_of_service(service, self.shards)
        self.tenures[service] = tenure
        if self._epochs.get(shard) != tenure.epoch:
            self._epochs[shard] = tenure.epoch
            self.unfollow(shard)
            if self._publish_as(published_topics(shard), tenure.epoch):
                self._note_due(published_topics(shard))
        self._put(now, claims_topic(self.name), *service_claim(service, tenure.epoch))
        known = {**self.topics, **self.distributor.interested}  # some subscribe before the lease is granted
        for topic in [topic for topic in known if service_of(topic) == service]:
            self._publish(now, topic, tenure)

    def claim(self, now: int, service: str, claimed: bool) -> None:
        """Whether this controller says that it owns a service of its own: not while its lease can't be renewed, so that
        pilots hear that nobody decides."""
        key, entry = service_claim(service, self.tenures[service].epoch)
        self._put(now, claims_topic(self.name), key, entry if claimed else None)

    def _publish(self, now: int, topic: str, tenure: Tenure) -> None:
        if self._publish_as(topic, tenure.epoch):
            self.refresh(now, topic)
            shard = shard_of_service(service_of(topic), self.shards)
            self._put(now, published_topics(shard), *published_topic(topic))

    def _publish_as(self, topic: str, epoch: int) -> bool:
        """Begins to publish a topic; False where a later epoch has been seen already."""
        state = self.topics.setdefault(topic, Topic(topic))
        if state.version.epoch >= epoch:
            return False
        self.publications[topic] = Publication(state, epoch)
        return True

    def _put(self, now: int, topic: str, key: str, entry: Entry | None) -> None:
        publication = self.publications.get(topic)
        if publication is not None:
            publication.put(now, key, entry)
            self._note_due(topic)

    def _note_due(self, topic: str) -> None:
        due_at = self.publications[topic].due_at
        if due_at is not None:
            self._due[topic] = due_at

    def release(self, now: int, service: str) -> None:
        """The lease has ended or was given up."""
        self.tenures.pop(service, None)
        self._put(now, claims_topic(self.name), service_claim(service, 0)[0], None)
        shard = shard_of_service(service, self.shards)
        if self._epochs.pop(shard, None) is not None:
            self._withdraw(published_topics(shard))
        for topic in [topic for topic in self.publications if service_of(topic) == service]:
            self._withdraw(topic)

    def _withdraw(self, topic: str) -> None:
        self.publications.pop(topic, None)
        self._due.pop(topic, None)

    # --- what is published ---

    def refresh(self, now: int, topic: str) -> None:
        """The topic's content may have changed. Nothing is published before there is any: subscribers keep what they had
        of the owner before."""
        publication = self.publications.get(topic)
        content = self.content(topic) if publication is not None else None
        if content is not None:
            publication.put_all(now, content)
            self._note_due(topic)

    def due_at(self, now: int) -> int | None:
        """When `publish` has something to do; None while nothing is pending that may be published."""
        return min((at for topic, at in self._due.items() if self._may_publish(now, topic)), default=None)

    def publish(self, now: int) -> tuple[list[str], list[str]]:
        """Publishes what is due and may be; gives those topics, and the subscribers that have something to pull."""
        topics = [topic for topic, at in self._due.items() if at <= now and self._may_publish(now, topic)]
        to_pull: list[str] = []
        for topic in topics:
            del self._due[topic]
            self.publications[topic].flush()
            to_pull += self.distributor.changed(topic)
        return topics, to_pull

    def _may_publish(self, now: int, topic: str) -> bool:
        service = service_of(topic)
        if not service:  # what it says of itself: read by epochs, so that an older one does no harm
            return True
        tenure = self.tenures.get(service)
        return tenure is not None and tenure.may_publish(now)

    # --- subscribers ---

    def subscriber_said(self, now: int, name: str, message: Subscribe | Unsubscribe | Resync) -> None:
        """Takes a subscriber's message; a topic of an owned service is published from its first subscriber on."""
        for topic in self.distributor.receive(name, message):
            tenure = self.tenures.get(service_of(topic))
            if tenure is not None and topic in self.distributor.interested and topic not in self.publications:
                self._publish(now, topic, tenure)

    def subscriber_lost(self, now: int, name: str) -> None:
        """A subscriber's connection has ended."""
        self.distributor.lost(name)

    # --- the other controllers ---

    def upstream_said(self, now: int, other: str, message: Message) -> Effects:
        """Takes what another controller publishes."""
        effects = Effects()
        for action in self.clients[other].receive(now, message):
            if isinstance(action, TopicChanged):
                effects.to_pull += self.distributor.changed(action.topic)
                effects.actions += self._replicate(other, action.topic)
            else:
                effects.actions.append((other, action))
        return effects

    def follow(self, shard: int, other: str) -> list[tuple[str, Action]]:
        """This controller is a replica of a shard that another owns."""
        if self.followed.get(shard) == other or shard in self._epochs:
            return []
        actions = self.unfollow(shard)
        self.followed[shard] = other
        actions += [(other, action) for action in self.clients[other].want(published_topics(shard))]
        return actions + self._replicate(other, published_topics(shard))

    def unfollow(self, shard: int) -> list[tuple[str, Action]]:
        """It is no replica of the shard any more, or of another owner's."""
        other = self.followed.pop(shard, None)
        if other is None:
            return []
        client = self.clients[other]
        topics = [published_topics(shard), *read_published(self.topics[published_topics(shard)].entries)]
        return [(other, action) for topic in topics for action in client.unwant(topic)]

    def _replicate(self, other: str, topic: str) -> list[tuple[str, Action]]:
        """Subscribes to what the owner of a followed shard has begun to publish."""
        client = self.clients[other]
        return [
            (other, action)
            for published in read_published(self.topics[topic].entries)
            if published not in self.publications
            for action in client.want(published)
        ]
