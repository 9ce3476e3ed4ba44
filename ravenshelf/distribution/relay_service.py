"""A relay as a process: its upstreams, its subscribers, and what an operator may ask of it."""

import asyncio
import random
from collections.abc import Mapping, Sequence

from ravenshelf.distribution.decisions.distributor import DistributorLimits
from ravenshelf.distribution.decisions.relay import Effects, Relay
from ravenshelf.distribution.messages import Message, Report, Resync, Subscribe, Unsubscribe
from ravenshelf.distribution.subscribers import Subscribers
from ravenshelf.distribution.timers import Timers
from ravenshelf.distribution.upstreams import Clock, Upstreams
from ravenshelf.memory.buffers import Buffers

LOOK_AGAIN = 1_000_000  # microseconds: what is due is looked at so often at the least


class RelayService:
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
        self.clock, self.cluster, self.name = clock, cluster, name
        self.relay = Relay(name, upstreams, chance, clock(), limits, owners)
        buffers = Buffers()
        self.upstreams = Upstreams(loop, buffers, cluster, name, self.relay.clients, addresses, self)
        self.subscribers = Subscribers(loop, clock, buffers, cluster, self.relay.distributor, self)
        self._timers = Timers(loop, clock, lambda _: self._tick())

    async def start(self, listen: str) -> str:
        """Listens and dials; gives the address."""
        at = await self.subscribers.start(listen)
        self._tick()
        return at

    def stop(self) -> None:
        """Ends all connections."""
        self._timers.stop()
        self.upstreams.stop()
        self.subscribers.stop()

    def _apply(self, effects: Effects) -> None:
        self.upstreams.perform(effects.actions)
        self.subscribers.pump(effects.to_pull)

    def _tick(self) -> None:
        now = self.clock()
        self._apply(self.relay.tick(now))
        self._timers.set("tick", min(self.relay.due_at(), now + LOOK_AGAIN))

    # --- upstreams ---

    def upstream_connected(self, upstream: str) -> None:
        """A dial has come off."""
        self._apply(self.relay.upstream_connected(self.clock(), upstream))

    def upstream_said(self, upstream: str, message: Message) -> None:
        """A parent says something."""
        self._apply(self.relay.upstream_said(self.clock(), upstream, message))

    def upstream_lost(self, upstream: str) -> None:
        """A connection has ended, or a dial has failed."""
        client = self.relay.clients[upstream]
        self.upstreams.perform((upstream, action) for action in client.lost(self.clock()))
        self._timers.set("tick", client.due_at())

    # --- subscribers ---

    def subscriber_said(self, name: str, message: Subscribe | Unsubscribe | Resync) -> None:
        """What a subscriber wants has changed."""
        self._apply(self.relay.subscriber_said(self.clock(), name, message))

    def subscriber_reported(self, report: Report) -> None:
        """A subscriber's sums."""
        self.relay.subscriber_reported(report)

    def subscriber_lost(self, name: str) -> None:
        """A subscriber's connection has ended."""
        self._apply(self.relay.subscriber_lost(self.clock(), name))

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
