"""Events, the input of the controller: one type for each kind.

Endpoints, proxies, zones and traffic groups are small integers that the caller assigns. Times and durations
are integer microseconds. The controller receives the events of one control cycle as a list, in the order in
which they arrived.

Events are named tuples rather than dataclasses, because a starting process creates these types in a tenth of
the time.
"""

from enum import Enum
from typing import NamedTuple, TypeVar

EventType = TypeVar("EventType", bound=type)


def _equal_by_type(self: tuple, other: object) -> bool:
    return type(self) is type(other) and tuple.__eq__(self, other)


def _unequal_by_type(self: tuple, other: object) -> bool:
    return not _equal_by_type(self, other)


def event(cls: EventType) -> EventType:
    """Add comparison by type to an event class.

    Without it, events of different types with the same values would be equal, as tuples are.
    """
    methods = {"__eq__": _equal_by_type, "__ne__": _unequal_by_type, "__hash__": tuple.__hash__}
    for name, method in methods.items():
        setattr(cls, name, method)
    return cls


class EndpointState(Enum):
    """The state of an endpoint in the registry."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """The relation of an endpoint list to earlier lists.

    Attributes:
        UPDATE: The list contains only the endpoints that have changed.
        REPLACE: The list is complete; an endpoint that it does not contain has gone.
        RESTORED: The list is complete, and comes from memory rather than from the registry.
    """

    UPDATE = "update"
    REPLACE = "replace"
    RESTORED = "restored"


@event
class ListedEndpoint(NamedTuple):
    """One endpoint as the registry lists it.

    Attributes:
        endpoint: The index of the endpoint.
        zone: The zone of the endpoint.
        machine_kind: The kind of the endpoint's machine.
        cell: The group of endpoints that the registry assigns the endpoint to.
        state: The listed state.
        weight: The listed weight.
        started_at: When the endpoint's process started; 0: so long ago that the endpoint is warm.
    """

    endpoint: int
    zone: int
    machine_kind: int
    cell: int
    state: EndpointState
    weight: float
    started_at: int


@event
class EndpointsListed(NamedTuple):
    """The arrival of an endpoint list, or of changes to it."""

    kind: ListKind
    entries: tuple[ListedEndpoint, ...]


@event
class WatchFailed(NamedTuple):
    """The failure of a request to the registry; the last endpoint list remains valid."""


@event
class ProxyJoined(NamedTuple):
    """The start of a proxy's stream.

    Attributes:
        proxy: The index of the proxy.
        zone: The zone of the proxy.
        nominal_rate: The requests per second that the proxy announces; 0: unknown.
        is_fresh: Whether the proxy has no table from a control plane yet.
        earlier_messages: The times of messages that were written to this stream before, if the proxy returns
            to a stream that another one had replaced.
    """

    proxy: int
    zone: int
    nominal_rate: float
    is_fresh: bool
    earlier_messages: tuple[int, ...] = ()


@event
class ProxyLeft(NamedTuple):
    """The end of a proxy's stream.

    Attributes:
        proxy: The index of the proxy.
        is_ended_by_server: Whether this server ended the stream. Lines that are queued for the proxy then
            still count as queued.
    """

    proxy: int
    is_ended_by_server: bool = False


@event
class LoadReport(NamedTuple):
    """The attempts of one zone's proxies at one endpoint during one reporting window.

    Attributes:
        zone: The zone of the proxies.
        endpoint: The index of the endpoint.
        attempts: All attempts.
        failures: The attempts that failed.
        mean_latency: The mean latency of the attempts that succeeded.
        window: The duration of the reporting window.
        load: The endpoint's load, in the order of the settings' telemetry columns; empty: not reported.
    """

    zone: int
    endpoint: int
    attempts: int
    failures: int
    mean_latency: int
    window: int
    load: tuple[float, ...]


@event
class DemandReport(NamedTuple):
    """The requests of one traffic group that reached one proxy during one reporting window."""

    proxy: int
    group: int
    requests: int
    unanswered: int
    window: int


@event
class BatchAcknowledged(NamedTuple):
    """A proxy's acknowledgement that it has applied everything up to a batch marker.

    Attributes:
        proxy: The index of the proxy.
        marker: The marker of the batch.
        elapsed: The time from the dispatch of the batch until the proxy had applied it.
    """

    proxy: int
    marker: int
    elapsed: int


@event
class HealthCheckCompleted(NamedTuple):
    """The result of a health check."""

    endpoint: int
    is_answered: bool
    elapsed: int
    load: tuple[float, ...]


@event
class HostLoadSampled(NamedTuple):
    """A load sample that was measured on an endpoint's machine itself.

    Attributes:
        endpoint: The index of the endpoint.
        busy: The busy share of the machine, from 0 to 1.
        age: The age of the sample.
    """

    endpoint: int
    busy: float
    age: int


@event
class PeerMessageReceived(NamedTuple):
    """A message from another control-plane server."""

    peer: int
    payload: bytes


@event
class TimerExpired(NamedTuple):
    """The expiry of a timer that the controller started."""

    key: str


@event
class SliceAssigned(NamedTuple):
    """The assignment of a slice of the key space to this server, or its withdrawal."""

    slice: int
    is_assigned: bool


@event
class SliceWeightStored(NamedTuple):
    """A weight of an endpoint for a slice, as the store contains it."""

    slice: int
    endpoint: int
    weight: float


@event
class SliceDemandReport(NamedTuple):
    """The requests of one traffic group for one slice during one reporting window."""

    slice: int
    group: int
    requests: int
    unanswered: int
    window: int


Event = (
    EndpointsListed
    | WatchFailed
    | ProxyJoined
    | ProxyLeft
    | LoadReport
    | DemandReport
    | BatchAcknowledged
    | HealthCheckCompleted
    | HostLoadSampled
    | PeerMessageReceived
    | TimerExpired
    | SliceAssigned
    | SliceWeightStored
    | SliceDemandReport
)
