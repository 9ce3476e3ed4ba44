"""Weight tables: binding, and changes that have to wait for the channel."""

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
from ravenshelf.settings import SECOND


@pytest.mark.parametrize("states", ["rrrr", "drrr", "dddr", "r---"])
def test_joined_proxies_are_bound_promptly_to_tables_with_lines(drive, states):
    driver = drive(states)
    assert sorted(driver.writer.bound) == [0, 1, 2, 3]
    assert all(driver.writer.tables[t] for t in driver.writer.bound.values())


@pytest.mark.parametrize("states", ["", "dddd", "gggg"])
def test_nothing_to_bind_to_is_no_table(drive, states):
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
    assert (
        2 in driver.writer.ejected and driver.controller.tables.deferred_tables
    )  # the withdrawal goes, tables wait for their turn


def test_a_deferred_table_is_written_alone_and_others_do_not_drift(drive):
    driver = drive()
    driver.run(2, lambda second: [load_report(z, i) for z, i in ((0, 0), (0, 1), (1, 2), (1, 3))])
    c = driver.controller
    c.tables.deferred_tables = {c.tables.current_tables[0, 0]: 1}
    written, write = [], c.tables.write
    c.tables.write = lambda now, table, *rest: (written.append(table), write(now, table, *rest))
    c.next_solve_at = driver.now + 10 * SECOND
    driver.run(0.5)
    assert written == [c.tables.current_tables[0, 0]] and not c.tables.deferred_tables


def test_who_uses_a_table_is_known_without_a_look_at_all_proxies(drive):
    driver, chance = drive(proxies=0), random.Random(5)
    for _ in range(400):
        proxy = chance.randrange(12)
        event = chance.choice(
            [
                ProxyJoined(proxy, proxy % 2, 10.0, True),
                ProxyLeft(proxy),
                ProxyLeft(proxy, True),
                load_report(proxy % 2, chance.randrange(4), 20, chance.randrange(20)),
            ]
        )
        driver.now += SECOND // 8
        driver.send(event)
        scanned = {}
        for index, one in driver.controller.proxies.items():
            scanned.setdefault(one.table, []).append(index)
        assert {
            t: sorted(users) for t, users in driver.controller.tables.proxies_by_table.items() if users
        } == {t: sorted(users) for t, users in scanned.items()}


def fleet_of_small_tables(drive, **service):
    """Two zones of 24 endpoints and 24 proxies each: tables of a few endpoints, and a channel of 1,000
    lines a second.
    """
    service = {
        "proxy_count": 48,
        "queue_limit_lines": 20_000,
        "proxies_join_by_zone": False,
        "outlier_after_failures": 5,
    } | service
    driver = drive("", proxies=0, service=service)
    entries = tuple(ListedEndpoint(i, i // 24, 0, 0, EndpointState.READY, 4.0, 0) for i in range(48))
    driver.send(EndpointsListed(ListKind.REPLACE, entries))
    driver.send(*[ProxyJoined(n, n // 24, 10.0, True) for n in range(48)])
    driver.run(12, lambda second: [load_report(i // 24, i) for i in range(48)])
    return driver


def share_after_withdrawals(driver, table, endpoint):
    """Share of a table's flows that goes to an endpoint, since what was of withdrawn lines goes to the
    others.
    """
    held = {k: weight for k, weight in driver.writer.tables[table].items() if k not in driver.writer.ejected}
    assert held, f"table {table} has no line left"
    return held.get(endpoint, 0.0) / sum(held.values())


def test_a_cold_endpoint_is_not_left_with_what_withdrawn_ones_carried_while_the_channel_is_busy(drive):
    """A release on two busy seconds of channel: the neighbours of a cold endpoint drain, the cold one
    stays.
    """
    driver = fleet_of_small_tables(drive)
    cold = 47
    driver.send(
        EndpointsListed(
            ListKind.UPDATE,
            (ListedEndpoint(cold, 1, 0, 0, EndpointState.READY, 4.0, driver.now - 6 * SECOND),),
        )
    )
    driver.run(1)
    holding = {
        table: share_after_withdrawals(driver, table, cold)
        for table in set(driver.writer.bound.values())
        if cold in driver.writer.tables[table]
    }
    largest = max(holding.values())
    driver.controller.channel.record_uncharged_lines(2000)
    draining = {k for table in holding for k in driver.writer.tables[table]} - {cold}
    driver.send(
        EndpointsListed(
            ListKind.UPDATE,
            tuple(ListedEndpoint(i, i // 24, 0, 0, EndpointState.DRAINING, 4.0, 0) for i in sorted(draining)),
        )
    )
    assert draining <= driver.writer.ejected
    assert all(
        share_after_withdrawals(driver, table, cold) < 2 * largest
        for table in set(driver.writer.bound.values())
    )


def test_no_table_starves_while_the_list_changes_again_and_again(drive):
    """Each change plans all tables anew, and there is room for a few only: it must not be the same ones
    that wait.
    """
    driver = fleet_of_small_tables(drive)
    controller = driver.controller
    write, written = controller.tables.write, set()

    def watched_write(now, table, lines, writer, urgency):
        write(now, table, lines, writer, urgency)
        if table not in controller.tables.deferred_tables:
            written.add(table)

    controller.tables.write = watched_write
    for change in range(12):
        entries = tuple(
            ListedEndpoint(i, i // 24, 0, 0, EndpointState.READY, 4.0, driver.now - (2 + change % 3) * SECOND)
            for i in range(48)
            if i % 8 == change % 8
        )
        driver.now += SECOND // 8
        controller.tables.channel = ChannelFlowControl(controller.settings.service)
        controller.channel.advance(driver.now)
        controller.channel.record_uncharged_lines(1400)  # of the 1,500 behind which a table waits
        driver.send(EndpointsListed(ListKind.UPDATE, entries))
    assert set(driver.writer.bound.values()) <= written


def test_proxies_that_come_while_many_endpoints_leave_are_given_tables_and_not_each_withdrawal(drive):
    """A server that is left alone gets all proxies during a release: a withdrawal for each would fill its
    channel for good.
    """
    driver = fleet_of_small_tables(drive, proxy_count=400, queue_limit_lines=8000)
    driver.controller.channel.record_uncharged_lines(
        4500
    )  # 4.5 s of queue: nobody is bound behind that as long as nothing drains
    draining = tuple(
        ListedEndpoint(i, i // 24, 0, 0, EndpointState.DRAINING, 4.0, 0) for i in range(48) if i % 3 == 0
    )
    comers = [ProxyJoined(n, n % 2, 10.0, False) for n in range(100, 250)]
    driver.send(*comers, EndpointsListed(ListKind.UPDATE, draining))
    assert all(n in driver.writer.bound for n in range(100, 250))
    held = {
        k for n in driver.writer.bound for k in driver.writer.tables[driver.writer.bound[n]]
    } - driver.writer.ejected
    assert held and not held & {entry.endpoint for entry in draining}
    assert driver.controller.channel.queued_lines < 0.88 * 8000


def test_a_cold_line_beside_one_dominant_line_leaves_a_deferred_table(drive):
    """What a dominant line refuses is tried again at the others: two of four drained, one warm and the cold
    one are left.
    """
    driver = fleet_of_small_tables(drive)
    cold = 47
    driver.send(
        EndpointsListed(
            ListKind.UPDATE,
            (ListedEndpoint(cold, 1, 0, 0, EndpointState.READY, 4.0, driver.now - 6 * SECOND),),
        )
    )
    driver.run(1)
    table = next(t for t in set(driver.writer.bound.values()) if driver.writer.tables[t].get(cold, 0) > 10)
    dominant = next(k for k in driver.writer.tables[table] if k != cold)
    driver.controller.channel.record_uncharged_lines(
        2000
    )  # no room for whole tables, only for what cannot wait
    draining = set(driver.writer.tables[table]) - {cold, dominant}
    driver.send(
        EndpointsListed(
            ListKind.UPDATE,
            tuple(ListedEndpoint(i, i // 24, 0, 0, EndpointState.DRAINING, 4.0, 0) for i in sorted(draining)),
        )
    )
    left = {k for k in driver.writer.tables[table] if k not in driver.writer.ejected}
    assert table in driver.controller.tables.deferred_tables and left == {dominant}
    driver.run(8, lambda second: [load_report(i // 24, i) for i in range(48) if i not in draining])
    assert any(
        cold in driver.writer.tables[t] for t in set(driver.writer.bound.values())
    )  # it comes with the whole table
