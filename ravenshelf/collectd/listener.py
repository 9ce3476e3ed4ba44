"""Takes collectd's datagrams, and has them decoded by background work: a flood costs a bounded queue, no table line."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterator

import xxhash

from ravenshelf import log_events
from ravenshelf.background.decisions import SIGNAL
from ravenshelf.background.scheduler import Background
from ravenshelf.collectd import wire
from ravenshelf.collectd.decisions import Replays, Signals
from ravenshelf.collectd.users import Users
from ravenshelf.collectd.wire import MOST_PACKET, RejectedPacketError
from ravenshelf.policy.events import HostLoadSampled
from ravenshelf.state.counters import Counters

MOST_WAITING = 1024  # packets; beyond it the newest are dropped: what waits is the older half of one read
A_SLICE = 8  # packets
WITHIN = 500_000
SAID_EVERY = 10_000_000  # refusals of one reason


class Listener(asyncio.DatagramProtocol):
    def __init__(
        self,
        table,
        users: Users,
        signals: Signals,
        background: Background,
        counters: Counters,
        clock: Callable[[], int],
        news: Callable[[HostLoadSampled], None],
    ):
        self.table, self.users, self.signals, self.background = table, users, signals, background
        self.counters, self.clock, self.news = counters, clock, news
        self.replays = Replays()
        self.waiting: deque[tuple[int, str, bytes]] = deque()
        self.queued = False
        self.said: dict[str, int] = {}
        self.plugins = frozenset(table.plugins)
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, sender) -> None:
        if len(self.waiting) >= MOST_WAITING or len(data) > MOST_PACKET:
            self.counters["collectd_overflow"] += 1
            return
        self.waiting.append((self.clock(), sender[0], data))
        if not self.queued:
            self.queued = True
            self.background.offer(
                "collectd.decode", SIGNAL, WITHIN, self._decode(), dropped=self._not_decoded
            )

    def error_received(self, why: Exception) -> None:
        pass

    def _not_decoded(self) -> None:
        self.queued = False

    def _decode(self) -> Iterator[None]:
        while self.waiting:
            for _ in range(min(A_SLICE, len(self.waiting))):
                self.take(*self.waiting.popleft())
            yield
        self.queued = False
        for signal in self.signals.signals(self.clock()):
            self.counters["collectd_signals"] += 1
            self.news(HostLoadSampled(*signal))
        for host, ahead in self.signals.clocks():
            log_events.HOST_CLOCK_SKEWED(host=host, ahead=ahead)

    def take(self, came: int, sender: str, data: bytes) -> None:
        """One packet: opened, decoded, its values told to the decisions."""
        try:
            body, vouched = wire.opened(
                data, lambda user: self.users.passwords(user, came), self.table.security
            )
            if vouched and self.replays.again(xxhash.xxh64_intdigest(data), came):
                raise RejectedPacketError("replayed", "a packet that was taken before")
            lists = wire.value_lists(body, lambda host, plugin: plugin in self.plugins)
        except RejectedPacketError as why:
            self.counters["collectd_refused"] += 1
            self.counters[f"collectd_refused_{why.reason.replace(' ', '_')}"] += 1
            if came - self.said.get(why.reason, -SAID_EVERY) >= SAID_EVERY:
                self.said[why.reason] = came
                log_events.PACKET_REJECTED(peer=sender, why=f"{why.reason}: {why}")
            return
        self.counters["collectd_packets"] += 1
        self.signals.take(came, lists, vouched)

    def close(self) -> None:
        self.background.cancel("collectd.decode")
        if self.transport is not None:
            self.transport.close()
