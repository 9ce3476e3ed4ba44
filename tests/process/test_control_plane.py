"""The server on a loop set by hand: events, deadlines, reloads."""

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
from ravenshelf.settings import SECOND


@pytest.fixture
def started_server():
    loop = ManualLoop()
    server = ControlPlaneServer(CONFIGURATION, loop, lambda: loop.now)
    server.cycle_scheduler.start()
    server.timers.arm()
    return server, loop


@pytest.fixture
def running_server(started_server):
    """A server that has run for a second, so nothing of its start is waiting."""
    server, loop = started_server
    loop.play(1)
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
    loop.play(0.0)
    for _ in range(3):
        server.publish(DemandReport(1, 0, 5, 0, SECOND))
    loop.play(0.1)
    assert [reports for _, reports in cycles[:2]] == [4, 3] and 4000 <= cycles[1][0] - cycles[0][0] < 4100


@pytest.mark.parametrize(
    "connections_arrive, interval",
    [(True, 60_000), (False, 30_000)],
    ids=["connections arrive", "no connection arrives"],
)
def test_a_long_cycle_leaves_as_much_time_to_accept_connections(running_server, connections_arrive, interval):
    """Hundreds dial at once when servers are lost, and the loop accepts one a turn: those came a cycle apart.

    Where no connection comes, events need not wait for any.
    """
    server, loop = running_server
    began, run_cycle = [], server.control_cycle.controller.run_cycle

    def run_long_cycle(now, events, commands):
        began.append(now)
        run_cycle(now, events, commands)
        loop.now += 30_000

    server.control_cycle.controller.run_cycle = run_long_cycle
    for _ in range(40):
        server.counters["accepted"] += connections_arrive
        server.publish(DemandReport(1, 0, 5, 0, SECOND))
        loop.play(0.005)
    assert len(began) > 2 and all(
        interval <= after - before < interval + 8000 for before, after in pairwise(began)
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
    loop.play(0.2)
    assert [key for _, key in expired if key != "step"] == ["past", "soon"]
    assert expired[0][0] >= start + 4000 and {key: time for time, key in expired}["soon"] >= start + 50_000


def test_a_deadline_handler_that_raises_stops_no_other(started_server):
    server, loop = started_server
    server.timers.set(ConnectionTimeout(None), loop.now + 10)  # names no connection
    server.timers.set(ControllerTimer(0, "mine"), loop.now + 20)
    loop.play(1)
    assert server.counters["deadlines_failed"] == 1 and server.counters["control_cycles"] > 2


def test_a_reload_changes_the_registry_address_and_loses_no_state(started_server):
    server, loop = started_server
    server.publish(ProxyJoined(1, 0, 10.0, True))
    server.publish(
        EndpointsListed(ListKind.UPDATE, (ListedEndpoint(0, 0, 0, 0, EndpointState.READY, 4.0, 0),))
    )
    server.registry.index_of("s-1")
    loop.play(0.1)
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
        server.registry_client.watch.address == CONFIGURATION["discovery"]
        and server.counters["reloads_failed"] == 1
    )
    loop.play(2)  # half written at first, whole in the end
    assert (
        server.registry_client.watch.address == "127.0.0.1:99"
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
    """The cycle opens a new call in the turn in which the old one was due, and it gets the old one's slot."""
    server, loop = running_server
    server.registry_client.watch_endpoints(True)
    old, asked = server.registry_client.watch, []
    server.control_cycle.controller.run_cycle = lambda now, events, commands: (
        asked or asked.append(commands.watch_endpoints(True))
    )
    server.outgoing_calls.extend(old, 10_000)
    server.timers.set(ServerDeadline.CONTROL_CYCLE, loop.now + 9_000)
    loop.play(0.1, late=0.05)
    new = server.registry_client.watch
    assert new is not old and old.end is ConnectionEnd.SUPERSEDED and (new.slot, new.end) == (old.slot, None)
    loop.play(10)
    assert new.end is ConnectionEnd.SILENT  # its own deadline holds


@pytest.mark.parametrize(
    "change, complaint",
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
def test_a_reload_of_another_deployments_configuration_changes_nothing(started_server, change, complaint):
    server, loop = started_server
    before = server.configuration
    server.reloader.read_configuration = lambda: (
        CONFIGURATION | {"discovery": "127.0.0.1:99", "settings": SETTINGS | change}
    )
    with pytest.raises(ConfigurationError, match=complaint):
        configuration.apply_reload(before, server.reloader.read_configuration())
    server.reload()
    loop.play(0.01)
    assert server.configuration is before
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
    loop.play(0.3)
    server.reload()  # a second SIGHUP, and a third that brings the whole file
    server.reload()
    loop.play(3)
    assert (
        len(reads) == 3
        and server.counters["reloads"] == 1
        and ServerDeadline.RELOAD not in server.timers.deadlines
    )


def test_a_reload_with_more_groups_and_zones_is_accepted(started_server):
    server, _ = started_server
    more = SETTINGS | {"azs": ["c", "b", "a"], "classes": [{"name": "new"}, *SETTINGS["classes"]]}
    new, waiting = configuration.apply_reload(
        server.configuration, CONFIGURATION | {"discovery": "127.0.0.1:99", "settings": more}
    )
    assert new["discovery"] == "127.0.0.1:99" and waiting == ["settings.azs", "settings.classes"]


@pytest.mark.parametrize(
    "stall, line_waiting, end",
    [(6.0, True, None), (6.0, False, ConnectionEnd.SILENT), (0.0, False, ConnectionEnd.SILENT)],
    ids=["stalled, a line waits", "stalled, nothing waits", "not stalled, nothing waits"],
)
def test_a_stalled_server_reads_before_it_takes_others_for_silent(started_server, stall, line_waiting, end):
    server, loop = started_server
    server.registry_client.watch_endpoints(True)
    call = server.registry_client.watch
    loop.waiting.clear()
    server.timers.loop_timer = None
    server.timers.deadlines.heap, server.timers.deadlines.deadlines = [], {}
    server.timers.set(CallTimeout(call), loop.now + SECOND)
    if line_waiting:  # its line lay in the socket while the process stood still
        loop.waiting.append((loop.now + SECOND + 1, lambda: server.outgoing_calls.extend(call, 5 * SECOND)))
    loop.play(2 + stall, late=stall)
    assert call.end is end
