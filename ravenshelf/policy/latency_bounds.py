"""Latency between zones, and the miss bound: the latency from which an attempt counts as missed.

Latencies and times are integer microseconds.
"""

from bisect import insort
from collections import deque
from collections.abc import Sequence

from ravenshelf.time_units import SECOND

# The miss bound is learnt during this time after the first load report.
LEARNING_TIME = 10 * SECOND
# At most this many latencies are kept for that; further ones are ignored.
LEARNT_LATENCIES_LIMIT = 65_536
# The miss bound is this multiple of the median latency.
MEDIAN_MULTIPLE = 3
# The latency between two zones is the minimum over this time.
GAP_WINDOW = SECOND
# Changes of the latency between zones by fewer microseconds are ignored, so that they do not move the miss
# curves.
MINIMUM_GAP_CHANGE = 1000
# Whatever the latency between zones, at least this share of the miss bound counts as left for the request.
MINIMUM_TIME_LEFT = 0.2
# This bound, in microseconds, is used as long as the miss bound is unknown.
UNKNOWN_BOUND = 1e9


class MissBound:
    """The miss bound: a multiple of the median latency of the first seconds.

    The bound never exceeds the shortest latency objective.

    Attributes:
        value: The bound in microseconds; None before the first load report.
        first_report_at: The time of the first load report; 0 before it.
    """

    def __init__(self, latency_objective: int):
        self._latency_objective = latency_objective
        self._sorted_latencies: list[int] = []
        self.first_report_at = 0
        self.value: int | None = None

    def add(self, now: int, latency: int) -> bool:
        """Add the mean latency of a load report, and return whether it is the first report."""
        is_first = not self.first_report_at
        if is_first:
            self.first_report_at = now
        if now - self.first_report_at > LEARNING_TIME:
            self._sorted_latencies = []
        elif len(self._sorted_latencies) < LEARNT_LATENCIES_LIMIT:
            insort(self._sorted_latencies, latency)
            median_latency = self._sorted_latencies[len(self._sorted_latencies) // 2]
            self.value = min(MEDIAN_MULTIPLE * median_latency, self._latency_objective)
        return is_first


class ZoneLatencyGaps:
    """The additional latency of requests to another zone, compared by minimum latency."""

    def __init__(self, zone_count: int):
        # The gaps are in microseconds. The rows are sending zones, the columns receiving zones.
        self._gaps = [[0] * zone_count for _ in range(zone_count)]
        # The keys are pairs of a sending and a receiving zone. Each sample is a time and a latency, both in
        # microseconds. Only samples that may become the minimum are kept, so times and latencies ascend.
        self._recent_samples: dict[tuple[int, int], deque[tuple[int, int]]] = {}

    def add(self, now: int, sender: int, receiver: int, latency: int) -> None:
        """Add the mean latency of requests from one zone to endpoints of another, or of the same zone."""
        samples = self._recent_samples.setdefault((sender, receiver), deque())
        while samples and samples[-1][1] >= latency:
            samples.pop()
        if not samples or samples[-1][0] < now:
            samples.append((now, latency))

    def update(self, now: int) -> None:
        """Update the gaps that have changed enough, from the minimum latencies of the last second."""
        window_start = now - GAP_WINDOW
        for samples in self._recent_samples.values():
            while samples and samples[0][0] < window_start:
                samples.popleft()
        minimum_latencies = {
            zones: samples[0][1] for zones, samples in self._recent_samples.items() if samples
        }
        for (sender, receiver), latency in minimum_latencies.items():
            if (receiver, receiver) in minimum_latencies:
                gap = max(0, latency - minimum_latencies[receiver, receiver])
                if abs(gap - self._gaps[sender][receiver]) > MINIMUM_GAP_CHANGE:
                    self._gaps[sender][receiver] = gap

    def load_factors(self, miss_bound: int | None) -> Sequence[Sequence[float]]:
        """Return, by sending and receiving zone, a factor on the load of the receiving zone.

        Requests from another zone have less time left until the miss bound. Their expected miss share is
        therefore read from the miss curve of the receiving zone at its load times this factor.

        Args:
            miss_bound: The miss bound; None: unknown.
        """
        bound = miss_bound or UNKNOWN_BOUND
        return [[1 / max(MINIMUM_TIME_LEFT, 1 - gap / bound) for gap in row] for row in self._gaps]
