"""What relays and service owners have in common on sockets: upstreams, subscribers, and one timer."""

from abc import ABC, abstractmethod
from collections.abc import Mapping

from ravenshelf.distribution.decisions.client import SubscriptionClient
from ravenshelf.distribution.decisions.distributor import Distributor
from ravenshelf.distribution.decisions.relay import NodeActions
from ravenshelf.distribution.messages import Message, Resync, Subscribe, Unsubscribe, ZoneLoadReport
from ravenshelf.distribution.node import Node
from ravenshelf.distribution.subscribers import Subscribers
from ravenshelf.distribution.timers import Timers
from ravenshelf.distribution.upstreams import Upstreams
from ravenshelf.state.buffers import BufferPool

MAX_TICK_INTERVAL = 1_000_000  # microseconds
TICK = "tick"


class DistributionService(ABC):
    """Serves a distributor's subscribers from what its clients receive; subclasses add the decisions."""

    def __init__(self, node: Node, clients: Mapping[str, SubscriptionClient], distributor: Distributor):
        """`clients`: by name of the upstream."""
        self.node = node
        self.clock = node.clock
        self.clients = clients
        buffers = BufferPool()
        self.upstreams = Upstreams(node, buffers, clients, self)
        self.subscribers = Subscribers(node, buffers, distributor, self)
        self._timers: Timers[str] = Timers(node.loop, node.clock, self._tick_due)

    @property
    def name(self) -> str:
        """The name of this process in the cluster."""
        return self.node.name

    async def start(self, listen: str) -> str:
        """Listen at host:port and dial; return the address."""
        address = await self.subscribers.start(listen)
        self.tick()
        return address

    def stop(self) -> None:
        """End all connections."""
        self._timers.stop()
        self.upstreams.stop()
        self.subscribers.stop()

    @abstractmethod
    def tick(self) -> None:
        """Do what is due, and schedule the next tick."""

    def _tick_due(self, _key: str) -> None:
        self.tick()

    def schedule_tick(self, at: int) -> None:
        """Schedule the next tick, at most MAX_TICK_INTERVAL from now."""
        self._timers.set(TICK, min(at, self.clock() + MAX_TICK_INTERVAL))

    def execute(self, actions: NodeActions) -> None:
        """Apply the actions of a decision."""
        self.upstreams.perform(actions.upstream_actions)
        self.subscribers.send_pending(actions.pending_subscribers)

    @abstractmethod
    def upstream_connected(self, upstream: str) -> None:
        """A dial has succeeded."""

    @abstractmethod
    def upstream_message_received(self, upstream: str, message: Message) -> None:
        """A parent has sent a message."""

    def upstream_lost(self, upstream: str) -> None:
        """A connection has ended, or a dial has failed."""
        client = self.clients[upstream]
        self.upstreams.perform((upstream, action) for action in client.connection_lost(self.clock()))
        self.schedule_tick(client.due_at())

    @abstractmethod
    def subscriber_message_received(self, name: str, message: Subscribe | Unsubscribe | Resync) -> None:
        """A subscriber has changed its subscriptions."""

    @abstractmethod
    def load_report_received(self, report: ZoneLoadReport) -> None:
        """A subscriber has reported load."""

    @abstractmethod
    def subscriber_lost(self, name: str) -> None:
        """A subscriber's connection has ended."""
