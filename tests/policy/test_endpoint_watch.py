"""The watch on the endpoint registry."""

from conftest import endpoint_list

from ravenshelf.policy.events import EndpointsListed, ListKind, WatchFailed
from ravenshelf.time_units import SECOND


def test_a_poll_is_repeated_after_a_failure_and_ends_with_a_list(drive):
    driver = drive(discovery="on_request")
    assert driver.writer.calls.count(("watch_endpoints", (True,))) == 1
    driver.send(WatchFailed())
    driver.run(2)
    assert driver.writer.calls.count(("watch_endpoints", (True,))) == 2
    driver.send(endpoint_list())
    driver.run(10)
    assert driver.writer.calls.count(("watch_endpoints", (True,))) == 2


def test_the_backoff_of_failed_polls_grows_and_is_random(drive):
    driver = drive(discovery="on_request")
    waits = []
    for _ in range(5):
        driver.send(WatchFailed())
        waits.append((driver.controller.endpoint_watch.retry_at - driver.now) / SECOND)
        # The poll is repeated within this time.
        driver.run(5)
    assert all(least <= wait <= 2 * least for least, wait in zip((0.5, 1, 2, 2, 2), waits, strict=True))
    # Three backoffs with the same range differ.
    assert len({wait for wait in waits[2:]}) == 3
    driver.send(EndpointsListed(ListKind.UPDATE, ()))
    assert not driver.controller.endpoint_watch.retry_at
    driver.send(WatchFailed())
    assert driver.controller.endpoint_watch.retry_at - driver.now <= SECOND


def test_an_unanswered_poll_is_repeated_within_six_seconds_of_its_start(drive):
    """The registry's answer counts as known by that time; a poll that fails at once still backs off."""
    driver = drive(discovery="on_request")
    for _ in range(4):
        driver.send(WatchFailed())
        driver.run(4.25)
        started_at = driver.now = driver.controller.endpoint_watch.retry_at or driver.now
        driver.send()
        assert ("watch_endpoints", (True,)) in driver.writer.calls[-3:]
        driver.now = started_at + 5 * SECOND
        driver.send(WatchFailed())
        assert driver.controller.endpoint_watch.retry_at <= started_at + 6 * SECOND
