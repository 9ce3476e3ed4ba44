"""Accepted connections: unidentified ones, collectors, and the streams of proxies."""

from collections.abc import Callable, Hashable
from typing import Protocol

from ravenshelf import log_events
from ravenshelf.net import stream_codec
from ravenshelf.net.accepted import AcceptedConnection
from ravenshelf.net.connection_end import (
    COLLECTOR,
    ENDS_BY_SERVER,
    STREAM,
    UNIDENTIFIED,
    ConnectionEnd,
    outcome,
)
from ravenshelf.net.stream_codec import MalformedMessageError, StreamDecoder, UnreadableConnectionError
from ravenshelf.policy.events import Event, ProxyLeft
from ravenshelf.process.deadline_keys import ConnectionTimeout
from ravenshelf.state.counters import Counters
from ravenshelf.state.slots import SlotTable

JOIN_TIMEOUT_US = 1_500_000  # whoever has not identified itself so long after connecting is closed
MINIMUM_STAY_US = (
    1_000_000  # for so long at least nobody is closed for want of capacity, but at the very limit
)
IDLE_TIMEOUT_US = 30_000_000  # of a superseded connection that says nothing
CLOCK_TOLERANCE_US = 1_000_000  # an acknowledgement can't take longer than since its marker was written
LOGGED_LINE_BYTES = 120


class DeadlineSetter(Protocol):
    """Sets and cancels deadlines; see `Timers`."""

    def set(self, key: Hashable, at: int) -> None:
        """Set the key's only deadline."""

    def cancel(self, key: Hashable) -> None:
        """Cancel the key's deadline, if it has one."""


class ConnectionAcceptor:
    """Owns the accepted connections and publishes what they report; `clock` gives microseconds.

    While `reserve` slots or fewer are free, new connections make others close. `next_turn(call)` has a
    call made in the loop's next turn.
    """

    def __init__(
        self,
        decoder: StreamDecoder,
        slots: SlotTable[AcceptedConnection],
        reserve: int,
        timers: DeadlineSetter,
        counters: Counters,
        clock: Callable[[], int],
        publish: Callable[[Event], None],
        next_turn: Callable[[Callable[[], None]], object],
    ):
        self.decoder = decoder
        self.slots = slots
        self.reserve = reserve
        self.timers = timers
        self.counters = counters
        self.clock = clock
        self.publish = publish
        self.next_turn = next_turn
        self.streams: dict[int, AcceptedConnection] = {}  # by proxy
        self.collectors: dict[int, AcceptedConnection] = {}  # by zone, the newest
        self.unidentified: dict[AcceptedConnection, None] = {}  # in the order in which they connected
        self.superseded: dict[AcceptedConnection, None] = {}  # the one longest silent first
        self.idle_streams: list[AcceptedConnection] = []  # silent between two sweeps, the likeliest dead last
        self.swept_at = 0
        self.lingering: set[AcceptedConnection] = set()  # at the stop: those that still get what was written
        self.all_closed: Callable[[], None] | None = None  # called once they have it, from the stop on
        self.handlers: dict[str, Callable[[AcceptedConnection, dict[str, str]], None]] = {
            stream_codec.SUBSCRIBE: self._subscribe,
            stream_codec.SOURCE: self._identify_collector,
            stream_codec.LOAD: self._load_report,
            stream_codec.RATE: self._demand_report,
            stream_codec.ACK: self._acknowledgement,
        }

    # --- connections ---

    def connected(self, connection: AcceptedConnection) -> None:
        """Take a new connection, or close it where there is no capacity."""
        self.counters["accepted"] += 1
        connection.connected_at = self.clock()
        if self.all_closed is not None:
            connection.close(ConnectionEnd.STOPPING)
            return
        if self.slots.size - len(self.slots) <= self.reserve:
            self._make_room(connection.connected_at)
        connection.slot = self.slots.acquire(connection)
        if connection.slot is None:
            connection.close(ConnectionEnd.NO_CAPACITY)
            return
        self.unidentified[connection] = None
        self.timers.set(ConnectionTimeout(connection), connection.connected_at + JOIN_TIMEOUT_US)

    def _make_room(self, now: int) -> None:
        """Close a superseded connection, else the oldest unidentified one that is not about to join.

        At the very limit it is a stream that has said nothing for IDLE_TIMEOUT_US: machines that vanish leave
        theirs open, and those would keep out whoever lives. The price: a proxy without requests says nothing
        either, and has to join again.
        """
        self._sweep_idle(now)
        is_full = len(self.slots) == self.slots.size
        oldest = next(iter(self.superseded), None) or next(iter(self.unidentified), None)
        if oldest is None and is_full:
            oldest = self._next_idle_stream()
            if oldest is not None:
                oldest.close(ConnectionEnd.NO_CAPACITY)
        elif oldest is not None:
            has_stayed = oldest.connected_at <= now - MINIMUM_STAY_US
            if oldest.is_superseded or has_stayed or is_full:
                oldest.close(ConnectionEnd.NO_CAPACITY)

    def _next_idle_stream(self) -> AcceptedConnection | None:
        while self.idle_streams:
            stream = self.idle_streams.pop()
            if stream.end is None and not stream.has_spoken:
                return stream
        return None

    def _sweep_idle(self, now: int) -> None:
        """Note every IDLE_TIMEOUT_US which streams said nothing since the last sweep."""
        if now - self.swept_at < IDLE_TIMEOUT_US:
            return
        self.swept_at = now
        streams = list(self.streams.values())
        silent = [stream for stream in streams if not stream.has_spoken]
        # those that owe an acknowledgement go first: they are the likelier to be dead
        self.idle_streams = sorted(silent, key=lambda stream: bool(stream.pending_markers))
        for stream in streams:
            stream.has_spoken = False

    def _identified(self, connection: AcceptedConnection, purpose: str) -> None:
        connection.purpose = purpose
        connection.is_superseded = False
        self._forget_timeout(connection)

    def _forget_timeout(self, connection: AcceptedConnection) -> None:
        self.unidentified.pop(connection, None)
        self.superseded.pop(connection, None)
        self.timers.cancel(ConnectionTimeout(connection))

    def _supersede(self, connection: AcceptedConnection) -> None:
        """A newer one is in its place; it stays while it speaks, for the server ends nothing without need."""
        connection.is_superseded = True
        self.counters[f"{connection.purpose}_superseded"] += 1
        self._superseded_spoke(connection)

    def _superseded_spoke(self, connection: AcceptedConnection) -> None:
        self.superseded.pop(connection, None)
        self.superseded[connection] = None
        self.timers.set(ConnectionTimeout(connection), self.clock() + IDLE_TIMEOUT_US)

    def closed(self, connection: AcceptedConnection) -> None:
        """Forget a connection that has ended, and publish the end of a proxy's stream."""
        assert connection.end is not None
        self.counters[f"{connection.purpose}_{connection.end.name.lower()}"] += 1
        self._forget_timeout(connection)
        self.slots.release(connection.slot)
        self.collectors = {zone: each for zone, each in self.collectors.items() if each is not connection}
        proxy = connection.proxy
        if connection.purpose != STREAM or proxy is None or self.streams.get(proxy) is not connection:
            return
        del self.streams[proxy]
        if outcome(STREAM, connection.end) is not None:
            # what is queued for a stream that the server ended goes on counting
            self.publish(ProxyLeft(proxy, connection.end in ENDS_BY_SERVER))

    def stop(self, all_closed: Callable[[], None]) -> None:
        """Hear nobody any more; `all_closed` is called when all have what was written to them."""
        self.all_closed = all_closed
        self.lingering = set(self.slots.items.values())
        for connection in list(self.lingering):
            connection.close(ConnectionEnd.STOPPING)
        if not self.lingering:
            all_closed()

    def abort_lingering(self) -> None:
        """Drop what was written to those that have not taken it by now."""
        for connection in list(self.lingering):
            connection.transport.abort()

    def socket_closed(self, connection: AcceptedConnection) -> None:
        """Note that a socket is closed; the connection's end was reported before."""
        if connection in self.lingering:
            self.lingering.discard(connection)
            if not self.lingering and self.all_closed is not None:
                self.all_closed()

    def checks_terms(self, proxy: int) -> bool:
        """Return whether the proxy rejects orders of an older term, as it said when it joined."""
        stream = self.streams.get(proxy)
        return stream is not None and stream.checks_terms

    def write(self, proxy: int, message: bytes, marker: int | None) -> None:
        """Write a message to a proxy's stream, if it has one."""
        stream = self.streams.get(proxy)
        if stream is not None:
            if marker is not None:
                stream.pending_markers[marker] = self.clock()
            stream.write(message)

    # --- messages ---

    def received(self, connection: AcceptedConnection, line: bytes) -> None:
        """Handle a line; a malformed message is logged, and an unreadable one ends its connection."""
        connection.has_spoken = True
        if connection.is_superseded:
            self._superseded_spoke(connection)
        kind = "unreadable"
        try:
            kind, words = stream_codec.split_line(line)
            if kind == stream_codec.PING:
                self.counters["pongs_sent"] += 1
                connection.write(stream_codec.PONG)
            else:
                self.handlers[kind](connection, stream_codec.parse_fields(words))
            self.counters[f"received_{kind.lower()}"] += 1
        except MalformedMessageError as error:
            logged = repr(line[:LOGGED_LINE_BYTES])
            log_events.MESSAGE_MALFORMED(
                purpose=connection.purpose, peer=connection.peer, line=logged, why=str(error)
            )
            if isinstance(error, UnreadableConnectionError) or connection.purpose == UNIDENTIFIED:
                self.counters["unreadable"] += 1
                connection.close(ConnectionEnd.UNREADABLE)
            else:  # a slip in one message says nothing against those around it
                self.counters[f"malformed_{kind.lower()}"] += 1

    def _subscribe(self, connection: AcceptedConnection, fields: dict[str, str]) -> None:
        joined = self.decoder.joined(fields)
        proxy = joined.proxy
        if connection.purpose == COLLECTOR or connection.proxy not in (None, proxy):
            raise UnreadableConnectionError("expected one proxy to a stream")
        former = self.streams.get(proxy)
        if connection.proxy is not None and former is not connection:
            self.counters["stale"] += 1  # this stream is superseded
            return
        if former is connection:  # the stream has not broken: what is in flight on it will be acknowledged
            self.publish(ProxyLeft(proxy, True))
        self.streams[proxy] = connection
        connection.proxy = proxy
        connection.checks_terms = stream_codec.checks_terms(fields)
        self._identified(connection, STREAM)
        if former is not None and former is not connection:
            self._supersede(former)  # its end, late as it may come, changes nothing any more
        self.publish(joined)

    def _identify_collector(self, connection: AcceptedConnection, fields: dict[str, str]) -> None:
        zone = self.decoder.zone(fields)
        if connection.proxy is not None:
            raise UnreadableConnectionError("expected a stream or a collector, not both")
        former = self.collectors.get(zone)
        self.collectors[zone] = connection
        connection.zone = zone
        self._identified(connection, COLLECTOR)
        if former is not None and former is not connection:
            self._supersede(former)

    def _load_report(self, connection: AcceptedConnection, fields: dict[str, str]) -> None:
        if connection.purpose != COLLECTOR:
            raise MalformedMessageError("expected SOURCE before reports")
        report = self.decoder.load_report(fields)
        if self.decoder.zone(fields) != connection.zone:
            raise MalformedMessageError("expected the zone of its collector")
        if report is None:
            self.counters["reports_of_unknown"] += 1
            return
        self.publish(report)

    def _demand_report(self, connection: AcceptedConnection, fields: dict[str, str]) -> None:
        report = self.decoder.demand_report(fields)
        if not self._is_stale(connection, report.proxy):
            self.publish(report)

    def _acknowledgement(self, connection: AcceptedConnection, fields: dict[str, str]) -> None:
        acknowledged = self.decoder.acknowledged(fields)
        if connection.purpose == COLLECTOR:
            raise MalformedMessageError("expected marks on the stream of their proxy")
        if self._is_stale(connection, acknowledged.proxy):
            return
        written_at = connection.pending_markers.get(acknowledged.marker)
        if written_at is None:
            self.counters["acks_unexpected"] += 1
            return
        if acknowledged.elapsed > self.clock() - written_at + CLOCK_TOLERANCE_US:
            raise MalformedMessageError("expected took_ms up to the time since the mark was written")
        del connection.pending_markers[acknowledged.marker]
        self.publish(acknowledged)

    def _is_stale(self, connection: AcceptedConnection, proxy: int) -> bool:
        """Return whether the stream is not the proxy's (any more); then it says nothing of the proxy."""
        if connection.purpose == COLLECTOR or self.streams.get(proxy) is connection:
            return False
        if connection.proxy is None:
            raise MalformedMessageError("expected SUBSCRIBE or SOURCE first")
        self.counters["stale"] += 1
        return True
