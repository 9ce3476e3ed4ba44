"""The demand estimate across control-plane servers."""

import pytest

from ravenshelf.policy.events import DemandReport
from ravenshelf.time_units import SECOND


def test_zones_without_reports_count_with_nominal_rates_independently_of_local_demand(drive):
    """Local demand may have risen only because requests moved here from another zone."""
    driver = drive(proxies=2)
    before = driver.controller.demand().total_rates[1]
    driver.run(10, lambda second: [DemandReport(proxy, 0, 100, 0, SECOND) for proxy in (0, 1)])
    assert before == driver.controller.demand().total_rates[1] == pytest.approx(20)
