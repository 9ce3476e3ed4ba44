"""The round: what came in goes to the module in one call, what it ordered goes out as one message a proxy."""

from collections.abc import Callable

from ravenshelf import log_events
from ravenshelf.net import stream_codec
from ravenshelf.policy import commands, events
from ravenshelf.policy.controller import Controller
from ravenshelf.settings import Settings
from ravenshelf.state.counters import Counters
from ravenshelf.state.endpoint_registry import EndpointRegistry
from ravenshelf.state.proxy_tables import ProxyTables


class ControlCycle:
    def __init__(
        self, settings: Settings, seed: int, listing: EndpointRegistry, sent: ProxyTables, counters: Counters
    ):
        self.settings, self.seed = settings, seed
        self.listing, self.sent, self.counters = listing, sent, counters
        self.names = [group.name for group in settings.traffic_groups]
        self.head = settings.service.message_overhead_lines or 0
        self.joined: dict[int, events.ProxyJoined] = {}  # by proxy
        self.news: list[events.Event] = []
        self.failures = 0
        self.tap = None  # told of each message where figures are sent
        self.gate = None  # judges what may leave, where several controllers share the fleet
        self.make_controller = Controller
        self.controller = Controller(settings, seed)

    def decide_with(self, make_controller: Callable[..., Controller]) -> None:
        """Another kind of controller decides from now on; called before `begin`."""
        self.make_controller = make_controller
        self.controller = make_controller(self.settings, self.seed)

    def begin(self) -> None:
        """The list as this pilot last had it comes first, then whoever is joined already."""
        self.news = [events.EndpointsListed(events.ListKind.RESTORED, self.listing.snapshot())]
        self.news += [joined._replace(is_fresh=False) for joined in self.joined.values()]

    def hear(self, event: events.Event) -> None:
        if isinstance(event, events.ProxyJoined):
            if event.proxy in self.joined:
                self.hear(events.ProxyLeft(event.proxy))
            self.joined[event.proxy] = event
            self.sent.proxy_joined(event.proxy, event.is_fresh)
        elif isinstance(event, events.ProxyLeft):
            self.joined.pop(event.proxy, None)
            self.sent.proxy_left(event.proxy)
        self.news.append(event)

    def run(self, now: int, write: Callable[[int, bytes, int | None], None]) -> list[commands.Command] | None:
        """Plays a round; gives the calls that are not messages, or None where the module failed."""
        news, self.news = self.news, []
        channel = self.controller.channel
        channel.advance(now)
        before = channel.batch_number
        try:
            self._settle(channel)
            self.controller.run_cycle(now, news, self.sent)
            calls, wakes, ticket = (
                self.sent.changes.commands,
                self.sent.changes.timers,
                self.sent.changes.marker,
            )
            messages = self.sent.take_messages(self._made)
        except Exception:
            log_events.CONTROL_CYCLE_FAILED.with_traceback(
                events=str([type(event).__name__ for event in news[:20]])
            )
            self._start_over()
            return None
        written = 0
        for proxy, parts, message in messages:
            count = sum(part.line_count() for part in parts)
            written += count + self.head
            self.counters["messages_sent"] += 1
            self.counters["lines_sent"] += count
            self.counters["bytes_sent"] += len(message)
            if self.gate is None:
                write(proxy, message, ticket)
            else:
                self.gate.submit(proxy, parts, message, ticket)
            if self.tap is not None:
                self.tap.on_message(proxy, parts, ticket)
        # not by what waits before and after: answers heard in this round have taken something out of that
        charged = channel.batches[-1].total_lines if channel.batch_number != before else 0.0
        self.counters.add("lines_charged", charged)
        self.counters.add("lines_written", written)
        if written > charged + 1e-6:  # never may the module think the queue shorter than it is
            self.counters.add("lines_beyond_charge", written - charged)
            channel.record_uncharged_lines(written - charged)
        self.counters["rounds"] += 1
        return [*calls, *wakes]

    def _made(self, proxy: int, parts: list) -> bytes:
        if self.gate is not None:
            self.gate.apply_inherited_state(proxy, parts)
        return stream_codec.config(parts, self.listing.names, self.names)

    def _settle(self, channel) -> None:
        """Lets back what proxies may shut out by orders that are not known here, as the channel has room for it.

        Not with the table itself: when all proxies come at once, twice the lines would overfill the channel."""
        for proxy, doubts in self.sent.proxies_to_reconcile() if channel.fits(1, (), False) else ():
            if channel.fits(len(doubts), [proxy], False):
                self.sent.confirm_ejections(proxy, doubts)
                channel.charge([proxy], len(doubts))

    def _start_over(self) -> None:
        """A module that failed half-way may believe in orders that never went out: a new one begins.

        Safer than to go on with it, and than to end: the proxies' streams stay, and the new one binds them all."""
        self.failures += 1
        self.counters["module_failures"] += 1
        channel = self.controller.channel  # what waits in it waits on, and its marks are not given again
        channel.discard_charges()
        self.controller = self.make_controller(self.settings, self.seed + self.failures, channel)
        self.sent.reset()
        self.begin()
