"""A controller's publishing side as part of a process: its subscribers, and the owners whose shards it
replicates."""

import random
from collections.abc import Callable

from ravenshelf.distribution.decisions.distributor import DistributorLimits
from ravenshelf.distribution.decisions.ownership import PublicationLease
from ravenshelf.distribution.decisions.service_owner import ContentProvider, ServiceOwner
from ravenshelf.distribution.messages import Message, Resync, Subscribe, Unsubscribe, ZoneLoadReport
from ravenshelf.distribution.node import Node
from ravenshelf.distribution.serving import MAX_TICK_INTERVAL, DistributionService


def _ignore_report(_report: ZoneLoadReport) -> None:
    pass


class OwnerService(DistributionService):
    """Runs a `ServiceOwner` on sockets. The caller reports changes of leases and of shards to replicate."""

    def __init__(
        self,
        node: Node,
        incarnation: int,
        shards: int,
        content: ContentProvider,
        random_source: random.Random,
        limits: DistributorLimits = DistributorLimits(),
        report_received: Callable[[ZoneLoadReport], None] = _ignore_report,
    ):
        """`node`: its parents are the other controllers; `report_received`: called with each load report; the
        rest as `ServiceOwner` takes it."""
        self.report_received = report_received
        self.owner = ServiceOwner(
            node.name,
            incarnation,
            shards,
            content,
            list(node.parent_addresses),
            random_source,
            node.clock(),
            limits,
        )
        super().__init__(node, self.owner.clients, self.owner.distributor)

    # --- leases ---

    def acquire(self, service: str, lease: PublicationLease) -> None:
        """A service's lease was granted."""
        self.owner.acquire(self.clock(), service, lease)
        self.publish()

    def set_claimed(self, service: str, claimed: bool) -> None:
        """Claim an owned service, or withdraw the claim."""
        self.owner.set_claimed(self.clock(), service, claimed)
        self.publish()

    def release(self, service: str) -> None:
        """A service's lease has expired or was released."""
        self.owner.release(self.clock(), service)
        self.publish()

    def follow_shard(self, shard: int, other: str) -> None:
        """Replicate a shard from the controller that owns it."""
        self.upstreams.perform(self.owner.follow_shard(shard, other))

    def unfollow_shard(self, shard: int) -> None:
        """Stop replicating a shard."""
        self.upstreams.perform(self.owner.unfollow_shard(shard))

    def refresh(self, topic: str) -> None:
        """The topic's content may have changed."""
        self.owner.refresh(self.clock(), topic)
        self.publish()

    # --- time ---

    def tick(self) -> None:
        """Dial the other controllers, and publish what is due."""
        now = self.clock()
        for name, client in self.clients.items():
            actions = client.tick(now)
            self.upstreams.perform((name, action) for action in actions)
        self.publish()

    def publish(self) -> None:
        """Publish what is due; called after the decisions of a control cycle."""
        now = self.clock()
        _, pending_subscribers = self.owner.publish(now)
        self.subscribers.send_pending(pending_subscribers)
        deadlines = [client.due_at() for client in self.clients.values()]
        publication_due_at = self.owner.due_at(now)
        if publication_due_at is not None:
            deadlines.append(publication_due_at)
        self.schedule_tick(min(deadlines, default=now + MAX_TICK_INTERVAL))

    # --- other controllers ---

    def upstream_connected(self, upstream: str) -> None:
        """A dial has succeeded."""
        actions = self.clients[upstream].connection_opened(self.clock())
        self.upstreams.perform((upstream, action) for action in actions)

    def upstream_message_received(self, upstream: str, message: Message) -> None:
        """Another controller has sent a message."""
        self.execute(self.owner.upstream_message_received(self.clock(), upstream, message))

    # --- subscribers ---

    def subscriber_message_received(self, name: str, message: Subscribe | Unsubscribe | Resync) -> None:
        """A subscriber has changed its subscriptions."""
        self.owner.subscriber_message_received(self.clock(), name, message)
        self.publish()

    def load_report_received(self, report: ZoneLoadReport) -> None:
        """A subscriber has reported load."""
        self.report_received(report)

    def subscriber_lost(self, name: str) -> None:
        """A subscriber's connection has ended."""
        self.owner.subscriber_lost(name)
