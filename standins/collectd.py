"""A test double of collectd's sender: hosts with processor counters, packets and network faults.

It was written from the published description of the binary protocol, independently of the decoder, so that
the two check each other. Packets may be signed or encrypted.
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
    """Return a part of a packet: its header and a body."""
    return struct.pack("!HH", kind, HEADER_BYTES + len(body)) + body


def encode_text(kind: int, text: str) -> bytes:
    """Return a part that contains a text."""
    return encode_part(kind, text.encode() + b"\0")


def encode_number(kind: int, number: int) -> bytes:
    """Return a part that contains an integer."""
    return encode_part(kind, struct.pack("!Q", number))


def encode_high_resolution_time(seconds: float) -> int:
    """Convert seconds to collectd's high-resolution time, whose unit is 2^-30 s."""
    return int(seconds * (1 << 30))


def encode_values(*pairs: tuple[int, float]) -> bytes:
    """Return a part that contains (kind, value) pairs."""
    body = struct.pack("!H", len(pairs)) + bytes(kind for kind, _ in pairs)
    for kind, value in pairs:
        body += struct.pack(VALUE_FORMATS[kind], value)
    return encode_part(VALUES, body)


def sign(packet: bytes, user: str, password: str) -> bytes:
    """Return a packet that starts with a signature."""
    name = user.encode()
    signature = hmac.new(password.encode(), name + packet, hashlib.sha256).digest()
    size = HEADER_BYTES + SIGNATURE_BYTES + len(name)
    return struct.pack("!HH", SIGNATURE, size) + signature + name + packet


def encrypt(packet: bytes, user: str, password: str, initialization_vector: bytes | None = None) -> bytes:
    """Return a packet as an encrypted part.

    Args:
        packet: The plain packet.
        user: Name of the user.
        password: Password of the user, from which the key is derived.
        initialization_vector: 16 bytes; random bytes by default.
    """
    from cryptography.hazmat.primitives.ciphers import Cipher, algorithms

    try:
        from cryptography.hazmat.decrepit.ciphers.modes import OFB
    except ImportError:
        from cryptography.hazmat.primitives.ciphers.modes import OFB
    vector = initialization_vector or os.urandom(IV_BYTES)
    key = hashlib.sha256(password.encode()).digest()
    plain_body = hashlib.sha1(packet).digest() + packet
    encrypted_body = Cipher(algorithms.AES(key), OFB(vector)).encryptor().update(plain_body)
    name = user.encode()
    return encode_part(ENCRYPTION, struct.pack("!H", len(name)) + name + vector + encrypted_body)


@dataclass
class SimulatedHost:
    """A host with counters of processor ticks by state.

    Its clock is `clock_offset_s` seconds ahead. `busy_share` is the share of time in which the processors are
    not idle.
    """

    name: str
    processors: int = 2
    interval_s: float = 10.0
    clock_offset_s: float = 0.0
    busy_share: float = 0.2
    ticks: dict[tuple[int, str], float] = field(default_factory=dict)
    last_packet_at: float | None = None

    def packet(self, now: float, high_resolution_times: bool = True) -> bytes:
        """Return a packet with the counters that the host's daemon reads at time `now`, in seconds."""
        elapsed = self.interval_s if self.last_packet_at is None else now - self.last_packet_at
        self.last_packet_at = now
        timestamp = now + self.clock_offset_s
        packet = encode_text(HOST, self.name)
        if high_resolution_times:
            packet += encode_number(TIME_HR, encode_high_resolution_time(timestamp))
            packet += encode_number(INTERVAL_HR, encode_high_resolution_time(self.interval_s))
        else:
            packet += encode_number(TIME, int(timestamp))
            packet += encode_number(INTERVAL, int(self.interval_s))
        packet += encode_text(PLUGIN, "cpu")
        for processor in range(self.processors):
            packet += encode_text(PLUGIN_INSTANCE, str(processor)) + encode_text(TYPE, "cpu")
            packet += self._encode_states(processor, elapsed)
        return packet

    def _encode_states(self, processor: int, elapsed: float) -> bytes:
        shares = {"user": 0.8 * self.busy_share, "system": 0.2 * self.busy_share, "idle": 1 - self.busy_share}
        parts = b""
        for state, share in shares.items():
            key = (processor, state)
            self.ticks[key] = self.ticks.get(key, 0.0) + TICKS_PER_S * elapsed * share
            parts += encode_text(TYPE_INSTANCE, state) + encode_values((DERIVE, int(self.ticks[key])))
        return parts


@dataclass(frozen=True)
class NetworkFaults:
    """The probabilities of faults of a network, and the largest delay of a late packet in seconds."""

    loss_probability: float = 0.0
    duplication_probability: float = 0.0
    delay_probability: float = 0.0
    max_delay_s: float = 25.0
    truncation_probability: float = 0.0

    def apply(
        self, packets: Iterable[tuple[float, bytes]], random_source: random.Random
    ) -> Iterator[tuple[float, bytes]]:
        """Apply the faults to packets.

        Args:
            packets: Pairs of the time of sending in seconds and the packet.
            random_source: Source of the faults and delays.

        Yields:
            Pairs of the time of arrival in seconds and the packet, by time.
        """
        arrivals = []
        for sent_at, packet in packets:
            if random_source.random() < self.loss_probability:
                continue
            arriving_packet = packet
            if random_source.random() < self.truncation_probability:
                arriving_packet = packet[: random_source.randrange(len(packet))]
            is_late = random_source.random() < self.delay_probability
            delay = random_source.random() * (self.max_delay_s if is_late else NOMINAL_DELAY_S)
            arrivals.append((sent_at + delay, arriving_packet))
            if random_source.random() < self.duplication_probability:
                arrivals.append((sent_at + delay + random_source.random(), arriving_packet))
        yield from sorted(arrivals, key=lambda arrival: arrival[0])
