"""Miss curves: the share of a zone's attempts that miss, as a function of its load.

A failed attempt is a miss. A successful attempt counts as a partial miss, up to a whole one as its latency
reaches the miss bound. The load is the requests per second over the present capacity of the zone (see
`spill_planning`).

A curve is learnt from load reports and then fitted. The fitted curve increases with the load (isotonic
regression by pooling adjacent violators) and is convex (the lower convex hull). The observed curve of a
saturated zone is flat, and with it the solver would keep adding load to a zone that is already overloaded.
"""

from collections.abc import Iterable
from math import exp, log

from ravenshelf.policy.decayed_totals import DecayedTotals
from ravenshelf.time_units import SECOND

# Observations are kept in buckets of this width on the logarithm of the load.
BUCKET_WIDTH = 0.12
# Observations decay with this time constant.
CURVE_TIME_CONSTANT = 25 * SECOND
# Attempts of other zones count in a zone's curve with this weight.
OTHER_ZONES_SHARE = 0.15
# A bucket counts from this many attempts (decayed) on.
MINIMUM_ATTEMPTS = 1.0
# Beyond the last point of a curve, the miss share rises linearly with the load. Between the load of the last
# point and twice that load, it rises by this much.
EXTRAPOLATION_SLOPE = 0.6

Point = tuple[float, float]  # load, miss share
_Pool = tuple[float, float, float]  # load, attempts, missed attempts


class MissCurve:
    """The decayed attempts and misses of one zone, by load."""

    __slots__ = ("buckets",)

    def __init__(self) -> None:
        # The keys are bucket numbers; the totals are attempts and missed attempts.
        self.buckets: dict[int, DecayedTotals] = {}

    def add(self, now: int, load: float, attempts: float, missed: float) -> None:
        """Add attempts at a load, and the number of them that missed.

        Args:
            now: The time in microseconds.
            load: The load of the zone; it must be greater than 0.
            attempts: All attempts.
            missed: The attempts that missed; a partial miss adds a fraction.
        """
        bucket = round(log(load) / BUCKET_WIDTH)
        self.buckets.setdefault(bucket, DecayedTotals(CURVE_TIME_CONSTANT, 2)).add(now, attempts, missed)

    def fit(self, now: int, other_curves: Iterable["MissCurve"]) -> list[Point]:
        """Return the points of the fitted curve in the order of the load; empty without observations.

        The observations of other zones count with a low weight.
        """
        totals = self._weighted_totals(now, other_curves)
        return _convex_hull(_isotonic_fit(totals))

    def _weighted_totals(self, now: int, other_curves: Iterable["MissCurve"]) -> list[_Pool]:
        weighted_curves = [(self, 1.0), *((other, OTHER_ZONES_SHARE) for other in other_curves)]
        totals: dict[int, list[float]] = {}
        for curve, weight in weighted_curves:
            for bucket, decayed_totals in curve.buckets.items():
                attempts, missed = decayed_totals.read(now)
                bucket_totals = totals.setdefault(bucket, [0.0, 0.0])
                bucket_totals[0] += weight * attempts
                bucket_totals[1] += weight * missed
        return [
            (exp(bucket * BUCKET_WIDTH), totals[bucket][0], totals[bucket][1])
            for bucket in sorted(totals)
            if totals[bucket][0] >= MINIMUM_ATTEMPTS
        ]


def _isotonic_fit(observations: Iterable[_Pool]) -> list[_Pool]:
    """Pool adjacent observations until the miss share strictly increases with the load."""
    pools: list[_Pool] = []
    for pool in observations:
        pools.append(pool)
        while len(pools) > 1 and pools[-2][2] * pools[-1][1] >= pools[-1][2] * pools[-2][1]:
            upper_pool = pools.pop()
            pools[-1] = _merge_pools(pools[-1], upper_pool)
    return pools


def _merge_pools(lower_pool: _Pool, upper_pool: _Pool) -> _Pool:
    attempts = lower_pool[1] + upper_pool[1]
    load = (lower_pool[0] * lower_pool[1] + upper_pool[0] * upper_pool[1]) / attempts
    return load, attempts, lower_pool[2] + upper_pool[2]


def _convex_hull(pools: Iterable[_Pool]) -> list[Point]:
    """Return the lower convex hull of the origin and the pools' miss shares, without the origin itself."""
    hull: list[Point] = [(0.0, 0.0)]
    for load, attempts, missed in pools:
        share = missed / attempts
        while len(hull) > 1 and _is_above(hull[-2], hull[-1], load, share):
            hull.pop()
        hull.append((load, share))
    return hull[1:]


def _is_above(first_point: Point, middle_point: Point, load: float, share: float) -> bool:
    """Return whether the middle point lies above the line from the first point to (load, share)."""
    return (middle_point[1] - first_point[1]) * (load - middle_point[0]) > (share - middle_point[1]) * (
        middle_point[0] - first_point[0]
    )


def read_curve(points: list[Point], load: float) -> float:
    """Return the expected miss share at a load.

    Beyond the last point the curve continues to rise, so that additional load always has a cost.

    Args:
        points: The points of a fitted curve, at least one.
        load: The load.
    """
    load_below = 0.0
    share_below = 0.0
    for load_above, share_above in points:
        if load <= load_above:
            return share_below + (share_above - share_below) * (load - load_below) / (load_above - load_below)
        load_below = load_above
        share_below = share_above
    return share_below + EXTRAPOLATION_SLOPE * (load / load_below - 1)
