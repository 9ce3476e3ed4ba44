"""Messages between controllers, relays and control-plane servers, and their encoding.

Messages are MessagePack arrays tagged by type, so the order of fields and the tags are the wire format; field
names are not. A topic is what one proxy zone needs of one service. Its state is a map of keys to entries; a
version identifies a state that the service owner published. Times are in microseconds; weights are unitless
shares of a table.
"""

import msgspec

from ravenshelf.errors import RavenshelfError


class Version(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Version of a topic's state: the epoch of the owner's lease, then a sequence number within it."""

    epoch: int
    sequence: int


PROTOCOL = 1  # version of this protocol
NEVER = Version(0, 0)  # held by a subscriber that has received nothing yet


class EndpointEntry(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A listed endpoint: zone, readiness, listed weight and start time of its process in microseconds (0:
    unknown)."""

    zone: int
    ready: bool
    weight: float
    started: int = 0


class TableLine(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A line of a proxy zone's table. `largest_share`: upper bound of its share of the table's requests, 0 to
    1."""

    weight: float
    largest_share: float = 1.0


class AdmissionLevel(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Admission level of a traffic group (0 to 1) and the proxies' retry mode for it."""

    level: float
    retry_mode: int


class Setting(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """One value of the service's configuration."""

    value: str


Entry = EndpointEntry | TableLine | AdmissionLevel | Setting
Changes = dict[str, Entry | None]  # None: the key is removed


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """First message of a dialling process: protocol version, cluster, and its own name in the cluster."""

    protocol: int
    cluster: str
    name: str


class Subscribe(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """A subscriber requests a topic, of which it holds this version."""

    topic: str
    version: Version


class Unsubscribe(msgspec.Struct, frozen=True, array_like=True, tag=17):
    """A subscriber no longer needs a topic."""

    topic: str


class Snapshot(msgspec.Struct, frozen=True, array_like=True, tag=18):
    """Part number `part` of the `parts` parts of a topic's complete state."""

    topic: str
    version: Version
    part_index: int
    part_count: int
    entries: dict[str, Entry]


class Delta(msgspec.Struct, frozen=True, array_like=True, tag=19):
    """Changes from version `since` to `version`, as absolute values."""

    topic: str
    since: Version
    version: Version
    changes: Changes


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """Sign of life of a parent. `digest` covers the versions that it believes the subscriber holds."""

    digest: int


class Resync(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """All versions that a subscriber holds, sent when its digest differs from a heartbeat's."""

    versions: dict[str, Version]


class TopicLive(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """Whether the sender can reach the owner of a topic."""

    topic: str
    is_live: bool


class EndpointLoad(msgspec.Struct, frozen=True, array_like=True):
    """Attempts at one endpoint by the proxies of one zone, summed over a window."""

    attempts: int
    failures: int
    latency_sum: int = 0  # microseconds, over the attempts that succeeded


class GroupDemand(msgspec.Struct, frozen=True, array_like=True):
    """Requests of one traffic group to the proxies of one zone, summed over a window."""

    requests: int
    unanswered: int = 0


class ZoneLoadReport(msgspec.Struct, frozen=True, array_like=True, tag=23):
    """Load of a service in one window from the proxies of one zone. `sequence` numbers the reports of
    `reporter`."""

    service: str
    zone: int
    window: int  # number of the window since the epoch of the clock
    reporter: str
    sequence: int
    endpoints: dict[str, EndpointLoad]
    groups: dict[int, GroupDemand]


Message = Hello | Subscribe | Unsubscribe | Snapshot | Delta | Heartbeat | Resync | TopicLive | ZoneLoadReport

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


class MalformedMessageError(RavenshelfError, ValueError):
    """Bytes that do not encode a message; `detail` is the decoder's complaint."""

    def __init__(self, detail: str):
        super().__init__(detail)
        self.detail = detail


def encode(message: Message) -> bytes:
    """Encode a message, without a frame."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """Decode a message; raises MalformedMessageError."""
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError as error:
        raise MalformedMessageError(str(error)) from error
