"""The control cycle: all events go to the controller in one call, its commands out as one message a proxy."""

from collections.abc import Callable

from ravenshelf import log_events
from ravenshelf.net import stream_codec
from ravenshelf.policy import commands, events
from ravenshelf.policy.controller import Controller
from ravenshelf.policy.flow_control import ChannelFlowControl
from ravenshelf.process.optional_features import AdmissionGate, CycleObserver
from ravenshelf.settings import Settings
from ravenshelf.state.counters import Counters
from ravenshelf.state.endpoint_registry import EndpointRegistry
from ravenshelf.state.message_part import MessagePart
from ravenshelf.state.proxy_tables import ProxyMessage, ProxyTables

LOGGED_EVENTS_LIMIT = 20
LINES_EPSILON = 1e-6  # lines: charges are sums of floats


class ControlCycle:
    """Gathers events, runs the controller on them and writes what it ordered.

    `controller_seed` seeds the controller's random choices; one that takes over after a failure gets the
    next.
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
        self.joined: dict[int, events.ProxyJoined] = {}  # by proxy
        self.events: list[events.Event] = []  # for the next cycle
        self.failures = 0
        self.cycle_observer: CycleObserver | None = None
        self.admission_gate: AdmissionGate | None = None
        self.make_controller: Callable[..., Controller] = Controller
        self.controller = Controller(settings, controller_seed)

    def decide_with(self, make_controller: Callable[..., Controller]) -> None:
        """Have another kind of controller decide from now on; called before `begin`."""
        self.make_controller = make_controller
        self.controller = make_controller(self.settings, self.controller_seed)

    def begin(self) -> None:
        """Give a new controller the list as last held, then the proxies that have joined already."""
        self.events = [events.EndpointsListed(events.ListKind.RESTORED, self.registry.snapshot())]
        self.events += [joined._replace(is_fresh=False) for joined in self.joined.values()]

    def deliver(self, event: events.Event) -> None:
        """Take an event for the next cycle."""
        if isinstance(event, events.ProxyJoined):
            if event.proxy in self.joined:
                self.deliver(events.ProxyLeft(event.proxy))
            self.joined[event.proxy] = event
            self.proxy_tables.proxy_joined(event.proxy, event.is_fresh)
        elif isinstance(event, events.ProxyLeft):
            self.joined.pop(event.proxy, None)
            self.proxy_tables.proxy_left(event.proxy)
        self.events.append(event)

    def run(self, now: int, write: Callable[[int, bytes, int | None], None]) -> list[commands.Command] | None:
        """Run one cycle; return the commands that are no messages, or None where the controller failed.

        `write(proxy, message, marker)` puts a message on a proxy's stream.
        """
        delivered = self.events
        self.events = []
        channel = self.controller.channel
        channel.advance(now)
        batch_number = channel.batch_number
        try:
            self._reconcile(channel)
            self.controller.run_cycle(now, delivered, self.proxy_tables)
            changes = self.proxy_tables.changes
            messages = self.proxy_tables.take_messages(self._encode)
        except Exception:
            names = [type(event).__name__ for event in delivered[:LOGGED_EVENTS_LIMIT]]
            log_events.CONTROL_CYCLE_FAILED.with_traceback(events=str(names))
            self._start_over()
            return None
        written_lines = self._write(messages, changes.marker, write)
        # not by the queue's length before and after: acknowledgements in this cycle have shortened it
        has_batch = channel.batch_number != batch_number
        self._settle_charges(channel, written_lines, channel.batches[-1].total_lines if has_batch else 0.0)
        self.counters["control_cycles"] += 1
        return [*changes.commands, *changes.timers]

    def _encode(self, proxy: int, parts: list[MessagePart]) -> bytes:
        if self.admission_gate is not None:
            self.admission_gate.apply_inherited_state(proxy, parts)
        return stream_codec.encode_message(parts, self.registry.names, self.group_names)

    def _write(
        self,
        messages: list[ProxyMessage],
        marker: int | None,
        write: Callable[[int, bytes, int | None], None],
    ) -> float:
        """Write all messages; return how many lines they are, with the overhead of each."""
        written_lines: float = 0
        for proxy, parts, payload in messages:
            line_count = sum(part.line_count() for part in parts)
            written_lines += line_count + self.message_overhead_lines
            self.counters["messages_sent"] += 1
            self.counters["lines_sent"] += line_count
            self.counters["bytes_sent"] += len(payload)
            if self.admission_gate is None:
                write(proxy, payload, marker)
            else:
                self.admission_gate.submit(proxy, parts, payload, marker)
            if self.cycle_observer is not None:
                self.cycle_observer.on_message(proxy, parts, marker)
        return written_lines

    def _settle_charges(
        self, channel: ChannelFlowControl, written_lines: float, charged_lines: float
    ) -> None:
        """Record lines beyond the charge: the controller must never take the queue for shorter than it is."""
        self.counters.add("lines_charged", charged_lines)
        self.counters.add("lines_written", written_lines)
        if written_lines > charged_lines + LINES_EPSILON:
            self.counters.add("lines_beyond_charge", written_lines - charged_lines)
            channel.record_uncharged_lines(written_lines - charged_lines)

    def _reconcile(self, channel: ChannelFlowControl) -> None:
        """Readmit what proxies may have ejected by unknown orders, as the channel has capacity for it.

        Not with the table itself: when all proxies join at once, twice the lines would overfill the channel.
        """
        if not channel.fits(1, (), False):
            return
        for proxy, endpoints in self.proxy_tables.proxies_to_reconcile():
            if channel.fits(len(endpoints), [proxy], False):
                self.proxy_tables.confirm_ejections(proxy, endpoints)
                channel.charge([proxy], len(endpoints))

    def _start_over(self) -> None:
        """Begin with a new controller: one that failed may believe in orders that were never written.

        Safer than to go on with it, and than to end: the proxies' streams stay, and the new one binds
        them all.
        """
        self.failures += 1
        self.counters["controller_failures"] += 1
        channel = self.controller.channel  # its queue stays, and its markers are not given again
        channel.discard_charges()
        self.controller = self.make_controller(self.settings, self.controller_seed + self.failures, channel)
        self.proxy_tables.reset()
        self.begin()
