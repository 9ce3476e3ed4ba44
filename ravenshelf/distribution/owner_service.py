"""Connections of a publishing controller: its subscribers, and the owners whose shards it replicates."""

import random
from collections.abc import Callable

from ravenshelf.distribution.decisions.distributor import DistributorLimits
from ravenshelf.distribution.decisions.ownership import PublicationLease
from ravenshelf.distribution.decisions.service_owner import ContentProvider, ServiceOwner
from ravenshelf.distribution.messages import Message, Resync, Subscribe, Unsubscribe, ZoneLoadReport
from ravenshelf.distribution.node import Node
from ravenshelf.distribution.serving import MAX_TICK_INTERVAL_US, DistributionService


def _ignore_report(_report: ZoneLoadReport) -> None:
    pass


class OwnerService(DistributionService):
    """Service that runs the decisions of a `ServiceOwner` with real sockets.

    The caller reports changes of leases, and changes of the shards to replicate.
    """

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
        """Create a service that does not yet listen.

        Args:
            node: This process, with the other controllers as parents.
            incarnation: Number that rises with each start of this controller.
            shards: Number of shards.
            content: Returns the state of a topic to publish.
            random_source: Source of the jitter of dials.
            limits: Limits of the subscribers.
            report_received: Called with each load report.
        """
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

    def acquire(self, service: str, lease: PublicationLease) -> None:
        """Begin to own a service whose lease was granted, and publish what is due."""
        self.owner.acquire(self.clock(), service, lease)
        self.publish()

    def set_claimed(self, service: str, is_claimed: bool) -> None:
        """Claim an owned service, or withdraw the claim, and publish what is due."""
        self.owner.set_claimed(self.clock(), service, is_claimed)
        self.publish()

    def release(self, service: str) -> None:
        """Stop owning a service whose lease has expired or was released, and publish what is due."""
        self.owner.release(self.clock(), service)
        self.publish()

    def follow_shard(self, shard: int, owner_name: str) -> None:
        """Replicate a shard from the controller that owns it."""
        self.upstreams.perform(self.owner.follow_shard(shard, owner_name))

    def unfollow_shard(self, shard: int) -> None:
        """Stop replicating a shard."""
        self.upstreams.perform(self.owner.unfollow_shard(shard))

    def refresh(self, topic: str) -> None:
        """Compare a topic with its present content, and publish what is due."""
        self.owner.refresh(self.clock(), topic)
        self.publish()

    def tick(self) -> None:
        """Dial the other controllers, and publish what is due."""
        now = self.clock()
        for name, client in self.clients.items():
            actions = client.tick(now)
            self.upstreams.perform((name, action) for action in actions)
        self.publish()

    def publish(self) -> None:
        """Publish what is due and schedule the next tick; called after the decisions of a control cycle."""
        now = self.clock()
        _, pending_subscribers = self.owner.publish(now)
        self.subscribers.send_pending(pending_subscribers)
        deadlines = [client.due_at() for client in self.clients.values()]
        publication_due_at = self.owner.due_at(now)
        if publication_due_at is not None:
            deadlines.append(publication_due_at)
        self.schedule_tick(min(deadlines, default=now + MAX_TICK_INTERVAL_US))

    def upstream_connected(self, upstream: str) -> None:
        """Handle a successful dial of another controller."""
        actions = self.clients[upstream].connection_opened(self.clock())
        self.upstreams.perform((upstream, action) for action in actions)

    def upstream_message_received(self, upstream: str, message: Message) -> None:
        """Handle a message of another controller."""
        self.execute(self.owner.upstream_message_received(self.clock(), upstream, message))

    def subscriber_message_received(self, name: str, message: Subscribe | Unsubscribe | Resync) -> None:
        """Handle a message of a subscriber that changes its subscriptions."""
        self.owner.subscriber_message_received(self.clock(), name, message)
        self.publish()

    def load_report_received(self, report: ZoneLoadReport) -> None:
        """Pass a subscriber's load report to the callback."""
        self.report_received(report)

    def subscriber_lost(self, name: str) -> None:
        """Handle the end of a subscriber's connection."""
        self.owner.subscriber_lost(name)
