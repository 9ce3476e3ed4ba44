"""What the controller is told: one type for each kind of event.

Endpoints, proxies, zones and traffic groups are small integers that the caller assigns. Times and durations
are integer microseconds. The controller receives the events of one control cycle as a list, in the order in
which they arrived.

Events are not changed once they are made. They are not frozen, because making a frozen dataclass takes four
times as long, and a control cycle makes thousands.
"""

from dataclasses import dataclass
from enum import Enum


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


@dataclass(slots=True)
class ListedEndpoint:
    """One endpoint as the registry lists it."""

    endpoint: int
    zone: int
    machine_kind: int
    cell: int
    state: EndpointState
    weight: float
    started_at: int  # 0: long ago


@dataclass(slots=True)
class EndpointsListed:
    """The registry has sent a list of endpoints, or changes to it."""

    kind: ListKind
    entries: tuple[ListedEndpoint, ...]


@dataclass(slots=True)
class WatchFailed:
    """A call to the registry failed; the last list is still in force."""


@dataclass(slots=True)
class ProxyJoined:
    """A proxy has opened its stream."""

    proxy: int
    zone: int
    usual_rate: float  # requests per second; 0: unknown
    is_fresh: bool  # it holds no table that a control plane sent


@dataclass(slots=True)
class ProxyLeft:
    """A proxy's stream has ended."""

    proxy: int
    ended_here: bool = False  # this server ended it, so what was queued for it still counts as queued


@dataclass(slots=True)
class LoadReport:
    """What the proxies of one zone observed of one endpoint during one reporting window."""

    zone: int
    endpoint: int
    attempts: int
    failed: int
    mean_latency: int  # of the attempts that succeeded
    window: int
    load: tuple[float, ...]  # in the order of the settings' telemetry columns; empty: not reported


@dataclass(slots=True)
class DemandReport:
    """How many requests of one traffic group reached one proxy during one reporting window."""

    proxy: int
    group: int
    requests: int
    unanswered: int
    window: int


@dataclass(slots=True)
class BatchAcknowledged:
    """A proxy has applied everything up to a batch marker."""

    proxy: int
    marker: int
    elapsed: int  # from dispatch until it was applied


@dataclass(slots=True)
class HealthCheckCompleted:
    """A health check has ended."""

    endpoint: int
    answered: bool
    elapsed: int
    load: tuple[float, ...]


@dataclass(slots=True)
class HostLoadSampled:
    """How busy the machine of an endpoint was, measured on the machine itself."""

    endpoint: int
    busy: float  # share of the machine, 0 to 1
    age: int


@dataclass(slots=True)
class PeerMessageReceived:
    """Another control-plane server has sent a message."""

    peer: int
    payload: bytes


@dataclass(slots=True)
class TimerExpired:
    """A timer that the controller started has expired."""

    key: str


@dataclass(slots=True)
class SliceAssigned:
    """A slice of the key space was assigned to this server, or taken from it."""

    slice: int
    assigned: bool


@dataclass(slots=True)
class SliceWeightStored:
    """The store holds this weight of an endpoint for a slice."""

    slice: int
    endpoint: int
    weight: float


@dataclass(slots=True)
class SliceDemandReport:
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
