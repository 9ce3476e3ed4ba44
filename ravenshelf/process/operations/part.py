"""The interfaces between the control-plane server, the parts that an operator file turns on, and their
composer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

from ravenshelf.policy.events import Event
from ravenshelf.state.counters import Counters

if TYPE_CHECKING:
    from ravenshelf.graphite.metrics import Metric
    from ravenshelf.operator_config.tables import Operator

SECOND = 1_000_000  # microseconds
TimerKey = tuple[Any, ...]
"""The name of a timer of the server and, where there are several, whose it is."""


class OperatedServer(Protocol):
    """What the parts use of the control-plane server."""

    loop: asyncio.AbstractEventLoop
    clock: Callable[[], int]
    counters: Counters
    configuration: dict[str, Any]
    deadlines: Any
    rounds: Any
    sent: Any
    listing: Any
    door: Any
    tap: Any
    gate: Any
    sums: Any
    ended_by: str | None

    def set_deadline(self, key: TimerKey, at: int) -> None:
        """Have the timer's handler called at a time."""

    def round_due(self) -> bool:
        """Return whether a control cycle is due."""

    def news(self, event: Event) -> None:
        """Give an event to the controller, unless it is of another lease holder."""

    def tell(self, event: Event) -> None:
        """Give an event to the controller."""

    def stop(self) -> None:
        """Start a graceful shutdown."""


class Measurements(NamedTuple):
    """Values of one part: `levels` are exported as they are, `totals` as their rate per second."""

    levels: dict[Metric, float]
    totals: dict[Metric, float]


class OperationsPart(Protocol):
    """One part: it is started once, and does what the present operator file says."""

    async def start(self) -> None:
        """Start what the operator file turns on."""

    def reload(self, previous: Operator, current: Operator) -> None:
        """Use a new operator file."""

    def measurements(self) -> Measurements:
        """Return values for the metrics export, which is on."""

    def close(self) -> None:
        """Close connections."""
