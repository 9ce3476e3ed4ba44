"""Counters of the server's events, such as messages received and lines sent."""

from collections import Counter


class Counters(Counter[str]):
    """Numbers by name; a name that was never counted has the value 0."""

    def record_maximum(self, name: str, value: int) -> None:
        """Raise the counter to the value if that is larger."""
        if value > self[name]:
            self[name] = value

    def add(self, name: str, amount: float) -> None:
        """Add an amount that may be fractional, such as lines of the control channel."""
        self[name] += amount  # type: ignore[assignment]

    def text(self) -> str:
        """Return all counters as "name=value", sorted by name and separated by spaces."""
        return " ".join(f"{name}={value:.6g}" for name, value in sorted(self.items()))
