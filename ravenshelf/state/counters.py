"""Counters of what was taken in, sent and answered."""

from collections import Counter


class Counters(Counter):
    def most(self, name: str, value: float) -> None:
        """Keeps the largest value seen."""
        if value > self[name]:
            self[name] = value

    def text(self) -> str:
        return " ".join(f"{name}={value:.6g}" for name, value in sorted(self.items()))
