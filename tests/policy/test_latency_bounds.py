"""The miss bound: the latency from which an attempt counts as missed."""

import random

from ravenshelf.policy import decayed_totals, latency_bounds
from ravenshelf.policy.events import LoadReport
from ravenshelf.time_units import SECOND


def test_the_miss_bound_is_updated_without_sorting_all_latencies_for_each_report(drive, monkeypatch):
    """Sorting for each report made control cycles take 3 s with 1,000 endpoints reporting within 10 s."""
    driver, random_source = drive(), random.Random(3)
    for module in (latency_bounds, decayed_totals):
        monkeypatch.setattr(module, "sorted", lambda *_: 1 / 0, raising=False)
    latencies = [random_source.randrange(50_000, 300_000) for _ in range(301)]
    for latency in latencies:
        driver.controller.on_load_report(LoadReport(0, 0, 5, 0, latency, SECOND, ()))
    assert driver.controller.miss_bound.value == min(
        latency_bounds.MEDIAN_MULTIPLE * sorted(latencies)[150], driver.controller.latency_objective
    )
