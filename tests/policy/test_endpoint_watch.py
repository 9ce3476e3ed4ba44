"""Watching the endpoint registry."""

from conftest import endpoint_list

from ravenshelf.policy.events import EndpointsListed, ListKind, WatchFailed
from ravenshelf.settings import SECOND


def test_a_list_that_must_be_polled_is_polled_again_after_a_failure(drive):
    driver = drive(discovery="on_request")
    assert driver.writer.calls.count(("watch_endpoints", (True,))) == 1
    driver.send(WatchFailed())
    driver.run(2)
    assert driver.writer.calls.count(("watch_endpoints", (True,))) == 2
    driver.send(endpoint_list())
    driver.run(10)
    assert driver.writer.calls.count(("watch_endpoints", (True,))) == 2


def test_a_failed_poll_is_repeated_ever_more_seldom_and_at_a_time_of_its_own(drive):
    driver = drive(discovery="on_request")
    waits = []
    for _ in range(5):
        driver.send(WatchFailed())
        waits.append((driver.controller.endpoint_watch.retry_at - driver.now) / SECOND)
        driver.run(5)  # it asks again meanwhile
    assert all(least <= wait <= 2 * least for least, wait in zip((0.5, 1, 2, 2, 2), waits, strict=True))
    assert len({wait for wait in waits[2:]}) == 3  # drawn anew each time
    driver.send(EndpointsListed(ListKind.UPDATE, ()))
    assert not driver.controller.endpoint_watch.retry_at
    driver.send(WatchFailed())
    assert driver.controller.endpoint_watch.retry_at - driver.now <= SECOND


def test_a_poll_that_nobody_answered_is_repeated_six_seconds_after_it_began_at_the_latest(drive):
    """What the registry says counts as known by then; a refusal at once still waits ever longer (above)."""
    driver = drive(discovery="on_request")
    for _ in range(4):
        driver.send(WatchFailed())
        driver.run(4.25)
        began = driver.now = driver.controller.endpoint_watch.retry_at or driver.now
        driver.send()
        assert ("watch_endpoints", (True,)) in driver.writer.calls[-3:]
        driver.now = began + 5 * SECOND
        driver.send(WatchFailed())
        assert driver.controller.endpoint_watch.retry_at <= began + 6 * SECOND
