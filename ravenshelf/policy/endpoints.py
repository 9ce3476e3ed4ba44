"""Endpoints: what the registry lists of them, and what load reports tell of their health and latency."""

from ravenshelf.policy.decayed_totals import DecayedTotals
from ravenshelf.policy.events import EndpointsListed, EndpointState, ListedEndpoint, ListKind
from ravenshelf.policy.urgency import ENDPOINT_LOSS, ORDINARY, URGENT
from ravenshelf.settings import SECOND

READY = EndpointState.READY  # a member of an enumeration is slow to look up
GONE = EndpointState.GONE

HEALTH_SPAN = 6 * SECOND  # microseconds: memory of attempts and failures
HEALTH_PRIOR_ATTEMPTS = 3.0  # successful attempts that every endpoint starts with
MINIMUM_HEALTH_SCORE = 0.02  # never 0, so that an endpoint can show that it has recovered
RECENT_SPAN = 2 * SECOND  # microseconds: memory of misses and of reported load
LATENCY_SPAN = 12 * SECOND  # microseconds: memory of latency
HOST_LOAD_SPAN = 20 * SECOND  # microseconds: memory of samples from the machine
MINIMUM_WEIGHT = 1e-3  # listed weights below count as this


class Endpoint:
    """One endpoint; totals decay with time.

    `slot` is its place among its zone's endpoints, which a successor takes over; it decides the partition.
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
        self.is_ejected = False
        self.slot: int | None = None
        self.host_load = DecayedTotals(HOST_LOAD_SPAN, 2)  # samples, busy share
        self.forget_reports()

    def forget_reports(self) -> None:
        """Forget all load reports: another process runs now."""
        self.attempts = DecayedTotals(HEALTH_SPAN, 2)  # attempts, failed
        self.misses = DecayedTotals(RECENT_SPAN, 2)  # attempts, missed
        self.reported_load = DecayedTotals(RECENT_SPAN, 2)  # reports, load over weight
        self.latency = DecayedTotals(LATENCY_SPAN, 2)  # succeeded, succeeded x latency

    def health_score(self, now: int) -> float:
        """The share of attempts that succeed, with a prior; it recovers as failures are forgotten."""
        attempts, failed = self.attempts.read(now)
        share = (attempts - failed + HEALTH_PRIOR_ATTEMPTS) / (attempts + HEALTH_PRIOR_ATTEMPTS)
        return max(MINIMUM_HEALTH_SCORE, share)


class EndpointDirectory:
    """All endpoints that were ever listed, by index."""

    def __init__(self, zone_count: int, removal_is_not_binding: bool):
        self.by_index: dict[int, Endpoint] = {}
        self._zone_count = zone_count
        self._removal_is_not_binding = removal_is_not_binding

    def is_usable(self, endpoint: Endpoint) -> bool:
        """Whether tables may hold an endpoint.

        Where removal is not binding, an endpoint that has gone stays open until it was ejected.
        """
        if endpoint.state is READY:
            return True
        has_gone = endpoint.state is GONE
        return has_gone and not endpoint.is_ejected and self._removal_is_not_binding

    def list_usable(self) -> list[Endpoint]:
        """The endpoints that tables may hold."""
        return [endpoint for endpoint in self.by_index.values() if self.is_usable(endpoint)]

    def apply_list(self, event: EndpointsListed) -> int:
        """Take over a list; gives the urgency of what it changes (`ORDINARY`: nothing changed)."""
        urgency = ORDINARY
        for entry in event.entries:
            urgency = max(urgency, self._apply_entry(entry))
        if event.kind is ListKind.UPDATE:
            return urgency
        listed = {entry.endpoint for entry in event.entries}
        for endpoint in self.by_index.values():
            if endpoint.index not in listed and endpoint.state is not GONE:
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
            endpoint.forget_reports()
            urgency = ENDPOINT_LOSS
        if endpoint.slot is None:
            endpoint.slot = self._free_slot(entry.zone)
        endpoint.zone = min(entry.zone, self._zone_count - 1)
        endpoint.machine_kind = entry.machine_kind
        endpoint.weight = max(entry.weight, MINIMUM_WEIGHT)
        if endpoint.state != entry.state:
            endpoint.state = entry.state
            urgency = max(urgency, URGENT if entry.state is READY else ENDPOINT_LOSS)
        return urgency

    def _free_slot(self, zone: int) -> int:
        """The first slot of a zone that no present endpoint has."""
        taken = {
            endpoint.slot
            for endpoint in self.by_index.values()
            if endpoint.zone == zone and endpoint.state is not GONE
        }
        return next(slot for slot in range(len(taken) + 1) if slot not in taken)
