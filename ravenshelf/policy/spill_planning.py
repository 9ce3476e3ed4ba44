"""Spill planning: learns the zones' miss curves, and solves for the spill shares by them."""

from collections.abc import Sequence

from ravenshelf.policy.miss_curves import MissCurve, Point
from ravenshelf.policy.spill_solver import solve_spill

COLD_ZONE_LOAD = 1.2  # over the mean load: all that a zone without a curve takes while one is cold
COLD_ZONE_CAPACITY = 0.7  # of the listed weight: a zone with less capacity is cold
SPILLING_SHARE = 0.9  # of its demand: a zone that serves less of it counts as spilling


class SpillPlanner:
    """`shares[sender][zone]` are the spill shares, `loads` demand over capacity by zone that carries any."""

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
        """Solve anew for demand (requests per second), capacity and listed weight by zone.

        See `solve_spill` for `stretch`.
        """
        unknown = self._curve_while_cold(demand, capacity, listed_weight)
        fitted = [self._fit(now, curve) or unknown for curve in self.curves]
        self.shares = solve_spill(demand, capacity, fitted, load_factors)
        loads = [
            sum(requests * row[zone] for requests, row in zip(demand, self.shares, strict=True))
            for zone in self._zones
        ]
        self.loads = {
            zone: load / capacity[zone] for zone, load in enumerate(loads) if capacity[zone] > 0 and load > 0
        }

    def spilling_zones(self, demand: Sequence[float]) -> list[int]:
        """The zones with demand that leave much of it to other zones."""
        return [zone for zone in self._zones if demand[zone] and self.shares[zone][zone] < SPILLING_SHARE]

    def _fit(self, now: int, curve: MissCurve) -> list[Point]:
        return curve.fit(now, [other for other in self.curves if other is not curve])

    def _curve_while_cold(
        self, demand: Sequence[float], capacity: Sequence[float], listed_weight: Sequence[float]
    ) -> list[Point] | None:
        """A curve for zones without one: a zone that is cold, as after a restart, keeps about mean load."""
        is_cold = any(
            0 < present < COLD_ZONE_CAPACITY * listed
            for present, listed in zip(capacity, listed_weight, strict=True)
        )
        if not is_cold or not sum(demand):
            return None
        return [(COLD_ZONE_LOAD * sum(demand) / sum(capacity), 0.0)]
