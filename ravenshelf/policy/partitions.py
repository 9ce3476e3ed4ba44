"""Endpoint partitions: groups of a zone's endpoints with a table of their own, and the lines of these tables.

At full size a proxy would otherwise open connections to dozens of endpoints.
"""

from collections import Counter
from collections.abc import Mapping, Sequence

from ravenshelf.policy.endpoints import Endpoint, EndpointDirectory
from ravenshelf.policy.partition_shares import partition_shares
from ravenshelf.policy.proxies import Proxy
from ravenshelf.settings import Settings

MINIMUM_ENDPOINTS = 3  # of a zone, for each partition
MINIMUM_PROXIES = 6  # of a zone, for each partition
TABLE_TOTAL = 1000  # the weights of a table add up to this
MINIMUM_LINE_WEIGHT = 0.01
WEIGHT_DECIMALS = 2


class Partitions:
    """`counts` is the number of partitions by zone; it is fixed once a zone has endpoints (before: 0)."""

    def __init__(self, settings: Settings, zone_count: int, directory: EndpointDirectory):
        self._zone_count = zone_count
        self._directory = directory
        servers = 1 if settings.service.proxies_join_by_zone else max(1, settings.server_count)
        self._expected_proxies = settings.service.proxy_count / servers
        self.counts = [0] * zone_count

    def assign_proxies(self, now: int, proxies: Mapping[int, Proxy]) -> None:
        """Assign each new proxy to the partition of its zone that has least to carry, heavy proxies first."""
        partition_demand = self.partition_demand(now, proxies)
        unassigned = [proxy for proxy in proxies.values() if proxy.partition is None]
        for proxy in sorted(unassigned, key=lambda proxy: -proxy.nominal_rate):
            of_zone = partition_demand[proxy.zone]
            proxy.partition = min(range(len(of_zone)), key=of_zone.__getitem__)
            of_zone[proxy.partition] += proxy.nominal_rate

    def partition_demand(self, now: int, proxies: Mapping[int, Proxy]) -> list[list[float]]:
        """Requests per second by zone and partition.

        Proxies that are still to join count evenly over their zone's partitions.
        """
        expected = max(self._expected_proxies, len(proxies)) / self._zone_count
        self._fix_counts(expected)
        joined = Counter(proxy.zone for proxy in proxies.values())
        mean_rate = sum(proxy.nominal_rate for proxy in proxies.values()) / max(1, len(proxies))
        partition_demand = []
        for zone, count in enumerate(self.counts):
            partitions = count or 1
            missing = max(0, expected - joined[zone])
            partition_demand.append([missing * mean_rate / partitions] * partitions)
        for proxy in proxies.values():
            if proxy.partition is not None:
                partition_demand[proxy.zone][proxy.partition] += proxy.total_demand(now)
        return partition_demand

    def _fix_counts(self, expected_proxies: float) -> None:
        endpoints = Counter(endpoint.zone for endpoint in self._directory.list_usable())
        for zone in range(self._zone_count):
            if not self.counts[zone] and endpoints[zone]:
                by_endpoints = endpoints[zone] // MINIMUM_ENDPOINTS
                by_proxies = expected_proxies // MINIMUM_PROXIES
                self.counts[zone] = max(1, int(min(by_endpoints, by_proxies)))

    def planned_tables(
        self,
        spill_shares: Sequence[float],
        effective_weights: Sequence[Mapping[int, float]],
        partition_demand: Sequence[float],
    ) -> list[dict[int, float]]:
        """The lines (weight by endpoint) of each table of one zone.

        `spill_shares` is the zone's row, `strengths` by zone and endpoint, `needs` by partition.
        """
        tables: list[dict[int, float]] = [{} for _ in partition_demand]
        for share, of_zone in zip(spill_shares, effective_weights, strict=True):
            if share <= 0:
                continue
            partitions = self._split(of_zone, len(partition_demand))
            totals = [sum(partition.values()) for partition in partitions]
            if any(totals):
                for table, row in zip(tables, partition_shares(partition_demand, totals), strict=True):
                    _add_lines(table, share, row, partitions, totals)
        return tables

    def _split(self, effective_weights: Mapping[int, float], count: int) -> list[dict[int, float]]:
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
    """Add a zone's endpoints to a table, each partition with its share of the table's requests."""
    for part, partition, total in zip(row, partitions, totals, strict=True):
        if part:
            scale = TABLE_TOTAL * spill_share * part
            for index, effective_weight in partition.items():
                weight = round(scale * effective_weight / total, WEIGHT_DECIMALS)
                table[index] = max(MINIMUM_LINE_WEIGHT, weight)
