"""A test double of collectd's sender: hosts with processor counters, signed or encrypted packets, network
faults.

Written after the published description of the binary protocol and independent of the decoder, so that the two
check each other.
"""

import hashlib
import hmac
import os
import random
import struct
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

HOST, TIME, PLUGIN, PLUGIN_INSTANCE, TYPE, TYPE_INSTANCE, VALUES, INTERVAL, TIME_HR, INTERVAL_HR = range(10)
SIGNATURE = 0x0200
ENCRYPTION = 0x0210
COUNTER, GAUGE, DERIVE, ABSOLUTE = range(4)
VALUE_FORMATS = {COUNTER: "!Q", GAUGE: "<d", DERIVE: "!q", ABSOLUTE: "!Q"}
HEADER_BYTES = 4
SIGNATURE_BYTES = 32
IV_BYTES = 16
TICKS_PER_S = 100
NOMINAL_DELAY_S = 0.05


def encode_part(kind: int, body: bytes) -> bytes:
    """Return a part with its header."""
    return struct.pack("!HH", kind, HEADER_BYTES + len(body)) + body


def encode_text(kind: int, text: str) -> bytes:
    """Return a part with a text."""
    return encode_part(kind, text.encode() + b"\0")


def encode_number(kind: int, number: int) -> bytes:
    """Return a part with a number."""
    return encode_part(kind, struct.pack("!Q", number))


def high_resolution(seconds: float) -> int:
    """Return a time in units of 2^-30 s."""
    return int(seconds * (1 << 30))


def encode_values(*pairs: tuple[int, float]) -> bytes:
    """Return a part with (kind, value) pairs."""
    body = struct.pack("!H", len(pairs)) + bytes(kind for kind, _ in pairs)
    for kind, value in pairs:
        body += struct.pack(VALUE_FORMATS[kind], value)
    return encode_part(VALUES, body)


def sign(packet: bytes, user: str, password: str) -> bytes:
    """Return the packet with a signature before it."""
    name = user.encode()
    signature = hmac.new(password.encode(), name + packet, hashlib.sha256).digest()
    size = HEADER_BYTES + SIGNATURE_BYTES + len(name)
    return struct.pack("!HH", SIGNATURE, size) + signature + name + packet


def encrypt(packet: bytes, user: str, password: str, initialization_vector: bytes | None = None) -> bytes:
    """Return the packet as an encrypted part; without an initialization vector with a random one."""
    from cryptography.hazmat.primitives.ciphers import Cipher, algorithms

    try:
        from cryptography.hazmat.decrepit.ciphers.modes import OFB
    except ImportError:
        from cryptography.hazmat.primitives.ciphers.modes import OFB
    vector = initialization_vector or os.urandom(IV_BYTES)
    key = hashlib.sha256(password.encode()).digest()
    plain = hashlib.sha1(packet).digest() + packet
    encrypted = Cipher(algorithms.AES(key), OFB(vector)).encryptor().update(plain)
    name = user.encode()
    return encode_part(ENCRYPTION, struct.pack("!H", len(name)) + name + vector + encrypted)


@dataclass
class SimulatedHost:
    """A host whose processors count ticks by state.

    `busy_share` is the share of their time that is not idle.
    """

    name: str
    processors: int = 2
    interval_s: float = 10.0
    clock_offset_s: float = 0.0  # by which its clock is ahead
    busy_share: float = 0.2
    ticks: dict[tuple[int, str], float] = field(default_factory=dict)
    last_packet_at: float | None = None

    def packet(self, now: float, high_resolution_times: bool = True) -> bytes:
        """Return what its daemon reads at `now` (seconds), in one packet."""
        elapsed = self.interval_s if self.last_packet_at is None else now - self.last_packet_at
        self.last_packet_at = now
        timestamp = now + self.clock_offset_s
        packet = encode_text(HOST, self.name)
        if high_resolution_times:
            packet += encode_number(TIME_HR, high_resolution(timestamp))
            packet += encode_number(INTERVAL_HR, high_resolution(self.interval_s))
        else:
            packet += encode_number(TIME, int(timestamp))
            packet += encode_number(INTERVAL, int(self.interval_s))
        packet += encode_text(PLUGIN, "cpu")
        for processor in range(self.processors):
            packet += encode_text(PLUGIN_INSTANCE, str(processor)) + encode_text(TYPE, "cpu")
            packet += self._states(processor, elapsed)
        return packet

    def _states(self, processor: int, elapsed: float) -> bytes:
        shares = {"user": 0.8 * self.busy_share, "system": 0.2 * self.busy_share, "idle": 1 - self.busy_share}
        encoded = b""
        for state, share in shares.items():
            key = (processor, state)
            self.ticks[key] = self.ticks.get(key, 0.0) + TICKS_PER_S * elapsed * share
            encoded += encode_text(TYPE_INSTANCE, state) + encode_values((DERIVE, int(self.ticks[key])))
        return encoded


@dataclass(frozen=True)
class NetworkFaults:
    """What the network does to packets, each with a probability of its own."""

    loss_probability: float = 0.0
    duplication_probability: float = 0.0
    delay_probability: float = 0.0
    max_delay_s: float = 25.0
    truncation_probability: float = 0.0

    def apply(
        self, packets: Iterable[tuple[float, bytes]], random_source: random.Random
    ) -> Iterator[tuple[float, bytes]]:
        """Yield (time of arrival, packet) in this order; `packets` are (time of sending, packet)."""
        arrivals = []
        for sent_at, packet in packets:
            if random_source.random() < self.loss_probability:
                continue
            arriving = packet
            if random_source.random() < self.truncation_probability:
                arriving = packet[: random_source.randrange(len(packet))]
            is_late = random_source.random() < self.delay_probability
            delay = random_source.random() * (self.max_delay_s if is_late else NOMINAL_DELAY_S)
            arrivals.append((sent_at + delay, arriving))
            if random_source.random() < self.duplication_probability:
                arrivals.append((sent_at + delay + random_source.random(), arriving))
        yield from sorted(arrivals, key=lambda arrival: arrival[0])
