"""How the parts that an operator configuration turns on join the control-plane server."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

from ravenshelf.policy.events import Event
from ravenshelf.state.message_part import MessagePart

if TYPE_CHECKING:  # plain serve loads none of it
    from ravenshelf.operator_config.tables import Operator


class EventObserver(Protocol):
    """Is told every event that the controller is told, such as the metrics collector."""

    def on_event(self, event: Event, now: int) -> None:
        """Take an event, at the server's time in microseconds."""


class CycleObserver(Protocol):
    """Is told what control cycles have done."""

    def on_message(self, proxy: int, parts: list[MessagePart], marker: int | None) -> None:
        """Take the message that was written to a proxy."""

    def on_control_cycle(self, delay: int, duration: int) -> None:
        """Take how late a control cycle began and how long it took, in microseconds."""


class AdmissionGate(Protocol):
    """Decides which events come in and which messages leave, where servers share the proxies."""

    def passes(self, event: Event) -> bool:
        """Return whether the event is for this server's controller."""

    def apply_inherited_state(self, proxy: int, parts: list[MessagePart]) -> None:
        """Change a message's parts before it is encoded."""

    def submit(self, proxy: int, parts: list[MessagePart], message: bytes, marker: int | None) -> None:
        """Take a message; it is written when and if it may leave."""


class OptionalFeatures(Protocol):
    """All that an operator configuration turns on, as one owner."""

    @property
    def TIMERS(self) -> frozenset[str]:  # noqa: N802 a constant of the class
        """First items of the deadline keys that `run_due` handles."""

    async def start(self) -> None:
        """Begin to listen, dial and measure."""

    def reload(self, operator: "Operator", done: Callable[[str], None]) -> None:
        """Take a new operator configuration; `done` is told what changed."""

    def run_due(self, key: tuple[Any, ...], now: int) -> None:
        """Handle a deadline."""

    def close(self) -> None:
        """End at the server's stop."""
