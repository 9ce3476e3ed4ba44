"""Every message that a control cycle writes is charged beforehand.

Random schedules of list changes, joins, departures, reports and acknowledgements run on the control cycle
with its real controller and tables.
"""

from random import Random

import pytest
from conftest import GROUPS, load_report
from hypothesis import example, given, settings, strategies

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

LIMIT = 12
COUNT_WINDOW = 10 * SECOND
CYCLE = SECOND // 20
ZONES = 3
ENDPOINTS = 9
PROXIES = 6


class ChargedSchedule:
    """A control cycle under one random schedule; `violations` lists the messages that break a rule."""

    def __init__(self, seed, is_only_server):
        self.random_source, self.violations = Random(seed), []
        service = ServiceSettings(
            lines_per_second=1500.0,
            message_overhead_lines=3.0,
            queue_limit_lines=3000,
            proxy_count=PROXIES,
            admission_level_kind="per_second",
            longest_delivery_us=SECOND // 2,
            messages_per_proxy_limit=LIMIT,
            message_count_window_us=COUNT_WINDOW,
            outlier_after_failures=self.random_source.choice([0, 3]),
        )
        self.settings = Settings(
            zones=("a", "b", "c"),
            traffic_groups=GROUPS,
            discovery="pushed",
            service=service,
            warm_up=WarmUpSettings(
                0.2, 12 * SECOND, 4.0, self.random_source.random() < 0.2, drain_grace_us=2 * SECOND
            ),
        )
        self.now, self.counters = 100 * SECOND, Counters()
        self.proxy_tables = ProxyTables(len(GROUPS), is_only_server)
        self.registry = EndpointRegistry(lambda: self.now, self.proxy_tables.has_endpoint)
        self.states = dict.fromkeys(range(ENDPOINTS), EndpointState.READY)
        self.starts = dict.fromkeys(range(ENDPOINTS), 0)
        entries = [self._entry(number) for number in range(ENDPOINTS)]
        self.registry.update(ListKind.REPLACE, 1, entries, {})
        self.cycle = ControlCycle(self.settings, seed, self.registry, self.proxy_tables, self.counters)
        self.cycle.begin()
        self.message_times, self.acknowledgements = {}, []
        self.joined = set()
        self._run_cycle()

    def _entry(self, number):
        index = self.registry.index_of(f"s-{number}")
        return ListedEndpoint(index, number % ZONES, 0, 0, self.states[number], 4.0, self.starts[number])

    def _run_cycle(self):
        self._acknowledge()
        channel = self.cycle.controller.channel
        batch_number = channel.batch_number
        written_proxies = []
        self.cycle.run(
            self.now, lambda proxy, message, marker: written_proxies.append((proxy, message, marker))
        )
        has_batch = channel.batch_number > batch_number
        charged = (
            next(batch for batch in channel.batches if batch.number == batch_number + 1)
            if has_batch
            else None
        )
        for proxy, message, marker in written_proxies:
            if charged is None or proxy not in charged.lines:
                self.violations.append(f"{self.now}: an uncharged message to {proxy}: {message.decode()}")
            self._count_message(proxy)
            if marker is not None and self.random_source.random() < 0.95:
                self.acknowledgements.append((self.now + SECOND // 3, proxy, marker))

    def _count_message(self, proxy):
        times = self.message_times[proxy]
        times.append(self.now)
        if sum(time > self.now - COUNT_WINDOW for time in times) > LIMIT:
            self.violations.append(f"{self.now}: over {LIMIT} messages to {proxy} within the window")

    def _acknowledge(self):
        for due_at, proxy, marker in self.acknowledgements:
            if due_at <= self.now and proxy in self.joined:
                self.cycle.deliver(BatchAcknowledged(proxy, marker, SECOND // 3))
        self.acknowledgements = [entry for entry in self.acknowledgements if entry[0] > self.now]

    def _change_endpoint(self):
        number = self.random_source.randrange(ENDPOINTS)
        choices = [EndpointState.DRAINING, EndpointState.GONE, EndpointState.READY, EndpointState.READY]
        state = self.random_source.choice(choices)
        if state is EndpointState.READY and self.states[number] is EndpointState.GONE:
            self.starts[number] = self.now
        self.states[number] = state
        self.cycle.deliver(EndpointsListed(ListKind.UPDATE, (self._entry(number),)))

    def _join(self):
        proxy = self.random_source.randrange(PROXIES)
        self.acknowledgements = [entry for entry in self.acknowledgements if entry[1] != proxy]
        if proxy in self.joined and self.random_source.random() < 0.7:
            self.cycle.deliver(ProxyLeft(proxy))
            self.joined.discard(proxy)
            return
        self.message_times[proxy] = []
        self.joined.add(proxy)
        is_fresh = self.random_source.random() < 0.3
        self.cycle.deliver(ProxyJoined(proxy, proxy % ZONES, 10.0, is_fresh))

    def _report(self):
        failing = self.random_source.random() < 0.3
        for number, state in self.states.items():
            if state is EndpointState.READY:
                failures = self.random_source.randrange(15) if failing else 0
                latency = self.random_source.randrange(100_000, 900_000 if failing else 300_000)
                self.cycle.deliver(
                    load_report(number % ZONES, self._entry(number).endpoint, 20, failures, latency)
                )
        rate = self.random_source.choice([5, 10, 10, 60])
        for proxy in self.joined:
            for group in (0, 1):
                self.cycle.deliver(DemandReport(proxy, group, rate, 0, SECOND))

    def run(self, seconds):
        """Run the schedule and return its violations."""
        for proxy in range(PROXIES):
            self.message_times[proxy] = []
            self.joined.add(proxy)
            self.cycle.deliver(ProxyJoined(proxy, proxy % ZONES, 10.0, True))
        change_share = self.random_source.choice([0.01, 0.05, 0.2])
        join_share = self.random_source.choice([0.0, 0.01, 0.05])
        for step in range(seconds * SECOND // CYCLE):
            self.now += CYCLE
            if self.random_source.random() < change_share:
                self._change_endpoint()
            if self.random_source.random() < join_share:
                self._join()
            if step % (SECOND // CYCLE) == 0:
                self._report()
            self._run_cycle()
        return self.violations


@pytest.mark.parametrize("is_only_server", [True, False])
@settings(max_examples=20, deadline=None)
@example(30)  # A returned endpoint is readmitted at proxies whose tables don't contain it any more.
@given(strategies.integers(0, 2**32))
def test_each_message_is_charged_and_within_the_limit(is_only_server, seed):
    """Guards against messages that flow control does not count, so that a proxy gets more than its limit."""
    assert ChargedSchedule(seed, is_only_server).run(30) == []
