"""Demand by zone, for the proxies of this server and, as an estimate, for all proxies of the deployment."""

from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

from ravenshelf.policy.proxies import Proxy
from ravenshelf.settings import ServiceSettings

SMALLEST_DIVISOR = 1e-9


class ZoneDemand(NamedTuple):
    """Requests per second by zone: of the proxies of this server, and of all proxies of the deployment."""

    local_rates: list[float]
    total_rates: list[float]


class DemandEstimator:
    """An estimate of the demand of all proxies, from the demand of those that joined this server.

    If all proxies of a zone join the same server (`proxies_join_by_zone`), each proxy that has joined
    elsewhere counts with the mean nominal rate of the proxies that joined here. Otherwise it counts with
    their mean current demand.
    """

    def __init__(self, service: ServiceSettings, zone_count: int):
        self._proxy_count = service.proxy_count
        self._join_by_zone = service.proxies_join_by_zone
        self._zone_count = zone_count

    def by_zone(self, now: int, proxies: Mapping[int, Proxy]) -> ZoneDemand:
        """Return the demand at a time in microseconds, given the joined proxies by index."""
        local_rates = [0.0] * self._zone_count
        for proxy in proxies.values():
            local_rates[proxy.zone] += proxy.total_demand(now)
        missing_proxies = self._missing_proxies(proxies)
        joined_rate = (
            sum(proxy.nominal_rate for proxy in proxies.values()) if self._join_by_zone else sum(local_rates)
        )
        missing_count = max(0, self._proxy_count - len(proxies))
        joined_count = max(1, len(proxies))
        scale = missing_count * joined_rate / joined_count / max(sum(missing_proxies), SMALLEST_DIVISOR)
        total_rates = [
            local_rate + scale * proxies_elsewhere
            for local_rate, proxies_elsewhere in zip(local_rates, missing_proxies, strict=True)
        ]
        return ZoneDemand(local_rates, total_rates)

    def _missing_proxies(self, proxies: Mapping[int, Proxy]) -> list[float]:
        """Return, for each zone, a number proportional to the proxies that have not joined here."""
        if not self._join_by_zone:
            return [1.0] * self._zone_count
        joined_counts = Counter(proxy.zone for proxy in proxies.values())
        expected_count = self._proxy_count / self._zone_count
        return [max(0.0, expected_count - joined_counts[zone]) for zone in range(self._zone_count)]
