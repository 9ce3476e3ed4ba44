"""Admission control: the capacity estimate, and the admission levels."""

import pytest
from conftest import busy_fleet, load_report

from ravenshelf.policy.events import DemandReport
from ravenshelf.policy.water_filling import water_filling_level
from ravenshelf.time_units import SECOND


@pytest.mark.parametrize(
    "demands, budget, level",
    [([1, 1, 1], 3.1, None), ([1, 1, 10], 6, 4), ([4, 4], 4, 2), ([], 1, None), ([3], 0, 0)],
)
def test_water_filling_level(demands, budget, level):
    assert water_filling_level(demands, budget) == (None if level is None else pytest.approx(level))


def test_load_is_shed_by_priority_weight_and_attempts_that_may_have_run_are_not_retried(drive):
    driver = drive()
    driver.run(30, busy_fleet)
    levels = {
        groups: level
        for (table, groups), level in driver.writer.levels.items()
        if table == driver.controller.tables.current_tables[0, 0]
    }
    assert levels[1][0] < 200 and levels[1][0] <= levels.get(2, (1e6, 1))[0]
    # Retry mode 1 allows a retry only if it is certain that the first attempt never ran, so that no
    # request takes effect twice.
    assert all(retry_mode == 1 for _, retry_mode in driver.writer.levels.values())


def test_levels_as_a_fraction(drive):
    driver = drive(service={"admission_level_kind": "fraction"})
    driver.run(30, busy_fleet)
    assert driver.writer.levels and all(
        0 < level < 1 for (_, groups), (level, _) in driver.writer.levels.items() if groups == 1
    )


@pytest.mark.parametrize(
    "reported_load, least", [(2, 0.65), (30, 0.0)], ids=["few active requests", "many active requests"]
)
def test_failures_common_to_all_endpoints_reduce_the_load_only_while_endpoints_are_idle(
    drive, reported_load, least
):
    driver = drive()
    for second in range(24):
        driver.run(
            1,
            lambda _, second=second: (
                [
                    load_report(
                        zone,
                        2 * zone + number,
                        attempts=40,
                        failures=0 if second < 8 else 20,
                        load=(2 if second < 8 else reported_load,),
                    )
                    for zone in (0, 1)
                    for number in (0, 1)
                ]
                + [DemandReport(proxy, group, 7, 0, SECOND) for proxy in range(4) for group in (0, 1)]
            ),
        )
    factors = [driver.controller.admission.idle_health_factor, 1.0]
    assert least <= min(factors) and (driver.controller.admission.idle_health_factor < 1) == (
        reported_load == 2
    )


@pytest.mark.parametrize(
    "failures, least, most",
    [(16, 0.9, 1.01), (95, 0.5, 0.8)],
    ids=["few attempts miss", "most attempts miss"],
)
def test_the_capacity_estimate_falls_further_if_more_attempts_miss(drive, failures, least, most):
    driver = drive()
    driver.run(
        20,
        lambda second: (
            [
                load_report(
                    zone,
                    2 * zone + number,
                    attempts=100,
                    failures=failures if second > 8 else 0,
                    load=(30 if second > 8 else 2,),
                )
                for zone in (0, 1)
                for number in (0, 1)
            ]
            + [DemandReport(proxy, group, 7, 0, SECOND) for proxy in range(4) for group in (0, 1)]
        ),
    )
    assert (
        least
        <= driver.controller.admission.capacity_estimate / driver.controller.admission.carried_load
        < most
    )


def test_without_an_observation_of_calm_the_capacity_estimate_does_not_fall_without_limit(drive):
    driver = drive()
    driver.run(
        60,
        lambda second: (
            [
                load_report(zone, 2 * zone + number, attempts=100, failures=50, load=(30,))
                for zone in (0, 1)
                for number in (0, 1)
            ]
            + [DemandReport(proxy, group, 7, 0, SECOND) for proxy in range(4) for group in (0, 1)]
        ),
    )
    assert driver.controller.admission.capacity_estimate > 0.2


def test_high_latency_of_idle_endpoints_is_not_an_overload(drive):
    driver = drive()
    driver.run(30, lambda second: busy_fleet(second, load=(2,), requests=6))
    assert not [level for (table, groups), level in driver.writer.levels.items() if level[0] < 6]
