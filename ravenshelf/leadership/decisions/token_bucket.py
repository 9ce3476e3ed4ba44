"""A rate limit."""

from ravenshelf.leadership.decisions.configuration import SECOND


class TokenBucket:
    """So many tokens a second, and a second's worth of them at most."""

    def __init__(self, per_second: float) -> None:
        self.per_second = per_second
        self.tokens = per_second
        self.refilled_at = 0

    def take(self, now: int, count: int) -> int:
        """Takes up to `count` tokens; returns how many there were. `now` in microseconds."""
        refill = self.per_second * max(0, now - self.refilled_at) / SECOND
        self.tokens = min(self.per_second, self.tokens + refill)
        self.refilled_at = now
        taken = min(count, int(self.tokens))
        self.tokens -= taken
        return taken
