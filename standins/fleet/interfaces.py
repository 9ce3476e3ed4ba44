"""What the parts of a simulated fleet need of each other, so that no two import one another."""

from collections.abc import Callable, Sequence
from typing import Protocol

from ravenshelf.policy.events import EndpointsListed, Event, ListKind
from standins.fleet.proxies import SimulatedProxy
from standins.fleet.snapshots import ListSnapshot


class Watcher(Protocol):
    """A control-plane server as the registry sees it."""

    number: int
    watching: bool
    poll_pending: bool

    def take(self, kind: ListKind) -> EndpointsListed | None:
        """Take over the present list; return the event for the controller."""

    def receive(self, event: Event) -> None:
        """Pass an event to the controller."""


class WatchedFleet(Protocol):
    """The fleet as the registry sees it."""

    @property
    def now(self) -> int:
        """The present time."""

    def living_servers(self) -> Sequence[Watcher]:
        """Return the servers whose process runs."""


class Registry(Protocol):
    """The registry as a control-plane server sees it."""

    def poll(self, server: Watcher) -> None:
        """Queue a server's poll."""


class ServedFleet(Protocol):
    """The fleet as a control-plane server sees it."""

    lines: dict[int, int]

    @property
    def now(self) -> int:
        """The present time."""

    @property
    def registry(self) -> Registry:
        """The endpoint registry."""

    @property
    def proxies(self) -> Sequence[SimulatedProxy]:
        """All proxies by number."""

    def snapshot(self) -> ListSnapshot:
        """Return the present endpoint list."""

    def call_later(self, after: int, call: Callable[[], None]) -> None:
        """Schedule a call after so many microseconds."""
