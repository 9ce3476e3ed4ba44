"""The budget of work in slow start: windows, capacity, informed senders, and allowed variation."""

import pytest

from standins.fleet.budget import (
    BudgetRule,
    ColdStart,
    SentWork,
    find_excesses,
    find_fullest_window,
    find_violations,
    window_budget,
)

SECOND = 1_000_000
# The endpoint can do 2 seconds of work a second at its start, 6 after 5 s, and 10 after 10 s.
START = ColdStart("s", 100 * SECOND, 10 * SECOND, 0.2, 10.0)
RULE = BudgetRule(2.5, 3 * SECOND)


def make_sent_work(*attempts, is_informed=True):
    """Return the work of attempts that are given as (seconds after the start, seconds of work)."""
    return [
        SentWork(START.started_at + round(seconds * SECOND), work, is_informed) for seconds, work in attempts
    ]


@pytest.mark.parametrize("seconds, capacity", [(-1, 2.0), (0, 2.0), (5, 6.0), (10, 10.0), (50, 10.0)])
def test_capacity_rises_linearly_from_the_cold_share_to_the_full_capacity(seconds, capacity):
    assert START.present_capacity(START.started_at + seconds * SECOND) == pytest.approx(capacity)


@pytest.mark.parametrize(
    "attempts, ratio",
    [
        # The work equals the whole budget of 2.5 x 2 x 3.
        ([(0, 15.0)], None),
        # One burst exceeds the budget at once.
        ([(0, 15.1)], 15.1 / 6),
        # The work of 16 is within the budget of 32.4 that applies 2.9 s after the start.
        ([(0, 8.0), (2.9, 8.0)], None),
        # The work of 46 is within the budget of 62.4.
        ([(5, 23.0), (7.9, 23.0)], None),
        # The work of 50 exceeds the budget of 48.
        ([(5, 40.0), (5.5, 10.0)], 50.0 / 19.2),
        # The window does not include its start, so the first attempt is not part of it.
        ([(5, 40.0), (8, 40.0)], None),
        # The endpoint is warm after 10 s.
        ([(9.9, 40.0), (10.0, 400.0)], None),
        # The first attempt was sent before the start.
        ([(-0.1, 40.0), (0, 1.0)], None),
    ],
)
def test_windows_over_the_budget(attempts, ratio):
    excesses = find_excesses(START, make_sent_work(*attempts), RULE)
    assert [excess.ratio for excess in excesses] == ([pytest.approx(ratio)] if ratio else [])


def test_an_excess_names_endpoint_time_and_senders():
    sent_work = [
        *make_sent_work((5, 20.0)),
        *make_sent_work((5.5, 40.0), is_informed=False),
        SentWork(START.started_at + 6 * SECOND, 20.0, True, is_retry=True),
    ]
    first, last = find_excesses(START, sent_work, RULE)
    assert (first.endpoint, last.window_end, last.age) == ("s", START.started_at + 6 * SECOND, 6 * SECOND)
    assert first.informed_share == pytest.approx(1 / 3) and last.informed_share == pytest.approx(0.5)
    assert first.retry_share == 0 and last.retry_share == pytest.approx(0.25)


@pytest.mark.parametrize(
    "informed_work, is_violation", [(60.0, False), (66.0, False), (67.0, True), (100.0, True)]
)
def test_an_excess_is_a_violation_if_two_thirds_of_the_work_came_from_informed_senders(
    informed_work, is_violation
):
    sent_work = [
        *make_sent_work((5, 100.0 - informed_work), is_informed=False),
        *make_sent_work((5, informed_work)),
    ]
    assert bool(find_violations(START, sent_work, RULE)) is is_violation and find_excesses(
        START, sent_work, RULE
    )


def test_work_is_ordered_by_time():
    sent_work = make_sent_work((6, 30.0), (5, 30.0))
    assert find_excesses(START, sent_work, RULE) == find_excesses(START, sent_work[::-1], RULE) != []


@pytest.mark.parametrize(
    "deviations, budget", [(0.0, 15.0), (1.0, 15.0 + 15**0.5), (2.0, 15.0 + 2 * 15**0.5)]
)
def test_the_allowance_for_random_variation_is_a_number_of_standard_deviations(deviations, budget):
    assert window_budget(BudgetRule(2.5, 3 * SECOND, deviations, 1.0), 2.0) == pytest.approx(budget)


def test_the_fullest_window_has_the_share_of_its_budget_that_it_used():
    used_share, excess = find_fullest_window(START, make_sent_work((0, 3.0), (1, 1.0)), RULE)
    assert used_share == pytest.approx(3 / 15) and excess.age == 0 and excess.ratio == pytest.approx(0.5)
    assert (
        find_fullest_window(START, [], RULE) is None
        and find_fullest_window(START, make_sent_work((0, 30.0), is_informed=False), RULE) is None
    )
