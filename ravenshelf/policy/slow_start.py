"""Slow start: the share of its capacity up to which an endpoint is used while it is warming up."""

from collections.abc import Iterable

from ravenshelf.policy.endpoints import Endpoint
from ravenshelf.policy.service_time import ServiceTimeEstimator
from ravenshelf.settings import WarmUpSettings
from ravenshelf.time_units import SECOND

# Slow start takes at most this time, and exactly this time if the settings do not state its duration.
MAXIMUM_WARM_UP = 30 * SECOND
# The endpoints of a lost zone are expected to return within this time.
RECOVERY_WINDOW = 10 * SECOND
# The cold capacity share is multiplied by this while the service time, and so the traffic, is unknown.
UNKNOWN_TRAFFIC_FACTOR = 0.25
# The overload that a cold endpoint survives, as a multiple of its capacity, is the overload multiple of the
# settings, less 1. If it is less than this, the cold capacity share is divided by this over that overload.
OVERLOAD_MARGIN = 3
# If the settings state that a cold endpoint survives a smaller overload, this overload is assumed.
MINIMUM_OVERLOAD = 0.1
# An endpoint is known to work if it has more than this many successful attempts (decayed).
MINIMUM_SUCCESSES = 0.5


class SlowStart:
    """The capacity shares of endpoints that are warming up.

    Attributes:
        cold_share_divisor: The divisor, at least 1, by which the cold capacity share of the settings is
            reduced because a small overload makes a cold endpoint fail.
    """

    def __init__(self, warm_up: WarmUpSettings, service_time: ServiceTimeEstimator):
        overload = max(MINIMUM_OVERLOAD, warm_up.overload_multiple - 1)
        self.cold_share_divisor = max(1.0, OVERLOAD_MARGIN / overload)
        self._cold_share = warm_up.cold_capacity_share / self.cold_share_divisor
        self._duration = min(MAXIMUM_WARM_UP, warm_up.warm_after_us or MAXIMUM_WARM_UP)
        self._service_time = service_time

    def capacity_share(self, endpoint: Endpoint, now: int) -> float:
        """Return the share of its capacity, at most 1, up to which an endpoint is used.

        The share rises linearly from the cold capacity share at the endpoint's start to 1.
        """
        if endpoint.started_at <= 0:
            return 1.0
        cold_share = self._cold_share * (1.0 if self._service_time.seconds else UNKNOWN_TRAFFIC_FACTOR)
        age = max(0, now - endpoint.started_at)
        return min(1.0, cold_share + (1 - cold_share) * age / self._duration)

    def align_returning_zones(self, zones: Iterable[int], usable_endpoints: list[Endpoint], now: int) -> None:
        """Set the start time of all endpoints of a returning zone to that of its newest endpoint.

        The endpoints of a zone return one after another, and some may still be listed with their previous
        start time.
        """
        for zone in zones:
            zone_endpoints = [endpoint for endpoint in usable_endpoints if endpoint.zone == zone]
            newest_start = max([endpoint.started_at for endpoint in zone_endpoints], default=0)
            older_endpoints = [
                endpoint for endpoint in zone_endpoints if endpoint.started_at < now - RECOVERY_WINDOW
            ]
            if newest_start > now - RECOVERY_WINDOW and self._has_returned(
                older_endpoints, len(zone_endpoints), now
            ):
                for endpoint in older_endpoints:
                    endpoint.started_at = newest_start

    def _has_returned(self, older_endpoints: list[Endpoint], zone_size: int, now: int) -> bool:
        """Return whether a zone has just returned: none of its older endpoints has recently succeeded."""
        if any(endpoint.latency.read(now)[0] > MINIMUM_SUCCESSES for endpoint in older_endpoints):
            return False
        # Without recent successes in any zone, at least half of this zone's endpoints must be new.
        return self._service_time.has_recent_successes(now) or 2 * len(older_endpoints) <= zone_size
