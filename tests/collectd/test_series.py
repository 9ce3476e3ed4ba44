"""Rates of a series across wraps, resets, gaps and duplicates."""

import pytest

from ravenshelf.collectd import protocol
from ravenshelf.collectd.decisions.series import Series

SECOND = 1_000_000
START = 1_700_000_000

RATES = [
    ("a DERIVE that rises", protocol.DERIVE, 100, 300, 10, 20.0),
    ("a rate over the time between timestamps", protocol.DERIVE, 100, 300, 20, 10.0),
    ("the same timestamp twice", protocol.DERIVE, 100, 300, 0, None),
    ("older than the newest value", protocol.DERIVE, 100, 300, -10, None),
    ("a counter that wraps at 32 bits", protocol.COUNTER, 2**32 - 100, 100, 10, 20.0),
    ("a counter that wraps at 64 bits", protocol.COUNTER, 2**64 - 100, 100, 10, 20.0),
    ("a counter that was reset", protocol.COUNTER, 3 * 10**9, 100, 10, None),
    ("a counter beyond 32 bits that was reset", protocol.COUNTER, 10**12, 100, 10, None),
    ("a DERIVE that falls", protocol.DERIVE, 300, 100, 10, None),
    ("an ABSOLUTE over the time since the previous value", protocol.ABSOLUTE, 7, 50, 10, 5.0),
    ("a gauge, which is its own rate", protocol.GAUGE, 7, 50, 10, 50),
    ("a gap of many intervals", protocol.DERIVE, 100, 300, 31, None),
]


@pytest.mark.parametrize(
    "case, kind, first_value, second_value, elapsed_s, expected_rate", RATES, ids=[row[0] for row in RATES]
)
def test_the_rate_of_a_series(case, kind, first_value, second_value, elapsed_s, expected_rate):
    series = Series(START * SECOND, first_value)
    rate = series.add_value(kind, second_value, (START + elapsed_s) * SECOND, 10 * SECOND)
    assert rate == (None if expected_rate is None else pytest.approx(expected_rate))
