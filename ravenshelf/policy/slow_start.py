"""Slow start: how much of its capacity an endpoint that has just started is given."""

from collections.abc import Iterable

from ravenshelf.policy.endpoints import Endpoint
from ravenshelf.policy.service_time import ServiceTimeEstimator
from ravenshelf.settings import SECOND, WarmUpSettings

MAXIMUM_WARM_UP = 30 * SECOND  # microseconds, also where the settings promise none
RECOVERY_WINDOW = 10 * SECOND  # microseconds within which the endpoints of a lost zone return
UNKNOWN_TRAFFIC_FACTOR = 0.25  # of the cold capacity share, while nothing is known of the traffic
OVERLOAD_MARGIN = 3  # the cold share is not lowered where overload by this over normal is survived
MINIMUM_OVERLOAD = 0.1  # over normal
MINIMUM_SUCCESSES = 0.5  # decayed successful attempts, for an endpoint to be known to work


class SlowStart:
    """The capacity share of endpoints that warm up.

    `caution` (1 or more) is the factor by which cold endpoints get less than the cold share that the
    settings promise, where a small overload already fells them.
    """

    def __init__(self, warm_up: WarmUpSettings, service_time: ServiceTimeEstimator):
        overload = max(MINIMUM_OVERLOAD, warm_up.overload_multiple - 1)
        self.cold_share_divisor = max(1.0, OVERLOAD_MARGIN / overload)
        self._cold_share = warm_up.cold_capacity_share / self.cold_share_divisor
        self._duration = min(MAXIMUM_WARM_UP, warm_up.warm_after_us or MAXIMUM_WARM_UP)
        self._service_time = service_time

    def capacity_share(self, endpoint: Endpoint, now: int) -> float:
        """The share of its capacity that an endpoint is given: it rises from the cold share to 1."""
        if endpoint.started_at <= 0:
            return 1.0
        cold = self._cold_share * (1.0 if self._service_time.seconds else UNKNOWN_TRAFFIC_FACTOR)
        age = max(0, now - endpoint.started_at)
        return min(1.0, cold + (1 - cold) * age / self._duration)

    def align_returning_zones(self, zones: Iterable[int], usable: list[Endpoint], now: int) -> None:
        """Have all endpoints of a zone that has just returned count as started with its newest one.

        A zone returns piece by piece: not all of it may be listed with its new start yet.
        """
        for zone in zones:
            in_zone = [endpoint for endpoint in usable if endpoint.zone == zone]
            newest = max([endpoint.started_at for endpoint in in_zone], default=0)
            older = [endpoint for endpoint in in_zone if endpoint.started_at < now - RECOVERY_WINDOW]
            if newest > now - RECOVERY_WINDOW and self._has_returned(older, len(in_zone), now):
                for endpoint in older:
                    endpoint.started_at = newest

    def _has_returned(self, older: list[Endpoint], zone_size: int, now: int) -> bool:
        if any(endpoint.latency.read(now)[0] > MINIMUM_SUCCESSES for endpoint in older):
            return False
        # where no endpoint of any zone was reported yet, at least half of this one must have started
        return self._service_time.has_recent_successes(now) or 2 * len(older) <= zone_size
