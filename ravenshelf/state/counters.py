"""Counters of what was received, sent and acknowledged."""

from collections import Counter


class Counters(Counter[str]):
    """Numbers by name; a name that was never counted reads 0."""

    def record_maximum(self, name: str, value: int) -> None:
        """Keep the largest value seen."""
        if value > self[name]:
            self[name] = value

    def add(self, name: str, amount: float) -> None:
        """Add an amount that need not be a whole number, such as lines of the control channel."""
        self[name] += amount  # type: ignore[assignment]

    def text(self) -> str:
        """Return "name=value" for each counter, in the order of the names."""
        return " ".join(f"{name}={value:.6g}" for name, value in sorted(self.items()))
