"""Endpoints: their listed state, and the health and latency that load reports show."""

from ravenshelf.policy.decayed_totals import DecayedTotals
from ravenshelf.policy.events import EndpointsListed, EndpointState, ListedEndpoint, ListKind
from ravenshelf.policy.urgency import ENDPOINT_LOSS, ORDINARY, URGENT
from ravenshelf.time_units import SECOND

# These are module constants because the lookup of an enumeration's member is slow.
READY = EndpointState.READY
DRAINING = EndpointState.DRAINING
GONE = EndpointState.GONE

# Attempts and failures, for the health score, decay with this time constant.
HEALTH_TIME_CONSTANT = 6 * SECOND
# Every endpoint starts with this many successful attempts in its health score.
HEALTH_PRIOR_ATTEMPTS = 3.0
# The health score is never 0, so that an endpoint still gets attempts that can show its recovery.
MINIMUM_HEALTH_SCORE = 0.02
# Misses and reported load decay with this time constant.
RECENT_TIME_CONSTANT = 2 * SECOND
LATENCY_TIME_CONSTANT = 12 * SECOND
HOST_LOAD_TIME_CONSTANT = 20 * SECOND
# A listed weight below this counts as this weight.
MINIMUM_WEIGHT = 1e-3


class Endpoint:
    """One endpoint, with totals of its reports that decay with time.

    Attributes:
        index: The index of the endpoint.
        zone: The zone of the endpoint.
        machine_kind: The kind of the endpoint's machine.
        state: The listed state; None before the first list.
        weight: The listed weight.
        started_at: When the endpoint's process started, in microseconds; 0: so long ago that
            the endpoint is warm.
        was_draining: Whether the endpoint was listed as draining after it was last listed as ready. It stays
            set when the endpoint is removed from the list, because the drain still has to be carried out.
        is_ejected: Whether the endpoint is ejected from every table.
        slot: A number among the endpoints of a zone, which determines the endpoint's partition. The slot of
            an endpoint that has gone is free for a new endpoint.
        attempts: The attempts, and the failed attempts.
        misses: The attempts, and the attempts that missed the latency objective.
        reported_load: The number of reports, and the sum of their loads per weight.
        latency: The successful attempts, and the sum of their latencies in microseconds.
        host_load: The host load samples, and the sum of their busy shares.
    """

    __slots__ = (
        "attempts",
        "host_load",
        "index",
        "is_ejected",
        "latency",
        "machine_kind",
        "misses",
        "reported_load",
        "slot",
        "started_at",
        "state",
        "was_draining",
        "weight",
        "zone",
    )

    def __init__(self, index: int, started_at: int):
        self.index = index
        self.zone = 0
        self.machine_kind = 0
        self.state: EndpointState | None = None
        self.weight = 1.0
        self.started_at = started_at
        self.was_draining = False
        self.is_ejected = False
        self.slot: int | None = None
        self.host_load = DecayedTotals(HOST_LOAD_TIME_CONSTANT, 2)
        self.reset_reports()

    def reset_reports(self) -> None:
        """Discard all load reports, which are about a previous process of the endpoint."""
        self.attempts = DecayedTotals(HEALTH_TIME_CONSTANT, 2)
        self.misses = DecayedTotals(RECENT_TIME_CONSTANT, 2)
        self.reported_load = DecayedTotals(RECENT_TIME_CONSTANT, 2)
        self.latency = DecayedTotals(LATENCY_TIME_CONSTANT, 2)

    def health_score(self, now: int) -> float:
        """Return the share of attempts that succeed, from `MINIMUM_HEALTH_SCORE` to 1.

        The score includes a prior of successful attempts. It recovers as failures decay.
        """
        attempts, failures = self.attempts.read(now)
        share = (attempts - failures + HEALTH_PRIOR_ATTEMPTS) / (attempts + HEALTH_PRIOR_ATTEMPTS)
        return max(MINIMUM_HEALTH_SCORE, share)


class EndpointDirectory:
    """All endpoints that were ever listed.

    Attributes:
        by_index: The endpoints by index, in the order in which they were first listed.
    """

    def __init__(self, zone_count: int, removal_is_not_binding: bool):
        """Create an empty directory.

        Args:
            zone_count: The number of zones; endpoints of higher zones are added to the last one.
            removal_is_not_binding: Whether endpoints that are no longer listed may still be used, unless they
                were listed as draining before.
        """
        self.by_index: dict[int, Endpoint] = {}
        self._zone_count = zone_count
        self._removal_is_not_binding = removal_is_not_binding

    def is_usable(self, endpoint: Endpoint) -> bool:
        """Return whether tables may contain an endpoint.

        If removal is not binding, an endpoint that was removed from the list without a drain remains usable
        until it is ejected.
        """
        if endpoint.state is READY:
            return True
        is_removed_without_drain = endpoint.state is GONE and not endpoint.was_draining
        return is_removed_without_drain and not endpoint.is_ejected and self._removal_is_not_binding

    def is_to_be_ejected(self, endpoint: Endpoint) -> bool:
        """Return whether tables must not contain an endpoint that is not ejected yet."""
        return not endpoint.is_ejected and not self.is_usable(endpoint)

    def list_usable(self) -> list[Endpoint]:
        """Return the endpoints that tables may contain."""
        return [endpoint for endpoint in self.by_index.values() if self.is_usable(endpoint)]

    def apply_list(self, event: EndpointsListed) -> int:
        """Apply an endpoint list.

        Returns:
            The highest urgency of the changes; `ORDINARY` if nothing has changed.
        """
        urgency = ORDINARY
        for entry in event.entries:
            urgency = max(urgency, self._apply_entry(entry))
        if event.kind is ListKind.UPDATE:
            return urgency
        listed_indices = {entry.endpoint for entry in event.entries}
        for endpoint in self.by_index.values():
            if endpoint.index not in listed_indices and endpoint.state is not GONE:
                endpoint.state = GONE
                urgency = ENDPOINT_LOSS
        return urgency

    def _apply_entry(self, entry: ListedEndpoint) -> int:
        urgency = ORDINARY
        endpoint = self.by_index.get(entry.endpoint)
        if endpoint is None:
            endpoint = self.by_index[entry.endpoint] = Endpoint(entry.endpoint, entry.started_at)
        if entry.started_at > endpoint.started_at:
            endpoint.started_at = entry.started_at
            endpoint.reset_reports()
            urgency = ENDPOINT_LOSS
        if endpoint.slot is None:
            endpoint.slot = self._free_slot(entry.zone)
        endpoint.zone = min(entry.zone, self._zone_count - 1)
        endpoint.machine_kind = entry.machine_kind
        endpoint.weight = max(entry.weight, MINIMUM_WEIGHT)
        if entry.state is not GONE:
            endpoint.was_draining = entry.state is DRAINING
        if endpoint.state != entry.state:
            endpoint.state = entry.state
            urgency = max(urgency, URGENT if entry.state is READY else ENDPOINT_LOSS)
        return urgency

    def _free_slot(self, zone: int) -> int:
        """Return the lowest slot of a zone that no listed endpoint occupies."""
        occupied_slots = {
            endpoint.slot
            for endpoint in self.by_index.values()
            if endpoint.zone == zone and endpoint.state is not GONE
        }
        return next(slot for slot in range(len(occupied_slots) + 1) if slot not in occupied_slots)
