"""Miss curves."""

from itertools import pairwise

import pytest
from conftest import load_report

from ravenshelf.policy.miss_curves import MissCurve, read_curve
from ravenshelf.time_units import SECOND


@pytest.mark.parametrize(
    "observations, least, most",
    [
        # The observations are flat where the zone is saturated, but more load must still cost more.
        ([(5, 0), (10, 0.4), (20, 0.5)], 0.45, 3.0),
        # The observations fall, because latency has a long tail at low load.
        ([(5, 0.3), (10, 0.0), (20, 0.5)], 0.3, 3.0),
    ],
)
def test_curves_are_increasing_and_convex(observations, least, most):
    curve = MissCurve()
    for load, share in observations:
        curve.add(SECOND, load, 100, 100 * share)
    points = curve.fit(SECOND, [])
    miss_shares = [read_curve(points, load) for load in range(1, 40)]
    steps = [upper - lower for lower, upper in pairwise(miss_shares)]
    assert min(steps) > -1e-9 and least <= read_curve(points, 20) < read_curve(points, 39) < most


def test_a_zone_that_fails_completely_loses_its_requests_and_hardly_changes_its_miss_curve(drive):
    driver = drive(proxies=2)
    reports = [load_report(0, endpoint) for endpoint in (0, 1)]
    driver.run(10, lambda second: reports)
    driver.run(8, lambda second: [load_report(0, endpoint, attempts=20, failures=20) for endpoint in (0, 1)])
    # The requests move to the zone without reported failures.
    assert driver.line_share(2) + driver.line_share(3) > 0.4
    curve_buckets = driver.controller.spill_planner.curves[0].buckets
    assert sum(totals.read(driver.now)[1] for totals in curve_buckets.values()) < 0.5 * sum(
        totals.read(driver.now)[0] for totals in curve_buckets.values()
    )
