"""Proxies that return to a zone whose endpoints have changed while none of them was joined."""

import pytest
from conftest import busy_fleet, endpoint_list, load_report

from ravenshelf.policy.events import DemandReport, ListKind, ProxyJoined, ProxyLeft
from ravenshelf.time_units import SECOND

RETURNING_ZONE = 1
RETURNING_PROXIES = (2, 3)


def _report_calm_load(_second):
    reports = [load_report(zone, 2 * zone + number, load=(2,)) for zone in (0, 1) for number in (0, 1)]
    return reports + [DemandReport(proxy, group, 10, 0, SECOND) for proxy in range(4) for group in (0, 1)]


def _leave(driver):
    driver.send(*[ProxyLeft(proxy) for proxy in RETURNING_PROXIES])


def _return(driver):
    """Join the proxies one after another, as their connections come up."""
    for proxy in RETURNING_PROXIES:
        driver.now += SECOND // 50
        driver.send(ProxyJoined(proxy, RETURNING_ZONE, 10.0, True))


def _bound_lines(driver):
    """Return the lines of the table that each returned proxy is bound to."""
    return [driver.writer.tables[driver.writer.bound[proxy]] for proxy in RETURNING_PROXIES]


@pytest.fixture
def fleet(drive):
    """Return a driver whose zone 1 has lost its endpoints and proxies after 10 s of calm."""
    driver = drive()
    driver.run(10, _report_calm_load)
    _leave(driver)
    driver.now += SECOND // 2
    driver.send(endpoint_list("rrgg"))
    driver.run(6, lambda second: _report_calm_load(second)[:2])
    return driver


def test_a_returning_zones_cold_endpoint_does_not_get_all_requests_of_a_table_from_before_the_loss(fleet):
    """Guards against cold endpoints that are pushed over by proxies bound to a table of an older list."""
    fleet.send(endpoint_list("--r", kind=ListKind.UPDATE, start=fleet.now - SECOND // 3))
    _return(fleet)
    for lines in _bound_lines(fleet):
        assert set(lines) == {0, 1, 2}, "endpoints that are gone have no line"
        assert lines[2] < min(lines[0], lines[1]), "the cold endpoint has less weight than each warm one"


def test_a_returning_zone_without_endpoints_gets_lines_of_other_zones(fleet):
    """Guards against proxies without an endpoint to pick until the next periodic solve."""
    _return(fleet)
    assert all(set(lines) == {0, 1} for lines in _bound_lines(fleet))


def test_proxies_that_come_back_from_another_server_get_the_present_endpoints(drive):
    """Guards against a table of before the proxies' move to another server and back."""
    driver = drive()
    driver.run(10, _report_calm_load)
    _leave(driver)
    driver.send(endpoint_list("rrrd"))
    driver.run(1)
    _return(driver)
    assert all(3 not in lines and 2 in lines for lines in _bound_lines(driver))


def test_a_change_that_was_deferred_when_the_last_user_left_is_written_before_the_next_bind(drive):
    """Guards against a deferred change that is lost because its table has no user when it is retried."""
    driver = drive()
    driver.run(10, _report_calm_load)
    channel = driver.controller.channel
    has_capacity = channel.has_capacity
    channel.has_capacity = lambda *_: False
    driver.send(endpoint_list("rrrg"))
    assert driver.controller.tables.deferred_tables
    _leave(driver)
    channel.has_capacity = has_capacity
    driver.run(0.5)
    _return(driver)
    assert all(3 not in lines for lines in _bound_lines(driver))


def test_tables_in_use_are_not_rewritten_when_a_zone_returns(fleet):
    """The changes of an outdated table are free, those of a table in use would take channel capacity."""
    fleet.run(2, busy_fleet)
    table_in_use = fleet.writer.bound[0]
    lines_in_use = dict(fleet.writer.tables[table_in_use])
    _return(fleet)
    assert fleet.writer.tables[table_in_use] == lines_in_use
