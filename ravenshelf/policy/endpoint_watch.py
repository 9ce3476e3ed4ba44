"""Watching the endpoint registry: when to open a watch, again and again, with backoff."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from ravenshelf.settings import SECOND

if TYPE_CHECKING:  # it only names types: a simulated server starts without it
    from ravenshelf.policy.commands import CommandWriter

MAXIMUM_BACKOFF_EXPONENT = 3
BACKOFF_SHARES = (0.25, 0.5)  # of 2 ** failed polls seconds: each server waits for a time of its own
SILENT_POLL_TIMEOUT = 5 * SECOND  # microseconds until a watch that was not answered is opened again
FAILED_POLL_MARGIN = SECOND  # microseconds by which a failed poll may prolong that


class EndpointWatch:
    """`retry_at` is the time of the next poll in microseconds (0: none), `failed_polls` failures in a row."""

    def __init__(self, is_on_request: bool, random_source: Random):
        self.retry_at = int(is_on_request)
        self.failed_polls = 0
        self._random_source = random_source

    def record_poll_failure(self, now: int) -> None:
        """Poll again after a random backoff, or as late as a silent poll is repeated."""
        self.failed_polls = min(self.failed_polls + 1, MAXIMUM_BACKOFF_EXPONENT)
        latest = (self.retry_at or now) + FAILED_POLL_MARGIN
        backoff = round(SECOND * 2**self.failed_polls * self._random_source.uniform(*BACKOFF_SHARES))
        self.retry_at = min(latest, now + backoff)

    def record_list(self, is_restored: bool) -> None:
        """A list came; one that was only restored from memory leaves the poll due."""
        if not is_restored:
            self.retry_at = 0
        self.failed_polls = 0

    def run(self, now: int, writer: CommandWriter) -> None:
        """Open the watch if that is due."""
        if self.retry_at and now >= self.retry_at:
            writer.watch_endpoints(True)
            self.retry_at = now + SILENT_POLL_TIMEOUT
