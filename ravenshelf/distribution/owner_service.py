"""A controller's publishing side as part of a process: its subscribers, and the owners that it follows as a replica."""

import asyncio
import random
from collections.abc import Callable, Mapping

from ravenshelf.distribution.decisions.distributor import DistributorLimits
from ravenshelf.distribution.decisions.owner import Content, Owner
from ravenshelf.distribution.decisions.ownership import Tenure
from ravenshelf.distribution.messages import Message, Report, Resync, Subscribe, Unsubscribe
from ravenshelf.distribution.serving import LOOK_AGAIN, ServingService
from ravenshelf.distribution.upstreams import Clock


class OwnerService(ServingService):
    """Runs an `Owner` on sockets. Leases are told by the caller: `acquire`, `claim`, `release`, `follow`, `unfollow`."""

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
        self.reported = reported
        self.owner = Owner(name, incarnation, shards, content, list(others), chance, clock(), limits)
        super().__init__(loop, clock, cluster, name, self.owner.clients, others, self.owner.distributor)

    # --- leases ---

    def acquire(self, service: str, tenure: Tenure) -> None:
        """A service's lease was granted."""
        self.owner.acquire(self.clock(), service, tenure)
        self.publish()

    def claim(self, service: str, claimed: bool) -> None:
        """Whether relays are told that this controller owns a service of its own."""
        self.owner.claim(self.clock(), service, claimed)
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

    def tick(self) -> None:
        """Dials the others, publishes what is due."""
        now = self.clock()
        for name, client in self.clients.items():
            self.upstreams.perform((name, action) for action in client.tick(now))
        self.publish()

    def publish(self) -> None:
        """Publishes what is due; called after the decisions of a round."""
        now = self.clock()
        _, to_pull = self.owner.publish(now)
        self.subscribers.pump(to_pull)
        pending = self.owner.due_at(now)
        dues = [client.due_at() for client in self.clients.values()] + (
            [pending] if pending is not None else []
        )
        self.tick_at(min(dues, default=now + LOOK_AGAIN))

    # --- the other controllers ---

    def upstream_connected(self, upstream: str) -> None:
        """A dial has come off."""
        actions = self.clients[upstream].connected(self.clock())
        self.upstreams.perform((upstream, action) for action in actions)

    def upstream_said(self, upstream: str, message: Message) -> None:
        """A parent says something."""
        self.apply(self.owner.upstream_said(self.clock(), upstream, message))

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
