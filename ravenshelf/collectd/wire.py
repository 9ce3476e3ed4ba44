"""collectd's binary network protocol after its published description: packets into value lists. Pure.

A packet is a row of parts: type and length (16 bits each, network order, the length with its head), then a body.
Parts set what holds for the values after them. A signed packet begins with a signature over the rest of it, an
encrypted one is a single part. It is taken whole or not at all: where a length is wrong, nothing after it is sure,
and what stood before may be of a packet that someone cut.
"""

import hashlib
import hmac
import struct
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from ravenshelf.errors import RavenshelfError

HOST, TIME, PLUGIN, PLUGIN_INSTANCE, TYPE, TYPE_INSTANCE, VALUES, INTERVAL = range(8)
TIME_HR, INTERVAL_HR, MESSAGE, SEVERITY, SIGNATURE, ENCRYPTION = (
    0x0008,
    0x0009,
    0x0100,
    0x0101,
    0x0200,
    0x0210,
)
COUNTER, GAUGE, DERIVE, ABSOLUTE = range(4)
KINDS = ("COUNTER", "GAUGE", "DERIVE", "ABSOLUTE")
WORDS = {HOST: 0, PLUGIN: 1, PLUGIN_INSTANCE: 2, TYPE: 3, TYPE_INSTANCE: 4}
MOST_PACKET, MOST_WORD, MOST_VALUES = 65535, 128, 64
SECURITY = ("none", "sign", "encrypt")
PART, U64, I64, DOUBLE = struct.Struct("!HH"), struct.Struct("!Q"), struct.Struct("!q"), struct.Struct("<d")
_FORMS = (U64, DOUBLE, I64, U64)  # of a value by kind; gauges alone are little-endian


class RejectedPacketError(RavenshelfError):
    """A packet of which nothing is taken; `reason` is one of a few words, for counting."""

    def __init__(self, reason: str, text: str):
        super().__init__(text)
        self.reason = reason


@dataclass(slots=True)
class ValueList:
    """Values read at one moment by one plugin; `time` and `interval` in microseconds by the sender's clock."""

    host: str
    plugin: str
    plugin_instance: str
    type: str
    type_instance: str
    time: int
    interval: int
    values: tuple[tuple[int, float], ...]  # (kind, value)


def high_resolution(ticks: int) -> int:
    """Units of 2^-30 s into microseconds."""
    return (ticks * 1_000_000 + (1 << 29)) >> 30


def parts(data: bytes) -> Iterable[tuple[int, bytes]]:
    at = 0
    while at < len(data):
        if at + PART.size > len(data):
            raise RejectedPacketError(
                "malformed", f"{len(data) - at} octets at {at}, a part's head has {PART.size}"
            )
        kind, size = PART.unpack_from(data, at)
        if size < PART.size or at + size > len(data):
            raise RejectedPacketError(
                "malformed", f"part {kind:#06x} at {at} says {size} octets, {len(data) - at} are left"
            )
        yield kind, data[at + PART.size : at + size]
        at += size


def _word(kind: int, body: bytes) -> str:
    if not body or body[-1] or 0 in body[:-1] or len(body) > MOST_WORD:
        raise RejectedPacketError(
            "malformed", f"part {kind:#06x}: expected up to {MOST_WORD - 1} octets and one that is 0"
        )
    try:
        return body[:-1].decode("utf-8")
    except UnicodeDecodeError:
        raise RejectedPacketError("malformed", f"part {kind:#06x}: expected UTF-8") from None


def _number(kind: int, body: bytes) -> int:
    if len(body) != 8:
        raise RejectedPacketError("malformed", f"part {kind:#06x}: expected 8 octets, not {len(body)}")
    return U64.unpack(body)[0]


def _values(body: bytes) -> tuple[tuple[int, float], ...]:
    count = int.from_bytes(body[:2], "big")
    if len(body) != 2 + 9 * count or not 0 < count <= MOST_VALUES:
        raise RejectedPacketError("malformed", f"{len(body)} octets of {count} values")
    kinds = body[2 : 2 + count]
    if max(kinds) > ABSOLUTE:
        raise RejectedPacketError("malformed", f"a value of kind {max(kinds)}")
    return tuple((kind, _FORMS[kind].unpack_from(body, 2 + count + 8 * n)[0]) for n, kind in enumerate(kinds))


def value_lists(
    data: bytes, wanted: Callable[[str, str], bool] = lambda host, plugin: True
) -> list[ValueList]:
    """The value lists of a packet that is open; those that are not wanted are read past."""
    words, time, interval, out = ["", "", "", "", ""], 0, 0, []
    for kind, body in parts(data):
        if kind in WORDS:
            words[WORDS[kind]] = _word(kind, body)
        elif kind == TIME:
            time = _number(kind, body) * 1_000_000
        elif kind == TIME_HR:
            time = high_resolution(_number(kind, body))
        elif kind == INTERVAL:
            interval = _number(kind, body) * 1_000_000
        elif kind == INTERVAL_HR:
            interval = high_resolution(_number(kind, body))
        elif kind == VALUES:
            values = _values(body)
            if not words[0] or not words[1] or not words[3]:
                raise RejectedPacketError("malformed", "values before a host, a plugin and a type")
            if not time:
                raise RejectedPacketError("malformed", "values before a time")
            if wanted(words[0], words[1]):
                out.append(ValueList(*words, time, interval, values))
        elif kind in (SIGNATURE, ENCRYPTION):
            raise RejectedPacketError(
                "malformed", "a signature or an encrypted part that is not the packet's first"
            )
        # other parts are notifications, or of a later sender: they are passed over
    return out


def opened(data: bytes, passwords: Callable[[str], Sequence[bytes]], least: str) -> tuple[bytes, bool]:
    """The open parts of a packet, and whether a known user vouches for it. `least`: the least security taken.

    Raises RejectedPacketError: unsigned, unencrypted, unknown user, wrong signature, malformed."""
    if len(data) > MOST_PACKET or len(data) < PART.size:
        raise RejectedPacketError("malformed", f"a packet of {len(data)} octets")
    kind, size = PART.unpack_from(data)
    if kind == ENCRYPTION:
        if size != len(data):
            raise RejectedPacketError(
                "malformed", f"an encrypted part of {size} octets in a packet of {len(data)}"
            )
        return _decrypted(data[PART.size :], passwords), True
    if least == "encrypt":
        raise RejectedPacketError("unencrypted", "expected an encrypted packet")
    if kind == SIGNATURE:
        if not PART.size + 32 < size <= len(data):
            raise RejectedPacketError("malformed", f"a signature of {size} octets in a packet of {len(data)}")
        said, user = data[PART.size : PART.size + 32], data[PART.size + 32 : size]
        covered = data[PART.size + 32 :]
        known = _known(user, passwords)
        if not known and least == "none":  # as the description has it: who keeps no users takes all alike
            return data[size:], False
        if not any(hmac.compare_digest(hmac.digest(word, covered, "sha256"), said) for word in known):
            raise RejectedPacketError("wrong signature" if known else "unknown user", f"user {user[:40]!r}")
        return data[size:], True
    if least != "none":
        raise RejectedPacketError("unsigned", "expected a signed or encrypted packet")
    return data, False


def _known(user: bytes, passwords: Callable[[str], Sequence[bytes]]) -> Sequence[bytes]:
    try:
        return passwords(user.decode("utf-8"))
    except UnicodeDecodeError:
        return ()


def cipher(password: bytes, start: bytes):
    """AES-256 in output feedback, keyed by the password's SHA-256; loaded only where a packet is encrypted."""
    from cryptography.hazmat.primitives.ciphers import Cipher, algorithms

    try:
        from cryptography.hazmat.decrepit.ciphers.modes import OFB
    except ImportError:
        from cryptography.hazmat.primitives.ciphers.modes import OFB
    return Cipher(algorithms.AES(hashlib.sha256(password).digest()), OFB(start))


def _decrypted(body: bytes, passwords: Callable[[str], Sequence[bytes]]) -> bytes:
    size = int.from_bytes(body[:2], "big")
    if len(body) < 2 + size + 16 + 20:
        raise RejectedPacketError(
            "malformed", f"an encrypted part of {len(body)} octets with a name of {size}"
        )
    user, start, sealed = body[2 : 2 + size], body[2 + size : 18 + size], body[18 + size :]
    known = _known(user, passwords)
    for word in known:
        plain = cipher(word, start).decryptor().update(sealed)
        if hmac.compare_digest(hashlib.sha1(plain[20:]).digest(), plain[:20]):
            return plain[20:]
    raise RejectedPacketError("wrong signature" if known else "unknown user", f"user {user[:40]!r}")
