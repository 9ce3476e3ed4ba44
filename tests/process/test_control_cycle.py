"""The control cycle: messages to proxies, charged lines, and the replacement of a failed controller."""

import pytest
from conftest import SETTINGS

from ravenshelf.policy.commands import WatchEndpoints
from ravenshelf.policy.events import (
    BatchAcknowledged,
    EndpointsListed,
    EndpointState,
    ListedEndpoint,
    ListKind,
    ProxyJoined,
    ProxyLeft,
)
from ravenshelf.process.control_cycle import ControlCycle
from ravenshelf.settings import decode_settings
from ravenshelf.state.counters import Counters
from ravenshelf.state.endpoint_registry import DRAIN_MEMORY_US, EndpointRegistry
from ravenshelf.state.proxy_tables import ProxyTables
from ravenshelf.time_units import SECOND


class CycleDriver:
    """A control cycle with a manual clock; `messages` holds the messages of the last cycle by proxy."""

    def __init__(self, states=("SERVING", "SERVING"), **service):
        settings = decode_settings(SETTINGS)
        settings = settings._replace(service=settings.service._replace(**service))
        self.counters, self.now, self.messages, self.proxy_tables = (
            Counters(),
            100 * SECOND,
            [],
            ProxyTables(2, True),
        )
        self.registry = EndpointRegistry(lambda: self.now, self.proxy_tables.has_endpoint)
        self.registry.update(
            ListKind.REPLACE,
            1,
            [
                ListedEndpoint(self.registry.index_of(f"s-{number}"), 0, 0, 0, EndpointState.READY, 4.0, 0)
                for number in (1, 2)
            ],
            {},
        )
        self.control_cycle = ControlCycle(settings, 7, self.registry, self.proxy_tables, self.counters)
        self.control_cycle.begin()
        self.run()

    def run(self, *events):
        for event in events:
            self.control_cycle.deliver(event)
        self.messages = []
        return self.control_cycle.run(
            self.now, lambda proxy, message, marker: self.messages.append((proxy, message.decode()))
        )


def join(proxy, fresh=True):
    return ProxyJoined(proxy, 0, 10.0, fresh)


@pytest.fixture
def drive_cycle():
    return CycleDriver


def test_joined_proxies_are_bound_in_one_message_each(drive_cycle):
    driver = drive_cycle()
    driver.run(join(0), join(1))
    assert [proxy for proxy, _ in driver.messages] == [0, 1]
    assert driver.messages[0][1].startswith("CONFIG whole=1 lines=s-1:") and driver.messages[0][1].endswith(
        "ticket=1\r\n"
    )
    assert driver.counters["lines_written"] == driver.counters["lines_charged"] == 2 * (1 + 2 + 1 + 3)


def test_a_proxy_that_joins_again_is_bound_again(drive_cycle):
    driver = drive_cycle()
    driver.run(join(0))
    driver.run(join(0, False))
    assert [proxy for proxy, _ in driver.messages] == [0] and "whole=1" in driver.messages[0][1]
    driver.run(ProxyLeft(0))
    assert not driver.messages and not driver.control_cycle.join_events


def test_uncharged_lines_are_added_to_the_queue(drive_cycle):
    driver = drive_cycle()
    driver.run(join(0))
    driver.now += 20 * SECOND
    list_update = EndpointsListed(
        ListKind.UPDATE, (ListedEndpoint(0, 0, 0, 0, EndpointState.DRAINING, 4.0, 0),)
    )
    # The table keeps the endpoint's line, so the endpoint has to be readmitted later.
    driver.control_cycle.controller.tables.write = lambda *_: None
    driver.run(list_update)
    assert "out=s-1" in driver.messages[0][1]
    driver.run(EndpointsListed(ListKind.UPDATE, (ListedEndpoint(0, 0, 0, 0, EndpointState.READY, 4.0, 0),)))
    driver.control_cycle.controller.channel.queued_lines = 0.0
    driver.control_cycle.controller.channel.batches.clear()
    driver.control_cycle.controller.channel.unconfirmed.unanswered_batches.clear()
    # This controller requests an acknowledgement without charging the channel for any line.
    driver.control_cycle.controller.run_cycle = lambda now, events, writer: writer.request_acknowledgement(
        5, True
    )
    driver.run()
    assert (
        driver.counters["lines_beyond_charge"]
        == 1 + 3
        == driver.control_cycle.controller.channel.queued_lines
    )


def test_an_acknowledgement_does_not_reduce_the_cycles_charge(drive_cycle):
    driver = drive_cycle()
    driver.run(join(0))
    driver.run(BatchAcknowledged(0, 1, 1000), join(1))
    assert (
        driver.messages
        and driver.counters["lines_written"] == driver.counters["lines_charged"]
        and not driver.counters["lines_beyond_charge"]
    )


def test_possible_ejections_are_reconciled_as_the_channel_has_capacity(drive_cycle):
    driver = drive_cycle()
    driver.run(join(0, False))
    assert "back=" not in driver.messages[0][1]
    driver.control_cycle.controller.channel.record_uncharged_lines(1e6)
    driver.run()
    assert not driver.messages
    driver.now += 2000 * SECOND
    driver.run()
    assert (
        "back=s-1,s-2" in driver.messages[0][1]
        and driver.counters["lines_written"] == driver.counters["lines_charged"]
    )


def test_a_failed_controller_is_replaced_and_nothing_of_its_cycle_is_written(drive_cycle):
    driver = drive_cycle()
    driver.run(join(0), join(1))
    failed_controller = driver.control_cycle.controller

    def fail(now, events, writer):
        writer.set_weight(0, 0, 0)
        raise RuntimeError("no such thing")

    failed_controller.run_cycle = fail
    assert (
        driver.run(ProxyLeft(1)) is None
        and not driver.messages
        and driver.counters["controller_failures"] == 1
    )
    commands = driver.run()
    assert driver.control_cycle.controller is not failed_controller and [
        proxy for proxy, _ in driver.messages
    ] == [0]
    assert "whole=1 lines=s-1:" in driver.messages[0][1] and WatchEndpoints(True) in commands


def test_an_ejection_of_a_failed_cycle_is_written_later(drive_cycle):
    """If a cycle fails while its messages are encoded, none of them is written or counted as sent."""
    driver = drive_cycle()
    driver.run(join(0), join(1))
    driver.now += 5 * SECOND
    # The tables keep the endpoint's line, so its ejection has to be written.
    driver.control_cycle.controller.tables.write = lambda *_: None
    # Without the endpoints' names, no message can be encoded.
    names, driver.registry.names = driver.registry.names, []
    assert (
        driver.run(
            EndpointsListed(ListKind.UPDATE, (ListedEndpoint(0, 0, 0, 0, EndpointState.DRAINING, 4.0, 0),))
        )
        is None
        and not driver.messages
    )
    driver.registry.names = names
    # The new controller has the endpoint list and has bound no proxy yet.
    driver.proxy_tables.set_ejected(0, True)
    assert [
        (message.proxy, message.updates[0].ejected_endpoints)
        for message in driver.proxy_tables.build_messages()
    ] == [
        (0, [0]),
        (1, [0]),
    ]


def test_a_new_controller_keeps_the_queue_and_reuses_no_marker(drive_cycle):
    driver = drive_cycle()
    driver.run(join(0), join(1))
    channel, lines_before = (
        driver.control_cycle.controller.channel,
        driver.control_cycle.controller.channel.unconfirmed_lines(),
    )
    assert lines_before
    # The controller fails in the middle of a cycle, after it has charged lines.
    driver.control_cycle.controller.ejections.update = lambda pending, writer: (
        channel.charge([0], 50) or 1 / 0
    )
    assert driver.run(EndpointsListed(ListKind.UPDATE, ())) is None
    assert (
        driver.control_cycle.controller.channel is channel
        and channel.unconfirmed_lines() == lines_before
        and not channel.cycle_charges
    )
    driver.run()
    markers = [int(text.split("ticket=")[1].split()[0]) for _, text in driver.messages]
    assert set(markers) == {2} and channel.unconfirmed_lines() > lines_before
    driver.run(BatchAcknowledged(0, 2, 1000), BatchAcknowledged(1, 2, 1000))
    assert not channel.unconfirmed_lines()


def fail_controller(driver, *events):
    """Let the controller fail in its next cycle, before it handles an event."""

    def fail(*_):
        raise RuntimeError("a failure of the controller")

    driver.control_cycle.controller.run_cycle = fail
    assert driver.run(*events) is None


def test_messages_still_count_for_their_limit_after_a_controller_failed(drive_cycle):
    """Guards against a proxy that gets twice its limit, because a new controller binds all proxies again."""
    driver = drive_cycle(messages_per_proxy_limit=4, message_count_window_us=10 * SECOND)
    driver.run(join(0))
    messages = len(driver.messages)
    for _ in range(6):
        fail_controller(driver)
        for _ in range(4):
            driver.now += SECOND // 10
            driver.run()
            messages += len(driver.messages)
    assert 2 <= messages <= 4
    driver.now += 11 * SECOND
    driver.run()
    assert len(driver.messages) == 1


def test_acknowledgements_after_a_controller_failed_confirm_earlier_lines(drive_cycle):
    """Guards against lines that nobody can acknowledge any more, although the streams are intact."""
    driver = drive_cycle()
    driver.run(join(0), join(1))
    channel = driver.control_cycle.controller.channel
    first_batch = channel.batches[-1]
    fail_controller(driver)
    driver.run()
    driver.run(BatchAcknowledged(0, first_batch.number, 1000))
    assert set(first_batch.lines) == {1}
    driver.run(BatchAcknowledged(1, first_batch.number, 1000))
    assert not first_batch.lines


def test_a_stream_that_breaks_in_the_cycle_in_which_the_controller_fails_loses_its_lines(drive_cycle):
    """Guards against lines of a broken stream that stay queued, because the failed controller missed it."""
    driver = drive_cycle()
    driver.run(join(0), join(1))
    channel = driver.control_cycle.controller.channel
    batch = channel.batches[-1]
    fail_controller(driver, ProxyLeft(0))
    assert set(batch.lines) == {1}
    assert channel.unconfirmed_lines() == batch.unacknowledged_lines < batch.total_lines
    assert not channel.messages.message_times(0)


def test_a_message_without_a_charge_counts_for_the_limit_of_its_proxy(drive_cycle):
    """Guards against messages that flow control does not count, so that a proxy gets more than its limit."""
    driver = drive_cycle()
    driver.run(join(0))
    budget = driver.control_cycle.controller.channel.messages
    counted_messages = len(budget.message_times(0))
    driver.proxy_tables.set_ejected(0, True)  # a command that the controller has not charged
    driver.run()
    assert "out=s-1" in driver.messages[0][1] and driver.counters["messages_beyond_charge"] == 1
    assert len(budget.message_times(0)) == counted_messages + 1


@pytest.mark.parametrize(
    ("queued_lines", "counters"),
    [
        (0, set()),
        (5_000, {"refused_by_queue_time"}),
        # The bind, and the less urgent reconciliation of ejections.
        (1_600, {"refused_by_estimated_queue", "refused_by_queue_time"}),
    ],
)
def test_refused_changes_are_counted_by_the_limit_that_refuses_them(drive_cycle, queued_lines, counters):
    """Guards against counters that do not show why a change waits."""
    driver = drive_cycle()
    driver.control_cycle.controller.channel.record_uncharged_lines(queued_lines)
    driver.run(join(0))
    assert {name for name, count in driver.counters.items() if name.startswith("refused_by") and count} == (
        counters
    )


def test_a_bind_that_waits_for_unconfirmed_lines_is_counted(drive_cycle):
    """Guards against counters that do not show why a change waits."""
    driver = drive_cycle()
    channel = driver.control_cycle.controller.channel
    channel.record_uncharged_lines(0.9 * channel.queue_limit)
    driver.now += 100_000
    channel.advance = lambda now: None  # The estimate is short, while no line is confirmed.
    channel.queued_lines = 0.0
    driver.run(join(0))
    assert not driver.messages
    assert driver.counters["refused_by_unconfirmed_lines"] and not driver.counters["refused_by_messages"]


def test_a_drain_that_waits_is_known_to_the_controller_that_replaces_a_failed_one(drive_cycle):
    """Guards against proxies that keep a drained endpoint, because the new controller never heard of it.

    Proxies that have got most of their messages are bound again only because a withdrawal waits.
    """
    driver = drive_cycle(messages_per_proxy_limit=5, message_count_window_us=10 * SECOND)
    driver.run(join(0))
    while len(driver.control_cycle.controller.channel.messages.message_times(0)) < 4:
        driver.control_cycle.controller.channel.messages.record_message(0, driver.now)
    for version, state in enumerate((EndpointState.DRAINING, EndpointState.GONE), 2):
        entry = ListedEndpoint(0, 0, 0, 0, state, 4.0, 0)
        driver.control_cycle.deliver(driver.registry.update(ListKind.UPDATE, version, [entry], {}))
    fail_controller(driver)
    driver.run()
    assert [(proxy, "whole=1 lines=s-2:" in message) for proxy, message in driver.messages] == [(0, True)]


def test_a_drain_that_ended_long_ago_is_not_passed_to_a_new_controller(drive_cycle):
    driver = drive_cycle()
    for version, state in enumerate((EndpointState.DRAINING, EndpointState.GONE), 2):
        driver.registry.update(ListKind.UPDATE, version, [ListedEndpoint(0, 0, 0, 0, state, 4.0, 0)], {})
    assert [entry.state for entry in driver.registry.restored_list().entries] == [
        EndpointState.READY,
        EndpointState.DRAINING,
        EndpointState.GONE,
    ]
    driver.now += DRAIN_MEMORY_US + 1
    assert driver.registry.restored_list().entries == driver.registry.snapshot()
