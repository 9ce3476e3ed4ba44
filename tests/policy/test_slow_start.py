"""Slow start of endpoints and of whole zones."""

import pytest
from conftest import endpoint_list, load_report

from ravenshelf.policy.events import EndpointsListed, EndpointState, ListedEndpoint, ListKind
from ravenshelf.time_units import SECOND


def test_a_returning_endpoint_is_readmitted_with_its_cold_share(drive):
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
    "warm_up_settings, share",
    [({"warm_after_us": 16 * SECOND}, 1.0), ({}, 0.6), ({"warm_after_us": 90 * SECOND}, 0.6)],
)
def test_an_endpoint_has_its_full_share_after_the_warm_up_time_of_the_settings(
    drive, warm_up_settings, share
):
    server_controller = drive(
        warm_up=warm_up_settings | {"cold_capacity_share": 0.2, "overload_multiple": 4.0}
    ).controller
    server_controller.service_time.seconds, endpoint = 0.2, server_controller.endpoints[0]
    endpoint.started_at = server_controller.now - 16 * SECOND
    assert server_controller.slow_start.capacity_share(endpoint, server_controller.now) == pytest.approx(
        share, abs=0.05
    )
    endpoint.started_at = server_controller.now - 4 * SECOND
    assert server_controller.slow_start.capacity_share(endpoint, server_controller.now) <= 0.2 + 0.8 * 4 / 16


def test_a_restarted_endpoint_is_cold_at_once(drive):
    driver = drive()
    driver.run(3)
    driver.send(
        EndpointsListed(ListKind.UPDATE, (ListedEndpoint(0, 0, 0, 0, EndpointState.READY, 4.0, driver.now),))
    )
    assert driver.line_share(0) < 0.25


def test_a_zone_that_returns_cold_still_spills_most_of_its_demand(drive):
    driver = drive()
    driver.send(endpoint_list("ggrr"))
    driver.run(
        6,
        lambda second: (
            [load_report(0, endpoint) for endpoint in (2, 3)]
            + [load_report(1, endpoint) for endpoint in (2, 3)]
        ),
    )
    driver.send(
        EndpointsListed(
            ListKind.UPDATE,
            tuple(
                ListedEndpoint(endpoint, 0, 0, 0, EndpointState.READY, 4.0, driver.now) for endpoint in (0, 1)
            ),
        )
    )
    assert driver.line_share(0) + driver.line_share(1) < 0.5


def test_a_restarted_server_limits_the_first_endpoint_of_a_zone_that_returns_cold(drive):
    """The zone has no miss curve yet, and its first endpoint would get all of its demand."""
    driver = drive("-rrr")
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


def test_a_returning_zone_is_entirely_cold_though_only_some_endpoints_are_listed_as_restarted(drive):
    """The server has no reports of the zone's own endpoints, as after its restart."""
    driver = drive("rrrr", proxies=2)
    driver.send(
        EndpointsListed(ListKind.UPDATE, (ListedEndpoint(0, 0, 0, 0, EndpointState.READY, 4.0, driver.now),))
    )
    assert driver.line_share(0) + driver.line_share(1) < 0.65 and driver.line_share(0) == pytest.approx(
        driver.line_share(1)
    )


def test_a_cold_endpoint_gets_little_while_the_service_time_is_unknown(drive):
    driver = drive()
    driver.send(load_report(0, 1, attempts=2))
    driver.send(
        EndpointsListed(ListKind.UPDATE, (ListedEndpoint(0, 0, 0, 0, EndpointState.READY, 4.0, driver.now),))
    )
    assert 0 < driver.line_share(0) < 0.06


def test_an_endpoint_with_a_start_time_in_the_future_counts_as_cold(drive):
    driver = drive()
    driver.run(5, lambda second: [load_report(endpoint // 2, endpoint) for endpoint in range(4)])
    driver.send(
        EndpointsListed(
            ListKind.UPDATE,
            (ListedEndpoint(0, 0, 0, 0, EndpointState.READY, 4.0, driver.now + 3600 * SECOND),),
        )
    )
    driver.run(5, lambda second: [load_report(endpoint // 2, endpoint) for endpoint in range(4)])
    assert 0 < driver.line_share(0) < driver.line_share(1) and not driver.writer.emptied_tables


def test_a_cold_endpoint_that_started_before_the_server_gets_less(drive):
    """A restarted server knows neither the requests of other servers nor the capacity of the endpoints."""
    line_shares = []
    # The endpoint starts before the first load report, and then after it.
    for age in (2 * SECOND, -1 * SECOND):
        driver = drive(
            proxies=4,
            warm_up={"cold_capacity_share": 0.2, "overload_multiple": 2.5, "warm_after_us": 16 * SECOND},
        )
        started_at = driver.now - age
        driver.run(
            1,
            lambda second: [
                load_report(zone, endpoint) for zone, endpoint in ((0, 0), (0, 1), (1, 2), (1, 3))
            ],
        )
        entries = tuple(
            ListedEndpoint(
                endpoint, endpoint // 2, 0, 0, EndpointState.READY, 4.0, started_at if endpoint == 0 else 0
            )
            for endpoint in range(4)
        )
        driver.now = max(driver.now, started_at + 4 * SECOND)
        driver.send(EndpointsListed(ListKind.REPLACE, entries))
        driver.now = started_at + 5 * SECOND
        driver.controller.plan(driver.writer, 2)
        line_shares.append(driver.line_share(0))
    assert 0 < line_shares[0] < 0.6 * line_shares[1]
