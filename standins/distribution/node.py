"""A simulated process: its connections, timer, suspensions and end. Subclasses add the decisions."""

from collections.abc import Callable, Iterable, Mapping

from ravenshelf.distribution.decisions.client import Action, Dial, Disconnect, Send, SubscriptionClient
from ravenshelf.distribution.decisions.distributor import Distributor
from ravenshelf.distribution.messages import Message
from standins.distribution.interfaces import Distribution
from standins.distribution.network import Connection
from standins.fleet.clock import SECOND

WRITE_BUFFER_BYTES = 65_536  # bytes pulled for a subscriber at once
MAX_TICK_INTERVAL = SECOND
UNLIMITED = float("inf")


class Node:
    """A process with connections to parents, and perhaps to subscribers. Times are microseconds."""

    def __init__(self, world: Distribution, name: str, region: int):
        self.world = world
        self.name = name
        self.region = region
        self.bytes_per_second = UNLIMITED  # that it reads
        self.alive = True
        self.generation = 0  # incremented when the process ends
        self.paused_until = 0
        self.clients: Mapping[str, SubscriptionClient] = {}  # by upstream
        self.distributor: Distributor | None = None
        self.connections: dict[str, Connection] = {}  # by upstream
        self.subscriber_connections: dict[str, Connection] = {}  # by subscriber
        self.bytes_in = 0
        self.bytes_out = 0
        self.messages_in = 0
        self.messages_out = 0
        self._timer_at: int | None = None

    @property
    def now(self) -> int:
        """The present time."""
        return self.world.events.now

    # --- overridden by subclasses ---

    def due_at(self) -> int | None:
        """Return the time at which `tick` has something to do."""
        return min((client.due_at() for client in self.clients.values()), default=None)

    def soon_due_at(self) -> int | None:
        """Return what a message may have made due within MAX_TICK_INTERVAL, as `due_at`."""
        return None

    def tick(self) -> None:
        """Do what is due."""

    def on_connected(self, upstream: str) -> None:
        """A dial has succeeded."""

    def on_message(self, upstream: str, message: Message) -> None:
        """An upstream has sent a message."""

    def on_subscriber_message(self, name: str, message: Message) -> None:
        """A subscriber has sent a message."""

    def on_subscriber_lost(self, name: str) -> None:
        """A subscriber's connection has ended."""

    # --- running ---

    def is_paused(self) -> bool:
        """Return whether the process is suspended."""
        return self.paused_until > self.now

    def run(self, callback: Callable[[], None]) -> None:
        """Call now, or at the end of a suspension unless the process has ended by then."""
        if not self.alive:
            return
        if self.is_paused():
            generation = self.generation
            self.world.network.at(
                self.paused_until, lambda: generation == self.generation and self.run(callback)
            )
            return
        callback()
        self.schedule_timer()

    def schedule_timer(self) -> None:
        """Set the timer to the next deadline, at most MAX_TICK_INTERVAL from now.

        Deadlines are computed again only when the timer fires: messages postpone most of them, and a node
        with many connections receives many messages.
        """
        if self._timer_at is None or self._timer_at <= self.now:
            due = self.due_at()
            self._set_timer(
                MAX_TICK_INTERVAL + self.now if due is None else min(due, self.now + MAX_TICK_INTERVAL)
            )
            return
        soon = self.soon_due_at()
        if soon is not None and soon < self._timer_at:
            self._set_timer(soon)

    def _set_timer(self, at: int) -> None:
        at = self._timer_at = max(at, self.now + 1)
        generation = self.generation
        self.world.network.at(
            at, lambda: generation == self.generation and at == self._timer_at and self._timer()
        )

    def _timer(self) -> None:
        self._timer_at = None
        due = self.due_at()
        if due is not None and due <= self.now:
            self.run(self.tick)
        else:
            self.schedule_timer()

    def stop(self, silently: bool = False) -> None:
        """End the process; `silently`: its machine fails, so nobody is notified."""
        self.alive = False
        self.generation += 1
        if self.distributor is not None:
            self.world.ended_snapshot_bytes += self.distributor.snapshot_bytes
            self.distributor.snapshot_bytes = 0
        for connection in [*self.connections.values(), *self.subscriber_connections.values()]:
            connection.close(self, silently)
        self.connections.clear()
        self.subscriber_connections.clear()

    # --- upstream ---

    def perform(self, actions: Iterable[tuple[str, Action]]) -> None:
        """Perform clients' actions, each given with its upstream."""
        for upstream, action in actions:
            if isinstance(action, Send):
                if upstream in self.connections:
                    self.connections[upstream].send_up(action.message)
            elif isinstance(action, Dial):
                self.world.network.dial(self, upstream, self.world.nodes.get(action.parent))
            elif isinstance(action, Disconnect) and upstream in self.connections:
                self.connections.pop(upstream).close(self)

    def dial_accepted(self, generation: int, connection: Connection) -> None:
        """A parent has accepted a dial."""
        client = self.clients.get(connection.upstream)
        is_stale = generation != self.generation or not self.alive or client is None
        if is_stale or client.parent != connection.parent.name or not connection.is_open:
            connection.close(self)
            return
        self.connections[connection.upstream] = connection
        self.run(lambda: self.on_connected(connection.upstream))

    def dial_refused(self, generation: int, upstream: str) -> None:
        """The parent is not running, or has reached its limit."""
        if generation == self.generation:
            self.run(lambda: self._upstream_lost(upstream))

    def _upstream_lost(self, upstream: str) -> None:
        self.perform((upstream, action) for action in self.clients[upstream].connection_lost(self.now))
        self._timer_at = None  # so that the next dial is scheduled

    def upstream_message_arrived(self, connection: Connection, message: Message) -> None:
        """Handle a message of a parent, unless its connection was replaced."""
        if self.connections.get(connection.upstream) is connection:
            self.run(lambda: self.on_message(connection.upstream, message))

    # --- subscribers ---

    def accept_subscriber(self, connection: Connection) -> bool:
        """Accept a subscriber, or return False if the limit is reached."""
        if self.distributor is None:
            return False
        name = f"{connection.child.name}/{connection.upstream}"
        if name in self.subscriber_connections:
            self.subscriber_connections.pop(name).is_open = False
            self.on_subscriber_lost(name)
        if not self.distributor.add_subscriber(self.now, name):
            return False
        self.subscriber_connections[name] = connection
        self.schedule_send(name, self.distributor.due_at(self.now, name))
        return True

    def subscriber_message_arrived(self, connection: Connection, message: Message) -> None:
        """Handle a message of a subscriber, unless its connection was replaced."""
        name = f"{connection.child.name}/{connection.upstream}"
        if self.subscriber_connections.get(name) is connection:
            self.run(lambda: self._handle_subscriber_message(name, message))

    def _handle_subscriber_message(self, name: str, message: Message) -> None:
        if name in self.subscriber_connections:
            self.on_subscriber_message(name, message)
            self.send_pending(name)

    def connection_lost(self, connection: Connection) -> None:
        """The other end has ended a connection."""
        name = f"{connection.child.name}/{connection.upstream}"
        if connection.parent is self and self.subscriber_connections.get(name) is connection:
            del self.subscriber_connections[name]
            self.run(lambda: self.on_subscriber_lost(name))
        elif connection.child is self and self.connections.get(connection.upstream) is connection:
            del self.connections[connection.upstream]
            self.run(lambda: self._upstream_lost(connection.upstream))

    def schedule_send(self, name: str, at: int) -> None:
        """Schedule a pull for a subscriber, unless an earlier one is scheduled."""
        connection = self.subscriber_connections[name]
        if connection.next_send_at is not None and connection.next_send_at <= at:
            return
        connection.next_send_at = at
        self.world.network.at(at, lambda: self._send_due(name, connection, at))

    def _send_due(self, name: str, connection: Connection, at: int) -> None:
        if connection.next_send_at != at or not connection.is_open:
            return
        connection.next_send_at = None
        self.run(lambda: self.send_pending(name))

    def send_pending(self, name: str) -> None:
        """Send a subscriber its pending messages, as far as its connection has capacity."""
        connection = self.subscriber_connections.get(name)
        if connection is None or not connection.is_open:
            return
        if connection.free_at > self.now:
            self.schedule_send(name, connection.free_at)
            return
        for outgoing in self.distributor.pull(self.now, name, WRITE_BUFFER_BYTES):
            connection.send_down(outgoing)
        self.schedule_send(name, max(connection.free_at, self.distributor.due_at(self.now, name)))

    def send_all_pending(self, names: Iterable[str]) -> None:
        """Send several subscribers their pending messages."""
        for name in dict.fromkeys(names):
            self.send_pending(name)
