"""Effective weights: the weight that each endpoint gets within its zone.

An effective weight is the listed weight, corrected by health, measured latency, the load of the endpoint's
machine and slow start.
"""

from collections.abc import Iterable, Mapping

from ravenshelf.policy.decayed_totals import median, median_or
from ravenshelf.policy.endpoints import Endpoint, EndpointDirectory
from ravenshelf.policy.latency_bounds import MissBound
from ravenshelf.policy.proxies import Proxy
from ravenshelf.policy.slow_start import SlowStart

# An endpoint's mean latency counts only with more than this many successful attempts (decayed).
MINIMUM_SUCCESSES = 2
# The speed of an endpoint relative to the median of its zone is limited to this range.
MINIMUM_SPEED = 0.1
MAXIMUM_SPEED = 2.0
# A machine's busy share counts only with more than this many host load samples (decayed).
MINIMUM_SAMPLES = 0.05
# The median busy share of a zone counts from this many sampled machines on.
MINIMUM_SAMPLED_MACHINES = 3
# The discount for a busy machine begins at this busy share above the median of its zone, and reaches its
# maximum at twice this excess.
EXCESS_BUSY_SHARE = 0.2
# A busy machine costs its endpoint at most this share of the weight.
MAXIMUM_BUSY_DISCOUNT = 0.5
# A zone with at least this many warm endpoints can do without those that are warming up.
MINIMUM_WARM_ENDPOINTS = 3
# In a failing zone, an endpoint that is warming up is withheld while its capacity share is at most this.
HALF_WARM_SHARE = 0.5
# A zone is failing if the median weight factor of its warm endpoints is at most this.
FAILING_HEALTH = 0.6


class EffectiveWeights:
    """The computation of the effective weights of all usable endpoints."""

    def __init__(
        self,
        directory: EndpointDirectory,
        slow_start: SlowStart,
        miss_bound: MissBound,
        zone_count: int,
        outlier_after_failures: int,
    ):
        """Create the computation.

        Args:
            directory: All endpoints.
            slow_start: The capacity shares of endpoints that are warming up.
            miss_bound: The miss bound, which records the time of the first load report.
            zone_count: The number of zones.
            outlier_after_failures: The consecutive failures after which a proxy ejects an endpoint as an
                outlier by itself; 0: proxies never do.
        """
        self._directory = directory
        self._slow_start = slow_start
        self._miss_bound = miss_bound
        self._zone_count = zone_count
        self._outlier_after_failures = outlier_after_failures

    def by_zone(
        self, now: int, proxies: Mapping[int, Proxy], partition_counts: list[int]
    ) -> list[dict[int, float]]:
        """Return the effective weight by endpoint index, for each zone.

        Args:
            now: The time in microseconds.
            proxies: The joined proxies.
            partition_counts: The number of endpoint partitions of each zone.

        Returns:
            One dictionary for each zone. Endpoints that are withheld while they warm up are left out.
        """
        usable_endpoints = self._directory.list_usable()
        weight_factors = self._weight_factors(now, usable_endpoints)
        capacity_shares = {
            endpoint: self._slow_start.capacity_share(endpoint, now) for endpoint in usable_endpoints
        }
        warm_factors = self._warm_factors_by_zone(weight_factors, capacity_shares)
        withholding_zones = self._withholding_zones(now, warm_factors, proxies, partition_counts)
        effective_weights: list[dict[int, float]] = [{} for _ in range(self._zone_count)]
        for endpoint, factor in weight_factors.items():
            share = capacity_shares[endpoint]
            zone_factors = warm_factors[endpoint.zone]
            median_factor = median_or(zone_factors, factor)
            if share < 1:
                if self._is_withheld(
                    share, median_factor, bool(zone_factors), withholding_zones[endpoint.zone]
                ):
                    continue
                factor = min(factor, median_factor) / self._cold_share_divisor(endpoint, now)
            effective_weights[endpoint.zone][endpoint.index] = endpoint.weight * share * factor
        return effective_weights

    def _cold_share_divisor(self, endpoint: Endpoint, now: int) -> float:
        """Return the divisor for the weight of an endpoint that is warming up.

        The divisor is greater than 1 only for endpoints that started before this server's first load report,
        because the server does not know their capacity.
        """
        if endpoint.started_at < (self._miss_bound.first_report_at or now):
            return self._slow_start.cold_share_divisor
        return 1.0

    def _is_withheld(self, share: float, median_factor: float, has_warm: bool, zone_withholds: bool) -> bool:
        """Return whether an endpoint that is warming up is left out of the tables.

        Where proxies eject outliers by themselves, they may eject all warm endpoints and send all their
        requests to a cold one.
        """
        if not self._outlier_after_failures or not has_warm:
            return False
        return zone_withholds or (share <= HALF_WARM_SHARE and median_factor <= FAILING_HEALTH)

    def _warm_factors_by_zone(
        self, weight_factors: Mapping[Endpoint, float], capacity_shares: Mapping[Endpoint, float]
    ) -> list[list[float]]:
        """Return the weight factors of the warm endpoints, for each zone."""
        warm_factors: list[list[float]] = [[] for _ in range(self._zone_count)]
        for endpoint, factor in weight_factors.items():
            if capacity_shares[endpoint] == 1:
                warm_factors[endpoint.zone].append(factor)
        return warm_factors

    def _withholding_zones(
        self,
        now: int,
        warm_factors: list[list[float]],
        proxies: Mapping[int, Proxy],
        partition_counts: list[int],
    ) -> list[bool]:
        """Return for each zone whether proxies would eject failing endpoints before load reports show them.

        This depends on the mean request rate of a proxy. Each proxy counts in proportion to its requests.
        """
        rates = [max(proxy.nominal_rate, sum(proxy.demand(now) or ())) for proxy in proxies.values()]
        mean_rate_of_requests = sum(rate * rate for rate in rates) / (sum(rates) or 1)
        return [
            len(zone_factors) >= MINIMUM_WARM_ENDPOINTS
            and mean_rate_of_requests * max(1, partition_count)
            > self._outlier_after_failures * len(zone_factors)
            for zone_factors, partition_count in zip(warm_factors, partition_counts, strict=True)
        ]

    def _weight_factors(self, now: int, usable_endpoints: Iterable[Endpoint]) -> dict[Endpoint, float]:
        """Return the health score times the relative speed, less the discount for busy machines.

        The speed is the median latency of the zone over the mean latency of the endpoint, or over the median
        latency of its machine kind as long as its own is unknown.
        """
        latencies = self._mean_latencies(now)
        zone_medians = [
            median([latency for endpoint, latency in latencies.items() if endpoint.zone == zone])
            for zone in range(self._zone_count)
        ]
        kind_medians = {
            kind: median(
                [latency for endpoint, latency in latencies.items() if endpoint.machine_kind == kind]
            )
            for kind in {endpoint.machine_kind for endpoint in latencies}
        }
        weight_factors = {}
        for endpoint in usable_endpoints:
            latency = latencies.get(endpoint) or kind_medians.get(endpoint.machine_kind)
            zone_median = zone_medians[endpoint.zone]
            speed = zone_median / latency if latency and zone_median else 1.0
            weight_factors[endpoint] = endpoint.health_score(now) * min(
                MAXIMUM_SPEED, max(MINIMUM_SPEED, speed)
            )
        self._discount_busy_machines(now, weight_factors)
        return weight_factors

    def _mean_latencies(self, now: int) -> dict[Endpoint, float]:
        """Return the mean latency in microseconds of each endpoint with enough reported successes."""
        latencies = {}
        for endpoint in self._directory.by_index.values():
            successes, latency_total = endpoint.latency.read(now)
            if successes > MINIMUM_SUCCESSES:
                latencies[endpoint] = latency_total / successes
        return latencies

    def _discount_busy_machines(self, now: int, weight_factors: dict[Endpoint, float]) -> None:
        """Reduce, in place, the weight factors of endpoints on machines busier than those of their zone."""
        samples_by_zone: list[dict[Endpoint, tuple[float, float]]] = [{} for _ in range(self._zone_count)]
        for endpoint in weight_factors:
            samples, busy_total = endpoint.host_load.read(now)
            if samples > MINIMUM_SAMPLES:
                samples_by_zone[endpoint.zone][endpoint] = samples, busy_total / samples
        for machines in samples_by_zone:
            if len(machines) >= MINIMUM_SAMPLED_MACHINES:
                median_busy = median_or([busy for _, busy in machines.values()], 0.0)
                for endpoint, (samples, busy) in machines.items():
                    weight_factors[endpoint] *= _busy_factor(samples, busy - median_busy)


def _busy_factor(samples: float, excess: float) -> float:
    """Return the factor on the weight for a busy share that exceeds the median of the zone by `excess`.

    With less than one sample (decayed) the discount is proportional to the samples.
    """
    severity = min(1.0, max(0.0, excess - EXCESS_BUSY_SHARE) / EXCESS_BUSY_SHARE)
    return 1 - MAXIMUM_BUSY_DISCOUNT * min(1.0, samples) * severity
