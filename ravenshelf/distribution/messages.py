"""Messages between controllers, relays and pilots, and their encoding (MessagePack, arrays tagged by type).

A topic is what one proxy zone needs of one service. Its state is a map of keys to entries; a version names the state that
an owner published. Times are microseconds, weights are unitless shares of a table.
"""

import msgspec


class Version(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Which state of a topic: the epoch of the owner's lease, then a sequence number within it."""

    epoch: int
    sequence: int


PROTOCOL = 1
NEVER = Version(0, 0)  # held by a subscriber that has seen nothing yet


class EndpointEntry(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A listed endpoint: its zone, whether it is ready, its listed weight and the start of its process."""

    zone: int
    ready: bool
    weight: float
    started: int = 0


class TableLine(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A line of a proxy zone's table. `largest_share`: the most of the table's requests that it may ever receive."""

    weight: float
    largest_share: float = 1.0


class AdmissionLevel(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """What proxies admit of a traffic group, and their retry mode."""

    level: float
    retry_mode: int


class Setting(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """A value of the service's configuration."""

    value: str


Entry = EndpointEntry | TableLine | AdmissionLevel | Setting
Changes = dict[str, Entry | None]  # None: the key is removed


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """The first message of whoever dials: the protocol's version, the cluster and its own name in it."""

    protocol: int
    cluster: str
    name: str


class Subscribe(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """A subscriber wants a topic and holds this version of it."""

    topic: str
    version: Version


class Unsubscribe(msgspec.Struct, frozen=True, array_like=True, tag=17):
    """A subscriber wants a topic no more."""

    topic: str


class Snapshot(msgspec.Struct, frozen=True, array_like=True, tag=18):
    """One of `parts` parts of a topic's whole state."""

    topic: str
    version: Version
    part: int
    parts: int
    entries: dict[str, Entry]


class Delta(msgspec.Struct, frozen=True, array_like=True, tag=19):
    """What changed from version `since` to `version`, as absolute values."""

    topic: str
    since: Version
    version: Version
    changes: Changes


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """The sender lives. `digest` covers the versions that it believes the subscriber holds."""

    digest: int


class Resync(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """A subscriber whose digest differs tells all versions that it holds."""

    versions: dict[str, Version]


class TopicLive(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """Whether a topic's owner can be reached from here."""

    topic: str
    live: bool


class EndpointSums(msgspec.Struct, frozen=True, array_like=True):
    """Outcomes of one endpoint as met by the proxies of one zone."""

    tries: int
    failures: int
    latency_sum: int = 0  # microseconds, over the tries that did not fail


class GroupSums(msgspec.Struct, frozen=True, array_like=True):
    """Requests of one traffic group as asked of the proxies of one zone."""

    requests: int
    unanswered: int = 0


class Report(msgspec.Struct, frozen=True, array_like=True, tag=23):
    """Sums of a service's window from the proxies of one zone. `reporter` counts its reports by `sequence`."""

    service: str
    zone: int
    window: int  # number of the window since the epoch of the clock
    reporter: str
    sequence: int
    endpoints: dict[str, EndpointSums]
    groups: dict[int, GroupSums]


Message = Hello | Subscribe | Unsubscribe | Snapshot | Delta | Heartbeat | Resync | TopicLive | Report

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


class MessageError(ValueError):
    """Bytes that are no message."""


def encode(message: Message) -> bytes:
    """The message as bytes, without a frame."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """The message of these bytes; raises MessageError."""
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError as error:
        raise MessageError(str(error)) from None
