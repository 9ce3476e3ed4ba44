"""Demand by zone: of the proxies that joined here, and estimated for those of other control-plane servers."""

from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

from ravenshelf.policy.proxies import Proxy
from ravenshelf.settings import ServiceSettings

SMALLEST_DIVISOR = 1e-9


class ZoneDemand(NamedTuple):
    """Requests per second by zone: of the own proxies, and of all proxies of the deployment."""

    local_rates: list[float]
    total_rates: list[float]


class DemandEstimator:
    """Estimates demand.

    Where whole zones join one server (`proxies_join_by_zone`), each missing proxy of a zone counts as the
    mean usual rate of the own ones; else the others' demand is as that of the own proxies now.
    """

    def __init__(self, service: ServiceSettings, zone_count: int):
        self._proxy_count = service.proxy_count
        self._join_by_zone = service.proxies_join_by_zone
        self._zone_count = zone_count

    def by_zone(self, now: int, proxies: Mapping[int, Proxy]) -> ZoneDemand:
        """The demand at a time in microseconds, of the joined proxies by index."""
        local_rates = [0.0] * self._zone_count
        for proxy in proxies.values():
            local_rates[proxy.zone] += proxy.total_demand(now)
        missing = self._missing_proxies(proxies)
        known_rate = (
            sum(proxy.nominal_rate for proxy in proxies.values()) if self._join_by_zone else sum(local_rates)
        )
        missing_count = max(0, self._proxy_count - len(proxies))
        joined_count = max(1, len(proxies))
        scale = missing_count * known_rate / joined_count / max(sum(missing), SMALLEST_DIVISOR)
        total_rates = [known + scale * part for known, part in zip(local_rates, missing, strict=True)]
        return ZoneDemand(local_rates, total_rates)

    def _missing_proxies(self, proxies: Mapping[int, Proxy]) -> list[float]:
        """By zone: proxies that have not joined here, or only their proportions."""
        if not self._join_by_zone:
            return [1.0] * self._zone_count
        joined = Counter(proxy.zone for proxy in proxies.values())
        expected = self._proxy_count / self._zone_count
        return [max(0.0, expected - joined[zone]) for zone in range(self._zone_count)]
