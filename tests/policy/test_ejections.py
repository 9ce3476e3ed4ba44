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
