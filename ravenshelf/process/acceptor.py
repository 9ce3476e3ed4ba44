"""The connection acceptor: the server's side of proxy streams and collector connections."""

from collections.abc import Callable, Hashable
from itertools import count
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
    end_event_type,
)
from ravenshelf.net.receive_budget import ReceiveBudget
from ravenshelf.net.stream_codec import MalformedMessageError, StreamDecoder, UnreadableConnectionError
from ravenshelf.policy.events import Event, ProxyJoined, ProxyLeft
from ravenshelf.process.deadline_keys import ConnectionTimeout
from ravenshelf.process.idle_streams import IdleStreams
from ravenshelf.process.proxy_streams import ProxyStreams
from ravenshelf.state.counters import Counters
from ravenshelf.state.slots import SlotTable

# A connection that has not identified itself this long after connecting is closed.
JOIN_TIMEOUT_US = 1_500_000
# An unidentified connection younger than this is not closed to free a slot, unless all slots are in use.
MINIMUM_LIFETIME_US = 1_000_000
# A superseded connection that sends nothing for this long is closed.
IDLE_TIMEOUT_US = 30_000_000
# An acknowledgement can't take longer than the time since its marker was written; if its took_ms exceeds that
# by more than this, the message is malformed.
CLOCK_TOLERANCE_US = 1_000_000
LOGGED_LINE_BYTES = 120
# Incomplete lines of all connections may take this much memory, unless the caller states another limit.
DEFAULT_INCOMPLETE_LINE_BYTES = 24_000_000


class DeadlineSetter(Protocol):
    """The part of the interface of `Timers` that the acceptor uses."""

    def set(self, key: Hashable, at: int) -> None:
        """Set the key's deadline to `at`, in microseconds, in place of an earlier setting."""

    def cancel(self, key: Hashable) -> None:
        """Cancel the key's deadline, if it has one."""


class ConnectionAcceptor:
    """Owner of all accepted connections, which publishes their messages as events.

    Args:
        decoder: Decoder of the messages of proxies and collectors.
        slots: Slots of the accepted connections; each connection holds one until it ends.
        reserved_slots: While this many slots or fewer are free, each new connection causes an older one to be
            closed, if one may be closed.
        timers: Deadlines of unidentified and superseded connections.
        counters: Counters of connections, messages and faults.
        clock: Function that returns the time in microseconds.
        publish: Function that is called with each event.
        call_soon: Function that schedules a callback for the event loop's next iteration.
        incomplete_line_bytes: Number of bytes that the incomplete lines of all connections may take together.
    """

    def __init__(
        self,
        decoder: StreamDecoder,
        slots: SlotTable[AcceptedConnection],
        reserved_slots: int,
        timers: DeadlineSetter,
        counters: Counters,
        clock: Callable[[], int],
        publish: Callable[[Event], None],
        call_soon: Callable[[Callable[[], None]], object],
        incomplete_line_bytes: int = DEFAULT_INCOMPLETE_LINE_BYTES,
    ):
        self.decoder = decoder
        self.slots = slots
        self.reserved_slots = reserved_slots
        self.timers = timers
        self.counters = counters
        self.clock = clock
        self.publish = publish
        self.call_soon = call_soon
        self.receive_budget = ReceiveBudget(incomplete_line_bytes)
        self._connection_numbers = count(1)
        self.proxy_streams = ProxyStreams()
        # The current stream of each proxy, by the proxy's index.
        self.streams = self.proxy_streams.current
        # The newest collector connection of each zone, by the zone's index.
        self.collectors: dict[int, AcceptedConnection] = {}
        # Connections that have not identified themselves, oldest first.
        self.unidentified_connections: dict[AcceptedConnection, None] = {}
        # Connections replaced by a newer one, ordered by the time of their last message.
        self.superseded_connections: dict[AcceptedConnection, None] = {}
        self.idle_streams = IdleStreams()
        # Connections whose sockets are still open after `stop`, so that written data can be delivered.
        self.lingering_connections: set[AcceptedConnection] = set()
        # Callback that `stop` sets; called when the last lingering socket has closed.
        self.on_all_closed: Callable[[], None] | None = None
        self.handlers: dict[str, Callable[[AcceptedConnection, dict[str, str]], None]] = {
            stream_codec.SUBSCRIBE: self._subscribe,
            stream_codec.SOURCE: self._identify_collector,
            stream_codec.LOAD: self._handle_load_report,
            stream_codec.RATE: self._handle_demand_report,
            stream_codec.ACK: self._handle_acknowledgement,
        }

    # Connections

    def on_connection_opened(self, connection: AcceptedConnection) -> None:
        """Accept a new connection, or close it if no slot can be freed for it or the server is stopping."""
        self.counters["accepted"] += 1
        connection.connected_at = self.clock()
        connection.number = next(self._connection_numbers)
        if self.on_all_closed is not None:
            connection.close(ConnectionEnd.STOPPING)
            return
        if self.slots.size - len(self.slots) <= self.reserved_slots:
            self._free_slot(connection.connected_at)
        connection.slot = self.slots.acquire(connection)
        if connection.slot is None:
            connection.close(ConnectionEnd.NO_CAPACITY)
            return
        self.unidentified_connections[connection] = None
        self.timers.set(ConnectionTimeout(connection), connection.connected_at + JOIN_TIMEOUT_US)

    def _free_slot(self, now: int) -> None:
        """Close one connection so that its slot becomes free, if one may be closed.

        The first choice is the superseded connection that has been silent longest, the second is the oldest
        unidentified connection, if it is older than MINIMUM_LIFETIME_US or all slots are in use. If there is
        neither and all slots are in use, a stream that is idle is closed: machines that crash leave their
        streams open, and these would otherwise keep live proxies out. A healthy proxy without requests is
        silent as well and then has to join again.
        """
        self.idle_streams.sweep(now, self.streams.values())
        is_full = len(self.slots) == self.slots.size
        candidate = next(iter(self.superseded_connections), None) or next(
            iter(self.unidentified_connections), None
        )
        if candidate is None and is_full:
            candidate = self.idle_streams.pop()
            if candidate is not None:
                candidate.close(ConnectionEnd.NO_CAPACITY)
        elif candidate is not None:
            has_minimum_lifetime = candidate.connected_at <= now - MINIMUM_LIFETIME_US
            if candidate.is_superseded or has_minimum_lifetime or is_full:
                candidate.close(ConnectionEnd.NO_CAPACITY)

    def _set_purpose(self, connection: AcceptedConnection, purpose: str) -> None:
        connection.purpose = purpose
        connection.is_superseded = False
        self._remove_timeout(connection)

    def _remove_timeout(self, connection: AcceptedConnection) -> None:
        self.unidentified_connections.pop(connection, None)
        self.superseded_connections.pop(connection, None)
        self.timers.cancel(ConnectionTimeout(connection))

    def _supersede(self, connection: AcceptedConnection) -> None:
        """Mark a connection as replaced by a newer one of the same proxy or zone.

        It stays open while it sends messages, because the server closes no connection without need.
        """
        connection.is_superseded = True
        self.counters[f"{connection.purpose}_superseded"] += 1
        self._restart_idle_timeout(connection)

    def _restart_idle_timeout(self, connection: AcceptedConnection) -> None:
        self.superseded_connections.pop(connection, None)
        self.superseded_connections[connection] = None
        self.timers.set(ConnectionTimeout(connection), self.clock() + IDLE_TIMEOUT_US)

    def on_connection_ended(self, connection: AcceptedConnection) -> None:
        """Remove a connection that has ended, and publish ProxyLeft if it was a proxy's current stream.

        If the proxy has another stream that is open, the newest of these becomes current.
        """
        assert connection.end is not None
        self.counters[f"{connection.purpose}_{connection.end.name.lower()}"] += 1
        self._remove_timeout(connection)
        self.slots.release(connection.slot)
        self.collectors = {
            zone: collector for zone, collector in self.collectors.items() if collector is not connection
        }
        proxy = connection.proxy
        if connection.purpose != STREAM or proxy is None:
            return
        was_current = self.streams.get(proxy) is connection
        newest_stream = self.proxy_streams.remove(proxy, connection)
        if not was_current or end_event_type(STREAM, connection.end) is None:
            return
        # If the server ended the stream, the lines queued for it still count as queued.
        self.publish(ProxyLeft(proxy, connection.end in ENDS_BY_SERVER))
        if newest_stream is not None:
            self._resume(newest_stream)

    def stop(self, on_all_closed: Callable[[], None]) -> None:
        """Close all connections, delivering what was written to them, and accept no more.

        Args:
            on_all_closed: Called once all sockets are closed; at once if there is no connection.
        """
        self.on_all_closed = on_all_closed
        self.lingering_connections = set(self.slots.items.values())
        for connection in list(self.lingering_connections):
            connection.close(ConnectionEnd.STOPPING)
        if not self.lingering_connections:
            on_all_closed()

    def abort_lingering(self) -> None:
        """Abort the connections that are still open after `stop`, dropping data not yet delivered."""
        for connection in list(self.lingering_connections):
            connection.transport.abort()

    def on_socket_closed(self, connection: AcceptedConnection) -> None:
        """Handle the closing of a socket; `on_connection_ended` was called for the connection before."""
        if connection in self.lingering_connections:
            self.lingering_connections.discard(connection)
            if not self.lingering_connections and self.on_all_closed is not None:
                self.on_all_closed()

    def has_term_check(self, proxy: int) -> bool:
        """Return whether the proxy announced, when it joined, that it rejects commands of an older term."""
        stream = self.streams.get(proxy)
        return stream is not None and stream.has_term_check

    def write(self, proxy: int, message: bytes, marker: int | None) -> None:
        """Write a message to a proxy's stream, if it has one.

        Args:
            proxy: Index of the proxy.
            message: The encoded message.
            marker: Marker that the message asks the proxy to acknowledge, or None.
        """
        stream = self.streams.get(proxy)
        if stream is not None:
            now = self.clock()
            if marker is not None:
                stream.pending_markers[marker] = now
            stream.message_times.append(now)
            stream.write(message)

    # Messages

    def on_line(self, connection: AcceptedConnection, line: bytes) -> None:
        """Handle a line of a connection.

        A malformed message is logged, counted and skipped. If the line is unreadable, or the connection has
        not identified itself yet, the connection is closed.
        """
        connection.has_sent_message = True
        if connection.is_superseded:
            self._restart_idle_timeout(connection)
        kind = "unreadable"
        try:
            kind, words = stream_codec.split_line(line)
            if kind == stream_codec.PING:
                self.counters["pongs_sent"] += 1
                connection.write(stream_codec.PONG)
            else:
                self.handlers[kind](connection, stream_codec.parse_fields(words))
            if not connection.is_only_stream:
                connection.last_message_at = self.clock()
            self.counters[f"received_{kind.lower()}"] += 1
        except MalformedMessageError as error:
            logged_line = repr(line[:LOGGED_LINE_BYTES])
            log_events.MESSAGE_MALFORMED(
                purpose=connection.purpose, peer=connection.peer, line=logged_line, why=str(error)
            )
            if isinstance(error, UnreadableConnectionError) or connection.purpose == UNIDENTIFIED:
                self.counters["unreadable"] += 1
                connection.close(ConnectionEnd.UNREADABLE)
            else:  # one malformed message does not make the messages before and after it invalid
                self.counters[f"malformed_{kind.lower()}"] += 1

    def _subscribe(self, connection: AcceptedConnection, fields: dict[str, str]) -> None:
        join_event = self.decoder.decode_join(fields)
        proxy = join_event.proxy
        if connection.purpose == COLLECTOR or connection.proxy not in (None, proxy):
            raise UnreadableConnectionError(
                "expected SUBSCRIBE on a stream of the same proxy, found it on another connection"
            )
        previous_stream = self.streams.get(proxy)
        is_first_join = connection.proxy is None
        is_replaced = not is_first_join and previous_stream is not connection
        if is_replaced and not self.proxy_streams.is_current_silent(proxy, self.clock()):
            self.counters["stale"] += 1
            return
        connection.proxy = proxy
        connection.join_event = join_event
        connection.has_term_check = stream_codec.has_term_check(fields)
        is_newest = self.proxy_streams.add(proxy, connection, self.clock())
        if is_first_join:
            self._set_purpose(connection, STREAM)
        if is_first_join and not is_newest and previous_stream is not None:
            # The connection broke before what the proxy sent on it arrived: it has connected again since.
            self.counters["joins_of_older_connections"] += 1
            self._supersede(connection)
            return
        if previous_stream is connection:
            # The stream is intact, so the proxy will still acknowledge the markers in flight on it.
            self.publish(ProxyLeft(proxy, True))
        self._make_current(connection, join_event)

    def _make_current(self, stream: AcceptedConnection, join_event: ProxyJoined) -> None:
        """Serve a proxy on a stream; no event is published when the stream that it replaces ends."""
        previous_stream = self.streams.get(join_event.proxy)
        self.streams[join_event.proxy] = stream
        stream.is_superseded = False
        self._remove_timeout(stream)
        if previous_stream is not None and previous_stream is not stream:
            self._supersede(previous_stream)
        self.publish(join_event)

    def _resume(self, stream: AcceptedConnection) -> None:
        """Serve a proxy on a stream that joined before, and had been replaced or was not the newest one.

        The proxy may have tables, and it has got the messages that were written to the stream before.
        """
        assert stream.join_event is not None
        self.counters["streams_resumed"] += 1
        join_event = stream.join_event._replace(is_fresh=False, earlier_messages=tuple(stream.message_times))
        self._make_current(stream, join_event)

    def _identify_collector(self, connection: AcceptedConnection, fields: dict[str, str]) -> None:
        zone = self.decoder.decode_zone(fields)
        if connection.proxy is not None:
            raise UnreadableConnectionError("expected SOURCE on a collector, found it on a proxy's stream")
        previous_collector = self.collectors.get(zone)
        self.collectors[zone] = connection
        connection.zone = zone
        self._set_purpose(connection, COLLECTOR)
        if previous_collector is not None and previous_collector is not connection:
            self._supersede(previous_collector)

    def _handle_load_report(self, connection: AcceptedConnection, fields: dict[str, str]) -> None:
        if connection.purpose != COLLECTOR:
            raise MalformedMessageError("expected SOURCE before LOAD on the connection, found no SOURCE")
        report = self.decoder.decode_load_report(fields)
        if self.decoder.decode_zone(fields) != connection.zone:
            raise MalformedMessageError("expected the zone of the collector's SOURCE, found another zone")
        if report is None:
            self.counters["reports_of_unknown"] += 1
            return
        self.publish(report)

    def _handle_demand_report(self, connection: AcceptedConnection, fields: dict[str, str]) -> None:
        report = self.decoder.decode_demand_report(fields)
        if not self._is_stale(connection, report.proxy):
            self.publish(report)

    def _handle_acknowledgement(self, connection: AcceptedConnection, fields: dict[str, str]) -> None:
        acknowledged = self.decoder.decode_acknowledgement(fields)
        if connection.purpose == COLLECTOR:
            raise MalformedMessageError("expected ACK on the proxy's stream, found it on a collector")
        if self._is_stale(connection, acknowledged.proxy):
            return
        written_at = connection.pending_markers.get(acknowledged.marker)
        if written_at is None:
            self.counters["acks_unexpected"] += 1
            return
        if acknowledged.elapsed > self.clock() - written_at + CLOCK_TOLERANCE_US:
            raise MalformedMessageError(
                "took_ms: expected at most the time since the marker was written, found more"
            )
        del connection.pending_markers[acknowledged.marker]
        self.publish(acknowledged)

    def _is_stale(self, connection: AcceptedConnection, proxy: int) -> bool:
        """Return whether the connection is a stream that is not the proxy's current one.

        Reports from such a stream are counted and otherwise ignored. But if the current one has been silent
        for long, the proxy lives on the stream that reports, which becomes current. A collector's reports are
        never stale.

        Raises:
            MalformedMessageError: The connection has not identified itself.
        """
        if connection.purpose == COLLECTOR or self.streams.get(proxy) is connection:
            return False
        if connection.proxy is None:
            raise MalformedMessageError("expected SUBSCRIBE or SOURCE as the first message")
        if connection.proxy == proxy and self.proxy_streams.is_current_silent(proxy, self.clock()):
            self._resume(connection)
            return False
        self.counters["stale"] += 1
        return True
