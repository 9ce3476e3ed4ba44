"""A relay as a process: its upstreams, its subscribers, and its status for operators."""

import random
from collections.abc import Mapping, Sequence

from ravenshelf.distribution.decisions.distributor import DistributorLimits
from ravenshelf.distribution.decisions.relay import Relay
from ravenshelf.distribution.messages import Message, Resync, Subscribe, Unsubscribe, ZoneLoadReport
from ravenshelf.distribution.node import Node
from ravenshelf.distribution.serving import DistributionService


class RelayService(DistributionService):
    """Runs a `Relay` on sockets."""

    def __init__(
        self,
        node: Node,
        upstreams: Mapping[str, Sequence[str]],
        random_source: random.Random,
        limits: DistributorLimits = DistributorLimits(),
        upstreams_are_owners: bool = False,
    ):
        """`upstreams` and `upstreams_are_owners`: as `Relay` takes them."""
        self.relay = Relay(node.name, upstreams, random_source, node.clock(), limits, upstreams_are_owners)
        super().__init__(node, self.relay.clients, self.relay.distributor)

    def tick(self) -> None:
        """Dial, forward reports, drop topics that nobody wants, as far as each is due."""
        self.execute(self.relay.tick(self.clock()))
        self.schedule_tick(self.relay.due_at())

    # --- upstreams ---

    def upstream_connected(self, upstream: str) -> None:
        """A dial has succeeded."""
        self.execute(self.relay.upstream_connected(self.clock(), upstream))

    def upstream_message_received(self, upstream: str, message: Message) -> None:
        """A parent has sent a message."""
        self.execute(self.relay.upstream_message_received(self.clock(), upstream, message))

    # --- subscribers ---

    def subscriber_message_received(self, name: str, message: Subscribe | Unsubscribe | Resync) -> None:
        """A subscriber has changed its subscriptions."""
        self.execute(self.relay.subscriber_message_received(self.clock(), name, message))

    def load_report_received(self, report: ZoneLoadReport) -> None:
        """A subscriber has reported load."""
        self.relay.load_report_received(report)

    def subscriber_lost(self, name: str) -> None:
        """A subscriber's connection has ended."""
        self.execute(self.relay.subscriber_lost(self.clock(), name))

    # --- status ---

    def status(self) -> dict:
        """Return what `ravenshelf distribution status` shows; its keys are the operators'."""
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
