"""Miss curves."""

from itertools import pairwise

import pytest
from conftest import load_report

from ravenshelf.policy.miss_curves import MissCurve, read_curve
from ravenshelf.settings import SECOND


@pytest.mark.parametrize(
    "heard, least, most",
    [
        (
            [(5, 0), (10, 0.4), (20, 0.5)],
            0.45,
            3.0,
        ),  # flat where the zone is jammed: more load still costs more
        ([(5, 0.3), (10, 0.0), (20, 0.5)], 0.3, 3.0),  # falls: a long tail at little load
    ],
)
def test_curves_rise_and_are_convex(heard, least, most):
    curve = MissCurve()
    for x, share in heard:
        curve.add(SECOND, x, 100, 100 * share)
    points = curve.fit(SECOND, [])
    at = [read_curve(points, x) for x in range(1, 40)]
    steps = [b - a for a, b in pairwise(at)]
    assert min(steps) > -1e-9 and least <= read_curve(points, 20) < read_curve(points, 39) < most


def test_a_zone_that_fails_completely_is_short_of_capacity_and_teaches_its_curve_little(drive):
    driver = drive(proxies=2)
    answers = [load_report(0, i) for i in (0, 1)]
    driver.run(10, lambda second: answers)
    driver.run(8, lambda second: [load_report(0, i, attempts=20, failed=20) for i in (0, 1)])
    assert driver.line_share(2) + driver.line_share(3) > 0.4  # its flows go where no failure was heard of
    at = driver.controller.spill_planner.curves[0].buckets
    assert sum(d.read(driver.now)[1] for d in at.values()) < 0.5 * sum(
        d.read(driver.now)[0] for d in at.values()
    )
