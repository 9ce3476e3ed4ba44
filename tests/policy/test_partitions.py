"""Endpoint partitions and their tables."""

import pytest
from conftest import load_report

from ravenshelf.policy.events import EndpointsListed, EndpointState, ListedEndpoint, ListKind, ProxyJoined
from ravenshelf.policy.partition_shares import partition_shares


@pytest.mark.parametrize(
    "table_demands, partition_weights, borrowed_share",
    [
        ([1, 1], [1, 1], 0),
        ([1, 1.1], [1, 1], 0),
        ([1, 1], [1, 0], 0.5),
        ([1, 1], [0.3, 1], 0.22),
        ([3, 1], [1, 1], 0.15),
        ([0, 0], [1, 1], 0),
        ([1, 0, 0], [1, 1, 1], 0.6),
    ],
    ids=[
        "even",
        "nearly even",
        "failed partition",
        "cold partition",
        "heavy proxy",
        "no demand",
        "all demand at one table",
    ],
)
def test_a_table_borrows_from_other_partitions_what_its_own_cannot_carry(
    table_demands, partition_weights, borrowed_share
):
    rows = partition_shares(table_demands, partition_weights)
    total_demand = sum(table_demands) or 1
    assert all(sum(row) == pytest.approx(1) for row in rows)
    assert all(
        not row[partition] for row in rows for partition, weight in enumerate(partition_weights) if not weight
    )
    borrowed = sum(
        demand / total_demand * (1 - row[table])
        for table, (demand, row) in enumerate(zip(table_demands, rows, strict=True))
    )
    assert borrowed == pytest.approx(borrowed_share, abs=0.06)


def test_tables_of_a_large_deployment_are_short_few_and_shared(drive):
    zones, entries = (
        ["a", "b", "c"],
        tuple(
            ListedEndpoint(index, index % 3, index % 2, 0, EndpointState.READY, 4.0, 0)
            for index in range(120)
        ),
    )
    driver = drive(
        "",
        0,
        zones=zones,
        server_count=2,
        service={
            "proxy_count": 440,
            "proxies_join_by_zone": False,
            "queue_limit_lines": 9000,
            "lines_per_second": 6000.0,
        },
    )
    driver.send(EndpointsListed(ListKind.REPLACE, entries))
    driver.send(*[ProxyJoined(proxy, proxy % 3, 1.0 + proxy % 7, True) for proxy in range(220)])
    driver.run(6, lambda second: [load_report(index % 3, index) for index in range(120)])
    tables = [set(driver.writer.tables[table]) for table in driver.writer.bound.values()]
    assert len(tables) == 220 and 3 <= min(map(len, tables)) <= max(map(len, tables)) <= 8
    assert len(set(driver.writer.bound.values())) < 220 / 5 and len(set.union(*tables)) == 120
    # All endpoints of one table restart, so its requests move to endpoints of other partitions.
    restarted_entries = [entry for entry in entries if entry.endpoint in tables[0]]
    driver.send(
        EndpointsListed(
            ListKind.UPDATE, tuple(entry._replace(started_at=driver.now) for entry in restarted_entries)
        )
    )
    lines = driver.writer.tables[driver.writer.bound[0]]
    assert (
        sum(lines.get(entry.endpoint, 0) for entry in restarted_entries) < 0.35 * sum(lines.values())
        and not driver.writer.emptied_tables
    )


def test_the_first_of_many_proxies_get_tables_of_their_own_partition_only(drive):
    """At first the whole known demand is that of the first proxies.

    Their tables borrowed from every partition, and each bind took 50 lines.
    """
    driver = drive("", proxies=0, service={"proxy_count": 400})
    driver.send(
        EndpointsListed(
            ListKind.REPLACE,
            tuple(
                ListedEndpoint(endpoint, endpoint % 2, 0, 0, EndpointState.READY, 4.0, 0)
                for endpoint in range(48)
            ),
        )
    )
    for proxy in range(40):
        driver.send(ProxyJoined(proxy, proxy % 2, 1.0 + proxy % 7, False))
    sizes = [len(driver.writer.tables[driver.writer.bound[proxy]]) for proxy in range(40)]
    assert max(sizes) <= 12 and sum(sizes) < 40 * 6
