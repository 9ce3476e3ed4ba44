"""Demand estimation across control-plane servers."""

import pytest

from ravenshelf.policy.events import DemandReport
from ravenshelf.settings import SECOND


def test_zones_without_reports_are_estimated_from_usual_rates_whatever_comes_here(drive):
    driver = drive(proxies=2)
    before = driver.controller.demand().total_rates[1]
    driver.run(
        10, lambda second: [DemandReport(i, 0, 100, 0, SECOND) for i in (0, 1)]
    )  # a shift may have brought it here
    assert before == driver.controller.demand().total_rates[1] == pytest.approx(20)
