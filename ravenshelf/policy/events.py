"""What the controller is told: one type for each kind of event.

Endpoints, proxies, zones and traffic groups are small integers that the caller assigns. Times and durations
are integer microseconds. The controller receives the events of one control cycle as a list, in the order in
which they arrived.

Events are named tuples rather than dataclasses: a process that starts makes these types in a tenth of the
time.
"""

from enum import Enum
from typing import NamedTuple, TypeVar

EventType = TypeVar("EventType", bound=type)


def _equal_by_type(self: tuple, other: object) -> bool:
    return type(self) is type(other) and tuple.__eq__(self, other)


def _unequal_by_type(self: tuple, other: object) -> bool:
    return not _equal_by_type(self, other)


def event(cls: EventType) -> EventType:
    """Make events of different kinds unequal, which tuples with the same values are not."""
    methods = {"__eq__": _equal_by_type, "__ne__": _unequal_by_type, "__hash__": tuple.__hash__}
    for name, method in methods.items():
        setattr(cls, name, method)
    return cls


class EndpointState(Enum):
    """What the registry says of an endpoint."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How a list of endpoints relates to what was listed before."""

    UPDATE = "update"  # names only the endpoints that changed
    REPLACE = "replace"  # complete: an endpoint that it does not name is gone
    RESTORED = "restored"  # complete, and read from memory rather than from the registry


@event
class ListedEndpoint(NamedTuple):
    """One endpoint as the registry lists it."""

    endpoint: int
    zone: int
    machine_kind: int
    cell: int
    state: EndpointState
    weight: float
    started_at: int  # 0: long ago


@event
class EndpointsListed(NamedTuple):
    """The registry has sent a list of endpoints, or changes to it."""

    kind: ListKind
    entries: tuple[ListedEndpoint, ...]


@event
class WatchFailed(NamedTuple):
    """A call to the registry failed; the last list is still in force."""


@event
class ProxyJoined(NamedTuple):
    """A proxy has opened its stream."""

    proxy: int
    zone: int
    nominal_rate: float  # requests per second; 0: unknown
    is_fresh: bool  # it holds no table that a control plane sent


@event
class ProxyLeft(NamedTuple):
    """A proxy's stream has ended."""

    proxy: int
    is_ended_by_server: bool = False  # this server ended it, so what was queued for it still counts as queued


@event
class LoadReport(NamedTuple):
    """What the proxies of one zone observed of one endpoint during one reporting window."""

    zone: int
    endpoint: int
    attempts: int
    failures: int
    mean_latency: int  # of the attempts that succeeded
    window: int
    load: tuple[float, ...]  # in the order of the settings' telemetry columns; empty: not reported


@event
class DemandReport(NamedTuple):
    """How many requests of one traffic group reached one proxy during one reporting window."""

    proxy: int
    group: int
    requests: int
    unanswered: int
    window: int


@event
class BatchAcknowledged(NamedTuple):
    """A proxy has applied everything up to a batch marker."""

    proxy: int
    marker: int
    elapsed: int  # from dispatch until it was applied


@event
class HealthCheckCompleted(NamedTuple):
    """A health check has ended."""

    endpoint: int
    is_answered: bool
    elapsed: int
    load: tuple[float, ...]


@event
class HostLoadSampled(NamedTuple):
    """How busy the machine of an endpoint was, measured on the machine itself."""

    endpoint: int
    busy: float  # share of the machine, 0 to 1
    age: int


@event
class PeerMessageReceived(NamedTuple):
    """Another control-plane server has sent a message."""

    peer: int
    payload: bytes


@event
class TimerExpired(NamedTuple):
    """A timer that the controller started has expired."""

    key: str


@event
class SliceAssigned(NamedTuple):
    """A slice of the key space was assigned to this server, or taken from it."""

    slice: int
    is_assigned: bool


@event
class SliceWeightStored(NamedTuple):
    """The store holds this weight of an endpoint for a slice."""

    slice: int
    endpoint: int
    weight: float


@event
class SliceDemandReport(NamedTuple):
    """How many requests of one traffic group reached one slice during one reporting window."""

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
