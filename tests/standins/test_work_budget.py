"""The budget of an endpoint in slow start: windows, capacity at their end, who knew, and the allowance."""

import pytest

from standins.fleet.budget import BudgetRule, ColdStart, SentWork, budget, excesses, nearest, violations

SECOND = 1_000_000
START = ColdStart("s", 100 * SECOND, 10 * SECOND, 0.2, 10.0)  # 2 seconds of work a second, after 5 s 6
RULE = BudgetRule(2.5, 3 * SECOND)


def sent(*works, informed=True):
    """(seconds after the start, work) each."""
    return [SentWork(START.started + round(after * SECOND), work, informed) for after, work in works]


@pytest.mark.parametrize("after, capacity", [(-1, 2.0), (0, 2.0), (5, 6.0), (10, 10.0), (50, 10.0)])
def test_capacity_rises_linearly_from_the_cold_share_to_the_full(after, capacity):
    assert START.present_capacity(START.started + after * SECOND) == pytest.approx(capacity)


@pytest.mark.parametrize(
    "works, ratio",
    [
        ([(0, 15.0)], None),  # the whole budget of 2.5 x 2 x 3, not more
        ([(0, 15.1)], 15.1 / 6),  # one burst spends it at once
        ([(0, 8.0), (2.9, 8.0)], None),  # 16, where 2.9 s later there is room for 32.4
        ([(5, 23.0), (7.9, 23.0)], None),  # 46 of 62.4
        ([(5, 40.0), (5.5, 10.0)], 50.0 / 19.2),  # 50 of 48
        ([(5, 40.0), (8, 40.0)], None),  # the window has passed: its start is not part of it
        ([(9.9, 40.0), (10.0, 400.0)], None),  # warm from then on
        ([(-0.1, 40.0), (0, 1.0)], None),  # sent before the start
    ],
)
def test_windows_over_the_budget(works, ratio):
    found = excesses(START, sent(*works), RULE)
    assert [excess.ratio for excess in found] == ([pytest.approx(ratio)] if ratio else [])


def test_an_excess_names_endpoint_time_and_senders():
    works = [
        *sent((5, 20.0)),
        *sent((5.5, 40.0), informed=False),
        SentWork(START.started + 6 * SECOND, 20.0, True, repeated=True),
    ]
    first, last = excesses(START, works, RULE)
    assert (first.endpoint, last.at, last.age) == ("s", START.started + 6 * SECOND, 6 * SECOND)
    assert first.informed_share == pytest.approx(1 / 3) and last.informed_share == pytest.approx(0.5)
    assert first.repeated_share == 0 and last.repeated_share == pytest.approx(0.25)


@pytest.mark.parametrize("informed, violates", [(60.0, False), (66.0, False), (67.0, True), (100.0, True)])
def test_an_excess_counts_if_two_thirds_of_the_work_came_from_informed_senders(informed, violates):
    works = [*sent((5, 100.0 - informed), informed=False), *sent((5, informed))]
    assert bool(violations(START, works, RULE)) is violates and excesses(START, works, RULE)


def test_work_is_ordered_by_time():
    works = sent((6, 30.0), (5, 30.0))
    assert excesses(START, works, RULE) == excesses(START, works[::-1], RULE) != []


@pytest.mark.parametrize(
    "deviations, allowed", [(0.0, 15.0), (1.0, 15.0 + 15**0.5), (2.0, 15.0 + 2 * 15**0.5)]
)
def test_the_allowance_is_a_number_of_deviations(deviations, allowed):
    assert budget(BudgetRule(2.5, 3 * SECOND, deviations, 1.0), 2.0) == pytest.approx(allowed)


def test_the_nearest_window_has_the_share_of_its_budget_that_it_used():
    used, excess = nearest(START, sent((0, 3.0), (1, 1.0)), RULE)
    assert used == pytest.approx(3 / 15) and excess.age == 0 and excess.ratio == pytest.approx(0.5)
    assert nearest(START, [], RULE) is None and nearest(START, sent((0, 30.0), informed=False), RULE) is None
