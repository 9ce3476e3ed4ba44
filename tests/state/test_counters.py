"""Counters record a maximum and print themselves in the order of their names."""

from ravenshelf.state.counters import Counters


def test_counters_keep_the_maximum():
    counters = Counters(b=2)
    counters.record_maximum("a", 5)
    counters.record_maximum("a", 3)
    assert counters.text() == "a=5 b=2"
