"""The miss bound, the latency from which an attempt counts as missed, and the latency between zones."""

import random
import tracemalloc

import pytest
from conftest import load_report

from ravenshelf.policy import decayed_totals, latency_bounds
from ravenshelf.policy.events import LoadReport
from ravenshelf.time_units import SECOND

# What the latencies that the miss bound is learnt from may take, at 48 bytes each.
MEMORY_BYTES = 48 * latency_bounds.LEARNT_LATENCIES_LIMIT


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


def minimum_gap(samples, now):
    """Return the gap from zone 0 to zone 1 by the samples (time, sender, latency) of the last second."""
    recent_minimum = {
        sender: min(
            (latency for time, zone, latency in samples if zone == sender and time >= now - SECOND),
            default=None,
        )
        for sender in (0, 1)
    }
    if None in recent_minimum.values():
        return None
    return max(0, recent_minimum[0] - recent_minimum[1])


@pytest.mark.parametrize("seed", range(20))
def test_the_gap_between_zones_is_that_of_the_minimum_over_the_last_second(seed):
    random_source = random.Random(seed)
    gaps, samples, now = latency_bounds.ZoneLatencyGaps(2), [], 100 * SECOND
    expected_gap = 0
    for _ in range(200):
        now += random_source.choice([0, 0, SECOND // 100, SECOND // 3])
        sender, latency = random_source.randrange(2), random_source.randrange(1000, 500_000)
        gaps.add(now, sender, 1, latency)
        samples.append((now, sender, latency))
        if random_source.random() < 0.2:
            gaps.update(now)
            gap = minimum_gap(samples, now)
            if gap is not None and abs(gap - expected_gap) > latency_bounds.MINIMUM_GAP_CHANGE:
                expected_gap = gap
            factor = gaps.load_factors(1_000_000)[0][1]
            assert factor == 1 / max(latency_bounds.MINIMUM_TIME_LEFT, 1 - expected_gap / 1_000_000)


def test_reports_at_full_speed_take_no_memory(drive):
    """Guards against a collector that fills the memory because the latency of each report is kept."""
    driver = drive()
    driver.run(1, lambda second: [load_report(0, 0)])
    tracemalloc.start()
    for number in range(60):
        driver.now += SECOND // 100
        for _ in range(1000):
            driver.controller.on_load_report(load_report(0, number % 2, latency=200_000 + number))
        driver.controller.now = driver.now
    grown_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert grown_bytes < MEMORY_BYTES
