"""Listener for collectd's datagrams, which a background job decodes.

The queue of datagrams is bounded, so a flood of them cannot exhaust the memory.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Iterator, Sequence
from typing import Any, NamedTuple, Protocol, cast

import xxhash

from ravenshelf import log_events
from ravenshelf.background.decisions import Priority
from ravenshelf.background.scheduler import BackgroundScheduler
from ravenshelf.collectd import protocol, security
from ravenshelf.collectd.decisions.host_loads import HostLoads
from ravenshelf.collectd.decisions.replays import ReplayFilter
from ravenshelf.collectd.protocol import MAX_PACKET_BYTES, RejectedPacketError, RejectionReason
from ravenshelf.collectd.users import Users
from ravenshelf.policy.events import HostLoadSampled
from ravenshelf.state.counters import Counters

# When the queue is full, new packets are dropped and the queued ones are kept: they belong to the same burst
# and arrived only slightly earlier.
MAX_QUEUED_PACKETS = 1024
PACKETS_PER_SLICE = 8
DECODE_TIME_LIMIT = 500_000  # Deadline of the decode job, in microseconds after the job is queued.
# Minimum time, in microseconds, between two log events with the same reason.
REJECTION_LOG_INTERVAL = 10_000_000
DECODE_JOB = "collectd.decode"


class CollectdTable(Protocol):
    """Keys of the operator file's table `[collectd]` that the listener reads."""

    @property
    def security(self) -> str:
        """Lowest security level of accepted packets, one of security.SECURITY_LEVELS."""

    @property
    def plugins(self) -> Sequence[str]:
        """Names of the plugins whose values are used."""

    @property
    def types(self) -> str:
        """Path of a types.db file, or "" for the built-in types."""


class QueuedPacket(NamedTuple):
    """Packet that waits to be decoded; `received_at` is in microseconds."""

    received_at: int
    sender: str
    data: bytes


class CollectdListener(asyncio.DatagramProtocol):
    """Datagram protocol that decodes collectd's packets and passes host loads to `on_host_load`."""

    def __init__(
        self,
        table: CollectdTable,
        users: Users,
        host_loads: HostLoads,
        background: BackgroundScheduler,
        counters: Counters,
        clock: Callable[[], int],
        on_host_load: Callable[[HostLoadSampled], None],
    ) -> None:
        self.table = table
        self.plugins = frozenset(table.plugins)
        self.users = users
        self.host_loads = host_loads
        self.background = background
        self.counters = counters
        self.clock = clock
        self.on_host_load = on_host_load
        self.replay_filter = ReplayFilter()
        self.queued_packets: deque[QueuedPacket] = deque()
        self.has_decode_job = False
        self.rejection_logged_at: dict[RejectionReason, int] = {}
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by the event loop."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: tuple[str | Any, int]) -> None:
        """Queue a packet to be decoded; called by the event loop.

        The packet is dropped if it is too long or the queue is full.
        """
        if len(self.queued_packets) >= MAX_QUEUED_PACKETS or len(data) > MAX_PACKET_BYTES:
            self.counters["collectd_overflow"] += 1
            return
        self.queued_packets.append(QueuedPacket(self.clock(), address[0], data))
        if not self.has_decode_job:
            self.has_decode_job = True
            self.background.offer(
                DECODE_JOB,
                Priority.SIGNAL,
                DECODE_TIME_LIMIT,
                self._decode(),
                on_dropped=self._on_job_dropped,
            )

    def error_received(self, error: Exception) -> None:
        """Ignore the error: it can only concern a sent datagram, and the listener sends none."""

    def _on_job_dropped(self) -> None:
        self.has_decode_job = False

    def _decode(self) -> Iterator[None]:
        while self.queued_packets:
            for _ in range(min(PACKETS_PER_SLICE, len(self.queued_packets))):
                self._decode_packet(self.queued_packets.popleft())
            yield
        self.has_decode_job = False
        for load in self.host_loads.pop_loads(self.clock()):
            self.counters["collectd_signals"] += 1
            self.on_host_load(HostLoadSampled(*load))
        for host, seconds_ahead in self.host_loads.pop_skewed_clocks():
            log_events.HOST_CLOCK_SKEWED(host=host, ahead=seconds_ahead)

    def _decode_packet(self, packet: QueuedPacket) -> None:
        try:
            plain_packet = security.open_packet(
                packet.data,
                lambda user: self.users.valid_passwords(user, packet.received_at),
                self.table.security,
            )
            if plain_packet.is_authenticated:
                self._check_replay(packet)
            value_lists = protocol.decode_value_lists(plain_packet.parts, self._is_selected)
        except RejectedPacketError as error:
            self._on_rejected(packet, error)
            return
        self.counters["collectd_packets"] += 1
        self.host_loads.add(packet.received_at, value_lists, plain_packet.is_authenticated)

    def _check_replay(self, packet: QueuedPacket) -> None:
        digest = xxhash.xxh64_intdigest(packet.data)
        if self.replay_filter.is_replay(digest, packet.received_at):
            raise RejectedPacketError(RejectionReason.REPLAYED, "the same packet was accepted before")

    def _is_selected(self, host: str, plugin: str) -> bool:
        del host
        return plugin in self.plugins

    def _on_rejected(self, packet: QueuedPacket, error: RejectedPacketError) -> None:
        self.counters["collectd_rejected"] += 1
        self.counters[f"collectd_rejected_{error.reason.counter_name}"] += 1
        logged_at = self.rejection_logged_at.get(error.reason)
        if logged_at is None or packet.received_at - logged_at >= REJECTION_LOG_INTERVAL:
            self.rejection_logged_at[error.reason] = packet.received_at
            log_events.PACKET_REJECTED(peer=packet.sender, why=f"{error.reason.value}: {error}")

    def close(self) -> None:
        """Stop listening and drop the queued packets."""
        self.background.cancel(DECODE_JOB)
        if self.transport is not None:
            self.transport.close()
