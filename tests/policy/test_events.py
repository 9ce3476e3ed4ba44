"""Equality of the policy's events."""

from ravenshelf.policy.events import BatchAcknowledged, ProxyLeft, SliceAssigned, WatchFailed


def test_events_of_different_types_are_never_equal():
    assert ProxyLeft(1, True) == ProxyLeft(1, True)
    assert ProxyLeft(1, True) != SliceAssigned(1, True)
    assert ProxyLeft(1, True) != (1, True)
    assert WatchFailed() != () and WatchFailed() == WatchFailed()


def test_events_are_hashable():
    assert len({BatchAcknowledged(1, 2, 3), BatchAcknowledged(1, 2, 3), ProxyLeft(1)}) == 2
