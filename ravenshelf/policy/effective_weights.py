"""Endpoint strengths: the weight that each endpoint gets inside its zone.

A strength is the listed weight, corrected by health, measured latency, how busy the machine is, and slow
start.
"""

from collections.abc import Iterable, Mapping

from ravenshelf.policy.decayed_totals import median, median_or
from ravenshelf.policy.endpoints import Endpoint, EndpointDirectory
from ravenshelf.policy.latency_bounds import MissBound
from ravenshelf.policy.proxies import Proxy
from ravenshelf.policy.slow_start import SlowStart

MINIMUM_SUCCESSES = 2  # decayed successful attempts, for a mean latency to count
MINIMUM_SPEED = 0.1  # of an endpoint against the middle of its zone
MAXIMUM_SPEED = 2.0
MINIMUM_SAMPLES = 0.05  # decayed host load samples, for a machine to be known
MINIMUM_SAMPLED_MACHINES = 3  # of a zone, for their median to mean anything
EXCESS_BUSY_SHARE = 0.2  # over the median of the zone: where the discount begins, and its width
MAXIMUM_BUSY_DISCOUNT = 0.5  # of the weight
MINIMUM_WARM_ENDPOINTS = 3  # of a zone that can do without those that warm up
HALF_WARM_SHARE = 0.5  # capacity share up to which an endpoint is withheld in a failing zone
FAILING_HEALTH = 0.6  # median of the warm endpoints of a failing zone


class EffectiveWeights:
    """Computes the strengths of all usable endpoints.

    `outlier_after` is the failures in a row after which a proxy avoids an endpoint (0: never).
    """

    def __init__(
        self,
        directory: EndpointDirectory,
        slow_start: SlowStart,
        miss_bound: MissBound,
        zone_count: int,
        outlier_after: int,
    ):
        self._directory = directory
        self._slow_start = slow_start
        self._miss_bound = miss_bound
        self._zone_count = zone_count
        self._outlier_after = outlier_after

    def by_zone(
        self, now: int, proxies: Mapping[int, Proxy], partition_counts: list[int]
    ) -> list[dict[int, float]]:
        """For each zone: strength by endpoint index.

        Endpoints that are withheld for warming up are left out.
        """
        usable = self._directory.list_usable()
        quality = self._quality(now, usable)
        ramp = {endpoint: self._slow_start.capacity_share(endpoint, now) for endpoint in usable}
        warm = self._warm_by_zone(quality, ramp)
        withholds = self._zones_that_withhold(now, warm, proxies, partition_counts)
        effective_weights: list[dict[int, float]] = [{} for _ in range(self._zone_count)]
        for endpoint, value in quality.items():
            share = ramp[endpoint]
            of_zone = warm[endpoint.zone]
            middle = median_or(of_zone, value)
            if share < 1:
                if self._is_withheld(share, middle, bool(of_zone), withholds[endpoint.zone]):
                    continue
                value = min(value, middle) / self._cold_share_divisor(endpoint, now)
            effective_weights[endpoint.zone][endpoint.index] = endpoint.weight * share * value
        return effective_weights

    def _cold_share_divisor(self, endpoint: Endpoint, now: int) -> float:
        """A server knows no capacity of what started before its own first report."""
        if endpoint.started_at < (self._miss_bound.first_report_at or now):
            return self._slow_start.cold_share_divisor
        return 1.0

    def _is_withheld(self, share: float, middle: float, has_warm: bool, zone_withholds: bool) -> bool:
        """Where proxies eject outliers by themselves, a cold endpoint may be left with all their requests."""
        if not self._outlier_after or not has_warm:
            return False
        return zone_withholds or (share <= HALF_WARM_SHARE and middle <= FAILING_HEALTH)

    def _warm_by_zone(
        self, quality: Mapping[Endpoint, float], ramp: Mapping[Endpoint, float]
    ) -> list[list[float]]:
        warm: list[list[float]] = [[] for _ in range(self._zone_count)]
        for endpoint, value in quality.items():
            if ramp[endpoint] == 1:
                warm[endpoint.zone].append(value)
        return warm

    def _zones_that_withhold(
        self, now: int, warm: list[list[float]], proxies: Mapping[int, Proxy], partition_counts: list[int]
    ) -> list[bool]:
        """Whether, by zone, a proxy would eject a failing endpoint before load reports tell of it."""
        rates = [max(proxy.nominal_rate, sum(proxy.demand(now) or ())) for proxy in proxies.values()]
        rate_of_a_request = sum(rate * rate for rate in rates) / (sum(rates) or 1)
        return [
            len(of_zone) >= MINIMUM_WARM_ENDPOINTS
            and rate_of_a_request * max(1, partitions) > self._outlier_after * len(of_zone)
            for of_zone, partitions in zip(warm, partition_counts, strict=True)
        ]

    def _quality(self, now: int, usable: Iterable[Endpoint]) -> dict[Endpoint, float]:
        """Health times speed, less the discount for busy machines."""
        latencies = self._mean_latencies(now)
        of_zone = [
            median([latency for endpoint, latency in latencies.items() if endpoint.zone == zone])
            for zone in range(self._zone_count)
        ]
        of_kind = {
            kind: median(
                [latency for endpoint, latency in latencies.items() if endpoint.machine_kind == kind]
            )
            for kind in {endpoint.machine_kind for endpoint in latencies}
        }
        quality = {}
        for endpoint in usable:
            latency = latencies.get(endpoint) or of_kind.get(endpoint.machine_kind)
            middle = of_zone[endpoint.zone]
            speed = middle / latency if latency and middle else 1.0
            quality[endpoint] = endpoint.health_score(now) * min(MAXIMUM_SPEED, max(MINIMUM_SPEED, speed))
        self._discount_busy_machines(now, quality)
        return quality

    def _mean_latencies(self, now: int) -> dict[Endpoint, float]:
        """Microseconds, of the endpoints of which enough was reported."""
        latencies = {}
        for endpoint in self._directory.by_index.values():
            succeeded, latency_total = endpoint.latency.read(now)
            if succeeded > MINIMUM_SUCCESSES:
                latencies[endpoint] = latency_total / succeeded
        return latencies

    def _discount_busy_machines(self, now: int, quality: dict[Endpoint, float]) -> None:
        sampled: list[dict[Endpoint, tuple[float, float]]] = [{} for _ in range(self._zone_count)]
        for endpoint in quality:
            samples, busy_total = endpoint.host_load.read(now)
            if samples > MINIMUM_SAMPLES:
                sampled[endpoint.zone][endpoint] = samples, busy_total / samples
        for machines in sampled:
            if len(machines) >= MINIMUM_SAMPLED_MACHINES:
                usual = median_or([busy for _, busy in machines.values()], 0.0)
                for endpoint, (samples, busy) in machines.items():
                    quality[endpoint] *= _busy_factor(samples, busy - usual)


def _busy_factor(samples: float, excess: float) -> float:
    """What a machine that is busier than the median of its zone leaves of the weight."""
    severity = min(1.0, max(0.0, excess - EXCESS_BUSY_SHARE) / EXCESS_BUSY_SHARE)
    return 1 - MAXIMUM_BUSY_DISCOUNT * min(1.0, samples) * severity
