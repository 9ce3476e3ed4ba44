"""A collectd sender: hosts with processors as they count, packets signed or sealed, and seeded faults on the
way.

Written after the published description of the binary protocol, apart from the decoder, so that the two check
each other.
"""

import hashlib
import hmac
import os
import random
import struct
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

HOST, TIME, PLUGIN, PLUGIN_INSTANCE, TYPE, TYPE_INSTANCE, VALUES, INTERVAL, TIME_HR, INTERVAL_HR = range(10)
COUNTER, GAUGE, DERIVE, ABSOLUTE = range(4)


def part(kind: int, body: bytes) -> bytes:
    return struct.pack("!HH", kind, 4 + len(body)) + body


def text(kind: int, word: str) -> bytes:
    return part(kind, word.encode() + b"\0")


def number(kind: int, value: int) -> bytes:
    return part(kind, struct.pack("!Q", value))


def hr(seconds: float) -> int:
    return int(seconds * (1 << 30))


def values(*pairs: tuple[int, float]) -> bytes:
    body = struct.pack("!H", len(pairs)) + bytes(kind for kind, _ in pairs)
    for kind, value in pairs:
        body += struct.pack({COUNTER: "!Q", GAUGE: "<d", DERIVE: "!q", ABSOLUTE: "!Q"}[kind], value)
    return part(VALUES, body)


def signed(packet: bytes, user: str, password: str) -> bytes:
    name = user.encode()
    total = hmac.new(password.encode(), name + packet, hashlib.sha256).digest()
    return struct.pack("!HH", 0x0200, 36 + len(name)) + total + name + packet


def sealed(packet: bytes, user: str, password: str, start: bytes | None = None) -> bytes:
    from cryptography.hazmat.primitives.ciphers import Cipher, algorithms

    try:
        from cryptography.hazmat.decrepit.ciphers.modes import OFB
    except ImportError:
        from cryptography.hazmat.primitives.ciphers.modes import OFB
    start = start or os.urandom(16)
    key = hashlib.sha256(password.encode()).digest()
    inner = hashlib.sha1(packet).digest() + packet
    shut = Cipher(algorithms.AES(key), OFB(start)).encryptor().update(inner)
    name = user.encode()
    body = struct.pack("!H", len(name)) + name + start + shut
    return struct.pack("!HH", 0x0210, 4 + len(body)) + body


@dataclass
class Host:
    """A machine whose processors count ticks by state; `busy` is their share that is not idle."""

    name: str
    cores: int = 2
    interval: float = 10.0
    clock_off: float = 0.0  # seconds by which its clock is ahead
    busy: float = 0.2
    ticks: dict[tuple[int, str], float] = field(default_factory=dict)
    at: float | None = None

    def packet(self, now: float, high: bool = True) -> bytes:
        """What its daemon reads at `now`, in one packet."""
        passed = self.interval if self.at is None else now - self.at
        self.at = now
        said = now + self.clock_off
        out = text(HOST, self.name) + (number(TIME_HR, hr(said)) if high else number(TIME, int(said)))
        out += number(INTERVAL_HR, hr(self.interval)) if high else number(INTERVAL, int(self.interval))
        out += text(PLUGIN, "cpu")
        for core in range(self.cores):
            out += text(PLUGIN_INSTANCE, str(core)) + text(TYPE, "cpu")
            for state, part_of in (
                ("user", 0.8 * self.busy),
                ("system", 0.2 * self.busy),
                ("idle", 1 - self.busy),
            ):
                key = (core, state)
                self.ticks[key] = self.ticks.get(key, 0.0) + 100 * passed * part_of
                out += text(TYPE_INSTANCE, state) + values((DERIVE, int(self.ticks[key])))
        return out


@dataclass(frozen=True)
class Faults:
    """What the way does to packets, each with a chance of its own."""

    lost: float = 0.0
    twice: float = 0.0
    late: float = 0.0
    late_by: float = 25.0
    cut: float = 0.0

    def play(
        self, packets: Iterable[tuple[float, bytes]], chance: random.Random
    ) -> Iterator[tuple[float, bytes]]:
        """(when it comes, packet), in the order in which they come."""
        out = []
        for at, packet in packets:
            if chance.random() < self.lost:
                continue
            if chance.random() < self.cut:
                packet = packet[: chance.randrange(len(packet))]
            delay = chance.random() * self.late_by if chance.random() < self.late else chance.random() * 0.05
            out.append((at + delay, packet))
            if chance.random() < self.twice:
                out.append((at + delay + chance.random(), packet))
        yield from sorted(out, key=lambda pair: pair[0])
