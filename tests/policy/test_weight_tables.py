"""Weight tables: the binding of proxies, and changes that are deferred until the channel has capacity."""

import random

import pytest
from conftest import endpoint_list, load_report

from ravenshelf.policy.events import (
    EndpointsListed,
    EndpointState,
    ListedEndpoint,
    ListKind,
    ProxyJoined,
    ProxyLeft,
)
from ravenshelf.policy.flow_control import ChannelFlowControl
from ravenshelf.time_units import SECOND


@pytest.mark.parametrize("states", ["rrrr", "drrr", "dddr", "r---"])
def test_joined_proxies_are_bound_at_once_to_tables_with_lines(drive, states):
    driver = drive(states)
    assert sorted(driver.writer.bound) == [0, 1, 2, 3]
    assert all(driver.writer.tables[table] for table in driver.writer.bound.values())


@pytest.mark.parametrize("states", ["", "dddd", "gggg"])
def test_proxies_are_not_bound_while_no_endpoint_is_usable(drive, states):
    driver = drive(states)
    driver.run(6)
    assert not driver.writer.bound and not driver.writer.emptied_tables
    driver.send(endpoint_list("rrrr"))
    assert sorted(driver.writer.bound) == [0, 1, 2, 3] and not driver.writer.ejected


def test_a_proxy_that_joins_behind_a_queue_of_table_changes_is_bound_at_once(drive):
    driver = drive(proxies=2)
    driver.controller.channel.queued_lines = 0.7 * driver.controller.channel.queue_limit
    driver.send(ProxyJoined(2, 0, 10.0, False))
    assert 2 in driver.writer.bound
    driver.controller.channel.record_uncharged_lines(0.7 * driver.controller.channel.queue_limit)
    driver.send(endpoint_list("rrdr", kind=ListKind.UPDATE))
    # The withdrawal is written, while tables are deferred.
    assert 2 in driver.writer.ejected and driver.controller.tables.deferred_tables


def test_a_deferred_table_is_written_without_changes_to_other_tables(drive):
    driver = drive()
    driver.run(
        2,
        lambda second: [load_report(zone, endpoint) for zone, endpoint in ((0, 0), (0, 1), (1, 2), (1, 3))],
    )
    server_controller = driver.controller
    server_controller.tables.deferred_tables = {server_controller.tables.current_tables[0, 0]: 1}
    written_tables, write = [], server_controller.tables.write
    server_controller.tables.write = lambda now, table, *rest: (
        written_tables.append(table),
        write(now, table, *rest),
    )
    server_controller.next_solve_at = driver.now + 10 * SECOND
    driver.run(0.5)
    assert (
        written_tables == [server_controller.tables.current_tables[0, 0]]
        and not server_controller.tables.deferred_tables
    )


def test_the_proxies_of_each_table_are_recorded_without_a_scan_of_all_proxies(drive):
    driver, random_source = drive(proxies=0), random.Random(5)
    for _ in range(400):
        proxy = random_source.randrange(12)
        event = random_source.choice(
            [
                ProxyJoined(proxy, proxy % 2, 10.0, True),
                ProxyLeft(proxy),
                ProxyLeft(proxy, True),
                load_report(proxy % 2, random_source.randrange(4), 20, random_source.randrange(20)),
            ]
        )
        driver.now += SECOND // 8
        driver.send(event)
        scanned_tables = {}
        for index, joined_proxy in driver.controller.proxies.items():
            scanned_tables.setdefault(joined_proxy.table, []).append(index)
        assert {
            number: sorted(table_proxies)
            for number, table_proxies in driver.controller.tables.proxies_by_table.items()
            if table_proxies
        } == {number: sorted(table_proxies) for number, table_proxies in scanned_tables.items()}


def fleet_of_small_tables(drive, **service):
    """Return a driver with two zones of 24 endpoints and 24 proxies each.

    The tables have a few endpoints, and the channel sends 1,000 lines per second.
    """
    service = {
        "proxy_count": 48,
        "queue_limit_lines": 20_000,
        "proxies_join_by_zone": False,
        "outlier_after_failures": 5,
    } | service
    driver = drive("", proxies=0, service=service)
    entries = tuple(
        ListedEndpoint(endpoint, endpoint // 24, 0, 0, EndpointState.READY, 4.0, 0) for endpoint in range(48)
    )
    driver.send(EndpointsListed(ListKind.REPLACE, entries))
    driver.send(*[ProxyJoined(proxy, proxy // 24, 10.0, True) for proxy in range(48)])
    driver.run(12, lambda second: [load_report(endpoint // 24, endpoint) for endpoint in range(48)])
    return driver


def share_after_withdrawals(driver, table, endpoint):
    """Return an endpoint's share of a table's requests.

    The requests of withdrawn endpoints are sent to the other endpoints of the table.
    """
    usable_lines = {
        index: weight
        for index, weight in driver.writer.tables[table].items()
        if index not in driver.writer.ejected
    }
    assert usable_lines, f"table {table} has no usable line, expected at least one"
    return usable_lines.get(endpoint, 0.0) / sum(usable_lines.values())


def test_a_cold_endpoint_does_not_get_the_load_of_withdrawn_ones_while_the_channel_is_busy(drive):
    """During a release, the neighbours of a cold endpoint drain while the channel is busy for two seconds."""
    driver = fleet_of_small_tables(drive)
    cold_endpoint = 47
    driver.send(
        EndpointsListed(
            ListKind.UPDATE,
            (ListedEndpoint(cold_endpoint, 1, 0, 0, EndpointState.READY, 4.0, driver.now - 6 * SECOND),),
        )
    )
    driver.run(1)
    shares = {
        table: share_after_withdrawals(driver, table, cold_endpoint)
        for table in set(driver.writer.bound.values())
        if cold_endpoint in driver.writer.tables[table]
    }
    largest_share = max(shares.values())
    driver.controller.channel.record_uncharged_lines(2000)
    draining = {endpoint for table in shares for endpoint in driver.writer.tables[table]} - {cold_endpoint}
    driver.send(
        EndpointsListed(
            ListKind.UPDATE,
            tuple(
                ListedEndpoint(index, index // 24, 0, 0, EndpointState.DRAINING, 4.0, 0)
                for index in sorted(draining)
            ),
        )
    )
    assert draining <= driver.writer.ejected
    assert all(
        share_after_withdrawals(driver, table, cold_endpoint) < 2 * largest_share
        for table in set(driver.writer.bound.values())
    )


def test_every_table_is_written_while_the_endpoint_list_changes_repeatedly(drive):
    """Each change plans all tables, and the channel has capacity for a few only.

    If tables were always written in the same order, the same tables would be deferred each time.
    """
    driver = fleet_of_small_tables(drive)
    controller = driver.controller
    write, written_tables = controller.tables.write, set()

    def recording_write(now, table, planned_lines, writer, urgency):
        write(now, table, planned_lines, writer, urgency)
        if table not in controller.tables.deferred_tables:
            written_tables.add(table)

    controller.tables.write = recording_write
    for change in range(12):
        entries = tuple(
            ListedEndpoint(
                endpoint,
                endpoint // 24,
                0,
                0,
                EndpointState.READY,
                4.0,
                driver.now - (2 + change % 3) * SECOND,
            )
            for endpoint in range(48)
            if endpoint % 8 == change % 8
        )
        driver.now += SECOND // 8
        controller.tables.channel = ChannelFlowControl(controller.settings.service)
        controller.channel.advance(driver.now)
        # A table is deferred if more than 1,500 lines are queued.
        controller.channel.record_uncharged_lines(1400)
        driver.send(EndpointsListed(ListKind.UPDATE, entries))
    assert set(driver.writer.bound.values()) <= written_tables


def test_proxies_that_join_while_many_endpoints_drain_get_tables_instead_of_each_ejection(drive):
    """If a server fails during a release, all its proxies join another server.

    An ejection of each draining endpoint for each of these proxies would keep the channel full.
    """
    driver = fleet_of_small_tables(drive, proxy_count=400, queue_limit_lines=8000)
    # Behind a queue of 4.5 s, proxies are bound only while endpoints drain.
    driver.controller.channel.record_uncharged_lines(4500)
    draining = tuple(
        ListedEndpoint(index, index // 24, 0, 0, EndpointState.DRAINING, 4.0, 0)
        for index in range(48)
        if index % 3 == 0
    )
    joining_proxies = [ProxyJoined(proxy, proxy % 2, 10.0, False) for proxy in range(100, 250)]
    driver.send(*joining_proxies, EndpointsListed(ListKind.UPDATE, draining))
    assert all(proxy in driver.writer.bound for proxy in range(100, 250))
    usable_endpoints = {
        line_endpoint
        for proxy in driver.writer.bound
        for line_endpoint in driver.writer.tables[driver.writer.bound[proxy]]
    } - driver.writer.ejected
    assert usable_endpoints and not usable_endpoints & {entry.endpoint for entry in draining}
    assert driver.controller.channel.queued_lines < 0.88 * 8000


def test_a_cold_line_beside_one_dominant_line_is_removed_from_a_deferred_table(drive):
    """Requests that the dominant endpoint rejects are retried at the others.

    Two of four endpoints drain, so only a warm endpoint and the cold one are left.
    """
    driver = fleet_of_small_tables(drive)
    cold_endpoint = 47
    driver.send(
        EndpointsListed(
            ListKind.UPDATE,
            (ListedEndpoint(cold_endpoint, 1, 0, 0, EndpointState.READY, 4.0, driver.now - 6 * SECOND),),
        )
    )
    driver.run(1)
    table = next(
        bound_table
        for bound_table in set(driver.writer.bound.values())
        if driver.writer.tables[bound_table].get(cold_endpoint, 0) > 10
    )
    dominant_endpoint = next(
        endpoint for endpoint in driver.writer.tables[table] if endpoint != cold_endpoint
    )
    # The channel then has no capacity for whole tables, only for the most urgent changes.
    driver.controller.channel.record_uncharged_lines(2000)
    draining = set(driver.writer.tables[table]) - {cold_endpoint, dominant_endpoint}
    driver.send(
        EndpointsListed(
            ListKind.UPDATE,
            tuple(
                ListedEndpoint(index, index // 24, 0, 0, EndpointState.DRAINING, 4.0, 0)
                for index in sorted(draining)
            ),
        )
    )
    usable_endpoints = {
        endpoint for endpoint in driver.writer.tables[table] if endpoint not in driver.writer.ejected
    }
    assert table in driver.controller.tables.deferred_tables and usable_endpoints == {dominant_endpoint}
    driver.run(
        8,
        lambda second: [load_report(index // 24, index) for index in range(48) if index not in draining],
    )
    # The cold endpoint returns when the whole table is written.
    assert any(
        cold_endpoint in driver.writer.tables[bound_table]
        for bound_table in set(driver.writer.bound.values())
    )
