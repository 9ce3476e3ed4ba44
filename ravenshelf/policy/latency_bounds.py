"""Latency between zones, and the latency beyond which an attempt counts as missed."""

from bisect import insort
from collections.abc import Sequence

from ravenshelf.settings import SECOND

LEARNING_TIME = 10 * SECOND  # microseconds after the first report in which the miss bound is learnt
MEDIAN_MULTIPLE = 3  # the miss bound over the median latency
GAP_WINDOW = SECOND  # microseconds over which the least latency is taken
MINIMUM_GAP_CHANGE = 1000  # microseconds; smaller moves do not touch the curves
MINIMUM_TIME_LEFT = 0.2  # share of the miss bound that the latency between zones leaves at the least
UNKNOWN_BOUND = 1e9  # microseconds


class MissBound:
    """The latency at which an attempt counts as missed: a multiple of the median of the first seconds.

    `value` (microseconds) and `first_report_at` are None and 0 until the first report. The bound never passes
    the least latency objective.
    """

    def __init__(self, latency_objective: int):
        self._latency_objective = latency_objective  # microseconds
        self._latencies: list[int] = []  # ascending
        self.first_report_at = 0
        self.value: int | None = None

    def add(self, now: int, latency: int) -> bool:
        """Count the mean latency of a report in microseconds; gives whether it is the first one."""
        is_first = not self.first_report_at
        if is_first:
            self.first_report_at = now
        if now - self.first_report_at <= LEARNING_TIME:
            insort(self._latencies, latency)
            middle = self._latencies[len(self._latencies) // 2]
            self.value = min(MEDIAN_MULTIPLE * middle, self._latency_objective)
        return is_first


class ZoneLatencyGaps:
    """How much longer requests take to another zone than within it, by least latency."""

    def __init__(self, zone_count: int):
        self._gaps = [[0] * zone_count for _ in range(zone_count)]  # microseconds, by sender and receiver
        self._recent: dict[tuple[int, int], list[tuple[int, int]]] = {}  # (time, latency) by the same

    def add(self, now: int, sender: int, receiver: int, latency: int) -> None:
        """Count a mean latency in microseconds of requests from one zone to another."""
        self._recent.setdefault((sender, receiver), []).append((now, latency))

    def update(self, now: int) -> None:
        """Take over the least latencies of the last second, where they have moved enough."""
        since = now - GAP_WINDOW
        self._recent = {
            zones: [sample for sample in samples if sample[0] >= since]
            for zones, samples in self._recent.items()
        }
        least = {
            zones: min(latency for _, latency in samples)
            for zones, samples in self._recent.items()
            if samples
        }
        for (sender, receiver), latency in least.items():
            if (receiver, receiver) in least:
                gap = max(0, latency - least[receiver, receiver])
                if abs(gap - self._gaps[sender][receiver]) > MINIMUM_GAP_CHANGE:
                    self._gaps[sender][receiver] = gap

    def load_factors(self, miss_bound: int | None) -> Sequence[Sequence[float]]:
        """By sender and receiver: the factor on the load that the sender sees, for the time the gap takes."""
        bound = miss_bound or UNKNOWN_BOUND
        return [[1 / max(MINIMUM_TIME_LEFT, 1 - gap / bound) for gap in row] for row in self._gaps]
