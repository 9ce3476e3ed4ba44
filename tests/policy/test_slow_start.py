"""Slow start of endpoints and of zones."""

import pytest
from conftest import endpoint_list, load_report

from ravenshelf.policy.events import EndpointsListed, EndpointState, ListedEndpoint, ListKind
from ravenshelf.settings import SECOND


def test_what_returns_is_readmitted_from_its_cold_share(drive):
    driver = drive()
    driver.send(endpoint_list("grrr"))
    driver.run(6)
    driver.send(
        EndpointsListed(ListKind.UPDATE, (ListedEndpoint(0, 0, 0, 0, EndpointState.READY, 4.0, driver.now),))
    )
    assert 0 not in driver.writer.ejected and 0 < driver.line_share(0) < 0.25
    driver.run(40)
    assert driver.line_share(0) == pytest.approx(0.5, abs=0.1)


@pytest.mark.parametrize(
    "rules, share", [({"warm_after_us": 16 * SECOND}, 1.0), ({}, 0.6), ({"warm_after_us": 90 * SECOND}, 0.6)]
)
def test_an_endpoint_counts_in_full_once_it_is_promised_to_be_warm(drive, rules, share):
    c = drive(warm_up=rules | {"cold_capacity_share": 0.2, "overload_multiple": 4.0}).controller
    c.service_time.seconds, e = 0.2, c.endpoints[0]
    e.started_at = c.now - 16 * SECOND
    assert c.slow_start.capacity_share(e, c.now) == pytest.approx(share, abs=0.05)
    e.started_at = c.now - 4 * SECOND
    assert c.slow_start.capacity_share(e, c.now) <= 0.2 + 0.8 * 4 / 16


def test_a_restart_at_full_weight_is_cold_at_once(drive):
    driver = drive()
    driver.run(3)
    driver.send(
        EndpointsListed(ListKind.UPDATE, (ListedEndpoint(0, 0, 0, 0, EndpointState.READY, 4.0, driver.now),))
    )
    assert driver.line_share(0) < 0.25


def test_a_zone_that_comes_back_cold_keeps_sending_most(drive):
    driver = drive()
    driver.send(endpoint_list("ggrr"))
    driver.run(6, lambda second: [load_report(0, i) for i in (2, 3)] + [load_report(1, i) for i in (2, 3)])
    driver.send(
        EndpointsListed(
            ListKind.UPDATE,
            tuple(ListedEndpoint(i, 0, 0, 0, EndpointState.READY, 4.0, driver.now) for i in (0, 1)),
        )
    )
    assert driver.line_share(0) + driver.line_share(1) < 0.5


def test_a_restarted_server_holds_a_zone_back_that_returns_cold(drive):
    driver = drive("-rrr")  # no curve yet, and the first endpoint of the zone to return would get all
    driver.send(
        EndpointsListed(
            ListKind.UPDATE,
            (
                ListedEndpoint(0, 0, 0, 0, EndpointState.READY, 4.0, driver.now),
                ListedEndpoint(1, 0, 0, 0, EndpointState.GONE, 4.0, 0),
            ),
        )
    )
    assert 0 < driver.line_share(0) < 0.3


def test_a_zone_that_returns_is_completely_cold_though_only_part_of_it_is_listed_so(drive):
    driver = drive("rrrr", proxies=2)  # as after a restart: nothing was heard of the zone's own endpoints
    driver.send(
        EndpointsListed(ListKind.UPDATE, (ListedEndpoint(0, 0, 0, 0, EndpointState.READY, 4.0, driver.now),))
    )
    assert driver.line_share(0) + driver.line_share(1) < 0.65 and driver.line_share(0) == pytest.approx(
        driver.line_share(1)
    )


def test_while_no_request_rate_is_known_a_cold_endpoint_gets_little(drive):
    driver = drive()
    driver.send(load_report(0, 1, attempts=2))
    driver.send(
        EndpointsListed(ListKind.UPDATE, (ListedEndpoint(0, 0, 0, 0, EndpointState.READY, 4.0, driver.now),))
    )
    assert 0 < driver.line_share(0) < 0.06


def test_a_start_in_the_future_is_cold_until_then_and_breaks_nothing(drive):
    driver = drive()
    driver.run(5, lambda second: [load_report(i // 2, i) for i in range(4)])
    driver.send(
        EndpointsListed(
            ListKind.UPDATE,
            (ListedEndpoint(0, 0, 0, 0, EndpointState.READY, 4.0, driver.now + 3600 * SECOND),),
        )
    )
    driver.run(5, lambda second: [load_report(i // 2, i) for i in range(4)])
    assert 0 < driver.line_share(0) < driver.line_share(1) and not driver.writer.emptied_tables


def test_a_cold_endpoint_that_started_before_the_server_gets_little(drive):
    """A server that was killed and starts again knows neither what others send it nor what the fleet can
    do.
    """
    shares = []
    for age in (2 * SECOND, -1 * SECOND):  # the endpoint's start before and after the first report
        driver = drive(
            proxies=4,
            warm_up={"cold_capacity_share": 0.2, "overload_multiple": 2.5, "warm_after_us": 16 * SECOND},
        )
        started = driver.now - age
        driver.run(1, lambda second: [load_report(z, i) for z, i in ((0, 0), (0, 1), (1, 2), (1, 3))])
        entries = tuple(
            ListedEndpoint(i, i // 2, 0, 0, EndpointState.READY, 4.0, started if i == 0 else 0)
            for i in range(4)
        )
        driver.now = max(driver.now, started + 4 * SECOND)
        driver.send(EndpointsListed(ListKind.REPLACE, entries))
        driver.now = started + 5 * SECOND
        driver.controller.plan(driver.writer, 2)
        shares.append(driver.line_share(0))
    assert 0 < shares[0] < 0.6 * shares[1]
