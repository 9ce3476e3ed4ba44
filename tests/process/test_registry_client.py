"""The client of the endpoint registry: watches, fetches, changes of address, versions and malformed lists."""

import pytest
from conftest import target
from registry_doubles import RegistryClientDriver

from ravenshelf.net.connection_end import ConnectionEnd
from ravenshelf.policy.events import (
    EndpointState,
    ListKind,
    WatchFailed,
)
from ravenshelf.process.registry_client import IDLE_TIMEOUT_US, RETRY_DELAY_US
from ravenshelf.time_units import SECOND


@pytest.fixture
def driver():
    return RegistryClientDriver()


def test_a_watch_publishes_changes_until_it_ends(driver):
    driver.registry_client.watch_endpoints(True)
    watch = driver.calls[-1]
    assert watch.path == "/catalog/members?watch=1&after=5" and not driver.events
    watch.send_list(7, target("s-1", state="DRAINING"))
    watch.on_line(watch, b"")
    watch.send_list(8, target("s-1", state="DELETED"), target("s-2"))
    watch.close(ConnectionEnd.RESET)
    assert driver.extended_calls == [watch] * 3  # each line, even an empty one, extends the idle timeout
    assert driver.events == [
        (ListKind.UPDATE, [(0, EndpointState.DRAINING)]),
        (ListKind.UPDATE, [(0, EndpointState.GONE), (1, EndpointState.READY)]),
        WatchFailed(),
    ]


@pytest.mark.parametrize(
    "send_first_line",
    [
        lambda watch: watch.on_line(watch, b""),
        lambda watch: watch.send_list(5),
        lambda watch: watch.send_list(3, is_complete=True),
    ],
    ids=["an empty line", "no change", "an older list"],
)
def test_a_watch_without_changes_publishes_one_answer(driver, send_first_line):
    driver.registry_client.watch_endpoints(True)
    send_first_line(driver.calls[-1])
    driver.calls[-1].on_line(driver.calls[-1], b"")
    assert driver.events == [(ListKind.UPDATE, [])]


@pytest.mark.parametrize("line", [b"{", b"[1]", b'{"rev":9}', b"\xff"])
def test_an_unreadable_watch_has_failed(driver, line):
    driver.registry_client.watch_endpoints(True)
    driver.calls[-1].on_line(driver.calls[-1], line)
    assert (
        driver.events == [WatchFailed()]
        and driver.calls[-1].end is ConnectionEnd.UNREADABLE
        and driver.registry.version == 5
    )


@pytest.mark.parametrize("purpose", ["watch", "fetch"])
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
def test_each_failed_call_is_reported_once_and_the_list_stays(driver, purpose, end):
    driver.registry_client.watch_endpoints(True) if purpose == "watch" else driver.registry_client.fetch()
    driver.calls[-1].close(end)
    assert driver.events == [WatchFailed()] and list(driver.registry.entries) == [0]


def test_a_new_watch_supersedes_the_old_one_without_an_event(driver):
    driver.registry_client.watch_endpoints(True)
    driver.registry_client.watch_endpoints(True)
    old_watch, new_watch = driver.calls
    old_watch.send_list(9, target("s-9"))
    assert old_watch.end is ConnectionEnd.SUPERSEDED and driver.events == []
    new_watch.send_list(7)
    driver.registry_client.watch_endpoints(False)
    assert driver.events == [(ListKind.UPDATE, [])] and new_watch.end is ConnectionEnd.SUPERSEDED


def test_the_former_watch_is_closed_only_when_the_new_address_answers(driver):
    client, old_watch = driver.registry_client, driver.open_answered_watch()
    client.address_changed()
    new_watch = driver.calls[-1]
    old_watch.send_list(7, target("s-3"))  # changes at the old address are still received
    assert (
        new_watch.path.endswith("after=0")
        and old_watch.end is None
        and driver.events[-1] == (ListKind.UPDATE, [(2, EndpointState.READY)])
    )
    new_watch.send_list(7, target("s-3"))
    assert (
        old_watch.end is ConnectionEnd.SUPERSEDED
        and new_watch.end is None
        and WatchFailed() not in driver.events
    )
    new_watch.send_list(8, target("s-2", state="DRAINING"))
    assert driver.events[-1] == (ListKind.UPDATE, [(1, EndpointState.DRAINING)])


@pytest.mark.parametrize("has_complete_list", [True, False])
def test_lower_versions_at_a_new_address_are_accepted(driver, has_complete_list):
    client = driver.registry_client
    driver.open_answered_watch().close(ConnectionEnd.RESET)
    client.address_changed()
    driver.calls[-1].send_list(2, target("s-2"), is_complete=has_complete_list)
    # After changes to an unknown list, the next watch requests the complete list.
    if not has_complete_list:
        client.watch_endpoints(True)
        assert driver.calls[-1].path.endswith("after=0")
        driver.calls[-1].send_list(2, target("s-2"), is_complete=True)
    assert driver.registry.version == 2 and driver.events[-1] == (
        ListKind.REPLACE,
        [(1, EndpointState.READY)],
    )


def test_a_new_address_that_fails_is_dialed_again(driver):
    client = driver.registry_client
    client.watch_endpoints(True)
    old_watch = driver.calls[-1]
    client.address_changed()
    driver.calls[-1].close(ConnectionEnd.REFUSED)
    assert driver.events[-1] == WatchFailed()
    old_watch.close(ConnectionEnd.RESET)
    client.watch_endpoints(True)
    assert driver.events.count(WatchFailed()) == 1 and len(driver.calls) == 3


def test_a_request_of_the_controller_does_not_close_the_former_watch(driver):
    client, old_watch = driver.registry_client, driver.open_answered_watch()
    client.address_changed()
    driver.calls[-1].close(ConnectionEnd.REFUSED)
    client.watch_endpoints(True)  # the controller requests a new watch
    old_watch.send_list(7, target("s-3"))
    assert old_watch.end is None and driver.events[-1] == (ListKind.UPDATE, [(2, EndpointState.READY)])
    new_watch = driver.calls[-1]
    new_watch.on_line(new_watch, b"<html>")  # This line is not valid.
    assert old_watch.end is None and new_watch.end is ConnectionEnd.UNREADABLE
    client.watch_endpoints(True)
    driver.calls[-1].on_line(driver.calls[-1], b"")
    assert old_watch.end is None  # the complete list from the new address has not arrived yet
    driver.calls[-1].send_list(3, target("s-3"), is_complete=True)
    assert old_watch.end is ConnectionEnd.SUPERSEDED and list(driver.registry.entries) == [2]


def test_a_second_address_change_keeps_the_watch_that_answered(driver):
    client, answered_watch = driver.registry_client, driver.open_answered_watch()
    client.address_changed()
    unanswered_watch = driver.calls[-1]
    client.address_changed()
    assert (answered_watch.end, unanswered_watch.end, driver.calls[-1].end) == (
        None,
        ConnectionEnd.SUPERSEDED,
        None,
    )
    answered_watch.send_list(7, target("s-3"))
    assert driver.events[-1] == (ListKind.UPDATE, [(2, EndpointState.READY)])


def test_a_list_from_another_source_does_not_leave_the_server_without_a_watch(driver):
    """Any list answers the controller's request, so it requests no watch again after one has failed.

    The client must therefore open the next watch by itself.
    """
    client, old_watch = driver.registry_client, driver.open_answered_watch()
    client.address_changed()
    driver.calls[-1].close(ConnectionEnd.REFUSED)
    old_watch.send_list(7, target("s-3"))
    old_watch.close(ConnectionEnd.CLOSED)
    assert len(driver.calls) == 2 and [
        RETRY_DELAY_US / 2 <= wait <= RETRY_DELAY_US for wait in driver.watch_delays_us
    ] == [True]
    client.open_watch_if_due()
    assert driver.calls[-1].path == "/catalog/members?watch=1&after=0"
    driver.calls[-1].close(ConnectionEnd.REFUSED)
    client.fetch()
    driver.calls[-1].respond(8, target("s-1"))
    assert len(driver.watch_delays_us) == 2
    client.watch_endpoints(False)
    client.open_watch_if_due()
    assert client.watches.current is None


def test_the_response_of_a_former_address_is_ignored(driver):
    client = driver.registry_client
    client.watch_endpoints(True)
    client.fetch()
    fetch = driver.calls[-1]
    client.address_changed()
    driver.calls[-1].send_list(2, target("s-1"), is_complete=True)
    fetch.respond(50, target("s-2"))
    assert (
        driver.registry.version == 2
        and list(driver.registry.entries) == [0]
        and driver.events[-1] == WatchFailed()
    )


@pytest.mark.parametrize("new_version", [5, 9])
def test_equal_versions_at_a_new_address_hide_no_change(driver, new_version):
    """A new address may use the server's current version number for another list.

    The server has s-1 as ready in version 5. At the new address, s-1 was draining before its version 5.
    """
    client = driver.registry_client
    client.watch_endpoints(True)
    driver.calls[-1].on_line(driver.calls[-1], b"")
    client.address_changed()
    assert driver.calls[-1].path.endswith("after=0")
    driver.calls[-1].send_list(new_version, target("s-1", state="DRAINING"), target("s-2"))
    assert (
        driver.events[-1] == (ListKind.UPDATE, [(0, EndpointState.DRAINING), (1, EndpointState.READY)])
        and driver.registry.version == new_version
    )


def test_a_fetch_and_a_watch_at_the_same_time_apply_the_newer_list(driver):
    driver.registry_client.watch_endpoints(True)
    driver.registry_client.fetch()
    watch, fetch = driver.calls
    watch.send_list(7, target("s-2"))
    fetch.respond(6, target("s-1"))  # This list is older than that of the watch.
    assert driver.events[-1] == (ListKind.UPDATE, []) and sorted(driver.registry.entries) == [
        0,
        1,
    ]
    driver.registry_client.fetch()
    driver.calls[-1].respond(9, target("s-2"))  # This list is newer, and removes s-1.
    watch.send_list(8, target("s-1"))  # This update is older, and is ignored.
    assert driver.events[-1] == (ListKind.REPLACE, [(1, EndpointState.READY)]) and list(
        driver.registry.entries
    ) == [1]
    watch.send_list(10, target("s-3"))
    assert driver.events[-1] == (ListKind.UPDATE, [(2, EndpointState.READY)])


def test_malformed_entries_remove_no_endpoint(driver):
    driver.registry_client.fetch()
    driver.calls[-1].respond(6, target("s-1", state="ASLEEP"), target("s-2"))
    assert sorted(driver.registry.entries) == [0, 1] and driver.counters["list_entries_malformed"] == 1
    driver.registry_client.fetch()
    driver.calls[-1].respond(7, target("s-2"), 5)
    assert sorted(driver.registry.entries) == [0, 1]


def test_the_last_entry_of_an_endpoint_listed_twice_counts(driver):
    driver.registry_client.fetch()
    driver.calls[-1].respond(6, target("s-1", az="a"), target("s-2"), target("s-1", az="b", state="DRAINING"))
    assert {index: (entry.zone, entry.state) for index, entry in driver.registry.entries.items()} == {
        0: (1, EndpointState.DRAINING),
        1: (0, EndpointState.READY),
    }
    assert driver.events[-1][1] == [(0, EndpointState.DRAINING), (1, EndpointState.READY)]


def test_an_older_list_changes_nothing_and_is_an_answer(driver):
    driver.registry_client.fetch()
    driver.calls[-1].respond(4, target("s-2"))
    assert (
        sorted(driver.registry.entries) == [0]
        and driver.registry.version == 5
        and driver.counters["lists_outdated"] == 1
    )
    assert driver.events == [(ListKind.UPDATE, [])]


@pytest.mark.parametrize("has_complete_list", [True, False])
def test_a_restored_registry_is_accepted_once_its_list_cannot_be_a_delayed_one(driver, has_complete_list):
    client = driver.registry_client
    client.watch_endpoints(True)
    driver.calls[-1].send_list(9, target("s-2"))
    driver.now += 6 * SECOND
    driver.calls[-1].send_list(3, target("s-1"), is_complete=True)  # A list may arrive as late as this.
    assert driver.registry.version == 9 and sorted(driver.registry.entries) == [0, 1]
    driver.now += 25 * SECOND
    driver.calls[-1].send_list(4, target("s-1", state="DRAINING"), is_complete=has_complete_list)
    if not has_complete_list:  # The update refers to a list that the server does not have.
        assert driver.calls[-1].end is ConnectionEnd.UNREADABLE and driver.events[-1] == WatchFailed()
        client.watch_endpoints(True)
        assert driver.calls[-1].path.endswith("after=0")
        driver.calls[-1].send_list(4, target("s-1", state="DRAINING"), is_complete=True)
    assert driver.registry.version == 4 and driver.events[-1] == (
        ListKind.REPLACE,
        [(0, EndpointState.DRAINING)],
    )
    driver.calls[-1].send_list(5, target("s-3"))
    assert driver.events[-1] == (ListKind.UPDATE, [(2, EndpointState.READY)])


def test_an_update_of_an_unlisted_endpoint_is_accepted_and_its_removal_ignored(driver):
    driver.registry_client.open_watch()
    driver.calls[-1].send_list(
        6, target("s-9", state="DELETED"), target("s-2", boot_ms=4e12)
    )  # s-9 is removed; s-2 has a start time in the future
    assert [entry.state for entry in driver.registry.entries.values()] == [
        EndpointState.READY
    ] * 2 and not driver.counters["list_entries_malformed"]


def test_a_pushed_list_is_watched_without_a_request():
    driver = RegistryClientDriver(is_pushed=True)
    driver.registry_client.watch_endpoints(True)
    assert not driver.calls
    driver.registry_client.open_watch()
    driver.calls[-1].close(ConnectionEnd.RESET)
    assert driver.events == [] and driver.watch_delays_us


def open_silent_watch(driver):
    """Return a new watch that has received nothing."""
    driver.registry_client.watch_endpoints(True)
    driver.calls[-1].status = 0
    return driver.calls[-1]


def redial(driver):
    """Let the redial interval pass, and return the attempt that is opened."""
    driver.now += driver.redial_delays_us[-1]
    driver.registry_client.redial()
    driver.calls[-1].status = 0
    return driver.calls[-1]


@pytest.mark.parametrize("answering", [0, 1, 2])
def test_the_first_attempt_that_answers_becomes_the_watch_and_the_others_are_closed(driver, answering):
    """Guards against a wait for a connection that was made during a cut and never answers."""
    open_silent_watch(driver)
    redial(driver)
    redial(driver)
    assert len(driver.calls) == 3 and not driver.events and all(call.end is None for call in driver.calls)
    driver.calls[answering].send_list(6, target("s-2"))
    assert [call.end for call in driver.calls] == [
        None if number == answering else ConnectionEnd.SUPERSEDED for number in range(3)
    ]
    assert driver.events == [(ListKind.UPDATE, [(1, EndpointState.READY)])]
    assert driver.redial_delays_us[-1] == IDLE_TIMEOUT_US


def test_attempts_that_fail_are_reported_once_when_the_last_has_failed(driver):
    open_silent_watch(driver)
    redial(driver)
    driver.calls[1].close(ConnectionEnd.RESET)
    assert driver.events == [] and driver.registry_client.watches.current is driver.calls[0]
    driver.calls[0].close(ConnectionEnd.SILENT)
    assert driver.events == [WatchFailed()] and driver.counters["discovery_reset"] == 1


def test_an_attempt_without_a_slot_takes_that_of_the_oldest_one(driver):
    """Guards against dead connections of a cut that take all slots for calls."""
    open_silent_watch(driver)
    for _ in range(3):
        redial(driver)
    driver.calls[3].close(ConnectionEnd.NO_CAPACITY)
    assert [call.end for call in driver.calls[:3]] == [ConnectionEnd.SUPERSEDED, None, None]
    assert driver.events == [] and driver.registry_client.watches.current is driver.calls[2]


@pytest.mark.parametrize(
    "end, seconds, is_redialed",
    [
        (ConnectionEnd.RESET, 0, True),
        (ConnectionEnd.SILENT, 0, True),
        (ConnectionEnd.UNREACHABLE, 0, True),
        (ConnectionEnd.REFUSED, 2, True),  # a reset that answers a connection of a cut
        (ConnectionEnd.REFUSED, 0, False),
        (ConnectionEnd.DECLINED, 0, False),
        (ConnectionEnd.CUT_OFF, 0, False),
    ],
)
def test_a_registry_that_was_reached_is_left_to_the_backoff_of_the_controller(
    driver, end, seconds, is_redialed
):
    """Guards against calls at the short interval to a registry that is overloaded or restarts."""
    watch = open_silent_watch(driver)
    driver.now += seconds * SECOND
    watch.close(end)
    assert driver.events == [WatchFailed()] and (driver.redial_delays_us[-1] is not None) == is_redialed


def test_an_attempt_whose_response_has_begun_is_not_repeated_before_it_is_silent(driver):
    """The first line may be an empty one, which is due after 2 s only."""
    driver.registry_client.watch_endpoints(True)
    driver.now += driver.redial_delays_us[-1]
    driver.registry_client.redial()
    assert len(driver.calls) == 1 and driver.now + driver.redial_delays_us[-1] == IDLE_TIMEOUT_US
    driver.now += driver.redial_delays_us[-1]
    driver.registry_client.redial()
    assert len(driver.calls) == 2


def test_a_move_of_the_registry_ends_attempts_at_the_old_address(driver):
    client, answered_watch = driver.registry_client, driver.open_answered_watch()
    driver.now += IDLE_TIMEOUT_US
    client.redial()
    attempt = redial(driver)
    client.address_changed()
    assert answered_watch.end is None and attempt.end is ConnectionEnd.SUPERSEDED
    assert {answered_watch, driver.calls[-1]} == client.watches.calls()
    # The watch at the old address is read, but does not replace the one at the new address.
    answered_watch.send_list(7, target("s-3"))
    assert client.watches.current is driver.calls[-1] and driver.calls[-1].end is None


@pytest.mark.parametrize("replaces", ["silence", "move"])
@pytest.mark.parametrize("is_complete", [True, False])
def test_a_drain_that_a_replaced_watch_brings_late_is_not_lost(replaces, is_complete):
    """Guards against an endpoint whose drain arrives only after a newer list that lacks the endpoint."""
    driver = RegistryClientDriver(reads_late_drains=True)
    client, old_watch = driver.registry_client, driver.open_answered_watch()
    driver.now += IDLE_TIMEOUT_US
    client.redial() if replaces == "silence" else client.address_changed()
    entries = [target("s-2")] if is_complete else [target("s-1", state="DELETED")]
    driver.calls[-1].send_list(8, *entries, is_complete=is_complete)
    assert old_watch.end is None
    old_watch.send_list(7, target("s-1", state="DRAINING"), target("s-2", state="DRAINING"))
    assert driver.events[-1] == (ListKind.UPDATE, [(0, EndpointState.DRAINING), (0, EndpointState.GONE)])
    assert driver.registry.version == 8 and list(driver.registry.entries) == [1]
    event_count = len(driver.events)
    old_watch.send_list(8, target("s-1", state="DELETED"), target("s-3"))
    old_watch.on_line(old_watch, b"{")
    old_watch.close(ConnectionEnd.SILENT)
    assert len(driver.events) == event_count and client.watches.calls() == {driver.calls[-1]}
