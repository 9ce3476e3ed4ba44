"""A controller's publishing side as part of a process: its subscribers, and the owners that it follows as a replica."""

import asyncio
import random
from collections.abc import Callable, Mapping

from ravenshelf.distribution.decisions.distributor import DistributorLimits
from ravenshelf.distribution.decisions.owner import Content, Owner
from ravenshelf.distribution.decisions.ownership import Tenure
from ravenshelf.distribution.messages import Message, Report, Resync, Subscribe, Unsubscribe
from ravenshelf.distribution.subscribers import Subscribers
from ravenshelf.distribution.timers import Timers
from ravenshelf.distribution.upstreams import Clock, Upstreams
from ravenshelf.memory.buffers import Buffers

LOOK_AGAIN = 1_000_000  # microseconds: what is due is looked at so often at the least


class OwnerService:
    """Runs an `Owner` on sockets. Leases are told by the caller: `acquire`, `renew`, `release`, `follow`, `unfollow`."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        cluster: str,
        name: str,
        incarnation: int,
        shards: int,
        content: Content,
        others: Mapping[str, str],
        chance: random.Random,
        limits: DistributorLimits = DistributorLimits(),
        reported: Callable[[Report], None] = lambda report: None,
    ):
        """`others`: host:port of the other controllers; `reported` is told of sums; the rest as `Owner` takes it."""
        self.clock, self.reported = clock, reported
        self.owner = Owner(name, incarnation, shards, content, list(others), chance, clock(), limits)
        buffers = Buffers()
        self.upstreams = Upstreams(loop, buffers, cluster, name, self.owner.clients, others, self)
        self.subscribers = Subscribers(loop, clock, buffers, cluster, self.owner.distributor, self)
        self._timers = Timers(loop, clock, lambda _: self._tick())

    async def start(self, listen: str) -> str:
        """Listens and dials the others; gives the address."""
        at = await self.subscribers.start(listen)
        self._tick()
        return at

    def stop(self) -> None:
        """Ends all connections."""
        self._timers.stop()
        self.upstreams.stop()
        self.subscribers.stop()

    # --- leases ---

    def acquire(self, service: str, tenure: Tenure) -> None:
        """A service's lease was granted."""
        self.owner.acquire(self.clock(), service, tenure)
        self.publish()

    def renew(self, service: str, good_until: int) -> None:
        """A service's lease was prolonged."""
        tenure = self.owner.tenures.get(service)
        if tenure is not None:
            tenure.renew(good_until)
            self.publish()

    def release(self, service: str) -> None:
        """A service's lease has ended."""
        self.owner.release(self.clock(), service)
        self.publish()

    def follow(self, shard: int, other: str) -> None:
        """This controller is a replica of a shard that another owns."""
        self.upstreams.perform(self.owner.follow(shard, other))

    def unfollow(self, shard: int) -> None:
        """It is a replica of the shard no more."""
        self.upstreams.perform(self.owner.unfollow(shard))

    def refresh(self, topic: str) -> None:
        """The topic's content may have changed."""
        self.owner.refresh(self.clock(), topic)
        self.publish()

    # --- time ---

    def _tick(self) -> None:
        now = self.clock()
        for name, client in self.owner.clients.items():
            self.upstreams.perform((name, action) for action in client.tick(now))
        self.publish()

    def publish(self) -> None:
        """Publishes what is due; called after the decisions of a round."""
        now = self.clock()
        _, to_pull = self.owner.publish(now)
        self.subscribers.pump(to_pull)
        due = [client.due_at() for client in self.owner.clients.values()]
        pending = self.owner.due_at(now)
        self._timers.set("tick", min([now + LOOK_AGAIN, *due, *([pending] if pending is not None else [])]))

    # --- the other controllers ---

    def upstream_connected(self, upstream: str) -> None:
        """A dial has come off."""
        client = self.owner.clients[upstream]
        self.upstreams.perform((upstream, action) for action in client.connected(self.clock()))

    def upstream_said(self, upstream: str, message: Message) -> None:
        """A parent says something."""
        effects = self.owner.upstream_said(self.clock(), upstream, message)
        self.upstreams.perform(effects.actions)
        self.subscribers.pump(effects.to_pull)

    def upstream_lost(self, upstream: str) -> None:
        """A connection has ended, or a dial has failed."""
        client = self.owner.clients[upstream]
        self.upstreams.perform((upstream, action) for action in client.lost(self.clock()))
        self._timers.set("tick", client.due_at())

    # --- subscribers ---

    def subscriber_said(self, name: str, message: Subscribe | Unsubscribe | Resync) -> None:
        """What a subscriber wants has changed."""
        self.owner.subscriber_said(self.clock(), name, message)
        self.publish()

    def subscriber_reported(self, report: Report) -> None:
        """A subscriber's sums."""
        self.reported(report)

    def subscriber_lost(self, name: str) -> None:
        """A subscriber's connection has ended."""
        self.owner.subscriber_lost(self.clock(), name)
