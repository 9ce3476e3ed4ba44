"""A relay as a process: its upstreams, its subscribers, and what an operator may ask of it."""

import asyncio
import random
from collections.abc import Mapping, Sequence

from ravenshelf.distribution.decisions.distributor import DistributorLimits
from ravenshelf.distribution.decisions.relay import Relay
from ravenshelf.distribution.messages import Message, Report, Resync, Subscribe, Unsubscribe
from ravenshelf.distribution.serving import ServingService
from ravenshelf.distribution.upstreams import Clock


class RelayService(ServingService):
    """Runs a `Relay` on sockets."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        cluster: str,
        name: str,
        upstreams: Mapping[str, Sequence[str]],
        addresses: Mapping[str, str],
        chance: random.Random,
        limits: DistributorLimits = DistributorLimits(),
        owners: bool = False,
    ):
        """`upstreams` and `owners` as `Relay` takes them; `addresses`: host:port of each parent."""
        self.relay = Relay(name, upstreams, chance, clock(), limits, owners)
        super().__init__(loop, clock, cluster, name, self.relay.clients, addresses, self.relay.distributor)

    def tick(self) -> None:
        """Dials, passes sums on, forgets what nobody wants."""
        self.apply(self.relay.tick(self.clock()))
        self.tick_at(self.relay.due_at())

    # --- upstreams ---

    def upstream_connected(self, upstream: str) -> None:
        """A dial has come off."""
        self.apply(self.relay.upstream_connected(self.clock(), upstream))

    def upstream_said(self, upstream: str, message: Message) -> None:
        """A parent says something."""
        self.apply(self.relay.upstream_said(self.clock(), upstream, message))

    # --- subscribers ---

    def subscriber_said(self, name: str, message: Subscribe | Unsubscribe | Resync) -> None:
        """What a subscriber wants has changed."""
        self.apply(self.relay.subscriber_said(self.clock(), name, message))

    def subscriber_reported(self, report: Report) -> None:
        """A subscriber's sums."""
        self.relay.subscriber_reported(report)

    def subscriber_lost(self, name: str) -> None:
        """A subscriber's connection has ended."""
        self.apply(self.relay.subscriber_lost(self.clock(), name))

    # --- what an operator asks ---

    def status(self) -> dict:
        """What `ravenshelf distribution status` shows."""
        distributor = self.relay.distributor
        upstreams = [
            {
                "name": name,
                "state": client.state.value,
                "parent": client.parent,
                "topics": len(client.held),
                "gaps": client.resyncs,
            }
            for name, client in self.relay.clients.items()
        ]
        return {
            "name": self.name,
            "cluster": self.cluster,
            "topics": len(self.relay.topics),
            "wanted": len(distributor.interested),
            "subscribers": len(distributor.subscribers),
            "subscribers_most": distributor.limits.subscribers,
            "refused": self.subscribers.refused,
            "snapshot_bytes": distributor.snapshot_bytes,
            "upstreams": upstreams,
        }
