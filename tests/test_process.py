import json
import os
import random
import signal
import socket
import subprocess
import sys
import threading

import pytest
from conftest import SETTINGS, target

from ravenshelf.net.connection_end import ConnectionEnd
from ravenshelf.net.endpoint_codec import EndpointListDecoder
from ravenshelf.policy.commands import WatchEndpoints
from ravenshelf.policy.events import (
    BatchAcknowledged,
    DemandReport,
    EndpointsListed,
    EndpointState,
    HealthCheckCompleted,
    ListedEndpoint,
    ListKind,
    ProxyJoined,
    ProxyLeft,
    TimerExpired,
    WatchFailed,
)
from ravenshelf.process import configuration, logs
from ravenshelf.process.clock import Clock
from ravenshelf.process.configuration import ConfigurationError
from ravenshelf.process.control_cycle import ControlCycle
from ravenshelf.process.control_plane import ControlPlaneServer
from ravenshelf.process.deadline_keys import CallTimeout, ConnectionTimeout, ControllerTimer, ServerDeadline
from ravenshelf.process.health_checks import HealthChecks
from ravenshelf.process.registry_client import RETRY_DELAY_US, RegistryClient
from ravenshelf.settings import SECOND, decode_settings
from ravenshelf.state.counters import Counters
from ravenshelf.state.endpoint_registry import EndpointRegistry
from ravenshelf.state.proxy_tables import ProxyTables

# --- discovery ---


class Asked:
    """A call that was opened; the test says what comes back."""

    def __init__(self, path, done, on_line, timeout_us, address=None):
        self.path, self.done, self.on_line, self.address = path, done, on_line, address
        self.end, self.status, self.body = None, 200, b""

    def says(self, rev, *targets, all=False):
        self.on_line(self, json.dumps({"rev": rev, "all": all, "targets": targets}).encode())

    def close(self, end):
        if self.end is None:
            self.end = end
            self.done(self)

    def answers(self, rev, *targets, all=True):
        self.body = json.dumps({"rev": rev, "all": all, "targets": targets}).encode()
        self.close(ConnectionEnd.ANSWERED)


class Service:
    def __init__(self, pushed=False):
        self.calls, self.told, self.again = [], [], []
        self.now = 0
        self.registry = EndpointRegistry(lambda: self.now, lambda index: False)
        settings = decode_settings(SETTINGS)
        self.registry.update(
            ListKind.REPLACE,
            5,
            [ListedEndpoint(self.registry.index_of("s-1"), 0, 0, 0, EndpointState.READY, 4.0, 0)],
            {0: "127.0.0.1:9"},
        )

        def news(event):
            if isinstance(event, EndpointsListed):  # of an entry only what tells the cases apart
                event = (event.kind, [(entry.endpoint, entry.state) for entry in event.entries])
            self.told.append(event)

        self.counters = Counters()
        self.discovery = RegistryClient(
            self.registry,
            EndpointListDecoder(settings, self.registry.index_of, self.registry.index_by_name.get),
            self.counters,
            self,
            news,
            self.again.append,
            pushed,
            random.Random(5),
        )
        self.extended = []
        self.probes = HealthChecks(
            settings,
            self.registry,
            self.counters,
            self,
            self.told.append,
            lambda: 0,
        )

    def open(self, *said):
        self.calls.append(Asked(*said))
        return self.calls[-1]

    def extend(self, call, timeout_us):
        self.extended.append(call)

    def watched(self):
        """A watch that has spoken: of s-2, in version 6."""
        self.discovery.watch_endpoints(True)
        self.calls[-1].says(6, target("s-2"))
        return self.calls[-1]


@pytest.fixture
def service():
    return Service()


def test_a_watch_is_answered_once_and_brings_changes_until_it_ends(service):
    service.discovery.watch_endpoints(True)
    watch = service.calls[-1]
    assert watch.path == "/catalog/members?watch=1&after=5" and not service.told
    watch.says(7, target("s-1", state="DRAINING"))
    watch.on_line(watch, b"")
    watch.says(8, target("s-1", state="DELETED"), target("s-2"))
    watch.close(ConnectionEnd.RESET)
    assert service.extended == [watch] * 3  # each line, an empty one too, moves the deadline for silence
    assert service.told == [
        (ListKind.UPDATE, [(0, EndpointState.DRAINING)]),
        (ListKind.UPDATE, [(0, EndpointState.GONE), (1, EndpointState.READY)]),
        WatchFailed(),
    ]


@pytest.mark.parametrize(
    "first",
    [lambda w: w.on_line(w, b""), lambda w: w.says(5), lambda w: w.says(3, all=True)],
    ids=["an empty line", "no change", "an older list"],
)
def test_a_watch_with_no_news_is_an_answer_too(service, first):
    service.discovery.watch_endpoints(True)
    first(service.calls[-1])
    service.calls[-1].on_line(service.calls[-1], b"")
    assert service.told == [(ListKind.UPDATE, [])]


@pytest.mark.parametrize("said", [b"{", b"[1]", b'{"rev":9}', b"\xff"])
def test_a_watch_that_cannot_be_read_has_failed(service, said):
    service.discovery.watch_endpoints(True)
    service.calls[-1].on_line(service.calls[-1], said)
    assert (
        service.told == [WatchFailed()]
        and service.calls[-1].end is ConnectionEnd.UNREADABLE
        and service.registry.version == 5
    )


@pytest.mark.parametrize("purpose", ["observe", "fetch"])
@pytest.mark.parametrize(
    "end",
    [
        ConnectionEnd.REFUSED,
        ConnectionEnd.RESET,
        ConnectionEnd.SILENT,
        ConnectionEnd.CUT_OFF,
        ConnectionEnd.DECLINED,
        ConnectionEnd.CROWDED,
    ],
)
def test_each_failed_call_has_one_answer_and_the_list_holds(service, purpose, end):
    service.discovery.watch_endpoints(True) if purpose == "observe" else service.discovery.fetch()
    service.calls[-1].close(end)
    assert service.told == [WatchFailed()] and list(service.registry.entries) == [0]


def test_a_new_watch_takes_the_place_of_the_old_in_silence(service):
    service.discovery.watch_endpoints(True)
    service.discovery.watch_endpoints(True)
    old, new = service.calls
    old.says(9, target("s-9"))
    assert old.end is ConnectionEnd.SUPERSEDED and service.told == []
    new.says(7)
    service.discovery.watch_endpoints(False)
    assert service.told == [(ListKind.UPDATE, [])] and new.end is ConnectionEnd.SUPERSEDED


def test_a_new_address_is_watched_before_the_old_one_is_let_go(service):
    d, old = service.discovery, service.watched()
    d.address_changed()
    new = service.calls[-1]
    old.says(7, target("s-3"))  # changes go on at the old one meanwhile
    assert (
        new.path.endswith("after=0")
        and old.end is None
        and service.told[-1] == (ListKind.UPDATE, [(2, EndpointState.READY)])
    )
    new.says(7, target("s-3"))
    assert old.end is ConnectionEnd.SUPERSEDED and new.end is None and WatchFailed() not in service.told
    new.says(8, target("s-2", state="DRAINING"))
    assert service.told[-1] == (ListKind.UPDATE, [(1, EndpointState.DRAINING)])


@pytest.mark.parametrize("whole", [True, False])
def test_a_service_with_lower_versions_at_a_new_address_is_followed(service, whole):
    d = service.discovery
    service.watched().close(ConnectionEnd.RESET)
    d.address_changed()
    service.calls[-1].says(2, target("s-2"), all=whole)
    if not whole:  # changes since which version of ours can't be told: the next call asks for all
        d.watch_endpoints(True)
        assert service.calls[-1].path.endswith("after=0")
        service.calls[-1].says(2, target("s-2"), all=True)
    assert service.registry.version == 2 and service.told[-1] == (
        ListKind.REPLACE,
        [(1, EndpointState.READY)],
    )


def test_a_new_address_that_fails_is_asked_again(service):
    d = service.discovery
    d.watch_endpoints(True)
    old = service.calls[-1]
    d.address_changed()
    service.calls[-1].close(ConnectionEnd.REFUSED)
    assert service.told[-1] == WatchFailed()
    old.close(ConnectionEnd.RESET)
    d.watch_endpoints(True)
    assert service.told.count(WatchFailed()) == 1 and len(service.calls) == 3


def test_the_former_address_is_heard_until_the_new_one_answers_however_often_it_is_asked(service):
    d, old = service.discovery, service.watched()
    d.address_changed()
    service.calls[-1].close(ConnectionEnd.REFUSED)
    d.watch_endpoints(True)  # the module asks again
    old.says(7, target("s-3"))
    assert old.end is None and service.told[-1] == (ListKind.UPDATE, [(2, EndpointState.READY)])
    new = service.calls[-1]
    new.on_line(new, b"<html>")  # no answer
    assert old.end is None and new.end is ConnectionEnd.UNREADABLE
    d.watch_endpoints(True)
    service.calls[-1].on_line(service.calls[-1], b"")
    assert old.end is None  # its list is still to come
    service.calls[-1].says(3, target("s-3"), all=True)
    assert old.end is ConnectionEnd.SUPERSEDED and list(service.registry.entries) == [2]


def test_a_second_move_keeps_the_watch_that_speaks(service):
    d, first = service.discovery, service.watched()
    d.address_changed()
    between = service.calls[-1]
    d.address_changed()
    assert (first.end, between.end, service.calls[-1].end) == (None, ConnectionEnd.SUPERSEDED, None)
    first.says(7, target("s-3"))
    assert service.told[-1] == (ListKind.UPDATE, [(2, EndpointState.READY)])


def test_lists_from_elsewhere_never_leave_the_pilot_without_a_watch(service):
    """Any list is an answer to the module, which asks no more: so the watch that failed begins by itself."""
    d, old = service.discovery, service.watched()
    d.address_changed()
    service.calls[-1].close(ConnectionEnd.REFUSED)
    old.says(7, target("s-3"))
    old.close(ConnectionEnd.CLOSED)
    assert len(service.calls) == 2 and [
        RETRY_DELAY_US / 2 <= wait <= RETRY_DELAY_US for wait in service.again
    ] == [True]
    d.open_watch_if_due()
    assert service.calls[-1].path == "/catalog/members?watch=1&after=0"
    service.calls[-1].close(ConnectionEnd.REFUSED)
    d.fetch()
    service.calls[-1].answers(8, target("s-1"))
    assert len(service.again) == 2
    d.watch_endpoints(False)
    d.open_watch_if_due()
    assert d.watch is None


def test_what_a_fetch_brings_from_the_address_left_behind_is_not_taken(service):
    d = service.discovery
    d.watch_endpoints(True)
    d.fetch()
    fetch = service.calls[-1]
    d.address_changed()
    service.calls[-1].says(2, target("s-1"), all=True)
    fetch.answers(50, target("s-2"))
    assert (
        service.registry.version == 2
        and list(service.registry.entries) == [0]
        and service.told[-1] == WatchFailed()
    )


@pytest.mark.parametrize("rev", [5, 9])
def test_versions_of_a_new_address_that_are_as_high_as_ours_hide_nothing(service, rev):
    """Ours is 5 and says that s-1 is ready; at the new address it drained long before its own version 5."""
    d = service.discovery
    d.watch_endpoints(True)
    service.calls[-1].on_line(service.calls[-1], b"")
    d.address_changed()
    assert service.calls[-1].path.endswith("after=0")
    service.calls[-1].says(rev, target("s-1", state="DRAINING"), target("s-2"))
    assert (
        service.told[-1] == (ListKind.UPDATE, [(0, EndpointState.DRAINING), (1, EndpointState.READY)])
        and service.registry.version == rev
    )


def test_a_fetch_that_crosses_the_watch(service):
    service.discovery.watch_endpoints(True)
    service.discovery.fetch()
    watch, fetch = service.calls
    watch.says(7, target("s-2"))
    fetch.answers(6, target("s-1"))  # older than what the watch has brought
    assert service.told[-1] == (ListKind.UPDATE, []) and sorted(service.registry.entries) == [
        0,
        1,
    ]
    service.discovery.fetch()
    service.calls[-1].answers(9, target("s-2"))  # newer: it removes s-1
    watch.says(8, target("s-1"))  # what the watch says of the time before is old
    assert service.told[-1] == (ListKind.REPLACE, [(1, EndpointState.READY)]) and list(
        service.registry.entries
    ) == [1]
    watch.says(10, target("s-3"))
    assert service.told[-1] == (ListKind.UPDATE, [(2, EndpointState.READY)])


def test_broken_entries_remove_nothing(service):
    service.discovery.fetch()
    service.calls[-1].answers(6, target("s-1", state="ASLEEP"), target("s-2"))
    assert sorted(service.registry.entries) == [0, 1] and service.counters["list_entries_broken"] == 1
    service.discovery.fetch()
    service.calls[-1].answers(7, target("s-2"), 5)
    assert sorted(service.registry.entries) == [0, 1]


def test_an_endpoint_listed_twice_counts_once_as_it_was_said_last(service):
    service.discovery.fetch()
    service.calls[-1].answers(
        6, target("s-1", az="a"), target("s-2"), target("s-1", az="b", state="DRAINING")
    )
    assert {index: (entry.zone, entry.state) for index, entry in service.registry.entries.items()} == {
        0: (1, EndpointState.DRAINING),
        1: (0, EndpointState.READY),
    }
    assert service.told[-1][1] == [(0, EndpointState.DRAINING), (1, EndpointState.READY)]


def test_a_list_that_goes_back_changes_nothing_and_is_an_answer(service):
    service.discovery.fetch()
    service.calls[-1].answers(4, target("s-2"))
    assert (
        sorted(service.registry.entries) == [0]
        and service.registry.version == 5
        and service.counters["lists_old"] == 1
    )
    assert service.told == [(ListKind.UPDATE, [])]


@pytest.mark.parametrize("whole", [True, False])
def test_a_registry_restored_from_a_backup_is_followed_once_it_cannot_be_late_any_more(service, whole):
    d = service.discovery
    d.watch_endpoints(True)
    service.calls[-1].says(9, target("s-2"))
    service.now += 6 * SECOND
    service.calls[-1].says(3, target("s-1"), all=True)  # as late as lists may be
    assert service.registry.version == 9 and sorted(service.registry.entries) == [0, 1]
    service.now += 25 * SECOND
    service.calls[-1].says(4, target("s-1", state="DRAINING"), all=whole)
    if not whole:  # changes to a list that we do not have: it asks for all
        assert service.calls[-1].end is ConnectionEnd.UNREADABLE and service.told[-1] == WatchFailed()
        d.watch_endpoints(True)
        assert service.calls[-1].path.endswith("after=0")
        service.calls[-1].says(4, target("s-1", state="DRAINING"), all=True)
    assert service.registry.version == 4 and service.told[-1] == (
        ListKind.REPLACE,
        [(0, EndpointState.DRAINING)],
    )
    service.calls[-1].says(5, target("s-3"))
    assert service.told[-1] == (ListKind.UPDATE, [(2, EndpointState.READY)])


def test_a_change_of_what_was_never_listed_is_taken_and_its_end_forgotten(service):
    service.discovery.open_watch()
    service.calls[-1].says(
        6, target("s-9", state="DELETED"), target("s-2", boot_ms=4e12)
    )  # gone; starts in the future
    assert [e.state for e in service.registry.entries.values()] == [
        EndpointState.READY
    ] * 2 and not service.counters["list_entries_broken"]


def test_a_pushed_list_is_watched_by_the_pilot_itself():
    service = Service(pushed=True)
    service.discovery.watch_endpoints(True)
    assert not service.calls
    service.discovery.open_watch()
    service.calls[-1].close(ConnectionEnd.RESET)
    assert service.told == [] and service.again


# --- probes ---


@pytest.mark.parametrize(
    "end, body, values",
    [
        (ConnectionEnd.ANSWERED, b"inflight=7,queue=2", (0, True, 0, (7.0,))),
        (ConnectionEnd.ANSWERED, b"queue=2", (0, True, 0, ())),
        (ConnectionEnd.DECLINED, b"inflight=7", (0, False, 0, ())),
        (ConnectionEnd.REFUSED, b"", (0, False, 0, ())),
        (ConnectionEnd.SILENT, b"", (0, False, 0, ())),
    ],
)
def test_each_probe_has_one_answer(service, end, body, values):
    service.probes.begin(0)
    probe = service.calls[-1]
    probe.body = body
    probe.close(end)
    assert (probe.path, probe.address) == ("/_load", "127.0.0.1:9") and service.told == [
        HealthCheckCompleted(*values)
    ]


@pytest.mark.parametrize("allowed, told", [(True, [HealthCheckCompleted(7, False, 0, ())]), (False, [])])
def test_what_cannot_be_probed(service, allowed, told):
    service.probes.is_allowed = allowed
    service.probes.begin(7)
    assert not service.calls and service.told == told


# --- the round ---


class Play:
    def __init__(self, states=("SERVING", "SERVING"), **service):
        settings = decode_settings(SETTINGS)
        settings = settings._replace(service=settings.service._replace(**service))
        self.counters, self.now, self.out, self.proxy_tables = (
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
                ListedEndpoint(self.registry.index_of(f"s-{n}"), 0, 0, 0, EndpointState.READY, 4.0, 0)
                for n in (1, 2)
            ],
            {},
        )
        self.control_cycle = ControlCycle(settings, 7, self.registry, self.proxy_tables, self.counters)
        self.control_cycle.begin()
        self.run()

    def run(self, *news):
        for event in news:
            self.control_cycle.deliver(event)
        self.out = []
        return self.control_cycle.run(
            self.now, lambda proxy, message, ticket: self.out.append((proxy, message.decode()))
        )


def join(proxy, fresh=True):
    return ProxyJoined(proxy, 0, 10.0, fresh)


@pytest.fixture
def play():
    return Play


def test_joined_proxies_are_bound_in_one_message_each(play):
    p = play()
    p.run(join(0), join(1))
    assert [proxy for proxy, _ in p.out] == [0, 1]
    assert p.out[0][1].startswith("CONFIG whole=1 lines=s-1:") and p.out[0][1].endswith("ticket=1\r\n")
    assert p.counters["lines_written"] == p.counters["lines_charged"] == 2 * (1 + 2 + 1 + 3)


def test_a_proxy_that_comes_again_is_bound_anew(play):
    p = play()
    p.run(join(0))
    p.run(join(0, False))
    assert [proxy for proxy, _ in p.out] == [0] and "whole=1" in p.out[0][1]
    p.run(ProxyLeft(0))
    assert not p.out and not p.control_cycle.joined


def test_what_is_written_beyond_the_charge_is_added_to_the_queue(play):
    p = play()
    p.run(join(0))
    p.now += 20 * SECOND
    listed = EndpointsListed(ListKind.UPDATE, (ListedEndpoint(0, 0, 0, 0, EndpointState.DRAINING, 4.0, 0),))
    p.control_cycle.controller.tables.write = lambda *_: (
        None
    )  # the table keeps the line, so it must be let back later
    p.run(listed)
    assert "out=s-1" in p.out[0][1]
    p.run(EndpointsListed(ListKind.UPDATE, (ListedEndpoint(0, 0, 0, 0, EndpointState.READY, 4.0, 0),)))
    p.control_cycle.controller.channel.queued_lines = 0.0
    p.control_cycle.controller.channel.batches.clear()
    p.control_cycle.controller.run_cycle = lambda now, news, orders: orders.request_acknowledgement(
        5, True
    )  # charges nothing
    p.run()
    assert p.counters["lines_beyond_charge"] == 1 + 3 == p.control_cycle.controller.channel.queued_lines


def test_an_answer_in_the_round_is_no_part_of_its_charge(play):
    p = play()
    p.run(join(0))
    p.run(BatchAcknowledged(0, 1, 1000), join(1))
    assert (
        p.out
        and p.counters["lines_written"] == p.counters["lines_charged"]
        and not p.counters["lines_beyond_charge"]
    )


def test_doubts_are_settled_as_the_channel_has_room(play):
    p = play()
    p.run(join(0, False))
    assert "back=" not in p.out[0][1]
    p.control_cycle.controller.channel.record_uncharged_lines(1e6)
    p.run()
    assert not p.out
    p.now += 2000 * SECOND
    p.run()
    assert "back=s-1,s-2" in p.out[0][1] and p.counters["lines_written"] == p.counters["lines_charged"]


def test_a_failing_module_starts_over_and_no_half_round_goes_out(play):
    p = play()
    p.run(join(0), join(1))
    failed = p.control_cycle.controller

    def fail(now, news, orders):
        orders.set_weight(0, 0, 0)
        raise RuntimeError("no such thing")

    failed.run_cycle = fail
    assert p.run(ProxyLeft(1)) is None and not p.out and p.counters["module_failures"] == 1
    calls = p.run()
    assert p.control_cycle.controller is not failed and [proxy for proxy, _ in p.out] == [0]
    assert "whole=1 lines=s-1:" in p.out[0][1] and WatchEndpoints(True) in calls


def test_a_withdrawal_of_a_round_that_failed_is_owed_again(play):
    """The round failed as its messages were made: none went out, so no proxy counts as told what they said."""
    p = play()
    p.run(join(0), join(1))
    p.now += 5 * SECOND
    p.control_cycle.controller.tables.write = lambda *_: (
        None
    )  # the tables keep the line, so the withdrawal has to go out
    names, p.registry.names = p.registry.names, []  # no message can be made
    assert (
        p.run(EndpointsListed(ListKind.UPDATE, (ListedEndpoint(0, 0, 0, 0, EndpointState.DRAINING, 4.0, 0),)))
        is None
        and not p.out
    )
    p.registry.names = names
    p.proxy_tables.set_ejected(0, True)  # the new module has heard the list, and bound nobody yet
    assert [(message.proxy, message.parts[0].ejected) for message in p.proxy_tables.take_messages()] == [
        (0, [0]),
        (1, [0]),
    ]


def test_a_module_that_starts_over_knows_what_waits_and_gives_no_mark_twice(play):
    p = play()
    p.run(join(0), join(1))
    channel, waited = p.control_cycle.controller.channel, p.control_cycle.controller.channel.unproved_lines()
    assert waited
    p.control_cycle.controller.ejections.update = lambda pending, writer: (
        channel.charge([0], 50) or 1 / 0
    )  # half a round is charged
    assert p.run(EndpointsListed(ListKind.UPDATE, ())) is None
    assert (
        p.control_cycle.controller.channel is channel
        and channel.unproved_lines() == waited
        and not channel.cycle_charges
    )
    p.run()
    tickets = [int(text.split("ticket=")[1].split()[0]) for _, text in p.out]
    assert set(tickets) == {2} and channel.unproved_lines() > waited
    p.run(BatchAcknowledged(0, 2, 1000), BatchAcknowledged(1, 2, 1000))
    assert not channel.unproved_lines()


# --- the loop's turns, with a clock and a loop set by hand ---


class Loop:
    """Calls wait until the test lets them go; `late` seconds pass before the next one is played."""

    def __init__(self):
        self.now, self.waiting, self.calls = 1000 * SECOND, [], []

    def create_future(self):
        return type("Future", (), {"done": lambda self: False})()

    def call_later(self, wait, what):
        handle = type("Handle", (), {"cancel": lambda h: self.waiting.remove((at, what))})()
        at = self.now + wait * 1e6
        self.waiting.append((at, what))
        return handle

    def call_soon(self, what, *values):
        return self.call_later(0, lambda: what(*values))

    def create_task(self, dialing):
        dialing.close()
        return type("Task", (), {"cancel": lambda self: None})()

    def play(self, seconds, late=0.0):
        end = self.now + seconds * 1e6
        while self.waiting and min(at for at, _ in self.waiting) <= end:
            at, what = min(self.waiting, key=lambda w: w[0])
            self.waiting.remove((at, what))
            self.now, late = int(max(self.now, at)) + 1 + round(late * 1e6), 0.0
            what()
        self.now = max(self.now, int(end))


@pytest.fixture
def begun():
    loop = Loop()
    pilot = ControlPlaneServer(GOOD, loop, lambda: loop.now)
    pilot.cycle_scheduler.start()
    pilot.timers.arm()
    return pilot, loop


def test_news_wait_for_the_tick_and_go_in_one_call(begun):
    pilot, loop = begun
    loop.play(1)
    played, seen = [], pilot.control_cycle.controller.run_cycle
    pilot.control_cycle.controller.run_cycle = lambda now, news, orders: (
        played.append((now, sum(isinstance(event, DemandReport) for event in news))),
        seen(now, news, orders),
    )
    for _ in range(4):
        pilot.publish(DemandReport(1, 0, 5, 0, SECOND))
    loop.play(0.0)
    for _ in range(3):
        pilot.publish(DemandReport(1, 0, 5, 0, SECOND))
    loop.play(0.1)
    assert [n for _, n in played[:2]] == [4, 3] and 4000 <= played[1][0] - played[0][0] < 4100


@pytest.mark.parametrize("come, apart", [(True, 60_000), (False, 30_000)])
def test_a_long_round_leaves_the_sockets_as_long_again_while_connections_come(begun, come, apart):
    """Hundreds dial at once when pilots are lost, and the loop takes one connection a turn: those came a round apart.
    Where none comes there is none to wait for, and news need not wait for it."""
    pilot, loop = begun
    loop.play(1)
    began, seen = [], pilot.control_cycle.controller.run_cycle

    def long(now, news, orders):
        began.append(now)
        seen(now, news, orders)
        loop.now += 30_000

    pilot.control_cycle.controller.run_cycle = long
    for n in range(40):
        pilot.counters["accepted"] += come
        pilot.publish(DemandReport(1, 0, 5, 0, SECOND))
        loop.play(0.005)
    assert len(began) > 2 and all(apart <= b - a < apart + 8000 for a, b in zip(began, began[1:]))


def test_a_wake_comes_at_its_time_and_never_in_its_own_round(begun):
    pilot, loop = begun
    loop.play(1)
    woken = []
    pilot.control_cycle.controller.run_cycle = lambda now, news, orders: (
        woken.extend((now, event.key) for event in news if isinstance(event, TimerExpired)),
        [orders.start_timer(now - 5, "past"), orders.start_timer(now + 50_000, "soon")]
        if not woken
        else None,
    )
    start = loop.now
    pilot.publish(DemandReport(1, 0, 5, 0, SECOND))
    loop.play(0.2)
    assert [key for _, key in woken if key != "step"] == ["past", "soon"]
    assert woken[0][0] >= start + 4000 and dict((k, t) for t, k in woken)["soon"] >= start + 50_000


def test_a_deadline_that_fails_stops_no_other(begun):
    pilot, loop = begun
    pilot.timers.set(ConnectionTimeout(None), loop.now + 10)  # names no connection
    pilot.timers.set(ControllerTimer(0, "mine"), loop.now + 20)
    loop.play(1)
    assert pilot.counters["deadlines_failed"] == 1 and pilot.counters["rounds"] > 2


def test_a_reload_moves_discovery_and_loses_nothing(begun):
    pilot, loop = begun
    pilot.publish(ProxyJoined(1, 0, 10.0, True))
    pilot.publish(
        EndpointsListed(ListKind.UPDATE, (ListedEndpoint(0, 0, 0, 0, EndpointState.READY, 4.0, 0),))
    )
    pilot.registry.index_of("s-1")
    loop.play(0.1)
    controller, messages = pilot.control_cycle.controller, pilot.counters["messages_sent"]
    texts = [
        ConfigurationError("expected JSON"),
        ConfigurationError("expected JSON"),
        GOOD | {"discovery": "127.0.0.1:99", "limits": {"sockets": 99}, "known": {"rev": 1, "targets": []}},
    ]

    def again():
        said = texts.pop(0)
        if isinstance(said, ConfigurationError):
            raise said
        return said

    pilot.reloader.read_configuration = again
    pilot.reload()
    assert pilot.registry_client.watch.address == GOOD["discovery"] and pilot.counters["reloads_failed"] == 1
    loop.play(2)  # half written at first, whole in the end
    assert (
        pilot.registry_client.watch.address == "127.0.0.1:99" and pilot.counters["reloads"] == 1 and not texts
    )
    assert (
        pilot.control_cycle.controller is controller and list(pilot.proxy_tables.proxies) == [1] and messages
    )
    assert pilot.counters["messages_sent"] == messages and pilot.configuration["limits"] == GOOD["limits"]


def test_an_old_deadline_ends_no_new_call_that_took_its_number(begun):
    """The round asks anew in the same turn in which the old call was due: the new one has the old one's slot."""
    pilot, loop = begun
    loop.play(1)
    pilot.registry_client.watch_endpoints(True)
    old, asked = pilot.registry_client.watch, []
    pilot.control_cycle.controller.run_cycle = lambda now, news, orders: (
        asked or asked.append(orders.watch_endpoints(True))
    )
    pilot.outgoing_calls.extend(old, 10_000)
    pilot.timers.set(ServerDeadline.CONTROL_CYCLE, loop.now + 9_000)
    loop.play(0.1, late=0.05)
    new = pilot.registry_client.watch
    assert new is not old and old.end is ConnectionEnd.SUPERSEDED and (new.slot, new.end) == (old.slot, None)
    loop.play(10)
    assert new.end is ConnectionEnd.SILENT  # its own deadline holds


@pytest.mark.parametrize(
    "change, told",
    [
        (
            {"azs": ["dc-north", "dc-south"]},
            "settings.azs: expected those that this pilot serves, a, b, not dc-north, dc-south",
        ),
        (
            {"classes": [{"name": "toll"}, {"name": "pay"}]},
            "settings.classes: expected those that this pilot serves, look, pay",
        ),
        ({"azs": ["a"]}, "settings.azs"),
    ],
)
def test_a_reload_of_another_customers_configuration_changes_nothing(begun, change, told):
    pilot, loop = begun
    before = pilot.configuration
    pilot.reloader.read_configuration = lambda: (
        GOOD | {"discovery": "127.0.0.1:99", "settings": SETTINGS | change}
    )
    with pytest.raises(ConfigurationError, match=told):
        configuration.renewed(before, pilot.reloader.read_configuration())
    pilot.reload()
    loop.play(0.01)
    assert pilot.configuration is before
    assert (
        pilot.counters["reloads_failed"] == 1
        and not pilot.counters["reloads"]
        and not pilot.registry_client.address_changes
    )


def test_a_second_reload_takes_the_place_of_one_that_waits_for_its_next_read(begun):
    pilot, loop = begun
    reads = []

    def again():
        reads.append(loop.now)
        if len(reads) < 3:
            raise ConfigurationError("expected JSON")
        return GOOD | {"discovery": "127.0.0.1:99"}

    pilot.reloader.read_configuration = again
    pilot.reload()
    loop.play(0.3)
    pilot.reload()  # a second SIGHUP, and a third that brings the whole file
    pilot.reload()
    loop.play(3)
    assert (
        len(reads) == 3
        and pilot.counters["reloads"] == 1
        and ServerDeadline.RELOAD not in pilot.timers.deadlines
    )


def test_a_reload_with_more_classes_and_zones_is_the_same_deployments(begun):
    pilot, _ = begun
    more = SETTINGS | {"azs": ["c", "b", "a"], "classes": [{"name": "new"}, *SETTINGS["classes"]]}
    new, waiting = configuration.renewed(
        pilot.configuration, GOOD | {"discovery": "127.0.0.1:99", "settings": more}
    )
    assert new["discovery"] == "127.0.0.1:99" and waiting == ["settings.azs", "settings.classes"]


@pytest.mark.parametrize(
    "late, spoke, end",
    [(6.0, True, None), (6.0, False, ConnectionEnd.SILENT), (0.0, False, ConnectionEnd.SILENT)],
)
def test_a_pilot_that_stood_still_reads_before_it_takes_others_for_silent(begun, late, spoke, end):
    pilot, loop = begun
    pilot.registry_client.watch_endpoints(True)
    call = pilot.registry_client.watch
    loop.waiting.clear()
    pilot.timers.loop_timer = None
    pilot.timers.deadlines.heap, pilot.timers.deadlines.deadlines = [], {}
    pilot.timers.set(CallTimeout(call), loop.now + SECOND)
    if spoke:  # its line lay in the socket while the process stood still
        loop.waiting.append((loop.now + SECOND + 1, lambda: pilot.outgoing_calls.extend(call, 5 * SECOND)))
    loop.play(2 + late, late=late)
    assert call.end is end


# --- the configuration, the log, the clock ---

GOOD = {
    "name": "n3",
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:1",
    "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "settings": SETTINGS,
    "known": {"rev": 4, "all": True, "targets": [target("s-1"), target("s-2", "b")]},
}


@pytest.mark.parametrize(
    "change, told",
    [
        ({"listen": "here"}, "listen: expected host:port"),
        ({"discovery": None}, "discovery: expected host:port"),
        ({"discovery": "h:99999"}, "discovery: expected host:port"),
        ({"seed": "xyz"}, "seed: expected hexadecimal"),
        ({"settings": []}, "settings: expected an object"),
        ({"settings": {"azs": ["a"]}}, "settings.classes"),
        ({"settings": SETTINGS | {"classes": ["a"]}}, "settings.classes: expected objects"),
        ({"limits": 5}, "limits: expected an object"),
        ({"limits": {"sockets": "9"}}, "limits.sockets"),
        ({"peers": "a"}, "peers: expected a list"),
        ({"peers": ["a"]}, "peers[0]: expected host:port"),
        ({"peer_listen": 7}, "peer_listen"),
        ({"known": {"rev": 4}}, "known: expected"),
    ],
)
def test_a_wrong_configuration_names_its_field(tmp_path, change, told):
    file = tmp_path / "config.json"
    file.write_text(json.dumps(GOOD | change))
    with pytest.raises(
        configuration.ConfigurationError, match=f"^{told}".replace("[", r"\[").replace("]", r"\]")
    ):
        configuration.read(str(file), {})


@pytest.mark.parametrize(
    "text, told", [(None, "config.json: No such file"), ("{", "expected JSON"), ("[]", "expected an object")]
)
def test_a_configuration_that_is_none(tmp_path, text, told):
    file = tmp_path / "config.json"
    if text is not None:
        file.write_text(text)
    with pytest.raises(configuration.ConfigurationError, match=told):
        configuration.read(None, {"RELAY_CONFIG": str(file)})
    with pytest.raises(configuration.ConfigurationError, match="RELAY_CONFIG"):
        configuration.read(None, {})


def test_variables_fill_in_what_the_file_leaves_out(tmp_path):
    file = tmp_path / "config.json"
    file.write_text(
        json.dumps({k: v for k, v in GOOD.items() if k not in ("listen", "name")} | {"colour": "blue"})
    )
    read = configuration.read(
        str(file), {"RELAY_LISTEN": "127.0.0.1:5", "RELAY_NAME": "n7", "RELAY_DISCOVERY": "x"}
    )
    assert (read["listen"], read["name"], read["discovery"]) == ("127.0.0.1:5", "n7", "127.0.0.1:1")
    assert "n7" in configuration.summary(read)


def test_log_lines_are_bounded_and_a_full_pipe_blocks_nobody():
    written, go = [], threading.Event()

    def write(text):
        go.wait()
        written.append(text)

    class Line(str):
        def __new__(cls, text, second, level=20):
            self = super().__new__(cls, text)
            stamp = type("Time", (), {"timestamp": lambda _: second})()
            self.record = {"time": stamp, "level": type("Level", (), {"no": level})()}
            return self

    sink = logs.Sink(write)
    for n in range(logs.BURST + 500):
        sink(Line(f"{n}\n", 1.0))
    sink(Line("an error\n", 1.0, 40))
    sink(Line("later\n", 3.0))
    go.set()
    sink.finish(10)
    assert len(written) == logs.BURST + 2 and written[-2] == "(500 lines left out) an error\n"
    assert written[-1] == "later\n"


def test_the_clock_counts_whole_microseconds_and_never_goes_back():
    clock = Clock()
    times = [clock() for _ in range(1000)]
    assert times == sorted(times) and all(isinstance(t, int) for t in times)


# --- the program itself, on loopback ---


class Line:
    """A connection to the pilot, read line by line."""

    def __init__(self, port):
        self.socket = socket.create_connection(("127.0.0.1", port), timeout=20)
        self.file = self.socket.makefile("rb")

    def say(self, *said):
        self.socket.sendall(b"".join(s.encode() + b"\r\n" for s in said))
        return self

    def hear(self):
        return self.file.readline().decode().strip()


def begin(file):
    """Starts the pilot at a port that the system gives, and waits until it says which."""
    running = subprocess.Popen(
        [sys.executable, "-m", "ravenshelf", "serve"],
        stderr=subprocess.PIPE,
        text=True,
        env=os.environ | {"RELAY_CONFIG": str(file)},
    )
    while "serves at" not in (line := running.stderr.readline()):
        assert running.poll() is None, line
    return running, int(line.rpartition(":")[2])


@pytest.fixture
def program(tmp_path):
    """The pilot as a process, and a stand-in for discovery that the test answers by hand."""
    discovery = socket.create_server(("127.0.0.1", 0))
    discovery.settimeout(20)
    file = tmp_path / "config.json"
    file.write_text(json.dumps(GOOD | {"discovery": f"127.0.0.1:{discovery.getsockname()[1]}"}))
    running, port = begin(file)
    watch, _ = discovery.accept()  # the first round has been played
    yield running, port, watch
    running.kill()
    running.communicate()
    watch.close()
    discovery.close()


def chunk(said):
    text = json.dumps(said).encode() + b"\n"
    return b"%x\r\n%s\r\n" % (len(text), text)


def test_the_program_binds_follows_the_list_reads_anew_and_stops(program, tmp_path):
    file = tmp_path / "config.json"
    running, port, watch = program
    stranger = Line(port).say("PING")
    assert stranger.hear() == "PONG"
    proxy = Line(port).say("SUBSCRIBE proxy=1 zone=a weight=21.5 fresh=1")
    bound = proxy.hear()
    assert bound.startswith("CONFIG whole=1 lines=s-1:1000") and "ticket=1" in bound
    proxy.say("ACK proxy=1 mark=1 took_ms=3.5")
    asked = watch.recv(4096)
    assert asked.startswith(b"GET /catalog/members?watch=1&after=4 HTTP/1.1\r\n")
    watch.sendall(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        + chunk({"rev": 5, "all": False, "targets": [target("s-3"), target("s-1", state="DRAINING")]})
    )
    changed = proxy.hear()
    assert "s-3:1000" in changed and "s-1:0" in changed
    moved = socket.create_server(("127.0.0.1", 0))
    moved.settimeout(20)
    file.write_text(
        json.dumps(json.loads(file.read_text()) | {"discovery": f"127.0.0.1:{moved.getsockname()[1]}"})
    )
    running.send_signal(signal.SIGHUP)
    watch, _ = moved.accept()
    assert b"after=0" in watch.recv(4096)  # the versions of the address before say nothing here
    watch.close()
    moved.close()
    bad = Line(port).say("SUBSCRIBE proxy=9 zone=a weight=1 fresh=1")
    assert bad.hear() == ""
    running.send_signal(signal.SIGUSR1)
    while "counters:" not in (line := running.stderr.readline()):
        pass
    assert "took_ack=1" in line and "unreadable=1" in line and "proxies=1" in line
    running.send_signal(signal.SIGTERM)
    assert proxy.hear() == "" and running.wait(20) == 0
    assert "counters:" in running.stderr.read()


def test_a_proxy_that_returns_after_the_pilot_was_killed_is_bound_again(program, tmp_path):
    running, port, _ = program
    assert "whole=1" in Line(port).say("SUBSCRIBE proxy=1 zone=a weight=21.5 fresh=0").hear()
    running.kill()
    running.wait(20)
    again, port = begin(tmp_path / "config.json")
    try:
        assert "whole=1" in Line(port).say("SUBSCRIBE proxy=1 zone=a weight=21.5 fresh=0").hear()
    finally:
        again.kill()
        again.communicate()


@pytest.mark.parametrize(
    "arguments, code, told",
    [
        (["version"], 0, "ravenshelf 0."),
        (["--help"], 0, "serve"),
        (["check", "-c", "{good}"], 0, "known endpoints 2"),
        (["check", "-c", "{bad}"], 2, "listen: expected host:port, not None"),
        (["serve", "-c", "{bad}"], 2, "ravenshelf: listen"),
        (["serve", "-c", "{good}", "--log-level", "loud"], 2, "expected one of DEBUG"),
    ],
)
def test_the_command_line(tmp_path, arguments, code, told):
    for name, said in (("good", GOOD), ("bad", {k: v for k, v in GOOD.items() if k != "listen"})):
        (tmp_path / name).write_text(json.dumps(said))
    arguments = [a.format(good=tmp_path / "good", bad=tmp_path / "bad") for a in arguments]
    done = subprocess.run(
        [sys.executable, "-m", "ravenshelf", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        env={k: v for k, v in os.environ.items() if not k.startswith("RELAY_")},
    )
    assert done.returncode == code and told in done.stdout + done.stderr and "Traceback" not in done.stderr
