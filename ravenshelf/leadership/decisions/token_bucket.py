"""Rate limit of handovers and takeovers."""

from ravenshelf.time_units import SECOND


class TokenBucket:
    """A token bucket that is refilled at `per_second` and holds at most the tokens of one second."""

    def __init__(self, per_second: float) -> None:
        self.per_second = per_second
        self.tokens = per_second
        self.refilled_at = 0

    def consume(self, now: int, count: int) -> int:
        """Remove up to `count` tokens at the time `now` in microseconds, and return how many were removed."""
        refill = self.per_second * max(0, now - self.refilled_at) / SECOND
        self.tokens = min(self.per_second, self.tokens + refill)
        self.refilled_at = now
        consumed = min(count, int(self.tokens))
        self.tokens -= consumed
        return consumed
