"""Common base of the socket services of relays and service owners: upstreams, subscribers, and one timer."""

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

MAX_TICK_INTERVAL_US = 1_000_000
TICK_TIMER = "tick"


class DistributionService(ABC):
    """Service that serves a distributor's subscribers with the topics that its clients receive.

    Subclasses add the decisions.
    """

    def __init__(self, node: Node, clients: Mapping[str, SubscriptionClient], distributor: Distributor):
        """Create a service that does not yet listen.

        Args:
            node: This process.
            clients: Subscription clients, by name of the upstream.
            distributor: Decides which messages each subscriber is sent.
        """
        self.node = node
        self.clock = node.clock
        self.clients = clients
        buffers = BufferPool()
        self.upstreams = Upstreams(node, buffers, clients, self)
        self.subscribers = Subscribers(node, buffers, distributor, self)
        self._timers: Timers[str] = Timers(node.loop, node.clock, self._tick_due)

    @property
    def name(self) -> str:
        """Name of this process in the cluster."""
        return self.node.name

    async def start(self, listen: str) -> str:
        """Listen at host:port and dial the upstreams.

        Returns:
            The address, with the port that the system chose for port 0.
        """
        address = await self.subscribers.start(listen)
        self.tick()
        return address

    def stop(self) -> None:
        """Stop listening, and end all connections and dials."""
        self._timers.stop()
        self.upstreams.stop()
        self.subscribers.stop()

    @abstractmethod
    def tick(self) -> None:
        """Perform the actions that are due, and schedule the next tick."""

    def _tick_due(self, _key: str) -> None:
        self.tick()

    def schedule_tick(self, due_at: int) -> None:
        """Schedule the next tick, at most MAX_TICK_INTERVAL_US from now."""
        self._timers.set(TICK_TIMER, min(due_at, self.clock() + MAX_TICK_INTERVAL_US))

    def execute(self, actions: NodeActions) -> None:
        """Perform the actions of a decision."""
        self.upstreams.perform(actions.upstream_actions)
        self.subscribers.send_pending(actions.pending_subscribers)

    @abstractmethod
    def upstream_connected(self, upstream: str) -> None:
        """Handle a successful dial of an upstream's parent."""

    @abstractmethod
    def upstream_message_received(self, upstream: str, message: Message) -> None:
        """Handle a message of an upstream's parent."""

    def upstream_lost(self, upstream: str) -> None:
        """Handle the end of an upstream's connection, or the failure of a dial."""
        client = self.clients[upstream]
        self.upstreams.perform((upstream, action) for action in client.connection_lost(self.clock()))
        self.schedule_tick(client.due_at())

    @abstractmethod
    def subscriber_message_received(self, name: str, message: Subscribe | Unsubscribe | Resync) -> None:
        """Handle a message of a subscriber that changes its subscriptions."""

    @abstractmethod
    def load_report_received(self, report: ZoneLoadReport) -> None:
        """Handle a subscriber's load report."""

    @abstractmethod
    def subscriber_lost(self, name: str) -> None:
        """Handle the end of a subscriber's connection."""
