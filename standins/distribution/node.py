"""A process of a world: its connections, its timer, its pauses and ends. What it decides is added by its kind."""

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from ravenshelf.distribution.decisions.client import Action, Dial, HangUp, Send, SubscriptionClient
from ravenshelf.distribution.decisions.distributor import Distributor
from ravenshelf.distribution.messages import Message
from standins.distribution.network import Connection
from standins.fleet.clock import SECOND

if TYPE_CHECKING:
    from standins.distribution.world import World

WRITE_BUFFER_BYTES = 65_536  # bytes that a connection takes before it has to drain
MAX_TICK_INTERVAL = SECOND  # what is due is looked at so often, at the least
UNLIMITED = float("inf")


class Node:
    """A process with connections to parents, and perhaps to subscribers."""

    def __init__(self, world: "World", name: str, region: int):
        self.world, self.name, self.region = world, name, region
        self.bytes_per_second = UNLIMITED  # that it reads
        self.alive, self.generation, self.paused_until = True, 0, 0
        self.connections: dict[str, Connection] = {}  # by upstream
        self.served: dict[str, Connection] = {}  # by subscriber
        self.bytes_in = self.bytes_out = self.messages_in = self.messages_out = 0
        self._timer_at: int | None = None

    @property
    def now(self) -> int:
        return self.world.events.now

    # --- what kinds of nodes differ in ---

    clients: dict[str, SubscriptionClient] = {}
    distributor: Distributor | None = None

    def due_at(self) -> int | None:
        """When `tick` has something to do."""
        return min((client.due_at() for client in self.clients.values()), default=None)

    def soon_due_at(self) -> int | None:
        """As `due_at`, of what a message may have made due within MAX_TICK_INTERVAL."""
        return None

    def tick(self) -> None:
        """Meets what is due."""

    def on_connected(self, upstream: str) -> None:
        """A dial has come off."""

    def on_message(self, upstream: str, message: Message) -> None:
        """An upstream says something."""

    def on_subscriber_message(self, name: str, message: Message) -> None:
        """A subscriber says something."""

    def on_subscriber_lost(self, name: str) -> None:
        """A subscriber's connection has ended."""

    # --- running ---

    def is_paused(self) -> bool:
        return self.paused_until > self.now

    def run(self, call: Callable[[], None]) -> None:
        """Calls now, or once a pause is over, unless the process has ended by then."""
        if not self.alive:
            return
        if self.is_paused():
            generation = self.generation
            self.world.network.at(self.paused_until, lambda: generation == self.generation and self.run(call))
            return
        call()
        self.arm()

    def arm(self) -> None:
        """Has the timer fire when something is due. What is due is looked at again when it fires, and each MAX_TICK_INTERVAL:
        messages put most of it off, and a node with many connections gets many."""
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
            self.arm()

    def stop(self, silently: bool = False) -> None:
        """The process ends; `silently` where its machine goes, so that nobody is told."""
        self.alive = False
        self.generation += 1
        if self.distributor is not None:
            self.world.ended_snapshot_bytes += self.distributor.snapshot_bytes
            self.distributor.snapshot_bytes = 0
        for connection in [*self.connections.values(), *self.served.values()]:
            connection.close(self, silently)
        self.connections.clear()
        self.served.clear()

    # --- upstream ---

    def perform(self, actions: Iterable[tuple[str, Action]]) -> None:
        """Does what a client wants done."""
        for upstream, action in actions:
            if isinstance(action, Send):
                if upstream in self.connections:
                    self.connections[upstream].up(action.message)
            elif isinstance(action, Dial):
                self.world.network.dial(self, upstream, self.world.nodes.get(action.parent))
            elif isinstance(action, HangUp) and upstream in self.connections:
                self.connections.pop(upstream).close(self)

    def dialled(self, generation: int, connection: Connection) -> None:
        """The parent has accepted."""
        client = self.clients.get(connection.upstream)
        late = generation != self.generation or not self.alive or client is None
        if late or client.parent != connection.parent.name or not connection.open:
            connection.close(self)
            return
        self.connections[connection.upstream] = connection
        self.run(lambda: self.on_connected(connection.upstream))

    def refused(self, generation: int, upstream: str) -> None:
        """The parent is not there, or has no room."""
        if generation == self.generation:
            self.run(lambda: self._upstream_lost(upstream))

    def _upstream_lost(self, upstream: str) -> None:
        self.perform((upstream, action) for action in self.clients[upstream].lost(self.now))
        self._timer_at = None  # it dials again soon

    def upstream_says(self, connection: Connection, message: Message) -> None:
        """A message arrives from a parent."""
        if self.connections.get(connection.upstream) is connection:
            self.run(lambda: self.on_message(connection.upstream, message))

    # --- subscribers ---

    def accepts(self, connection: Connection) -> bool:
        """Whether there is room for a subscriber."""
        if self.distributor is None:
            return False
        name = f"{connection.child.name}/{connection.upstream}"
        if name in self.served:
            self.served.pop(name).open = False
            self.on_subscriber_lost(name)
        if not self.distributor.add_subscriber(self.now, name):
            return False
        self.served[name] = connection
        self.schedule_pump(name, self.distributor.due_at(self.now, name))
        return True

    def subscriber_says(self, connection: Connection, message: Message) -> None:
        """A message arrives from a subscriber."""
        name = f"{connection.child.name}/{connection.upstream}"
        if self.served.get(name) is connection:
            self.run(lambda: self._subscriber_says(name, message))

    def _subscriber_says(self, name: str, message: Message) -> None:
        if name in self.served:
            self.on_subscriber_message(name, message)
            self.pump(name)

    def connection_lost(self, connection: Connection) -> None:
        """The other end has ended a connection."""
        name = f"{connection.child.name}/{connection.upstream}"
        if connection.parent is self and self.served.get(name) is connection:
            del self.served[name]
            self.run(lambda: self.on_subscriber_lost(name))
        elif connection.child is self and self.connections.get(connection.upstream) is connection:
            del self.connections[connection.upstream]
            self.run(lambda: self._upstream_lost(connection.upstream))

    def schedule_pump(self, name: str, at: int) -> None:
        """Pulls for a subscriber at a time, unless that is due sooner already."""
        connection = self.served[name]
        if connection.pump_at is not None and connection.pump_at <= at:
            return
        connection.pump_at = at
        self.world.network.at(at, lambda: self._pump_due(name, connection, at))

    def _pump_due(self, name: str, connection: Connection, at: int) -> None:
        if connection.pump_at != at or not connection.open:
            return
        connection.pump_at = None
        self.run(lambda: self.pump(name))

    def pump(self, name: str) -> None:
        """Sends a subscriber what it is due, as far as its connection has room."""
        connection = self.served.get(name)
        if connection is None or not connection.open:
            return
        if connection.free_at > self.now:
            self.schedule_pump(name, connection.free_at)
            return
        for outgoing in self.distributor.pull(self.now, name, WRITE_BUFFER_BYTES):
            connection.down(outgoing)
        self.schedule_pump(name, max(connection.free_at, self.distributor.due_at(self.now, name)))

    def pump_all(self, names: Iterable[str]) -> None:
        for name in dict.fromkeys(names):
            self.pump(name)
