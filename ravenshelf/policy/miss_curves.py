"""Miss curves: the share of a zone's attempts that miss the latency objective, against the zone's load.

Load is requests per second over listed weight. A curve is learnt from load reports, then fitted: it rises
with load (isotonic regression by pooling adjacent violators) and is convex (its lower hull), as the flat
curve of a saturated zone would have the solver give that zone up.
"""

from collections.abc import Iterable
from math import exp, log

from ravenshelf.policy.decayed_totals import DecayedTotals
from ravenshelf.settings import SECOND

BUCKET_WIDTH = 0.12  # of the logarithm of the load
CURVE_SPAN = 25 * SECOND  # microseconds: memory of a curve
OTHER_ZONES_SHARE = 0.15  # weight of other zones' attempts in a zone's curve
MINIMUM_ATTEMPTS = 1.0  # decayed attempts, for a bucket to count
EXTRAPOLATION_SLOPE = 0.6  # rise of the miss share per doubling of the load beyond the last point

Point = tuple[float, float]  # load, miss share
_Pool = tuple[float, float, float]  # load, attempts, missed


class MissCurve:
    """What was observed of one zone: decayed attempts and misses by load."""

    __slots__ = ("buckets",)

    def __init__(self) -> None:
        self.buckets: dict[int, DecayedTotals] = {}  # by logarithm of the load: attempts, missed

    def add(self, now: int, load: float, attempts: float, missed: float) -> None:
        """Add attempts, and those of them that missed, at a load above 0."""
        bucket = round(log(load) / BUCKET_WIDTH)
        self.buckets.setdefault(bucket, DecayedTotals(CURVE_SPAN, 2)).add(now, attempts, missed)

    def fit(self, now: int, others: Iterable["MissCurve"]) -> list[Point]:
        """Points of the fitted curve by rising load; empty where nothing was observed.

        The curves of other zones count a little.
        """
        totals = self._weighted_totals(now, others)
        return _convex_hull(_isotonic_fit(totals))

    def _weighted_totals(self, now: int, others: Iterable["MissCurve"]) -> list[_Pool]:
        weighted = [(self, 1.0), *((other, OTHER_ZONES_SHARE) for other in others)]
        totals: dict[int, list[float]] = {}
        for curve, weight in weighted:
            for bucket, decayed in curve.buckets.items():
                attempts, missed = decayed.read(now)
                known = totals.setdefault(bucket, [0.0, 0.0])
                known[0] += weight * attempts
                known[1] += weight * missed
        return [
            (exp(bucket * BUCKET_WIDTH), totals[bucket][0], totals[bucket][1])
            for bucket in sorted(totals)
            if totals[bucket][0] >= MINIMUM_ATTEMPTS
        ]


def _isotonic_fit(observed: Iterable[_Pool]) -> list[_Pool]:
    """Pool neighbours until the miss share rises strictly with load."""
    pools: list[_Pool] = []
    for pool in observed:
        pools.append(pool)
        while len(pools) > 1 and pools[-2][2] * pools[-1][1] >= pools[-1][2] * pools[-2][1]:
            upper = pools.pop()
            pools[-1] = _merged(pools[-1], upper)
    return pools


def _merged(lower: _Pool, upper: _Pool) -> _Pool:
    attempts = lower[1] + upper[1]
    load = (lower[0] * lower[1] + upper[0] * upper[1]) / attempts
    return load, attempts, lower[2] + upper[2]


def _convex_hull(pools: Iterable[_Pool]) -> list[Point]:
    """The lower convex hull of the miss shares, from the origin on, without the origin."""
    hull: list[Point] = [(0.0, 0.0)]
    for load, attempts, missed in pools:
        share = missed / attempts
        while len(hull) > 1 and _is_above(hull[-2], hull[-1], load, share):
            hull.pop()
        hull.append((load, share))
    return hull[1:]


def _is_above(first: Point, middle: Point, load: float, share: float) -> bool:
    """Whether the middle point lies above the line from the first one to (load, share)."""
    return (middle[1] - first[1]) * (load - middle[0]) > (share - middle[1]) * (middle[0] - first[0])


def read_curve(points: list[Point], load: float) -> float:
    """The miss share expected at a load, from the points of a fitted curve (at least one).

    Beyond the last point it goes on rising, so that more load is never free.
    """
    load_below = 0.0
    share_below = 0.0
    for load_above, share_above in points:
        if load <= load_above:
            return share_below + (share_above - share_below) * (load - load_below) / (load_above - load_below)
        load_below = load_above
        share_below = share_above
    return share_below + EXTRAPOLATION_SLOPE * (load / load_below - 1)
