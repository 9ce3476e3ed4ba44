"""Staged rollout."""

from itertools import pairwise

from conftest import load_report

from ravenshelf.policy.events import ProxyJoined


def test_a_staged_rollout_leads_a_zone_over_one_step_at_a_time(drive):
    driver = drive(proxies=0, service={"proxy_count": 20})
    driver.send(*[ProxyJoined(i, 0, 1.0, True) for i in range(20)])
    moved = []
    for _ in range(20):
        driver.run(0.25, lambda second: [load_report(0, 0, latency=400_000), load_report(0, 1)])
        moved.append(sum(t == 1 for t in driver.writer.bound.values()))
    assert max(moved) == 20 and {b - a for a, b in pairwise(moved) if b > a} == {4}
