"""Backoff of dials, and the token bucket that bounds the bytes of snapshots."""

import random

SECOND = 1_000_000  # microseconds
INITIAL_CEILING_US = SECOND // 2  # microseconds; doubles with each failure
MAX_CEILING_US = (
    2 * SECOND
)  # a relay has a bounded number of children, so it bears one dial a second from each
MAX_DOUBLINGS = 20  # keeps the ceiling a small number


class Backoff:
    """Exponential backoff with full jitter: each delay is uniform between zero and a ceiling that doubles."""

    def __init__(
        self,
        random_source: random.Random,
        initial_ceiling: int = INITIAL_CEILING_US,
        max_ceiling: int = MAX_CEILING_US,
    ):
        """`first` and `last`: the ceilings of the first delay and of all later ones, in microseconds."""
        self.random_source = random_source
        self.initial_ceiling = initial_ceiling
        self.max_ceiling = max_ceiling
        self.failures = 0

    def next_delay(self) -> int:
        """Count a failure; return the microseconds until the next attempt."""
        ceiling = min(self.max_ceiling, self.initial_ceiling * 2 ** min(self.failures, MAX_DOUBLINGS))
        self.failures += 1
        return int(self.random_source.uniform(0, ceiling))

    def reset(self) -> None:
        """An attempt has succeeded."""
        self.failures = 0


class TokenBucket:
    """Grants `per_second` tokens a second, and at most `burst` at once."""

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
        """Take `amount` tokens, or none and return False.

        More than a whole burst is granted once the bucket is full; the bucket then goes into debt.
        """
        self._refill(now)
        if self.tokens < min(amount, self.burst):
            return False
        self.tokens -= amount
        return True

    def ready_at(self, now: int, amount: float) -> int:
        """Return the time at which `try_consume` will grant `amount`, if nobody else takes any."""
        self._refill(now)
        missing = min(amount, self.burst) - self.tokens
        if missing <= 0:
            return now
        return now + max(0, int(missing / self.per_second * SECOND) + 1)
