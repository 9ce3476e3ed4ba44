"""The watch on the endpoint registry: when to open it, and when to repeat a failed poll after a backoff."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from ravenshelf.time_units import SECOND

if TYPE_CHECKING:  # Imported for annotations only, so that a simulated server starts without loading it.
    from ravenshelf.policy.commands import CommandWriter

MAXIMUM_BACKOFF_EXPONENT = 3
# The backoff is a random share in this range of 2 ** (failed polls) seconds, so that servers do not poll at
# the same time.
BACKOFF_SHARES = (0.25, 0.5)
# A watch that gets no answer is opened again after this time.
SILENT_POLL_TIMEOUT = 5 * SECOND
# A failed poll may delay the next poll by this much beyond the time at which an unanswered poll is repeated.
FAILED_POLL_MARGIN = SECOND


class EndpointWatch:
    """The schedule of polls.

    Attributes:
        retry_at: The time of the next poll in microseconds; 0: none is due.
        failed_polls: The consecutive failures, up to `MAXIMUM_BACKOFF_EXPONENT`.
    """

    def __init__(self, is_on_request: bool, random_source: Random):
        """Create the schedule; the first poll is due at once if the registry must be polled."""
        self.retry_at = int(is_on_request)
        self.failed_polls = 0
        self._random_source = random_source

    def record_poll_failure(self, now: int) -> None:
        """Schedule the next poll after a random backoff.

        The next poll is due at most `FAILED_POLL_MARGIN` after the time at which it would be due without any
        answer.
        """
        self.failed_polls = min(self.failed_polls + 1, MAXIMUM_BACKOFF_EXPONENT)
        latest_retry = (self.retry_at or now) + FAILED_POLL_MARGIN
        backoff = round(SECOND * 2**self.failed_polls * self._random_source.uniform(*BACKOFF_SHARES))
        self.retry_at = min(latest_retry, now + backoff)

    def record_list(self, is_restored: bool) -> None:
        """Record that an endpoint list has arrived.

        A list from the registry ends the polling. A list that was only restored from memory does not.
        """
        if not is_restored:
            self.retry_at = 0
        self.failed_polls = 0

    def run(self, now: int, writer: CommandWriter) -> None:
        """Open the watch if a poll is due."""
        if self.retry_at and now >= self.retry_at:
            writer.watch_endpoints(True)
            self.retry_at = now + SILENT_POLL_TIMEOUT
