"""Spill planning: the miss curves of all zones, and the spill shares that the solver computes from them."""

from collections.abc import Sequence

from ravenshelf.policy.miss_curves import MissCurve, Point
from ravenshelf.policy.spill_solver import solve_spill

# While any zone is cold, a zone without a miss curve is assumed to carry this multiple of the mean load
# without misses.
COLD_ZONE_LOAD = 1.2
# A zone is cold if its capacity is less than this share of its listed weight.
COLD_ZONE_CAPACITY = 0.7
# A zone that serves less than this share of its own demand counts as spilling.
SPILLING_SHARE = 0.9


class SpillPlanner:
    """The miss curves of all zones and the current spill shares.

    Attributes:
        curves: The miss curve of each zone.
        shares: `shares[sender][zone]` is the share of the sender's demand that the zone serves.
        loads: The requests per second that a zone serves over its present capacity, for each zone that serves
            any.
    """

    def __init__(self, zone_count: int):
        self._zones = range(zone_count)
        self.curves = [MissCurve() for _ in self._zones]
        self.shares = [[float(sender == zone) for zone in self._zones] for sender in self._zones]
        self.loads: dict[int, float] = {}

    def update(
        self,
        now: int,
        demand: Sequence[float],
        capacity: Sequence[float],
        listed_weight: Sequence[float],
        load_factors: Sequence[Sequence[float]],
    ) -> None:
        """Solve for the spill shares, and update the loads that follow from them.

        Args:
            now: The time in microseconds.
            demand: The requests per second of each zone.
            capacity: The present capacity of each zone; see `solve_spill`.
            listed_weight: The listed weight of the endpoints of each zone.
            load_factors: The factors on the load for the latency between zones; see `solve_spill`.
        """
        default_curve = self._curve_while_cold(demand, capacity, listed_weight)
        fitted_curves = [self._fit(now, curve) or default_curve for curve in self.curves]
        self.shares = solve_spill(demand, capacity, fitted_curves, load_factors)
        zone_loads = [
            sum(requests * row[zone] for requests, row in zip(demand, self.shares, strict=True))
            for zone in self._zones
        ]
        self.loads = {
            zone: load / capacity[zone]
            for zone, load in enumerate(zone_loads)
            if capacity[zone] > 0 and load > 0
        }

    def spilling_zones(self, demand: Sequence[float]) -> list[int]:
        """Return the zones that serve less than `SPILLING_SHARE` of their own demand themselves."""
        return [zone for zone in self._zones if demand[zone] and self.shares[zone][zone] < SPILLING_SHARE]

    def _fit(self, now: int, curve: MissCurve) -> list[Point]:
        return curve.fit(now, [other for other in self.curves if other is not curve])

    def _curve_while_cold(
        self, demand: Sequence[float], capacity: Sequence[float], listed_weight: Sequence[float]
    ) -> list[Point] | None:
        """Return the curve to assume for zones without observations while any zone is cold.

        With this curve a zone that is cold, for example after a restart, serves about the mean load. None
        means that no zone is cold.
        """
        is_cold = any(
            0 < zone_capacity < COLD_ZONE_CAPACITY * zone_listed_weight
            for zone_capacity, zone_listed_weight in zip(capacity, listed_weight, strict=True)
        )
        if not is_cold or not sum(demand):
            return None
        return [(COLD_ZONE_LOAD * sum(demand) / sum(capacity), 0.0)]
