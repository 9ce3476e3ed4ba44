"""What relays and controllers have in common on sockets: upstreams, subscribers, and one timer."""

import asyncio
from collections.abc import Mapping

from ravenshelf.distribution.decisions.client import SubscriptionClient
from ravenshelf.distribution.decisions.distributor import Distributor
from ravenshelf.distribution.decisions.relay import Effects
from ravenshelf.distribution.subscribers import Subscribers
from ravenshelf.distribution.timers import Timers
from ravenshelf.distribution.upstreams import Clock, Upstreams
from ravenshelf.state.buffers import BufferPool

LOOK_AGAIN = 1_000_000  # microseconds: what is due is looked at so often at the least
TICK = "tick"


class ServingService:
    """Serves a distributor's subscribers from what its clients bring. A kind of service adds what it does with both."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        cluster: str,
        name: str,
        clients: Mapping[str, SubscriptionClient],
        addresses: Mapping[str, str],
        distributor: Distributor,
    ):
        """`addresses`: host:port of each parent of the clients."""
        self.clock, self.cluster, self.name, self.clients = clock, cluster, name, clients
        buffers = BufferPool()
        self.upstreams = Upstreams(loop, buffers, cluster, name, clients, addresses, self)
        self.subscribers = Subscribers(loop, clock, buffers, cluster, distributor, self)
        self._timers = Timers(loop, clock, lambda _: self.tick())

    async def start(self, listen: str) -> str:
        """Listens and dials; gives the address."""
        address = await self.subscribers.start(listen)
        self.tick()
        return address

    def stop(self) -> None:
        """Ends all connections."""
        self._timers.stop()
        self.upstreams.stop()
        self.subscribers.stop()

    def tick(self) -> None:
        """Meets what is due, and has itself called again."""
        raise NotImplementedError

    def tick_at(self, at: int) -> None:
        """The next tick is at this time, or in LOOK_AGAIN where that is sooner."""
        self._timers.set(TICK, min(at, self.clock() + LOOK_AGAIN))

    def apply(self, effects: Effects) -> None:
        """Does what follows from a decision."""
        self.upstreams.perform(effects.actions)
        self.subscribers.pump(effects.to_pull)

    def upstream_lost(self, upstream: str) -> None:
        """A connection has ended, or a dial has failed."""
        client = self.clients[upstream]
        self.upstreams.perform((upstream, action) for action in client.lost(self.clock()))
        self.tick_at(client.due_at())
