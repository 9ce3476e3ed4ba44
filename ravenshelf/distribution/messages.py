"""Messages between controllers, relays and control-plane servers, and their encoding.

Messages are MessagePack arrays tagged by type, so the order of fields and the tags are the wire format; field
names are not. A topic contains the part of a service's state that one proxy zone uses, or the part that is
the same for all zones; other topics describe a controller. The state of a topic is a map of keys to entries,
and a version identifies a state that the owner published. Times are in microseconds; weights are unitless
shares of a table.
"""

import msgspec

from ravenshelf.errors import RavenshelfError


class Version(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Version of a topic's state: the epoch of the owner's lease, then a sequence number within it."""

    epoch: int
    sequence: int


PROTOCOL = 1  # Peers with another protocol version are rejected.
NEVER = Version(0, 0)  # A subscriber that has received nothing yet has this version of a topic.


class EndpointEntry(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A listed endpoint.

    `weight` is the listed weight; `started` is the start time of the endpoint's process in microseconds, or 0
    if it is unknown.
    """

    zone: int
    ready: bool
    weight: float
    started: int = 0


class TableLine(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A line of a proxy zone's table.

    `largest_share` is the upper bound of the endpoint's share of the table's requests, 0 to 1.
    """

    weight: float
    largest_share: float = 1.0


class AdmissionLevel(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Admission level of a traffic group (0 to 1) and the proxies' retry mode for it."""

    level: float
    retry_mode: int


class Setting(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """A text value: a setting of a service, or the value of a key in a topic that describes a controller."""

    value: str


Entry = EndpointEntry | TableLine | AdmissionLevel | Setting
Changes = dict[str, Entry | None]  # The new entry of each changed key; None removes the key.


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """First message of a process that dials: protocol version, cluster, and its name in the cluster."""

    protocol: int
    cluster: str
    name: str


class Subscribe(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """Request for a topic, of which the subscriber holds this version."""

    topic: str
    version: Version


class Unsubscribe(msgspec.Struct, frozen=True, array_like=True, tag=17):
    """Cancellation of a subscription."""

    topic: str


class Snapshot(msgspec.Struct, frozen=True, array_like=True, tag=18):
    """One of the `part_count` parts of a topic's complete state; `part_index` counts from 0."""

    topic: str
    version: Version
    part_index: int
    part_count: int
    entries: dict[str, Entry]


class Delta(msgspec.Struct, frozen=True, array_like=True, tag=19):
    """Changes from `base_version` to `version`, as absolute values."""

    topic: str
    base_version: Version
    version: Version
    changes: Changes


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """Periodic message of a parent, with the digest of the versions that it has sent to the subscriber."""

    digest: int


class Resync(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """All versions that a subscriber holds, which it sends when its digest differs from a heartbeat's."""

    versions: dict[str, Version]


class TopicLive(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """Notification whether the sender can reach the owner of a topic."""

    topic: str
    is_live: bool


class EndpointLoad(msgspec.Struct, frozen=True, array_like=True):
    """Attempts at one endpoint by the proxies of one zone, summed over a window.

    `latency_sum` is in microseconds, over the attempts that succeeded.
    """

    attempts: int
    failures: int
    latency_sum: int = 0


class GroupDemand(msgspec.Struct, frozen=True, array_like=True):
    """Requests of one traffic group to the proxies of one zone, summed over a window."""

    requests: int
    unanswered: int = 0


class ZoneLoadReport(msgspec.Struct, frozen=True, array_like=True, tag=23):
    """Load of a service in one window from the proxies of one zone.

    `window` is the number of the window since the epoch of the clock; `sequence` numbers the reports of
    `reporter`. `endpoints` has the loads by endpoint name, `groups` the demands by traffic group.
    """

    service: str
    zone: int
    window: int
    reporter: str
    sequence: int
    endpoints: dict[str, EndpointLoad]
    groups: dict[int, GroupDemand]


Message = Hello | Subscribe | Unsubscribe | Snapshot | Delta | Heartbeat | Resync | TopicLive | ZoneLoadReport

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


class MalformedMessageError(RavenshelfError, ValueError):
    """Error in received bytes that do not encode a message; `detail` is the decoder's error message."""

    def __init__(self, detail: str):
        super().__init__(detail)
        self.detail = detail


def encode(message: Message) -> bytes:
    """Return the encoded message, without a frame."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """Return the decoded message.

    Args:
        data: The encoded message, without a frame.

    Raises:
        MalformedMessageError: The bytes do not encode a message.
    """
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError as error:
        raise MalformedMessageError(str(error)) from error
