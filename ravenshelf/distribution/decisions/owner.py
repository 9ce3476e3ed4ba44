"""A controller: publishes the topics of the services that it owns, and holds those that it may have to take over."""
import random
from typing import Callable, Iterable, Mapping, Sequence

from ravenshelf.distribution.decisions.claims import (
    claims_topic, published_topic, read_published, service_claim, service_of)
from ravenshelf.distribution.decisions.client import Action, SubscriptionClient, TopicChanged
from ravenshelf.distribution.decisions.distributor import Distributor, DistributorLimits
from ravenshelf.distribution.decisions.ownership import Tenure
from ravenshelf.distribution.decisions.publication import Publication
from ravenshelf.distribution.decisions.relay import Effects
from ravenshelf.distribution.decisions.topics import Topic
from ravenshelf.distribution.messages import Entry, Message, Resync, Subscribe, Unsubscribe

Content = Callable[[str], Mapping[str, Entry]]      # what a topic of an owned service says now


class Owner:
    """One of the controllers. `content` gives the state of a topic, from the service's planner or configuration."""

    def __init__(self, name: str, incarnation: int, content: Content, others: Sequence[str], chance: random.Random,
                 now: int, limits: DistributorLimits = DistributorLimits()):
        """`incarnation` rises with each start of this controller: it is the epoch of its claims. `others` are the other
        controllers, which it follows as a replica."""
        self.name, self.content = name, content
        self.topics: dict[str, Topic] = {}
        self.distributor = Distributor(self.topics, limits)
        self.publications: dict[str, Publication] = {}
        self.tenures: dict[str, Tenure] = {}            # by service
        self.standby: set[str] = set()                  # services that it may have to take over
        self.clients = {other: SubscriptionClient([other], self.topics, chance, now) for other in others}
        for other, client in self.clients.items():
            client.want(claims_topic(other))
        self._due: dict[str, int] = {}                  # topics with something pending, and since when it may leave
        self._own_claims = claims_topic(name)
        self.topics[self._own_claims] = Topic(self._own_claims)
        self.publications[self._own_claims] = Publication(self.topics[self._own_claims], incarnation)
        self._put_claim(now, "", None)

    # --- services come and go ---

    def acquire(self, now: int, service: str, tenure: Tenure) -> None:
        """The lease of the service's shard was granted: its topics go on from what this controller held as a replica."""
        self.tenures[service] = tenure
        self._put_claim(now, *service_claim(service, tenure.epoch))
        known = {**self.topics, **self.distributor.interested}      # some subscribe before the lease is granted
        for topic in [topic for topic in known if service_of(topic) == service]:
            self._publish(now, topic, tenure)

    def _put_claim(self, now: int, key: str, entry: Entry | None) -> None:
        self.publications[self._own_claims].put(now, key, entry)
        self._note_due(self._own_claims)

    def _note_due(self, topic: str) -> None:
        due_at = self.publications[topic].due_at
        if due_at is not None:
            self._due[topic] = due_at

    def _publish(self, now: int, topic: str, tenure: Tenure) -> None:
        for client in self.clients.values():        # it is the source now, not a replica
            client.unwant(topic)
        state = self.topics.setdefault(topic, Topic(topic))
        if state.version.epoch < tenure.epoch:
            self.publications[topic] = Publication(state, tenure.epoch)
            self.refresh(now, topic)
            self._put_claim(now, *published_topic(topic))

    def release(self, now: int, service: str) -> None:
        """The lease has ended or was given up."""
        self.tenures.pop(service, None)
        self._put_claim(now, service_claim(service, 0)[0], None)
        for topic in [topic for topic in self.publications if service_of(topic) == service]:
            del self.publications[topic]
            self._due.pop(topic, None)
            self._put_claim(now, published_topic(topic)[0], None)

    # --- what is published ---

    def refresh(self, now: int, topic: str) -> None:
        """The topic's content may have changed."""
        publication = self.publications.get(topic)
        if publication is not None:
            publication.put_all(now, self.content(topic))
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
        if topic == self._own_claims:
            return True
        tenure = self.tenures.get(service_of(topic))
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
                if action.topic == claims_topic(other):
                    effects.actions += self._follow(other)
            else:
                effects.actions.append((other, action))
        return effects

    def stand_by(self, services: Iterable[str]) -> Effects:
        """The services for which this controller is a replica now."""
        self.standby = set(services)
        return Effects([follow for other in self.clients for follow in self._follow(other)])

    def _follow(self, other: str) -> list[tuple[str, Action]]:
        """Subscribes to the topics of the other's that this controller may have to take over."""
        published = self.topics[claims_topic(other)].entries
        wanted = dict.fromkeys(topic for topic in read_published(published)
                               if service_of(topic) in self.standby and topic not in self.publications)
        client, actions = self.clients[other], []
        for topic in [topic for topic in client.held.versions() if topic != claims_topic(other)]:
            if topic not in wanted:
                actions += client.unwant(topic)
        for topic in wanted:
            actions += client.want(topic)
        return [(other, action) for action in actions]
