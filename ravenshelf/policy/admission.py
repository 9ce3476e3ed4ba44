"""Admission control: how much demand endpoints can carry, and the levels that shed the rest.

The capacity estimate is the load over weight that endpoints are believed to carry. It falls while attempts
miss and endpoints are loaded, and rises while few miss at a load near the estimate.
"""

from collections.abc import Collection, Sequence

from ravenshelf.policy.decayed_totals import median, median_or
from ravenshelf.policy.endpoints import Endpoint
from ravenshelf.policy.proxies import Proxy
from ravenshelf.policy.service_time import ServiceTimeEstimator
from ravenshelf.policy.water_filling import water_filling_level
from ravenshelf.settings import Settings, TrafficGroup

UNLIMITED_CAPACITY = 1e6  # load over weight, where weights say nothing of size
INITIAL_CAPACITY = 0.8  # load over weight
OVERLOAD_MISS_SHARE = 0.10  # of the attempts: above, the estimate falls
CALM_MISS_SHARE = 0.06  # of the attempts: below, it may rise
DECREASE_FACTOR = 0.75  # per solve interval
INCREASE_FACTOR = 1.1  # per solve interval
NEAR_CAPACITY_SHARE = 0.9  # of the estimate: below, calm proves nothing
LEAST_OF_CARRIED = 1.1  # of the load carried in calm, less half of the miss share: the least estimate
FIRST_CARRIED_DIVISOR = 2  # of the load at the first overload, where no calm was seen
CARRIED_DECAY = 0.995  # per calm solve interval
CALM_LOAD_DECAY = 0.99  # per calm solve interval
IDLE_LOAD_FACTOR = 1.3  # of the load reported in calm
IDLE_LOAD_MARGIN = 0.1  # load over weight
HEALTH_DISCOUNT_EXPONENT = 0.5
MINIMUM_ATTEMPTS = 1  # decayed attempts of an endpoint, for its miss share to count
MINIMUM_REPORTS = 0.2  # decayed reports of an endpoint, for its load to count
MINIMUM_GROUP_SHARE = 0.05  # of a traffic group's demand, admitted whatever its priority
FULL_ADMISSION_SHARE = 0.99  # of all demand: admission above sheds nothing
FULL_GROUP_SHARE = 0.999  # of a group's demand: the same
MINIMUM_LEVEL = 0.02  # a level is never 0


class AdmissionControl:
    """Estimates capacity, and computes admission levels.

    `capacity_estimate` is load over weight; `carried` the load over weight that was carried in calm;
    `health_discount` what is left of usual health over all endpoints while they are idle (1: all).
    """

    def __init__(self, settings: Settings, service_time: ServiceTimeEstimator):
        self._groups: tuple[TrafficGroup, ...] = settings.traffic_groups
        self._level_kind = settings.service.admission_level_kind
        self._service_time = service_time
        weights_tell_size = settings.weight_kind != "none"
        self.capacity_estimate = INITIAL_CAPACITY if weights_tell_size else UNLIMITED_CAPACITY
        self.carried_load = 0.0
        self.idle_health_factor = 1.0
        self._calm_load = 0.0  # reported load over weight, in calm

    def admitted_share(
        self,
        now: int,
        total_effective_weight: float,
        demand: float,
        usable: Collection[Endpoint],
        learn: bool,
    ) -> float:
        """The share of demand (requests per second) that endpoints of a total strength can carry.

        With `learn` the capacity estimate is adapted to what endpoints report.
        """
        self._service_time.update(now)
        if not self._service_time.seconds or not demand or not total_effective_weight:
            return 1.0
        load = demand * self._service_time.seconds / total_effective_weight * self.idle_health_factor
        if learn:
            self._learn(now, load, usable)
        return min(1.0, self.capacity_estimate / load)

    def _learn(self, now: int, load: float, usable: Collection[Endpoint]) -> None:
        miss_share = _median_miss_share(now, usable)
        reported = _median_reported_load(now, usable)
        is_calm = miss_share < CALM_MISS_SHARE
        if is_calm:
            self.carried_load = max(self.carried_load * CARRIED_DECAY, min(load, self.capacity_estimate))
            self._calm_load = max(self._calm_load * CALM_LOAD_DECAY, reported or 0.0)
        is_idle = reported is not None and reported <= IDLE_LOAD_FACTOR * self._calm_load + IDLE_LOAD_MARGIN
        self.idle_health_factor = _idle_health_factor(now, usable) if is_idle else 1.0
        is_unloaded = is_calm or (reported is not None and reported <= self._calm_load)
        if is_unloaded and load > NEAR_CAPACITY_SHARE * self.capacity_estimate:
            self.capacity_estimate *= INCREASE_FACTOR
        elif miss_share > OVERLOAD_MISS_SHARE and not is_idle:
            self._decrease(load, miss_share)

    def _decrease(self, load: float, miss_share: float) -> None:
        present = min(self.capacity_estimate, load)
        self.carried_load = self.carried_load or present / FIRST_CARRIED_DIVISOR
        least = min(1.0, LEAST_OF_CARRIED - miss_share / 2) * self.carried_load
        self.capacity_estimate = max(least, DECREASE_FACTOR * present)

    def levels(self, now: int, admitted: float, proxies: Collection[Proxy]) -> dict[int, float]:
        """Admission levels by traffic group, to admit so many requests per second; empty: all are admitted.

        The group of the least priority weight is shed first. A level is requests per second and proxy, or a
        fraction, by the settings.
        """
        if self._level_kind not in ("per_second", "fraction"):
            return {}
        demands = self._demand_by_group(now, proxies)
        if admitted >= FULL_ADMISSION_SHARE * sum(map(sum, demands)):
            return {}
        levels = {}
        left = admitted
        by_priority = sorted(range(len(self._groups)), key=lambda group: -self._groups[group].priority_weight)
        for group in by_priority:
            total = sum(demands[group])
            part = max(left, MINIMUM_GROUP_SHARE * min(admitted, total))
            left -= total
            if part < FULL_GROUP_SHARE * total:
                levels[group] = self._level(demands[group], part)
        return levels

    def _demand_by_group(self, now: int, proxies: Collection[Proxy]) -> list[list[float]]:
        nothing = [0.0] * len(self._groups)
        by_proxy = [proxy.demand(now) or nothing for proxy in proxies]
        return [[demand[group] for demand in by_proxy] for group in range(len(self._groups))]

    def _level(self, demands: Sequence[float], budget: float) -> float:
        if self._level_kind == "fraction":
            return round(max(MINIMUM_LEVEL, budget / sum(demands)), 2)
        level = water_filling_level(demands, budget)
        assert level is not None, "the budget is less than the demand"
        return round(max(MINIMUM_LEVEL, level), 2)


def _median_miss_share(now: int, usable: Collection[Endpoint]) -> float:
    """Over endpoints; where nothing was reported, neither calm nor overload."""
    totals = [endpoint.misses.read(now) for endpoint in usable]
    shares = [missed / attempts for attempts, missed in totals if attempts > MINIMUM_ATTEMPTS]
    return median_or(shares, CALM_MISS_SHARE)


def _median_reported_load(now: int, usable: Collection[Endpoint]) -> float | None:
    """Load over weight, over endpoints; None where endpoints report none."""
    totals = [endpoint.reported_load.read(now) for endpoint in usable]
    return median([load / reports for reports, load in totals if reports > MINIMUM_REPORTS])


def _idle_health_factor(now: int, usable: Collection[Endpoint]) -> float:
    scores = [endpoint.health_score(now) for endpoint in usable]
    return median_or(scores, 1.0) ** HEALTH_DISCOUNT_EXPONENT
