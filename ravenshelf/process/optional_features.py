"""Interfaces between the control-plane server and the features that an operator file turns on."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

from ravenshelf.policy.events import Event
from ravenshelf.state.table_update import TableUpdate

if TYPE_CHECKING:  # Imported for annotations only, so that it is not loaded without an operator file.
    from ravenshelf.operator_config.tables import OperatorConfiguration


class EventObserver(Protocol):
    """Observer of every event that is delivered to the controller, such as the metrics collector."""

    def on_event(self, event: Event, now: int) -> None:
        """Observe an event, delivered at the server's time `now` in microseconds."""


class CycleObserver(Protocol):
    """Observer of control cycles and of the messages that they write."""

    def on_message(self, proxy: int, updates: list[TableUpdate], marker: int | None) -> None:
        """Observe a message to a proxy, with the marker to acknowledge if it has one."""

    def on_control_cycle(self, delay: int, duration: int) -> None:
        """Observe a control cycle: how late it began and how long it took, in microseconds."""


class AdmissionGate(Protocol):
    """Filter of incoming events and outgoing messages, for servers that share the proxies by leases."""

    def passes(self, event: Event) -> bool:
        """Return whether the event is for this server's controller."""

    def apply_inherited_state(self, proxy: int, updates: list[TableUpdate]) -> None:
        """Change a message's updates in place, as the previous lease holder's state requires.

        It is called before the message is encoded.
        """

    def submit(self, proxy: int, updates: list[TableUpdate], message: bytes, marker: int | None) -> None:
        """Accept an encoded message; the gate writes it once that is permitted, or discards it."""


class OptionalFeatures(Protocol):
    """All features that an operator file turns on, with one interface for the server."""

    @property
    def TIMERS(self) -> frozenset[str]:  # noqa: N802 a constant of the class
        """First items of the deadline keys that `run_due` handles."""

    async def start(self) -> None:
        """Start all features; those that use the network open their listeners and connections."""

    def reload(self, new_operator: "OperatorConfiguration", on_done: Callable[[str], None]) -> None:
        """Apply a new operator file; `on_done` is called with a text that lists the changed tables."""

    def run_due(self, key: tuple[Any, ...], now: int) -> None:
        """Handle a deadline whose key's first item is one of TIMERS; `now` is in microseconds."""

    def close(self) -> None:
        """Close all connections; called when the server stops."""
