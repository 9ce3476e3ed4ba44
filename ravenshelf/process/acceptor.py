"""Who comes to the pilot's address: strangers, collectors, and the streams of proxies."""

from collections.abc import Callable

from ravenshelf import log_events
from ravenshelf.net import stream_codec
from ravenshelf.net.accepted import AcceptedConnection
from ravenshelf.net.connection_end import COLLECTOR, OURS, STRANGER, STREAM, ConnectionEnd, outcome
from ravenshelf.net.stream_codec import MalformedMessageError, StreamDecoder, UnreadableConnectionError
from ravenshelf.policy.events import Event, ProxyLeft
from ravenshelf.state.counters import Counters
from ravenshelf.state.deadlines import DeadlineQueue
from ravenshelf.state.slots import SlotTable

JOIN_TIMEOUT = 1_500_000  # whoever has not joined so long after connecting is shut out, whatever was said
MAY_STAY = 1_000_000  # for so long at least nobody is shut out for want of room, but at the very limit
IDLE_TIMEOUT = 30_000_000  # a connection that was followed by a newer one, and says nothing for so long
LATE = 1_000_000  # a mark can't have taken longer than since it was written, but for the clocks


class ConnectionAcceptor:
    def __init__(
        self,
        reader: StreamDecoder,
        slots: SlotTable,
        reserve: int,
        deadlines: DeadlineQueue,
        counters: Counters,
        set_deadline: Callable,
        clock: Callable[[], int],
        news: Callable[[Event], None],
        next_turn: Callable[[Callable], None],
    ):
        self.reader, self.slots, self.reserve, self.deadlines = reader, slots, reserve, deadlines
        self.counters, self.clock, self.news = counters, clock, news
        self.set_deadline, self.next_turn = set_deadline, next_turn
        self.streams: dict[int, AcceptedConnection] = {}
        self.collectors: dict[int, AcceptedConnection] = {}  # the newest of each zone
        self.strangers: dict[AcceptedConnection, None] = {}  # in the order in which they connected
        self.followed: dict[AcceptedConnection, None] = {}  # the one longest silent first
        self.idle: list[
            AcceptedConnection
        ] = []  # streams that said nothing between two looks, the likeliest gone last
        self.swept = 0
        self.lingering: set[AcceptedConnection] = set()  # at the stop: those that still get what was written
        self.all_closed: Callable[[], None] | None = None  # told once they have it, from the stop on
        self.kinds = {
            "SUBSCRIBE": self._subscribe,
            "SOURCE": self._source,
            "LOAD": self._load,
            "RATE": self._rate,
            "ACK": self._ack,
        }

    # --- connections ---

    def came(self, connection: AcceptedConnection) -> None:
        self.counters["accepted"] += 1
        connection.since = self.clock()
        if self.all_closed is not None:
            connection.close(ConnectionEnd.STOPPING)
            return
        if self.slots.size - len(self.slots) <= self.reserve:
            self._make_room(connection.since)
        connection.slot = self.slots.acquire(connection)
        if connection.slot is None:
            connection.close(ConnectionEnd.CROWDED)
            return
        self.strangers[connection] = None
        self.set_deadline(("silent", connection), connection.since + JOIN_TIMEOUT)

    def _make_room(self, now: int) -> None:
        """One that is followed goes first, then the oldest stranger, but not one that may be about to join.

        At the very limit it is a stream that has said nothing for IDLE_TIMEOUT: machines that vanish leave theirs open, and
        those would keep out whoever lives. Harm: a proxy without flows says nothing either, and has to join again."""
        self._sweep_idle(now)
        full = len(self.slots) == self.slots.size
        oldest = next(iter(self.followed), None) or next(iter(self.strangers), None)
        if oldest is None and full:
            while self.idle and oldest is None:
                stream = self.idle.pop()
                oldest = stream if stream.end is None and not stream.spoke else None
            if oldest is not None:
                oldest.close(ConnectionEnd.CROWDED)
        elif oldest is not None and (oldest.followed or oldest.since <= now - MAY_STAY or full):
            oldest.close(ConnectionEnd.CROWDED)

    def _sweep_idle(self, now: int) -> None:
        """While room is short, notes every IDLE_TIMEOUT which streams said nothing since the last look."""
        if now - self.swept >= IDLE_TIMEOUT:
            self.swept, streams = now, list(self.streams.values())
            # those that owe an answer to a mark go first: they are the likelier to be gone
            self.idle = sorted((s for s in streams if not s.spoke), key=lambda s: bool(s.tickets))
            for stream in streams:
                stream.spoke = False

    def _spoke(self, connection: AcceptedConnection) -> None:
        self.followed.pop(connection, None)
        self.followed[connection] = None
        self.set_deadline(("silent", connection), self.clock() + IDLE_TIMEOUT)

    def _known(self, connection: AcceptedConnection, purpose: str) -> None:
        connection.purpose, connection.followed = purpose, False
        self.strangers.pop(connection, None)
        self.followed.pop(connection, None)
        self.deadlines.cancel(("silent", connection))

    def _followed(self, connection: AcceptedConnection) -> None:
        """A newer one has come in its place; it stays while it speaks, for the pilot ends nothing without need."""
        connection.followed = True
        self.counters[f"{connection.purpose}_followed"] += 1
        self._spoke(connection)

    def silent(self, connection: AcceptedConnection) -> None:
        connection.close(ConnectionEnd.SILENT)

    def gone(self, connection: AcceptedConnection) -> None:
        self.counters[f"{connection.purpose}_{connection.end.name.lower()}"] += 1
        self.strangers.pop(connection, None)
        self.followed.pop(connection, None)
        self.deadlines.cancel(("silent", connection))
        self.slots.release(connection.slot)
        self.collectors = {zone: c for zone, c in self.collectors.items() if c is not connection}
        if connection.purpose == STREAM and self.streams.get(connection.proxy) is connection:
            del self.streams[connection.proxy]
            if (
                outcome(STREAM, connection.end) is not None
            ):  # what waits for a stream that the pilot ended goes on counting
                self.news(ProxyLeft(connection.proxy, connection.end in OURS))

    def stop(self, all_closed: Callable[[], None]) -> None:
        """Nobody is heard any more; `all_closed` is told when all have what was written to them."""
        self.all_closed, self.lingering = all_closed, set(self.slots.items.values())
        for connection in list(self.lingering):
            connection.close(ConnectionEnd.STOPPING)
        if not self.lingering:
            all_closed()

    def abort_lingering(self) -> None:
        """Whoever has not taken it by now does not get it."""
        for connection in list(self.lingering):
            connection.transport.abort()

    def lost(self, connection: AcceptedConnection) -> None:
        """The socket is gone; its end was told before."""
        if connection in self.lingering:
            self.lingering.discard(connection)
            if not self.lingering:
                self.all_closed()

    def fences(self, proxy: int) -> bool:
        """Whether the proxy refuses orders of an older term: it said so when it joined."""
        stream = self.streams.get(proxy)
        return stream is not None and stream.fences

    def write(self, proxy: int, message: bytes, ticket: int | None) -> None:
        stream = self.streams.get(proxy)
        if stream is not None:
            if ticket is not None:
                stream.tickets[ticket] = self.clock()
            stream.write(message)

    # --- messages ---

    def said(self, connection: AcceptedConnection, line: bytes) -> None:
        connection.spoke = True
        if connection.followed:
            self._spoke(connection)
        kind = "unreadable"
        try:
            kind, said = stream_codec.words(line)
            if kind == stream_codec.PING:
                self.counters["pongs_sent"] += 1
                connection.write(stream_codec.PONG)
            else:
                self.kinds[kind](connection, stream_codec.named(said))
            self.counters[f"took_{kind.lower()}"] += 1
        except MalformedMessageError as why:
            log_events.MESSAGE_MALFORMED(
                purpose=connection.purpose, peer=connection.peer, line=repr(line[:120]), why=str(why)
            )
            if isinstance(why, UnreadableConnectionError) or connection.purpose == STRANGER:
                self.counters["unreadable"] += 1
                connection.close(ConnectionEnd.UNREADABLE)
            else:  # a slip in one message says nothing against those around it
                self.counters[f"spoilt_{kind.lower()}"] += 1

    def _subscribe(self, connection: AcceptedConnection, said: dict) -> None:
        joined = self.reader.joined(said)
        proxy = joined.proxy
        if connection.purpose == COLLECTOR or connection.proxy not in (None, proxy):
            raise UnreadableConnectionError("expected one proxy to a stream")
        old = self.streams.get(proxy)
        if connection.proxy is not None and old is not connection:
            self.counters["stale"] += 1  # this stream was followed by a newer one
            return
        if (
            old is connection
        ):  # the stream has not broken: what was written to it is still on its way and answered for
            self.news(ProxyLeft(proxy, True))
        self.streams[proxy] = connection
        connection.proxy, connection.fences = proxy, said.get("term") == "1"
        self._known(connection, STREAM)
        if old is not None and old is not connection:
            self._followed(old)  # its end, late as it may come, changes nothing any more
        self.news(joined)

    def _source(self, connection: AcceptedConnection, said: dict) -> None:
        zone = self.reader.zone(said)
        if connection.proxy is not None:
            raise UnreadableConnectionError("expected a stream or a collector, not both")
        old = self.collectors.get(zone)
        self.collectors[zone], connection.zone = connection, zone
        self._known(connection, COLLECTOR)
        if old is not None and old is not connection:
            self._followed(old)

    def _load(self, connection: AcceptedConnection, said: dict) -> None:
        if connection.purpose != COLLECTOR:
            raise MalformedMessageError("expected SOURCE before reports")
        report = self.reader.heard(said)
        if self.reader.zone(said) != connection.zone:
            raise MalformedMessageError("expected the zone of its collector")
        if report is None:
            self.counters["reports_of_unknown"] += 1
            return
        self.news(report)

    def _rate(self, connection: AcceptedConnection, said: dict) -> None:
        report = self.reader.asked(said)
        if self._stale(connection, report.proxy):
            return
        self.news(report)

    def _ack(self, connection: AcceptedConnection, said: dict) -> None:
        acknowledged = self.reader.applied(said)
        if connection.purpose == COLLECTOR:
            raise MalformedMessageError("expected marks on the stream of their proxy")
        if self._stale(connection, acknowledged.proxy):
            return
        written = connection.tickets.get(acknowledged.marker)
        if written is None:
            self.counters["acks_unasked"] += 1
            return
        if acknowledged.elapsed > self.clock() - written + LATE:
            raise MalformedMessageError("expected took_ms up to the time since the mark was written")
        del connection.tickets[acknowledged.marker]
        self.news(acknowledged)

    def _stale(self, connection: AcceptedConnection, proxy: int) -> bool:
        """Whether this comes on a stream that is not (any more) the proxy's; then it says nothing of it."""
        if connection.purpose == COLLECTOR or self.streams.get(proxy) is connection:
            return False
        if connection.proxy is None:
            raise MalformedMessageError("expected SUBSCRIBE or SOURCE first")
        self.counters["stale"] += 1
        return True
