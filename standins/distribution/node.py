"""Simulated process with its connections, timer, suspensions and end; subclasses add the decisions."""

from collections.abc import Callable, Iterable, Mapping

from ravenshelf.distribution.decisions.client import Action, Dial, Disconnect, Send, SubscriptionClient
from ravenshelf.distribution.decisions.distributor import Distributor
from ravenshelf.distribution.messages import Message
from standins.distribution.interfaces import Distribution
from standins.distribution.network import Connection
from standins.fleet.clock import SECOND

WRITE_BUFFER_BYTES = 65_536  # limit of the bytes that are pulled for a subscriber at once
MAX_TICK_INTERVAL = SECOND  # in microseconds
UNLIMITED = float("inf")


class Node:
    """Process with connections to parents, and to subscribers if it has a distributor.

    Times are in microseconds. An upstream is the name under which the process addresses one of its parents.
    """

    def __init__(self, world: Distribution, name: str, region: int):
        self.world = world
        self.name = name
        self.region = region
        self.bytes_per_second = UNLIMITED  # rate at which the process reads from one connection
        self.alive = True
        self.generation = 0  # Incremented when the process ends, so that earlier callbacks are ignored.
        self.paused_until = 0
        self.clients: Mapping[str, SubscriptionClient] = {}  # clients by the name of their upstream
        self.distributor: Distributor | None = None
        self.connections: dict[str, Connection] = {}  # connections to parents, by upstream
        # Connections by the name of the subscriber.
        self.subscriber_connections: dict[str, Connection] = {}
        self.bytes_in = 0
        self.bytes_out = 0
        self.messages_in = 0
        self.messages_out = 0
        self._timer_at: int | None = None

    @property
    def now(self) -> int:
        """Return the current time."""
        return self.world.events.now

    # Overridden by subclasses

    def due_at(self) -> int | None:
        """Return the next time at which `tick` has something to do, None if there is none."""
        return min((client.due_at() for client in self.clients.values()), default=None)

    def early_due_at(self) -> int | None:
        """Return the next due time that a message can bring forward, None if there is none."""
        return None

    def tick(self) -> None:
        """Perform all actions that are due."""

    def on_connected(self, upstream: str) -> None:
        """Handle the success of a dial."""

    def on_message(self, upstream: str, message: Message) -> None:
        """Handle a message from an upstream."""

    def on_subscriber_message(self, name: str, message: Message) -> None:
        """Handle a message from a subscriber."""

    def on_subscriber_lost(self, name: str) -> None:
        """Handle the end of a subscriber's connection."""

    # Execution

    def is_paused(self) -> bool:
        """Return whether the process is suspended."""
        return self.paused_until > self.now

    def run(self, callback: Callable[[], None]) -> None:
        """Run a callback now, or at the end of a suspension unless the process has ended by then."""
        if not self.alive:
            return
        if self.is_paused():
            generation = self.generation
            self.world.network.call_at(
                self.paused_until, lambda: generation == self.generation and self.run(callback)
            )
            return
        callback()
        self.schedule_timer()

    def schedule_timer(self) -> None:
        """Set the timer to the next due time, at most MAX_TICK_INTERVAL from now.

        Due times are computed again only when the timer fires, because messages postpone most of them and a
        node with many connections receives many messages.
        """
        if self._timer_at is None or self._timer_at <= self.now:
            due_time = self.due_at()
            self._set_timer(
                MAX_TICK_INTERVAL + self.now
                if due_time is None
                else min(due_time, self.now + MAX_TICK_INTERVAL)
            )
            return
        early_due = self.early_due_at()
        if early_due is not None and early_due < self._timer_at:
            self._set_timer(early_due)

    def _set_timer(self, time: int) -> None:
        time = self._timer_at = max(time, self.now + 1)
        generation = self.generation
        self.world.network.call_at(
            time, lambda: generation == self.generation and time == self._timer_at and self._handle_timer()
        )

    def _handle_timer(self) -> None:
        self._timer_at = None
        due_time = self.due_at()
        if due_time is not None and due_time <= self.now:
            self.run(self.tick)
        else:
            self.schedule_timer()

    def stop(self, silently: bool = False) -> None:
        """End the process.

        Args:
            silently: Whether its machine fails, so that no other process is notified.
        """
        self.alive = False
        self.generation += 1
        if self.distributor is not None:
            self.world.ended_snapshot_bytes += self.distributor.snapshot_bytes
            self.distributor.snapshot_bytes = 0
        for connection in [*self.connections.values(), *self.subscriber_connections.values()]:
            connection.close(self, silently)
        self.connections.clear()
        self.subscriber_connections.clear()

    # Connections to parents

    def perform(self, actions: Iterable[tuple[str, Action]]) -> None:
        """Perform the actions of subscription clients, each of which is given with its upstream."""
        for upstream, action in actions:
            if isinstance(action, Send):
                if upstream in self.connections:
                    self.connections[upstream].send_up(action.message)
            elif isinstance(action, Dial):
                self.world.network.dial(self, upstream, self.world.nodes.get(action.parent))
            elif isinstance(action, Disconnect) and upstream in self.connections:
                self.connections.pop(upstream).close(self)

    def dial_accepted(self, generation: int, connection: Connection) -> None:
        """Use an accepted connection, or close it if the client no longer waits for it."""
        client = self.clients.get(connection.upstream)
        is_stale = generation != self.generation or not self.alive or client is None
        if is_stale or client.parent != connection.parent.name or not connection.is_open:
            connection.close(self)
            return
        self.connections[connection.upstream] = connection
        self.run(lambda: self.on_connected(connection.upstream))

    def dial_refused(self, generation: int, upstream: str) -> None:
        """Handle a refused dial: the parent is not running, or has reached its limit of subscribers."""
        if generation == self.generation:
            self.run(lambda: self._upstream_lost(upstream))

    def _upstream_lost(self, upstream: str) -> None:
        self.perform((upstream, action) for action in self.clients[upstream].connection_lost(self.now))
        self._timer_at = None  # The timer is computed anew, so that the next dial is scheduled.

    def upstream_message_arrived(self, connection: Connection, message: Message) -> None:
        """Handle a message from a parent, unless its connection was replaced."""
        if self.connections.get(connection.upstream) is connection:
            self.run(lambda: self.on_message(connection.upstream, message))

    # Connections to subscribers

    def accept_subscriber(self, connection: Connection) -> bool:
        """Accept a subscriber, whose earlier connection is replaced.

        Returns:
            False if the process has no distributor or its limit of subscribers is reached.
        """
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
        """Handle a message from a subscriber, unless its connection was replaced."""
        name = f"{connection.child.name}/{connection.upstream}"
        if self.subscriber_connections.get(name) is connection:
            self.run(lambda: self._handle_subscriber_message(name, message))

    def _handle_subscriber_message(self, name: str, message: Message) -> None:
        if name in self.subscriber_connections:
            self.on_subscriber_message(name, message)
            self.send_pending(name)

    def connection_lost(self, connection: Connection) -> None:
        """Drop a connection that the other process has closed."""
        name = f"{connection.child.name}/{connection.upstream}"
        if connection.parent is self and self.subscriber_connections.get(name) is connection:
            del self.subscriber_connections[name]
            self.run(lambda: self.on_subscriber_lost(name))
        elif connection.child is self and self.connections.get(connection.upstream) is connection:
            del self.connections[connection.upstream]
            self.run(lambda: self._upstream_lost(connection.upstream))

    def schedule_send(self, name: str, time: int) -> None:
        """Schedule `send_pending` for a subscriber, unless an earlier call is scheduled."""
        connection = self.subscriber_connections[name]
        if connection.next_send_at is not None and connection.next_send_at <= time:
            return
        connection.next_send_at = time
        self.world.network.call_at(time, lambda: self._send_if_due(name, connection, time))

    def _send_if_due(self, name: str, connection: Connection, time: int) -> None:
        if connection.next_send_at != time or not connection.is_open:
            return
        connection.next_send_at = None
        self.run(lambda: self.send_pending(name))

    def send_pending(self, name: str) -> None:
        """Send a subscriber its pending messages once its connection has sent the previous ones."""
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
        """Send each of several subscribers its pending messages."""
        for name in dict.fromkeys(names):
            self.send_pending(name)
