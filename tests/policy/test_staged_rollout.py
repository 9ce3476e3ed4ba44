"""Staged rollout."""

from itertools import pairwise

from conftest import load_report

from ravenshelf.policy.events import ProxyJoined


def test_a_staged_rollout_binds_a_fifth_of_a_zones_proxies_per_step(drive):
    driver = drive(proxies=0, service={"proxy_count": 20})
    driver.send(*[ProxyJoined(proxy, 0, 1.0, True) for proxy in range(20)])
    moved_counts = []
    for _ in range(20):
        driver.run(0.25, lambda second: [load_report(0, 0, latency=400_000), load_report(0, 1)])
        moved_counts.append(sum(table == 1 for table in driver.writer.bound.values()))
    assert max(moved_counts) == 20 and {
        after - before for before, after in pairwise(moved_counts) if after > before
    } == {4}
