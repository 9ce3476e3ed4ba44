"""Backoff of dials, and the token bucket that limits the bytes of snapshots."""

import random

from ravenshelf.time_units import SECOND

# The ceiling of the first delay, in microseconds; it doubles with each failure.
INITIAL_CEILING_US = SECOND // 2
# With this ceiling a node whose dials keep failing dials about once a second. A relay has a bounded number of
# children, so it can handle a dial a second from each of them.
MAX_CEILING_US = 2 * SECOND
MAX_DOUBLINGS = 20  # This limit keeps the power of two small, however many failures there are.


class Backoff:
    """Exponential backoff with full jitter: each delay is uniform between zero and a ceiling that doubles."""

    def __init__(
        self,
        random_source: random.Random,
        initial_ceiling: int = INITIAL_CEILING_US,
        max_ceiling: int = MAX_CEILING_US,
    ):
        """Create a backoff without failures.

        Args:
            random_source: Source of the jitter.
            initial_ceiling: Ceiling of the first delay, in microseconds.
            max_ceiling: Upper bound of the ceiling of all delays, in microseconds.
        """
        self.random_source = random_source
        self.initial_ceiling = initial_ceiling
        self.max_ceiling = max_ceiling
        self.failures = 0

    def next_delay(self) -> int:
        """Count a failure and return the delay until the next attempt, in microseconds."""
        ceiling = min(self.max_ceiling, self.initial_ceiling * 2 ** min(self.failures, MAX_DOUBLINGS))
        self.failures += 1
        return int(self.random_source.uniform(0, ceiling))

    def reset(self) -> None:
        """Start again from the initial ceiling, after an attempt has succeeded."""
        self.failures = 0


class TokenBucket:
    """Rate limiter that grants `per_second` tokens a second on average, and at most `burst` at once.

    Times are in microseconds.
    """

    def __init__(self, per_second: float, burst: float):
        self.per_second = per_second
        self.burst = burst
        self.tokens = burst
        self.refilled_at = 0  # microseconds

    def _refill(self, now: int) -> None:
        if now > self.refilled_at:
            self.tokens = min(self.burst, self.tokens + self.per_second * (now - self.refilled_at) / SECOND)
            self.refilled_at = now

    def try_consume(self, now: int, amount: float) -> bool:
        """Consume `amount` tokens, or none if too few are available.

        An amount above `burst` is granted once the bucket is full. The number of tokens is then negative, and
        nothing is granted until enough tokens have been refilled.

        Returns:
            Whether the tokens were consumed.
        """
        self._refill(now)
        if self.tokens < min(amount, self.burst):
            return False
        self.tokens -= amount
        return True

    def ready_at(self, now: int, amount: float) -> int:
        """Return the time from which `try_consume` grants `amount`, if no tokens are consumed until then."""
        self._refill(now)
        missing_tokens = min(amount, self.burst) - self.tokens
        if missing_tokens <= 0:
            return now
        return now + max(0, int(missing_tokens / self.per_second * SECOND) + 1)
