"""The latency beyond which an attempt counts as missed."""

import random

from ravenshelf.policy import decayed_totals, latency_bounds
from ravenshelf.policy.events import LoadReport
from ravenshelf.settings import SECOND


def test_the_bound_of_a_miss_costs_no_sort_for_each_report(drive, monkeypatch):
    """1,000 endpoints heard of in 10 s took rounds of 3 s: all that was heard was sorted anew for each
    report.
    """
    driver, chance = drive(), random.Random(3)
    for module in (latency_bounds, decayed_totals):
        monkeypatch.setattr(module, "sorted", lambda *_: 1 / 0, raising=False)
    heard = [chance.randrange(50_000, 300_000) for _ in range(301)]
    for latency in heard:
        driver.controller.on_load_report(LoadReport(0, 0, 5, 0, latency, SECOND, ()))
    assert driver.controller.miss_bound.value == min(
        latency_bounds.MEDIAN_MULTIPLE * sorted(heard)[150], driver.controller.latency_objective
    )
