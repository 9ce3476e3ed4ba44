"""A service owner: publishes its services' topics, and replicates those that it may have to take over."""

import random
from collections.abc import Callable, Mapping, Sequence

from ravenshelf.distribution.decisions.claims import (
    claim_entry,
    claims_topic,
    publication_entry,
    publication_list_topic,
    read_published_topics,
    service_of_topic,
)
from ravenshelf.distribution.decisions.client import Action, SubscriptionClient, TopicChanged
from ravenshelf.distribution.decisions.distributor import Distributor, DistributorLimits
from ravenshelf.distribution.decisions.ownership import PublicationLease, shard_of_service
from ravenshelf.distribution.decisions.publication import Publication
from ravenshelf.distribution.decisions.relay import NodeActions
from ravenshelf.distribution.decisions.topics import Topic
from ravenshelf.distribution.messages import Entry, Message, Resync, Subscribe, Unsubscribe

# returns the present state of a topic of an owned service; None: not known yet
ContentProvider = Callable[[str], Mapping[str, Entry] | None]


class ServiceOwner:
    """The publishing side of one controller, without I/O."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        shards: int,
        content: ContentProvider,
        others: Sequence[str],
        random_source: random.Random,
        now: int,
        limits: DistributorLimits = DistributorLimits(),
    ):
        """`incarnation`: rises with each start of this controller; it is the epoch of its claims. `others`:
        the names of the other controllers, whose shards it may replicate."""
        self.name = name
        self.shards = shards
        self.content = content
        self.topics: dict[str, Topic] = {}
        self.distributor = Distributor(self.topics, limits)
        self.publications: dict[str, Publication] = {}
        self.owned_services: dict[str, PublicationLease] = {}
        self.followed_shards: dict[
            int, str
        ] = {}  # replicated shards, and the owner that each is replicated from
        self.clients = {
            other: SubscriptionClient([other], self.topics, random_source, now) for other in others
        }
        self._flush_at: dict[str, int] = {}  # by topic with pending changes
        self._epochs: dict[int, int] = {}  # of the owned shards
        self._begin_publication(claims_topic(name), incarnation)
        self._schedule_flush(claims_topic(name))

    # --- leases ---

    def acquire(self, now: int, service: str, lease: PublicationLease) -> None:
        """The lease of the service's shard was granted: publish its topics, starting from the replicated
        state."""
        shard = shard_of_service(service, self.shards)
        self.owned_services[service] = lease
        if self._epochs.get(shard) != lease.epoch:
            self._epochs[shard] = lease.epoch
            self.unfollow_shard(shard)
            if self._begin_publication(publication_list_topic(shard), lease.epoch):
                self._schedule_flush(publication_list_topic(shard))
        self._put(now, claims_topic(self.name), *claim_entry(service, lease.epoch))
        known = {
            **self.topics,
            **self.distributor.subscriptions,
        }  # some subscribe before the lease is granted
        for topic in [topic for topic in known if service_of_topic(topic) == service]:
            self._publish_topic(now, topic, lease)

    def set_claimed(self, now: int, service: str, claimed: bool) -> None:
        """Claim an owned service, or withdraw the claim while its lease can't be renewed.

        Without a claim, servers learn that the service has no owner.
        """
        key, entry = claim_entry(service, self.owned_services[service].epoch)
        self._put(now, claims_topic(self.name), key, entry if claimed else None)

    def release(self, now: int, service: str) -> None:
        """The lease has expired or was released."""
        self.owned_services.pop(service, None)
        claim_key, _ = claim_entry(service, 0)
        self._put(now, claims_topic(self.name), claim_key, None)
        shard = shard_of_service(service, self.shards)
        if self._epochs.pop(shard, None) is not None:
            self._end_publication(publication_list_topic(shard))
        for topic in [topic for topic in self.publications if service_of_topic(topic) == service]:
            self._end_publication(topic)

    # --- publication ---

    def _publish_topic(self, now: int, topic: str, lease: PublicationLease) -> None:
        if self._begin_publication(topic, lease.epoch):
            self.refresh(now, topic)
            shard = shard_of_service(service_of_topic(topic), self.shards)
            self._put(now, publication_list_topic(shard), *publication_entry(topic))

    def _begin_publication(self, topic: str, epoch: int) -> bool:
        """Begin to publish a topic; return False if its epoch or a later one is known already."""
        state = self.topics.setdefault(topic, Topic(topic))
        if state.version.epoch >= epoch:
            return False
        self.publications[topic] = Publication(state, epoch)
        return True

    def _end_publication(self, topic: str) -> None:
        self.publications.pop(topic, None)
        self._flush_at.pop(topic, None)

    def _put(self, now: int, topic: str, key: str, entry: Entry | None) -> None:
        publication = self.publications.get(topic)
        if publication is not None:
            publication.put(now, key, entry)
            self._schedule_flush(topic)

    def _schedule_flush(self, topic: str) -> None:
        due_at = self.publications[topic].due_at
        if due_at is not None:
            self._flush_at[topic] = due_at

    def refresh(self, now: int, topic: str) -> None:
        """The topic's content may have changed.

        Nothing is published before there is content: until then subscribers keep the previous owner's state.
        """
        publication = self.publications.get(topic)
        if publication is None:
            return
        content = self.content(topic)
        if content is not None:
            publication.replace_entries(now, content)
            self._schedule_flush(topic)

    def due_at(self, now: int) -> int | None:
        """Return the time at which `publish` has something to do; None while nothing may be published."""
        return min(
            (at for topic, at in self._flush_at.items() if self._may_publish(now, topic)), default=None
        )

    def publish(self, now: int) -> tuple[list[str], list[str]]:
        """Flush all topics that are due and permitted; return these, and the subscribers that have something
        to pull."""
        topics = [
            topic for topic, at in self._flush_at.items() if at <= now and self._may_publish(now, topic)
        ]
        pending_subscribers: list[str] = []
        for topic in topics:
            del self._flush_at[topic]
            self.publications[topic].flush()
            pending_subscribers += self.distributor.topic_changed(topic)
        return topics, pending_subscribers

    def _may_publish(self, now: int, topic: str) -> bool:
        service = service_of_topic(topic)
        if (
            not service
        ):  # a topic about this controller: its readers compare epochs, so an old one does no harm
            return True
        lease = self.owned_services.get(service)
        return lease is not None and lease.may_publish(now)

    # --- subscribers ---

    def subscriber_message_received(
        self, now: int, name: str, message: Subscribe | Unsubscribe | Resync
    ) -> None:
        """Handle a subscriber's message; a topic of an owned service is published from its first subscriber
        on."""
        for topic in self.distributor.receive(name, message):
            lease = self.owned_services.get(service_of_topic(topic))
            is_subscribed = topic in self.distributor.subscriptions
            if lease is not None and is_subscribed and topic not in self.publications:
                self._publish_topic(now, topic, lease)

    def subscriber_lost(self, name: str) -> None:
        """A subscriber's connection has ended."""
        self.distributor.remove_subscriber(name)

    # --- other controllers ---

    def upstream_message_received(self, now: int, other: str, message: Message) -> NodeActions:
        """Handle a message of another controller."""
        actions = NodeActions()
        for action in self.clients[other].receive(now, message):
            if isinstance(action, TopicChanged):
                actions.pending_subscribers += self.distributor.topic_changed(action.topic)
                actions.upstream_actions += self._replicate(other, action.topic)
            else:
                actions.upstream_actions.append((other, action))
        return actions

    def follow_shard(self, shard: int, other: str) -> list[tuple[str, Action]]:
        """Replicate a shard from the controller that owns it."""
        if self.followed_shards.get(shard) == other or shard in self._epochs:
            return []
        actions = self.unfollow_shard(shard)
        self.followed_shards[shard] = other
        actions += [
            (other, action) for action in self.clients[other].subscribe(publication_list_topic(shard))
        ]
        return actions + self._replicate(other, publication_list_topic(shard))

    def unfollow_shard(self, shard: int) -> list[tuple[str, Action]]:
        """Stop replicating a shard."""
        other = self.followed_shards.pop(shard, None)
        if other is None:
            return []
        client = self.clients[other]
        topics = [
            publication_list_topic(shard),
            *read_published_topics(self.topics[publication_list_topic(shard)].entries),
        ]
        return [(other, action) for topic in topics for action in client.unsubscribe(topic)]

    def _replicate(self, other: str, topic: str) -> list[tuple[str, Action]]:
        """Subscribe to the topics that the owner of a followed shard publishes."""
        client = self.clients[other]
        return [
            (other, action)
            for published in read_published_topics(self.topics[topic].entries)
            if published not in self.publications
            for action in client.subscribe(published)
        ]
