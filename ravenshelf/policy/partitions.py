"""Endpoint partitions: groups of a zone's endpoints that each have a table, and the lines of these tables.

Without partitions, a proxy in a large zone would open connections to dozens of endpoints.
"""

from collections import Counter
from collections.abc import Mapping, Sequence

from ravenshelf.policy.endpoints import Endpoint, EndpointDirectory
from ravenshelf.policy.partition_shares import partition_shares
from ravenshelf.policy.proxies import Proxy
from ravenshelf.settings import Settings

# A zone has at least this many endpoints and proxies for each of its partitions.
MINIMUM_ENDPOINTS = 3
MINIMUM_PROXIES = 6
# The weights of a table add up to this.
TABLE_TOTAL = 1000
MINIMUM_LINE_WEIGHT = 0.01
WEIGHT_DECIMALS = 2


class Partitions:
    """The partitions of all zones.

    Attributes:
        counts: The number of partitions of each zone. It is fixed once the zone has endpoints, and 0 before.
    """

    def __init__(self, settings: Settings, zone_count: int, directory: EndpointDirectory):
        self._zone_count = zone_count
        self._directory = directory
        expected_servers = 1 if settings.service.proxies_join_by_zone else max(1, settings.server_count)
        self._expected_proxies = settings.service.proxy_count / expected_servers
        self.counts = [0] * zone_count

    def assign_proxies(self, now: int, proxies: Mapping[int, Proxy]) -> None:
        """Assign each new proxy to the partition of its zone with the least demand.

        Proxies with the highest nominal rate are assigned first.
        """
        partition_demand = self.partition_demand(now, proxies)
        unassigned_proxies = [proxy for proxy in proxies.values() if proxy.partition is None]
        for proxy in sorted(unassigned_proxies, key=lambda proxy: -proxy.nominal_rate):
            zone_demand = partition_demand[proxy.zone]
            proxy.partition = min(range(len(zone_demand)), key=zone_demand.__getitem__)
            zone_demand[proxy.partition] += proxy.nominal_rate

    def partition_demand(self, now: int, proxies: Mapping[int, Proxy]) -> list[list[float]]:
        """Return the requests per second by zone and partition.

        Proxies that are expected but have not joined yet count evenly in the partitions of their zone.
        """
        expected_proxies = max(self._expected_proxies, len(proxies)) / self._zone_count
        self._fix_counts(expected_proxies)
        joined_counts = Counter(proxy.zone for proxy in proxies.values())
        mean_rate = sum(proxy.nominal_rate for proxy in proxies.values()) / max(1, len(proxies))
        partition_demand = []
        for zone, count in enumerate(self.counts):
            partition_count = count or 1
            missing_proxies = max(0, expected_proxies - joined_counts[zone])
            partition_demand.append([missing_proxies * mean_rate / partition_count] * partition_count)
        for proxy in proxies.values():
            if proxy.partition is not None:
                partition_demand[proxy.zone][proxy.partition] += proxy.total_demand(now)
        return partition_demand

    def _fix_counts(self, expected_proxies: float) -> None:
        """Set the number of partitions of zones that have endpoints for the first time."""
        endpoint_counts = Counter(endpoint.zone for endpoint in self._directory.list_usable())
        for zone in range(self._zone_count):
            if not self.counts[zone] and endpoint_counts[zone]:
                limit_by_endpoints = endpoint_counts[zone] // MINIMUM_ENDPOINTS
                limit_by_proxies = expected_proxies // MINIMUM_PROXIES
                self.counts[zone] = max(1, int(min(limit_by_endpoints, limit_by_proxies)))

    def planned_tables(
        self,
        spill_shares: Sequence[float],
        effective_weights: Sequence[Mapping[int, float]],
        partition_demand: Sequence[float],
    ) -> list[dict[int, float]]:
        """Return the lines (weight by endpoint index) of each table of one zone.

        Args:
            spill_shares: The share of the zone's demand that each zone serves.
            effective_weights: The effective weight by endpoint index, for each zone.
            partition_demand: The requests per second of each partition of the zone.
        """
        tables: list[dict[int, float]] = [{} for _ in partition_demand]
        for spill_share, zone_weights in zip(spill_shares, effective_weights, strict=True):
            if spill_share <= 0:
                continue
            partitions = self._split(zone_weights, len(partition_demand))
            totals = [sum(partition.values()) for partition in partitions]
            if any(totals):
                for table, row in zip(tables, partition_shares(partition_demand, totals), strict=True):
                    _add_lines(table, spill_share, row, partitions, totals)
        return tables

    def _split(self, effective_weights: Mapping[int, float], count: int) -> list[dict[int, float]]:
        """Divide a zone's endpoints into partitions by their slots."""
        partitions: list[dict[int, float]] = [{} for _ in range(count)]
        for index, effective_weight in effective_weights.items():
            partitions[_slot(self._directory.by_index[index]) % count][index] = effective_weight
        return partitions


def _slot(endpoint: Endpoint) -> int:
    assert endpoint.slot is not None, "every listed endpoint has a slot"
    return endpoint.slot


def _add_lines(
    table: dict[int, float],
    spill_share: float,
    row: Sequence[float],
    partitions: Sequence[Mapping[int, float]],
    totals: Sequence[float],
) -> None:
    """Add the endpoints of one zone to a table.

    Args:
        table: The lines, which are changed in place.
        spill_share: The share of the table's requests that the zone serves.
        row: The share of these requests that each partition carries.
        partitions: The effective weight by endpoint index, for each partition of the zone.
        totals: The sum of the effective weights of each partition.
    """
    for partition_share, partition, total in zip(row, partitions, totals, strict=True):
        if partition_share:
            scale = TABLE_TOTAL * spill_share * partition_share
            for index, effective_weight in partition.items():
                weight = round(scale * effective_weight / total, WEIGHT_DECIMALS)
                table[index] = max(MINIMUM_LINE_WEIGHT, weight)
