"""Endpoint partitions and their tables."""

import pytest
from conftest import load_report

from ravenshelf.policy.events import EndpointsListed, EndpointState, ListedEndpoint, ListKind, ProxyJoined
from ravenshelf.policy.partition_shares import partition_shares


@pytest.mark.parametrize(
    "needs, strengths, elsewhere",
    [
        ([1, 1], [1, 1], 0),
        ([1, 1.1], [1, 1], 0),
        ([1, 1], [1, 0], 0.5),
        ([1, 1], [0.3, 1], 0.22),
        ([3, 1], [1, 1], 0.15),
        ([0, 0], [1, 1], 0),
        ([1, 0, 0], [1, 1, 1], 0.6),
    ],
    ids=["even", "nearly", "failed", "cold", "heavy proxy", "nothing asked", "all in one"],
)
def test_what_a_partition_of_a_zone_lacks_lies_elsewhere(needs, strengths, elsewhere):
    rows = partition_shares(needs, strengths)
    asked = sum(needs) or 1
    assert all(sum(row) == pytest.approx(1) for row in rows)
    assert all(not row[b] for row in rows for b, s in enumerate(strengths) if not s)
    out = sum(d / asked * (1 - row[i]) for i, (d, row) in enumerate(zip(needs, rows, strict=True)))
    assert out == pytest.approx(elsewhere, abs=0.06)


def test_full_size_keeps_tables_short_few_and_shared(drive):
    zones, many = (
        ["a", "b", "c"],
        tuple(ListedEndpoint(i, i % 3, i % 2, 0, EndpointState.READY, 4.0, 0) for i in range(120)),
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
    driver.send(EndpointsListed(ListKind.REPLACE, many))
    driver.send(*[ProxyJoined(i, i % 3, 1.0 + i % 7, True) for i in range(220)])
    driver.run(6, lambda second: [load_report(i % 3, i) for i in range(120)])
    tables = [set(driver.writer.tables[t]) for t in driver.writer.bound.values()]
    assert len(tables) == 220 and 3 <= min(map(len, tables)) <= max(map(len, tables)) <= 8
    assert len(set(driver.writer.bound.values())) < 220 / 5 and len(set.union(*tables)) == 120
    part = [
        e for e in many if e.endpoint in tables[0]
    ]  # all that one table holds restarts: its flows go elsewhere
    driver.send(EndpointsListed(ListKind.UPDATE, tuple(e._replace(started_at=driver.now) for e in part)))
    lines = driver.writer.tables[driver.writer.bound[0]]
    assert (
        sum(lines.get(e.endpoint, 0) for e in part) < 0.35 * sum(lines.values())
        and not driver.writer.emptied_tables
    )


def test_the_first_proxies_of_many_find_tables_of_their_partition_only(drive):
    """At full size the first to join had all the flows known of: its table borrowed of every part, 50 lines
    a bind.
    """
    driver = drive("", proxies=0, service={"proxy_count": 400})
    driver.send(
        EndpointsListed(
            ListKind.REPLACE,
            tuple(ListedEndpoint(i, i % 2, 0, 0, EndpointState.READY, 4.0, 0) for i in range(48)),
        )
    )
    for i in range(40):
        driver.send(ProxyJoined(i, i % 2, 1.0 + i % 7, False))
    sizes = [len(driver.writer.tables[driver.writer.bound[i]]) for i in range(40)]
    assert max(sizes) <= 12 and sum(sizes) < 40 * 6
