"""The client of the endpoint registry."""

import pytest
from conftest import target
from registry_doubles import Service

from ravenshelf.net.connection_end import ConnectionEnd
from ravenshelf.policy.events import (
    EndpointState,
    ListKind,
    WatchFailed,
)
from ravenshelf.process.registry_client import RETRY_DELAY_US
from ravenshelf.settings import SECOND


@pytest.fixture
def service():
    return Service()


def test_a_watch_publishes_changes_until_it_ends(service):
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
def test_a_watch_without_changes_publishes_one_answer(service, first):
    service.discovery.watch_endpoints(True)
    first(service.calls[-1])
    service.calls[-1].on_line(service.calls[-1], b"")
    assert service.told == [(ListKind.UPDATE, [])]


@pytest.mark.parametrize("said", [b"{", b"[1]", b'{"rev":9}', b"\xff"])
def test_an_unreadable_watch_has_failed(service, said):
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
        ConnectionEnd.NO_CAPACITY,
    ],
)
def test_each_failed_call_is_reported_once_and_the_list_stays(service, purpose, end):
    service.discovery.watch_endpoints(True) if purpose == "observe" else service.discovery.fetch()
    service.calls[-1].close(end)
    assert service.told == [WatchFailed()] and list(service.registry.entries) == [0]


def test_a_new_watch_supersedes_the_old_one_without_an_event(service):
    service.discovery.watch_endpoints(True)
    service.discovery.watch_endpoints(True)
    old, new = service.calls
    old.says(9, target("s-9"))
    assert old.end is ConnectionEnd.SUPERSEDED and service.told == []
    new.says(7)
    service.discovery.watch_endpoints(False)
    assert service.told == [(ListKind.UPDATE, [])] and new.end is ConnectionEnd.SUPERSEDED


def test_the_former_watch_is_closed_only_when_the_new_address_answers(service):
    client, old = service.discovery, service.watched()
    client.address_changed()
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
def test_lower_versions_at_a_new_address_are_taken(service, whole):
    client = service.discovery
    service.watched().close(ConnectionEnd.RESET)
    client.address_changed()
    service.calls[-1].says(2, target("s-2"), all=whole)
    if not whole:  # changes since which version of ours can't be told: the next call asks for all
        client.watch_endpoints(True)
        assert service.calls[-1].path.endswith("after=0")
        service.calls[-1].says(2, target("s-2"), all=True)
    assert service.registry.version == 2 and service.told[-1] == (
        ListKind.REPLACE,
        [(1, EndpointState.READY)],
    )


def test_a_new_address_that_fails_is_dialed_again(service):
    client = service.discovery
    client.watch_endpoints(True)
    old = service.calls[-1]
    client.address_changed()
    service.calls[-1].close(ConnectionEnd.REFUSED)
    assert service.told[-1] == WatchFailed()
    old.close(ConnectionEnd.RESET)
    client.watch_endpoints(True)
    assert service.told.count(WatchFailed()) == 1 and len(service.calls) == 3


def test_the_former_watch_is_read_until_the_new_address_answers_whatever_is_requested(service):
    client, old = service.discovery, service.watched()
    client.address_changed()
    service.calls[-1].close(ConnectionEnd.REFUSED)
    client.watch_endpoints(True)  # the module asks again
    old.says(7, target("s-3"))
    assert old.end is None and service.told[-1] == (ListKind.UPDATE, [(2, EndpointState.READY)])
    new = service.calls[-1]
    new.on_line(new, b"<html>")  # no answer
    assert old.end is None and new.end is ConnectionEnd.UNREADABLE
    client.watch_endpoints(True)
    service.calls[-1].on_line(service.calls[-1], b"")
    assert old.end is None  # its list is still to come
    service.calls[-1].says(3, target("s-3"), all=True)
    assert old.end is ConnectionEnd.SUPERSEDED and list(service.registry.entries) == [2]


def test_a_second_address_change_keeps_the_watch_that_answered(service):
    client, first = service.discovery, service.watched()
    client.address_changed()
    between = service.calls[-1]
    client.address_changed()
    assert (first.end, between.end, service.calls[-1].end) == (None, ConnectionEnd.SUPERSEDED, None)
    first.says(7, target("s-3"))
    assert service.told[-1] == (ListKind.UPDATE, [(2, EndpointState.READY)])


def test_lists_from_elsewhere_never_leave_the_server_without_a_watch(service):
    """Any list is an answer to the module, which asks no more: so the watch that failed begins by itself."""
    client, old = service.discovery, service.watched()
    client.address_changed()
    service.calls[-1].close(ConnectionEnd.REFUSED)
    old.says(7, target("s-3"))
    old.close(ConnectionEnd.CLOSED)
    assert len(service.calls) == 2 and [
        RETRY_DELAY_US / 2 <= wait <= RETRY_DELAY_US for wait in service.again
    ] == [True]
    client.open_watch_if_due()
    assert service.calls[-1].path == "/catalog/members?watch=1&after=0"
    service.calls[-1].close(ConnectionEnd.REFUSED)
    client.fetch()
    service.calls[-1].answers(8, target("s-1"))
    assert len(service.again) == 2
    client.watch_endpoints(False)
    client.open_watch_if_due()
    assert client.watch is None


def test_the_answer_of_a_former_address_is_not_taken(service):
    client = service.discovery
    client.watch_endpoints(True)
    client.fetch()
    fetch = service.calls[-1]
    client.address_changed()
    service.calls[-1].says(2, target("s-1"), all=True)
    fetch.answers(50, target("s-2"))
    assert (
        service.registry.version == 2
        and list(service.registry.entries) == [0]
        and service.told[-1] == WatchFailed()
    )


@pytest.mark.parametrize("rev", [5, 9])
def test_versions_of_a_new_address_that_equal_ours_hide_no_change(service, rev):
    """Ours is 5 and says that s-1 is ready; at the new address it drained long before its own version 5."""
    client = service.discovery
    client.watch_endpoints(True)
    service.calls[-1].on_line(service.calls[-1], b"")
    client.address_changed()
    assert service.calls[-1].path.endswith("after=0")
    service.calls[-1].says(rev, target("s-1", state="DRAINING"), target("s-2"))
    assert (
        service.told[-1] == (ListKind.UPDATE, [(0, EndpointState.DRAINING), (1, EndpointState.READY)])
        and service.registry.version == rev
    )


def test_a_fetch_and_a_watch_at_the_same_time(service):
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


def test_malformed_entries_remove_no_endpoint(service):
    service.discovery.fetch()
    service.calls[-1].answers(6, target("s-1", state="ASLEEP"), target("s-2"))
    assert sorted(service.registry.entries) == [0, 1] and service.counters["list_entries_malformed"] == 1
    service.discovery.fetch()
    service.calls[-1].answers(7, target("s-2"), 5)
    assert sorted(service.registry.entries) == [0, 1]


def test_the_last_entry_of_an_endpoint_listed_twice_counts(service):
    service.discovery.fetch()
    service.calls[-1].answers(
        6, target("s-1", az="a"), target("s-2"), target("s-1", az="b", state="DRAINING")
    )
    assert {index: (entry.zone, entry.state) for index, entry in service.registry.entries.items()} == {
        0: (1, EndpointState.DRAINING),
        1: (0, EndpointState.READY),
    }
    assert service.told[-1][1] == [(0, EndpointState.DRAINING), (1, EndpointState.READY)]


def test_an_older_list_changes_nothing_and_is_an_answer(service):
    service.discovery.fetch()
    service.calls[-1].answers(4, target("s-2"))
    assert (
        sorted(service.registry.entries) == [0]
        and service.registry.version == 5
        and service.counters["lists_outdated"] == 1
    )
    assert service.told == [(ListKind.UPDATE, [])]


@pytest.mark.parametrize("whole", [True, False])
def test_a_restored_registry_is_taken_once_its_list_cannot_be_late(service, whole):
    client = service.discovery
    client.watch_endpoints(True)
    service.calls[-1].says(9, target("s-2"))
    service.now += 6 * SECOND
    service.calls[-1].says(3, target("s-1"), all=True)  # as late as lists may be
    assert service.registry.version == 9 and sorted(service.registry.entries) == [0, 1]
    service.now += 25 * SECOND
    service.calls[-1].says(4, target("s-1", state="DRAINING"), all=whole)
    if not whole:  # changes to a list that we do not have: it asks for all
        assert service.calls[-1].end is ConnectionEnd.UNREADABLE and service.told[-1] == WatchFailed()
        client.watch_endpoints(True)
        assert service.calls[-1].path.endswith("after=0")
        service.calls[-1].says(4, target("s-1", state="DRAINING"), all=True)
    assert service.registry.version == 4 and service.told[-1] == (
        ListKind.REPLACE,
        [(0, EndpointState.DRAINING)],
    )
    service.calls[-1].says(5, target("s-3"))
    assert service.told[-1] == (ListKind.UPDATE, [(2, EndpointState.READY)])


def test_a_change_of_an_endpoint_never_listed_is_taken_and_its_end_forgotten(service):
    service.discovery.open_watch()
    service.calls[-1].says(
        6, target("s-9", state="DELETED"), target("s-2", boot_ms=4e12)
    )  # gone; starts in the future
    assert [e.state for e in service.registry.entries.values()] == [
        EndpointState.READY
    ] * 2 and not service.counters["list_entries_malformed"]


def test_a_pushed_list_is_watched_without_a_request():
    service = Service(pushed=True)
    service.discovery.watch_endpoints(True)
    assert not service.calls
    service.discovery.open_watch()
    service.calls[-1].close(ConnectionEnd.RESET)
    assert service.told == [] and service.again
