"""Water filling: one admission level for proxies with unequal demand."""

from collections.abc import Sequence


def water_filling_level(demands: Sequence[float], budget: float) -> float | None:
    """Return the level at which all proxies together admit the budget.

    Each proxy admits its demand up to the level.

    Args:
        demands: The requests per second of each proxy.
        budget: The requests per second to admit over all proxies.

    Returns:
        The level in requests per second; None if the budget covers the whole demand.
    """
    remaining_budget = budget
    sorted_demands = sorted(demands)
    for position, demand in enumerate(sorted_demands):
        remaining_proxies = len(sorted_demands) - position
        if demand * remaining_proxies >= remaining_budget:
            return max(0.0, remaining_budget / remaining_proxies)
        remaining_budget -= demand
    return None
