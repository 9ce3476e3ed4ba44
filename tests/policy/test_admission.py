"""Admission control: the capacity estimate, and the levels."""

import pytest
from conftest import busy_fleet, load_report

from ravenshelf.policy.events import DemandReport
from ravenshelf.policy.water_filling import water_filling_level
from ravenshelf.settings import SECOND


@pytest.mark.parametrize(
    "demands, budget, level",
    [([1, 1, 1], 3.1, None), ([1, 1, 10], 6, 4), ([4, 4], 4, 2), ([], 1, None), ([3], 0, 0)],
)
def test_water_filling_level(demands, budget, level):
    assert water_filling_level(demands, budget) == (None if level is None else pytest.approx(level))


def test_load_is_shed_by_priority_weight_and_nothing_is_retried(drive):
    driver = drive()
    driver.run(30, busy_fleet)
    levels = {
        g: v
        for (t, g), v in driver.writer.levels.items()
        if t == driver.controller.tables.current_tables[0, 0]
    }
    assert levels[1][0] < 200 and levels[1][0] <= levels.get(2, (1e6, 1))[0]
    # only after proof: no effect twice
    assert all(retry_mode == 1 for _, retry_mode in driver.writer.levels.values())


def test_levels_as_a_fraction(drive):
    driver = drive(service={"admission_level_kind": "fraction"})
    driver.run(30, busy_fleet)
    assert driver.writer.levels and all(
        0 < v < 1 for (_, g), (v, _) in driver.writer.levels.items() if g == 1
    )


@pytest.mark.parametrize("in_flight, least", [(2, 0.65), (30, 0.0)], ids=["holding little", "holding much"])
def test_failures_common_to_all_are_hardly_a_lack_of_endpoints_while_little_is_in_flight(
    drive, in_flight, least
):
    driver = drive()
    for second in range(24):
        driver.run(
            1,
            lambda _, second=second: (
                [
                    load_report(
                        z,
                        2 * z + i,
                        attempts=40,
                        failed=0 if second < 8 else 20,
                        load=(2 if second < 8 else in_flight,),
                    )
                    for z in (0, 1)
                    for i in (0, 1)
                ]
                + [DemandReport(i, g, 7, 0, SECOND) for i in range(4) for g in (0, 1)]
            ),
        )
    parts = [driver.controller.admission.idle_health_factor, 1.0]
    assert least <= min(parts) and (driver.controller.admission.idle_health_factor < 1) == (in_flight == 2)


@pytest.mark.parametrize("failed, least, most", [(16, 0.9, 1.01), (95, 0.5, 0.8)], ids=["a hang?", "a jam"])
def test_the_capacity_estimate_falls_the_further_the_more_miss(drive, failed, least, most):
    driver = drive()
    driver.run(
        20,
        lambda second: (
            [
                load_report(
                    z,
                    2 * z + i,
                    attempts=100,
                    failed=failed if second > 8 else 0,
                    load=(30 if second > 8 else 2,),
                )
                for z in (0, 1)
                for i in (0, 1)
            ]
            + [DemandReport(i, g, 7, 0, SECOND) for i in range(4) for g in (0, 1)]
        ),
    )
    assert (
        least
        <= driver.controller.admission.capacity_estimate / driver.controller.admission.carried_load
        < most
    )


def test_a_server_that_was_never_calm_does_not_shed_ever_more(drive):
    driver = drive()
    driver.run(
        60,
        lambda second: (
            [load_report(z, 2 * z + i, attempts=100, failed=50, load=(30,)) for z in (0, 1) for i in (0, 1)]
            + [DemandReport(i, g, 7, 0, SECOND) for i in range(4) for g in (0, 1)]
        ),
    )
    assert driver.controller.admission.capacity_estimate > 0.2


def test_late_answers_of_idle_endpoints_are_no_overload(drive):
    driver = drive()
    driver.run(30, lambda second: busy_fleet(second, load=(2,), requests=6))
    assert not [v for (t, g), v in driver.writer.levels.items() if v[0] < 6]
