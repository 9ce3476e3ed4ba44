"""The control-plane server: construction of its components, start, reload and stop."""

import asyncio
import random
from collections.abc import Callable, Hashable
from typing import Any

from ravenshelf import log_events
from ravenshelf.net import datagrams, stream_codec
from ravenshelf.net.accepted import AcceptedConnection
from ravenshelf.net.connection_end import ConnectionEnd
from ravenshelf.net.endpoint_codec import EndpointListDecoder
from ravenshelf.policy import events
from ravenshelf.process.acceptor import ConnectionAcceptor
from ravenshelf.process.command_execution import CommandExecutor
from ravenshelf.process.control_cycle import ControlCycle
from ravenshelf.process.cycle_scheduling import CycleScheduler
from ravenshelf.process.deadline_keys import CallTimeout, ConnectionTimeout, ControllerTimer, ServerDeadline
from ravenshelf.process.health_checks import HealthChecks
from ravenshelf.process.optional_features import AdmissionGate, EventObserver, OptionalFeatures
from ravenshelf.process.outgoing_calls import OutgoingCalls
from ravenshelf.process.registry_client import RegistryClient
from ravenshelf.process.reloading import Reloader
from ravenshelf.process.timers import Timers
from ravenshelf.settings import Settings, decode_settings
from ravenshelf.state.buffers import BufferPool
from ravenshelf.state.counters import Counters
from ravenshelf.state.endpoint_registry import EndpointRegistry
from ravenshelf.state.proxy_tables import ProxyTables
from ravenshelf.state.slots import SlotTable

DEFAULT_SOCKETS = 1024
DEFAULT_MEMORY_MB = 192
BYTES_PER_MEGABYTE = 1_000_000
# Incomplete lines of all connections may take this share of the memory limit.
INCOMPLETE_LINES_SHARE = 1 / 8
RESERVED_DESCRIPTORS = 24  # File descriptors reserved for the process itself, which was seen to use 12.
CALL_LIMIT = 64  # Maximum number of open calls to the endpoint registry and to endpoints.
SOCKETS_PER_CALL = 16  # One in this many sockets may be used for outgoing calls.
COLLECTOR_RESERVE = 16  # Number of slots that unidentified connections leave free for collectors.
DEFAULT_TICK_US = 1000
BACKLOG = 1024  # Maximum number of connections that the kernel queues until they are accepted.
# At a stop, connections have this many seconds to deliver what was written to them. SIGKILL follows SIGTERM
# after 0.7 s, and the rest of the log has to be written before that too.
LINGER_TIMEOUT_S = 0.25


class ControlPlaneServer:
    """A server that follows the endpoint registry and writes proxies their tables.

    Events come in through `publish`, where an admission gate may reject them, or through `deliver`, which
    bypasses the gate. The optional features set `admission_gate`, add themselves to `observers`, and set
    `failure` before they stop the server for a reason that must make the process exit with an error.

    Args:
        configuration: A configuration that `configuration.check` has accepted.
        loop: The event loop that the server runs in.
        clock: Function that returns the time in microseconds.
    """

    def __init__(
        self, configuration: dict[str, Any], loop: asyncio.AbstractEventLoop, clock: Callable[[], int]
    ):
        settings = decode_settings(configuration["settings"])
        self.configuration = configuration
        self.loop = loop
        self.clock = clock
        self.counters = Counters()
        self.buffers = BufferPool()
        self.timers = Timers(loop, clock, self.counters, self.handle_deadline, self._is_feature_deadline)
        self._make_state(settings)
        self._make_network(settings)
        self._make_control_cycle(settings)
        self.reloader = Reloader(
            lambda: self.configuration, self._apply_configuration, self.timers, clock, self.counters
        )
        self.peers: datagrams.PeerDatagrams | None = None
        self.may_message_peers = settings.limits.peer_messages_allowed
        self.listener: asyncio.Server | None = None
        # Interval between log lines with the counters, in microseconds; 0 for none.
        self.counters_every_us = 0
        self.optional_features: OptionalFeatures | None = None
        self.observers: list[EventObserver] = []
        self.admission_gate: AdmissionGate | None = None
        self.failure: str | None = None
        self.is_stopping = False
        self.stopped = loop.create_future()

    def _make_state(self, settings: Settings) -> None:
        self.proxy_tables = ProxyTables(len(settings.traffic_groups), (settings.server_count or 1) == 1)
        self.registry = EndpointRegistry(
            self.clock,
            self.proxy_tables.has_endpoint,
            self.proxy_tables.forget_ejections,
            self.proxy_tables.assume_ejected,
        )
        self.endpoint_decoder = EndpointListDecoder(
            settings, self.registry.index_of, self.registry.index_by_name.get
        )

    def _make_network(self, settings: Settings) -> None:
        limits = self.configuration.get("limits", {})
        sockets = limits.get("sockets", DEFAULT_SOCKETS)
        memory_mb = limits.get("memory_mb", DEFAULT_MEMORY_MB)
        call_limit = min(CALL_LIMIT, sockets // SOCKETS_PER_CALL)
        connection_limit = sockets - RESERVED_DESCRIPTORS - call_limit
        self.outgoing_calls = OutgoingCalls(
            self.loop,
            self.clock,
            self.timers,
            self.buffers,
            call_limit,
            lambda: self.configuration["discovery"],
        )
        self.connections: SlotTable[AcceptedConnection] = SlotTable(connection_limit)
        # Slots that unidentified connections must leave free: two for each proxy, because a new stream may
        # arrive before the old one has ended, and some for collectors.
        reserve = min(connection_limit // 2, 2 * settings.service.proxy_count + COLLECTOR_RESERVE)
        self.acceptor = ConnectionAcceptor(
            stream_codec.StreamDecoder(settings, self.registry.index_by_name.get),
            self.connections,
            reserve,
            self.timers,
            self.counters,
            self.clock,
            self.publish,
            self.loop.call_soon,
            round(memory_mb * BYTES_PER_MEGABYTE * INCOMPLETE_LINES_SHARE),
        )

    def _make_control_cycle(self, settings: Settings) -> None:
        seed = int(str(self.configuration.get("seed", "0")), 16)
        self.control_cycle = ControlCycle(settings, seed, self.registry, self.proxy_tables, self.counters)
        self.registry_client = RegistryClient(
            self.registry,
            self.endpoint_decoder,
            self.counters,
            self.outgoing_calls,
            self.publish,
            self._schedule_watch,
            self._schedule_redial,
            settings.discovery == "pushed",
            settings.warm_up.removal_is_not_binding,
            # A source of its own, so that calls to the registry do not change the controller's decisions.
            random.Random(f"registry client {seed}"),
        )
        self.health_checks = HealthChecks(
            settings, self.registry, self.counters, self.outgoing_calls, self.publish, self.clock
        )
        self.command_executor = CommandExecutor(
            self.timers, self.registry_client, self.health_checks, self._send_to_peer, self.counters
        )
        self.cycle_scheduler = CycleScheduler(
            self.control_cycle,
            self.timers,
            self.clock,
            self.counters,
            settings.tick_us or DEFAULT_TICK_US,
            self.acceptor.write,
            self.command_executor.execute,
        )

    # Events

    def publish(self, event: events.Event) -> None:
        """Deliver an event, unless the admission gate finds that it is not for this server's controller."""
        if self.admission_gate is None or self.admission_gate.passes(event):
            self.deliver(event)

    def deliver(self, event: events.Event) -> None:
        """Pass an event to all observers, and to the controller in the next control cycle."""
        self.control_cycle.deliver(event)
        for observer in self.observers:
            observer.on_event(event, self.clock())
        self.cycle_scheduler.request()

    def _receive_from_peer(self, peer: int | None, payload: bytes) -> None:
        if peer is None:
            self.counters["datagrams_of_unknown_peers"] += 1
        else:
            self.counters["datagrams_received"] += 1
            self.publish(events.PeerMessageReceived(peer, payload))

    def _send_to_peer(self, peer: int | None, payload: bytes) -> bool:
        return self.may_message_peers and self.peers is not None and self.peers.send(peer, payload)

    # Deadlines

    def _is_feature_deadline(self, key: Hashable) -> bool:
        """Return whether an optional feature handles the deadline; it then runs after the server's own."""
        return (
            self.optional_features is not None
            and isinstance(key, tuple)
            and key[0] in self.optional_features.TIMERS
        )

    def handle_deadline(self, key: Hashable, now: int) -> None:
        """Handle a deadline that has expired, by the kind of its key."""
        match key:
            case ServerDeadline.CONTROL_CYCLE:
                self.cycle_scheduler.run_cycle()
            case ControllerTimer(_, name):
                self.publish(events.TimerExpired(name))
            case ConnectionTimeout(connection):
                connection.close(ConnectionEnd.SILENT)
            case CallTimeout(call):
                call.close(ConnectionEnd.SILENT)
            case ServerDeadline.WATCH:
                self.registry_client.open_watch_if_due()
            case ServerDeadline.REDIAL:
                self.registry_client.redial()
            case ServerDeadline.RELOAD:
                self.reloader.retry()
            case ServerDeadline.COUNTERS:
                self.timers.deadlines.set(ServerDeadline.COUNTERS, now + self.counters_every_us)
                self.report_counters()
            case tuple() if self.optional_features is not None:
                self.optional_features.run_due(key, now)

    def _schedule_watch(self, wait_us: int) -> None:
        # A deadline that is already set is not postponed.
        if ServerDeadline.WATCH not in self.timers.deadlines:
            self.timers.set(ServerDeadline.WATCH, self.clock() + wait_us)

    def _schedule_redial(self, wait_us: int | None) -> None:
        if wait_us is None:
            self.timers.cancel(ServerDeadline.REDIAL)
        else:
            self.timers.set(ServerDeadline.REDIAL, self.clock() + wait_us)

    # Start, reload and stop

    async def start(self) -> None:
        """Restore the endpoint list, run the first control cycle, and only then accept connections.

        Raises:
            OSError: An address can't be listened at.
        """
        self._restore_endpoints()
        self.cycle_scheduler.start()
        if self.registry_client.is_pushed:
            self.registry_client.open_watch()
        if self.configuration.get("peer_listen"):
            await self._open_peer_socket()
            # `stop` was called while the socket was being opened, so nothing more may be started.
            if self.is_stopping:
                return
        host, port = datagrams.parse_address(self.configuration["listen"])
        self.listener = await self.loop.create_server(
            lambda: AcceptedConnection(self.buffers, self.acceptor), host, port, backlog=BACKLOG
        )
        if self.counters_every_us:
            self.timers.deadlines.set(ServerDeadline.COUNTERS, self.clock() + self.counters_every_us)
        self.timers.arm()

    def _restore_endpoints(self) -> None:
        restored_list = self.configuration.get("known")
        if restored_list is None:
            return
        entries, addresses, malformed_entries = self.endpoint_decoder.decode_entries(restored_list["targets"])
        listed_entries = [entry for entry in entries if entry.state is not events.EndpointState.GONE]
        self.registry.update(events.ListKind.REPLACE, restored_list["rev"], listed_entries, addresses)
        for _, reason in malformed_entries:
            log_events.RESTORED_ENTRY_MALFORMED(why=reason)

    async def _open_peer_socket(self) -> None:
        peers = self.configuration.get("peers") or []
        all_peers_address = self.configuration.get("peers_all")
        _, self.peers = await self.loop.create_datagram_endpoint(
            lambda: datagrams.PeerDatagrams(peers, all_peers_address, self._receive_from_peer),
            local_addr=datagrams.parse_address(self.configuration["peer_listen"]),
        )

    def reload(self) -> None:
        """Read the configuration files again; see `Reloader`."""
        self.reloader.reload()

    def _apply_configuration(self, new_configuration: dict[str, Any]) -> None:
        has_new_address = new_configuration["discovery"] != self.configuration["discovery"]
        self.configuration = new_configuration
        if has_new_address:
            self.registry_client.address_changed()

    def stop(self) -> None:
        """Stop the server: run a last control cycle on the events received, then close all connections.

        From the call on, the server accepts and opens no connections, reloads nothing and handles no
        deadlines. `stopped` is set once all streams have received what was written to them, but
        LINGER_TIMEOUT_S later at the latest, so that a peer that reads nothing can't delay the end.
        """
        if self.is_stopping:
            return
        self.is_stopping = True
        self.reloader.is_stopped = True
        self.cycle_scheduler.is_stopping = True
        self.loop.call_later(LINGER_TIMEOUT_S, self._finish_stop)
        self.timers.stop()
        if self.listener is not None:
            self.listener.close()
        try:
            self.outgoing_calls.close_all(ConnectionEnd.STOPPING)
            if self.cycle_scheduler.is_started and self.control_cycle.events:
                # An endpoint's drain that was received is passed on to the proxies, even if no cycle is due.
                self.cycle_scheduler.run_cycle()
            if self.optional_features is not None:
                self.optional_features.close()
            if self.peers is not None and self.peers.transport is not None:
                self.peers.transport.close()
        finally:  # Even if the last cycle fails, the streams deliver what was written to them.
            self.acceptor.stop(self._finish_stop)

    def _finish_stop(self) -> None:
        if not self.stopped.done():
            self.acceptor.abort_lingering()
            self.stopped.set_result(None)

    # Reports

    def report_loop_failure(self, _loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Log and count an exception in a callback of the event loop; the server goes on."""
        self.counters["calls_failed"] += 1
        log_events.CALLBACK_FAILED.with_traceback(context.get("exception"), text=str(context.get("message")))

    def report_counters(self) -> None:
        """Log the numbers of connections, calls, endpoints and deadlines in use, and all counters."""
        usage = {
            "connections": len(self.connections),
            "proxies": len(self.acceptor.streams),
            "calls": len(self.outgoing_calls.slots),
            "endpoints": len(self.registry.entries),
            "deadlines": len(self.timers.deadlines),
        }
        now = " ".join(f"{name}={value}" for name, value in usage.items())
        log_events.COUNTERS_REPORTED(now=now, since_start=self.counters.text())
