"""Rates of series: wraps, resets, gaps and duplicates."""

import pytest

from ravenshelf.collectd import protocol
from ravenshelf.collectd.decisions.series import Series

SECOND = 1_000_000
START = 1_700_000_000

RATES = [
    ("a difference over its own time", protocol.DERIVE, 100, 300, 10, 20.0),
    ("late by its own time, not by ours", protocol.DERIVE, 100, 300, 20, 10.0),
    ("the same time twice", protocol.DERIVE, 100, 300, 0, None),
    ("older than the newest", protocol.DERIVE, 100, 300, -10, None),
    ("a counter that wraps at 32 bits", protocol.COUNTER, 2**32 - 100, 100, 10, 20.0),
    ("a counter that wraps at 64 bits", protocol.COUNTER, 2**64 - 100, 100, 10, 20.0),
    ("a counter that was reset", protocol.COUNTER, 3 * 10**9, 100, 10, None),
    ("a counter beyond 32 bits that was reset", protocol.COUNTER, 10**12, 100, 10, None),
    ("a DERIVE that falls", protocol.DERIVE, 300, 100, 10, None),
    ("an ABSOLUTE since the one before", protocol.ABSOLUTE, 7, 50, 10, 5.0),
    ("a gauge as it is", protocol.GAUGE, 7, 50, 10, 50),
    ("a gap of many intervals", protocol.DERIVE, 100, 300, 31, None),
]


@pytest.mark.parametrize("case, kind, first, second, elapsed, rate", RATES, ids=[row[0] for row in RATES])
def test_the_rate_of_a_series(case, kind, first, second, elapsed, rate):
    series = Series(START * SECOND, first)
    rate_found = series.add_value(kind, second, (START + elapsed) * SECOND, 10 * SECOND)
    assert rate_found == (None if rate is None else pytest.approx(rate))
