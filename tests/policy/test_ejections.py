"""Ejections: endpoints that drain or leave, and those that return."""

import pytest
from conftest import endpoint_list, load_report

from ravenshelf.policy.events import EndpointsListed, EndpointState, ListedEndpoint, ListKind
from ravenshelf.time_units import SECOND


@pytest.mark.parametrize(
    "change, ejected",
    [
        (endpoint_list("drrr"), {0}),
        (endpoint_list("-rrr"), {0}),
        (endpoint_list("g", kind=ListKind.UPDATE), {0}),
        (endpoint_list("ddrr"), {0, 1}),
    ],
)
def test_draining_endpoints_are_ejected_at_once_and_removed_from_tables(drive, change, ejected):
    driver = drive()
    driver.send(change)
    assert driver.writer.ejected == ejected and not driver.writer.emptied_tables
    for table in set(driver.writer.bound.values()):
        assert driver.writer.tables[table] and not ejected & set(driver.writer.tables[table])


def test_changes_that_did_not_fit_into_the_channel_are_retried_at_the_next_step(drive):
    driver = drive(service={"messages_per_proxy_limit": 4, "message_count_window_us": 2 * SECOND})
    for states in ("drrr", "rrrr", "drrr"):
        driver.now += SECOND // 10
        driver.send(endpoint_list(states, kind=ListKind.UPDATE))
    driver.run(3)
    assert driver.writer.ejected == {0} and all(
        0 not in driver.writer.tables[table] for table in driver.writer.bound.values()
    )


def test_a_returned_endpoint_is_readmitted_once_no_deferred_table_has_its_old_weight(drive):
    driver = drive()
    driver.run(
        2,
        lambda second: [load_report(zone, endpoint) for zone, endpoint in ((0, 0), (0, 1), (1, 2), (1, 3))],
    )
    table = driver.controller.tables.current_tables[0, 0]
    # The channel has no capacity for any table.
    driver.controller.tables.write = lambda *_: driver.controller.tables.deferred_tables.setdefault(table, 2)
    driver.send(endpoint_list("grrr", kind=ListKind.UPDATE))
    assert driver.writer.ejected == {0} and 0 in driver.writer.tables[table]
    driver.send(
        EndpointsListed(ListKind.UPDATE, (ListedEndpoint(0, 0, 0, 0, EndpointState.READY, 4.0, driver.now),))
    )
    assert driver.writer.ejected == {0}
    del driver.controller.tables.write
    driver.run(1)
    assert driver.writer.ejected == set() and 0 < driver.line_share(0) < 0.3


NOT_BINDING_REMOVAL = {
    "warm_after_us": 16 * SECOND,
    "overload_multiple": 3.0,
    "removal_is_not_binding": True,
}
REMOVAL = endpoint_list("g", kind=ListKind.UPDATE)
# One message in 2 s, which each proxy has got with its table.
ONE_MESSAGE = {"messages_per_proxy_limit": 1, "message_count_window_us": 2 * SECOND}


def assert_endpoint_0_is_withdrawn(driver):
    assert driver.writer.ejected == {0} and not driver.writer.emptied_tables
    assert all(0 not in driver.writer.tables[table] for table in driver.writer.bound.values())


@pytest.mark.parametrize(
    "events",
    [
        (endpoint_list("d", kind=ListKind.UPDATE), REMOVAL),
        (endpoint_list("drrr"), endpoint_list("-rrr")),
        (endpoint_list("drrr", kind=ListKind.RESTORED), endpoint_list("-rrr")),
    ],
    ids=["updates", "complete lists", "a restored list, then a complete one"],
)
def test_a_drain_that_arrives_together_with_its_removal_is_carried_out(drive, events):
    """Guards against a drain that is forgotten because only the endpoint's last state is kept."""
    driver = drive(warm_up=dict(NOT_BINDING_REMOVAL))
    driver.send(*events)
    driver.run(3)
    assert_endpoint_0_is_withdrawn(driver)


def test_a_drain_that_waits_for_messages_is_carried_out_after_its_removal(drive):
    """Guards against a drain that is forgotten because its proxies could get no message in time."""
    driver = drive(warm_up=dict(NOT_BINDING_REMOVAL), service=ONE_MESSAGE)
    driver.send(endpoint_list("drrr"))
    assert driver.controller.ejections.waiting_for_messages == 1 and not driver.writer.ejected
    driver.send(REMOVAL)
    driver.run(5)
    assert_endpoint_0_is_withdrawn(driver)


def test_a_drain_that_waits_for_the_queue_is_carried_out_after_its_removal(drive):
    """Guards against a drain that is forgotten because the channel had no room for it in time."""
    driver = drive(warm_up=dict(NOT_BINDING_REMOVAL))
    driver.controller.channel.queued_lines = 1990.0
    driver.controller.channel.record_uncharged_lines(1990.0)
    driver.send(endpoint_list("drrr"))
    assert driver.controller.ejections.waiting_for_queue == 1 and not driver.writer.ejected
    driver.send(REMOVAL)
    driver.run(30)
    assert_endpoint_0_is_withdrawn(driver)


@pytest.mark.parametrize(
    "events",
    [
        (REMOVAL,),
        (endpoint_list("-rrr"),),
        (endpoint_list("d", kind=ListKind.UPDATE), endpoint_list("r", kind=ListKind.UPDATE), REMOVAL),
    ],
    ids=["an update", "a complete list", "a drain that was taken back"],
)
def test_a_removal_without_a_drain_withdraws_nothing_where_it_does_not_bind(drive, events):
    driver = drive(warm_up=dict(NOT_BINDING_REMOVAL))
    driver.send(*events)
    driver.run(10)
    assert not driver.writer.ejected and driver.line_share(0) > 0.3
