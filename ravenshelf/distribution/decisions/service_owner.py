"""A service owner: publishes its services' topics, and replicates topics that it may have to take over."""

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

# Returns the present state of a topic of an owned service, or None before the state is available.
ContentProvider = Callable[[str], Mapping[str, Entry] | None]


class ServiceOwner:
    """Publishing side of one controller, without I/O. Times are in microseconds."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        shards: int,
        content: ContentProvider,
        other_controllers: Sequence[str],
        random_source: random.Random,
        now: int,
        limits: DistributorLimits = DistributorLimits(),
    ):
        """Create an owner without services; the first publication is its empty list of claims.

        Args:
            name: Name of this controller.
            incarnation: Number that rises with each start of this controller. It is the epoch of the topic of
                its claims.
            shards: Number of shards.
            content: Returns the state of a topic to publish.
            other_controllers: Names of the controllers whose shards this one may replicate.
            random_source: Source of the jitter of dials.
            now: The present time.
            limits: Limits of the subscribers.
        """
        self.name = name
        self.shards = shards
        self.content = content
        self.topics: dict[str, Topic] = {}
        self.distributor = Distributor(self.topics, limits)
        self.publications: dict[str, Publication] = {}
        self.owned_services: dict[str, PublicationLease] = {}
        # The name of the owner that each replicated shard is read from, by shard.
        self.followed_shards: dict[int, str] = {}
        self.clients = {
            controller: SubscriptionClient([controller], self.topics, random_source, now)
            for controller in other_controllers
        }
        # The time of the next flush in microseconds, by topic; topics with nothing to flush are left out.
        self._flush_at: dict[str, int] = {}
        self._shard_epochs: dict[int, int] = {}  # The epoch of the shard's lease, by owned shard.
        self._begin_publication(claims_topic(name), incarnation)
        self._schedule_flush(claims_topic(name))

    def acquire(self, now: int, service: str, lease: PublicationLease) -> None:
        """Begin to own a service: claim it and publish its topics, starting from the replicated state.

        Args:
            now: The present time.
            service: A service of the shard for which the lease was granted.
            lease: The granted lease.
        """
        shard = shard_of_service(service, self.shards)
        self.owned_services[service] = lease
        if self._shard_epochs.get(shard) != lease.epoch:
            self._shard_epochs[shard] = lease.epoch
            self.unfollow_shard(shard)
            if self._begin_publication(publication_list_topic(shard), lease.epoch):
                self._schedule_flush(publication_list_topic(shard))
        self._put(now, claims_topic(self.name), *claim_entry(service, lease.epoch))
        # Topics may have subscribers before the lease is granted.
        known_topics = {**self.topics, **self.distributor.subscriptions}
        for topic in [topic for topic in known_topics if service_of_topic(topic) == service]:
            self._publish_topic(now, topic, lease)

    def set_claimed(self, now: int, service: str, is_claimed: bool) -> None:
        """Claim an owned service, or withdraw the claim while its lease can't be renewed.

        When a claim is withdrawn, relays report to servers that the service has no owner.
        """
        key, entry = claim_entry(service, self.owned_services[service].epoch)
        self._put(now, claims_topic(self.name), key, entry if is_claimed else None)

    def release(self, now: int, service: str) -> None:
        """Stop owning a service whose lease has expired or was released."""
        self.owned_services.pop(service, None)
        claim_key, _ = claim_entry(service, 0)
        self._put(now, claims_topic(self.name), claim_key, None)
        shard = shard_of_service(service, self.shards)
        if self._shard_epochs.pop(shard, None) is not None:
            self._end_publication(publication_list_topic(shard))
        for topic in [topic for topic in self.publications if service_of_topic(topic) == service]:
            self._end_publication(topic)

    def _publish_topic(self, now: int, topic: str, lease: PublicationLease) -> None:
        if self._begin_publication(topic, lease.epoch):
            self.refresh(now, topic)
            shard = shard_of_service(service_of_topic(topic), self.shards)
            self._put(now, publication_list_topic(shard), *publication_entry(topic))

    def _begin_publication(self, topic: str, epoch: int) -> bool:
        """Begin to publish a topic; return False if its version is of this epoch or a later one."""
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
        """Compare a topic with its present content, and schedule the publication of changes.

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
            (flush_at for topic, flush_at in self._flush_at.items() if self._may_publish(now, topic)),
            default=None,
        )

    def publish(self, now: int) -> tuple[list[str], list[str]]:
        """Flush all topics that are due and whose lease permits it.

        Returns:
            The flushed topics, and the subscribers that the distributor now has messages for.
        """
        topics = [
            topic
            for topic, flush_at in self._flush_at.items()
            if flush_at <= now and self._may_publish(now, topic)
        ]
        pending_subscribers: list[str] = []
        for topic in topics:
            del self._flush_at[topic]
            self.publications[topic].flush()
            pending_subscribers += self.distributor.topic_changed(topic)
        return topics, pending_subscribers

    def _may_publish(self, now: int, topic: str) -> bool:
        service = service_of_topic(topic)
        # A topic that describes this controller needs no lease: its readers compare epochs, and so ignore
        # outdated content.
        if not service:
            return True
        lease = self.owned_services.get(service)
        return lease is not None and lease.may_publish(now)

    def subscriber_message_received(
        self, now: int, name: str, message: Subscribe | Unsubscribe | Resync
    ) -> None:
        """Handle a message of a subscriber that changes its subscriptions.

        A topic of an owned service is published from its first subscription on.
        """
        for topic in self.distributor.receive(name, message):
            lease = self.owned_services.get(service_of_topic(topic))
            is_subscribed = topic in self.distributor.subscriptions
            if lease is not None and is_subscribed and topic not in self.publications:
                self._publish_topic(now, topic, lease)

    def subscriber_lost(self, name: str) -> None:
        """Handle the end of a subscriber's connection."""
        self.distributor.remove_subscriber(name)

    def upstream_message_received(self, now: int, controller: str, message: Message) -> NodeActions:
        """Handle a message of another controller, from which shards are replicated."""
        actions = NodeActions()
        for action in self.clients[controller].receive(now, message):
            if isinstance(action, TopicChanged):
                actions.pending_subscribers += self.distributor.topic_changed(action.topic)
                actions.upstream_actions += self._replicate(controller, action.topic)
            else:
                actions.upstream_actions.append((controller, action))
        return actions

    def follow_shard(self, shard: int, owner: str) -> list[tuple[str, Action]]:
        """Replicate a shard from the controller that owns it, instead of from a previous owner.

        Returns:
            Actions for the named upstreams; none if the shard is owned here or replicated from this owner.
        """
        if self.followed_shards.get(shard) == owner or shard in self._shard_epochs:
            return []
        actions = self.unfollow_shard(shard)
        self.followed_shards[shard] = owner
        actions += [
            (owner, action) for action in self.clients[owner].subscribe(publication_list_topic(shard))
        ]
        return actions + self._replicate(owner, publication_list_topic(shard))

    def unfollow_shard(self, shard: int) -> list[tuple[str, Action]]:
        """Stop replicating a shard; return the actions for the named upstream."""
        owner = self.followed_shards.pop(shard, None)
        if owner is None:
            return []
        client = self.clients[owner]
        topics = [
            publication_list_topic(shard),
            *read_published_topics(self.topics[publication_list_topic(shard)].entries),
        ]
        return [(owner, action) for topic in topics for action in client.unsubscribe(topic)]

    def _replicate(self, owner: str, topic: str) -> list[tuple[str, Action]]:
        """Subscribe to the topics in an owner's list of published topics, unless they are published here."""
        client = self.clients[owner]
        return [
            (owner, action)
            for published_topic in read_published_topics(self.topics[topic].entries)
            if published_topic not in self.publications
            for action in client.subscribe(published_topic)
        ]
