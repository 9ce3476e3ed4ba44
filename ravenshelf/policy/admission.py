"""Admission control: an estimate of the load that endpoints can carry, and the levels that shed the rest.

The capacity estimate is a load per weight. It falls while endpoints are loaded and many attempts miss the
latency objective. It rises while few attempts miss at a load near the estimate.
"""

from collections.abc import Collection, Sequence

from ravenshelf.policy.decayed_totals import median, median_or
from ravenshelf.policy.endpoints import Endpoint
from ravenshelf.policy.proxies import Proxy
from ravenshelf.policy.service_time import ServiceTimeEstimator
from ravenshelf.policy.water_filling import water_filling_level
from ravenshelf.settings import Settings, TrafficGroup

# Capacities are loads per weight: the requests in service, divided by the effective weight.

# The capacity counts as unlimited where listed weights do not express the size of endpoints.
UNLIMITED_CAPACITY = 1e6
INITIAL_CAPACITY = 0.8
# The estimate falls if more than this share of the attempts miss.
OVERLOAD_MISS_SHARE = 0.10
# Endpoints are calm, and the estimate may rise, if less than this share of the attempts miss.
CALM_MISS_SHARE = 0.06
# In a solve interval with overload, the estimate falls to this share of itself, or of the load if lower.
DECREASE_FACTOR = 0.75
# In a solve interval in which the estimate may rise, it is multiplied by this.
INCREASE_FACTOR = 1.1
# A low miss share raises the estimate only if the load exceeds this share of the estimate, because few
# misses at a lower load do not show that the capacity is greater.
NEAR_CAPACITY_SHARE = 0.9
# An overload does not lower the estimate below a multiple of the load that was carried in calm. The multiple
# is this value less half of the miss share, and at most 1.
MINIMUM_CARRIED_FACTOR = 1.1
# Where no calm was observed before the first overload, the carried load is the load at that time, or the
# estimate if that is lower, divided by this.
FIRST_CARRIED_DIVISOR = 2
# In each calm solve interval, the load carried in calm is multiplied by this before it is compared with the
# present load.
CARRIED_DECAY = 0.995
# In each calm solve interval, the load that endpoints reported in calm is multiplied by this before it is
# compared with the presently reported load.
CALM_LOAD_DECAY = 0.99
# Endpoints are idle if the reported load is at most the load reported in calm times this factor, plus
# this margin (load per weight).
IDLE_LOAD_FACTOR = 1.3
IDLE_LOAD_MARGIN = 0.1
# The health factor of idle endpoints is their median health score raised to this power.
IDLE_HEALTH_EXPONENT = 0.5
# The miss share of an endpoint counts only with more than this many attempts (decayed), and its load only
# with more than this many reports (decayed).
MINIMUM_ATTEMPTS = 1
MINIMUM_REPORTS = 0.2
# At least this share of a traffic group's demand, or of the admitted rate if that is less, is admitted
# whatever its priority weight.
MINIMUM_GROUP_SHARE = 0.05
# No load is shed if at least this share of all demand is admitted, and none of a traffic group's if at least
# this share of its demand is admitted.
FULL_ADMISSION_SHARE = 0.99
FULL_GROUP_SHARE = 0.999
# Lower admission levels are raised to this, so that a level is never 0. It has the unit of the levels.
MINIMUM_LEVEL = 0.02


class AdmissionControl:
    """The capacity estimate, and the admission levels that follow from it.

    Attributes:
        capacity_estimate: The load per weight that endpoints can carry.
        carried_load: The load per weight that endpoints carried in calm; it decays slowly.
        idle_health_factor: A factor on the load; it is 1 unless endpoints are idle. If all endpoints fail,
            their effective weights fall and so the load rises, although idle endpoints have capacity left.
            The factor corrects part of this.
    """

    def __init__(self, settings: Settings, service_time: ServiceTimeEstimator):
        self._groups: tuple[TrafficGroup, ...] = settings.traffic_groups
        self._level_kind = settings.service.admission_level_kind
        self._service_time = service_time
        has_meaningful_weights = settings.weight_kind != "none"
        self.capacity_estimate = INITIAL_CAPACITY if has_meaningful_weights else UNLIMITED_CAPACITY
        self.carried_load = 0.0
        self.idle_health_factor = 1.0
        self._calm_reported_load = 0.0  # load per weight that endpoints reported in calm

    def admitted_share(
        self,
        now: int,
        total_effective_weight: float,
        demand: float,
        usable_endpoints: Collection[Endpoint],
        adapts_estimate: bool,
    ) -> float:
        """Return the share of the demand that the endpoints can carry.

        Args:
            now: The time in microseconds.
            total_effective_weight: The sum of the effective weights of all endpoints.
            demand: The requests per second of all zones.
            usable_endpoints: The endpoints whose reports count.
            adapts_estimate: Whether to adapt the capacity estimate to the reports first.

        Returns:
            A share of at most 1; 1 while the service time is unknown, or without demand or weight.
        """
        self._service_time.update(now)
        if not self._service_time.seconds or not demand or not total_effective_weight:
            return 1.0
        load = demand * self._service_time.seconds / total_effective_weight * self.idle_health_factor
        if adapts_estimate:
            self._adapt_estimate(now, load, usable_endpoints)
        return min(1.0, self.capacity_estimate / load)

    def _adapt_estimate(self, now: int, load: float, usable_endpoints: Collection[Endpoint]) -> None:
        miss_share = _median_miss_share(now, usable_endpoints)
        reported_load = _median_reported_load(now, usable_endpoints)
        is_calm = miss_share < CALM_MISS_SHARE
        if is_calm:
            self.carried_load = max(self.carried_load * CARRIED_DECAY, min(load, self.capacity_estimate))
            self._calm_reported_load = max(self._calm_reported_load * CALM_LOAD_DECAY, reported_load or 0.0)
        is_idle = (
            reported_load is not None
            and reported_load <= IDLE_LOAD_FACTOR * self._calm_reported_load + IDLE_LOAD_MARGIN
        )
        self.idle_health_factor = _idle_health_factor(now, usable_endpoints) if is_idle else 1.0
        is_unloaded = is_calm or (reported_load is not None and reported_load <= self._calm_reported_load)
        if is_unloaded and load > NEAR_CAPACITY_SHARE * self.capacity_estimate:
            self.capacity_estimate *= INCREASE_FACTOR
        elif miss_share > OVERLOAD_MISS_SHARE and not is_idle:
            self._decrease(load, miss_share)

    def _decrease(self, load: float, miss_share: float) -> None:
        present_capacity = min(self.capacity_estimate, load)
        self.carried_load = self.carried_load or present_capacity / FIRST_CARRIED_DIVISOR
        minimum_capacity = min(1.0, MINIMUM_CARRIED_FACTOR - miss_share / 2) * self.carried_load
        self.capacity_estimate = max(minimum_capacity, DECREASE_FACTOR * present_capacity)

    def levels(self, now: int, admitted_rate: float, proxies: Collection[Proxy]) -> dict[int, float]:
        """Return the admission levels that shed the demand that is not admitted.

        Load of the traffic group with the lowest priority weight is shed first.

        Args:
            now: The time in microseconds.
            admitted_rate: The requests per second to admit over all proxies.
            proxies: The joined proxies.

        Returns:
            The level by traffic group: requests per second and proxy, or a fraction of the requests, as the
            settings state. All requests of other groups are admitted.
        """
        if self._level_kind not in ("per_second", "fraction"):
            return {}
        demands = self._demand_by_group(now, proxies)
        if admitted_rate >= FULL_ADMISSION_SHARE * sum(map(sum, demands)):
            return {}
        levels = {}
        remaining_rate = admitted_rate
        groups_by_priority = sorted(
            range(len(self._groups)), key=lambda group: -self._groups[group].priority_weight
        )
        for group in groups_by_priority:
            group_demand = sum(demands[group])
            group_budget = max(remaining_rate, MINIMUM_GROUP_SHARE * min(admitted_rate, group_demand))
            remaining_rate -= group_demand
            if group_budget < FULL_GROUP_SHARE * group_demand:
                levels[group] = self._level(demands[group], group_budget)
        return levels

    def _demand_by_group(self, now: int, proxies: Collection[Proxy]) -> list[list[float]]:
        """Return, for each traffic group, the requests per second of each proxy."""
        no_demand = [0.0] * len(self._groups)
        by_proxy = [proxy.demand(now) or no_demand for proxy in proxies]
        return [[demand[group] for demand in by_proxy] for group in range(len(self._groups))]

    def _level(self, demands: Sequence[float], budget: float) -> float:
        if self._level_kind == "fraction":
            return round(max(MINIMUM_LEVEL, budget / sum(demands)), 2)
        level = water_filling_level(demands, budget)
        assert level is not None, "the budget must be less than the total demand"
        return round(max(MINIMUM_LEVEL, level), 2)


def _median_miss_share(now: int, usable_endpoints: Collection[Endpoint]) -> float:
    """Return the median miss share of the endpoints.

    Without reports, this is a value that means neither calm nor overload.
    """
    totals = [endpoint.misses.read(now) for endpoint in usable_endpoints]
    shares = [missed / attempts for attempts, missed in totals if attempts > MINIMUM_ATTEMPTS]
    return median_or(shares, CALM_MISS_SHARE)


def _median_reported_load(now: int, usable_endpoints: Collection[Endpoint]) -> float | None:
    """Return the median load per weight that endpoints report; None if no endpoint reports its load."""
    totals = [endpoint.reported_load.read(now) for endpoint in usable_endpoints]
    return median([load / reports for reports, load in totals if reports > MINIMUM_REPORTS])


def _idle_health_factor(now: int, usable_endpoints: Collection[Endpoint]) -> float:
    scores = [endpoint.health_score(now) for endpoint in usable_endpoints]
    return median_or(scores, 1.0) ** IDLE_HEALTH_EXPONENT
