"""When a subscriber dials again, and how much of a relay's capacity goes into snapshots."""

import random

SECOND = 1_000_000
FIRST_CEILING = SECOND // 2  # of the first wait; it doubles with each failure
LAST_CEILING = 2 * SECOND  # a relay has a bounded number of children, so it bears one dial a second from each


class Backoff:
    """Exponential backoff with full jitter: each wait is drawn evenly from zero to a ceiling that doubles."""

    def __init__(self, chance: random.Random, first: int = FIRST_CEILING, last: int = LAST_CEILING):
        self.chance, self.first, self.last = chance, first, last
        self.failures = 0

    def wait(self) -> int:
        """Microseconds until the next attempt, after one more failure."""
        ceiling = min(self.last, self.first * 2 ** min(self.failures, 20))
        self.failures += 1
        return int(self.chance.uniform(0, ceiling))

    def reset(self) -> None:
        """An attempt has come off."""
        self.failures = 0


class TokenBucket:
    """So many units a second, and at most `burst` at once."""

    def __init__(self, per_second: float, burst: float):
        self.per_second, self.burst = per_second, burst
        self.tokens, self.at = burst, 0

    def _fill(self, now: int) -> None:
        if now > self.at:
            self.tokens = min(self.burst, self.tokens + self.per_second * (now - self.at) / SECOND)
            self.at = now

    def take(self, now: int, amount: float) -> bool:
        """Takes `amount`, or nothing. More than a whole burst is given once the bucket is full, and paid off later."""
        self._fill(now)
        if self.tokens < min(amount, self.burst):
            return False
        self.tokens -= amount
        return True

    def ready_at(self, now: int, amount: float) -> int:
        """When `take` will give that much, if nobody else takes any."""
        self._fill(now)
        missing = min(amount, self.burst) - self.tokens
        return now + max(0, int(missing / self.per_second * SECOND) + 1) if missing > 0 else now
