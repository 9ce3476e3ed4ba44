"""The interfaces through which the components of a simulated fleet use each other without import cycles."""

from collections.abc import Callable, Sequence
from typing import Protocol

from ravenshelf.policy.events import EndpointsListed, Event, ListKind
from standins.fleet.proxies import SimulatedProxy
from standins.fleet.snapshots import ListSnapshot


class Watcher(Protocol):
    """A control-plane server as the registry sees it."""

    number: int
    is_watching: bool
    has_pending_poll: bool

    def read_list(self, kind: ListKind) -> EndpointsListed | None:
        """Read the present endpoint list and return the event for the controller, if there is one."""

    def receive(self, event: Event) -> None:
        """Pass an event to the controller."""


class WatchedFleet(Protocol):
    """The fleet as the registry sees it."""

    @property
    def now(self) -> int:
        """The present time in microseconds."""

    def running_servers(self) -> Sequence[Watcher]:
        """Return the servers whose process is running."""


class Registry(Protocol):
    """The registry as a control-plane server sees it."""

    def poll(self, server: Watcher) -> None:
        """Queue a poll of a server."""


class ServedFleet(Protocol):
    """The fleet as a control-plane server sees it."""

    written_lines: dict[int, int]

    @property
    def now(self) -> int:
        """The present time in microseconds."""

    @property
    def registry(self) -> Registry:
        """The endpoint registry."""

    @property
    def proxies(self) -> Sequence[SimulatedProxy]:
        """All proxies by number."""

    def snapshot(self) -> ListSnapshot:
        """Return the present endpoint list."""

    def call_later(self, delay: int, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay in microseconds."""
