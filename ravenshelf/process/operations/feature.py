"""Interfaces between the control-plane server, the features of an operator file, and their composer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

if TYPE_CHECKING:
    from ravenshelf.graphite.metrics import Metric
    from ravenshelf.operator_config.tables import OperatorConfiguration

TimerKey = tuple[Any, ...]
"""Key of a server timer: the timer's name, followed by its owner if there are several of that name."""


class Measurements(NamedTuple):
    """Values measured by one feature: `levels` are exported unchanged, `totals` as rates per second."""

    levels: dict[Metric, float]
    totals: dict[Metric, float]


class OperatorFeature(Protocol):
    """A feature that an operator file turns on; it is started once and may then be reloaded."""

    async def start(self) -> None:
        """Start the feature, if the operator file turns it on."""

    def reload(self, previous_operator: OperatorConfiguration, new_operator: OperatorConfiguration) -> None:
        """Apply a new operator file in place of the previous one."""

    def measurements(self) -> Measurements:
        """Return the feature's values for the metrics export; called only if metrics are exported."""

    def close(self) -> None:
        """Close all connections of the feature."""
