"""Decodes collectd's binary network protocol, after its published description: packets into value lists.

A packet is a sequence of parts: type and length (16 bits each, network order; the length includes this
header), then a body. Parts set the context of the values after them. A packet is decoded as a whole or
rejected: after a wrong length nothing is certain, and what precedes it may belong to a packet that was cut.
"""

import enum
import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from ravenshelf.errors import RavenshelfError

HOST, TIME, PLUGIN, PLUGIN_INSTANCE, TYPE, TYPE_INSTANCE, VALUES, INTERVAL = range(8)
TIME_HR = 0x0008
INTERVAL_HR = 0x0009
SIGNATURE = 0x0200
ENCRYPTION = 0x0210

COUNTER, GAUGE, DERIVE, ABSOLUTE = range(4)
KINDS = ("COUNTER", "GAUGE", "DERIVE", "ABSOLUTE")

MAX_PACKET_BYTES = 65535
MAX_TEXT_BYTES = 128  # with the zero byte at its end
MAX_VALUES = 64
NUMBER_BYTES = 8
VALUE_BYTES = 9  # kind and number
COUNT_BYTES = 2
SECOND = 1_000_000  # microseconds

PART_HEADER = struct.Struct("!HH")
_U64 = struct.Struct("!Q")
_I64 = struct.Struct("!q")
_DOUBLE = struct.Struct("<d")
_VALUE_FORMATS = (_U64, _DOUBLE, _I64, _U64)  # by kind; gauges alone are little-endian
_TEXT_FIELDS = {HOST: 0, PLUGIN: 1, PLUGIN_INSTANCE: 2, TYPE: 3, TYPE_INSTANCE: 4}


class RejectionReason(enum.Enum):
    """Why a packet was rejected."""

    MALFORMED = "malformed"
    UNSIGNED = "unsigned"
    UNENCRYPTED = "unencrypted"
    UNKNOWN_USER = "unknown user"
    WRONG_SIGNATURE = "wrong signature"
    REPLAYED = "replayed"

    @property
    def counter_name(self) -> str:
        """The reason as a part of a counter's name."""
        return self.value.replace(" ", "_")


class RejectedPacketError(RavenshelfError):
    """Nothing of a packet is used; `detail` says what was found or expected."""

    def __init__(self, reason: RejectionReason, detail: str) -> None:
        super().__init__(detail)
        self.reason = reason
        self.detail = detail


def malformed(detail: str) -> RejectedPacketError:
    """Return the error of a packet that does not follow the protocol."""
    return RejectedPacketError(RejectionReason.MALFORMED, detail)


@dataclass(slots=True)
class ValueList:
    """Values that a plugin read at one time; `time` and `interval` are microseconds of the sender's clock."""

    host: str
    plugin: str
    plugin_instance: str
    type: str
    type_instance: str
    time: int
    interval: int
    values: tuple[tuple[int, float], ...]  # (kind, value)


def microseconds(ticks: int) -> int:
    """Convert a high-resolution time, in units of 2^-30 s."""
    return (ticks * SECOND + (1 << 29)) >> 30


def _parts(data: bytes) -> Iterator[tuple[int, bytes]]:
    """Yield type and body of each part."""
    position = 0
    while position < len(data):
        remaining = len(data) - position
        if remaining < PART_HEADER.size:
            raise malformed(f"{remaining} bytes at {position}, a part's header has {PART_HEADER.size}")
        kind, size = PART_HEADER.unpack_from(data, position)
        if not PART_HEADER.size <= size <= remaining:
            raise malformed(
                f"part {kind:#06x} at {position} has a length of {size}, {remaining} bytes remain"
            )
        yield kind, data[position + PART_HEADER.size : position + size]
        position += size


def _text(kind: int, body: bytes) -> str:
    if not body or body[-1] or 0 in body[:-1] or len(body) > MAX_TEXT_BYTES:
        raise malformed(f"part {kind:#06x}: expected up to {MAX_TEXT_BYTES - 1} bytes and a zero byte")
    try:
        return body[:-1].decode("utf-8")
    except UnicodeDecodeError as error:
        raise malformed(f"part {kind:#06x}: expected UTF-8") from error


def _number(kind: int, body: bytes) -> int:
    if len(body) != NUMBER_BYTES:
        raise malformed(f"part {kind:#06x}: expected {NUMBER_BYTES} bytes, not {len(body)}")
    return int.from_bytes(body, "big")


def _values(body: bytes) -> tuple[tuple[int, float], ...]:
    count = int.from_bytes(body[:COUNT_BYTES], "big")
    if len(body) != COUNT_BYTES + VALUE_BYTES * count or not 0 < count <= MAX_VALUES:
        raise malformed(f"{len(body)} bytes of {count} values")
    numbers_start = COUNT_BYTES + count
    kinds = body[COUNT_BYTES:numbers_start]
    if max(kinds) > ABSOLUTE:
        raise malformed(f"a value of kind {max(kinds)}")
    return tuple(
        (kind, _VALUE_FORMATS[kind].unpack_from(body, numbers_start + NUMBER_BYTES * position)[0])
        for position, kind in enumerate(kinds)
    )


def decode_value_lists(data: bytes, is_wanted: Callable[[str, str], bool] | None = None) -> list[ValueList]:
    """Return the value lists of a plain packet.

    Lists for whose host and plugin `is_wanted` is false are skipped. Raises RejectedPacketError.
    """
    texts = ["", "", "", "", ""]  # host, plugin, plugin instance, type, type instance
    time = 0
    interval = 0
    decoded = []
    for kind, body in _parts(data):
        if kind in _TEXT_FIELDS:
            texts[_TEXT_FIELDS[kind]] = _text(kind, body)
        elif kind == TIME:
            time = _number(kind, body) * SECOND
        elif kind == TIME_HR:
            time = microseconds(_number(kind, body))
        elif kind == INTERVAL:
            interval = _number(kind, body) * SECOND
        elif kind == INTERVAL_HR:
            interval = microseconds(_number(kind, body))
        elif kind == VALUES:
            values = _values(body)
            _check_context(texts, time)
            if is_wanted is None or is_wanted(texts[0], texts[1]):
                decoded.append(_value_list(texts, time, interval, values))
        elif kind in (SIGNATURE, ENCRYPTION):
            raise malformed("a signature or an encrypted part that is not the packet's first")
        # other parts are notifications, or from a later version of collectd
    return decoded


def _value_list(
    texts: list[str], time: int, interval: int, values: tuple[tuple[int, float], ...]
) -> ValueList:
    host, plugin, plugin_instance, type_name, type_instance = texts
    return ValueList(host, plugin, plugin_instance, type_name, type_instance, time, interval, values)


def _check_context(texts: list[str], time: int) -> None:
    host, plugin, _, type_name, _ = texts
    if not host or not plugin or not type_name:
        raise malformed("values before a host, a plugin and a type")
    if not time:
        raise malformed("values before a time")
