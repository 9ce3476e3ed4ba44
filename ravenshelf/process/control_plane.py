"""One pilot: what comes in over the network, the rounds, what goes out, and the end."""

import asyncio
import random
import signal
import time
from collections.abc import Callable

from ravenshelf import log_events
from ravenshelf.net import datagrams, stream_codec
from ravenshelf.net.accepted import AcceptedConnection
from ravenshelf.net.connection_end import ConnectionEnd
from ravenshelf.net.endpoint_codec import EndpointListDecoder
from ravenshelf.net.http import HttpCall
from ravenshelf.policy import commands, events
from ravenshelf.process.acceptor import ConnectionAcceptor
from ravenshelf.process.configuration import ConfigurationError, renewed
from ravenshelf.process.control_cycle import ControlCycle
from ravenshelf.process.discovery import RegistryClient
from ravenshelf.process.health_checks import HealthChecks
from ravenshelf.settings import decode_settings
from ravenshelf.state.buffers import BufferPool
from ravenshelf.state.counters import Counters
from ravenshelf.state.deadlines import DeadlineQueue
from ravenshelf.state.endpoint_registry import EndpointRegistry
from ravenshelf.state.proxy_tables import ProxyTables
from ravenshelf.state.slots import SlotTable

OWN = 24  # descriptors that the process itself needs: 12 were counted
CALLS = 64  # calls at discovery and endpoints that may be open at a time
BACKLOG = 1024
AFTER_FAILURE = 250_000
STOOD_STILL, READ_FIRST = 500_000, 0.02  # a timer so late means that the process stood still; seconds to read
READ_AGAIN, READS = 500_000, 10  # a configuration that can't be used may be half written still
LINGER_TIMEOUT = 0.25  # seconds for all to take what was written; SIGKILL comes 0.7 s after SIGTERM, the log's end is to write


class ControlPlaneServer:
    def __init__(self, configuration: dict, loop: asyncio.AbstractEventLoop, clock: Callable[[], int]):
        self.configuration, self.loop, self.clock = configuration, loop, clock
        settings = decode_settings(configuration["settings"])
        sockets = configuration.get("limits", {}).get("sockets", 1024)
        pilots = settings.server_count or 1
        proxies = settings.service.proxy_count
        self.tick = settings.tick_us or 1000
        self.counters, self.deadlines, self.buffers = Counters(), DeadlineQueue(), BufferPool()
        calls = min(CALLS, sockets // 16)
        accepted = sockets - OWN - calls
        self.slots, self.calls = SlotTable(accepted), SlotTable(calls)
        self.sent = ProxyTables(len(settings.traffic_groups), pilots == 1)
        self.listing = EndpointRegistry(
            clock, self.sent.has_endpoint, self.sent.index_reassigned, self.sent.endpoint_returned
        )
        self.catalog = EndpointListDecoder(settings, self.listing.index_of, self.listing.index_by_name.get)
        self.rounds = ControlCycle(
            settings, int(str(configuration.get("seed", "0")), 16), self.listing, self.sent, self.counters
        )
        self.discovery = RegistryClient(
            self.listing,
            self.catalog,
            self.counters,
            self.open_call,
            self.news,
            settings.discovery == "pushed",
            self.rounds.controller.random_source,
        )
        self.discovery.extend, self.discovery.schedule = self.extend, self._schedule_watch
        self.probes = HealthChecks(
            settings, self.listing, self.counters, self.open_call, self.news, self.clock
        )
        reader = stream_codec.StreamDecoder(settings, self.listing.index_by_name.get)
        # strangers leave room for every proxy's stream, its successor, and the collectors
        reserve = min(accepted // 2, 2 * proxies + 16)
        self.door = ConnectionAcceptor(
            reader,
            self.slots,
            reserve,
            self.deadlines,
            self.counters,
            self.set_deadline,
            clock,
            self.news,
            loop.call_soon,
        )
        self.peers: datagrams.Datagrams | None = None
        self.may_tell = settings.limits.peer_messages_allowed
        self.server: asyncio.Server | None = None
        self.timer: asyncio.Handle | None = None
        self.timer_at: int | None = None
        self.counters_every = 0
        self.again: Callable[[], dict] = lambda: self.configuration
        self.reads = 0  # left for a configuration that could not be used
        self.operations = None  # what an operator file turns on
        self.operator_again: Callable | None = None
        self.ended_by: str | None = None  # what it can't go on without
        self.log = None  # the log's sink, whose form a new operator file may change
        self.tap = None  # hears all that the module hears, where figures are sent
        self.sums = None  # hears it too, where a service's owner decides its tables
        self.gate = None  # keeps from it what is other controllers', where several share the fleet
        self.ready, self.last_round, self.round_at = False, 0, 0
        self.stopping, self.stopped = False, loop.create_future()
        self.came = 0  # connections accepted until the last round

    # --- deadlines and rounds ---

    def set_deadline(self, key, at: int) -> None:
        self.deadlines.set(key, at)
        self.arm()

    def arm(self) -> None:
        """One timer of the loop, for the earliest deadline."""
        at = self.deadlines.earliest()
        if (
            self.stopping
            or at is None
            or (self.timer is not None and (self.timer_at is None or self.timer_at <= at))
        ):
            return
        if self.timer is not None:
            self.timer.cancel()
        self.timer_at, wait = at, at - self.clock()
        self.timer = (
            self.loop.call_later(wait / 1e6, self.turn) if wait > 0 else self.loop.call_soon(self.turn)
        )

    def turn(self) -> None:
        now = self.clock()
        if now - (self.timer_at or now) > STOOD_STILL:
            # what came in meanwhile is read first: else whoever spoke in time would be taken for silent
            self.timer_at, self.timer = None, self.loop.call_later(READ_FIRST, self.turn)
            return
        self.timer = self.timer_at = None
        beside = []
        for key in self.deadlines.take_expired(now):
            if self.operations is not None and key[0] in self.operations.TIMERS:
                beside.append(key)  # what is beside table lines comes after them
            else:
                self._try_to_meet(key, now)
        for key in beside:
            self._try_to_meet(key, now)
        self.arm()

    def _try_to_meet(self, key: tuple, now: int) -> None:
        try:
            self.meet(key, now)
        except Exception:  # one that fails must not take the others' turn, nor the next
            self.counters["deadlines_failed"] += 1
            log_events.TIMER_FAILED.with_traceback(key=str(key))

    def meet(self, key: tuple, now: int) -> None:
        if key[0] == "wake":
            self.news(events.TimerExpired(key[2]))
        elif key[0] == "silent":
            self.door.silent(key[1])
        elif key[0] == "call":
            key[1].close(ConnectionEnd.SILENT)
        elif key[0] == "watch":
            self.discovery.begin_if_due()
        elif key[0] == "reload":
            self.reload(self.reads - 1)
        elif key[0] == "round":
            self.round()
        elif key[0] == "count":
            self.deadlines.set(key, now + self.counters_every)
            self.count()
        elif self.operations is not None:
            self.operations.run_due(key, now)

    def round_due(self) -> bool:
        """Whether table lines wait for their round."""
        at = self.deadlines.time_of(("round",))
        return at is not None and at <= self.clock()

    def news(self, event: events.Event) -> None:
        if self.gate is None or self.gate.passes(event):
            self.tell(event)

    def tell(self, event: events.Event) -> None:
        self.rounds.hear(event)
        if self.tap is not None:
            self.tap.on_event(event, self.clock())
        if self.sums is not None:
            self.sums.heard(event, self.clock())
        if self.ready and ("round",) not in self.deadlines:
            self.round_at = max(self.clock(), self.last_round + self.tick)
            self.set_deadline(("round",), self.round_at)

    def round(self) -> None:
        """Hands all that came in to the module, and does what it ordered."""
        now = self.clock()
        late = now - self.round_at
        self.counters.record_maximum("loop_lag_most_us", late)
        self.last_round, began = now, time.perf_counter_ns()
        calls = self.rounds.run(now, self.door.write)
        if calls is None:  # a module that fails at every start must not take the whole core
            self.round_at = now + AFTER_FAILURE
            self.deadlines.set(("round",), self.round_at)
        took = (time.perf_counter_ns() - began) // 1000
        # as long again belongs to the sockets while connections come: the loop takes one a turn, and hundreds may come at
        # once; with a round between each two, proxies waited 6 s to join. Harm: news waits for a round's length longer
        came, self.came = self.came, self.counters["accepted"]
        if came != self.came:
            self.last_round = max(now, 2 * self.clock() - now - self.tick)
        self.counters.record_maximum("round_most_us", took)
        if self.tap is not None:
            self.tap.on_control_cycle(late, took)
        for command in calls or () if not self.stopping else ():
            self.do(command)

    def do(self, command: commands.Command) -> None:
        match command:
            case commands.StartTimer(at, key):
                self.set_deadline(("wake", at, key), at)  # met in a later turn, even where it is past
            case commands.LogMessage(text):
                log_events.DECISION_MESSAGE(text=text)
            case commands.WatchEndpoints(enabled):
                self.discovery.observe(enabled)
            case commands.FetchEndpoints():
                self.discovery.fetch()
            case commands.CheckHealth(endpoint):
                self.probes.begin(endpoint)
            case commands.SendPeerMessage(peer, payload):
                sent = self.may_tell and self.peers is not None and self.peers.send(peer, payload)
                self.counters["datagrams_sent" if sent else "datagrams_not_sent"] += 1

    # --- calls to others ---

    def open_call(
        self,
        purpose: str,
        path: str,
        done: Callable,
        piece: Callable | None,
        by: int,
        host: str | None = None,
    ) -> HttpCall:
        def ended(call: HttpCall) -> None:
            self.deadlines.cancel(("call", call))  # the call itself: its number may be another's by then
            self.calls.release(call.slot)
            done(call)

        call = HttpCall(self.buffers, host or self.configuration["discovery"], path, ended, piece)
        call.slot = self.calls.acquire(call)
        if call.slot is None:
            self.loop.call_soon(call.close, ConnectionEnd.CROWDED)
        else:
            self.set_deadline(("call", call), self.clock() + by)
            call.dial(self.loop)
        return call

    def extend(self, call: HttpCall, time: int) -> None:
        if call.slot is not None and call.end is None:
            self.deadlines.set(("call", call), self.clock() + time)

    def _schedule_watch(self, wait: int) -> None:
        if ("watch",) not in self.deadlines:  # never put off by what comes meanwhile
            self.set_deadline(("watch",), self.clock() + wait)

    def told(self, peer: int | None, data: bytes) -> None:
        if peer is None:
            self.counters["datagrams_of_strangers"] += 1
        else:
            self.counters["datagrams_taken"] += 1
            self.news(events.PeerMessageReceived(peer, data))

    # --- start and stop ---

    async def start(self) -> None:
        """The list that was known comes first; only after it is anyone accepted."""
        known = self.configuration.get("known")
        if known is not None:
            entries, addresses, broken = self.catalog.entries(known["targets"])
            self.listing.update(
                events.ListKind.REPLACE,
                known["rev"],
                [e for e in entries if e.state is not events.EndpointState.GONE],
                addresses,
            )
            for _, why in broken:
                log_events.RESTORED_ENTRY_MALFORMED(why=why)
        self.rounds.begin()
        self.ready, self.round_at = True, self.clock()
        self.round()
        if self.discovery.pushed:
            self.discovery.begin()
        if self.configuration.get("peer_listen"):
            peers, everyone = self.configuration.get("peers") or [], self.configuration.get("peers_all")
            _, self.peers = await self.loop.create_datagram_endpoint(
                lambda: datagrams.Datagrams(peers, everyone, self.told),
                local_addr=datagrams.address(self.configuration["peer_listen"]),
            )
            if self.stopping:  # meanwhile: nothing begins any more
                return
        host, port = datagrams.address(self.configuration["listen"])
        self.server = await self.loop.create_server(
            lambda: AcceptedConnection(self.buffers, self.door), host, port, backlog=BACKLOG
        )
        if self.counters_every:
            self.deadlines.set(("count",), self.clock() + self.counters_every)
        self.arm()

    def reload(self, reads: int = READS) -> None:
        """Reads the configuration again and takes it whole; one that can't be used changes nothing."""
        if self.stopping:
            return
        self.deadlines.cancel(("reload",))
        self.reads = reads
        if self.operator_again is not None and reads == READS:
            self._reload_operator()
        try:
            new, waiting = renewed(self.configuration, self.again())
        except ConfigurationError as why:
            self.counters["reloads_failed"] += 1
            log_events.CONFIGURATION_REJECTED(why=str(why))
            if reads > 1:
                self.set_deadline(("reload",), self.clock() + READ_AGAIN)
            return
        self.counters["reloads"] += 1
        moved = new["discovery"] != self.configuration["discovery"]
        self.configuration = new
        log_events.CONFIGURATION_RELOADED(
            discovery=new["discovery"],
            waiting=f"; waits for a restart: {', '.join(waiting)}" if waiting else "",
        )
        if moved:
            self.discovery.move()

    def _reload_operator(self) -> None:
        """Takes a new operator file whole; one that can't be used changes nothing."""
        from ravenshelf.operator_config.reading import OperatorConfigurationError

        try:
            operator = self.operator_again()
        except OperatorConfigurationError as why:
            self.counters["operator_refused"] += 1
            log_events.OPERATOR_CONFIGURATION_REJECTED(why=str(why))
            return
        if self.log is not None:
            self.log.form = operator.log.format
        self.operations.reload(
            operator, lambda changed: log_events.OPERATOR_CONFIGURATION_RELOADED(changed=changed)
        )

    def stop(self) -> None:
        """Takes no more, decides what was heard, writes what is ordered, and lets the process end.

        From here on nothing dials, watches, reloads or is due; who reads nothing holds it up for LINGER_TIMEOUT at most."""
        if self.stopping:
            return
        self.stopping = True
        self.loop.call_later(LINGER_TIMEOUT, self._finish_stop)
        if self.timer is not None:
            self.timer.cancel()
        if self.server is not None:
            self.server.close()
        try:
            for call in list(self.calls.items.values()):
                call.close(ConnectionEnd.STOPPING)
            if (
                self.ready and self.rounds.news
            ):  # a drain that was heard is played, though its round was not yet due
                self.round()
            if self.operations is not None:
                self.operations.close()
            if self.peers is not None:
                self.peers.transport.close()
        finally:  # whatever fails in it, the streams get what was written
            self.door.stop(self._finish_stop)

    def _finish_stop(self) -> None:
        if not self.stopped.done():
            self.door.abort_lingering()
            self.stopped.set_result(None)

    def failed(self, loop: asyncio.AbstractEventLoop, context: dict) -> None:
        """What failed in a call of the loop ends its connection, if it was one's; the pilot goes on."""
        self.counters["calls_failed"] += 1
        log_events.CALLBACK_FAILED.with_traceback(context.get("exception"), text=str(context.get("message")))

    def count(self) -> None:
        usage = {
            "connections": len(self.slots),
            "proxies": len(self.door.streams),
            "calls": len(self.calls),
            "endpoints": len(self.listing.entries),
            "deadlines": len(self.deadlines),
        }
        now = " ".join(f"{name}={value}" for name, value in usage.items())
        log_events.COUNTERS_REPORTED(now=now, since_start=self.counters.text())


async def serve(
    configuration: dict,
    again: Callable[[], dict],
    clock: Callable[[], int],
    counters_every: int,
    operator=None,
    operator_again: Callable | None = None,
    log=None,
) -> None:
    """`again` reads the configuration anew at each SIGHUP, `operator_again` the operator file, where there is one."""
    loop = asyncio.get_running_loop()
    pilot = ControlPlaneServer(configuration, loop, clock)
    pilot.counters_every, pilot.again = counters_every, again
    loop.set_exception_handler(pilot.failed)
    loop.add_signal_handler(signal.SIGTERM, pilot.stop)
    loop.add_signal_handler(signal.SIGINT, pilot.stop)
    loop.add_signal_handler(signal.SIGUSR1, pilot.count)
    loop.add_signal_handler(signal.SIGHUP, pilot.reload)
    if operator is not None:
        from ravenshelf.process.operations.composer import Operations

        pilot.operations, pilot.operator_again, pilot.log = (
            Operations(operator, pilot, random.Random()),
            operator_again,
            log,
        )
    await pilot.start()
    if pilot.operations is not None and not pilot.stopping:
        await pilot.operations.start()
    if not pilot.stopping:
        host, port = pilot.server.sockets[0].getsockname()[:2]
        log_events.SERVER_LISTENING(name=configuration.get("name"), address=f"{host}:{port}")
    await pilot.stopped
    pilot.count()
    await asyncio.sleep(0)
    if pilot.ended_by is not None:
        raise RuntimeError(pilot.ended_by)
