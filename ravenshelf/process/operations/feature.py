"""The interfaces between the control-plane server, the parts that an operator file turns on, and their
composer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

if TYPE_CHECKING:
    from ravenshelf.graphite.metrics import Metric
    from ravenshelf.operator_config.tables import Operator

SECOND = 1_000_000  # microseconds
TimerKey = tuple[Any, ...]
"""The name of a timer of the server and, where there are several, whose it is."""


class Measurements(NamedTuple):
    """Values of one part: `levels` are exported as they are, `totals` as their rate per second."""

    levels: dict[Metric, float]
    totals: dict[Metric, float]


class OperatorFeature(Protocol):
    """One part: it is started once, and does what the present operator file says."""

    async def start(self) -> None:
        """Start what the operator file turns on."""

    def reload(self, previous: Operator, current: Operator) -> None:
        """Use a new operator file."""

    def measurements(self) -> Measurements:
        """Return values for the metrics export, which is on."""

    def close(self) -> None:
        """Close connections."""
