"""Servers, their channels and proxies in virtual time, while endpoints are replaced and streams break.

The control cycle, the tables and the decisions are the real ones. The channel and the proxies follow the
protocol. The rules are judged outside of the server, by what the proxies use and what the channel holds.
Times are in microseconds of the simulated clock.
"""

from collections import defaultdict, deque
from dataclasses import dataclass, replace
from functools import partial
from random import Random

from conftest import GROUPS, load_report

from ravenshelf.policy.events import (
    BatchAcknowledged,
    DemandReport,
    EndpointsListed,
    EndpointState,
    ListedEndpoint,
    ListKind,
    ProxyJoined,
    ProxyLeft,
)
from ravenshelf.process.control_cycle import ControlCycle
from ravenshelf.settings import ServiceSettings, Settings, WarmUpSettings
from ravenshelf.state.counters import Counters
from ravenshelf.state.endpoint_registry import EndpointRegistry
from ravenshelf.state.proxy_tables import ProxyTables
from ravenshelf.time_units import SECOND
from standins.control_channel import ChannelMessage, ControlChannel, Stream
from standins.fleet.channels import line_count
from standins.fleet.clock import START_TIME, EventQueue
from standins.fleet.proxies import SimulatedProxy

TICK = SECOND // 50
LIST_PERIOD = 3 * SECOND // 10
# The rules on sockets allow this much more than the settings.
SOCKET_ALLOWANCE = 3 * SECOND // 10
MESSAGE_WINDOW = 10 * SECOND


@dataclass(frozen=True)
class Deployment:
    """The figures of a deployment, within what its operators state; the defaults are those of a large one.

    Attributes:
        message_limit: The messages that a proxy may get within 10 s.
        mean_delivery: The mean time from leaving the channel until the arrival.
        bare_limit: The time for which a joined proxy may have no endpoint to use.
        drain_grace: The time within which a proxy has to stop using an endpoint that drains.
        reconnect_time: The range of the seconds until a proxy joins again after its stream broke.
        drained_together: The number of endpoints that a deploy drains at a time.
        removal_binds: Whether the removal of an endpoint binds if the list never said that it drains.
        drain_time: The range of the seconds from the start of a drain to the removal.
        list_delay: The range of the seconds until a change arrives; changes of one endpoint stay in order.
    """

    zones: int = 4
    endpoints: int = 35
    proxies: int = 36
    lines_per_second: float = 1200.0
    message_overhead: float = 3.0
    queue_limit: int = 1800
    message_limit: int = 30
    mean_delivery: int = 413_000
    drain_grace: int = 33 * SECOND // 10
    bare_limit: int = 54 * SECOND // 10
    request_rate: float = 12.0
    reconnect_time: tuple[float, float] = (0.24, 2.4)
    drained_together: int = 5
    removal_binds: bool = True
    drain_time: tuple[float, float] = (4.3, 5.5)
    list_delay: tuple[float, float] = (0.2, 1.5)

    @property
    def drain_limit(self) -> int:
        return self.drain_grace + SOCKET_ALLOWANCE

    def settings(self) -> Settings:
        service = ServiceSettings(
            lines_per_second=self.lines_per_second,
            message_overhead_lines=self.message_overhead,
            queue_limit_lines=self.queue_limit,
            proxy_count=self.proxies,
            proxies_join_by_zone=True,
            admission_level_kind="per_second",
            longest_delivery_us=round(self.mean_delivery * 2.5),
            messages_per_proxy_limit=self.message_limit,
            message_count_window_us=MESSAGE_WINDOW,
        )
        return Settings(
            zones=tuple(f"zone-{number}" for number in range(self.zones)),
            traffic_groups=GROUPS,
            discovery="pushed",
            service=service,
            warm_up=WarmUpSettings(
                0.16, 16 * SECOND, 4.0, not self.removal_binds, drain_grace_us=self.drain_grace
            ),
        )


@dataclass
class RegisteredEndpoint:
    """An endpoint as the registry lists it, and when a list first said that it is leaving."""

    name: str
    zone: int
    state: EndpointState = EndpointState.READY
    started_at: int = 0
    leaving_since: int | None = None


class ScheduledProxy(SimulatedProxy):
    """A proxy that keeps its table and ejections when its stream breaks."""

    def __init__(self, number, zone, request_rate):
        super().__init__(number, zone, request_rate)
        self.joined_at = None
        self.stream_number = 0
        self.latest_arrival = 0
        self.acknowledges = True


class ScheduledServer:
    """One server: the real control cycle with a modelled channel."""

    def __init__(self, schedule, number):
        deployment = schedule.deployment
        self.schedule = schedule
        self.number = number
        self.channel = ControlChannel(
            deployment.lines_per_second, deployment.message_overhead, schedule.uses_entry_duration
        )
        self.counters = Counters()
        self.start_process(schedule.endpoints.values())
        self.is_stopped = False
        self.message_times = defaultdict(list)
        # The messages of each stream that have not left the channel, in the order of writing.
        self.queued_messages = defaultdict(deque)

    def start_process(self, known_endpoints):
        """Start with a list of endpoints and without proxies, as a process that is new or was restarted."""
        schedule = self.schedule
        tables = ProxyTables(len(GROUPS), schedule.server_count == 1)
        self.registry = EndpointRegistry(lambda: schedule.events.now, tables.has_endpoint)
        self.registry.update(ListKind.REPLACE, 1, self.entries(known_endpoints), {})
        self.cycle = ControlCycle(
            schedule.deployment.settings(), schedule.seed + self.number, self.registry, tables, self.counters
        )
        self.cycle.begin()

    def entries(self, endpoints):
        return [
            ListedEndpoint(
                self.registry.index_of(entry.name), entry.zone, 0, 0, entry.state, 3.0, entry.started_at
            )
            for entry in endpoints
        ]

    def deliver_list(self, kind, endpoints):
        entries = self.entries(endpoints)
        event = self.registry.update(kind, self.schedule.events.now, entries, {})
        self.cycle.deliver(event or EndpointsListed(kind, tuple(entries)))

    def run_cycle(self):
        if not self.is_stopped:
            self.cycle.run(self.schedule.events.now, self._write)

    def _write(self, proxy_number, payload, marker):
        schedule = self.schedule
        proxy = schedule.proxies[proxy_number]
        if proxy.server is not self or proxy.joined_at is None:
            return
        stream = Stream(proxy_number, proxy.stream_number)
        text = payload.decode()
        message = self.channel.add_message(stream, line_count(text, 0), marker, text)
        self.queued_messages[stream].append(message)
        times = self.message_times[stream]
        times.append(schedule.events.now)
        recent_messages = sum(time > schedule.events.now - MESSAGE_WINDOW for time in times)
        schedule.most_messages = max(schedule.most_messages, recent_messages)


class DrainSchedule:
    """A fleet while all but a tenth of its endpoints are replaced.

    Attributes:
        longest_drain: The longest time for which a joined proxy used an endpoint that was leaving, from the
            list or from its joining, whichever was later.
        longest_drain_text: What happened then.
        longest_bare: The longest time for which a joined proxy had no usable endpoint.
        most_messages: The most messages to one stream within the counting window.
    """

    def __init__(self, seed, deployment, server_count=1, lost_acknowledgements=0.0):
        self.seed, self.deployment, self.server_count = seed, deployment, server_count
        self.random_source = Random(seed)
        self.uses_entry_duration = bool(seed % 2)
        self.lost_acknowledgements = lost_acknowledgements
        self.events = EventQueue()
        self.endpoints = {
            f"s-{number}": RegisteredEndpoint(f"s-{number}", number % deployment.zones)
            for number in range(deployment.endpoints)
        }
        self.changed_endpoints = []
        self.latest_change_at = {}
        self.longest_drain, self.longest_drain_text = 0, ""
        self.longest_bare, self.bare_since = 0, {}
        self.most_messages = 0
        self.servers = [ScheduledServer(self, number) for number in range(server_count)]
        self._run_cycles()
        self.proxies = [
            ScheduledProxy(number, number % deployment.zones, deployment.request_rate)
            for number in range(deployment.proxies)
        ]
        for proxy in self.proxies:
            self.join(proxy, self.servers[proxy.number % server_count])

    def elapsed_seconds(self):
        return (self.events.now - START_TIME) / SECOND

    def call_at(self, second, callback):
        delay = max(0, round(second * SECOND) + START_TIME - self.events.now)
        self.events.call_later(delay, callback)

    def longest_queue(self):
        return max(server.channel.longest_queue for server in self.servers)

    def violations(self):
        """Return the rules that were broken, with what was observed and what is permitted."""
        deployment = self.deployment
        observations = {
            "drains are kept": (self.longest_drain, deployment.drain_limit),
            "the queue stays short": (self.longest_queue(), deployment.queue_limit),
            "messages stay few": (self.most_messages, deployment.message_limit),
            "no proxy is without an endpoint": (self.longest_bare, deployment.bare_limit),
        }
        return [
            f"{rule}: found {observed}, expected at most {limit} ({self.longest_drain_text})"
            for rule, (observed, limit) in observations.items()
            if observed > limit
        ]

    # Streams

    def join(self, proxy, server):
        if proxy.joined_at is not None:
            return
        proxy.server = server
        proxy.stream_number += 1
        proxy.joined_at = self.events.now
        server.cycle.deliver(ProxyJoined(proxy.number, proxy.zone, proxy.request_rate, not proxy.table))

    def reset_streams(self, proxies=None, next_server=None):
        """Break the streams of proxies (None: all); they join their server, or another one, again."""
        for proxy in self.proxies if proxies is None else proxies:
            if proxy.joined_at is None:
                continue
            server = proxy.server
            server.channel.break_stream(proxy.number)
            server.cycle.deliver(ProxyLeft(proxy.number))
            proxy.joined_at = None
            proxy.stream_number += 1
            delay = round(self.random_source.uniform(*self.deployment.reconnect_time) * SECOND)
            self.events.call_later(delay, partial(self.join, proxy, next_server or server))

    def _deliver_messages(self, server):
        """Send on the messages that have left the channel; those of one stream stay in order."""
        for delivered_message in server.channel.deliver_until(self.events.now):
            messages = server.queued_messages[delivered_message.stream]
            while messages and messages[0].is_delivered:
                self._send(messages.popleft())

    def _send(self, message: ChannelMessage):
        proxy = self.proxies[message.stream.proxy]
        delivery_time = round(self.random_source.uniform(0.4, 1.6) * self.deployment.mean_delivery)
        proxy.latest_arrival = max(proxy.latest_arrival, self.events.now + delivery_time)
        self.events.call_later(proxy.latest_arrival - self.events.now, partial(self._apply, proxy, message))

    def _apply(self, proxy, message: ChannelMessage):
        if message.stream.number != proxy.stream_number:
            return
        proxy.apply_message(message.payload)
        is_lost = self.random_source.random() < self.lost_acknowledgements
        if message.marker is not None and proxy.acknowledges and not is_lost:
            elapsed = self.events.now - message.entered_at
            proxy.server.cycle.deliver(BatchAcknowledged(proxy.number, message.marker, elapsed))

    # Endpoints

    def replace_endpoints(self, start, duration):
        """Drain nine in ten endpoints between two times in seconds, and start others in their place."""
        names = self.random_source.sample(sorted(self.endpoints), len(self.endpoints) * 9 // 10)
        together = self.deployment.drained_together
        steps = -(-len(names) // together)
        for number, name in enumerate(names):
            self.call_at(start + duration * (number // together) / steps, partial(self._drain, name))

    def _drain(self, name):
        self._list_later(name, EndpointState.DRAINING)
        drain_time = round(self.random_source.uniform(*self.deployment.drain_time) * SECOND)
        self.events.call_later(drain_time, partial(self._replace, name))

    def _replace(self, name):
        self._list_later(name, EndpointState.GONE)
        successor = f"s-{len(self.endpoints)}"
        self.endpoints[successor] = RegisteredEndpoint(
            successor, self.endpoints[name].zone, started_at=self.events.now
        )
        self._list_later(successor, EndpointState.READY)

    def _list_later(self, name, state):
        def change():
            self.endpoints[name].state = state
            self.changed_endpoints.append(replace(self.endpoints[name]))

        delay = round(self.random_source.uniform(*self.deployment.list_delay) * SECOND)
        change_at = max(self.events.now + delay, self.latest_change_at.get(name, 0) + 1)
        self.latest_change_at[name] = change_at
        self.events.call_later(change_at - self.events.now, change)

    def _binds(self, state):
        return state is EndpointState.DRAINING or (
            state is EndpointState.GONE and self.deployment.removal_binds
        )

    def _publish_changes(self):
        changes = self.changed_endpoints
        self.changed_endpoints = []
        for change in changes:
            endpoint = self.endpoints[change.name]
            if self._binds(change.state) and endpoint.leaving_since is None:
                endpoint.leaving_since = self.events.now
        if changes:
            for server in self.servers:
                server.deliver_list(ListKind.UPDATE, changes)

    def _report(self):
        for server in self.servers:
            for endpoint in self.endpoints.values():
                if endpoint.state is EndpointState.READY:
                    index = server.registry.index_of(endpoint.name)
                    server.cycle.deliver(load_report(endpoint.zone, index, 20, 0, 300_000))
        for proxy in self.proxies:
            for group in range(len(GROUPS)) if proxy.joined_at is not None else ():
                requests = self.random_source.gauss(proxy.request_rate, proxy.request_rate**0.5) / len(GROUPS)
                event = DemandReport(proxy.number, group, max(0, round(requests)), 0, SECOND)
                proxy.server.cycle.deliver(event)

    # Time

    def _judge(self):
        for proxy in self.proxies:
            used_endpoints = [name for name in proxy.table if name not in proxy.ejected]
            if proxy.joined_at is None or used_endpoints:
                self.bare_since.pop(proxy.number, None)
            else:
                bare_since = self.bare_since.setdefault(proxy.number, self.events.now)
                self.longest_bare = max(self.longest_bare, self.events.now - bare_since)
            for name in used_endpoints if proxy.joined_at is not None else ():
                leaving_since = self.endpoints[name].leaving_since
                if leaving_since is not None:
                    duration = self.events.now - max(leaving_since, proxy.joined_at)
                    self._record_drain(proxy, name, duration)

    def _record_drain(self, proxy, name, duration):
        if duration > self.longest_drain:
            self.longest_drain = duration
            self.longest_drain_text = (
                f"proxy {proxy.number} used {name} until {self.elapsed_seconds():.2f} s, "
                f"{duration / SECOND:.2f} s after it was told or joined"
            )

    def _run_cycles(self):
        for server in self.servers:
            server.run_cycle()

    def run(self, seconds):
        for tick in range(round(seconds * SECOND / TICK)):
            self.events.advance(self.events.now + TICK)
            for server in self.servers:
                self._deliver_messages(server)
            if tick % (LIST_PERIOD // TICK) == 0:
                self._publish_changes()
            if tick % (SECOND // TICK) == 0:
                self._report()
            self._run_cycles()
            self._judge()
        return self
