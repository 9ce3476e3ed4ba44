"""Decoder of collectd's binary network protocol: packets into value lists.

It follows the published description of the protocol. A packet is a sequence of parts. Each part has a header
of type and length (16 bits each, in network byte order; the length includes the header) and a body. Parts set
the context, such as the host, of the values after them.

A packet is decoded as a whole or rejected. After a wrong length, the boundaries of all further parts are
unknown, and the parts before it may belong to a packet that was truncated.
"""

import enum
import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from ravenshelf.errors import RavenshelfError
from ravenshelf.time_units import SECOND

# Types of parts
HOST, TIME, PLUGIN, PLUGIN_INSTANCE, TYPE, TYPE_INSTANCE, VALUES, INTERVAL = range(8)
TIME_HR = 0x0008
INTERVAL_HR = 0x0009
SIGNATURE = 0x0200
ENCRYPTION = 0x0210

# Kinds of values, and their names by number
COUNTER, GAUGE, DERIVE, ABSOLUTE = range(4)
KINDS = ("COUNTER", "GAUGE", "DERIVE", "ABSOLUTE")

MAX_PACKET_BYTES = 65535
MAX_TEXT_BYTES = 128  # Maximum length of a text in bytes, including the terminating zero byte.
MAX_VALUES = 64  # A list with more values is malformed.
NUMBER_BYTES = 8
VALUE_BYTES = 9  # A value takes one byte for its kind and eight for its number.
COUNT_BYTES = 2

PART_HEADER = struct.Struct("!HH")
_U64 = struct.Struct("!Q")
_I64 = struct.Struct("!q")
_DOUBLE = struct.Struct("<d")
# The format of each kind of value. Only gauges are little-endian.
_VALUE_FORMATS = (_U64, _DOUBLE, _I64, _U64)
# Positions of the texts of a context, by type of part
_TEXT_FIELDS = {HOST: 0, PLUGIN: 1, PLUGIN_INSTANCE: 2, TYPE: 3, TYPE_INSTANCE: 4}


class RejectionReason(enum.Enum):
    """Reason for the rejection of a packet."""

    MALFORMED = "malformed"
    UNSIGNED = "unsigned"
    UNENCRYPTED = "unencrypted"
    UNKNOWN_USER = "unknown user"
    WRONG_SIGNATURE = "wrong signature"
    REPLAYED = "replayed"

    @property
    def counter_name(self) -> str:
        """Return the reason in the form in which it is part of a counter's name."""
        return self.value.replace(" ", "_")


class RejectedPacketError(RavenshelfError):
    """Error that rejects a packet as a whole; `detail` says what was expected or found."""

    def __init__(self, reason: RejectionReason, detail: str) -> None:
        super().__init__(detail)
        self.reason = reason
        self.detail = detail


def malformed_packet_error(detail: str) -> RejectedPacketError:
    """Create the error that rejects a packet because it does not follow the protocol."""
    return RejectedPacketError(RejectionReason.MALFORMED, detail)


@dataclass(slots=True)
class ValueList:
    """Values that a plugin read at the same time.

    `time` and `interval` are microseconds of the sender's clock; an interval of 0 means that none was stated.
    """

    host: str
    plugin: str
    plugin_instance: str
    type: str
    type_instance: str
    time: int
    interval: int
    values: tuple[tuple[int, float], ...]  # Kind and value of each data source.


def ticks_to_microseconds(ticks: int) -> int:
    """Convert a high-resolution time in units of 2^-30 s to microseconds, rounded to nearest."""
    return (ticks * SECOND + (1 << 29)) >> 30


def _iterate_parts(data: bytes) -> Iterator[tuple[int, bytes]]:
    """Yield the type and body of each part; raise RejectedPacketError at a malformed one."""
    position = 0
    while position < len(data):
        remaining_bytes = len(data) - position
        if remaining_bytes < PART_HEADER.size:
            raise malformed_packet_error(
                f"expected a part header of {PART_HEADER.size} bytes at {position}, found {remaining_bytes}"
            )
        kind, size = PART_HEADER.unpack_from(data, position)
        if not PART_HEADER.size <= size <= remaining_bytes:
            raise malformed_packet_error(
                f"part {kind:#06x} at {position}: expected at least a header and "
                f"at most {remaining_bytes} bytes, found a length of {size}"
            )
        yield kind, data[position + PART_HEADER.size : position + size]
        position += size


def _decode_text(kind: int, body: bytes) -> str:
    if not body or body[-1] or 0 in body[:-1] or len(body) > MAX_TEXT_BYTES:
        raise malformed_packet_error(
            f"part {kind:#06x}: expected up to {MAX_TEXT_BYTES - 1} bytes and a zero byte at the end"
        )
    try:
        return body[:-1].decode("utf-8")
    except UnicodeDecodeError as error:
        raise malformed_packet_error(f"part {kind:#06x}: expected text in UTF-8") from error


def _decode_number(kind: int, body: bytes) -> int:
    if len(body) != NUMBER_BYTES:
        raise malformed_packet_error(f"part {kind:#06x}: expected {NUMBER_BYTES} bytes, found {len(body)}")
    return int.from_bytes(body, "big")


def _decode_values(body: bytes) -> tuple[tuple[int, float], ...]:
    count = int.from_bytes(body[:COUNT_BYTES], "big")
    if len(body) != COUNT_BYTES + VALUE_BYTES * count or not 0 < count <= MAX_VALUES:
        raise malformed_packet_error(
            "values part: expected a valid count and the length that it requires, "
            f"found {len(body)} bytes with a count of {count} values"
        )
    numbers_start = COUNT_BYTES + count
    kinds = body[COUNT_BYTES:numbers_start]
    if max(kinds) > ABSOLUTE:
        raise malformed_packet_error(f"expected a known kind of value, found {max(kinds)}")
    return tuple(
        (kind, _VALUE_FORMATS[kind].unpack_from(body, numbers_start + NUMBER_BYTES * index)[0])
        for index, kind in enumerate(kinds)
    )


def decode_value_lists(data: bytes, is_selected: Callable[[str, str], bool] | None = None) -> list[ValueList]:
    """Decode the value lists of a packet without signature and encryption.

    Args:
        data: The packet's parts.
        is_selected: Called as `is_selected(host, plugin)`; value lists for which it returns False are
            skipped. None selects all of them.

    Returns:
        The selected value lists in the order of the packet.

    Raises:
        RejectedPacketError: The packet is malformed.
    """
    texts = ["", "", "", "", ""]  # The texts are host, plugin, plugin instance, type and type instance.
    time = 0
    interval = 0
    value_lists = []
    for kind, body in _iterate_parts(data):
        if kind in _TEXT_FIELDS:
            texts[_TEXT_FIELDS[kind]] = _decode_text(kind, body)
        elif kind == TIME:
            time = _decode_number(kind, body) * SECOND
        elif kind == TIME_HR:
            time = ticks_to_microseconds(_decode_number(kind, body))
        elif kind == INTERVAL:
            interval = _decode_number(kind, body) * SECOND
        elif kind == INTERVAL_HR:
            interval = ticks_to_microseconds(_decode_number(kind, body))
        elif kind == VALUES:
            values = _decode_values(body)
            _check_context(texts, time)
            if is_selected is None or is_selected(texts[0], texts[1]):
                value_lists.append(_make_value_list(texts, time, interval, values))
        elif kind in (SIGNATURE, ENCRYPTION):
            raise malformed_packet_error(
                "expected a signature or an encrypted part only at the start, found one after other parts"
            )
        # Other parts are notifications or come from a later version of collectd.
    return value_lists


def _make_value_list(
    texts: list[str], time: int, interval: int, values: tuple[tuple[int, float], ...]
) -> ValueList:
    host, plugin, plugin_instance, type_name, type_instance = texts
    return ValueList(host, plugin, plugin_instance, type_name, type_instance, time, interval, values)


def _check_context(texts: list[str], time: int) -> None:
    host, plugin, _, type_name, _ = texts
    if not host or not plugin or not type_name:
        raise malformed_packet_error("expected a host, a plugin and a type before the first values")
    if not time:
        raise malformed_packet_error("expected a time before the first values")
