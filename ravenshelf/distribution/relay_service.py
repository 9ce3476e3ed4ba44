"""A relay that uses real sockets: its upstreams, its subscribers, and its status for operators."""

import random
from collections.abc import Mapping, Sequence

from ravenshelf.distribution.decisions.distributor import DistributorLimits
from ravenshelf.distribution.decisions.relay import Relay
from ravenshelf.distribution.messages import Message, Resync, Subscribe, Unsubscribe, ZoneLoadReport
from ravenshelf.distribution.node import Node
from ravenshelf.distribution.serving import DistributionService


class RelayService(DistributionService):
    """Service that runs the decisions of a `Relay` with real sockets."""

    def __init__(
        self,
        node: Node,
        upstreams: Mapping[str, Sequence[str]],
        random_source: random.Random,
        limits: DistributorLimits = DistributorLimits(),
        upstreams_are_owners: bool = False,
    ):
        """Create a service that does not yet listen.

        Args:
            node: This process.
            upstreams: The parents of each upstream, the preferred one first.
            random_source: Source of jitter, and of the random part of the reporter's name.
            limits: Limits of the subscribers.
            upstreams_are_owners: Whether each upstream is a controller and has its name.
        """
        self.relay = Relay(node.name, upstreams, random_source, node.clock(), limits, upstreams_are_owners)
        super().__init__(node, self.relay.clients, self.relay.distributor)

    def tick(self) -> None:
        """Dial, forward reports, and drop topics without subscribers, each when it is due."""
        self.execute(self.relay.tick(self.clock()))
        self.schedule_tick(self.relay.due_at())

    def upstream_connected(self, upstream: str) -> None:
        """Handle a successful dial of an upstream's parent."""
        self.execute(self.relay.upstream_connected(self.clock(), upstream))

    def upstream_message_received(self, upstream: str, message: Message) -> None:
        """Handle a message of an upstream's parent."""
        self.execute(self.relay.upstream_message_received(self.clock(), upstream, message))

    def subscriber_message_received(self, name: str, message: Subscribe | Unsubscribe | Resync) -> None:
        """Handle a message of a subscriber that changes its subscriptions."""
        self.execute(self.relay.subscriber_message_received(self.clock(), name, message))

    def load_report_received(self, report: ZoneLoadReport) -> None:
        """Record a subscriber's load report."""
        self.relay.load_report_received(report)

    def subscriber_lost(self, name: str) -> None:
        """Handle the end of a subscriber's connection."""
        self.execute(self.relay.subscriber_lost(self.clock(), name))

    def status(self) -> dict:
        """Return the status for `ravenshelf distribution status`; operators' tools also read its keys."""
        distributor = self.relay.distributor
        upstreams = [
            {
                "name": name,
                "state": client.state.value,
                "parent": client.parent,
                "topics": len(client.held_versions),
                "gaps": client.resyncs,
            }
            for name, client in self.relay.clients.items()
        ]
        return {
            "name": self.name,
            "cluster": self.node.cluster,
            "topics": len(self.relay.topics),
            "wanted": len(distributor.subscriptions),
            "subscribers": len(distributor.subscribers),
            "subscribers_most": distributor.limits.max_subscribers,
            "refused": self.subscribers.rejected_count,
            "snapshot_bytes": distributor.snapshot_bytes,
            "upstreams": upstreams,
        }
