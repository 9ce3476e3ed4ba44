"""Water filling: one admission level for proxies with unequal demand."""

from collections.abc import Sequence


def water_filling_level(demands: Sequence[float], budget: float) -> float | None:
    """The level at which the budget is admitted over all proxies, each admitting its demand up to the level.

    `demands` and `budget` are requests per second. None: the budget covers all demand.
    """
    left = budget
    ascending = sorted(demands)
    for position, demand in enumerate(ascending):
        proxies_left = len(ascending) - position
        if demand * proxies_left >= left:
            return max(0.0, left / proxies_left)
        left -= demand
    return None
