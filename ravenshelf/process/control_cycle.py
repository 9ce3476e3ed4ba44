"""The control cycle: the controller decides on a batch of events; each proxy gets one message at most."""

from collections.abc import Callable

from ravenshelf import log_events
from ravenshelf.net import stream_codec
from ravenshelf.policy import commands, events
from ravenshelf.policy.controller import Controller
from ravenshelf.policy.dispatched_batch import DispatchedBatch
from ravenshelf.policy.flow_control import ChannelFlowControl
from ravenshelf.process.optional_features import AdmissionGate, CycleObserver
from ravenshelf.settings import Settings
from ravenshelf.state.counters import Counters
from ravenshelf.state.endpoint_registry import EndpointRegistry
from ravenshelf.state.proxy_tables import ProxyMessage, ProxyTables
from ravenshelf.state.table_update import TableUpdate

LOGGED_EVENTS_LIMIT = 20
LINES_TOLERANCE = 1e-6  # Tolerance in lines: charges are sums of floats and may differ by rounding errors.


class ControlCycle:
    """Collector of events that runs the controller on them and writes its commands to the proxies.

    Args:
        settings: Settings of the deployment.
        controller_seed: Seed of the controller's random choices; each controller that replaces a failed one
            gets the next higher number.
        registry: The server's endpoint list.
        proxy_tables: Tables of the proxies, and the changes that a cycle makes to them.
        counters: Counters of cycles, messages and lines.
    """

    def __init__(
        self,
        settings: Settings,
        controller_seed: int,
        registry: EndpointRegistry,
        proxy_tables: ProxyTables,
        counters: Counters,
    ):
        self.settings = settings
        self.controller_seed = controller_seed
        self.registry = registry
        self.proxy_tables = proxy_tables
        self.counters = counters
        self.group_names = [group.name for group in settings.traffic_groups]
        self.message_overhead_lines = settings.service.message_overhead_lines or 0
        # Latest join event of each connected proxy, by the proxy's index.
        self.join_events: dict[int, events.ProxyJoined] = {}
        self.events: list[events.Event] = []  # Events queued for the next cycle.
        self.failures = 0
        self.cycle_observer: CycleObserver | None = None
        self.admission_gate: AdmissionGate | None = None
        self.make_controller: Callable[..., Controller] = Controller
        self.controller = Controller(settings, controller_seed)

    def replace_controller(self, make_controller: Callable[..., Controller]) -> None:
        """Replace the controller by one that `make_controller` creates; must be called before `begin`.

        Args:
            make_controller: Function with the arguments of `Controller`: settings, seed and, after a failure,
                the previous controller's channel.
        """
        self.make_controller = make_controller
        self.controller = make_controller(self.settings, self.controller_seed)

    def begin(self) -> None:
        """Queue the first events of a new controller: the last endpoint list, then the connected proxies."""
        self.events = [self.registry.restored_list()]
        self.events += [event._replace(is_fresh=False) for event in self.join_events.values()]

    def deliver(self, event: events.Event) -> None:
        """Queue an event for the next cycle and apply joins and departures of proxies to the tables.

        A proxy that joins again without having left is first recorded as having left.
        """
        if isinstance(event, events.ProxyJoined):
            if event.proxy in self.join_events:
                self.deliver(events.ProxyLeft(event.proxy))
            self.join_events[event.proxy] = event
            self.proxy_tables.add_proxy(event.proxy, event.is_fresh)
        elif isinstance(event, events.ProxyLeft):
            self.join_events.pop(event.proxy, None)
            self.proxy_tables.remove_proxy(event.proxy)
        self.events.append(event)

    def run(self, now: int, write: Callable[[int, bytes, int | None], None]) -> list[commands.Command] | None:
        """Run one cycle on all queued events.

        Args:
            now: Time of the cycle in microseconds.
            write: Function that writes a message with a marker, or None, to a proxy's stream.

        Returns:
            The commands that are not messages to proxies, or None if the controller failed. In that case
            nothing of the cycle is written, and a new controller is in place.
        """
        cycle_events = self.events
        self.events = []
        channel = self.controller.channel
        channel.advance(now)
        batch_number = channel.batch_number
        try:
            self._reconcile(channel)
            self.controller.run_cycle(now, cycle_events, self.proxy_tables)
            changes = self.proxy_tables.changes
            messages = self.proxy_tables.build_messages(self._encode)
        except Exception:
            names = [type(event).__name__ for event in cycle_events[:LOGGED_EVENTS_LIMIT]]
            log_events.CONTROL_CYCLE_FAILED.with_traceback(events=str(names))
            self._replace_failed_controller(cycle_events)
            return None
        written_lines = self._write(messages, changes.marker, write)
        batch = channel.batches[-1] if channel.batch_number != batch_number else None
        self._settle_charges(channel, now, messages, written_lines, batch)
        self._count_refused_changes(channel)
        self.counters["control_cycles"] += 1
        return [*changes.commands, *changes.timers]

    def _encode(self, proxy: int, updates: list[TableUpdate]) -> bytes:
        if self.admission_gate is not None:
            self.admission_gate.apply_inherited_state(proxy, updates)
        return stream_codec.encode_message(updates, self.registry.names, self.group_names)

    def _write(
        self,
        messages: list[ProxyMessage],
        marker: int | None,
        write: Callable[[int, bytes, int | None], None],
    ) -> float:
        """Write all messages and return their number of lines, including the message overhead."""
        written_lines: float = 0
        for proxy, updates, payload in messages:
            line_count = sum(update.count_lines() for update in updates)
            written_lines += line_count + self.message_overhead_lines
            self.counters["messages_sent"] += 1
            self.counters["lines_sent"] += line_count
            self.counters["bytes_sent"] += len(payload)
            if self.admission_gate is None:
                write(proxy, payload, marker)
            else:
                self.admission_gate.submit(proxy, updates, payload, marker)
            if self.cycle_observer is not None:
                self.cycle_observer.on_message(proxy, updates, marker)
        return written_lines

    def _settle_charges(
        self,
        channel: ChannelFlowControl,
        now: int,
        messages: list[ProxyMessage],
        written_lines: float,
        batch: DispatchedBatch | None,
    ) -> None:
        """Count messages and lines that were written but not charged in flow control.

        Without them the controller would estimate the queue as shorter than it is, and send a proxy more
        messages than its limit permits.

        Args:
            channel: The flow control of the controller.
            now: Time of the cycle in microseconds.
            messages: The messages that were written.
            written_lines: Their number of lines, including the message overhead.
            batch: The charges of the cycle; None if there are none. They can't be calculated from the queue's
                length before and after the cycle, because acknowledgements in the cycle have shortened it.
        """
        charged_lines = batch.total_lines if batch is not None else 0.0
        charged_proxies = batch.lines if batch is not None else {}
        for message in messages:
            if message.proxy not in charged_proxies:
                self.counters["messages_beyond_charge"] += 1
                channel.messages.record_message(message.proxy, now)
        self.counters.add("lines_charged", charged_lines)
        self.counters.add("lines_written", written_lines)
        if written_lines > charged_lines + LINES_TOLERANCE:
            self.counters.add("lines_beyond_charge", written_lines - charged_lines)
            channel.record_uncharged_lines(written_lines - charged_lines)

    def _count_refused_changes(self, channel: ChannelFlowControl) -> None:
        """Count each refused change and each waiting withdrawal, by the limit that it waits for."""
        for limit, refusals in channel.take_refusals().items():
            self.counters[limit.value] += refusals
        ejections = self.controller.ejections
        self.counters["withdrawals_waiting_for_messages"] += ejections.waiting_for_messages
        self.counters["withdrawals_waiting_for_queue"] += ejections.waiting_for_queue

    def _reconcile(self, channel: ChannelFlowControl) -> None:
        """Readmit endpoints that proxies may have ejected on commands unknown to this server.

        Endpoints are readmitted as far as the channel has capacity, not in the message with a proxy's table:
        when all proxies join at once, twice the lines would overfill the channel.
        """
        if not channel.has_capacity(1, (), False):
            return
        for proxy, endpoints in self.proxy_tables.proxies_to_reconcile():
            if channel.has_capacity(len(endpoints), [proxy], False):
                self.proxy_tables.reconcile_ejections(proxy, endpoints)
                channel.charge([proxy], len(endpoints))

    def _replace_failed_controller(self, cycle_events: list[events.Event]) -> None:
        """Replace a failed controller by a new one.

        The failed controller may have recorded commands as sent that were never written, so it is unsafe to
        continue with it. Ending the process would be worse: this way the proxies' streams stay open, and the
        new controller binds all proxies again.
        """
        self.failures += 1
        self.counters["controller_failures"] += 1
        # The new controller keeps the channel: the lines in its queue are still to be acknowledged, no marker
        # may be used twice, and messages on open connections still count for their limit.
        channel = self.controller.channel
        channel.discard_charges()
        # The failed controller may not have recorded the ends of connections in its last cycle.
        for event in cycle_events:
            if isinstance(event, events.ProxyLeft):
                channel.record_disconnection(event.proxy, event.is_ended_by_server)
        self.controller = self.make_controller(self.settings, self.controller_seed + self.failures, channel)
        self.proxy_tables.reset()
        self.begin()
