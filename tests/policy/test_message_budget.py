"""The limit on messages to a proxy, and withdrawals that follow one another while it is nearly used up."""

from random import Random

import pytest
from conftest import GROUPS, RecordingWriter, load_report

from ravenshelf.policy.controller import Controller
from ravenshelf.policy.events import (
    BatchAcknowledged,
    DemandReport,
    EndpointsListed,
    EndpointState,
    ListedEndpoint,
    ListKind,
    ProxyJoined,
)
from ravenshelf.policy.message_budget import MessageBudget
from ravenshelf.policy.urgency import ENDPOINT_LOSS, ORDINARY, WITHDRAWAL
from ravenshelf.settings import ServiceSettings, Settings, WarmUpSettings
from ravenshelf.time_units import SECOND

LIMIT = 12
COUNT_WINDOW = 10 * SECOND
LONGEST_DELIVERY = 445_000
CYCLE = SECOND // 50
ZONES = 3


def _reserve_budget(drain_grace=4 * SECOND):
    return MessageBudget(LIMIT, COUNT_WINDOW, drain_grace)


@pytest.mark.parametrize("drain_grace", [1_500_000, 2_000_000, 3_000_000, 3_900_000, 10_000_000])
@pytest.mark.parametrize("limit", [3, 6, 12, 30])
def test_a_withdrawal_never_waits_longer_than_the_reserve_interval(limit, drain_grace):
    """Guards against a limit that is used up early, so that later withdrawals wait for the window's end."""
    budget = MessageBudget(limit, COUNT_WINDOW, drain_grace)
    random_source = Random(limit * drain_grace)
    sent, waiting_since = [], None
    for now in range(0, 60 * SECOND, CYCLE):
        if waiting_since is None and random_source.random() < 0.2:
            waiting_since = now
        urgency = ORDINARY if waiting_since is None else WITHDRAWAL
        budget.withdrawals_wait = waiting_since is not None
        if (waiting_since is not None or random_source.random() < 0.5) and budget.allows([1], now, urgency):
            budget.record_message(1, now)
            sent.append(now)
            waiting_since = None
        if waiting_since is not None:
            assert now - waiting_since < budget.reserve_interval
    for time in sent:
        assert sum(time - COUNT_WINDOW < other <= time for other in sent) <= limit


def test_the_reserve_interval_leaves_half_of_the_grace_where_the_limit_allows_it():
    assert _reserve_budget(4 * SECOND).reserve_interval <= 2 * SECOND
    # 12 messages within 10 s can't be closer than this, with two messages left for a burst.
    assert _reserve_budget(SECOND).reserve_interval == pytest.approx(
        1.05 * COUNT_WINDOW / (LIMIT - 2), rel=1e-3
    )


def test_other_changes_leave_the_reserve_to_withdrawals_that_wait():
    budget = _reserve_budget()
    for message in range(budget.free_messages):
        budget.record_message(1, message)
    assert budget.allows([1], 10, ENDPOINT_LOSS)
    budget.withdrawals_wait = True
    assert not budget.allows([1], 10, ENDPOINT_LOSS) and budget.allows([1], 10, WITHDRAWAL)


@pytest.mark.parametrize("limit, drain_grace", [(0, 2 * SECOND), (12, None), (12, 0)])
def test_there_is_no_reserve_without_a_limit_or_a_grace(limit, drain_grace):
    budget = MessageBudget(limit, COUNT_WINDOW, drain_grace)
    assert budget.reserve == 0
    for _ in range(limit):
        assert budget.allows([1], 0, WITHDRAWAL)
        budget.record_message(1, 0)
    assert budget.allows([1], 0, WITHDRAWAL) is (limit == 0)


class ShrinkingFleet:
    """A controller with 21 endpoints in three zones and six proxies, whose endpoints leave one by one.

    Attributes:
        writing_delays: The time from the listing to the command that withdraws each endpoint that left.
        message_times: The times of the messages of each proxy.
    """

    def __init__(self, drain_grace, seed):
        service = ServiceSettings(
            lines_per_second=1500.0,
            message_overhead_lines=3.0,
            queue_limit_lines=3000,
            proxy_count=12,
            proxies_join_by_zone=True,
            longest_delivery_us=LONGEST_DELIVERY,
            messages_per_proxy_limit=LIMIT,
            message_count_window_us=COUNT_WINDOW,
            outlier_after_failures=3,
        )
        warm_up = WarmUpSettings(0.19, 18 * SECOND, 4.0, drain_grace_us=drain_grace)
        settings = Settings(
            zones=("a", "b", "c"),
            traffic_groups=GROUPS,
            discovery="pushed",
            service=service,
            warm_up=warm_up,
            server_count=2,
        )
        self.random_source = Random(seed)
        self.controller, self.writer = Controller(settings, 7), RecordingWriter()
        self.now = 100 * SECOND
        self.proxies = {0: 0, 2: 2, 3: 0, 6: 0, 8: 2, 9: 0}
        self.listed_leaving, self.writing_delays = {}, {}
        self.message_times = {proxy: [] for proxy in self.proxies}
        self.acknowledgements = []
        self.left = set()
        everything = [self._entry(index, EndpointState.READY) for index in range(21)]
        self._cycle(EndpointsListed(ListKind.RESTORED, tuple(everything)))
        self._cycle(*[ProxyJoined(proxy, zone, 20.0, True) for proxy, zone in self.proxies.items()])

    @staticmethod
    def _entry(index, state):
        return ListedEndpoint(index, index % ZONES, 0, 0, state, 4.0, 0)

    def _cycle(self, *events):
        due = [entry for entry in self.acknowledgements if entry[0] <= self.now]
        self.acknowledgements = [entry for entry in self.acknowledgements if entry[0] > self.now]
        channel = self.controller.channel
        batch_number = channel.batch_number
        acknowledged = [BatchAcknowledged(proxy, marker, LONGEST_DELIVERY) for _, proxy, marker in due]
        self.controller.run_cycle(self.now, [*events, *acknowledged], self.writer)
        if channel.batch_number != batch_number:
            for proxy in channel.batches[-1].lines:
                self.message_times[proxy].append(self.now)
                self.acknowledgements.append((self.now + LONGEST_DELIVERY, proxy, channel.batch_number))
        self._record_withdrawals()

    def _record_withdrawals(self):
        tables = [self.writer.tables[table] for table in self.writer.bound.values()]
        for index, listed_at in list(self.listed_leaving.items()):
            if index in self.writer.ejected or not any(index in lines for lines in tables):
                self.writing_delays[index] = self.now - listed_at
                del self.listed_leaving[index]

    def _reports(self):
        remaining = 1 - 0.55 * len(self.left) / 17
        draw = self.random_source.uniform
        reports = [
            load_report(index % ZONES, index, attempts=13, latency=round(draw(120_000, 280_000)))
            for index in range(21)
            if index not in self.left and index % ZONES in self.proxies.values()
        ]
        return reports + [
            DemandReport(proxy, group, round(10 * remaining * draw(0.4, 1.6)), 0, SECOND)
            for proxy in self.proxies
            for group in (0, 1)
        ]

    def shrink(self, leaving_times, seconds):
        """Run for some seconds; endpoints drain at the given seconds, and are gone 3.4 to 6 s later."""
        order = self.random_source.sample(range(21), len(leaving_times))
        changes = []
        for index, drains_at in zip(order, leaving_times, strict=True):
            changes.append((drains_at, index, EndpointState.DRAINING))
            changes.append((drains_at + self.random_source.uniform(3.4, 6.0), index, EndpointState.GONE))
        changes.sort(key=lambda change: change[0])
        start = self.now
        while self.now < start + seconds * SECOND:
            self.now += CYCLE
            events = []
            while changes and start + changes[0][0] * SECOND <= self.now:
                _, index, state = changes.pop(0)
                events.append(EndpointsListed(ListKind.UPDATE, (self._entry(index, state),)))
                if index not in self.left:
                    self.listed_leaving[index] = self.now
                self.left.add(index)
            if (self.now - start) % SECOND < CYCLE:
                events += self._reports()
            self._cycle(*events)

    def most_messages(self):
        """Return the largest number of messages that a proxy got within the counting window."""
        return max(
            sum(time - COUNT_WINDOW < other <= time for other in times)
            for times in self.message_times.values()
            for time in times
        )


@pytest.mark.parametrize("drain_grace", [1_500_000, 3_900_000])
@pytest.mark.parametrize("seed", range(6))
def test_drains_are_written_in_time_while_a_fleet_shrinks_and_tables_change(seed, drain_grace):
    """Guards against withdrawals that wait for seconds because earlier messages have used up the limit."""
    fleet = ShrinkingFleet(drain_grace, seed)
    first_drains = [12 + 8.8 * number / 13 for number in range(13)]
    silent_endpoints = [18.0, 18.5, 19.0, 19.5]
    fleet.shrink(sorted(first_drains + silent_endpoints), 40)
    assert not fleet.listed_leaving and len(fleet.writing_delays) == 17
    assert max(fleet.writing_delays.values()) + LONGEST_DELIVERY <= drain_grace
    assert fleet.most_messages() <= LIMIT
    assert not fleet.writer.emptied_tables


def test_messages_of_an_earlier_time_on_a_stream_count_again():
    """Guards against a proxy that gets more messages than its limit after it returned to a stream."""
    budget = MessageBudget(3, 10 * SECOND, None)
    budget.record_message(0, 100 * SECOND)
    budget.restore(0, (98 * SECOND, 99 * SECOND, 100 * SECOND))
    assert budget.message_times(0) == [98 * SECOND, 99 * SECOND, 100 * SECOND]
    assert not budget.allows([0], 101 * SECOND, WITHDRAWAL)
    assert budget.allows([0], 110 * SECOND, WITHDRAWAL)
    budget.restore(1, ())
    assert not budget.message_times(1)
