"""The control-plane server on an event loop with a manual clock: events, deadlines, reloads."""

from itertools import pairwise

import pytest
from conftest import SETTINGS
from server_doubles import CONFIGURATION, ManualLoop

from ravenshelf.net.connection_end import ConnectionEnd
from ravenshelf.policy.events import (
    DemandReport,
    EndpointsListed,
    EndpointState,
    ListedEndpoint,
    ListKind,
    ProxyJoined,
    TimerExpired,
)
from ravenshelf.process import configuration
from ravenshelf.process.configuration import ConfigurationError
from ravenshelf.process.control_plane import ControlPlaneServer
from ravenshelf.process.deadline_keys import CallTimeout, ConnectionTimeout, ControllerTimer, ServerDeadline
from ravenshelf.time_units import SECOND


@pytest.fixture
def started_server():
    loop = ManualLoop()
    server = ControlPlaneServer(CONFIGURATION, loop, lambda: loop.now)
    server.cycle_scheduler.start()
    server.timers.arm()
    return server, loop


@pytest.fixture
def running_server(started_server):
    """Return a server that has run for a second, so that nothing from its start is pending, and its loop."""
    server, loop = started_server
    loop.run_for(1)
    return server, loop


def test_events_wait_for_the_tick_and_are_delivered_in_one_cycle(running_server):
    server, loop = running_server
    cycles, run_cycle = [], server.control_cycle.controller.run_cycle
    server.control_cycle.controller.run_cycle = lambda now, events, commands: (
        cycles.append((now, sum(isinstance(event, DemandReport) for event in events))),
        run_cycle(now, events, commands),
    )
    for _ in range(4):
        server.publish(DemandReport(1, 0, 5, 0, SECOND))
    loop.run_for(0.0)
    for _ in range(3):
        server.publish(DemandReport(1, 0, 5, 0, SECOND))
    loop.run_for(0.1)
    assert [reports for _, reports in cycles[:2]] == [4, 3] and 4000 <= cycles[1][0] - cycles[0][0] < 4100


@pytest.mark.parametrize(
    "connections_arrive, interval",
    [(True, 60_000), (False, 30_000)],
    ids=["connections arrive", "no connection arrives"],
)
def test_a_long_cycle_leaves_as_much_time_to_accept_connections(running_server, connections_arrive, interval):
    """After the loss of servers, hundreds of proxies connect at once, and the loop accepts one per iteration.

    Without the pause, a control cycle would run between every two of them. If no connection arrives, there
    must be no pause.
    """
    server, loop = running_server
    cycle_starts, run_cycle = [], server.control_cycle.controller.run_cycle

    def run_long_cycle(now, events, commands):
        cycle_starts.append(now)
        run_cycle(now, events, commands)
        loop.now += 30_000

    server.control_cycle.controller.run_cycle = run_long_cycle
    for _ in range(40):
        server.counters["accepted"] += connections_arrive
        server.publish(DemandReport(1, 0, 5, 0, SECOND))
        loop.run_for(0.005)
    assert len(cycle_starts) > 2 and all(
        interval <= next_start - start < interval + 8000 for start, next_start in pairwise(cycle_starts)
    )


def test_a_controller_timer_expires_in_time_and_never_in_its_own_cycle(running_server):
    server, loop = running_server
    expired = []
    server.control_cycle.controller.run_cycle = lambda now, events, commands: (
        expired.extend((now, event.key) for event in events if isinstance(event, TimerExpired)),
        [commands.start_timer(now - 5, "past"), commands.start_timer(now + 50_000, "soon")]
        if not expired
        else None,
    )
    start = loop.now
    server.publish(DemandReport(1, 0, 5, 0, SECOND))
    loop.run_for(0.2)
    assert [key for _, key in expired if key != "step"] == ["past", "soon"]
    assert expired[0][0] >= start + 4000 and {key: time for time, key in expired}["soon"] >= start + 50_000


def test_a_deadline_handler_that_raises_stops_no_other(started_server):
    server, loop = started_server
    # The handler raises because there is no connection.
    server.timers.set(ConnectionTimeout(None), loop.now + 10)
    server.timers.set(ControllerTimer(0, "mine"), loop.now + 20)
    loop.run_for(1)
    assert server.counters["deadlines_failed"] == 1 and server.counters["control_cycles"] > 2


def test_a_reload_changes_the_registry_address_and_loses_no_state(started_server):
    server, loop = started_server
    server.publish(ProxyJoined(1, 0, 10.0, True))
    server.publish(
        EndpointsListed(ListKind.UPDATE, (ListedEndpoint(0, 0, 0, 0, EndpointState.READY, 4.0, 0),))
    )
    server.registry.index_of("s-1")
    loop.run_for(0.1)
    controller, messages = server.control_cycle.controller, server.counters["messages_sent"]
    outcomes = [
        ConfigurationError("config.json", "expected JSON"),
        ConfigurationError("config.json", "expected JSON"),
        CONFIGURATION
        | {"discovery": "127.0.0.1:99", "limits": {"sockets": 99}, "known": {"rev": 1, "targets": []}},
    ]

    def read_configuration_file():
        outcome = outcomes.pop(0)
        if isinstance(outcome, ConfigurationError):
            raise outcome
        return outcome

    server.reloader.read_configuration = read_configuration_file
    server.reload()
    assert (
        server.registry_client.watches.current.address == CONFIGURATION["discovery"]
        and server.counters["reloads_failed"] == 1
    )
    loop.run_for(2)  # the file is incomplete at first and complete in the end
    assert (
        server.registry_client.watches.current.address == "127.0.0.1:99"
        and server.counters["reloads"] == 1
        and not outcomes
    )
    assert (
        server.control_cycle.controller is controller
        and list(server.proxy_tables.proxies) == [1]
        and messages
    )
    assert (
        server.counters["messages_sent"] == messages
        and server.configuration["limits"] == CONFIGURATION["limits"]
    )


def test_an_old_deadline_does_not_end_a_new_call_in_the_same_slot(running_server):
    """A cycle replaces a call in the loop iteration in which its deadline expires, and the slot is reused."""
    server, loop = running_server
    server.registry_client.watch_endpoints(True)
    old_watch, requests = server.registry_client.watches.current, []
    server.control_cycle.controller.run_cycle = lambda now, events, commands: (
        requests or requests.append(commands.watch_endpoints(True))
    )
    server.outgoing_calls.extend(old_watch, 10_000)
    server.timers.set(ServerDeadline.CONTROL_CYCLE, loop.now + 9_000)
    loop.run_for(0.1, delay=0.05)
    new_watch = server.registry_client.watches.current
    assert (
        new_watch is not old_watch
        and old_watch.end is ConnectionEnd.SUPERSEDED
        and (new_watch.slot, new_watch.end) == (old_watch.slot, None)
    )
    loop.run_for(10)
    assert new_watch.end is ConnectionEnd.SILENT  # The new watch ends by its own deadline.


@pytest.mark.parametrize(
    "change, error",
    [
        (
            {"azs": ["dc-north", "dc-south"]},
            "settings.azs: expected those that this server serves, a, b, not dc-north, dc-south",
        ),
        (
            {"classes": [{"name": "toll"}, {"name": "pay"}]},
            "settings.classes: expected those that this server serves, look, pay",
        ),
        ({"azs": ["a"]}, "settings.azs"),
    ],
    ids=["other zones", "other traffic groups", "a zone fewer"],
)
def test_a_reload_of_another_deployments_configuration_changes_nothing(started_server, change, error):
    server, loop = started_server
    previous_configuration = server.configuration
    server.reloader.read_configuration = lambda: (
        CONFIGURATION | {"discovery": "127.0.0.1:99", "settings": SETTINGS | change}
    )
    with pytest.raises(ConfigurationError, match=error):
        configuration.apply_reload(previous_configuration, server.reloader.read_configuration())
    server.reload()
    loop.run_for(0.01)
    assert server.configuration is previous_configuration
    assert (
        server.counters["reloads_failed"] == 1
        and not server.counters["reloads"]
        and not server.registry_client.address_changes
    )


def test_a_second_reload_replaces_one_that_waits_for_its_next_read(started_server):
    server, loop = started_server
    reads = []

    def read_configuration_file():
        reads.append(loop.now)
        if len(reads) < 3:
            raise ConfigurationError("config.json", "expected JSON")
        return CONFIGURATION | {"discovery": "127.0.0.1:99"}

    server.reloader.read_configuration = read_configuration_file
    server.reload()
    loop.run_for(0.3)
    server.reload()  # This is a second SIGHUP, and the next a third, which finds the complete file.
    server.reload()
    loop.run_for(3)
    assert (
        len(reads) == 3
        and server.counters["reloads"] == 1
        and ServerDeadline.RELOAD not in server.timers.deadlines
    )


def test_a_reload_with_more_groups_and_zones_is_accepted(started_server):
    server, _ = started_server
    larger_settings = SETTINGS | {"azs": ["c", "b", "a"], "classes": [{"name": "new"}, *SETTINGS["classes"]]}
    new_configuration, restart_fields = configuration.apply_reload(
        server.configuration, CONFIGURATION | {"discovery": "127.0.0.1:99", "settings": larger_settings}
    )
    assert new_configuration["discovery"] == "127.0.0.1:99" and restart_fields == [
        "settings.azs",
        "settings.classes",
    ]


@pytest.mark.parametrize(
    "stall, is_line_waiting, end",
    [(6.0, True, None), (6.0, False, ConnectionEnd.SILENT), (0.0, False, ConnectionEnd.SILENT)],
    ids=["stalled, a line waits", "stalled, nothing waits", "not stalled, nothing waits"],
)
def test_a_server_reads_after_a_stall_before_it_closes_silent_calls(
    started_server, stall, is_line_waiting, end
):
    server, loop = started_server
    server.registry_client.watch_endpoints(True)
    call = server.registry_client.watches.current
    loop.pending_callbacks.clear()
    server.timers.loop_timer = None
    server.timers.deadlines.heap, server.timers.deadlines.deadlines = [], {}
    server.timers.set(CallTimeout(call), loop.now + SECOND)
    if is_line_waiting:  # A line for the call arrived in the socket during the stall.
        loop.pending_callbacks.append(
            (loop.now + SECOND + 1, lambda: server.outgoing_calls.extend(call, 5 * SECOND))
        )
    loop.run_for(2 + stall, delay=stall)
    assert call.end is end
